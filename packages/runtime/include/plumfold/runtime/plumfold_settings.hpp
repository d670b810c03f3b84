#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::runtime {

/// Another process of the system.
struct peer_setting {
    std::string name;
    std::string address; ///< ip:port
    bool operator==(const peer_setting&) const = default;
};

/// An operator who may call the control VMs.
struct operator_setting {
    std::string name;
    std::string tokenHash; ///< SHA-256 of the token, hexadecimal.
    bool mayChange = true; ///< Whether the operator may change anything or only read.
    bool operator==(const operator_setting&) const = default;
};

struct process_settings {
    std::string name;
    std::string failureDomain;
    std::string dataFolder; ///< Needed by the control role only.
    std::string logFile; ///< Empty: standard output.
    std::string traceFile; ///< Empty: no traces.
    std::string clusterSecret; ///< Shared by all processes of the system.
    std::uint64_t gracePeriodMs = 10'000;
};

struct entry_settings {
    std::string callerAddress; ///< Callers' HTTP.
    std::string targetAddress; ///< Targets' announcements.
    std::string peerAddress; ///< Other entries.
    std::vector<peer_setting> peers; ///< The other entries.
    std::vector<std::string> control;
    std::vector<std::string> stores;
    std::uint64_t maxConnections = 256;
    std::uint64_t maxBodyBytes = 1 << 20;
    std::uint64_t defaultDeadlineMs = 60'000;
    std::uint64_t maxQueueWaitMs = 2'000;
    std::uint64_t firstTokenBoundMs = 890; ///< Work that would wait and then miss it is refused at once.
    std::uint64_t targetExpiryMs = 3'000;
    std::uint64_t viewBoundMs = 3'000;
    std::uint64_t linkBytesPerSecond = 125'000'000; ///< Towards the stores.
    std::uint64_t kvBlockBytes = 4096; ///< Size of the KV blocks that the engines export.
    std::uint64_t minStoreBlocks = 2; ///< Shorter prompts are recomputed without asking a store.
};

/// Forwarding of opaque requests to announced targets.
struct forwarding_settings {
    std::string callerAddress; ///< Callers' HTTP.
    std::string readinessAddress; ///< The balancer asks here whether callers may come.
    std::vector<std::string> control; ///< Control VMs to start from: ip:port of their platform addresses.
    std::uint64_t controlPort = 0; ///< Port of the control VMs' calls.
    std::string metricsAddress; ///< Prometheus text; empty for none.
    std::uint64_t retryPercent = 20; ///< Repeats towards a service, of its requests.
    std::uint64_t retryExtra = 50; ///< Repeats that all entries together may add in retryWindowMs.
    std::uint64_t retryWindowMs = 10'000;
    std::uint64_t coldOvershootPercent = 100; ///< Of a service's cold rate that all entries together use.
    std::uint64_t weightsBoundMs = 10'000; ///< After this no request begins on older weights.
};

struct control_settings {
    std::string address;
    std::vector<peer_setting> peers; ///< The other control VMs.
    std::vector<std::string> seeds; ///< Control VMs to start from: ip:port of their platform addresses.
    std::uint64_t rpcPort = 0; ///< Port of the seeds' calls.
    std::string platformAddress; ///< Calls of targets and the platform's operators; empty for none.
    bool firstStart = false; ///< The whole system starts for the first time: the seeds form the group.
    std::uint64_t targetSilenceMs = 6'000; ///< A target that was not heard for so long counts as silent.
    std::uint64_t maxConcurrentLoads = 3; ///< Targets that load weights at the same time.
    std::uint64_t orderLeaseMs = 3'000; ///< Lease of the only control VM that gives orders.
    std::vector<operator_setting> operators;
    std::uint64_t electionTimeoutMs = 400;
    std::uint64_t snapshotEveryEntries = 10'000;
    std::uint64_t maxDataBytes = 0; ///< Changes are refused beyond; 0: no limit but the disk's.
};

struct store_settings {
    std::string address; ///< Entries' calls.
    std::string blockAddress; ///< Engines' HTTP.
    std::uint64_t memoryBytes = 256ull << 20;
};

/// Settings of one process. A role that is not set does not run.
struct settings {
    process_settings process;
    std::optional<entry_settings> entry;
    std::optional<control_settings> control;
    std::optional<forwarding_settings> forwarding;
    std::optional<store_settings> store;
};

/// @return the addresses for calls between control VMs of the seeds of a control VM.
std::vector<std::string> seedAddresses(const control_settings& control);

/// @return an address with another port.
std::string withPort(const std::string& address, std::uint64_t port);

/// Reads settings, JSON with comments.
/// @param file used in messages.
/// @return the settings, or invalid_argument with one line per fault: file, path of the key, what is allowed.
absl::StatusOr<settings> parseSettings(const std::string& text, const std::string& file);

/// Reads a settings file.
absl::StatusOr<settings> loadSettings(const std::string& file);

/// @return OK when every address that the settings listen on can be bound on this machine.
absl::Status checkAddresses(const settings& checked, const std::string& file);

/// @return every key that settings may hold with what is allowed, one per line, as docs/settings.md shows
/// them.
std::string settingsReference();

} // namespace plumfold::runtime
