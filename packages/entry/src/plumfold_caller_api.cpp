#include "plumfold_caller_api.hpp"

#include "plumfold_completion_flow.hpp"
#include "plumfold_response_writer.hpp"
#include "plumfold_service_flow.hpp"

#include "plumfold/core/plumfold_hash.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace plumfold::entry {

namespace {

using core::error_info;
using core::error_kind;
using core::run_state;

constexpr core::milliseconds retryAfterShutdown { 500 };
constexpr std::size_t requestIdBytes = 12;
constexpr std::streamsize maxDroppedBytes = 16 << 20;
constexpr std::string_view servicesPrefix = "/v1/services/";

class caller_handler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit caller_handler(entry_context& context)
        : m_context(context)
    {
        m_context.openRequests.fetch_add(1);
    }
    ~caller_handler() override { m_context.openRequests.fetch_sub(1); }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        using route = void (caller_handler::*)(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
        static const std::map<std::string, route> routes {
            { "POST /v1/completions", &caller_handler::onCompletion },
            { "POST /v1/chat/completions", &caller_handler::onCompletion },
            { "GET /v1/models", &caller_handler::onModels },
            { "GET /healthz", &caller_handler::onHealth },
            { "GET /readyz", &caller_handler::onReady },
            { "GET /metrics", &caller_handler::onMetrics },
        };
        try {
            auto found = routes.find(request.getMethod() + ' ' + request.getURI());
            if (found != routes.end())
                (this->*found->second)(request, response);
            else if (request.getURI().starts_with(servicesPrefix))
                onService(request, response);
            else
                reject(request, response,
                    { error_kind::bad_request, run_state::not_run, "no such path: see docs/callers.md",
                        std::nullopt });
        } catch (const Poco::Exception& error) {
            // The caller's connection broke, so no response can be sent.
            runtime::log_event("caller_connection_broken").with("failure", error.displayText());
        }
    }

private:
    static Poco::Net::StreamSocket& socketOf(Poco::Net::HTTPServerRequest& request)
    {
        return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
    }

    /// Sends an error without using the body. Reads and discards the rest of the body first: closing a
    /// connection with unread bytes resets it, and the caller could lose the response.
    void reject(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
        const error_info& error)
    {
        runtime::socket_group::member receiving(m_context.receivingCallers, socketOf(request));
        request.stream().ignore(maxDroppedBytes);
        response.setKeepAlive(false);
        sendError(response, error);
    }

    /// @return whether the request was rejected because this entry is shutting down.
    bool rejectWhenStopping(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        if (!m_context.stopping)
            return false;
        reject(request, response,
            { error_kind::shutting_down, run_state::not_run, "this entry is stopping: send the request again",
                retryAfterShutdown });
        return true;
    }

    /// Authenticates the caller and reads the headers.
    /// @return the flow of the request, or the error for the caller.
    absl::StatusOr<request_flow> createFlow(Poco::Net::HTTPServerRequest& request)
    {
        auto snapshot = m_context.dispatchThread.snapshot();
        if (!snapshot.configurationKnown) {
            return core::toStatus({ error_kind::control_unavailable, run_state::not_run,
                "this entry has not learned the configuration yet: come back later", retryAfterShutdown });
        }
        auto customer = authenticate(request, *snapshot.config);
        if (!customer.ok())
            return customer.status();
        auto headers = readHeaders(request, core::milliseconds(m_context.settings.entry->defaultDeadlineMs));
        if (!headers.ok())
            return headers.status();
        auto now = runtime::now();
        auto callerTrace = runtime::trace_context::fromHeader(headers->traceparent);
        request_flow flow { m_context, request, std::move(*customer), std::move(*headers),
            runtime::randomHex(requestIdBytes), now, now, callerTrace.child(), 0 };
        flow.deadline = now + flow.headers.deadline;
        return flow;
    }

    /// @return the body; null if it was rejected, and then the caller has its response.
    std::unique_ptr<std::string> readBody(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        std::uint64_t limit = m_context.settings.entry->maxBodyBytes;
        bool declaredTooLarge
            = request.hasContentLength() && static_cast<std::uint64_t>(request.getContentLength64()) > limit;
        std::unique_ptr<std::string> body;
        if (!declaredTooLarge) {
            runtime::socket_group::member receiving(m_context.receivingCallers, socketOf(request));
            body = runtime::readBody(request.stream(), limit);
        }
        // The stop may have begun while the body was received, or have ended its reception.
        if (rejectWhenStopping(request, response))
            return nullptr;
        if (!body) {
            reject(request, response,
                { error_kind::too_large, run_state::not_run,
                    "the body may have at most " + std::to_string(limit) + " bytes", std::nullopt });
            return nullptr;
        }
        bool truncated = request.hasContentLength()
            && static_cast<std::uint64_t>(request.getContentLength64()) != body->size();
        if (truncated) {
            reject(request, response,
                { error_kind::bad_request, run_state::not_run,
                    "the body is shorter than its length: send it again", std::nullopt });
            return nullptr;
        }
        return body;
    }

    /// @return a hash of customer, method, path and body, which identifies the request.
    static std::uint64_t fingerprintOf(const request_flow& flow, const std::string& body)
    {
        std::uint64_t hash = core::hashBytes(flow.customer.name);
        hash = core::hashBytes(flow.caller.getMethod() + ' ' + flow.caller.getURI(), hash);
        return core::hashBytes(body, hash);
    }

