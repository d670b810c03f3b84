#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::runtime {

/// Name and address of another process.
struct peer_setting {
    std::string name;
    std::string address; ///< ip:port
    bool operator==(const peer_setting&) const = default;
};

/// An operator with access to the control VMs.
struct operator_setting {
    std::string name;
    std::string tokenHash; ///< SHA-256 of the token, hexadecimal.
    bool mayChange = true; ///< false: read-only access.
    bool operator==(const operator_setting&) const = default;
};

/// Settings that all roles of a process share.
struct process_settings {
    std::string name;
    std::string failureDomain;
    /// All failure domains of the system, the same in all processes; empty if there is only one.
    std::vector<std::string> failureDomains;
    std::string dataFolder; ///< Required by the control role.
    std::string logFile; ///< Empty for standard output.
    std::string traceFile; ///< Empty disables tracing.
    std::string clusterSecret; ///< The same in all processes of the system.
    std::uint64_t gracePeriodMs = 10'000;
};

/// Routing of prompts and plain requests to targets.
struct entry_settings {
    std::string callerAddress; ///< HTTP interface for callers.
    std::string targetAddress; ///< Receives the announcements of targets.
    std::string peerAddress; ///< Receives calls of other entries.
    std::vector<peer_setting> peers; ///< The other entries.
    std::vector<std::string> control; ///< Control VMs: ip:port.
    std::vector<std::string> stores; ///< Stores: ip:port.
    std::uint64_t maxConnections = 256;
    std::uint64_t maxBodyBytes = 1 << 20;
    std::uint64_t defaultDeadlineMs = 60'000;
    std::uint64_t maxQueueWaitMs = 2'000;
    /// Target for the time to first token; requests that would wait and then miss it are rejected at once.
    std::uint64_t firstTokenBoundMs = 890;
    std::uint64_t targetExpiryMs = 3'000; ///< Silence after which a target is removed.
    /// Age of the last quorum confirmation above which only the local failure domain is used.
    std::uint64_t viewBoundMs = 3'000;
    std::uint64_t linkBytesPerSecond = 125'000'000; ///< Bandwidth to the stores.
    std::uint64_t kvBlockBytes = 4096; ///< Size of the KV blocks that engines export.
    std::uint64_t minStoreBlocks = 2; ///< Shorter prompts are recomputed without a store lookup.
};

/// Forwarding of opaque requests to announced targets.
struct forwarding_settings {
    std::string callerAddress; ///< HTTP interface for callers.
    std::string readinessAddress; ///< Readiness probe of the load balancer.
    std::vector<std::string> control; ///< Seed control VMs: ip:port of their platform addresses.
    std::uint64_t controlPort = 0; ///< RPC port of the control VMs.
    std::string metricsAddress; ///< Serves metrics as Prometheus text; empty for none.
    bool rollouts = false; ///< Software versions that join are held until their rollout is known.
    /// Fetches of KV parts and predictions follow the links and engines as they are measured.
    bool adaptivePlacement = false;
    bool targetPlaces = false; ///< Plain services that are nearly full get requests by granted places only.
    std::string relayAddress; ///< Accepts requests that other entries relay; empty for none.
    double retryRatio = 0.2; ///< Retries to a service, as a share of its requests.
    std::uint64_t retryWindowMs = 10'000;
    std::uint64_t weightsBoundMs = 10'000; ///< Time limit for starting requests on stale weights.
    /// Limit of all buffered parts of targets' answers beyond 16 KiB each.
    std::uint64_t responseBufferBytes = 16 << 20;
    /// Limit of the bodies of all requests that are received or served. A single one may take half of it.
    /// Buffers may have twice the size of what they hold, and 160 MB have to suffice for the process.
    std::uint64_t requestBufferBytes = 40 << 20;
};

