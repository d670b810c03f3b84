#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace plumfold::core {

/// Follows a stream of numbered server-sent events, so that it can be continued after the last whole one.
class event_cursor {
public:
    /// Takes bytes of the stream.
    /// @return the bytes that end with a whole event; the rest is held back.
    std::string feed(std::string_view bytes);

    /// @return the id of the last whole event, or nothing when none had one.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

    /// Starts to take another run's bytes, which go on after the last whole event. What is held of the former
    /// run's unfinished event is dropped.
    void startAttempt() { m_partialEvent.clear(); }

    /// @return the bytes of an event that is not whole, which are not held any more.
    std::string takePartialEvent() { return std::exchange(m_partialEvent, {}); }

private:
    void parseEventIds(std::string_view events);

    std::string m_partialEvent;
    std::optional<std::uint64_t> m_lastId;
};

} // namespace plumfold::core
