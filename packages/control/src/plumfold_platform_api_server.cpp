#include "plumfold_platform_api_server.hpp"

#include "plumfold_api_response.hpp"
#include "plumfold_rollout_api.hpp"

#include "plumfold/core/plumfold_buffer_budget.hpp"
#include "plumfold/platform/plumfold_platform_control_calls.hpp"
#include "plumfold/platform/plumfold_platform_deployment.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <algorithm>
#include <functional>
#include <istream>
#include <mutex>
#include <optional>

namespace plumfold::control {

namespace {

using Poco::Net::HTTPResponse;

constexpr int maxConnections = 200;
constexpr std::size_t maxCallBytes = 16 << 20; // of the request body
/// Limit of the bodies of all calls. The rest of the memory of a control VM, 256 MB, is for the state, the
/// log and decoded configurations.
constexpr std::size_t allCallsBytes = 48 << 20;
constexpr std::size_t readBytes = 16 << 10;
/// Below the second after which operators try another control VM.
constexpr auto responseTimeout = 850 * kj::MILLISECONDS;
/// Longer limit for bodies above largeBodyBytes, such as a configuration with many routes.
constexpr auto largeResponseTimeout = 1500 * kj::MILLISECONDS;
constexpr std::size_t largeBodyBytes = 64 << 10;
/// A call that has waited for longer may have been given up by its caller, and followed by others.
constexpr core::milliseconds maxWait { 700 };

/// Memory for the bodies of all calls, which threads of the listener share.
class call_bodies {
public:
    /// The part that the body of one call uses, until destruction.
    class share {
    public:
        explicit share(call_bodies& bodies)
            : m_mutex(bodies.m_mutex)
            , m_share(std::in_place, bodies.m_budget)
        {
        }
        ~share()
        {
            std::lock_guard lock(m_mutex);
            m_share.reset();
        }
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// @return whether the body may have this size.
        bool resize(std::size_t bytes)
        {
            std::lock_guard lock(m_mutex);
            return m_share->resize(bytes);
        }

    private:
        std::mutex& m_mutex;
        std::optional<core::buffer_share> m_share;
    };

    /// To be held while a large body is decoded, which takes many times its bytes.
    std::mutex& decoding() { return m_decoding; }

private:
    std::mutex m_mutex;
    std::mutex m_decoding;
    core::buffer_budget m_budget { allCallsBytes };
};

/// Executes one call on a thread of the listener and returns its response.
class call_visitor {
public:
    /// @param waited how long the call had been waiting when it was read, according to the kernel.
    call_visitor(
        platform_api_context& context, call_bodies& bodies, std::string body, core::milliseconds waited)
        : m_context(context)
        , m_bodies(bodies)
        , m_body(std::move(body))
        , m_readAt(runtime::nowWithSuspension())
        , m_waited(waited)
    {
    }

    api_response operator()(const platform::announce_call& call)
    {
        bool isLeaving = call.target.state == core::target_state::leaving;
        bool isComplete = true;
        auto nextAddress = m_context.rpc.run([&] {
            isComplete = isLeaving || !m_context.feed.lacksModels(call.target);
            if (isComplete)
                m_context.feed.onAnnouncement(call.target);
            return m_context.feed.announceAddressIn(call.target.failureDomain);
        });
        if (!isComplete)
            return errorResponse(
                HTTPResponse::HTTP_BAD_REQUEST, "the service has models, but the announcement names none");
        if (isLeaving) {
            core::departure left { call.target.name, call.target.startedAt };
            auto recorded = await([&] { return m_context.departures.record(left, deadline()); });
            if (recorded.status != HTTPResponse::HTTP_OK)
                return recorded;
        }
        return { HTTPResponse::HTTP_OK, platform::encodeAnnounceResponse(nextAddress) };
    }

    api_response operator()(const platform::leave_call& call)
    {
        // The target may have started again under its name since.
        if (auto outdated = checkWait())
            return *outdated;
        return await([&] {
            // The entries need not wait for the log.
            m_context.feed.onTargetLeft(call.target);
            return m_context.departures.recordKnown(call.target, deadline());
        });
    }

