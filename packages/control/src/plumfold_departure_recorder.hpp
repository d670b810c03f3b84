#pragma once

#include "plumfold_leader_client.hpp"

#include "plumfold/core/plumfold_departure.hpp"

namespace plumfold::control {

/// Records in the replicated log that targets are about to end, so that an acknowledged departure is not lost
/// with the process that acknowledged it. Accessed only on the RPC thread.
class departure_recorder {
public:
    departure_recorder(deployment_feed& feed, leader_client& leader);

    /// @return a promise that is fulfilled once a quorum has the departure, and rejected if there is none by
    /// the deadline.
    /// @param deadline in the time of runtime::nowWithSuspension().
    kj::Promise<void> record(const core::departure& each, core::instant deadline);

    /// Records the departure of the known incarnation of a target. One that is not known has left, unless
    /// this control VM may not have learned of it yet; then the promise is rejected.
    kj::Promise<void> recordKnown(const std::string& target, core::instant deadline);

private:
    bool mayLackTargets() const;

    deployment_feed& m_feed;
    leader_client& m_leader;
    core::instant m_startedAt;
};

} // namespace plumfold::control
