#include "plumfold/core/plumfold_event_history.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

constexpr std::size_t maxEvents = 4; ///< Latest events of a subject that are kept.

} // namespace

void event_history::observe(const std::string& subject, std::uint64_t number, instant at)
{
    auto& events = m_events[subject];
    auto [known, isNew] = events.emplace(number, at);
    known->second = std::min(known->second, at);
    if (events.size() <= maxEvents)
        return;
    // The oldest event that is kept stands for those before it.
    auto removed = events.extract(events.begin());
    events.begin()->second = std::min(events.begin()->second, removed.mapped());
}

std::vector<event_age> event_history::observe(const std::vector<event_age>& events, instant now)
{
    std::vector<event_age> added;
    for (const auto& each : events) {
        if (latest(each.subject).value_or(0) < each.number)
            added.push_back(each);
        observe(each.subject, each.number, now - each.age);
    }
    return added;
}

void event_history::observeLatest(const std::map<std::string, std::uint64_t>& latest, instant now)
{
    for (const auto& [subject, number] : latest) {
        if (!m_events[subject].contains(number))
            observe(subject, number, now);
    }
}

std::optional<std::uint64_t> event_history::latest(const std::string& subject) const
{
    auto found = m_events.find(subject);
    if (found == m_events.end() || found->second.empty())
        return std::nullopt;
    return found->second.rbegin()->first;
}

std::optional<instant> event_history::latestAt(const std::string& subject) const
{
    auto found = m_events.find(subject);
    if (found == m_events.end() || found->second.empty())
        return std::nullopt;
    return found->second.rbegin()->second;
}

std::optional<instant> event_history::firstAfter(const std::string& subject, std::uint64_t number) const
{
    auto found = m_events.find(subject);
    if (found == m_events.end())
        return std::nullopt;
    auto next = found->second.upper_bound(number);
    if (next == found->second.end())
        return std::nullopt;
    // A later event cannot have taken place earlier, so its time bounds that of the events before it.
    auto first = next->second;
    for (auto later = next; later != found->second.end(); ++later)
        first = std::min(first, later->second);
    return first;
}

std::vector<event_age> event_history::ages(instant now) const
{
    std::vector<event_age> out;
    for (const auto& [subject, events] : m_events) {
        for (const auto& [number, at] : events) {
            auto age = std::chrono::duration_cast<milliseconds>(now - at);
            out.push_back({ subject, number, std::max(age, milliseconds(0)) });
        }
    }
    return out;
}

} // namespace plumfold::core
