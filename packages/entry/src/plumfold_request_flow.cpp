#include "plumfold_request_flow.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

namespace plumfold::entry {

namespace {

constexpr core::milliseconds disconnectCheckInterval { 50 };
constexpr core::milliseconds retryAfterShutdown { 500 };

} // namespace

absl::Status callerDisconnectedStatus()
{
    return absl::CancelledError("the caller has left");
}

absl::Status gracePeriodExpiredStatus(core::run_state ran)
{
    if (ran == core::run_state::not_run)
        return core::toStatus({ core::error_kind::shutting_down, ran,
            "this entry has stopped before the request was sent to a target: send it again",
            retryAfterShutdown });
    return core::toStatus({ core::error_kind::target_failed, ran,
        "this entry has stopped before the target answered: the request may have run", std::nullopt });
}

core::error_info finalError(const absl::Status& status, bool mayHaveRun)
{
    core::error_info error = core::errorInfoOf(status);
    if (!mayHaveRun || error.ran != core::run_state::not_run)
        return error;
    if (error.kind == core::error_kind::shutting_down)
        return core::errorInfoOf(gracePeriodExpiredStatus(core::run_state::unknown));
    error.ran = core::run_state::unknown;
    return error;
}

bool request_flow::isCallerDisconnected()
{
    auto& socket = static_cast<Poco::Net::HTTPServerRequestImpl&>(caller).socket();
    try {
        if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
            return false;
        return socket.available() == 0; // readable without data: closed
    } catch (const Poco::Exception&) {
        return true;
    }
}

absl::StatusOr<core::dispatch_plan> request_flow::awaitDispatch(
    core::request_number request, dispatch_ticket& ticket)
{
    auto from = runtime::now();
    while (true) {
        auto verdict = ticket.wait(disconnectCheckInterval);
        if (verdict) {
            writeSpan("queue", from, {});
            if (const auto* error = std::get_if<core::error_info>(&*verdict))
                return core::toStatus(*error);
            return std::get<core::dispatch_plan>(*verdict);
        }
        bool disconnected = isCallerDisconnected();
        if (disconnected || context.aborting) {
            context.dispatchThread.post(cancel_event { request });
            return disconnected ? callerDisconnectedStatus()
                                : gracePeriodExpiredStatus(core::run_state::not_run);
        }
    }
}

absl::StatusOr<core::dispatch_plan> request_flow::dispatch(const core::request_spec& spec)
{
    auto ticket = std::make_shared<dispatch_ticket>();
    context.dispatchThread.post(submit_event { spec, ticket });
    return awaitDispatch(spec.number, *ticket);
}

absl::StatusOr<core::dispatch_plan> request_flow::dispatchRetry(
    const core::request_spec& spec, const core::attempt_report& report)
{
    auto ticket = std::make_shared<dispatch_ticket>();
    context.dispatchThread.post(retry_event { spec, report, ticket });
    return awaitDispatch(spec.number, *ticket);
}

void request_flow::writeSpan(
    const std::string& name, core::instant from, std::map<std::string, std::string> attributes)
{
    runtime::span finished;
    finished.context = trace.child();
    finished.parentSpanId = trace.spanId;
    finished.name = name;
    finished.endNanoseconds = runtime::unixNowNanoseconds();
    auto length = std::chrono::duration_cast<std::chrono::nanoseconds>(runtime::now() - from);
    finished.startNanoseconds = finished.endNanoseconds - static_cast<std::uint64_t>(length.count());
    finished.attributes = std::move(attributes);
    context.traces.write(std::move(finished));
}

void request_flow::logEnd(const std::string& kind, const std::string& outcome, int attempts)
{
    auto duration = std::chrono::duration_cast<core::milliseconds>(runtime::now() - arrivedAt);
    runtime::log_event("request_end")
        .with("request", requestId)
        .with("kind", kind)
        .with("customer", customer.name)
        .with("outcome", outcome)
        .with("attempts", attempts)
        .with("ms", duration.count());
    context.metrics.count("plumfold_requests_total{kind=\"" + kind + "\",outcome=\"" + outcome + "\"}");
}

} // namespace plumfold::entry
