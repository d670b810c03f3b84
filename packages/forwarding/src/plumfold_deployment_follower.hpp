#pragma once

#include "plumfold_deployment_transfer.hpp"

#include "plumfold/core/plumfold_crash_screen.hpp"
#include "plumfold/core/plumfold_deployment_state.hpp"
#include "plumfold/core/plumfold_part_directory.hpp"
#include "plumfold/core/plumfold_relay_helpers.hpp"
#include "plumfold/core/plumfold_target_directory.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"
#include "plumfold/core/rollout/plumfold_rollout_report.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plumfold::forwarding {

/// An update from a control VM.
struct control_update {
    std::vector<core::target_announcement> targets; ///< Changed targets; all targets in a snapshot.
    bool isSnapshot = false; ///< The list of targets is complete.
    std::uint32_t entries = 1; ///< Number of entries that follow any control VM.
    std::map<std::string, std::string> control; ///< Failure domain by address of the control VMs in service.
    std::string sharedLimitIssuer; ///< Control VM that grants what shared limits allow: ip:port.
    std::vector<core::part_update> parts;
    std::vector<core::target_load> loads;
    std::vector<core::event_age> weightNamings; ///< Their ages are upper bounds.
    std::vector<core::event_age> returns; ///< Of failure domains to service; their ages are lower bounds.
    std::vector<core::crash_verdict> verdicts; ///< All of them if any has changed; else empty.
    std::optional<std::vector<core::crash_suspect>> suspects; ///< All of them, if any has changed.
    std::uint64_t targetClockMs = 0; ///< The targets' clock; 0: unknown.
    std::optional<std::vector<core::entry_address>> helpers; ///< All of them, if any has changed.
    std::vector<core::target_demand> demands; ///< Those that have changed.
    /// Control VMs that grant starts on targets that limit their requests, by failure domain of the target,
    /// and places on targets; empty if they are not needed.
    std::map<std::string, std::string> limitIssuers;
    core::entry_position position; ///< Of this entry; not known under a control VM of a former version.
};

/// Long-polls a control VM for changes of the deployment, the targets and the KV parts. Prefers a control VM
/// in the local failure domain, and switches to another one when the current one fails or loses contact with
/// the quorum.
class deployment_follower {
public:
    using listener = std::function<void(control_update)>;
    using confirmation_listener = std::function<void(core::instant askedAt)>;

    /// @param onUpdate called on the RPC thread.
    /// @param onDeployment called on the RPC thread with each newer deployment, after the update with which
    /// it came.
    /// @param onConfirmed called on the RPC thread after the update and the deployment that came from a
    /// control VM in touch with the quorum, with the time at which it was asked, with suspensions.
    deployment_follower(wire::rpc_thread& rpc, const runtime::settings& settings, listener onUpdate,
        deployment_transfer::listener onDeployment, confirmation_listener onConfirmed);
    ~deployment_follower();

    /// Replaces the seeds.
    /// @param addresses ip:port of control VMs; the port is replaced by that of the control RPC interface.
    void setSeeds(std::vector<std::string> addresses);

    /// Reports to control VMs what a target asks of its callers, again to each one that this entry follows.
    void reportDemand(core::target_demand demand);
    /// Reports to the control VM that this entry follows what it has seen of running rollouts. Replaces
    /// reports that were not sent yet.
    void reportRollouts(std::vector<core::rollout_report> reports);

private:
    kj::Promise<void> followLoop();
    kj::Promise<void> connect();
    kj::Promise<void> followOnce();
    void applyFollowResponse(capnp::Response<wire::EntrySession::FollowResults> response);
    void applyControlAddresses(capnp::List<wire::ControlAddress>::Reader control);
    void writeDemands(wire::EntrySession::FollowParams::Builder request);
    void writeRollouts(wire::EntrySession::FollowParams::Builder request);
    kj::Promise<void> continueTransfer(bool isFresh);
    void onFailure(const kj::Exception& exception);
    void closeConnection();
    std::string nextAddress();

    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    listener m_onUpdate;
    confirmation_listener m_onConfirmed;
    std::vector<std::string> m_seeds;
    std::map<std::string, std::string> m_controlDomains; // failure domain by address, as last received
    std::string m_address;
    kj::Own<wire::rpc_connection> m_connection;
    kj::Maybe<wire::EntrySession::Client> m_session;
    std::unique_ptr<deployment_transfer> m_transfer; // created and destroyed on the RPC thread
    std::uint64_t m_feedId = 0;
    std::uint64_t m_knownChange = 0;
    std::uint64_t m_knownVerdicts = 0; // digest
    std::uint64_t m_knownSuspects = 0; // digest
    std::uint64_t m_knownHelpers = 0; // digest
    std::uint64_t m_knownDemand = 0; // number of the latest change that was received
    std::map<std::string, core::target_demand> m_ownDemands; // from responses to this entry, by target
    std::set<std::string> m_unreportedDemands; // targets
    std::set<std::string> m_sentDemands; // targets, in the current call
    std::vector<core::rollout_report> m_rolloutReports; // the latest
    bool m_areRolloutsReported = true; // m_rolloutReports are in the current call or have arrived
    bool m_confirmed = false; // a quorum has confirmed an update at least once
    bool m_justConnected = true;
    core::instant m_calledAt {}; // the current call, with suspensions
    bool m_prefersLocal = false; // switch to a control VM in the local failure domain
    std::map<std::string, core::part_cursor> m_parts; // position in the changes of each holder
    unsigned m_failures = 0;
    kj::Own<wire::task_group> m_tasks;
};

} // namespace plumfold::forwarding
