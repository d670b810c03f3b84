#include "plumfold/core/plumfold_raft_types.hpp"

#include <algorithm>
#include <array>

namespace plumfold::core {

const raft_member* raft_membership::find(const node_name& node) const
{
    auto found = std::find_if(members.begin(), members.end(), [&](const auto& m) { return m.node == node; });
    return found == members.end() ? nullptr : &*found;
}

std::size_t raft_membership::voters() const
{
    return std::count_if(members.begin(), members.end(), [](const auto& m) { return m.voter; });
}

const char* raftRoleName(raft_role role)
{
    constexpr std::array names { "follower", "pre_candidate", "candidate", "leader" };
    return names[static_cast<std::size_t>(role)];
}

const char* removalStateName(removal_state state)
{
    constexpr std::array names { "not_requested", "requested", "removed", "not_replaced" };
    return names[static_cast<std::size_t>(state)];
}

} // namespace plumfold::core
