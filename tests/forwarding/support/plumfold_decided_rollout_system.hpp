#pragma once

#include "plumfold_forwarding_system.hpp"

#include "plumfold/core/plumfold_commands.hpp"

#include <map>
#include <string>
#include <vector>

namespace plumfold::tests {

/// Three control VMs, entries and targets of the software versions v1 and v2 of one service. The test orders
/// the rollout and decides on it through the replicated log.
class decided_rollout_system : public forwarding_system {
public:
    static constexpr int entries = 2;

    /// @param hasNext whether the targets of v2 are started, too.
    explicit decided_rollout_system(bool hasNext = true);

    /// Starts the targets of v2.
    void startNext();
    /// Starts a target that is announced from now on.
    scripted_target& start(const std::string& name, const std::string& version);

    /// Orders the rollout to v2 and waits until all entries have it.
    void begin();
    /// Decides on the rollout and waits until all entries have the decision, unless they are suspended.
    void decide(
        std::uint32_t share, core::rollout_state state = core::rollout_state::running, bool waits = true);

    /// Sends requests to all entries by turns.
    /// @return the number of responses by status.
    std::map<int, int> send(int count, const std::string& path = "/stock/whole");
    /// @return the number of callers' requests that targets of a version have received.
    std::size_t requestsTo(const std::string& version) const;
    /// @return the ids of the requests that targets of a version have received, in any order.
    std::vector<std::string> idsAt(const std::string& version) const;
    /// @return how often an event with this text is in the log of an entry.
    std::size_t logged(int entry, const std::string& text) const;

private:
    core::rollout_result submit(const core::command& command);

    std::vector<scripted_target*> m_started;
    core::rollout_result m_rollout;
    std::uint64_t m_sequence = 0; // of the latest decision
};

} // namespace plumfold::tests
