#pragma once

#include "plumfold/core/places/plumfold_place_ledger.hpp"
#include "plumfold/core/plumfold_configuration_view.hpp"
#include "plumfold/core/plumfold_control_state.hpp"
#include "plumfold/core/plumfold_crash_screen.hpp"
#include "plumfold/core/plumfold_dispatch_types.hpp"
#include "plumfold/core/plumfold_document_pieces.hpp"
#include "plumfold/core/plumfold_part_directory.hpp"
#include "plumfold/core/plumfold_raft_types.hpp"
#include "plumfold/core/plumfold_relay_helpers.hpp"
#include "plumfold/core/plumfold_stream_origin.hpp"
#include "plumfold/core/plumfold_suspect_registry.hpp"
#include "plumfold/core/plumfold_target_demands.hpp"
#include "plumfold/core/plumfold_target_directory.hpp"
#include "plumfold/core/plumfold_target_report.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"

#include "plumfold/core/rollout/plumfold_rollout_report.hpp"

#include "plumfold.capnp.h"

#include <string>
#include <string_view>

/// Conversions between the core types and the Cap'n Proto schema. read() validates its input and throws
/// kj::Exception for an invalid value, for example an enumerator out of range; an RPC then fails with it.
namespace plumfold::wire {

void write(Record::Builder out, const core::record& value);
core::record read(Record::Reader in);

void write(Change::Builder out, const core::change& value);
core::change read(Change::Reader in);

void write(Delta::Builder out, const core::delta& value);
core::delta read(Delta::Reader in);

void write(ConfigurationUpdate::Builder out, const core::configuration_update& value);
core::configuration_update read(ConfigurationUpdate::Reader in);

void write(RaftMessage::Builder out, const core::raft_message& value);
core::raft_message read(RaftMessage::Reader in);

void write(LogEntry::Builder out, const core::log_entry& value);
core::log_entry read(LogEntry::Reader in);

void write(RaftSnapshot::Builder out, const core::raft_snapshot& value);
core::raft_snapshot read(RaftSnapshot::Reader in);

void write(Member::Builder out, const core::raft_member& value);
core::raft_member read(Member::Reader in);

void write(Command::Builder out, const core::command& value);
core::command read(Command::Reader in);

void write(ServiceRollout::Builder out, const std::string& service, const core::rollout_record& value);
/// @return the service and its rollout.
std::pair<std::string, core::rollout_record> read(ServiceRollout::Reader in);

void write(RolloutReport::Builder out, const core::rollout_report& value);
core::rollout_report read(RolloutReport::Reader in);

void write(BeginRollout::Builder out, const core::begin_rollout_command& value);
core::begin_rollout_command read(BeginRollout::Reader in);

void write(DecideRollout::Builder out, const core::decide_rollout_command& value);
core::decide_rollout_command read(DecideRollout::Reader in);

void write(RolloutResult::Builder out, const core::rollout_result& value);
core::rollout_result read(RolloutResult::Reader in);

void write(CommandResult::Builder out, const core::command_result& value);
core::command_result read(CommandResult::Reader in);

void write(ChangeResult::Builder out, const core::change_result& value);
core::change_result read(ChangeResult::Reader in);

void write(UsageRow::Builder out, const core::usage_row& value);
core::usage_row read(UsageRow::Reader in);

void write(AuditRecord::Builder out, const core::audit_record& value);
core::audit_record read(AuditRecord::Reader in);

void write(Verdict::Builder out, const core::verdict& value);
core::verdict read(Verdict::Reader in);

void write(LeaseState::Builder out, const core::lease_state& value);
core::lease_state read(LeaseState::Reader in);

void write(ClaimState::Builder out, const core::claim_state& value);
core::claim_state read(ClaimState::Reader in);

void write(RememberedResult::Builder out, const core::stored_change_result& value);
core::stored_change_result read(RememberedResult::Reader in);

void write(UsageSource::Builder out, const core::usage_source& value);
core::usage_source read(UsageSource::Reader in);

void write(ControlSnapshot::Builder out, const core::control_snapshot& value);
core::control_snapshot read(ControlSnapshot::Reader in);

void write(TargetReport::Builder out, const core::target_report& value, core::milliseconds age);
core::target_report read(TargetReport::Reader in);

void write(Suspect::Builder out, const core::suspect_state& value);
core::suspect_state read(Suspect::Reader in);

void write(PermitOutcome::Builder out, const core::attempt_measurement& value);
core::attempt_measurement read(PermitOutcome::Reader in);

void write(ChainKey::Builder out, const core::chain_owner& value);
core::chain_owner read(ChainKey::Reader in);

void write(DeploymentDocument::Builder out, const core::deployment_document& value);
core::deployment_document read(DeploymentDocument::Reader in);

void write(DeploymentState::Builder out, const core::deployment_state& value);
core::deployment_state read(DeploymentState::Reader in);

/// Writes a state without the text of its document, and the outline of that text.
void write(DeploymentOutline::Builder out, const core::deployment_state& state,
    const core::document_outline& document);
/// @return the outline of the text of the state's document.
core::document_outline readOutline(DeploymentOutline::Reader in);

void write(EntryAddress::Builder out, const core::entry_address& value);
core::entry_address read(EntryAddress::Reader in);

void write(capnp::List<EventAge>::Builder out, const std::vector<core::event_age>& values);
std::vector<core::event_age> readEventAges(capnp::List<EventAge>::Reader in);

void write(AnnouncedTarget::Builder out, const core::target_announcement& value);
core::target_announcement read(AnnouncedTarget::Reader in);

void write(TargetLoad::Builder out, const core::target_load& value);
core::target_load read(TargetLoad::Reader in);

void write(TargetDemand::Builder out, const core::target_demand& value);
core::target_demand read(TargetDemand::Reader in);
void write(PlaceRequest::Builder out, const core::place_request& value);
core::place_request read(PlaceRequest::Reader in);
void write(HeldPlace::Builder out, const core::held_place& value);
core::held_place read(HeldPlace::Reader in);
void write(PlaceEnd::Builder out, const core::place_end& value);
core::place_end read(PlaceEnd::Reader in);
void write(PlaceDecision::Builder out, const core::place_decision& value);
core::place_decision read(PlaceDecision::Reader in);

void write(StreamRecord::Builder out, const core::stream_record& value);
core::stream_record read(StreamRecord::Reader in);

void write(CrashSuspect::Builder out, const core::crash_suspect& value);
core::crash_suspect read(CrashSuspect::Reader in);

void write(RequestTraits::Builder out, const core::request_traits& value);
core::request_traits read(RequestTraits::Reader in);

void write(CrashReport::Builder out, const core::crash_report& value);
core::crash_report read(CrashReport::Reader in);

void write(SuspectSuccess::Builder out, const core::suspect_success& value);
core::suspect_success read(SuspectSuccess::Reader in);

void write(RecordedSuccess::Builder out, const core::recorded_success& value);
core::recorded_success read(RecordedSuccess::Reader in);

void write(CrashVerdict::Builder out, const core::crash_verdict& value);
core::crash_verdict read(CrashVerdict::Reader in);

void write(PartNews::Builder out, const core::part_update& value);
core::part_update read(PartNews::Reader in);

void write(PartCursor::Builder out, const core::part_cursor& value);
core::part_cursor read(PartCursor::Reader in);

void write(HardState::Builder out, const core::hard_state& value);
core::hard_state read(HardState::Reader in);

/// One record of the write-ahead log: an entry, the index to truncate from, or a hard state.
using wal_record = std::variant<core::log_entry, std::uint64_t, core::hard_state>;

void write(WalRecord::Builder out, const wal_record& value);
wal_record read(WalRecord::Reader in);

/// Serializes a core value as a message of type Schema, for a file or a log entry.
template <class Schema, class Value> std::string encode(const Value& value);

/// Deserializes bytes that encode() returned.
/// @throws kj::Exception when the bytes are malformed or hold an invalid value.
template <class Schema> auto decode(std::string_view bytes);

} // namespace plumfold::wire

#include "plumfold/wire/plumfold_encode.hpp"
