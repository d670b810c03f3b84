#include "plumfold/core/plumfold_target_demands.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>

using namespace plumfold::core;

namespace {

const instant start = instant(std::chrono::hours(1));

target_demand limitOf(double perSecond, std::uint64_t epoch, unix_milliseconds startedAt = 1)
{
    return { "t", startedAt, epoch, perSecond };
}

} // namespace

TEST_CASE("A limit is in force from the first response that names it", "[limit]")
{
    target_demands demands;
    CHECK_FALSE(demands.onResponse({ "t", 1, std::nullopt, 0 }, start));
    auto changed = demands.onResponse({ "t", 1, 1.8, 0 }, start);
    REQUIRE(changed);
    CHECK(*changed == limitOf(1.8, 1));
    CHECK(demands.maxRequestsPerSecond("t", 1) == 1.8);
    CHECK_FALSE(demands.maxRequestsPerSecond("t", 2));
    CHECK(demands.limitedTargets() == 1);
    SECTION("and is lowered by any response")
    {
        CHECK(demands.onResponse({ "t", 1, 0.4, 0 }, start));
        CHECK(demands.maxRequestsPerSecond("t", 1) == 0.4);
    }
    SECTION("and is raised only by the response to a request that was sent with it known")
    {
        CHECK_FALSE(demands.onResponse({ "t", 1, 6.0, 0 }, start));
        CHECK(demands.onResponse({ "t", 1, 6.0, 1 }, start));
        CHECK(demands.maxRequestsPerSecond("t", 1) == 6.0);
    }
    SECTION("and is ended only by the response to a request that was sent with it known")
    {
        CHECK_FALSE(demands.onResponse({ "t", 1, std::nullopt, 0 }, start));
        CHECK(demands.onResponse({ "t", 1, std::nullopt, 1 }, start));
        CHECK_FALSE(demands.maxRequestsPerSecond("t", 1));
        CHECK(demands.limitedTargets() == 0);
    }
    SECTION("and does not apply to a later incarnation")
    {
        CHECK_FALSE(demands.onResponse({ "t", 2, std::nullopt, 0 }, start));
        CHECK(demands.apply({ "t", 2, 1, 6.0 }, start));
        CHECK_FALSE(demands.onResponse({ "t", 1, 0.1, 1 }, start));
        CHECK_FALSE(demands.apply(limitOf(0.1, 9), start));
        CHECK(demands.maxRequestsPerSecond("t", 2) == 6.0);
    }
}

TEST_CASE("A target that has said that it leaves does so whatever it says later", "[leaving]")
{
    target_demands demands;
    auto changed = demands.onResponse({ "t", 1, 2.0, 0, true }, start);
    REQUIRE(changed);
    CHECK(changed->isLeaving);
    CHECK(demands.onResponse({ "t", 1, std::nullopt, 1, false }, start));
    CHECK(demands.isLeaving("t", 1));
    CHECK_FALSE(demands.isLeaving("t", 2));
    target_demands other;
    other.apply(limitOf(1, 5), start);
    other.apply(*changed, start);
    CHECK(other.isLeaving("t", 1));
    CHECK(other.maxRequestsPerSecond("t", 1) == 1);
}

TEST_CASE("Processes that exchange demands agree whatever the order in which these arrive", "[limit]")
{
    rc::prop("for any number of processes", [] {
        auto count = *rc::gen::inRange<std::size_t>(2, 6);
        std::vector<target_demands> processes(count);
        std::mt19937 random(*rc::gen::arbitrary<unsigned>());
        std::vector<target_demand> sent;
        for (int step = 0; step < 60; ++step) {
            auto& process = processes[random() % count];
            auto known = process.find("t", 1);
            auto epoch = known && random() % 2 ? known->epoch : 0;
            std::optional<double> named;
            if (random() % 3)
                named = static_cast<double>(1 + random() % 4);
            if (auto changed = process.onResponse({ "t", 1, named, epoch, random() % 20 == 0 }, start))
                sent.push_back(*changed);
            if (!sent.empty())
                processes[random() % count].apply(sent[random() % sent.size()], start);
        }
        for (auto& process : processes) {
            std::shuffle(sent.begin(), sent.end(), random);
            for (const auto& each : sent)
                process.apply(each, start);
        }
        for (auto& process : processes)
            RC_ASSERT(process.find("t", 1) == processes.front().find("t", 1));
    });
}

TEST_CASE("Demands of targets that are not known any more are removed after a time", "[limit]")
{
    target_demands demands;
    demands.apply(limitOf(1, 1), start);
    auto isKnown = [](const std::string&) { return false; };
    demands.removeStale(isKnown, start + milliseconds(60'000), milliseconds(60'000));
    CHECK(demands.changedAfter(0).size() == 1);
    demands.removeStale(isKnown, start + milliseconds(60'001), milliseconds(60'000));
    CHECK(demands.changedAfter(0).empty());
}
