#pragma once

#include "plumfold/core/plumfold_part_directory.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::core {

/// Updates about KV parts for one call to another control VM.
struct shared_parts {
    std::vector<part_update> updates;
    std::vector<std::string> resent; ///< Holders whose whole content is sent because the receiver lacked it.
};

/// Decides which KV parts one control VM sends to another one. The receiver reports which updates it could
/// not apply; until then, the sender takes delivered updates as applied.
class part_sharing {
public:
    /// Whole contents of one holder are sent at most once in this time.
    static constexpr milliseconds wholeInterval { 1'000 };
    /// Limits of the whole contents in one call. A call that times out drops the connection. 16,000 parts are
    /// 384 kB; the contents of 29 holders are sent in four calls, within 0.7 s.
    static constexpr std::size_t maxWholeHolders = 8;
    static constexpr std::size_t maxWholeParts = 16'000;

    /// Covers only contents that this control VM polled itself. Otherwise two control VMs could confirm the
    /// parts of a holder to each other that neither of them polls.
    /// @param holders the holders to share: ip:port.
    /// @return the updates for the next call.
    shared_parts updates(
        const part_directory& directory, const std::vector<std::string>& holders, instant now);

    /// Records that a call has arrived.
    /// @param sent the updates of the call.
    /// @param unknown the holders whose updates the receiver could not apply; nothing if the receiver is of a
    /// version that does not report them.
    void onDelivered(
        const std::vector<part_update>& sent, const std::optional<std::vector<std::string>>& unknown);

    /// Records that the connection is lost. A receiver that reports what it lacks need not get everything
    /// again: otherwise calls that time out could cause larger ones.
    void onDisconnected();

private:
    struct holder_state {
        part_cursor cursor; // changes that the receiver has, as far as it has not reported otherwise
        std::optional<instant> wholeAt; // when the whole content was last sent
        bool isRequested = false; // the receiver lacks the content
    };

    void addWholes(const part_directory& directory, std::vector<holder_state*> waiting, instant now,
        shared_parts& out) const;
    void clearCursors();

    std::map<std::string, holder_state> m_holders;
    bool m_isReporting = false;
};

} // namespace plumfold::core
