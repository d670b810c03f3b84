#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plumfold::core {

/// Splits a stream of server-sent events at event boundaries and tracks event ids, so that the stream can be
/// resumed after the last complete event.
class event_cursor {
public:
    /// Appends bytes of the stream.
    /// @return all buffered complete events; a partial event stays buffered.
    std::string feed(std::string_view bytes);

    /// @return the id of the last complete event that had one.
    std::optional<std::uint64_t> lastId() const { return m_lastId; }

    /// Prepares for a new attempt, which continues after the last complete event. The partial event of the
    /// previous attempt is discarded.
    void startAttempt()
    {
        m_partialEvent.clear();
        m_hasEvents = false;
        m_previous = 0;
        m_isLineEmpty = true;
        m_isEventEnd = false;
    }

    /// @return whether the current attempt delivered a complete event.
    bool hasEvents() const { return m_hasEvents; }

    /// @return the number of bytes after the last complete event; above 0, the stream is inside an event.
    std::size_t partialEventBytes() const { return m_partialEvent.size(); }

private:
    /// Continues the search for blank lines. Lines end with CR, LF or both.
    /// @return the position after the last one; 0: there is none.
    std::size_t findLastEventEnd(std::string_view bytes);
    void parseEventIds(std::string_view events);

    std::string m_partialEvent;
    std::optional<std::uint64_t> m_lastId;
    bool m_hasEvents = false;
    char m_previous = 0; // the last byte that was searched
    bool m_isLineEmpty = true; // the current line has no bytes yet
    bool m_isEventEnd = false; // the last line was blank
};

} // namespace plumfold::core
