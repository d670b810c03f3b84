#include "plumfold/core/plumfold_link_health.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

const instant start = instant(std::chrono::hours(1));

instant after(int ms)
{
    return start + milliseconds(ms);
}

link_health healthOf(std::size_t targets)
{
    link_health health;
    health.setTargetCount(targets);
    health.onBytes(start);
    return health;
}

link_health lostAt(int ms)
{
    auto health = healthOf(4);
    for (const auto* target : { "a", "b", "c" })
        health.onFailure(target);
    REQUIRE(health.update(after(ms)) == link_change { true, 3, 0 });
    return health;
}

} // namespace

TEST_CASE("One target that fails again and again does not mean that the link is lost", "[link]")
{
    auto health = healthOf(4);
    for (int count = 0; count < 20; ++count)
        health.onFailure("a");
    CHECK_FALSE(health.update(after(100)));
    health.onFailure("b");
    CHECK_FALSE(health.update(after(200)));
    CHECK_FALSE(health.isLost());
}

TEST_CASE("The only target that fails does not mean that the link is lost", "[link]")
{
    auto health = healthOf(1);
    health.onFailure("a");
    health.onSent("a", after(0));
    CHECK_FALSE(health.update(after(5'000)));
}

TEST_CASE("Several targets that fail in a row mean that the link is lost", "[link]")
{
    auto health = healthOf(4);
    health.onFailure("a");
    health.onFailure("b");
    SECTION("unless another one sends bytes in between")
    {
        health.onBytes(after(50));
        health.onFailure("c");
        CHECK_FALSE(health.update(after(60)));
    }
    SECTION("without a byte in between")
    {
        health.onFailure("c");
        CHECK(health.update(after(60)) == link_change { true, 3, 0 });
        CHECK(health.isLost());
        CHECK_FALSE(health.update(after(70)));
    }
}

TEST_CASE("Two failing targets mean that the link is lost if there are no others", "[link]")
{
    auto health = healthOf(2);
    health.onFailure("a");
    CHECK_FALSE(health.update(after(10)));
    health.onFailure("b");
    CHECK(health.update(after(20)) == link_change { true, 2, 0 });
}

TEST_CASE("Silence of several targets means that the link is lost after a time", "[link]")
{
    auto health = healthOf(4);
    for (const auto* target : { "a", "b", "c" })
        health.onSent(target, after(100));
    CHECK_FALSE(health.update(after(1'500)));
    SECTION("while no target sends bytes")
    {
        CHECK(health.update(after(1'600)) == link_change { true, 0, 3 });
    }
    SECTION("unless a target sends bytes")
    {
        health.onBytes(after(1'000));
        CHECK_FALSE(health.update(after(2'400)));
    }
    SECTION("unless the requests have ended")
    {
        health.onEnded(1);
        CHECK_FALSE(health.update(after(3'000)));
    }
}

TEST_CASE("Requests that are predicted to take long are not silent before that time", "[link]")
{
    auto health = healthOf(3);
    for (const auto* target : { "a", "b", "c" })
        health.onSent(target, after(0), milliseconds(2'000));
    CHECK_FALSE(health.update(after(3'499)));
    CHECK(health.update(after(3'500)) == link_change { true, 0, 3 });
}

TEST_CASE("Bytes of any target show that a lost link is back", "[link]")
{
    auto health = lostAt(100);
    CHECK_FALSE(health.update(after(10'000)));
    health.onBytes(after(10'100));
    auto change = health.update(after(10'100));
    REQUIRE(change);
    CHECK_FALSE(change->isLost);
    CHECK_FALSE(health.isLost());
}

TEST_CASE("While the link is lost, few requests try targets", "[link]")
{
    auto health = lostAt(0);
    CHECK_FALSE(health.tryTakeTrial(true, after(299)));
    CHECK(health.tryTakeTrial(true, after(300)));
    CHECK_FALSE(health.tryTakeTrial(true, after(899)));
    CHECK(health.tryTakeTrial(true, after(900)));
    CHECK(health.tryTakeTrial(true, after(1'900)));
    CHECK(health.tryTakeTrial(true, after(2'900)));
    CHECK_FALSE(health.tryTakeTrial(false, after(4'899)));
    CHECK(health.tryTakeTrial(false, after(4'900)));
    CHECK_FALSE(healthOf(4).tryTakeTrial(true, after(10'000)));
}
