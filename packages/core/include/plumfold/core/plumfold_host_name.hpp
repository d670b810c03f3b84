#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace plumfold::core {

/// The host that a route or a request names, with or without a port, in normal form: hosts are compared
/// without regard to case (RFC 9110, section 4.2.3). Immutable.
class host_name {
public:
    /// @param text a name or an IP address, as in a Host header. IPv6 addresses are in brackets.
    explicit host_name(std::string_view text);

    /// The name or address in lower case, without the port.
    const std::string& name() const { return m_name; }
    /// Empty if none is named.
    const std::string& port() const { return m_port; }

    /// @return whether a Host header can have this value.
    bool isValid() const;
    /// @return whether the normal form is written exactly so.
    bool isWrittenAs(std::string_view text) const;
    /// @return the host that a request for any port of this one also matches.
    host_name withoutPort() const;

    auto operator<=>(const host_name&) const = default;

private:
    std::string m_name;
    std::string m_port;
};

} // namespace plumfold::core
