#include "plumfold/client/plumfold_http_caller.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_http.hpp"
#include "plumfold/runtime/plumfold_response_reader.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <nlohmann/json.hpp>

#include <ostream>

namespace plumfold::client {

namespace {

using json = nlohmann::json;

constexpr long connectMicroseconds = 500'000;
constexpr std::size_t maxBodyBytes = 64 << 20;
constexpr std::string_view eventPrefix = "data: ";

core::milliseconds elapsedSince(core::instant start)
{
    return std::chrono::duration_cast<core::milliseconds>(runtime::now() - start);
}

void readUsage(const json& usage, call_response& result)
{
    result.promptTokens = usage.value("prompt_tokens", 0u);
    result.outputTokens = usage.value("completion_tokens", 0u);
    result.cachedTokens = usage.value("prompt_tokens_details", json::object()).value("cached_tokens", 0u);
}

std::string textOf(const json& choice)
{
    for (const char* messageKey : { "delta", "message" }) {
        if (choice.contains(messageKey))
            return choice[messageKey].value("content", "");
    }
    return choice.value("text", "");
}

/// @return false at the end of the stream.
bool readEvent(std::string_view data, core::instant started, call_response& result)
{
    if (data == "[DONE]") {
        result.done = true;
        return false;
    }
    json event = json::parse(data);
    if (event.contains("error")) {
        result.streamError = event["error"].value("type", "unknown");
        return false;
    }
    if (event.contains("usage")) {
        readUsage(event["usage"], result);
        return true;
    }
    if (result.tokens++ == 0)
        result.firstToken = elapsedSince(started);
    result.text += textOf(event.at("choices").at(0));
    return true;
}

void readStream(runtime::response_reader& response, const call_request& request, core::instant started,
    call_response& result)
{
    runtime::line_reader lines(response, maxBodyBytes);
    for (auto line = lines.next(); line.ok(); line = lines.next()) {
        if (!line->starts_with(eventPrefix))
            continue;
        if (!readEvent(std::string_view(*line).substr(eventPrefix.size()), started, result))
            return;
        if (request.disconnectAfterTokens > 0 && result.tokens >= request.disconnectAfterTokens)
            return;
    }
}

void readFullBody(runtime::response_reader& response, call_response& result)
{
    auto received = runtime::readWhole(response);
    if (!received.ok()) {
        result.failure = std::string(received.status().message());
        return;
    }
    result.body = std::move(received->message.body());
    result.done = true;
    json whole = json::parse(result.body, nullptr, false);
    if (!whole.is_object())
        return;
    if (whole.contains("error")) {
        result.errorType = whole["error"].value("type", "");
        result.errorRan = whole["error"].value("ran", "");
        return;
    }
    if (whole.contains("choices"))
        result.text = textOf(whole["choices"].at(0));
    if (whole.contains("usage"))
        readUsage(whole["usage"], result);
}

} // namespace

call_response call(const call_request& request)
{
    call_response result;
    auto started = runtime::now();
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(runtime::socketAddress(request.address), Poco::Timespan(connectMicroseconds));
        socket.setNoDelay(true);
        Poco::Net::HTTPClientSession session(socket);
        runtime::setIoTimeout(session.socket(), request.timeout);
        Poco::Net::HTTPRequest head(request.method, request.path, "HTTP/1.1");
        if (!request.apiKey.empty())
            head.set("Authorization", "Bearer " + request.apiKey);
        for (const auto& [name, value] : request.headers)
            head.set(name, value);
        head.setContentType("application/json");
        head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        bool isSent = (session.sendRequest(head) << request.body << std::flush).good();
        runtime::response_reader response(
            session.socket(), { maxBodyBytes, request.method != "HEAD", isSent });
        response.setMaxPause(request.timeout);
        if (auto status = response.readHead(); !status.ok()) {
            result.failure = std::string(status.message());
            result.total = elapsedSince(started);
            return result;
        }
        result.status = static_cast<int>(response.head().result_int());
        for (const auto& field : response.head())
            result.headers[std::string(field.name_string())] = std::string(field.value());
        if (response.head()[boost::beast::http::field::content_type] == "text/event-stream")
            readStream(response, request, started, result);
        else
            readFullBody(response, result);
    } catch (const Poco::Exception& error) {
        result.failure = error.displayText();
    } catch (const json::exception& error) {
        result.failure = error.what();
    }
    result.total = elapsedSince(started);
    return result;
}

std::string completionBody(
    const std::string& model, const std::string& prompt, std::uint32_t maxTokens, bool stream)
{
    return json {
        { "model", model }, { "prompt", prompt }, { "max_tokens", maxTokens }, { "stream", stream }
    }.dump();
}

std::string fetch(const std::string& address, const std::string& path)
{
    call_request request;
    request.address = address;
    request.method = "GET";
    request.path = path;
    request.timeout = core::milliseconds(2000);
    return call(request).body;
}

} // namespace plumfold::client