    api_response operator()(const platform::put_deployment_call&)
    {
        auto checked = checkedVersion();
        // A former version may have accepted what is refused now.
        auto version = checked.ok() ? std::optional(*checked) : versionIfStored();
        if (!version) {
            std::string reason(checked.status().message());
            runtime::log_event("deployment_refused").with("reason", reason);
            return errorResponse(HTTPResponse::HTTP_BAD_REQUEST, reason);
        }
        return submit(core::adopt_document_command { { *version, m_body } });
    }

    api_response operator()(const platform::read_deployment_call&)
    {
        try {
            auto text = m_context.rpc.run([&] {
                return m_context.leader.confirm(responseTimeout).then([this] {
                    return m_context.feed.view().deployment->document.text;
                });
            });
            if (text.empty())
                return errorResponse(
                    HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "no configuration was accepted yet");
            return { HTTPResponse::HTTP_OK, text };
        } catch (const kj::Exception& exception) {
            return unavailableResponse(exception);
        }
    }

    api_response operator()(const platform::set_in_service_call& call)
    {
        if (auto outdated = checkWait())
            return *outdated;
        auto makeCommand = [this, call] {
            const auto& orders = m_context.feed.view().inServiceOrders;
            auto latest = orders.find(call.failureDomain);
            core::set_in_service_command command { call.failureDomain, call.inService, {} };
            command.lastKnownOrder = latest == orders.end() ? 0 : latest->second;
            return core::command { 0, std::move(command) };
        };
        return await([&] { return m_context.leader.submit(makeCommand, deadline()).ignoreResult(); });
    }

    api_response operator()(const platform::set_weight_version_call& call)
    {
        return submit(core::set_current_weights_command { call.model, call.version });
    }

    api_response operator()(const platform::begin_rollout_call& call)
    {
        if (!rolloutsAreServed())
            return unknownCall();
        if (auto outdated = checkWait()) {
            runtime::log_event("rollout_refused", runtime::log_level::warning)
                .with("service", call.service)
                .with("version", call.version)
                .with("reason", "waited");
            return *outdated;
        }
        return rollouts().begin(call);
    }

    api_response operator()(const platform::read_rollout_call& call)
    {
        return rolloutsAreServed() ? rollouts().read(call) : unknownCall();
    }

    api_response operator()(const platform::malformed_rollout_call& call)
    {
        return rolloutsAreServed() ? (*this)(platform::malformed_call { call.message }) : unknownCall();
    }

    api_response operator()(const platform::malformed_call& call)
    {
        runtime::log_event("call_malformed").with("reason", call.message);
        return errorResponse(HTTPResponse::HTTP_BAD_REQUEST, call.message);
    }

    api_response operator()(const platform::unknown_call&) { return unknownCall(); }

private:
    static api_response unknownCall()
    {
        return errorResponse(HTTPResponse::HTTP_NOT_FOUND, "there is no such call");
    }

    bool rolloutsAreServed() const { return m_context.settings.control->rolloutExposureShare > 0; }

    rollout_api rollouts() const
    {
        return rollout_api(m_context.rpc, m_context.feed, m_context.leader, m_context.versions, deadline());
    }

    /// @return the response to a call that has waited for so long that a later one may have been carried out.
    std::optional<api_response> checkWait()
    {
        m_waited = std::max(m_waited, m_context.rpc.run([&] { return m_context.feed.possibleWait(); }));
        if (m_waited < maxWait)
            return std::nullopt;
        runtime::log_event("call_outdated", runtime::log_level::warning).with("waited_ms", m_waited.count());
        return errorResponse(HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
            "the call may have waited until its caller gave up: it was not carried out, try again");
    }

    /// @return the version of the deployment in the body, or why it is refused.
    absl::StatusOr<std::uint64_t> checkedVersion()
    {
        std::lock_guard lock(m_bodies.decoding());
        auto decoded = platform::decodeSubmittedDeployment(m_body);
        absl::Status status = decoded.ok() ? decoded->check() : decoded.status();
        if (!status.ok())
            return status;
        return decoded->version();
    }

    /// @return the version of the stored configuration if it is the one in the body.
    std::optional<std::uint64_t> versionIfStored()
    {
        return m_context.rpc.run([&] {
            const auto& stored = m_context.feed.view().deployment->document;
            return stored.text == m_body ? std::optional(stored.version) : std::nullopt;
        });
    }