    /// A call whose caller is authenticated and whose body has been read.
    struct received_call {
        request_flow flow;
        std::string body;
    };

    /// Receives a call that is to run on a target.
    /// @return the call; nothing if it was rejected, and then the caller has its response.
    std::optional<received_call> receiveCall(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        if (rejectWhenStopping(request, response))
            return std::nullopt;
        auto flow = createFlow(request);
        if (!flow.ok()) {
            reject(request, response, core::errorInfoOf(flow.status()));
            return std::nullopt;
        }
        auto body = readBody(request, response);
        if (!body)
            return std::nullopt;
        flow->fingerprint = fingerprintOf(*flow, *body);
        response.set("X-Plumfold-Request-Id", flow->requestId);
        return received_call { std::move(*flow), std::move(*body) };
    }

    void onCompletion(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        auto received = receiveCall(request, response);
        if (!received)
            return;
        auto& [flow, body] = *received;
        auto config = m_context.dispatchThread.snapshot().config;
        bool chat = request.getURI() == "/v1/chat/completions";
        auto completion = readCompletion(body, chat, flow.customer, *config);
        if (!completion.ok())
            return sendError(response, core::errorInfoOf(completion.status()));
        completion_flow(flow, *completion, response).run();
        writeEntrySpan(flow);
    }

    void onService(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        auto received = receiveCall(request, response);
        if (!received)
            return;
        auto& [flow, body] = *received;
        std::string rest = request.getURI().substr(servicesPrefix.size());
        std::size_t end = rest.find_first_of("/?");
        std::string name = rest.substr(0, end);
        std::string path = end == std::string::npos ? "" : rest.substr(end);
        auto config = m_context.dispatchThread.snapshot().config;
        const auto* service = config->service(name);
        const auto& open = flow.customer.models;
        if (!service || std::find(open.begin(), open.end(), name) == open.end()) {
            return sendError(response,
                { error_kind::unknown_service, run_state::not_run,
                    "this service does not exist or is not open to you: ask an operator", std::nullopt });
        }
        service_flow(flow, *service, path, std::move(body), response).run();
        writeEntrySpan(flow);
    }

    void writeEntrySpan(const request_flow& flow)
    {
        runtime::span finished;
        finished.context = flow.trace;
        finished.parentSpanId = runtime::trace_context::fromHeader(flow.headers.traceparent).spanId;
        finished.name = "entry";
        finished.endNanoseconds = runtime::unixNowNanoseconds();
        auto length = std::chrono::duration_cast<std::chrono::nanoseconds>(runtime::now() - flow.arrivedAt);
        finished.startNanoseconds = finished.endNanoseconds - static_cast<std::uint64_t>(length.count());
        finished.attributes = { { "request", flow.requestId }, { "customer", flow.customer.name } };
        m_context.traces.write(std::move(finished));
    }

    void onModels(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        auto flow = createFlow(request);
        if (!flow.ok())
            return reject(request, response, core::errorInfoOf(flow.status()));
        nlohmann::json list = nlohmann::json::array();
        auto config = m_context.dispatchThread.snapshot().config;
        for (const auto& name : flow->customer.models) {
            if (config->model(name))
                list.push_back({ { "id", name }, { "object", "model" } });
        }
        sendText(
            response, "application/json", nlohmann::json { { "object", "list" }, { "data", list } }.dump());
    }

    void onHealth(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse& response)
    {
        sendText(response, "text/plain", "ok\n");
    }

    void onReady(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse& response)
    {
        auto snapshot = m_context.dispatchThread.snapshot();
        bool ready = snapshot.configurationKnown && !m_context.stopping;
        if (!ready)
            response.setStatus(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        nlohmann::json body {
            { "ready", ready },
            { "revision", snapshot.config->revision() },
            { "digest", snapshot.config->digest() },
            { "targets", snapshot.targets },
            { "waiting", snapshot.waiting },
            { "running", snapshot.running },
        };
        sendText(response, "application/json", body.dump() + '\n');
    }

    void onMetrics(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse& response)
    {
        auto snapshot = m_context.dispatchThread.snapshot();
        m_context.metrics.set("plumfold_waiting", static_cast<double>(snapshot.waiting));
        m_context.metrics.set("plumfold_running", static_cast<double>(snapshot.running));
        m_context.metrics.set("plumfold_targets", static_cast<double>(snapshot.targets));
        m_context.metrics.set(
            "plumfold_configuration_revision", static_cast<double>(snapshot.config->revision()));
        sendText(response, "text/plain; version=0.0.4", m_context.metrics.prometheusText());
    }

    static void sendText(
        Poco::Net::HTTPServerResponse& response, const std::string& type, const std::string& body)
    {
        response.setContentType(type);
        response.setContentLength64(static_cast<Poco::Int64>(body.size()));
        response.send() << body;
    }

    entry_context& m_context;
};

class caller_handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit caller_handler_factory(entry_context& context)
        : m_context(context)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new caller_handler(m_context);
    }

private:
    entry_context& m_context;
};

runtime::http_limits callerLimits(const runtime::settings& settings)
{
    runtime::http_limits limits;
    limits.maxConnections = static_cast<int>(settings.entry->maxConnections);
    return limits;
}

} // namespace

caller_api::caller_api(entry_context& context)
    : m_http(context.settings.entry->callerAddress, new caller_handler_factory(context),
        callerLimits(context.settings))
{
}

} // namespace plumfold::entry
