#include "plumfold_relay_protocol.hpp"

#include "plumfold/runtime/plumfold_secrets.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <array>

namespace plumfold::forwarding {

namespace {

namespace names {
constexpr const char* secret = "Plumfold-Relay-Secret";
constexpr const char* customer = "Plumfold-Relay-Customer";
constexpr const char* service = "Plumfold-Relay-Service";
constexpr const char* timeLeft = "Plumfold-Relay-Time-Left"; // milliseconds
constexpr const char* attemptsLeft = "Plumfold-Relay-Attempts-Left";
constexpr const char* excluded = "Plumfold-Relay-Excluded";
constexpr const char* softwareVersion = "Plumfold-Relay-Version";
constexpr const char* outcome = "Plumfold-Relay-Outcome";
constexpr const char* unavailable = "Plumfold-Relay-Unavailable";
constexpr const char* reason = "Plumfold-Relay-Reason";
constexpr const char* target = "Plumfold-Relay-Target";
constexpr std::array all { secret, customer, service, timeLeft, attemptsLeft, excluded, softwareVersion,
    outcome, unavailable, reason, target };
} // namespace names

constexpr std::array outcomeNames { "by-target", "not-run", "may-have-run" };

std::string valueOf(const http::fields& in, const char* name)
{
    return std::string(in[name]);
}

void removeAll(http::fields& fields)
{
    for (const auto* name : names::all)
        fields.erase(name);
}

} // namespace

bool hasRelaySecret(const http::fields& in, const std::string& secret)
{
    return in.count(names::secret) == 1 && runtime::secretsMatch(secret, valueOf(in, names::secret));
}

relayed_request takeRelayHeaders(http::fields& in)
{
    relayed_request out;
    out.customer = valueOf(in, names::customer);
    out.service = valueOf(in, names::service);
    std::int64_t timeLeft = 0;
    if (absl::SimpleAtoi(valueOf(in, names::timeLeft), &timeLeft))
        out.timeLeft = core::milliseconds(timeLeft);
    std::uint32_t attemptsLeft = 0;
    if (absl::SimpleAtoi(valueOf(in, names::attemptsLeft), &attemptsLeft))
        out.attemptsLeft = attemptsLeft;
    out.excluded = absl::StrSplit(valueOf(in, names::excluded), ',', absl::SkipEmpty());
    if (in.find(names::softwareVersion) != in.end())
        out.softwareVersion = valueOf(in, names::softwareVersion);
    removeAll(in);
    return out;
}

void encodeRelayedRequest(const relayed_request& request, const std::string& secret, http::fields& out)
{
    removeAll(out);
    out.set(names::secret, secret);
    if (!request.customer.empty())
        out.set(names::customer, request.customer);
    out.set(names::service, request.service);
    out.set(names::timeLeft, std::to_string(request.timeLeft.count()));
    out.set(names::attemptsLeft, std::to_string(request.attemptsLeft));
    if (!request.excluded.empty())
        out.set(names::excluded, absl::StrJoin(request.excluded, ","));
    if (request.softwareVersion)
        out.set(names::softwareVersion, *request.softwareVersion);
}

std::optional<relay_result> takeRelayResult(http::fields& in)
{
    relay_result out;
    auto outcome = valueOf(in, names::outcome);
    auto known = std::find(outcomeNames.begin(), outcomeNames.end(), outcome);
    out.isUnavailable = in.find(names::unavailable) != in.end();
    out.reason = valueOf(in, names::reason);
    out.target = valueOf(in, names::target);
    out.softwareVersion = valueOf(in, names::softwareVersion);
    removeAll(in);
    if (known == outcomeNames.end())
        return std::nullopt;
    out.outcome = static_cast<relay_outcome>(known - outcomeNames.begin());
    return out;
}

void encodeRelayResult(const relay_result& result, http::fields& out)
{
    removeAll(out);
    out.set(names::outcome, outcomeNames.at(static_cast<std::size_t>(result.outcome)));
    if (result.isUnavailable)
        out.set(names::unavailable, "1");
    if (!result.reason.empty())
        out.set(names::reason, result.reason);
    if (!result.target.empty())
        out.set(names::target, result.target);
    if (!result.softwareVersion.empty())
        out.set(names::softwareVersion, result.softwareVersion);
}

} // namespace plumfold::forwarding
