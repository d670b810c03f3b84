#pragma once

#include "plumfold_document_catalog.hpp"

#include "plumfold/control/plumfold_control_node.hpp"
#include "plumfold/core/plumfold_crash_registry.hpp"
#include "plumfold/core/plumfold_crash_screen.hpp"
#include "plumfold/core/plumfold_event_history.hpp"
#include "plumfold/core/plumfold_part_directory.hpp"
#include "plumfold/core/plumfold_pause_detector.hpp"
#include "plumfold/core/plumfold_relay_helpers.hpp"
#include "plumfold/core/plumfold_target_demands.hpp"
#include "plumfold/core/plumfold_target_directory.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"
#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include "plumfold.capnp.h"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace plumfold::control {

/// @return the name of the replicated lease whose holder grants a failure domain's part of the limits that
/// all entries share.
std::string sharedLimitLeaseName(const std::string& failureDomain);

/// Another control VM, according to its latest share call.
struct control_peer_state {
    std::string failureDomain;
    std::uint32_t entries = 0; ///< Number of entries that follow it.
    std::vector<core::entry_address> followers; ///< Those of them that accept relayed requests.
    core::instant lastSeenAt {}; ///< When its latest share call was received.
};

/// State that this control VM sends to the entries that follow it: the deployment, the announced targets, KV
/// parts, loads and the other control VMs. Used only on the RPC thread.
class deployment_feed {
public:
    deployment_feed(wire::rpc_thread& rpc, const runtime::settings& settings);

    /// Replaces this control VM's view of the replicated state.
    void update(control_view view);
    const control_view& view() const { return m_view; }
    /// @return the document of the current deployment.
    const document_catalog& document() const { return m_document; }

    /// @return whether an announcement names no models although the deployment says that its service has
    /// some.
    bool lacksModels(const core::target_announcement& target) const;
    /// Applies an announcement that a target sent to this control VM.
    void onAnnouncement(const core::target_announcement& target);
    /// Marks a target as silent because it does not respond to this control VM.
    void onTargetUnresponsive(const std::string& target);
    /// Marks a target as leaving.
    void onTargetLeft(const std::string& target);
    /// Records that a target has loaded a weight version, before its next announcement reports it.
    void onWeightsLoaded(const std::string& target, const std::string& model, std::uint64_t version);
    /// Applies the state of another control VM and the announcements that it received.
    /// @param from the address of that control VM, ip:port.
    void applyPeerUpdate(const std::string& from, control_peer_state state,
        const std::vector<core::target_announcement>& targets);
    /// Applies updates about the parts of stores and engines from another control VM.
    /// @param from the address of that control VM, ip:port.
    /// @param clock the targets' clock in milliseconds; 0: unknown.
    /// @return the holders whose whole content is needed, since an update could not be applied.
    std::vector<std::string> applyPeerParts(
        const std::string& from, const std::vector<core::part_update>& parts, std::uint64_t clock);
    /// Applies when weight versions were named and failure domains returned to service, as far as another
    /// control VM knows.
    void applyPeerEvents(
        const std::vector<core::event_age>& namings, const std::vector<core::event_age>& returns);
    /// Applies what targets ask of their callers, as far as an entry or another control VM knows.
    void applyDemands(const std::vector<core::target_demand>& demands);
    /// Starts a generation of a holder that this control VM polls, without any parts.
    void resetParts(const std::string& holder, std::uint64_t generation);
    /// Applies changes that this control VM polled from a holder.
    /// @param clock the targets' clock in milliseconds; 0: unknown.
    /// @return whether they were applied; false if the generation is no longer the holder's current one.
    bool applyPartChanges(const std::string& holder, std::uint64_t generation,
        const std::vector<core::part_change>& changes, std::uint64_t clock);
    /// Removes a holder that does not respond to this control VM, if the generation is still its current one.
    void removeParts(const std::string& holder, std::uint64_t generation);
    /// Updates the loads of targets.
    /// @param isDirect whether this control VM polled them itself; otherwise another one shared them.
    void updateLoads(const std::vector<core::target_load>& loads, bool isDirect);
    /// Records that an entry follows this control VM.
    /// @param entry its address is empty if it accepts no relayed requests.
    void recordFollower(const core::entry_address& entry);
    /// Replaces the entries that follow another control VM and accept relayed requests.
    /// @param from the address of that control VM, ip:port.
    void applyPeerFollowers(const std::string& from, std::vector<core::entry_address> followers);

    /// Replaces the verdicts on requests that crash targets, and the suspects.
    void setCrashVerdicts(std::vector<core::verdict> verdicts, std::vector<core::crash_suspect> suspects);

    /// Applies the timeouts: marks targets as silent and removes stale data. Call it periodically.
    void tick();

    /// @return for how long a message that is read now may have waited at most because this process stood
    /// still.
    core::milliseconds possibleWait() const;

