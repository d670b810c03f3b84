#include "plumfold_output.hpp"

#include <iostream>

namespace plumfold::cli {

namespace {

using nlohmann::json;

struct record_to_json {
    json operator()(const core::customer_record& r) const
    {
        return { { "name", r.name }, { "weight", r.weight }, { "max_in_flight", r.maxInFlight },
            { "max_queued", r.maxQueued }, { "models", r.models } };
    }
    json operator()(const core::model_record& r) const
    {
        return { { "name", r.name }, { "max_prompt_bytes", r.maxPromptBytes },
            { "max_tokens", r.maxTokens } };
    }
    json operator()(const core::adapter_record& r) const
    {
        return { { "name", r.name }, { "model", r.model } };
    }
    json operator()(const core::weight_version_record& r) const
    {
        return { { "model", r.model }, { "version", r.version } };
    }
    json operator()(const core::failure_domain_record& r) const
    {
        return { { "name", r.name }, { "in_service", r.inService },
            { "max_concurrent_loads", r.maxConcurrentLoads } };
    }
    json operator()(const core::target_record& r) const
    {
        return { { "name", r.name }, { "in_service", r.inService }, { "checks_fencing", r.checksFencing } };
    }
    json operator()(const core::service_record& r) const
    {
        return { { "name", r.name }, { "repeatable", r.repeatable }, { "timeout_ms", r.timeoutMs } };
    }
};

void printLine(const json& object)
{
    bool first = true;
    for (const auto& [key, value] : object.items()) {
        std::cout << (first ? "" : " ") << key << '='
                  << (value.is_string() ? value.get<std::string>() : value.dump());
        first = false;
    }
    std::cout << '\n';
}

} // namespace

int exitCodeOf(const absl::Status& status)
{
    switch (status.code()) {
    case absl::StatusCode::kOk:
        return exit_ok;
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kNotFound:
        return exit_invalid;
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kAlreadyExists:
        return exit_conflict;
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kDeadlineExceeded:
        return exit_unavailable;
    case absl::StatusCode::kFailedPrecondition:
        return exit_refused;
    default:
        return exit_failed;
    }
}

void print(const json& result, bool asJson)
{
    if (asJson) {
        std::cout << result.dump(2) << '\n';
    } else if (result.is_array()) {
        for (const auto& each : result)
            printLine(each);
    } else {
        printLine(result);
    }
}

int printFailure(const absl::Status& status, bool asJson)
{
    if (asJson)
        std::cerr << json {
            { "error", absl::StatusCodeToString(status.code()) }, { "message", status.message() }
        }.dump() << '\n';
    else
        std::cerr << status.message() << '\n';
    return exitCodeOf(status);
}

json toJson(const core::record& value)
{
    return std::visit(record_to_json(), value);
}

} // namespace plumfold::cli
