#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::core {

/// An event and how long ago it was. Processes exchange ages, since their clocks differ.
struct event_age {
    std::string subject; ///< What the event concerns, such as a model.
    std::uint64_t number = 0; ///< Higher for later events of the subject.
    milliseconds age { 0 };
    auto operator<=>(const event_age&) const = default;
};

/// When numbered events took place, such as weight versions becoming current. Observers learn of an event at
/// different times; the earliest time that any of them reports is kept.
class event_history {
public:
    /// Records when an event took place, as far as an observer knows.
    void observe(const std::string& subject, std::uint64_t number, instant at);

    /// Records events at the reported ages before a time.
    /// @return those that are later than the latest that was known.
    std::vector<event_age> observe(const std::vector<event_age>& events, instant now);

    /// Records the latest events. Those that are not known yet count as taking place now.
    /// @param latest number of the latest event by subject.
    void observeLatest(const std::map<std::string, std::uint64_t>& latest, instant now);

    /// @return the number of the latest event of a subject; nothing if none is known.
    std::optional<std::uint64_t> latest(const std::string& subject) const;

    /// @return when the latest event of a subject took place; nothing if none is known.
    std::optional<instant> latestAt(const std::string& subject) const;

    /// @return when the first event after the given one took place; nothing if none is later.
    std::optional<instant> firstAfter(const std::string& subject, std::uint64_t number) const;

    /// @return the kept events of all subjects, with their ages; not below 0.
    std::vector<event_age> ages(instant now) const;

private:
    std::map<std::string, std::map<std::uint64_t, instant>> m_events; // by subject and number
};

} // namespace plumfold::core
