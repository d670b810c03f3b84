#include "plumfold_settings_fields.hpp"

#include <absl/strings/str_cat.h>

namespace plumfold::runtime {

namespace {

constexpr std::uint64_t maxDurationMs = 3'600'000;

template <class Owner>
setting_field<Owner> durationField(
    const char* name, std::uint64_t Owner::*member, std::uint64_t minimum, std::uint64_t maximum)
{
    return { name, member,
        absl::StrCat("milliseconds, ", minimum, " to ", maximum, ", or text with a unit such as \"2.5 s\""),
        false, false, minimum, maximum, true };
}

} // namespace

const fields<process_settings>& processFields()
{
    static const fields<process_settings> all {
        { "name", &process_settings::name, "a name that no other process has", true },
        { "failureDomain", &process_settings::failureDomain, "the name of a failure domain", true },
        { "failureDomains", &process_settings::failureDomains,
            "the names of all failure domains; empty if there is one" },
        { "dataFolder", &process_settings::dataFolder, "a folder; needed by the control role" },
        { "logFile", &process_settings::logFile, "a file; empty for standard output" },
        { "traceFile", &process_settings::traceFile, "a file; empty for no traces" },
        { "clusterSecret", &process_settings::clusterSecret, "a secret that all processes share", true },
        durationField("gracePeriodMs", &process_settings::gracePeriodMs, 0, maxDurationMs),
    };
    return all;
}

const fields<entry_settings>& entryFields()
{
    static const fields<entry_settings> all {
        { "callerAddress", &entry_settings::callerAddress, "ip:port", true, true },
        { "targetAddress", &entry_settings::targetAddress, "ip:port", true, true },
        { "peerAddress", &entry_settings::peerAddress, "ip:port", true, true },
        { "peers", &entry_settings::peers, "a list of {name, address}" },
        { "control", &entry_settings::control, "a list of ip:port", true, true },
        { "stores", &entry_settings::stores, "a list of ip:port", false, true },
        { "maxConnections", &entry_settings::maxConnections, "1 to 10000", false, false, 1, 10'000 },
        { "maxBodyBytes", &entry_settings::maxBodyBytes, "bytes, 1024 to 67108864", false, false, 1024,
            64 << 20 },
        durationField("defaultDeadlineMs", &entry_settings::defaultDeadlineMs, 100, maxDurationMs),
        durationField("maxQueueWaitMs", &entry_settings::maxQueueWaitMs, 10, maxDurationMs),
        durationField("firstTokenBoundMs", &entry_settings::firstTokenBoundMs, 50, maxDurationMs),
        durationField("targetExpiryMs", &entry_settings::targetExpiryMs, 500, 60'000),
        durationField("viewBoundMs", &entry_settings::viewBoundMs, 500, 60'000),
        { "linkBytesPerSecond", &entry_settings::linkBytesPerSecond, "bytes a second, at least 1000", false,
            false, 1000 },
        { "kvBlockBytes", &entry_settings::kvBlockBytes, "bytes, 1 to 268435456", false, false, 1,
            256 << 20 },
        { "minStoreBlocks", &entry_settings::minStoreBlocks, "blocks, 1 to 1000", false, false, 1, 1000 },
    };
    return all;
}

const fields<control_settings>& controlFields()
{
    static const fields<control_settings> all {
        { "address", &control_settings::address, "ip:port", true, true },
        { "listenAddress", &control_settings::listenAddress, "ip:port; empty for the address", false, true },
        { "peers", &control_settings::peers, "a list of {name, address}" },
        { "seeds", &control_settings::seeds, "a list of ip:port", false, true },
        { "rpcPort", &control_settings::rpcPort, "a port, 1 to 65535; needed with seeds", false, false, 1,
            65'535 },
        { "platformAddress", &control_settings::platformAddress, "ip:port; empty for none", false, true },
        { "firstStart", &control_settings::firstStart, "true or false" },
        durationField("targetSilenceMs", &control_settings::targetSilenceMs, 500, 60'000),
        { "concurrentLoadPercent", &control_settings::concurrentLoadPercent, "percent, 1 to 100", false,
            false, 1, 100 },
        durationField("orderLeaseMs", &control_settings::orderLeaseMs, 500, 60'000),
        { "coldOvershoot", &control_settings::coldOvershoot, "a factor, 1 to 100; may have a fraction", false,
            false, 1, 100 },
        { "coldSlack", &control_settings::coldSlack, "requests, 0 to 100000; may have a fraction", false,
            false, 0, 100'000 },
        { "retryExtra", &control_settings::retryExtra, "requests, 0 to 100000; may have a fraction", false,
            false, 0, 100'000 },
        durationField("retryWindowMs", &control_settings::retryWindowMs, 100, 600'000),
        durationField("sharedLimitLeaseMs", &control_settings::sharedLimitLeaseMs, 1000, 60'000),
        { "operators", &control_settings::operators, "a list of {name, tokenHash, mayChange}" },
        durationField("electionTimeoutMs", &control_settings::electionTimeoutMs, 50, 60'000),
        durationField("memberTimeoutMs", &control_settings::memberTimeoutMs, 0, 3'600'000),
        { "rolloutExposureShare", &control_settings::rolloutExposureShare,
            "share of requests, 0 to 1; may have a fraction; 0: rollouts are not served", false, false, 0,
            1 },
        { "rolloutExposureSlack", &control_settings::rolloutExposureSlack,
            "requests, 0 to 100000; may have a fraction", false, false, 0, 100'000 },
        { "snapshotEveryEntries", &control_settings::snapshotEveryEntries, "log entries, at least 10", false,
            false, 10 },
        { "maxDataBytes", &control_settings::maxDataBytes, "bytes; 0 for no limit" },
    };
    return all;
}

const fields<forwarding_settings>& forwardingFields()
{
    static const fields<forwarding_settings> all {
        { "callerAddress", &forwarding_settings::callerAddress, "ip:port", true, true },
        { "readinessAddress", &forwarding_settings::readinessAddress, "ip:port", true, true },
        { "control", &forwarding_settings::control, "a list of ip:port", true, true },
        { "controlPort", &forwarding_settings::controlPort, "a port, 1 to 65535", true, false, 1, 65'535 },
        { "metricsAddress", &forwarding_settings::metricsAddress, "ip:port; empty for none", false, true },
        { "rollouts", &forwarding_settings::rollouts, "true or false" },
        { "adaptivePlacement", &forwarding_settings::adaptivePlacement, "true or false" },
        { "targetPlaces", &forwarding_settings::targetPlaces, "true or false" },
        { "homeEngines", &forwarding_settings::homeEngines, "true or false" },
        { "relayAddress", &forwarding_settings::relayAddress, "ip:port; empty for none", false, true },
        { "retryRatio", &forwarding_settings::retryRatio, "retries per request, 0 to 1; may have a fraction",
            false, false, 0, 1 },
        durationField("retryWindowMs", &forwarding_settings::retryWindowMs, 100, 600'000),
        durationField("weightsBoundMs", &forwarding_settings::weightsBoundMs, 100, maxDurationMs),
        { "responseBufferBytes", &forwarding_settings::responseBufferBytes, "bytes, at least 1048576", false,
            false, 1 << 20 },
        { "requestBufferBytes", &forwarding_settings::requestBufferBytes, "bytes, at least 1048576", false,
            false, 1 << 20 },
    };
    return all;
}

const fields<store_settings>& storeFields()
{
    static const fields<store_settings> all {
        { "address", &store_settings::address, "ip:port", true, true },
        { "blockAddress", &store_settings::blockAddress, "ip:port", true, true },
        { "memoryBytes", &store_settings::memoryBytes, "bytes, at least 1048576", false, false, 1 << 20 },
    };
    return all;
}

const fields<peer_setting>& peerFields()
{
    static const fields<peer_setting> all {
        { "name", &peer_setting::name, "the name of the process", true },
        { "address", &peer_setting::address, "ip:port", true, true },
    };
    return all;
}

const fields<operator_setting>& operatorFields()
{
    static const fields<operator_setting> all {
        { "name", &operator_setting::name, "a name", true },
        { "tokenHash", &operator_setting::tokenHash, "64 hexadecimal digits: SHA-256 of the token", true },
        { "mayChange", &operator_setting::mayChange, "true or false" },
    };
    return all;
}

} // namespace plumfold::runtime
