#include "plumfold/core/plumfold_event_cursor.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace plumfold::core {

std::string event_cursor::feed(std::string_view bytes)
{
    m_rest += bytes;
    std::size_t end = 0;
    auto plain = m_rest.rfind("\n\n");
    auto withReturns = m_rest.rfind("\r\n\r\n");
    if (plain != std::string::npos)
        end = plain + 2;
    if (withReturns != std::string::npos)
        end = std::max(end, withReturns + 4);
    std::string whole = m_rest.substr(0, end);
    m_rest.erase(0, end);
    readIds(whole);
    return whole;
}

void event_cursor::readIds(std::string_view events)
{
    for (absl::string_view line : absl::StrSplit(absl::string_view(events.data(), events.size()), '\n')) {
        std::uint64_t id = 0;
        if (absl::ConsumePrefix(&line, "id:") && absl::SimpleAtoi(absl::StripAsciiWhitespace(line), &id))
            m_lastId = id;
    }
}

} // namespace plumfold::core
