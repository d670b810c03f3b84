#include "plumfold_convert_support.hpp"

#include <cstring>

namespace plumfold::wire {

namespace {

constexpr unsigned entryKindCount = 3;
constexpr unsigned messageKindCount = 11;

} // namespace

void write(Member::Builder out, const core::raft_member& value)
{
    out.setNode(value.node);
    out.setIncarnation(value.incarnation);
    out.setVoter(value.voter);
    out.setAddress(value.address);
    out.setFailureDomain(value.failureDomain);
    out.setAddition(value.isAddition);
}

core::raft_member read(Member::Reader in)
{
    return core::raft_member { text(in.getNode()), in.getIncarnation(), in.getVoter(), text(in.getAddress()),
        text(in.getFailureDomain()), in.getAddition() };
}

namespace {

std::string encodeMembers(const core::raft_membership& members)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<Membership>();
    writeList(root.initMembers(members.members.size()), members.members);
    auto words = capnp::messageToFlatArray(message);
    auto bytes = words.asChars();
    return std::string(bytes.begin(), bytes.size());
}

core::raft_membership decodeMembers(capnp::Data::Reader bytes)
{
    auto words = kj::heapArray<capnp::word>((bytes.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.begin(), bytes.size());
    capnp::FlatArrayMessageReader message(words);
    return core::raft_membership { readList(message.getRoot<Membership>().getMembers()) };
}

} // namespace

void write(LogEntry::Builder out, const core::log_entry& value)
{
    out.setTerm(value.term);
    out.setIndex(value.index);
    out.setKind(static_cast<std::uint8_t>(value.kind));
    if (value.kind == core::entry_kind::membership)
        out.setPayload(data(encodeMembers(value.members)));
    else
        out.setPayload(data(value.payload));
}

core::log_entry read(LogEntry::Reader in)
{
    core::log_entry value;
    value.term = in.getTerm();
    value.index = in.getIndex();
    value.kind = checkedEnum<core::entry_kind>(in.getKind(), entryKindCount);
    if (value.kind == core::entry_kind::membership)
        value.members = decodeMembers(in.getPayload());
    else
        value.payload = text(in.getPayload());
    return value;
}

void write(RaftSnapshot::Builder out, const core::raft_snapshot& value)
{
    out.setIndex(value.index);
    out.setTerm(value.term);
    writeList(out.initMembers(value.members.members.size()), value.members.members);
    out.setState(data(value.state));
}

core::raft_snapshot read(RaftSnapshot::Reader in)
{
    return core::raft_snapshot { in.getIndex(), in.getTerm(), { readList(in.getMembers()) },
        text(in.getState()) };
}

void write(RaftMessage::Builder out, const core::raft_message& value)
{
    out.setKind(static_cast<std::uint8_t>(value.kind));
    out.setFrom(value.from);
    out.setFromIncarnation(value.fromIncarnation);
    // A join request has no receiver; the field holds the sender's address.
    out.setTo(value.kind == core::message_kind::join ? value.address : value.to);
    out.setTerm(value.term);
    out.setLogIndex(value.logIndex);
    out.setLogTerm(value.logTerm);
    out.setCommitIndex(value.commitIndex);
    out.setAccepted(value.accepted);
    writeList(out.initEntries(value.entries.size()), value.entries);
    out.setHasSnapshot(value.snapshot.has_value());
    if (value.snapshot)
        write(out.initSnapshot(), *value.snapshot);
    out.setFailureDomain(value.failureDomain);
    out.setInitial(value.isInitial);
}

core::raft_message read(RaftMessage::Reader in)
{
    core::raft_message value;
    value.kind = checkedEnum<core::message_kind>(in.getKind(), messageKindCount);
    value.from = text(in.getFrom());
    value.fromIncarnation = in.getFromIncarnation();
    if (value.kind == core::message_kind::join)
        value.address = text(in.getTo());
    else
        value.to = text(in.getTo());
    value.term = in.getTerm();
    value.logIndex = in.getLogIndex();
    value.logTerm = in.getLogTerm();
    value.commitIndex = in.getCommitIndex();
    value.accepted = in.getAccepted();
    value.entries = readList(in.getEntries());
    if (in.getHasSnapshot())
        value.snapshot = read(in.getSnapshot());
    value.failureDomain = text(in.getFailureDomain());
    value.isInitial = in.getInitial();
    KJ_REQUIRE(value.kind != core::message_kind::snapshot || value.snapshot,
        "a snapshot message without a snapshot");
    return value;
}

void write(HardState::Builder out, const core::hard_state& value)
{
    out.setTerm(value.term);
    out.setVotedFor(value.votedFor);
}

core::hard_state read(HardState::Reader in)
{
    return core::hard_state { in.getTerm(), text(in.getVotedFor()) };
}

void write(WalRecord::Builder out, const wal_record& value)
{
    if (const auto* entry = std::get_if<core::log_entry>(&value))
        write(out.initEntry(), *entry);
    else if (const auto* hard = std::get_if<core::hard_state>(&value))
        write(out.initHardState(), *hard);
    else
        out.setTruncateFrom(std::get<std::uint64_t>(value));
}

wal_record read(WalRecord::Reader in)
{
    switch (in.which()) {
    case WalRecord::ENTRY:
        return read(in.getEntry());
    case WalRecord::TRUNCATE_FROM:
        return in.getTruncateFrom();
    case WalRecord::HARD_STATE:
        return read(in.getHardState());
    }
    KJ_FAIL_REQUIRE("an unknown kind of log record: upgrade this process");
}

} // namespace plumfold::wire
