#include "plumfold/core/plumfold_part_directory.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

const instant start {};
const std::string store = "10.0.0.1:80";

part_change part(const std::string& id, std::uint32_t tokens = 100)
{
    return { hashOf({ "w1", id }), tokens };
}

/// Sends the update after a reader's cursor to it, as control does for entries.
void relay(const part_directory& from, part_directory& to, instant now)
{
    part_cursor cursor { store, 0, 0 };
    for (const auto& each : to.cursors())
        cursor = each;
    to.apply(from.updateAfter(cursor, now), now);
}

std::vector<service_limits> oneStore()
{
    service_limits service;
    service.name = "kept";
    service.store = part_store { store, "a", 10'000, 57'000 };
    return { service };
}

const std::vector<prompt_part> prompt { { "system", 100 }, { "session", 2000 }, { "own", 50 } };
constexpr double prefillRate = 48;
const part_source target { "10.0.1.1:80", "a", 740'000 };

std::optional<part_source> noEngines(const std::string&)
{
    return std::nullopt;
}

} // namespace

TEST_CASE(
    "A store's content becomes valid again when it is confirmed after an interruption", "[part_directory]")
{
    part_directory control;
    part_directory entry;
    control.reset(store, 7, start);
    control.apply(store, part("a"));
    relay(control, entry, start);
    REQUIRE(entry.find(store, start));
    auto later = start + milliseconds(5'000);
    CHECK_FALSE(entry.find(store, later));
    relay(control, entry, later); // control's own content is unconfirmed
    CHECK_FALSE(entry.find(store, later));
    control.confirm(store, later);
    control.apply(store, part("b"));
    relay(control, entry, later);
    REQUIRE(entry.find(store, later));
    CHECK(entry.find(store, later)->tokens.size() == 2);
}

TEST_CASE("A restarted store is empty for every reader", "[part_directory]")
{
    part_directory control;
    part_directory entry;
    control.reset(store, 7, start);
    control.apply(store, part("a"));
    relay(control, entry, start);
    control.reset(store, 8, start);
    relay(control, entry, start);
    REQUIRE(entry.find(store, start));
    CHECK(entry.find(store, start)->tokens.empty());
}

TEST_CASE("Shared parts are saved once and then fetched, the request's own part is neither", "[part_planner]")
{
    part_directory directory;
    part_planner planner;
    planner.setStores(oneStore());
    directory.reset(store, 7, start);
    auto later = start + milliseconds(10'000);
    directory.confirm(store, later);
    auto first = planner.plan(prompt, "w1", target, directory, noEngines, prefillRate, later);
    CHECK(first.saveTo == std::vector<std::string> { store, store, "" });
    CHECK_FALSE(first.fetches());
    CHECK_FALSE(planner.plan(prompt, "w1", target, directory, noEngines, prefillRate, later).saves());
    directory.apply(store, part("session", 2000));
    auto next = planner.plan(prompt, "w1", target, directory, noEngines, prefillRate, later);
    CHECK(next.fetchFrom == std::vector<std::string> { "", store, "" });
    // Parts of another weight version are not found.
    CHECK_FALSE(planner.plan(prompt, "w2", target, directory, noEngines, prefillRate, later).fetches());
}

TEST_CASE("A restarted store gets no saves until all readers know that it is empty", "[part_planner]")
{
    part_directory directory;
    part_planner planner;
    planner.setStores(oneStore());
    directory.reset(store, 7, start);
    CHECK_FALSE(
        planner.plan(prompt, "w1", target, directory, noEngines, prefillRate, start + milliseconds(1'000))
            .saves());
}

TEST_CASE("A store that is slower than recomputing gets no fetches until it has recovered", "[part_planner]")
{
    part_directory directory;
    part_planner planner;
    planner.setStores(oneStore());
    directory.reset(store, 7, start);
    directory.apply(store, part("session", 2000));
    for (int count = 0; count < 20; ++count)
        planner.delays().record({ store }, 400, start);
    CHECK_FALSE(planner.plan(prompt, "w1", target, directory, noEngines, prefillRate, start).fetches());
    auto later = start + milliseconds(10'000);
    directory.confirm(store, later);
    CHECK(planner.plan(prompt, "w1", target, directory, noEngines, prefillRate, later).fetches());
}

TEST_CASE("A part that its holder removed is not found by any reader", "[part_directory]")
{
    part_directory control;
    part_directory entry;
    control.reset(store, 7, start);
    control.apply(store, part("a"));
    control.apply(store, part("b"));
    relay(control, entry, start);
    REQUIRE(entry.holdersOf(part("a").part, start) == std::vector<std::string> { store });
    control.apply(store, part("a", 0));
    relay(control, entry, start);
    CHECK(entry.holdersOf(part("a").part, start).empty());
    CHECK(entry.holdersOf(part("b").part, start) == std::vector<std::string> { store });
    CHECK(entry.find(store, start)->usedTokens == 100);
}

TEST_CASE("A reader that lags behind the kept changes receives all parts", "[part_directory]")
{
    part_directory control;
    part_directory entry;
    control.reset(store, 7, start);
    control.apply(store, part("first"));
    relay(control, entry, start);
    for (int count = 0; count < 5'000; ++count) {
        auto id = std::to_string(count);
        control.apply(store, part(id));
        control.apply(store, part(id, 0));
    }
    control.apply(store, part("first", 0));
    control.apply(store, part("last"));
    relay(control, entry, start);
    CHECK(entry.holdersOf(part("first").part, start).empty());
    CHECK(entry.holdersOf(part("last").part, start) == std::vector<std::string> { store });
    CHECK(entry.cursors() == control.cursors());
}

TEST_CASE("Updates applied twice change nothing, and stale updates revert nothing", "[part_directory]")
{
    part_directory lagging;
    part_directory entry;
    lagging.reset(store, 7, start);
    lagging.apply(store, part("a"));
    relay(lagging, entry, start);
    auto before = lagging.updateAfter({ store, 7, 0 }, start);
    entry.apply(store, part("a", 0));
    entry.apply(before, start);
    relay(lagging, entry, start);
    CHECK(entry.holdersOf(part("a").part, start).empty());
}

TEST_CASE("A part that only another engine holds is fetched from it while it is reachable", "[part_planner]")
{
    const std::string other = "10.0.1.2:80";
    part_directory directory;
    part_planner planner;
    planner.setStores(oneStore());
    directory.reset(other, 7, start);
    directory.apply(other, part("session", 2000));
    auto findEngine = [&](const std::string& address) {
        return std::optional(part_source { address, "b", 740'000 });
    };
    auto planned = planner.plan(prompt, "w1", target, directory, findEngine, prefillRate, start);
    CHECK(planned.fetchFrom == std::vector<std::string> { "", other, "" });
    CHECK_FALSE(planner.plan(prompt, "w1", target, directory, noEngines, prefillRate, start).fetches());
    // A part that the target itself holds is not fetched.
    directory.reset(target.address, 8, start);
    directory.apply(target.address, part("session", 2000));
    directory.expire(start + milliseconds(10), milliseconds(5));
    CHECK_FALSE(planner.plan(prompt, "w1", target, directory, findEngine, prefillRate, start).fetches());
}

TEST_CASE("A store is preferred as a source to an engine, which may have evicted the part", "[part_planner]")
{
    const std::string other = "10.0.1.2:80";
    part_directory directory;
    part_planner planner;
    planner.setStores(oneStore());
    for (const auto& holder : { store, other }) {
        directory.reset(holder, 7, start);
        directory.apply(holder, part("session", 2000));
    }
    auto findEngine = [&](const std::string& address) {
        return address == other ? std::optional(part_source { address, "a", 740'000 }) : std::nullopt;
    };
    CHECK(
        planner.plan(prompt, "w1", target, directory, findEngine, prefillRate, start).fetchFrom[1] == store);
    directory.apply(store, part("session", 0));
    CHECK(
        planner.plan(prompt, "w1", target, directory, findEngine, prefillRate, start).fetchFrom[1] == other);
}
