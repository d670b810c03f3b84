#include "plumfold_departure_recorder.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

namespace plumfold::control {

namespace {

constexpr const char* leaseHolder = "targets"; // the same for all control VMs
/// Time after the start in which the other control VMs share all targets that they know.
constexpr core::milliseconds fillTime { 3'000 };

} // namespace

departure_recorder::departure_recorder(deployment_feed& feed, leader_client& leader)
    : m_feed(feed)
    , m_leader(leader)
    , m_startedAt(runtime::now())
{
}

kj::Promise<void> departure_recorder::record(const core::departure& each, core::instant deadline)
{
    auto lease = core::departureLeaseName(each);
    if (m_feed.view().leases->contains(lease))
        return kj::READY_NOW;
    core::command command { 0, core::lease_command { lease, leaseHolder, core::departureLeaseMs } };
    return m_leader.submit([command] { return command; }, deadline).ignoreResult();
}

kj::Promise<void> departure_recorder::recordKnown(const std::string& target, core::instant deadline)
{
    auto known = m_feed.directory().entries().find(target);
    if (known != m_feed.directory().entries().end())
        return record({ target, known->second.last.startedAt }, deadline);
    KJ_REQUIRE(!mayLackTargets(), "this control VM does not know the target yet: call another one");
    return kj::READY_NOW;
}

bool departure_recorder::mayLackTargets() const
{
    return !m_feed.view().isCaughtUp || runtime::now() - m_startedAt < fillTime;
}

} // namespace plumfold::control
