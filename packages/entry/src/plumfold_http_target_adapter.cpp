#include "plumfold/entry/plumfold_http_target_adapter.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_http.hpp"
#include "plumfold/runtime/plumfold_response_reader.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <nlohmann/json.hpp>

#include <ostream>

namespace plumfold::entry {

namespace {

namespace http = boost::beast::http;

using json = nlohmann::json;
using core::attempt_outcome;
using core::milliseconds;

constexpr milliseconds connectTimeout { 300 };
constexpr milliseconds shortRequestTimeout { 1000 };
constexpr milliseconds probeTimeout { 200 };
/// Timeout of cancellations that are sent when the process is about to end.
constexpr milliseconds lastCancelTimeout { 100 };
constexpr int maxProbes = 3;
constexpr std::size_t maxIdlePerTarget = 32;
constexpr std::size_t maxEventBytes = 1 << 20;
constexpr std::size_t maxStreamBytes = 64 << 20;
constexpr std::string_view eventPrefix = "data: ";
constexpr std::string_view endOfStream = "[DONE]";

Poco::Timespan timespan(milliseconds time)
{
    return Poco::Timespan(0, static_cast<long>(time.count()) * 1000);
}

json toJson(const completion_call& call)
{
    json body {
        { "request_id", call.requestId },
        { "model", call.model },
        { "adapter", call.adapter },
        { "version", call.version },
        { "prompt", call.prompt },
        { "max_tokens", call.maxTokens },
        { "stream", true },
        { "resume_from", call.resumeFrom },
        { "resume_text", call.resumeText },
        { "priority", call.priority },
        { "chain", call.chain },
    };
    if (!call.importUrl.empty())
        body["kv_import"] = { { "url", call.importUrl }, { "blocks", call.importBlocks } };
    return body;
}

/// Sends a request with a body.
/// @return whether all of it was written. If not, the target cannot have received the complete request.
bool send(Poco::Net::HTTPClientSession& session, Poco::Net::HTTPRequest& request, const std::string& body)
{
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    request.setKeepAlive(true);
    std::ostream& out = session.sendRequest(request);
    out << body;
    out.flush();
    return out.good();
}

enum class event_kind { token, finish, done, failure };

event_kind handleEvent(std::string_view data, completion_result& result, token_sink& sink)
{
    if (data == endOfStream)
        return event_kind::done;
    json event = json::parse(data);
    if (event.contains("error"))
        return event_kind::failure;
    if (event.contains("usage")) {
        const auto& usage = event["usage"];
        result.promptTokens = usage.at("prompt_tokens");
        result.cachedTokens = usage.at("cached_tokens");
        result.outputTokens = usage.at("completion_tokens");
        result.finishReason = event.at("finish_reason");
        return event_kind::finish;
    }
    const auto& text = event.at("choices").at(0).at("text").get_ref<const std::string&>();
    if (!sink.onToken(event.at("token_index"), text))
        result.outcome = attempt_outcome::cancelled;
    return event_kind::token;
}

/// Reads events until the stream ends, fails or is cancelled.
void readEvents(runtime::response_reader& response, const completion_call& call, core::instant started,
    completion_result& result, token_sink& sink)
{
    result.outcome = attempt_outcome::lost;
    bool finished = false;
    bool first = true;
    runtime::line_reader lines(response, maxEventBytes);
    for (auto line = lines.next(); line.ok(); line = lines.next()) {
        // An empty line ends an event. Received tokens are flushed to the caller before this thread blocks
        // for more.
        if (line->empty() && !lines.hasMore() && !sink.onPause()) {
            result.outcome = attempt_outcome::cancelled;
            return;
        }
        if (!line->starts_with(eventPrefix))
            continue;
        event_kind kind = handleEvent(std::string_view(*line).substr(eventPrefix.size()), result, sink);
        if (kind == event_kind::failure)
            return;
        if (kind == event_kind::done) {
            if (finished)
                result.outcome = attempt_outcome::succeeded;
            return;
        }
        finished = finished || kind == event_kind::finish;
        if (result.outcome == attempt_outcome::cancelled)
            return;
        if (first) {
            first = false;
            result.firstToken = std::chrono::duration_cast<milliseconds>(runtime::now() - started);
            response.setMaxPause(call.tokenTimeout);
        }
    }
}

} // namespace

http_target_adapter::session http_target_adapter::openVerified(const target_process& target)
{
    Poco::Net::StreamSocket socket;
    socket.connect(runtime::socketAddress(target.address), timespan(connectTimeout));
    socket.setNoDelay(true);
    runtime::setIoTimeout(socket, connectTimeout);
    runtime::socket_group::member call(m_calls, socket);
    auto session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
    session->setKeepAlive(true);
    Poco::Net::HTTPRequest healthRequest("GET", "/healthz", "HTTP/1.1");
    healthRequest.setKeepAlive(true);
    session->sendRequest(healthRequest).flush();
    auto response = runtime::readResponse(
        session->socket(), { maxEventBytes }, connectTimeout, runtime::now() + connectTimeout);
    json reply = json::parse(response.ok() ? response->message.body() : "", nullptr, false);
    bool same = reply.is_object() && reply.value("incarnation", std::uint64_t(0)) == target.incarnation;
    if (!same)
        throw Poco::Net::ConnectionAbortedException("another process answers at the target's address");
    if (!response->isReusable)
        throw Poco::Net::ConnectionAbortedException(
            "the target closes the connection behind its first response");
    return session;
}

http_target_adapter::session http_target_adapter::popIdleConnection(const target_process& target)
{
    std::lock_guard lock(m_mutex);
    auto& idle = m_idle[target];
    while (!idle.empty()) {
        session candidate = std::move(idle.back());
        idle.pop_back();
        // An idle connection that is readable was closed by the target.
        if (!candidate->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
            return candidate;
    }
    return nullptr;
}

http_target_adapter::session http_target_adapter::connect(const target_process& target)
{
    session idle = popIdleConnection(target);
    return idle ? std::move(idle) : openVerified(target);
}

void http_target_adapter::returnIdleConnection(const target_process& target, session idle)
{
    std::lock_guard lock(m_mutex);
    // Connections to other incarnations of the target can no longer be used.
    std::erase_if(m_idle, [&](const auto& each) {
        return each.first.address == target.address && each.first.incarnation != target.incarnation;
    });
    auto& list = m_idle[target];
    if (list.size() < maxIdlePerTarget)
        list.push_back(std::move(idle));
}

completion_result http_target_adapter::complete(
    const target_process& target, const completion_call& call, token_sink& sink)
{
    completion_result result;
    result.outcome = attempt_outcome::not_reached;
    auto started = runtime::now();
    try {
        session used = connect(target);
        runtime::socket_group::member ending(m_calls, used->socket());
        runtime::setIoTimeout(used->socket(), call.firstTokenTimeout);
        Poco::Net::HTTPRequest request("POST", "/v1/completions", "HTTP/1.1");
        request.setContentType("application/json");
        request.set("traceparent", call.traceparent);
        result.outcome = attempt_outcome::lost;
        if (!send(*used, request, toJson(call).dump()))
            return result;
        runtime::response_reader response(used->socket(), { maxStreamBytes });
        response.setMaxPause(call.firstTokenTimeout);
        if (auto status = response.readHead(); !status.ok()) {
            result.failure = std::string(status.message());
            return result;
        }
        if (response.head().result() != http::status::ok) {
            auto whole = runtime::readWhole(response);
            json reply = json::parse(whole.ok() ? whole->message.body() : "", nullptr, false);
            bool ran = !reply.is_object() || reply.value("ran", true);
            result.outcome = ran ? attempt_outcome::lost : attempt_outcome::refused;
            result.failure = "status " + std::to_string(response.head().result_int());
            return result;
        }
        readEvents(response, call, started, result, sink);
        if (result.outcome == attempt_outcome::succeeded) {
            // Reads the last chunk, so that the connection can be used again.
            if (runtime::readWhole(response).ok() && response.isReusable())
                returnIdleConnection(target, std::move(used));
        }
    } catch (const Poco::Exception& error) {
        result.failure = error.displayText();
    } catch (const json::exception& error) {
        result.outcome = attempt_outcome::lost;
        result.failure = error.what();
    }
    return result;
}

service_result http_target_adapter::callService(const target_process& target, const service_call& call)
{
    service_result result;
    result.outcome = attempt_outcome::not_reached;
    try {
        // A service may close a pooled connection while a call is in flight, which leaves it unknown whether
        // the call ran. Each call to a service therefore opens a new connection.
        session used = openVerified(target);
        runtime::socket_group::member ending(m_calls, used->socket());
        runtime::setIoTimeout(used->socket(), call.timeout);
        Poco::Net::HTTPRequest request(call.method, "/v1/services/" + call.service + call.path, "HTTP/1.1");
        if (!call.contentType.empty())
            request.setContentType(call.contentType);
        if (!call.idempotencyKey.empty())
            request.set("Idempotency-Key", call.idempotencyKey);
        request.set("X-Plumfold-Customer", call.customer);
        request.set("traceparent", call.traceparent);
        result.outcome = attempt_outcome::lost;
        if (!send(*used, request, call.body))
            return result;
        bool hasBody = call.method != "HEAD";
        auto received = runtime::readResponse(
            used->socket(), { call.maxResponseBytes, hasBody }, call.timeout, runtime::now() + call.timeout);
        if (!received.ok()) {
            result.failure = std::string(received.status().message());
            return result;
        }
        auto& response = received->message;
        bool refused = response["X-Ran"] == "false";
        result.outcome = refused ? attempt_outcome::refused : attempt_outcome::succeeded;
        result.status = static_cast<std::uint16_t>(response.result_int());
        result.contentType = std::string(response[http::field::content_type]);
        result.body = std::move(response.body());
    } catch (const Poco::Exception& error) {
        result.failure = error.displayText();
    }
    return result;
}

namespace {

/// Sends a request to a target over a new connection.
/// @return the body of the response; null if there was no response with status 200.
std::unique_ptr<std::string> sendShortRequest(runtime::socket_group& pending, const std::string& address,
    const std::string& method, const std::string& path, const std::string& body, milliseconds timeout)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(runtime::socketAddress(address), timespan(timeout));
        runtime::socket_group::member ending(pending, socket);
        Poco::Net::HTTPClientSession session(socket);
        runtime::setIoTimeout(session.socket(), timeout);
        Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
        request.setContentType("application/json");
        if (!send(session, request, body))
            return nullptr;
        auto response = runtime::readResponse(
            session.socket(), { maxEventBytes }, timeout, runtime::now() + 2 * timeout);
        if (!response.ok() || response->message.result() != http::status::ok)
            return nullptr;
        return std::make_unique<std::string>(std::move(response->message.body()));
    } catch (const Poco::Exception&) {
        return nullptr;
    }
}

} // namespace

