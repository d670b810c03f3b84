#include "plumfold/core/plumfold_event_cursor.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace plumfold::core {

std::string event_cursor::feed(std::string_view bytes)
{
    m_partialEvent += bytes;
    std::size_t end = 0;
    auto lastLf = m_partialEvent.rfind("\n\n");
    auto lastCrLf = m_partialEvent.rfind("\r\n\r\n");
    if (lastLf != std::string::npos)
        end = lastLf + 2;
    if (lastCrLf != std::string::npos)
        end = std::max(end, lastCrLf + 4);
    std::string complete = m_partialEvent.substr(0, end);
    m_partialEvent.erase(0, end);
    m_hasEvents = m_hasEvents || end > 0;
    parseEventIds(complete);
    return complete;
}

void event_cursor::parseEventIds(std::string_view events)
{
    for (absl::string_view line : absl::StrSplit(absl::string_view(events.data(), events.size()), '\n')) {
        std::uint64_t id = 0;
        if (absl::ConsumePrefix(&line, "id:") && absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &id))
            m_lastId = id;
    }
}

} // namespace plumfold::core
