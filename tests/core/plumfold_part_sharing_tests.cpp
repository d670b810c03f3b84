#include "plumfold/core/plumfold_part_sharing.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plumfold::core;

namespace {

const instant start {};
const std::string store = "10.0.0.1:80";
constexpr milliseconds shareInterval { 150 };
constexpr milliseconds maxAge { 10'000 };
constexpr milliseconds convergenceTime { 3'000 };

part_change part(const std::string& id, std::uint32_t tokens = 100)
{
    return { hashOf({ "w1", id }), tokens };
}

/// A control VM: its directory and what it assumes of one receiver.
struct sender {
    std::string name;
    part_directory directory {};
    part_sharing sharing {};
    std::size_t wholes = 0;

    /// Polls a store that has not changed, as a poller with its own generation does.
    void poll(const std::string& holder, std::uint64_t generation, instant now)
    {
        auto known = directory.holders().find(holder);
        if (known == directory.holders().end() || known->second.generation != generation) {
            directory.reset(holder, generation, now);
            for (const auto* id : { "a", "b", "c" })
                directory.apply(holder, part(id));
        }
        directory.confirm(holder, now);
    }

    /// @return the holders that the receiver reported.
    std::vector<std::string> shareTo(
        part_directory& receiver, const std::vector<std::string>& holders, instant now)
    {
        auto shared = sharing.updates(directory, holders, now);
        std::vector<std::string> unknown;
        for (const auto& update : shared.updates) {
            wholes += update.first == 0 && !update.changes.empty();
            if (receiver.apply(update, now, name) == part_outcome::unknown)
                unknown.push_back(update.holder);
        }
        sharing.onDelivered(shared.updates, unknown);
        return unknown;
    }
};

bool haveEqualContent(const part_directory& left, const part_directory& right, instant now)
{
    const auto* one = left.find(store, now);
    const auto* other = right.find(store, now);
    return one && other && one->generation == other->generation && one->tokens == other->tokens;
}

std::vector<std::string> storeNames(int count)
{
    std::vector<std::string> out;
    for (int number = 0; number < count; ++number)
        out.push_back("10.0.1." + std::to_string(number) + ":80");
    return out;
}

} // namespace

// Guards against contents that stay unknown after a control VM has polled in another one's place.
TEST_CASE("The content of the remaining poller is in force within 3 s", "[part_sharing]")
{
    sender first { "first" };
    sender second { "second" };
    part_directory receiver;
    auto now = start;
    auto step = [&](bool firstPolls, bool secondPolls) {
        now += shareInterval;
        if (firstPolls) {
            first.poll(store, 7, now);
            first.shareTo(receiver, { store }, now);
        }
        if (secondPolls) {
            second.poll(store, 9, now);
            second.shareTo(receiver, { store }, now);
        }
        receiver.expire(now, maxAge);
    };
    for (int count = 0; count < 10; ++count)
        step(true, false);
    REQUIRE(haveEqualContent(first.directory, receiver, now));
    for (int count = 0; count < 40; ++count)
        step(false, true);
    REQUIRE(haveEqualContent(second.directory, receiver, now));
    for (int count = 0; count < 20; ++count) {
        step(true, true);
        REQUIRE(haveEqualContent(second.directory, receiver, now));
    }
    auto stoppedAt = now;
    while (!haveEqualContent(first.directory, receiver, now) && now - stoppedAt < 5 * convergenceTime)
        step(true, false);
    CHECK(now - stoppedAt <= convergenceTime);
    first.directory.apply(store, part("d"));
    for (int count = 0; count < 100; ++count)
        step(true, false);
    CHECK(haveEqualContent(first.directory, receiver, now));
}

// Guards against contents that alternate, each of them sent whole again and again.
TEST_CASE("Two pollers of a holder do not replace each other's content", "[part_sharing]")
{
    sender first { "first" };
    sender second { "second" };
    part_directory receiver;
    auto now = start;
    for (int count = 0; count < 100; ++count) {
        now += shareInterval;
        first.poll(store, 7, now);
        second.poll(store, 9, now);
        first.shareTo(receiver, { store }, now);
        second.shareTo(receiver, { store }, now);
        REQUIRE(haveEqualContent(first.directory, receiver, now));
    }
    CHECK(first.wholes == 1);
    CHECK(second.wholes == 1);
}

// Guards against a poller whose own copy was replaced while it was suspended.
TEST_CASE("A poller whose content was replaced puts its next one in force", "[part_sharing]")
{
    sender first { "first" };
    sender second { "second" };
    part_directory receiver;
    first.poll(store, 7, start);
    first.shareTo(receiver, { store }, start);
    auto now = start + milliseconds(7'000);
    second.poll(store, 9, now);
    second.shareTo(first.directory, { store }, now);
    part_sharing toReceiver;
    std::swap(second.sharing, toReceiver);
    second.shareTo(receiver, { store }, now);
    REQUIRE(haveEqualContent(second.directory, first.directory, now));
    // What it has from the other one is not its own knowledge.
    CHECK(first.sharing.updates(first.directory, { store }, now).updates.empty());
    auto stoppedAt = now;
    while (now - stoppedAt < convergenceTime) {
        now += shareInterval;
        first.poll(store, 11, now);
        first.shareTo(receiver, { store }, now);
    }
    CHECK(haveEqualContent(first.directory, receiver, now));
    CHECK(receiver.find(store, now)->generation == 11);
}

// Guards against a sender that goes on with increments after the receiver's copy has expired.
TEST_CASE("A content that has expired at the receiver is sent whole again", "[part_sharing]")
{
    sender from { "first" };
    part_directory receiver;
    from.poll(store, 7, start);
    from.shareTo(receiver, { store }, start);
    auto later = start + maxAge + milliseconds(1);
    receiver.expire(later, maxAge);
    REQUIRE(receiver.holders().empty());
    from.poll(store, 7, later);
    CHECK(from.shareTo(receiver, { store }, later) == std::vector<std::string> { store });
    auto shared = from.sharing.updates(from.directory, { store }, later);
    CHECK(shared.resent == std::vector<std::string> { store });
    CHECK(receiver.apply(shared.updates.at(0), later, from.name) == part_outcome::applied);
    CHECK(haveEqualContent(from.directory, receiver, later));
}

// Guards against parts that are missing for ever after a lost update.
TEST_CASE("After a gap in the changes the content is sent whole", "[part_sharing]")
{
    sender from { "first" };
    part_directory receiver;
    from.poll(store, 7, start);
    from.shareTo(receiver, { store }, start);
    from.directory.apply(store, part("lost"));
    auto lost = from.sharing.updates(from.directory, { store }, start);
    from.sharing.onDelivered(lost.updates, std::vector<std::string> {});
    from.directory.apply(store, part("next"));
    CHECK(from.shareTo(receiver, { store }, start) == std::vector<std::string> { store });
    auto later = start + part_sharing::wholeInterval;
    from.directory.confirm(store, later);
    CHECK(from.shareTo(receiver, { store }, later).empty());
    CHECK(haveEqualContent(from.directory, receiver, later));
}

TEST_CASE("The whole content of a holder is sent at most once a second", "[part_sharing]")
{
    sender from { "first" };
    auto now = start;
    for (int count = 0; count < 100; ++count) {
        part_directory forgetful;
        from.poll(store, 7, now);
        from.shareTo(forgetful, { store }, now);
        now += milliseconds(50);
    }
    CHECK(from.wholes <= 5);
    CHECK(from.wholes >= 4);
}

// Guards against calls that time out because of their size, which would drop the connection.
TEST_CASE("The whole contents of many holders are spread over several calls", "[part_sharing]")
{
    sender from { "first" };
    part_directory receiver;
    auto holders = storeNames(29);
    auto now = start;
    int calls = 0;
    for (; receiver.holders().size() < holders.size() && calls < 20; ++calls) {
        for (const auto& holder : holders)
            from.poll(holder, 7, now);
        auto before = from.wholes;
        from.shareTo(receiver, holders, now);
        CHECK(from.wholes - before <= part_sharing::maxWholeHolders);
        now += shareInterval;
    }
    CHECK(calls == 4);
    CHECK(from.wholes == holders.size());
}

TEST_CASE("One content may exceed the limit of a call, two do not", "[part_sharing]")
{
    sender from { "first" };
    auto holders = storeNames(2);
    for (const auto& holder : holders) {
        from.directory.reset(holder, 7, start);
        for (std::size_t count = 0; count <= part_sharing::maxWholeParts; ++count)
            from.directory.apply(holder, part(std::to_string(count)));
    }
    CHECK(from.sharing.updates(from.directory, holders, start).updates.size() == 1);
    CHECK(from.sharing.updates(from.directory, holders, start).updates.size() == 1);
    CHECK(from.sharing.updates(from.directory, holders, start).updates.empty());
}

// Guards against calls that time out without end because each time-out makes the next call larger.
TEST_CASE(
    "A receiver that reports what it lacks gets no whole contents after a reconnection", "[part_sharing]")
{
    sender from { "first" };
    part_directory receiver;
    from.poll(store, 7, start);
    from.shareTo(receiver, { store }, start);
    from.sharing.onDisconnected();
    auto later = start + part_sharing::wholeInterval;
    from.poll(store, 7, later);
    CHECK(from.shareTo(receiver, { store }, later).empty());
    CHECK(from.wholes == 1);
    CHECK(haveEqualContent(from.directory, receiver, later));
}

// A control VM of a former version reports nothing, so a restart of it has to be assumed.
TEST_CASE("A receiver that does not report gets whole contents after a reconnection", "[part_sharing]")
{
    sender from { "first" };
    from.poll(store, 7, start);
    auto sent = from.sharing.updates(from.directory, { store }, start).updates;
    from.sharing.onDelivered(sent, std::nullopt);
    from.sharing.onDisconnected();
    auto later = start + part_sharing::wholeInterval;
    from.directory.confirm(store, later);
    auto next = from.sharing.updates(from.directory, { store }, later).updates;
    REQUIRE(next.size() == 1);
    CHECK(next[0].first == 0);
    // A process of a former version takes the place of one that reported.
    from.sharing.onDelivered(next, std::vector<std::string> {});
    from.sharing.onDisconnected();
    auto increment = from.sharing.updates(from.directory, { store }, later).updates;
    CHECK(increment.at(0).first != 0);
    from.sharing.onDelivered(increment, std::nullopt);
    auto last = later + part_sharing::wholeInterval;
    from.directory.confirm(store, last);
    CHECK(from.sharing.updates(from.directory, { store }, last).updates.at(0).first == 0);
}

// Guards against fetches from a holder that has lost its parts.
TEST_CASE("A restarted holder is empty at once, and a lost one is removed once", "[part_sharing]")
{
    sender from { "first" };
    part_directory receiver;
    from.poll(store, 7, start);
    from.shareTo(receiver, { store }, start);
    from.directory.reset(store, 8, start);
    from.shareTo(receiver, { store }, start);
    REQUIRE(receiver.find(store, start));
    CHECK(receiver.find(store, start)->tokens.empty());
    from.directory.apply({ store, 0, 0, 0, false, {} }, start);
    from.shareTo(receiver, { store }, start);
    CHECK_FALSE(receiver.find(store, start));
    CHECK(from.sharing.updates(from.directory, { store }, start).updates.empty());
}

TEST_CASE("A control VM does not remove what another one has just confirmed", "[part_sharing]")
{
    part_directory receiver;
    sender second { "second" };
    second.poll(store, 9, start);
    second.shareTo(receiver, { store }, start);
    CHECK(receiver.apply({ store, 0, 0, 0, false, {} }, start, "first") == part_outcome::kept);
    CHECK(receiver.find(store, start));
    auto later = start + part_directory::replacementDelay + milliseconds(1);
    CHECK(receiver.apply({ store, 0, 0, 0, false, {} }, later, "first") == part_outcome::applied);
    CHECK(receiver.holders().empty());
}

// Guards against a confirmation of one generation that is taken for that of another.
TEST_CASE("An unconfirmed content neither replaces another one nor is requested", "[part_sharing]")
{
    sender first { "first" };
    sender second { "second" };
    part_directory receiver;
    first.poll(store, 7, start);
    first.shareTo(receiver, { store }, start);
    second.poll(store, 9, start);
    auto later = start + milliseconds(5'000);
    CHECK(second.sharing.updates(second.directory, { store }, later).updates.empty());
    part_update unconfirmed { store, 9, 0, 3, false, { part("x") } };
    CHECK(receiver.apply(unconfirmed, later, second.name) == part_outcome::kept);
    unconfirmed.first = 2;
    CHECK(receiver.apply(unconfirmed, later, second.name) == part_outcome::kept);
    CHECK_FALSE(receiver.find(store, later));
    CHECK(receiver.holders().at(store).generation == 7);
}

// Guards against an entry whose control VM knows a content that is unconfirmed: it would get all parts with
// each poll.
TEST_CASE("A reader gets no parts of an unconfirmed content that it lacks", "[part_directory]")
{
    part_directory control;
    control.reset(store, 7, start);
    control.apply(store, part("a"));
    auto later = start + milliseconds(5'000);
    auto update = control.updateAfter({ store, 0, 0 }, later);
    CHECK(update.changes.empty());
    CHECK(update.first != 0);
    control.confirm(store, later);
    CHECK(control.updateAfter({ store, 0, 0 }, later).changes.size() == 1);
}
