#include "plumfold_caller_request.hpp"

#include "plumfold/runtime/plumfold_secrets.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace plumfold::entry {

namespace {

using core::error_kind;
using json = nlohmann::json;

constexpr std::size_t maxIdempotencyKeyBytes = 256;
constexpr std::uint64_t maxDeadlineMs = 3'600'000;
constexpr std::uint8_t lowestPriority = 2;
constexpr std::uint32_t defaultMaxTokens = 256;
constexpr std::string_view bearerPrefix = "Bearer ";

bool mayCall(const core::customer_record& customer, const std::string& name)
{
    return std::find(customer.models.begin(), customer.models.end(), name) != customer.models.end();
}

absl::StatusOr<std::string> readChatPrompt(const json& body)
{
    auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return callerError(error_kind::bad_request, "messages must be a list with at least one message");
    std::string prompt;
    for (const auto& message : *messages) {
        bool wellFormed = message.is_object() && message.contains("role") && message["role"].is_string()
            && message.contains("content") && message["content"].is_string();
        if (!wellFormed)
            return callerError(
                error_kind::bad_request, "each message must have a role and a content, both text");
        absl::StrAppend(&prompt, message["role"].get_ref<const std::string&>(), ": ",
            message["content"].get_ref<const std::string&>(), "\n");
    }
    return prompt;
}

absl::StatusOr<std::string> readPrompt(const json& body, bool chat)
{
    if (chat)
        return readChatPrompt(body);
    auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string() || prompt->get_ref<const std::string&>().empty())
        return callerError(error_kind::bad_request, "prompt must be a text that is not empty");
    return prompt->get<std::string>();
}

absl::StatusOr<std::uint32_t> readMaxTokens(const json& body, std::uint32_t limit)
{
    auto found = body.find("max_tokens");
    if (found == body.end())
        return std::min(defaultMaxTokens, limit);
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0)
        return callerError(error_kind::bad_request, "max_tokens must be a whole number of at least 1");
    if (found->get<std::uint64_t>() > limit)
        return callerError(
            error_kind::too_large, absl::StrCat("max_tokens may be at most ", limit, " for this model"));
    return found->get<std::uint32_t>();
}

} // namespace

absl::Status callerError(error_kind kind, std::string message)
{
    return core::toStatus({ kind, core::run_state::not_run, std::move(message), std::nullopt });
}

absl::StatusOr<caller_headers> readHeaders(
    const Poco::Net::HTTPServerRequest& request, core::milliseconds defaultDeadline)
{
    caller_headers headers;
    headers.idempotencyKey = request.get("Idempotency-Key", "");
    headers.traceparent = request.get("traceparent", "");
    headers.deadline = defaultDeadline;
    if (headers.idempotencyKey.size() > maxIdempotencyKeyBytes)
        return callerError(error_kind::bad_request, "Idempotency-Key may have at most 256 bytes");
    std::string idempotent = request.get("X-Plumfold-Idempotent", "true");
    if (idempotent != "true" && idempotent != "false")
        return callerError(error_kind::bad_request, "X-Plumfold-Idempotent must be true or false");
    headers.idempotent = idempotent == "true";
    if (request.has("X-Plumfold-Deadline-Ms")) {
        std::uint64_t deadline = 0;
        bool valid = absl::SimpleAtoi(request.get("X-Plumfold-Deadline-Ms"), &deadline) && deadline > 0
            && deadline <= maxDeadlineMs;
        if (!valid)
            return callerError(error_kind::bad_request, "X-Plumfold-Deadline-Ms must be 1 to 3600000");
        headers.deadline = core::milliseconds(deadline);
    }
    if (request.has("X-Plumfold-Priority")) {
        std::uint32_t priority = 0;
        if (!absl::SimpleAtoi(request.get("X-Plumfold-Priority"), &priority) || priority > lowestPriority)
            return callerError(error_kind::bad_request, "X-Plumfold-Priority must be 0, 1 or 2");
        headers.priority = static_cast<std::uint8_t>(priority);
    }
    return headers;
}

absl::StatusOr<completion_request> readCompletion(const std::string& body, bool chat,
    const core::customer_record& customer, const core::configuration& config)
{
    json in = json::parse(body, nullptr, false);
    if (!in.is_object())
        return callerError(error_kind::bad_request, "the body must be a JSON object");
    auto text = [&](const char* name) {
        auto found = in.find(name);
        return found != in.end() && found->is_string() ? found->get<std::string>() : std::string();
    };
    completion_request request;
    request.chat = chat;
    request.model = text("model");
    request.adapter = text("adapter");
    const auto* model = config.model(request.model);
    // A model of another customer gets the same error as one that does not exist.
    if (!model || !mayCall(customer, request.model))
        return callerError(
            error_kind::unknown_model, "this model does not exist or is not open to you: ask an operator");
    if (!request.adapter.empty()) {
        const auto* adapter = config.adapter(request.adapter);
        if (!adapter || adapter->model != request.model)
            return callerError(
                error_kind::unknown_model, "this adapter does not exist for the model: ask an operator");
    }
    if (!config.weightVersion(request.model))
        return callerError(
            error_kind::unknown_model, "no weight version is in force for this model: ask an operator");
    auto prompt = readPrompt(in, chat);
    if (!prompt.ok())
        return prompt.status();
    request.prompt = std::move(*prompt);
    if (request.prompt.size() > model->maxPromptBytes)
        return callerError(error_kind::too_large,
            absl::StrCat("the prompt may have at most ", model->maxPromptBytes, " bytes"));
    auto maxTokens = readMaxTokens(in, model->maxTokens);
    if (!maxTokens.ok())
        return maxTokens.status();
    request.maxTokens = *maxTokens;
    if (in.contains("n") && in["n"] != 1)
        return callerError(error_kind::bad_request, "n must be 1: send one call for each answer");
    if (in.contains("stream")) {
        if (!in["stream"].is_boolean())
            return callerError(error_kind::bad_request, "stream must be true or false");
        request.stream = in["stream"];
    }
    return request;
}

absl::StatusOr<core::customer_record> authenticate(
    const Poco::Net::HTTPServerRequest& request, const core::configuration& config)
{
    std::string header = request.get("Authorization", "");
    const core::customer_record* customer = nullptr;
    // Keys are looked up by their hash, so that the timing of the lookup reveals nothing about the key.
    if (header.starts_with(bearerPrefix))
        customer = config.customerByKeyHash(runtime::sha256Hex(header.substr(bearerPrefix.size())));
    if (!customer)
        return callerError(
            error_kind::unauthenticated, "send Authorization: Bearer with an API key of a customer");
    return *customer;
}

} // namespace plumfold::entry
