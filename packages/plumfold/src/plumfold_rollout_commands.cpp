#include "plumfold_commands_registry.hpp"
#include "plumfold_output.hpp"

#include "plumfold/core/rollout/plumfold_rollout_names.hpp"
#include "plumfold/platform/plumfold_platform_control_calls.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_response_reader.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <cmath>
#include <cstdlib>
#include <map>
#include <thread>

namespace plumfold::cli {

namespace {

using Poco::Net::HTTPResponse;

constexpr int callTimeoutSeconds = 1;
constexpr std::size_t maxResponseBytes = 1 << 20;
constexpr std::chrono::milliseconds totalTime { 5'000 }; // for which calls that may succeed are repeated
constexpr std::chrono::milliseconds retryPause { 100 };

struct rollout_options {
    std::vector<std::string> platform; ///< Platform addresses of control VMs: ip:port.
    std::string service;
    std::string version;
    std::string duration;
};

/// @return a duration in milliseconds; invalid_argument unless the text is a number with an optional unit and
/// the duration is one that a rollout may have.
absl::StatusOr<std::uint64_t> parseDuration(const std::string& text)
{
    static const std::map<std::string, double> msByUnit { { "", 1'000 }, { "ms", 1 }, { "s", 1'000 },
        { "min", 60'000 }, { "h", 3'600'000 } };
    char* end = nullptr;
    double number = std::strtod(text.c_str(), &end);
    std::string unit = end;
    unit.erase(0, unit.find_first_not_of(' '));
    auto found = msByUnit.find(unit);
    double ms = end == text.c_str() || found == msByUnit.end() ? 0 : number * found->second;
    if (!(ms >= 1 && ms <= static_cast<double>(platform::maxRolloutDurationMs)))
        return absl::InvalidArgumentError(
            "a duration is a number with the unit ms, s, min or h, from 1ms to 168h, such as 12s");
    return static_cast<std::uint64_t>(std::llround(ms));
}

absl::Status statusOf(int status, const std::string& body)
{
    auto message = platform::decodeErrorMessage(body);
    switch (status) {
    case HTTPResponse::HTTP_OK:
        return absl::OkStatus();
    case HTTPResponse::HTTP_BAD_REQUEST:
        return absl::InvalidArgumentError(message);
    case HTTPResponse::HTTP_NOT_FOUND:
        return absl::NotFoundError(message);
    case HTTPResponse::HTTP_CONFLICT:
        return absl::AbortedError(message);
    default:
        break;
    }
    message = "HTTP status " + std::to_string(status) + ": " + message;
    bool mayPass = status >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    return mayPass ? absl::UnavailableError(message) : absl::UnknownError(message);
}

/// @param out receives the response body.
absl::Status callOnce(const std::string& address, const platform::encoded_call& call, std::string& out)
{
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(address) };
        session.setTimeout(Poco::Timespan(callTimeoutSeconds, 0));
        Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(call.body.size()));
        bool isSent = (session.sendRequest(request) << call.body << std::flush).good();
        core::milliseconds timeout { callTimeoutSeconds * 1'000 };
        auto response = runtime::readResponse(
            session.socket(), { maxResponseBytes, true, isSent }, timeout, runtime::now() + timeout);
        if (!response.ok())
            return absl::UnavailableError(address + ": " + std::string(response.status().message()));
        out = std::move(response->message.body());
        return statusOf(static_cast<HTTPResponse::HTTPStatus>(response->message.result_int()), out);
    } catch (const Poco::Exception& error) {
        return absl::UnavailableError(address + ": " + error.displayText());
    }
}

/// Calls the control VMs by turns until one gives a final response or the time is over. Both calls may be
/// repeated: an order that was accepted is acknowledged again.
absl::Status callAny(
    const std::vector<std::string>& addresses, const platform::encoded_call& call, std::string& out)
{
    auto until = std::chrono::steady_clock::now() + totalTime;
    while (true) {
        absl::Status last;
        for (const auto& address : addresses) {
            last = callOnce(address, call, out);
            if (!absl::IsUnavailable(last))
                return last;
        }
        if (std::chrono::steady_clock::now() >= until)
            return last;
        std::this_thread::sleep_for(retryPause);
    }
}

int start(const command_context& context, const rollout_options& options)
{
    auto duration = parseDuration(options.duration);
    if (!duration.ok())
        return printFailure(duration.status(), context.asJson());
    platform::begin_rollout_call order { options.service, options.version, *duration };
    std::string body;
    auto status = callAny(options.platform, platform::encodeCall(order), body);
    if (!status.ok())
        return printFailure(status, context.asJson());
    print({ { "service", order.service }, { "version", order.version }, { "duration_ms", order.durationMs } },
        context.asJson());
    return exit_ok;
}

int show(const command_context& context, const rollout_options& options)
{
    std::string body;
    auto status = callAny(
        options.platform, platform::encodeCall(platform::read_rollout_call { options.service, true }), body);
    if (!status.ok())
        return printFailure(status, context.asJson());
    auto rollout = platform::decodeRollout(body);
    if (!rollout.ok())
        return printFailure(rollout.status(), context.asJson());
    nlohmann::json out { { "service", options.service }, { "version", rollout->version },
        { "state", core::rolloutStateName(rollout->state) }, { "id", rollout->id },
        { "stage", core::rolloutStageName(rollout->stage) },
        { "share", static_cast<double>(rollout->share) / core::rolloutFullShare },
        { "duration_ms", rollout->durationMs }, { "elapsed_ms", rollout->elapsedMs },
        { "former_versions", rollout->formerVersions }, { "former_requests", rollout->totals.formerRequests },
        { "next_requests", rollout->totals.nextRequests }, { "next_bad", rollout->totals.nextBad },
        { "reason", rollout->reason } };
    print(out, context.asJson());
    return exit_ok;
}

} // namespace

void addRolloutCommands(CLI::App& app, command_context& context)
{
    // The callbacks run after this function has returned.
    auto options = std::make_shared<rollout_options>();
    auto* group = app.add_subcommand("rollout", "rollouts of software versions");
    group->require_subcommand(1);
    group->add_option("--platform", options->platform, "platform addresses of control VMs")
        ->delimiter(',')
        ->envname("PLUMFOLD_PLATFORM")
        ->required();
    auto* begin = group->add_subcommand("start", "move a service to another software version");
    begin->add_option("service", options->service)->required();
    begin->add_option("version", options->version)->required();
    begin->add_option("--duration", options->duration, "until the deadline: a number with ms, s, min or h")
        ->required();
    begin->callback(
        [&context, options] { context.action = [&context, options] { return start(context, *options); }; });
    auto* read = group->add_subcommand("show", "state and progress of the latest rollout");
    read->add_option("service", options->service)->required();
    read->callback(
        [&context, options] { context.action = [&context, options] { return show(context, *options); }; });
}

} // namespace plumfold::cli
