#pragma once

#include "plumfold/control/plumfold_control_node.hpp"
#include "plumfold/core/plumfold_part_directory.hpp"
#include "plumfold/core/plumfold_target_directory.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"
#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include "plumfold.capnp.h"

#include <list>
#include <map>
#include <memory>
#include <string>

namespace plumfold::control {

/// Another control VM as its shares show it.
struct control_peer_state {
    std::string failureDomain;
    std::uint32_t entries = 0; ///< Entries that follow it.
    core::instant lastSeenAt {};
};

/// What entries that follow this control VM are told: the deployment, the announced targets, the other
/// control VMs. Lives on the RPC duty.
class deployment_feed {
public:
    deployment_feed(wire::rpc_thread& rpc, const runtime::settings& settings);

    /// Takes a change of what this control VM holds.
    void update(control_view view);
    const control_view& view() const { return m_view; }

    /// Takes an announcement of a target to this control VM.
    void onAnnouncement(const core::target_announcement& target);
    /// Takes that a target does not answer this control VM.
    void onTargetUnresponsive(const std::string& target);
    /// Takes that a target has left.
    void onTargetLeft(const std::string& target);
    /// Takes that a target has loaded a weight version, which its next announcement will tell as well.
    void onWeightsLoaded(const std::string& target, const std::string& model, std::uint64_t version);
    /// Takes what another control VM heard.
    void applyPeerUpdate(const std::string& from, control_peer_state state,
        const std::vector<core::target_announcement>& targets);
    /// Takes what another control VM knows of stores, engines and the targets' clock.
    void applyPeerParts(const std::vector<core::part_update>& parts, std::uint64_t clock);
    /// Takes that this control VM starts to read a holder's parts, none of which are known yet.
    void resetParts(const std::string& holder, std::uint64_t generation);
    /// Takes changes that this control VM read from a holder itself.
    /// @return whether the generation is still the one in force.
    bool applyPartChanges(const std::string& holder, std::uint64_t generation,
        const std::vector<core::part_change>& changes, std::uint64_t clock);
    /// Takes that a holder does not answer this control VM.
    void removeParts(const std::string& holder, std::uint64_t generation);
    /// Takes loads that targets reported, to this control VM or another.
    void updateLoads(const std::vector<core::target_load>& loads, bool isDirect);
    /// Takes that an entry follows this control VM.
    void recordFollower(const std::string& entry);

    /// Marks targets that were not heard; call it regularly.
    void tick();

    const core::target_directory& directory() const { return m_directory; }
    const core::part_directory& parts() const { return m_parts; }
    /// @return the loads that are not outdated.
    /// @param directOnly those that this control VM read itself.
    std::vector<core::target_load> loads(bool directOnly) const;
    /// @return the ready model engines whose reports this control VM reads.
    std::vector<core::target_announcement> assignedEngines() const;
    /// @return the stores that this control VM reads itself.
    std::vector<std::string> assignedStores() const;
    /// @return the stores and engines whose parts this control VM reads itself.
    std::vector<std::string> assignedHolders() const;
    /// @return the targets' clock, or 0 while it is not known.
    std::uint64_t targetClock() const;
    /// @return a number that another life of this process does not have.
    std::uint64_t id() const { return m_id; }
    /// @return the control VMs that were heard lately and this one, by address.
    std::map<std::string, std::string> controlDomains() const;
    /// @return the entries that follow any control VM, as far as this one knows.
    std::uint32_t entryCount() const;
    /// @return the entries that follow this control VM.
    std::uint32_t followerCount() const { return static_cast<std::uint32_t>(m_followers.size()); }
    /// @return the address for announcements of targets in a failure domain, or an empty one.
    std::string announceAddressIn(const std::string& failureDomain) const;

    /// @return a promise that ends when the deployment or a target differs, or after the time.
    kj::Promise<void> waitForUpdate(std::uint64_t deployment, std::uint64_t change, kj::Duration atMost);
    /// @return a promise that ends when the log is applied up to an index, or fails after the time.
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
    void updateStores();
    void logTarget(const char* event, const core::target_announcement& target);

    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    std::uint64_t m_id;
    control_view m_view;
    core::instant m_lastTick {};
    core::target_directory m_directory;
    core::part_directory m_parts;
    std::vector<core::part_store> m_stores; // of the deployment in force
    struct received_load {
        core::target_load load;
        core::instant sentAt {};
        bool isDirect = false;
    };
    std::map<std::string, received_load> m_loadReports; // by target
    std::uint64_t m_targetClock = 0; // the targets' clock when it was last told
    core::instant m_targetClockReadAt {};
    std::map<std::string, control_peer_state> m_peers; // by address
    std::map<std::string, core::instant> m_followers; // by name
    std::list<waiter> m_waiters;
};

} // namespace plumfold::control
