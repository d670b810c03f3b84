#include "plumfold_response_writer.hpp"

#include <nlohmann/json.hpp>

namespace plumfold::entry {

namespace {

using json = nlohmann::json;
using Poco::Net::HTTPResponse;

constexpr std::size_t maxStoredBytes = 64 << 10;
constexpr int unauthenticatedStatus = 401;

json errorJson(const core::error_info& error)
{
    json body {
        { "type", core::errorKindName(error.kind) },
        { "message", error.message },
        { "ran", core::runStateName(error.ran) },
    };
    if (error.retryAfter)
        body["retry_after_ms"] = error.retryAfter->count();
    return json { { "error", std::move(body) } };
}

std::string quote(const std::string& text)
{
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

json usageJson(const completion_summary& summary)
{
    return json {
        { "prompt_tokens", summary.promptTokens },
        { "completion_tokens", summary.outputTokens },
        { "total_tokens", summary.promptTokens + summary.outputTokens },
        { "prompt_tokens_details", { { "cached_tokens", summary.cachedTokens } } },
    };
}

void sendBody(HTTPResponse& head, Poco::Net::HTTPServerResponse& response, const std::string& body)
{
    head.setContentLength64(static_cast<Poco::Int64>(body.size()));
    response.send() << body;
}

} // namespace

void sendError(Poco::Net::HTTPServerResponse& response, const core::error_info& error)
{
    response.setStatus(static_cast<HTTPResponse::HTTPStatus>(core::httpStatusOf(error.kind)));
    response.setContentType("application/json");
    if (core::httpStatusOf(error.kind) == unauthenticatedStatus)
        response.set("WWW-Authenticate", "Bearer");
    if (error.retryAfter)
        response.set("Retry-After",
            std::to_string(std::chrono::ceil<std::chrono::seconds>(*error.retryAfter).count()));
    sendBody(response, response, errorJson(error).dump());
}

void sendStoredResponse(Poco::Net::HTTPServerResponse& response, const core::stored_response& stored)
{
    response.setStatus(static_cast<HTTPResponse::HTTPStatus>(stored.status));
    response.setContentType(stored.contentType);
    response.set("X-Plumfold-Replayed", "true");
    sendBody(response, response, stored.body);
}

response_writer::response_writer(
    Poco::Net::HTTPServerResponse& response, const completion_request& request, std::string requestId)
    : m_response(response)
    , m_request(request)
    , m_requestId(std::move(requestId))
{
}

void response_writer::setFailureDomain(const std::string& name)
{
    if (!started())
        m_response.set("X-Plumfold-Failure-Domain", name);
}

void response_writer::startStream()
{
    m_response.setContentType("text/event-stream");
    m_response.set("Cache-Control", "no-cache");
    m_response.setChunkedTransferEncoding(true);
    m_out = &m_response.send();
}

std::string response_writer::chunk(const std::string& text, const std::string* finishReason) const
{
    std::string out = "data: {\"id\":\"" + m_requestId + "\",\"object\":\"";
    out += m_request.chat ? "chat.completion.chunk" : "text_completion";
    out += "\",\"model\":" + quote(m_request.model) + ",\"choices\":[{\"index\":0,";
    if (m_request.chat)
        out += "\"delta\":{\"content\":" + quote(text) + '}';
    else
        out += "\"text\":" + quote(text);
    out += ",\"finish_reason\":" + (finishReason ? quote(*finishReason) : "null") + "}]";
    return out;
}

bool response_writer::writeToken(const std::string& text)
{
    m_text += text;
    if (!m_request.stream)
        return true;
    if (!started())
        startStream();
    *m_out << chunk(text, nullptr) << "}\n\n";
    return m_out->good();
}

bool response_writer::flush()
{
    if (m_out)
        m_out->flush();
    return !m_out || m_out->good();
}

std::string response_writer::completionJson(const completion_summary& summary) const
{
    json choice { { "index", 0 }, { "finish_reason", summary.finishReason } };
    if (m_request.chat)
        choice["message"] = { { "role", "assistant" }, { "content", m_text } };
    else
        choice["text"] = m_text;
    json body {
        { "id", m_requestId },
        { "object", m_request.chat ? "chat.completion" : "text_completion" },
        { "model", m_request.model },
        { "choices", json::array({ std::move(choice) }) },
        { "usage", usageJson(summary) },
    };
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool response_writer::finish(const completion_summary& summary)
{
    if (!m_request.stream) {
        m_response.setContentType("application/json");
        std::string body = completionJson(summary);
        m_response.setContentLength64(static_cast<Poco::Int64>(body.size()));
        std::ostream& out = m_response.send();
        out << body;
        out.flush();
        return out.good();
    }
    if (!started())
        startStream();
    *m_out << chunk("", &summary.finishReason) << ",\"usage\":" << usageJson(summary).dump()
           << "}\n\ndata: [DONE]\n\n";
    m_out->flush();
    return m_out->good();
}

void response_writer::replay(const core::stored_response& stored)
{
    json whole = json::parse(stored.body, nullptr, false);
    if (!m_request.stream || !whole.is_object()) {
        sendStoredResponse(m_response, stored);
        return;
    }
    m_response.set("X-Plumfold-Replayed", "true");
    const auto& choice = whole.at("choices").at(0);
    writeToken(m_request.chat ? choice.at("message").at("content") : choice.at("text"));
    const auto& usage = whole.at("usage");
    finish({ choice.at("finish_reason"), usage.at("prompt_tokens"),
        usage.at("prompt_tokens_details").at("cached_tokens"), usage.at("completion_tokens") });
}

void response_writer::writeError(const core::error_info& error)
{
    if (!started()) {
        sendError(m_response, error);
        return;
    }
    *m_out << "data: " << errorJson(error).dump() << "\n\n";
    m_out->flush();
}

core::stored_response response_writer::toStoredResponse(const completion_summary& summary) const
{
    core::stored_response stored;
    stored.status = HTTPResponse::HTTP_OK;
    stored.contentType = "application/json";
    stored.body = completionJson(summary);
    if (stored.body.size() > maxStoredBytes) {
        stored.truncated = true;
        stored.body.clear();
    }
    return stored;
}

} // namespace plumfold::entry
