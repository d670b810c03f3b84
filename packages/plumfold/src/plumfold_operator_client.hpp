#pragma once

#include "plumfold/core/plumfold_configuration_view.hpp"
#include "plumfold/core/plumfold_control_state.hpp"
#include "plumfold/core/plumfold_raft_types.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace plumfold::cli {

struct operator_client_options {
    std::vector<std::string> control; ///< Addresses of control VMs.
    std::string token;
    core::milliseconds timeout { 5000 }; ///< For finding a leader.
};

/// State of one entry as a control VM last received it.
struct entry_state {
    std::string name;
    std::string failureDomain;
    std::uint64_t revision = 0;
    std::uint64_t ageMs = 0;
};

/// Status that one control VM reports about itself.
struct control_state_report {
    std::string address;
    bool reachable = false;
    std::string node;
    std::string role;
    std::uint64_t term = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t revision = 0;
    std::uint64_t claims = 0;
    std::vector<core::raft_member> members;
    std::vector<entry_state> entries;
};

/// Client of the operator interface; finds the leader among the control VMs.
class operator_client {
public:
    explicit operator_client(operator_client_options options);

    /// Bootstraps a new group with the control VM at an address.
    /// @return OK, or already_exists when it belongs to a group.
    absl::Status form(const std::string& address);

    /// Changes one record.
    /// @param requestId idempotency key: the same id returns the same result.
    /// @param expectedRevision revision that the change is based on; 0 reads the current one first. The
    /// change is aborted when the revision differs by then.
    absl::StatusOr<core::change_result> change(
        const core::change& what, const std::string& requestId, std::uint64_t expectedRevision);

    absl::StatusOr<core::configuration> read();
    absl::StatusOr<std::vector<core::usage_row>> usage();
    absl::StatusOr<std::vector<core::audit_record>> audit();
    absl::Status withdrawVerdict(std::uint64_t fingerprint);

    /// Queries every control VM, including those that are unreachable.
    std::vector<control_state_report> status();

private:
    using operator_call = std::function<kj::Promise<bool>(wire::Operator::Client)>;

    /// Tries the control VMs in order until one accepts or the timeout passes.
    /// @param call resolves to whether the control VM accepted the call, as the leader does.
    absl::Status callLeader(const operator_call& call);
    absl::Status callControlVm(const std::string& address, const operator_call& call, bool& accepted);

    operator_client_options m_options;
    wire::rpc_thread m_rpc;
};

} // namespace plumfold::cli