void http_target_adapter::cancel(const std::string& address, const std::string& requestId)
{
    sendShortRequest(m_shortRequests, address, "POST", "/v1/cancel",
        json { { "request_id", requestId } }.dump(), m_isEnding ? lastCancelTimeout : shortRequestTimeout);
}

bool http_target_adapter::exportBlocks(const std::string& address, const export_call& call)
{
    json body {
        { "request_id", call.requestId },
        { "chain", call.chain },
        { "first_block", call.firstBlock },
        { "blocks", call.blocks },
        { "url", call.url },
    };
    return sendShortRequest(
               m_shortRequests, address, "POST", "/v1/kv/export", body.dump(), shortRequestTimeout)
        != nullptr;
}

bool http_target_adapter::loadVersion(const target_process& target, const load_call& call)
{
    json body {
        { "kind", "load_version" },
        { "model", call.model },
        { "version", call.version },
        { "fence", call.fence },
    };
    return sendShortRequest(
               m_shortRequests, target.address, "POST", "/v1/orders", body.dump(), shortRequestTimeout)
        != nullptr;
}

void http_target_adapter::endCalls()
{
    m_isEnding = true;
    m_calls.shutdown();
    m_shortRequests.interrupt();
}

process_state http_target_adapter::probeProcess(const target_process& target)
{
    // A probe that the end of the process has interrupted must not be repeated: its request still needs its
    // last response.
    for (int tries = 0; tries < maxProbes && !m_isEnding; ++tries) {
        try {
            Poco::Net::StreamSocket socket;
            socket.connect(runtime::socketAddress(target.address), timespan(probeTimeout));
        } catch (const Poco::Net::ConnectionRefusedException&) {
            return process_state::ended;
        } catch (const Poco::Exception&) {
            return process_state::unknown;
        }
        auto sentAt = std::chrono::steady_clock::now();
        auto body = sendShortRequest(m_shortRequests, target.address, "GET", "/healthz", "", probeTimeout);
        json reply = json::parse(body ? *body : "", nullptr, false);
        if (reply.is_object()) {
            bool same = reply.value("incarnation", std::uint64_t(0)) == target.incarnation;
            return same ? process_state::same : process_state::ended;
        }
        // A process that ends may close its listener last. Then it closes connections that it has not
        // accepted.
        bool isClosed = std::chrono::steady_clock::now() - sentAt < probeTimeout;
        if (!isClosed)
            break;
    }
    return process_state::unknown;
}

} // namespace plumfold::entry
