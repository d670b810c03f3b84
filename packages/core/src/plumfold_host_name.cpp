#include "plumfold/core/plumfold_host_name.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace plumfold::core {

namespace {

constexpr char portSeparator = ':';

/// @return where the port's separator is; npos if the text names no port.
std::size_t findPortSeparator(std::string_view text)
{
    auto separator = text.rfind(portSeparator);
    bool isInBrackets = separator != std::string_view::npos && text.find(']', separator) != text.npos;
    return isInBrackets ? std::string_view::npos : separator;
}

bool isAddressCharacter(char c)
{
    return absl::ascii_isxdigit(static_cast<unsigned char>(c)) || c == ':' || c == '.';
}

/// @return whether names may contain the character (RFC 3986, section 3.2.2). Bytes above ASCII are accepted,
/// since some callers do not encode international names.
bool isNameCharacter(char c)
{
    constexpr std::string_view others = "-._~!$&'()*+,;=%";
    auto byte = static_cast<unsigned char>(c);
    return absl::ascii_isalnum(byte) || !absl::ascii_isascii(byte) || others.find(c) != others.npos;
}

bool isValidName(std::string_view name)
{
    if (name.empty() || name.front() != '[')
        return !name.empty() && std::all_of(name.begin(), name.end(), isNameCharacter);
    constexpr std::size_t brackets = 2;
    return name.size() > brackets && name.back() == ']'
        && std::all_of(name.begin() + 1, name.end() - 1, isAddressCharacter);
}

bool isValidPort(const std::string& port)
{
    std::uint32_t number = 0;
    return std::all_of(port.begin(), port.end(), absl::ascii_isdigit) && absl::SimpleAtoi(port, &number)
        && number <= std::numeric_limits<std::uint16_t>::max();
}

} // namespace

host_name::host_name(std::string_view text)
{
    auto separator = findPortSeparator(text);
    auto name = text.substr(0, separator);
    m_name = absl::AsciiStrToLower({ name.data(), name.size() });
    if (separator != std::string_view::npos)
        m_port = text.substr(separator + 1);
}

bool host_name::isValid() const
{
    return isValidName(m_name) && (m_port.empty() || isValidPort(m_port));
}

bool host_name::isWrittenAs(std::string_view text) const
{
    return text == (m_port.empty() ? m_name : absl::StrCat(m_name, ":", m_port));
}

host_name host_name::withoutPort() const
{
    host_name out(*this);
    out.m_port.clear();
    return out;
}

} // namespace plumfold::core
