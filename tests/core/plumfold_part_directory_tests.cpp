#include "plumfold/core/plumfold_part_directory.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

const instant start {};
const std::string store = "10.0.0.1:80";

stored_part part(const std::string& id)
{
    return { { "w1", id }, 100 };
}

/// Brings a reader up to date, as control does for entries.
void relay(const part_directory& from, part_directory& to, instant now)
{
    store_cursor cursor { store, 0, 0 };
    for (const auto& each : to.cursors())
        cursor = each;
    to.take(from.newsAfter(cursor, now), now);
}

std::vector<service_limits> oneStore()
{
    service_limits service;
    service.name = "kept";
    service.store = part_store { store, "a", 10'000, 57'000 };
    return { service };
}

const std::vector<prompt_part> prompt { { "system", 100 }, { "session", 2000 }, { "own", 50 } };
constexpr double readRate = 48;

} // namespace

TEST_CASE(
    "What a reader knew of a store counts again when it is confirmed after a silence", "[part_directory]")
{
    part_directory control;
    part_directory entry;
    control.reset(store, 7, start);
    control.add(store, part("a"));
    relay(control, entry, start);
    REQUIRE(entry.find(store, start));
    auto later = start + milliseconds(5'000);
    CHECK_FALSE(entry.find(store, later));
    relay(control, entry, later); // control itself heard nothing of the store
    CHECK_FALSE(entry.find(store, later));
    control.refresh(store, later);
    control.add(store, part("b"));
    relay(control, entry, later);
    REQUIRE(entry.find(store, later));
    CHECK(entry.find(store, later)->tokens.size() == 2);
}

TEST_CASE("A store that starts anew is empty for every reader", "[part_directory]")
{
    part_directory control;
    part_directory entry;
    control.reset(store, 7, start);
    control.add(store, part("a"));
    relay(control, entry, start);
    control.reset(store, 8, start);
    relay(control, entry, start);
    REQUIRE(entry.find(store, start));
    CHECK(entry.find(store, start)->tokens.empty());
}

TEST_CASE(
    "Shared parts are saved once, later fetched, and the request's own part is neither", "[part_planner]")
{
    part_directory directory;
    part_planner planner;
    planner.setStores(oneStore());
    directory.reset(store, 7, start);
    auto later = start + milliseconds(10'000);
    directory.refresh(store, later);
    auto first = planner.plan(prompt, "w1", "a", directory, readRate, later);
    CHECK(first.saveTo == std::vector<std::string> { store, store, "" });
    CHECK_FALSE(first.fetches());
    CHECK_FALSE(planner.plan(prompt, "w1", "a", directory, readRate, later).saves());
    directory.add(store, { { "w1", "session" }, 2000 });
    auto next = planner.plan(prompt, "w1", "a", directory, readRate, later);
    CHECK(next.fetchFrom == std::vector<std::string> { "", store, "" });
    // Other weights find nothing.
    CHECK_FALSE(planner.plan(prompt, "w2", "a", directory, readRate, later).fetches());
}

TEST_CASE(
    "A store that has just started gets no saves until all readers know that it is empty", "[part_planner]")
{
    part_directory directory;
    part_planner planner;
    planner.setStores(oneStore());
    directory.reset(store, 7, start);
    CHECK_FALSE(planner.plan(prompt, "w1", "a", directory, readRate, start + milliseconds(1'000)).saves());
}

TEST_CASE("A store that is slower than reading again is left alone until it has recovered", "[part_planner]")
{
    part_directory directory;
    part_planner planner;
    planner.setStores(oneStore());
    directory.reset(store, 7, start);
    directory.add(store, { { "w1", "session" }, 2000 });
    for (int count = 0; count < 20; ++count)
        planner.delays().record({ store }, 400, start);
    CHECK_FALSE(planner.plan(prompt, "w1", "a", directory, readRate, start).fetches());
    auto later = start + milliseconds(10'000);
    directory.refresh(store, later);
    CHECK(planner.plan(prompt, "w1", "a", directory, readRate, later).fetches());
}