    /// @return when the caller gives up, less a margin; in the time of runtime::nowWithSuspension().
    core::instant deadline() const
    {
        return m_readAt + core::milliseconds(responseTimeout / kj::MILLISECONDS) - m_waited;
    }

    template <class Command> api_response submit(Command command)
    {
        auto timeout = m_body.size() > largeBodyBytes ? largeResponseTimeout : responseTimeout;
        return await([&] {
            return m_context.leader.submit(core::command { 0, std::move(command) }, timeout).ignoreResult();
        });
    }

    /// Starts an operation on the RPC thread and waits for it.
    /// @return an empty response, or why the operation failed.
    api_response await(const std::function<kj::Promise<void>()>& operation)
    {
        try {
            m_context.rpc.run(operation);
            return {};
        } catch (const kj::Exception& exception) {
            return unavailableResponse(exception);
        }
    }

    platform_api_context& m_context;
    call_bodies& m_bodies;
    std::string m_body;
    core::instant m_readAt; // in the time of runtime::nowWithSuspension()
    core::milliseconds m_waited;
};

enum class body_result { complete, too_large, no_room };

/// Reads the body of a call as far as the limits allow.
body_result readCallBody(std::istream& in, call_bodies::share& share, std::string& body)
{
    std::string part(readBytes, '\0');
    while (in.good()) {
        in.read(part.data(), static_cast<std::streamsize>(part.size()));
        auto received = static_cast<std::size_t>(in.gcount());
        if (body.size() + received > maxCallBytes)
            return body_result::too_large;
        if (!share.resize(body.size() + received))
            return body_result::no_room;
        body.append(part, 0, received);
    }
    return body_result::complete;
}

class api_request_handler final : public Poco::Net::HTTPRequestHandler {
public:
    api_request_handler(platform_api_context& context, call_bodies& bodies)
        : m_context(context)
        , m_bodies(bodies)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        auto receivedAt = runtime::now();
        auto& connection = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
        auto waited = runtime::sinceLastData(connection);
        call_bodies::share share(m_bodies);
        std::string body;
        auto result = readCallBody(request.stream(), share, body);
        api_response apiResponse;
        bool isAnnouncement = false;
        if (result == body_result::complete) {
            auto call = platform::decodeControlCall(request.getMethod(), request.getURI(), body);
            isAnnouncement = std::holds_alternative<platform::announce_call>(call);
            apiResponse = std::visit(call_visitor(m_context, m_bodies, std::move(body), waited), call);
        } else {
            // The rest of the body is not read, so no other call can follow.
            response.setKeepAlive(false);
            std::string().swap(body);
            share.resize(0);
            apiResponse = result == body_result::too_large
                ? errorResponse(HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "the body is too large")
                : errorResponse(HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                    "the bodies of other calls leave no room for this one: try again");
        }
        // Each target announces itself every second; the feed logs changes.
        if (!isAnnouncement) {
            auto duration = std::chrono::duration_cast<core::milliseconds>(runtime::now() - receivedAt);
            runtime::log_event("call_answered")
                .with("method", request.getMethod())
                .with("path", request.getURI())
                .with("status", static_cast<int>(apiResponse.status))
                .with("took_ms", duration.count());
        }
        response.setStatus(apiResponse.status);
        response.setContentType("application/json");
        response.sendBuffer(apiResponse.body.data(), apiResponse.body.size());
    }

private:
    platform_api_context& m_context;
    call_bodies& m_bodies;
};

class api_handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit api_handler_factory(platform_api_context& context)
        : m_context(context)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new api_request_handler(m_context, m_bodies);
    }

private:
    platform_api_context& m_context;
    call_bodies m_bodies;
};

runtime::http_limits apiLimits()
{
    runtime::http_limits limits;
    limits.maxConnections = maxConnections;
    return limits;
}

} // namespace

platform_api_server::platform_api_server(platform_api_context context)
    : m_context(context)
    , m_listener(m_context.settings.control->platformAddress, new api_handler_factory(m_context), apiLimits())
{
}

} // namespace plumfold::control
