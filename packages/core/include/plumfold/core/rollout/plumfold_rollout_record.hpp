#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace plumfold::core {

/// Outcome of a rollout, as operators read it.
enum class rollout_state : std::uint8_t { running, completed, rolled_back };

/// Progress of a running rollout.
enum class rollout_stage : std::uint8_t {
    preparing, ///< No requests go to the next version: too few of its targets are warm.
    canary, ///< A small, constant share goes to the next version until it is judged.
    raising, ///< The share increases in steps.
    shifting, ///< All new requests go to the next version; the former targets finish theirs.
    ended,
};

/// Requests of a rollout, summed over all entries.
struct rollout_totals {
    std::uint64_t formerRequests = 0;
    std::uint64_t nextRequests = 0;
    std::uint64_t nextBad = 0; ///< Answers of the next version that failed or were too slow.
    auto operator<=>(const rollout_totals&) const = default;
};

/// The full share of requests, in thousandths.
inline constexpr std::uint32_t rolloutFullShare = 1'000;

/// The latest rollout of a service: its order and the latest decision on it. Kept in the replicated log.
struct rollout_record {
    std::uint64_t id = 0; ///< Log index of the order.
    std::string version; ///< The next software version.
    /// Software versions that the service's targets had when the rollout was ordered; without the next one.
    std::set<std::string> formerVersions;
    /// Software versions that earlier rollouts of the service have ended the use of. Their targets may still
    /// run, and get no requests.
    std::set<std::string> endedVersions;
    std::uint64_t durationMs = 0; ///< From the order to the deadline.
    unix_milliseconds orderedAt = 0; ///< Time of the command, for operators; decisions don't use it.
    rollout_state state = rollout_state::running;
    rollout_stage stage = rollout_stage::preparing;
    std::uint64_t sequence = 0; ///< Incremented with each decision.
    std::uint32_t share = 0; ///< Of the service's requests that go to the next version, in thousandths.
    std::uint64_t elapsedMs = 0; ///< Since the order, at the latest decision.
    rollout_totals totals; ///< At the latest decision.
    std::string reason; ///< Of the latest decision.
    bool operator==(const rollout_record&) const = default;
};

/// Orders a rollout. Has no effect on a service whose rollout is running, or to whose version the latest one
/// went; see rollout_outcome.
struct begin_rollout_command {
    std::string service;
    std::string version;
    std::set<std::string> formerVersions;
    std::uint64_t durationMs = 0;
    /// Id of the latest rollout of the service that was known when the operator's call was received; 0: none.
    std::uint64_t lastKnownRollout = 0;
};

/// Changes the share or the state of a running rollout. Has no effect if the record has changed since.
struct decide_rollout_command {
    std::string service;
    std::uint64_t id = 0; ///< Of the record that the decision is based on.
    std::uint64_t sequence = 0; ///< Of the record that the decision is based on.
    rollout_state state = rollout_state::running;
    rollout_stage stage = rollout_stage::preparing;
    std::uint32_t share = 0;
    std::uint64_t elapsedMs = 0;
    rollout_totals totals;
    std::string reason;
};

enum class rollout_outcome : std::uint8_t {
    begun,
    repeated, ///< The same rollout is running or has ended; nothing changed.
    other_running, ///< A rollout of the service to another version is running; nothing changed.
    outdated, ///< A later rollout of the service was ordered than the caller's receiver knew; nothing
              ///< changed.
    decided,
    not_decided, ///< The record was changed meanwhile, or the rollout has ended; nothing changed.
};

struct rollout_result {
    rollout_outcome outcome = rollout_outcome::not_decided;
    std::uint64_t id = 0; ///< Of the service's latest rollout.
    bool operator==(const rollout_result&) const = default;
};

/// For this long after its order, an order for the same version counts as a repetition of it, although the
/// rollout was rolled back.
inline constexpr unix_milliseconds rolloutRepetitionMs = 10'000;

/// Begins a rollout of a service.
/// @param latest the service's latest rollout; replaced if a new one begins.
/// @param at time of the command.
/// @param logIndex of the command.
rollout_result beginRollout(std::optional<rollout_record>& latest, const begin_rollout_command& command,
    unix_milliseconds at, std::uint64_t logIndex);

/// Applies a decision to a service's latest rollout.
rollout_result decideRollout(std::optional<rollout_record>& latest, const decide_rollout_command& command);

} // namespace plumfold::core
