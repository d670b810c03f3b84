#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace plumfold::core {

/// Identifies a place on a target, and the request for it.
struct place_id {
    std::uint64_t client = 0; ///< Process of an entry; a random number that it draws at its start.
    std::uint64_t number = 0; ///< Unique within the process.
    auto operator<=>(const place_id&) const = default;
};

/// A target on which a request may be placed, as an entry knows it.
struct place_candidate {
    std::string target;
    unix_milliseconds startedAt = 0; ///< Incarnation of the target.
    std::uint32_t slots = 1; ///< Requests that the target runs at the same time.
    std::uint32_t withoutPlace = 0; ///< Requests of this entry that the target has without a place.
    auto operator<=>(const place_candidate&) const = default;
};

/// An entry's request for a place on one of several targets of a service.
struct place_request {
    place_id id;
    std::string service;
    std::string customer; ///< Empty for public routes.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    milliseconds maxWait { 0 }; ///< After a longer wait, the place is of no use.
    std::vector<place_candidate> candidates; ///< Best one first.
    auto operator<=>(const place_request&) const = default;
};

/// How the use of a place ended.
enum class place_outcome : std::uint8_t {
    served, ///< The target has run the request.
    rejected, ///< The target had no room for the request.
    unused, ///< The request was not sent, or its end at the target is not known.
};

/// The end of the use of a place.
struct place_end {
    place_id id;
    place_outcome outcome = place_outcome::served;
    auto operator<=>(const place_end&) const = default;
};

/// Why no place was granted.
enum class place_refusal : std::uint8_t {
    none, ///< A place was granted.
    no_room, ///< The request would wait longer than it can.
    queue_full, ///< Too many requests wait.
    unusable, ///< The request names no candidate, or figures that are not possible.
};

/// The decision on a request for a place.
struct place_decision {
    std::string target; ///< On which a place was granted; empty if none was.
    unix_milliseconds startedAt = 0; ///< Incarnation of the target.
    place_refusal refusal = place_refusal::none;
    milliseconds retryAfter { 0 }; ///< If refused, when the caller should come back.
    auto operator<=>(const place_decision&) const = default;
};

} // namespace plumfold::core
