#include "plumfold/core/plumfold_permit_ledger.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace plumfold::core;

namespace {

const milliseconds lease { 2000 };

target_report report(std::uint64_t incarnation, std::uint32_t maxBatch, std::uint32_t running = 0)
{
    target_report made;
    made.name = "t";
    made.incarnation = incarnation;
    made.maxBatch = maxBatch;
    made.running = running;
    return made;
}

permit_request ask(const std::string& holder, std::uint64_t incarnation = 1, bool alone = false)
{
    return { holder, "t", incarnation, alone };
}

attempt_measurement quick()
{
    return { attempt_outcome::succeeded, milliseconds(20), milliseconds(20), true };
}

/// Raises a target's concurrency limit by completing requests at warm speed.
void warm(permit_ledger& ledger, std::uint32_t limit, instant now)
{
    while (ledger.limitOf("t") < limit) {
        auto permit = ledger.acquire(ask("a"), now);
        REQUIRE(permit.granted);
        ledger.release(permit.permit, quick());
    }
}

} // namespace

TEST_CASE("The limit of a cold target rises with fast answers and drops when the target becomes slow",
    "[permits][cold]")
{
    permit_ledger ledger(lease, 1);
    instant now {};
    ledger.onReport(report(1, 8), now);
    auto first = ledger.acquire(ask("a"), now);
    CHECK(first.granted);
    CHECK_FALSE(ledger.acquire(ask("b"), now).granted);
    ledger.release(first.permit, quick());
    now += milliseconds(100);
    CHECK(ledger.limitOf("t") == 2);
    warm(ledger, 8, now);
    CHECK(ledger.limitOf("t") == 8);
    for (int slow = 0; slow < 2; ++slow) {
        auto permit = ledger.acquire(ask("a"), now);
        ledger.release(
            permit.permit, { attempt_outcome::succeeded, milliseconds(900), milliseconds(50), true });
    }
    CHECK(ledger.limitOf("t") == 1);
}

TEST_CASE(
    "Without a warm reference, similar answers of cold targets do not raise the limit", "[permits][cold]")
{
    slow_start_window window(8);
    attempt_measurement cold { attempt_outcome::succeeded, milliseconds(1000), milliseconds(1000), false };
    for (int answer = 0; answer < 15; ++answer) {
        window.record(cold);
        CHECK(window.limit() == 1);
    }
    SECTION("an answer that is much faster than the first one raises it")
    {
        cold.firstToken = milliseconds(100);
        window.record(cold);
        CHECK(window.limit() == 2);
    }
    SECTION("16 answers raise it, as a target that does not become faster was warm")
    {
        window.record(cold);
        CHECK(window.limit() == 2);
    }
}

TEST_CASE("A restarted target starts cold and its earlier permits are void", "[permits][cold]")
{
    permit_ledger ledger(lease, 1);
    instant now {};
    ledger.onReport(report(1, 8), now);
    warm(ledger, 8, now);
    ledger.onReport(report(2, 8), now);
    CHECK(ledger.limitOf("t") == 1);
    CHECK_FALSE(ledger.acquire(ask("a", 1), now).granted); // for the previous incarnation
    CHECK(ledger.acquire(ask("a", 2), now).granted);
}

TEST_CASE("A new owner counts the requests that still run under the previous owner's permits",
    "[permits][takeover]")
{
    permit_ledger ledger(lease, 1);
    instant now {};
    ledger.onReport(report(1, 8, 3), now);
    CHECK(ledger.limitOf("t") == 3);
    CHECK_FALSE(ledger.acquire(ask("a"), now).granted);
    SECTION("a lease has passed")
    {
        now += lease;
        CHECK(ledger.acquire(ask("a"), now).granted);
    }
    SECTION("the target reports less load")
    {
        ledger.onReport(report(1, 8, 1), now);
        CHECK(ledger.acquire(ask("a"), now).granted);
    }
}

TEST_CASE("The permits of a dead entry expire with their lease", "[permits]")
{
    permit_ledger ledger(lease, 1);
    instant now {};
    ledger.onReport(report(1, 8), now);
    auto dead = ledger.acquire(ask("dead"), now);
    REQUIRE(dead.granted);
    ledger.expire(now + lease - milliseconds(1));
    CHECK_FALSE(ledger.acquire(ask("live"), now + lease - milliseconds(1)).granted);
    ledger.expire(now + lease);
    CHECK(ledger.acquire(ask("live"), now + lease + milliseconds(100)).granted);
    SECTION("renewed permits do not expire")
    {
        auto held = ledger.acquire(ask("x"), now);
        ledger.renew("live", { held.permit }, now + lease);
    }
}

TEST_CASE("A suspect runs alone while requests of other entries wait", "[permits][suspects]")
{
    permit_ledger ledger(lease, 1);
    instant now {};
    ledger.onReport(report(1, 8), now);
    warm(ledger, 8, now);
    auto innocent = ledger.acquire(ask("a"), now);
    CHECK_FALSE(ledger.acquire(ask("s", 1, true), now).granted);
    CHECK_FALSE(ledger.acquire(ask("a"), now).granted); // the target drains before the suspect runs
    ledger.release(innocent.permit, quick());
    now += milliseconds(50);
    auto alone = ledger.acquire(ask("s", 1, true), now);
    REQUIRE(alone.granted);
    CHECK_FALSE(ledger.acquire(ask("a"), now).granted);
    ledger.release(alone.permit, quick());
    now += milliseconds(50);
    CHECK(ledger.acquire(ask("a"), now).granted);
}

TEST_CASE("Entries that were denied first get the permits that become free", "[permits][fairness]")
{
    permit_ledger ledger(lease, 1);
    instant now {};
    ledger.onReport(report(1, 1), now);
    auto held = ledger.acquire(ask("owner"), now);
    CHECK_FALSE(ledger.acquire(ask("remote"), now).granted);
    ledger.release(held.permit, quick());
    CHECK_FALSE(ledger.acquire(ask("owner"), now).granted);
    CHECK(ledger.acquire(ask("remote"), now).granted);
}

TEST_CASE("All entries together never exceed the concurrency limit", "[permits][property]")
{
    rc::prop("acquire, release, report, expire in any order", [] {
        permit_ledger ledger(lease, 1);
        instant now {};
        std::uint64_t incarnation = 1;
        ledger.onReport(report(incarnation, 8), now);
        std::map<permit_id, std::uint64_t> held;
        for (int step = 0; step < 100; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 300));
            std::string holder(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
            std::uint32_t limitBefore = ledger.limitOf("t");
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                if (!held.empty()) {
                    ledger.release(held.begin()->first, quick());
                    held.erase(held.begin());
                }
                break;
            case 1:
                if (*rc::gen::inRange(0, 10) == 0)
                    ledger.onReport(report(++incarnation, 8), now);
                break;
            case 2:
                for (const auto& [permit, of] : held)
                    ledger.renew(holder, { permit }, now);
                ledger.expire(now);
                break;
            default: {
                auto answer = ledger.acquire(ask(holder, incarnation), now);
                if (answer.granted) {
                    RC_ASSERT(held.emplace(answer.permit, incarnation).second);
                    RC_ASSERT(ledger.takenOf("t") <= limitBefore);
                }
            }
            }
        }
    });
}
