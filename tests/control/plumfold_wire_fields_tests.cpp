#include "plumfold/wire/plumfold_convert.hpp"

#include <capnp/dynamic.h>
#include <capnp/message.h>
#include <capnp/pretty-print.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace plumfold;

namespace {

/// Sets every field of a message to a value other than its default, also those that are added to the schema
/// later. Of each union, the choice selects one member.
class message_filler {
public:
    explicit message_filler(unsigned choice)
        : m_choice(choice)
    {
    }

    void fill(capnp::DynamicStruct::Builder out)
    {
        for (auto field : out.getSchema().getNonUnionFields())
            set(out, field);
        auto members = out.getSchema().getUnionFields();
        if (members.size() > 0)
            set(out, members[m_choice % members.size()]);
    }

private:
    static constexpr unsigned listSize = 2;
    static constexpr unsigned firstNumber = 1'000; // numbers as text keep their order

    void set(capnp::DynamicStruct::Builder out, capnp::StructSchema::Field field)
    {
        auto type = field.getType();
        if (type.isStruct()) {
            fill(out.init(field).as<capnp::DynamicStruct>());
        } else if (type.isList()) {
            auto list = out.init(field, listSize).as<capnp::DynamicList>();
            for (unsigned index = 0; index < listSize; ++index) {
                if (type.asList().getElementType().isStruct())
                    fill(list[index].as<capnp::DynamicStruct>());
                else
                    list.set(index, next(type.asList().getElementType()));
            }
        } else {
            out.set(field, next(type));
        }
    }

    capnp::DynamicValue::Reader next(capnp::Type type)
    {
        ++m_last;
        switch (type.which()) {
        case capnp::schema::Type::VOID:
            return capnp::VOID;
        case capnp::schema::Type::BOOL:
            return true;
        case capnp::schema::Type::UINT8:
        case capnp::schema::Type::UINT16:
            return 1; // many are enumerators
        case capnp::schema::Type::TEXT:
            m_text = "text " + std::to_string(m_last);
            return capnp::Text::Reader(m_text.data(), m_text.size());
        case capnp::schema::Type::DATA:
            m_text = "data " + std::to_string(m_last);
            return capnp::Data::Reader(reinterpret_cast<const kj::byte*>(m_text.data()), m_text.size());
        default:
            return m_last;
        }
    }

    unsigned m_choice;
    unsigned m_last = firstNumber;
    std::string m_text; // copied when it is set
};

template <class Schema> unsigned unionMembers()
{
    return std::max(1u, static_cast<unsigned>(capnp::Schema::from<Schema>().getUnionFields().size()));
}

std::string textOf(const capnp::DynamicStruct::Reader& message)
{
    return capnp::prettyPrint(message).flatten().cStr();
}

/// Checks that a message with all fields set is the same after it was read and written again.
template <class Schema> void checkAllFieldsAreKept()
{
    for (unsigned choice = 0; choice < unionMembers<Schema>(); ++choice) {
        capnp::MallocMessageBuilder sent;
        auto root = sent.initRoot<Schema>();
        message_filler(choice).fill(capnp::toDynamic(root));
        auto value = wire::read(root.asReader());
        capnp::MallocMessageBuilder again;
        wire::write(again.initRoot<Schema>(), value);
        CHECK(textOf(capnp::toDynamic(again.getRoot<Schema>().asReader()))
            == textOf(capnp::toDynamic(root.asReader())));
    }
}

} // namespace

// Guards against a field that is written and not read back, as the condition of an order was, so that the
// leader decided without it.
TEMPLATE_TEST_CASE("A message that is read and written again keeps all fields", "[wire][waiting_order]",
    wire::Command, wire::CommandResult, wire::ChangeResult, wire::UsageRow, wire::AuditRecord, wire::Verdict,
    wire::LeaseState, wire::ClaimState, wire::RememberedResult, wire::UsageSource, wire::ControlSnapshot,
    wire::Record, wire::Change, wire::Delta, wire::ConfigurationUpdate, wire::RaftMessage, wire::LogEntry,
    wire::RaftSnapshot, wire::Member, wire::HardState, wire::WalRecord, wire::DeploymentDocument,
    wire::DeploymentState, wire::BeginRollout, wire::DecideRollout, wire::RolloutResult, wire::Suspect,
    wire::PermitOutcome, wire::ChainKey, wire::EntryAddress, wire::AnnouncedTarget, wire::TargetLoad,
    wire::TargetDemand, wire::PlaceRequest, wire::HeldPlace, wire::PlaceEnd, wire::PlaceDecision,
    wire::StreamRecord, wire::CrashSuspect, wire::RequestTraits, wire::CrashReport, wire::SuspectSuccess,
    wire::RecordedSuccess, wire::CrashVerdict, wire::PartNews, wire::PartCursor)
{
    checkAllFieldsAreKept<TestType>();
}

// Guards against members of the group that are changed by the log or by a message.
TEST_CASE("Members that are sent and read keep all fields", "[wire][lost_voter]")
{
    core::raft_membership members { { { "a", 1, true, "127.0.0.1:1", "east", true },
        { "b", 2, false, "127.0.0.1:2", "west", false } } };
    core::log_entry entry;
    entry.term = 3;
    entry.index = 4;
    entry.kind = core::entry_kind::membership;
    entry.members = members;
    CHECK(wire::decode<wire::LogEntry>(wire::encode<wire::LogEntry>(entry)) == entry);
    core::raft_message join;
    join.kind = core::message_kind::join;
    join.from = "a";
    join.address = "127.0.0.1:1";
    join.failureDomain = "east";
    join.isInitial = true;
    auto read = wire::decode<wire::RaftMessage>(wire::encode<wire::RaftMessage>(join));
    CHECK(read.address == join.address);
    CHECK(read.failureDomain == join.failureDomain);
    CHECK(read.isInitial);
}

// Guards against orders in logs of former versions, which name no condition, that are refused or misread.
TEST_CASE("An order without a condition is read as one without any", "[wire][waiting_order]")
{
    capnp::MallocMessageBuilder message;
    auto order = message.initRoot<wire::Command>().initSetInService();
    order.setFailureDomain("east");
    order.setInService(true);
    auto command = wire::read(message.getRoot<wire::Command>().asReader());
    CHECK_FALSE(std::get<core::set_in_service_command>(command.payload).lastKnownOrder);
}
