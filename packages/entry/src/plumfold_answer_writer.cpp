#include "plumfold_answer_writer.hpp"

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

json usageJson(const answer_end& end)
{
    return json {
        { "prompt_tokens", end.promptTokens },
        { "completion_tokens", end.outputTokens },
        { "total_tokens", end.promptTokens + end.outputTokens },
        { "prompt_tokens_details", { { "cached_tokens", end.cachedTokens } } },
    };
}

void sendWhole(HTTPResponse& head, Poco::Net::HTTPServerResponse& response, const std::string& body)
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
    sendWhole(response, response, errorJson(error).dump());
}

void sendStored(Poco::Net::HTTPServerResponse& response, const core::stored_response& answer)
{
    response.setStatus(static_cast<HTTPResponse::HTTPStatus>(answer.status));
    response.setContentType(answer.contentType);
    response.set("X-Plumfold-Replayed", "true");
    sendWhole(response, response, answer.body);
}

answer_writer::answer_writer(
    Poco::Net::HTTPServerResponse& response, const completion_request& request, std::string requestId)
    : m_response(response)
    , m_request(request)
    , m_requestId(std::move(requestId))
{
}

void answer_writer::setFailureDomain(const std::string& name)
{
    if (!started())
        m_response.set("X-Plumfold-Failure-Domain", name);
}

void answer_writer::start()
{
    m_response.setContentType("text/event-stream");
    m_response.set("Cache-Control", "no-cache");
    m_response.setChunkedTransferEncoding(true);
    m_out = &m_response.send();
}

std::string answer_writer::chunk(const std::string& text, const std::string* finishReason) const
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

bool answer_writer::token(const std::string& text)
{
    m_text += text;
    if (!m_request.stream)
        return true;
    if (!started())
        start();
    *m_out << chunk(text, nullptr) << "}\n\n";
    return m_out->good();
}

bool answer_writer::flush()
{
    if (m_out)
        m_out->flush();
    return !m_out || m_out->good();
}

std::string answer_writer::whole(const answer_end& end) const
{
    json choice { { "index", 0 }, { "finish_reason", end.finishReason } };
    if (m_request.chat)
        choice["message"] = { { "role", "assistant" }, { "content", m_text } };
    else
        choice["text"] = m_text;
    json body {
        { "id", m_requestId },
        { "object", m_request.chat ? "chat.completion" : "text_completion" },
        { "model", m_request.model },
        { "choices", json::array({ std::move(choice) }) },
        { "usage", usageJson(end) },
    };
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool answer_writer::end(const answer_end& end)
{
    if (!m_request.stream) {
        m_response.setContentType("application/json");
        std::string body = whole(end);
        m_response.setContentLength64(static_cast<Poco::Int64>(body.size()));
        std::ostream& out = m_response.send();
        out << body;
        out.flush();
        return out.good();
    }
    if (!started())
        start();
    *m_out << chunk("", &end.finishReason) << ",\"usage\":" << usageJson(end).dump()
           << "}\n\ndata: [DONE]\n\n";
    m_out->flush();
    return m_out->good();
}

void answer_writer::replay(const core::stored_response& answer)
{
    json whole = json::parse(answer.body, nullptr, false);
    if (!m_request.stream || !whole.is_object()) {
        sendStored(m_response, answer);
        return;
    }
    m_response.set("X-Plumfold-Replayed", "true");
    const auto& choice = whole.at("choices").at(0);
    token(m_request.chat ? choice.at("message").at("content") : choice.at("text"));
    const auto& usage = whole.at("usage");
    end({ choice.at("finish_reason"), usage.at("prompt_tokens"),
        usage.at("prompt_tokens_details").at("cached_tokens"), usage.at("completion_tokens") });
}

void answer_writer::fail(const core::error_info& error)
{
    if (!started()) {
        sendError(m_response, error);
        return;
    }
    *m_out << "data: " << errorJson(error).dump() << "\n\n";
    m_out->flush();
}

core::stored_response answer_writer::stored(const answer_end& end) const
{
    core::stored_response answer;
    answer.status = HTTPResponse::HTTP_OK;
    answer.contentType = "application/json";
    answer.body = whole(end);
    if (answer.body.size() > maxStoredBytes) {
        answer.truncated = true;
        answer.body.clear();
    }
    return answer;
}

} // namespace plumfold::entry