/// Membership in the control group, which replicates the configuration.
struct control_settings {
    std::string address; ///< RPC interface for entries, operators and other control VMs.
    /// Where this process listens for RPC, if others reach it at another address; empty: at the address.
    std::string listenAddress;
    std::vector<peer_setting> peers; ///< The other control VMs.
    std::vector<std::string> seeds; ///< Seed control VMs: ip:port of their platform addresses.
    std::uint64_t rpcPort = 0; ///< RPC port of the seeds.
    std::string platformAddress; ///< HTTP interface for targets and platform operators; empty for none.
    bool firstStart = false; ///< Bootstrap: the seeds form a new group.
    std::uint64_t targetSilenceMs = 6'000; ///< Age of the latest announcement above which a target is silent.
    std::uint64_t concurrentLoadPercent = 20; ///< Of a model's targets that load weights at the same time.
    std::uint64_t orderLeaseMs = 3'000; ///< Lease of the one control VM that sends load orders to targets.
    /// A cold target bears its service's cold request rate times coldOvershoot, plus coldSlack requests, in
    /// any second.
    double coldOvershoot = 1.5;
    double coldSlack = 5;
    double retryExtra = 50; ///< Retries to a service of all entries together, beyond retryRatio.
    std::uint64_t retryWindowMs = 10'000; ///< Window of retryExtra.
    /// Lease of the control VM that grants a failure domain's part of the limits that all entries share.
    /// While it is cut off it goes on for this time; a successor waits for as long.
    std::uint64_t sharedLimitLeaseMs = 6'000;
    std::vector<operator_setting> operators;
    std::uint64_t electionTimeoutMs = 400;
    /// Silence after which a control VM that has joined and is no voter yet counts as lost. Voters are
    /// removed in exchange for a successor of their failure domain after four election timeouts.
    std::uint64_t memberTimeoutMs = 4'000;
    /// Rollouts of software versions are served. A version that is not judged yet gets at most this share of
    /// its service's requests, and some more; 0: rollouts are not served.
    double rolloutExposureShare = 0;
    double rolloutExposureSlack = 50; ///< Requests beyond that share.
    std::uint64_t snapshotEveryEntries = 10'000;
    std::uint64_t maxDataBytes = 0; ///< Changes are rejected above it; 0 for no limit but the disk's.
};

/// Storage of KV blocks.
struct store_settings {
    std::string address; ///< RPC interface for entries.
    std::string blockAddress; ///< HTTP interface for engines.
    std::uint64_t memoryBytes = 256ull << 20; ///< Capacity for blocks.
};

/// Settings of one process. It runs the roles that are set.
struct settings {
    process_settings process;
    std::optional<entry_settings> entry;
    std::optional<control_settings> control;
    std::optional<forwarding_settings> forwarding;
    std::optional<store_settings> store;
};

/// @return the address at which a control VM listens for RPC.
const std::string& listenAddress(const control_settings& control);

/// @return the RPC addresses of the seeds.
std::vector<std::string> seedAddresses(const control_settings& control);

/// @return the address with its port replaced.
std::string withPort(const std::string& address, std::uint64_t port);

/// Parses and validates settings in JSON with comments.
/// @param file file name for error messages.
/// @param overrides KEY=VALUE each, such as /process/name=e1, which replace what the text says. The value is
/// JSON, or else text; an empty one changes nothing.
/// @return the settings, or invalid_argument with one line per error: file, path of the key and allowed
/// values.
absl::StatusOr<settings> parseSettings(
    const std::string& text, const std::string& file, const std::vector<std::string>& overrides = {});

/// Reads, parses and validates a settings file.
/// @return the settings, not_found when the file cannot be read, or the errors of parseSettings().
absl::StatusOr<settings> loadSettings(
    const std::string& file, const std::vector<std::string>& overrides = {});

/// Checks that the listening addresses can be bound on this machine.
/// @return OK, or invalid_argument with one line per address that cannot be bound.
absl::Status checkAddresses(const settings& checked, const std::string& file);

/// @return every settings key with its allowed values, one per line in the format of docs/settings.md.
std::string settingsReference();

} // namespace plumfold::runtime
