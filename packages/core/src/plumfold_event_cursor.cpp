#include "plumfold/core/plumfold_event_cursor.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <utility>

namespace plumfold::core {

std::string event_cursor::feed(std::string_view bytes)
{
    std::size_t end = findLastEventEnd(bytes);
    if (end == 0) {
        m_partialEvent += bytes;
        return {};
    }
    std::string complete = std::exchange(m_partialEvent, std::string(bytes.substr(end)));
    complete += bytes.substr(0, end);
    m_hasEvents = true;
    parseEventIds(complete);
    return complete;
}

std::size_t event_cursor::findLastEventEnd(std::string_view bytes)
{
    std::size_t end = 0;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        char byte = bytes[at];
        bool isSecondOfPair = byte == '\n' && m_previous == '\r';
        bool isLineEnd = (byte == '\n' || byte == '\r') && !isSecondOfPair;
        m_previous = byte;
        if (isLineEnd) {
            m_isEventEnd = m_isLineEmpty;
            m_isLineEmpty = true;
        } else if (!isSecondOfPair) {
            m_isEventEnd = false;
            m_isLineEmpty = false;
        }
        if (m_isEventEnd)
            end = at + 1;
    }
    return end;
}

void event_cursor::parseEventIds(std::string_view events)
{
    auto lines = absl::StrSplit(absl::string_view(events.data(), events.size()), absl::ByAnyChar("\r\n"));
    for (absl::string_view line : lines) {
        std::uint64_t id = 0;
        if (absl::ConsumePrefix(&line, "id:") && absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &id))
            m_lastId = id;
    }
}

} // namespace plumfold::core