    const core::target_directory& directory() const { return m_directory; }
    /// @return a number that differs for different verdicts; 0 for none.
    std::uint64_t verdictsDigest() const { return m_verdictsDigest; }
    /// @return the verdicts, with the time for which they stay in force.
    std::vector<core::crash_verdict> crashVerdicts() const;
    const std::vector<core::crash_suspect>& crashSuspects() const { return m_suspects; }
    /// @return a number that differs for different suspects; 0 for none.
    std::uint64_t suspectsDigest() const { return m_suspectsDigest; }
    const core::part_directory& parts() const { return m_parts; }
    const core::target_demands& demands() const { return m_demands; }
    /// @param at a time of runtime::nowWithSuspension().
    /// @return the weight versions that were named, with their ages at that time.
    std::vector<core::event_age> weightNamings(core::instant at) const { return m_weights.ages(at); }
    /// @param at a time of runtime::nowWithSuspension().
    /// @return the returns of failure domains to service, with their ages at that time.
    std::vector<core::event_age> returns(core::instant at) const { return m_returns.ages(at); }
    /// @param directOnly only those that this control VM polled itself.
    /// @return the loads that are not stale.
    std::vector<core::target_load> loads(bool directOnly) const;
    /// @return the ready model engines that this control VM polls.
    std::vector<core::target_announcement> assignedEngines() const;
    /// @return those and the silent ones.
    std::vector<core::target_announcement> polledEngines() const;
    /// @return the addresses of the stores that this control VM polls.
    std::vector<std::string> assignedStores() const;
    /// @return the addresses of the stores and engines whose part events this control VM polls.
    std::vector<std::string> assignedHolders() const;
    /// @return the targets' clock in milliseconds, extrapolated from its last reading; 0 while unknown.
    std::uint64_t targetClock() const;
    /// @return a random number that identifies this incarnation of the feed.
    std::uint64_t id() const { return m_id; }
    /// @return the failure domains, by address, of this control VM and of those seen within the peer timeout.
    std::map<std::string, std::string> controlDomains() const;
    /// @return the number of entries that follow any control VM, as far as known here; at least 1.
    std::uint32_t entryCount() const;
    /// @return the entries that follow this control VM and accept relayed requests.
    std::vector<core::entry_address> followers() const;
    /// @return the entries to which an entry may relay requests.
    std::vector<core::entry_address> helpersOf(
        const std::string& entry, const std::string& failureDomain) const;
    /// @return the number of entries that follow this control VM.
    std::uint32_t followerCount() const { return static_cast<std::uint32_t>(m_followers.size()); }
    /// @return the address of the control VM that a failure domain is assigned to: its first one by address,
    /// or the first of all control VMs if it has none. Normally all control VMs agree on it.
    std::string assigneeOf(const std::string& failureDomain) const;
    /// @return the address of the control VM that grants a failure domain's part of the shared limits: the
    /// holder of its lease, or the control VM that has to take it.
    std::string sharedLimitIssuerOf(const std::string& failureDomain) const;
    /// @return the cold request rate of a service in the current deployment; 0 if it has none.
    double coldRequestsPerSecond(const std::string& service) const;
    /// @return whether the current deployment has a service.
    bool hasService(const std::string& service) const { return m_coldRates.contains(service); }
    /// @return the platform address of a control VM in a failure domain; empty when none is known there.
    std::string announceAddressIn(const std::string& failureDomain) const;

    /// Waits until the feed differs from what an entry knows or this control VM has lost the quorum.
    /// @param deployment the known revision of the deployment.
    /// @param change the known number of the latest target change.
    /// @param verdicts the known digest of the verdicts.
    /// @param demand the known number of the latest change of a demand.
    /// @return a promise that is fulfilled then, or after atMost at the latest.
    kj::Promise<void> waitForUpdate(std::uint64_t deployment, std::uint64_t change, std::uint64_t verdicts,
        std::uint64_t demand, kj::Duration atMost);
    /// @return a promise that is fulfilled when the log is applied up to an index, and rejected after atMost.
    kj::Promise<void> waitForApplied(std::uint64_t index, kj::Duration atMost);

private:
    struct waiter {
        std::function<bool()> done;
        kj::Own<kj::PromiseFulfiller<void>> fulfiller;
    };

    kj::Promise<void> waitUntil(std::function<bool()> done);
    bool isAssignedTo(const std::string& failureDomain) const;
    void wake();
    void updateTargetClock(std::uint64_t clock);
    void markLeavingTargets();
    void applyDepartures();
    void updateServices();
    void logTarget(const char* event, const core::target_announcement& target);

    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    std::uint64_t m_id;
    control_view m_view;
    document_catalog m_document;
    core::pause_detector m_pauses;
    core::target_directory m_directory;
    core::part_directory m_parts;
    core::target_demands m_demands;
    core::event_history m_weights; // in times of runtime::nowWithSuspension()
    core::event_history m_returns; // of failure domains to service; in the same times
    std::vector<core::part_store> m_stores; // from the current deployment
    std::map<std::string, double> m_coldRates; // requests per second by service, from the current deployment
    std::set<std::string> m_modelServices; // whose engines have models, from the current deployment
    /// The latest load report of a target.
    struct received_load {
        core::target_load load;
        core::instant sentAt {};
        bool isDirect = false;
    };
    std::map<std::string, received_load> m_loadReports; // by target
    std::uint64_t m_targetClock = 0; // milliseconds, as last read; 0: unknown
    core::instant m_targetClockReadAt {};
    std::map<std::string, control_peer_state> m_peers; // by address
    struct follower {
        core::entry_address address;
        core::instant lastSeenAt {};
    };
    std::map<std::string, follower> m_followers; // by entry name
    std::vector<core::verdict> m_verdicts;
    std::uint64_t m_verdictsDigest = 0;
    std::vector<core::crash_suspect> m_suspects;
    std::uint64_t m_suspectsDigest = 0;
    std::list<waiter> m_waiters;
};

} // namespace plumfold::control
