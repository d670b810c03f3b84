#include "plumfold/core/plumfold_weight_rollout.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace plumfold::core;

namespace {

const instant start = instant(std::chrono::hours(1));

instant after(int ms)
{
    return start + milliseconds(ms);
}

std::vector<outdated_target> targets(int count)
{
    std::vector<outdated_target> out;
    for (int number = 1; number <= count; ++number)
        out.push_back({ "t" + std::to_string(number), "10.0.0." + std::to_string(number) + ":1", "m", 5 });
    return out;
}

} // namespace

TEST_CASE("A target that is idle after its order gives its place to others within a second", "[weights]")
{
    weight_rollout rollout;
    auto all = targets(3);
    REQUIRE(rollout.dueOrders(all, { { "m", 1 } }, start).front().name == "t1");
    rollout.onOrdered(all[0], start);
    CHECK(rollout.dueOrders(all, { { "m", 1 } }, after(500)).empty());
    CHECK_FALSE(rollout.onChecked(all[0], load_progress::idle, after(600)));
    REQUIRE(rollout.dueOrders(all, { { "m", 1 } }, after(1'000)).size() == 1);
    CHECK(rollout.dueOrders(all, { { "m", 1 } }, after(1'000)).front().name == "t2");
}

TEST_CASE("A target that executes its order keeps its place for as long as it does", "[weights]")
{
    weight_rollout rollout;
    auto all = targets(2);
    rollout.onOrdered(all[0], start);
    for (int ms = 300; ms <= 9'000; ms += 300) {
        CHECK_FALSE(rollout.onChecked(all[0], load_progress::running, after(ms)));
        CHECK(rollout.dueOrders(all, { { "m", 1 } }, after(ms)).empty());
    }
    CHECK_FALSE(rollout.onChecked(all[0], load_progress::complete, after(9'300)));
    CHECK(rollout.dueOrders({ all[1] }, { { "m", 1 } }, after(9'300)).size() == 1);
}

TEST_CASE("Targets that failed less often are ordered first", "[weights]")
{
    weight_rollout rollout;
    auto all = targets(2);
    rollout.onOrdered(all[0], start);
    CHECK(rollout.onChecked(all[0], load_progress::idle, after(2'100)));
    auto due = rollout.dueOrders(all, { { "m", 2 } }, after(2'700));
    REQUIRE(due.size() == 2);
    CHECK(due.front().name == "t2");
}

TEST_CASE("A target that could not be ordered is tried again after a growing back-off", "[weights]")
{
    weight_rollout rollout;
    auto all = targets(1);
    auto isDue = [&](int ms) { return !rollout.dueOrders(all, { { "m", 1 } }, after(ms)).empty(); };
    rollout.onNotOrdered(all[0], start);
    CHECK_FALSE(isDue(499));
    CHECK(isDue(500));
    rollout.onNotOrdered(all[0], after(500));
    CHECK_FALSE(isDue(1'499));
    CHECK(isDue(1'500));
    for (int count = 0; count < 10; ++count)
        rollout.onNotOrdered(all[0], after(1'500));
    CHECK(isDue(5'500));
}

TEST_CASE("A rollout completes on all sound targets whatever the others do", "[weights]")
{
    rc::prop("with some targets that ignore orders or do not respond", [] {
        auto count = *rc::gen::inRange(2, 20);
        auto failing = *rc::gen::container<std::set<int>>(rc::gen::inRange(1, count + 1));
        auto limit = static_cast<std::size_t>(*rc::gen::inRange(1, 4));
        weight_rollout rollout;
        auto outdated = targets(count);
        std::map<std::string, int> loadedAt;
        auto isFailing
            = [&](const outdated_target& each) { return failing.contains(std::stoi(each.name.substr(1))); };
        int sound = 0;
        for (const auto& each : outdated)
            sound += !isFailing(each);
        // Each group of concurrent loads takes at most a second, whether or not they succeed.
        int rounds = (count + static_cast<int>(limit) - 1) / static_cast<int>(limit);
        for (int ms = 0; ms <= (rounds + 1) * 1'200; ms += 100) {
            rollout.retain(outdated);
            for (const auto& each : rollout.dueChecks(outdated, after(ms))) {
                bool isComplete = !isFailing(each) && ms >= loadedAt[each.name];
                rollout.onChecked(each,
                    isFailing(each)  ? load_progress::idle
                        : isComplete ? load_progress::complete
                                     : load_progress::running,
                    after(ms));
                sound -= isComplete;
                if (isComplete)
                    std::erase(outdated, each);
            }
            auto due = rollout.dueOrders(outdated, { { "m", limit } }, after(ms));
            RC_ASSERT(due.size() <= limit);
            for (const auto& each : due) {
                rollout.onOrdered(each, after(ms));
                loadedAt[each.name] = ms + 600;
            }
        }
        RC_ASSERT(sound == 0);
    });
}
