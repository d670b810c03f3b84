#include "plumfold/core/placement/plumfold_fetch_planner.hpp"
#include "plumfold/core/placement/plumfold_kv_links.hpp"
#include "plumfold/core/plumfold_part_directory.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace plumfold::core;

namespace {

const instant start {};
constexpr std::uint64_t bytesPerToken = 163'840;
const fetch_target engine { "engine", { "a", 180'000, engineSetupMs }, bytesPerToken, 48, 0, 140 };
const fetch_source store { "store", { "a", 690'000, 3 }, holder_kind::store };

std::vector<service_limits> services()
{
    service_limits kept;
    kept.name = "kept";
    kept.store = part_store { "store", "a", 360'000, 690'000 };
    service_limits engines;
    engines.name = "engines";
    engines.engine = engine_limits { 8, 83'417, bytesPerToken, 180'000 };
    return { kept, engines };
}

} // namespace

TEST_CASE(
    "A transfer takes its bytes at the slower link, twice as long between failure domains, and the setup",
    "[kv_links]")
{
    double bits = 9'122.0 * bytesPerToken * 8;
    double ms = bits / 180e6;
    CHECK(*transferMs(9'122, bytesPerToken, store.link, engine.link) == Approx(ms + 8));
    kv_link remote { "b", 690'000, 3 };
    CHECK(*transferMs(9'122, bytesPerToken, remote, engine.link) == Approx(2 * ms + 8));
    CHECK(*transferMs(0, bytesPerToken, store.link, engine.link) == Approx(8));
}

// A deployment without or with impossible figures must not lead to predictions that are not numbers.
TEST_CASE("Figures that are missing or impossible give no prediction", "[kv_links]")
{
    constexpr double inf = std::numeric_limits<double>::infinity();
    for (double rate : { 0.0, -1.0, std::nan(""), inf, -inf }) {
        CHECK_FALSE(transferMs(100, bytesPerToken, { "a", rate, 3 }, engine.link));
        CHECK_FALSE(transferMs(100, bytesPerToken, store.link, { "a", rate, 5 }));
    }
    for (double setup : { -1.0, std::nan(""), inf })
        CHECK_FALSE(transferMs(100, bytesPerToken, { "a", 1'000, setup }, engine.link));
    CHECK_FALSE(transferMs(100, 0, store.link, engine.link));
    auto some = services();
    CHECK(unusableLinks(some).empty());
    some[0].store->linkMegabitsPerSecond = std::nan("");
    some[1].engine->linkMegabitsPerSecond = -4;
    some[1].engine->bytesPerToken = 0;
    CHECK(unusableLinks(some).size() == 3);
}

TEST_CASE("A link that is planned to be full has the longest wait, an unused one none", "[kv_links]")
{
    link_occupancy occupancy;
    CHECK(occupancy.utilisation("a", 60, 28, start) == 0);
    CHECK(occupancy.waitMs("a", 60, 28, start) == 0);
    for (int count = 0; count < 100; ++count)
        occupancy.record("a", 100, start);
    CHECK(occupancy.utilisation("a", 60, 1, start) > 1);
    CHECK(occupancy.waitMs("a", 60, 1, start) == link_occupancy::maxWaitMs);
    CHECK(occupancy.waitMs("a", 60, 1, start + milliseconds(20'000)) < 1);
    for (double bad : { 0.0, -5.0, std::nan(""), std::numeric_limits<double>::infinity() })
        occupancy.record("a", bad, start);
    CHECK(std::isfinite(occupancy.utilisation("a", 60, 0, start)));
}

// A control VM that has just started may count one entry or twice as many for some seconds.
TEST_CASE("The number of entries is followed slowly after the first reports", "[kv_links]")
{
    entry_count_filter filter;
    CHECK(filter.count() == 1);
    filter.update(60, start - entry_count_filter::rampTime);
    filter.update(60, start);
    CHECK(filter.count() == Approx(60));
    for (int second = 1; second <= 4; ++second)
        filter.update(120, start + milliseconds(1'000 * second));
    CHECK(filter.count() < 80);
    filter.update(0, start + milliseconds(5'000));
    filter.update(std::nan(""), start + milliseconds(5'000));
    CHECK(filter.count() < 80);
    for (int second = 5; second <= 60; ++second)
        filter.update(120, start + milliseconds(1'000 * second));
    CHECK(filter.count() == 120);
}

// Taken over at once, such a report turned nearly all fetches off, or on, for a minute.
TEST_CASE("A wrong first report of the number of entries has no lasting influence", "[kv_links]")
{
    entry_count_filter filter;
    double wrong = GENERATE(1.0, 5'000.0);
    filter.update(wrong, start);
    CHECK(filter.count() == 1);
    for (int ms = 100; ms <= 500; ms += 100)
        filter.update(wrong, start + milliseconds(ms));
    CHECK(filter.count() < 80);
    for (int ms = 600; ms <= 1'000; ms += 100)
        filter.update(60, start + milliseconds(ms));
    CHECK(filter.count() == Approx(60));
}

TEST_CASE("Prompts that need the same part at one engine cause one transfer", "[kv_links]")
{
    fetch_planner planner;
    planner.setEntryCount(60, start - entry_count_filter::rampTime);
    planner.setEntryCount(60, start);
    auto first = planner.choose(1, 9'122, engine, { store }, start);
    REQUIRE(first);
    REQUIRE(first->source == "store");
    CHECK(first->transferMs > 0);
    planner.record(1, *first, engine, holder_kind::store, start);
    auto later = start + milliseconds(10);
    auto second = planner.choose(1, 9'122, engine, { store }, later);
    REQUIRE(second);
    CHECK(second->source == "store");
    CHECK(second->transferMs == 0);
    CHECK(second->expectedMs < first->expectedMs);
    SECTION("unless the source is gone")
    {
        const fetch_source other { "other", { "a", 690'000, 3 }, holder_kind::store };
        CHECK(planner.choose(1, 9'122, engine, { other }, later)->source != "store");
    }
    SECTION("and another part causes another one")
    {
        auto other = planner.choose(2, 9'122, engine, { store }, later);
        CHECK((other->source.empty() || other->transferMs > 0));
    }
}

TEST_CASE("The source with the least expected time is used, whether store or engine", "[kv_links]")
{
    fetch_planner planner;
    planner.setStoreCount(2);
    const fetch_source remoteStore { "remote", { "b", 690'000, 3 }, holder_kind::store };
    const fetch_source nearEngine { "near", { "a", 180'000, 0 }, holder_kind::engine };
    CHECK(planner.choose(1, 9'122, engine, { remoteStore, store }, start)->source == "store");
    CHECK(planner.choose(1, 9'122, engine, { remoteStore, nearEngine }, start)->source == "near");
    // An engine may have evicted the part since.
    CHECK(planner.choose(1, 9'122, engine, { nearEngine, store }, start)->source == "store");
}

// Services have different numbers of engines, and the engines of one do not send to those of another.
TEST_CASE("Fetches of one service do not make the engines' links of another look busy", "[kv_links]")
{
    fetch_planner planner;
    planner.setStoreCount(1'000);
    planner.setEntryCount(60, start - entry_count_filter::rampTime);
    planner.setEntryCount(60, start);
    const fetch_source other { "other", { "a", 180'000, 0 }, holder_kind::engine };
    auto small = engine;
    small.service = "small";
    small.engines = 2;
    auto large = engine;
    large.service = "large";
    const auto before = *planner.choose(1, 9'122, large, { other }, start);
    const auto beforeFromStore = *planner.choose(1, 9'122, large, { store }, start);
    REQUIRE(before.source == "other");
    for (std::uint64_t part = 100; part < 140; ++part) {
        small.address = "small" + std::to_string(part % 2);
        planner.record(part, { "small", 70, 70 }, small, holder_kind::engine, start);
        planner.record(part + 100, { "store", 70, 70 }, small, holder_kind::store, start);
    }
    CHECK(planner.choose(1, 9'122, small, { other }, start)->source.empty());
    CHECK(*planner.choose(1, 9'122, large, { other }, start) == before);
    // Stores are shared: their links are as busy for every service.
    CHECK(planner.choose(1, 9'122, large, { store }, start)->expectedMs > beforeFromStore.expectedMs);
}

TEST_CASE("Without usable figures there is no decision", "[kv_links]")
{
    fetch_planner planner;
    auto bad = store;
    bad.link.megabitsPerSecond = 0;
    CHECK_FALSE(planner.choose(1, 1'000, engine, { bad }, start));
    CHECK(planner.choose(1, 1'000, engine, { bad, store }, start)->source == "store");
    auto target = engine;
    target.prefillTokensPerMs = std::nan("");
    CHECK_FALSE(planner.choose(1, 1'000, target, { store }, start));
    target = engine;
    target.requestsBehind = std::nan("");
    CHECK(planner.choose(1, 9'122, target, { store }, start)->source == "store");
}

TEST_CASE("Plans without adaptive placement do not depend on what adaptive plans have recorded", "[kv_links]")
{
    const std::vector<prompt_part> prompt { { "system", 650 }, { "session", 9'122 }, { "own", 50 } };
    auto noEngines = [](const std::string&) { return std::optional<part_source>(); };
    part_directory directory;
    directory.reset("store", 7, start);
    for (const auto& part : prompt)
        directory.apply("store", { hashOf({ "w1", part.id }), static_cast<std::uint32_t>(part.tokens) });
    part_planner used;
    part_planner fresh;
    used.setStores(services());
    fresh.setStores(services());
    used.fetches().setEntryCount(60, start - entry_count_filter::rampTime);
    used.fetches().setEntryCount(60, start);
    bool hasRead = false;
    for (int count = 0; count < 200; ++count) {
        auto target = engine;
        target.address += std::to_string(count);
        auto plan = used.planAdaptively(prompt, "w1", target, directory, noEngines, start);
        hasRead = hasRead || plan.fetchFrom[1].empty();
    }
    CHECK(hasRead);
    const part_source target { "engine", "a", 0 };
    auto plan = used.plan(prompt, "w1", target, directory, noEngines, 48, start);
    CHECK(plan == fresh.plan(prompt, "w1", target, directory, noEngines, 48, start));
    CHECK(plan.fetchFrom == std::vector<std::string> { "store", "store", "" });
    CHECK_FALSE(plan.sharedPartsMs);
}

// Counted as a transfer, a part that is read from the engine's own memory made its source look slow, or fast.
TEST_CASE("A part that the target holds causes no transfer", "[kv_links]")
{
    const std::vector<prompt_part> prompt { { "system", 650 }, { "session", 9'122 }, { "own", 50 } };
    auto noEngines = [](const std::string&) { return std::optional<part_source>(); };
    part_directory directory;
    directory.reset("store", 7, start);
    for (const auto& part : prompt)
        directory.apply("store", { hashOf({ "w1", part.id }), static_cast<std::uint32_t>(part.tokens) });
    directory.reset("engine", 3, start);
    directory.apply("engine", { hashOf({ "w1", "session" }), 9'122 });
    part_planner planner;
    planner.setStores(services());
    auto plan = planner.planAdaptively(prompt, "w1", engine, directory, noEngines, start);
    CHECK(plan.isTransferExpected(0));
    CHECK_FALSE(plan.isTransferExpected(1));
    CHECK_FALSE(plan.isTransferExpected(2));
    // If the engine has evicted the part, it still knows where it is.
    CHECK(plan.fetchFrom[1] == "store");
    auto systemMs = *transferMs(650, bytesPerToken, linkOf(*services()[0].store), engine.link);
    CHECK(*plan.sharedPartsMs == Approx(systemMs));
    // Without adaptive placement every named source counts, as before.
    auto plain = planner.plan(prompt, "w1", { "engine", "a", 0 }, directory, noEngines, 48, start);
    CHECK(plain.isTransferExpected(1));
}

// With 910 holders looked up for each plan, plans took milliseconds.
TEST_CASE("Adaptive plans look at few of many engines that hold a part, and at all stores", "[kv_links]")
{
    const std::vector<prompt_part> prompt { { "system", 9'122 }, { "own", 50 } };
    part_directory directory;
    const auto part = hashOf({ "w1", "system" });
    for (int number = 0; number < 910; ++number) {
        directory.reset("e" + std::to_string(number), 1, start);
        directory.apply("e" + std::to_string(number), { part, 9'122 });
    }
    part_planner planner;
    planner.setStores(services());
    int looks = 0;
    bool areUsable = true;
    auto engines = [&](const std::string& address) {
        ++looks;
        return areUsable ? std::optional(part_source { address, "a", 180'000 }) : std::nullopt;
    };
    std::set<std::string> sources;
    for (int number = 0; number < 20; ++number) {
        auto target = engine;
        target.address += std::to_string(number);
        auto plan = planner.planAdaptively(prompt, "w1", target, directory, engines, start);
        REQUIRE_FALSE(plan.fetchFrom[0].empty());
        sources.insert(plan.fetchFrom[0]);
    }
    CHECK(looks <= 20 * 20);
    CHECK(sources.size() > 5);
    // The last holder of all is the only one that can be used.
    areUsable = false;
    looks = 0;
    directory.reset("store", 7, start);
    directory.apply("store", { part, 9'122 });
    auto target = engine;
    target.address = "idle";
    CHECK(planner.planAdaptively(prompt, "w1", target, directory, engines, start).fetchFrom[0] == "store");
    CHECK(looks <= 20);
}

TEST_CASE("An adaptive plan without usable figures is the plan without adaptive placement", "[kv_links]")
{
    const std::vector<prompt_part> prompt { { "session", 9'122 }, { "own", 50 } };
    auto noEngines = [](const std::string&) { return std::optional<part_source>(); };
    part_directory directory;
    directory.reset("store", 7, start);
    directory.apply("store", { hashOf({ "w1", "session" }), 9'122 });
    part_planner planner;
    planner.setStores(services());
    auto target = engine;
    target.bytesPerToken = 0;
    auto plan = planner.planAdaptively(prompt, "w1", target, directory, noEngines, start);
    CHECK(plan == planner.plan(prompt, "w1", { "engine", "a", 0 }, directory, noEngines, 48, start));
    CHECK_FALSE(planner.sharedPartsCost(prompt, "w1", target, directory, start));
}

namespace {

/// @return the share of the parts that are saved to the store with the most, at a site with 13 stores with
/// fast links and little room and 15 with slow links and much room, relative to what its link carries.
double largestSaveShare(bool isAdaptive, double fastRate)
{
    std::vector<service_limits> stores;
    part_directory directory;
    for (int number = 0; number < 28; ++number) {
        service_limits service;
        bool isFast = number < 13;
        service.store = part_store { "store" + std::to_string(number), "a", isFast ? 360'000u : 993'000u,
            isFast ? fastRate : 430'000 };
        stores.push_back(service);
        directory.reset(service.store->address, 1, start);
    }
    auto later = start + milliseconds(10'000);
    for (const auto& service : stores)
        directory.confirm(service.store->address, later);
    part_planner planner;
    planner.setStores(stores);
    auto noEngines = [](const std::string&) { return std::optional<part_source>(); };
    std::map<std::string, int> saves;
    constexpr int count = 4'000;
    for (int number = 0; number < count; ++number) {
        const std::vector<prompt_part> prompt { { "c" + std::to_string(number), 650 }, { "own", 50 } };
        auto plan = isAdaptive
            ? planner.planAdaptively(prompt, "w1", engine, directory, noEngines, later)
            : planner.plan(prompt, "w1", { "engine", "a", 0 }, directory, noEngines, 48, later);
        ++saves[plan.saveTo[0]];
    }
    double most = 0;
    for (const auto& service : stores) {
        double carried = 13 * 690'000.0 + 15 * 430'000.0;
        double share = static_cast<double>(saves[service.store->address]) / count;
        if (service.store->linkMegabitsPerSecond <= 0)
            continue;
        most = std::max(most, share * carried / service.store->linkMegabitsPerSecond);
    }
    return most;
}

} // namespace

// By room alone, the stores with the slowest links get the most parts and are fetched from most.
TEST_CASE("Adaptive plans save more parts where links carry more", "[kv_links]")
{
    CHECK(largestSaveShare(true, 690'000) < largestSaveShare(false, 690'000));
}

TEST_CASE("Adaptive plans save by room alone if the rate of a link is unknown", "[kv_links]")
{
    CHECK(largestSaveShare(true, 0) == largestSaveShare(false, 0));
}
