#include "plumfold/core/plumfold_deployment_state.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"
#include "plumfold/core/plumfold_windowed_retry_budget.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

const instant start {};

target_announcement engine(const std::string& name, const std::string& failureDomain = "a")
{
    target_announcement out;
    out.name = name;
    out.service = "pool";
    out.address = "10.0.0.1:" + std::to_string(8000 + name.back());
    out.failureDomain = failureDomain;
    out.slots = 64;
    out.models = { { "m", "1", {} } };
    return out;
}

target_selector selectorOf(std::initializer_list<target_announcement> targets)
{
    target_selector_options options;
    options.failureDomain = "a";
    target_selector selector(options);
    selector.applyAnnouncements(targets, true, start);
    return selector;
}

placement_request requestOf(std::uint64_t session = 0)
{
    placement_request out;
    out.service = "pool";
    out.model = "m";
    out.session = session;
    return out;
}

/// Limits of the tests' service, with a rate for cold targets.
service_limits coldLimits()
{
    service_limits out;
    out.name = "pool";
    out.coldRequestsPerSecond = 9;
    out.coldTime = milliseconds(3000);
    return out;
}

} // namespace

// Guards against requests at engines whose weights are unknown because their announcements lack the model.
TEST_CASE("An engine that does not name the model of its service gets no requests to it", "[selector]")
{
    auto unnamed = engine("unnamed");
    unnamed.models.clear();
    auto other = engine("other");
    other.models = { { "n", "1", {} } };
    auto limits = coldLimits();
    limits.engine.emplace();
    limits.engine->models = { "m" };

    SECTION("a sound engine takes all requests, with and without a session")
    {
        auto selector = selectorOf({ unnamed, other, engine("named") });
        selector.setServices({ limits });
        for (std::uint64_t session = 0; session < 40; ++session) {
            auto chosen = selector.choose(requestOf(session), start).chosen;
            REQUIRE(chosen);
            CHECK(chosen->target == "named");
        }
    }
    SECTION("no engine names it")
    {
        auto selector = selectorOf({ unnamed, other });
        selector.setServices({ limits });
        CHECK_FALSE(selector.choose(requestOf(), start).chosen);
    }
    SECTION("the service does not require the model")
    {
        limits.engine->models = { "n" };
        auto selector = selectorOf({ unnamed });
        selector.setServices({ limits });
        CHECK(selector.choose(requestOf(), start).chosen);
    }
}

TEST_CASE("Entries spread requests without a session over idle targets", "[selector]")
{
    constexpr int entries = 60;
    std::map<std::string, int> chosen;
    for (int number = 0; number < entries; ++number) {
        target_selector_options options;
        options.failureDomain = "a";
        options.entryName = "n" + std::to_string(number);
        target_selector selector(options);
        std::vector<target_announcement> targets;
        for (const auto* name : { "t1", "t2", "t3", "t4" })
            targets.push_back({ name, "s", "address", "a", 8 });
        selector.applyAnnouncements(targets, true, instant(std::chrono::hours(1)));
        placement_request request;
        request.service = "s";
        auto result = selector.choose(request, instant(std::chrono::hours(1)));
        REQUIRE(result.chosen);
        ++chosen[result.chosen->target];
    }
    CHECK(chosen.size() == 4);
    for (const auto& [target, count] : chosen)
        CHECK(count >= entries / 4 / 3);
}

TEST_CASE("Requests of one conversation share a number whatever their own last part is", "[target_board]")
{
    CHECK(conversationOf({ { "system", 500 }, { "session", 8000 }, { "own", 200 } })
        == conversationOf({ { "system", 500 }, { "session", 8000 }, { "other", 300 } }));
    CHECK(conversationOf({ { "system", 500 }, { "session", 8000 }, { "own", 200 } })
        != conversationOf({ { "system", 500 }, { "another", 8000 }, { "own", 200 } }));
    CHECK(conversationOf({}) == 0);
}

TEST_CASE("All entries select the same target for a conversation", "[target_board]")
{
    auto first = selectorOf({ engine("t1"), engine("t2"), engine("t3") });
    auto second = selectorOf({ engine("t3"), engine("t1"), engine("t2") });
    for (std::uint64_t session = 1; session < 50; ++session)
        CHECK(first.choose(requestOf(session), start).chosen->target
            == second.choose(requestOf(session), start).chosen->target);
}

TEST_CASE("A conversation goes to the target that holds its shared part while that target is not under load",
    "[target_board]")
{
    auto selector = selectorOf({ engine("t1"), engine("t2"), engine("t3") });
    for (std::uint64_t session = 1; session < 30; ++session) {
        auto request = requestOf(session);
        request.promptTokens = 9'000;
        request.sharedTokens = 8'000;
        request.holders = { engine("t2").address };
        auto answer = selector.choose(request, start);
        CHECK(answer.chosen->target == "t2");
        selector.onAttemptEnded(
            "t2", attempt_result::answered, target_selector::expectedTokens(request), start);
    }
}

TEST_CASE(
    "A stored conversation goes to an engine in its store's failure domain until that engine is under load",
    "[target_board]")
{
    auto selector = selectorOf({ engine("t1", "a"), engine("t2", "b") });
    auto request = requestOf(7);
    request.promptTokens = 9'000;
    request.sharedTokens = 8'000;
    request.storedIn = "b";
    CHECK(selector.choose(request, start).chosen->target == "t2");
    selector.applyLoads({ { "t2", 20, 3, 80'000, {} } }, start);
    CHECK(selector.choose(request, start).chosen->target == "t1");
}

TEST_CASE("While a new weight version is being loaded, the first engines with it are not overloaded",
    "[target_board]")
{
    constexpr int engines = 6;
    constexpr int requests = 60;
    std::vector<target_announcement> targets;
    for (int number = 0; number < engines; ++number)
        targets.push_back(engine("t" + std::to_string(number)));
    targets[0].models = { { "m", "2", {} } };
    auto selector = selectorOf({});
    selector.applyAnnouncements(targets, true, start);
    selector.setWeights({ { "m", 2 } }, start);
    std::vector<target_load> idle;
    for (const auto& each : targets)
        idle.push_back({ each.name });
    selector.applyLoads(idle, start);
    std::map<std::string, int> sent;
    for (int number = 0; number < requests; ++number) {
        auto request = requestOf(static_cast<std::uint64_t>(number) + 1);
        request.promptTokens = 2'000;
        ++sent[selector.choose(request, start).chosen->target];
    }
    CHECK(sent["t0"] > requests / engines); // preferred
    CHECK(sent["t0"] < requests / 2);
    // After the grace period no request starts on stale weights.
    auto later = start + milliseconds(6'100);
    for (int number = 0; number < requests; ++number)
        CHECK(
            selector.choose(requestOf(static_cast<std::uint64_t>(number) + 1), later).chosen->target == "t0");
}

TEST_CASE(
    "A target that executes an order gets no request until it reports that it has finished", "[target_board]")
{
    auto selector = selectorOf({ engine("t1"), engine("t2") });
    selector.applyLoads({ { "t1", 0, 0, 0, {}, true }, { "t2", 9, 2, 60'000, {}, false } }, start);
    CHECK(selector.choose(requestOf(7), start).chosen->target == "t2");
    selector.applyLoads({ { "t1", 0, 0, 0, {}, false } }, start);
    CHECK(selector.choose(requestOf(7), start).chosen->target == "t1");
}

TEST_CASE("Only responsive engines are sources of KV parts", "[target_board]")
{
    auto selector = selectorOf({ engine("t1") });
    service_limits pool;
    pool.name = "pool";
    CHECK_FALSE(selector.findSource(engine("t1").address, start)); // the service has no engines
    pool.engine = engine_limits { 64, 93'000, 18'432, 740'000 };
    selector.setServices({ pool });
    REQUIRE(selector.findSource(engine("t1").address, start));
    CHECK(selector.findSource(engine("t1").address, start)->linkMegabitsPerSecond == 740'000);
    selector.onAttemptEnded("t1", attempt_result::lost, 0, start);
    CHECK_FALSE(selector.findSource(engine("t1").address, start));
    CHECK_FALSE(selector.findSource("10.9.9.9:80", start));
}

TEST_CASE("Leaving targets and failure domains out of service receive no requests", "[target_board]")
{
    auto selector = selectorOf({ engine("t1"), engine("t2", "b") });
    auto leaving = engine("t1");
    leaving.state = target_state::leaving;
    selector.applyAnnouncements({ leaving }, false, start);
    CHECK(selector.choose(requestOf(), start).chosen->target == "t2");
    selector.setOutOfService({ "b" });
    CHECK_FALSE(selector.choose(requestOf(), start).chosen);
}

TEST_CASE("A target that could not be reached gets no requests during its back-off", "[target_board]")
{
    auto selector = selectorOf({ engine("t1") });
    REQUIRE(selector.choose(requestOf(), start).chosen);
    selector.onAttemptEnded("t1", attempt_result::not_reached, 0, start);
    CHECK_FALSE(selector.choose(requestOf(), start + milliseconds(100)).chosen);
    CHECK(selector.choose(requestOf(), start + milliseconds(1000)).chosen);
}

TEST_CASE("Attempts that fail at the same time cause a single back-off", "[target_board]")
{
    auto selector = selectorOf({ engine("t1") });
    constexpr int attempts = 8;
    for (int number = 0; number < attempts; ++number)
        REQUIRE(selector.choose(requestOf(), start).chosen);
    for (int number = 0; number < attempts; ++number)
        selector.onAttemptEnded("t1", attempt_result::not_reached, 0, start + milliseconds(number));
    auto initial = target_selector_options().initialBackoff;
    CHECK_FALSE(selector.choose(requestOf(), start + initial - milliseconds(1)).chosen);
    REQUIRE(selector.choose(requestOf(), start + initial).chosen);
    selector.onAttemptEnded("t1", attempt_result::not_reached, 0, start + initial);
    CHECK_FALSE(selector.choose(requestOf(), start + 3 * initial - milliseconds(1)).chosen);
    CHECK(selector.choose(requestOf(), start + 3 * initial).chosen);
}

TEST_CASE("A target that is silent for a short time is used only if there is no other", "[target_board]")
{
    auto selector = selectorOf({ engine("t1"), engine("t2") });
    auto silent = engine("t1");
    silent.state = target_state::silent;
    selector.applyAnnouncements({ silent }, false, start);
    placement_request request = requestOf();
    CHECK(selector.choose(request, start).chosen->target == "t2");
    CHECK(selector.hasWarmTarget(request, start));
    request.excluded = { "t2" };
    CHECK_FALSE(selector.hasWarmTarget(request, start));
    REQUIRE(selector.choose(request, start).chosen);
    CHECK(selector.choose(request, start).chosen->target == "t1");
    auto later = start + target_selector_options().maxPause;
    CHECK_FALSE(selector.choose(request, later).chosen);
    CHECK(selector.isSilent("t1", later));

    target_load report { "t1", 0, 0, 0, milliseconds(0), false };
    report.age = std::chrono::duration_cast<milliseconds>(later - start) + milliseconds(1);
    selector.applyLoads({ report }, later);
    CHECK(selector.isSilent("t1", later)); // sent before the target became silent
    report.age = milliseconds(0);
    selector.applyLoads({ report }, later);
    CHECK_FALSE(selector.isSilent("t1", later));
    CHECK(selector.choose(request, later).chosen);
}

TEST_CASE("A request starts on a cold target only if its start is granted", "[target_board]")
{
    auto cold = engine("t1");
    cold.coldFor = milliseconds(3000);
    auto selector = selectorOf({ cold });
    auto limits = coldLimits();
    limits.coldRequestsPerSecond = 0;
    selector.setServices({ limits });
    CHECK_FALSE(selector.choose(requestOf(), start).chosen->isCold); // the service has no limit
    selector.setServices({ coldLimits() });
    for (int count = 0; count < 3; ++count) {
        CHECK(selector.choose(requestOf(), start).chosen->isCold);
        selector.onAttemptEnded("t1", attempt_result::not_started, 0, start);
    }
    auto warmOnly = requestOf();
    warmOnly.isWarmOnly = true;
    CHECK(selector.choose(warmOnly, start).reason == placement_failure::cold);
    selector.onColdStartRefused("t1", start + milliseconds(500));
    auto refused = selector.choose(requestOf(), start + milliseconds(100));
    CHECK_FALSE(refused.chosen);
    CHECK(refused.reason == placement_failure::cold);
    CHECK(refused.retryAfter == milliseconds(400));
    CHECK(selector.choose(requestOf(), start + milliseconds(500)).chosen->isCold);
    CHECK_FALSE(selector.choose(requestOf(), start + milliseconds(3000)).chosen->isCold);
}

TEST_CASE("Targets count as cold after their failure domain is back in service", "[target_board][cold]")
{
    auto selector = selectorOf({ engine("t1") });
    selector.setServices({ coldLimits() });
    selector.setOutOfService({ "a" });
    selector.setOutOfService({});
    selector.setReturns({ { "a", 2 } }, start + milliseconds(1000));
    selector.applyAnnouncements(
        { engine("t1") }, false, start + milliseconds(1100)); // sent before it was cold
    CHECK(selector.choose(requestOf(), start + milliseconds(1200)).chosen->isCold);
    CHECK(selector.choose(requestOf(), start + milliseconds(3999)).chosen->isCold);
    CHECK_FALSE(selector.choose(requestOf(), start + milliseconds(4000)).chosen->isCold);
}

TEST_CASE("Targets that are announced after their failure domain is back in service count as cold",
    "[target_board][cold]")
{
    auto selector = selectorOf({ engine("t1") });
    selector.setServices({ coldLimits() });
    selector.setOutOfService({ "a" });
    selector.setOutOfService({});
    selector.setReturns({ { "a", 2 } }, start + milliseconds(1000));
    // A control VM that has just started knows no targets.
    selector.applyAnnouncements({}, true, start + milliseconds(1100));
    selector.applyAnnouncements({ engine("t1"), engine("t2") }, true, start + milliseconds(1200));
    for (const auto* other : { "t1", "t2" }) {
        auto request = requestOf();
        request.excluded = { other };
        CHECK(selector.choose(request, start + milliseconds(3999)).chosen->isCold);
        CHECK_FALSE(selector.choose(request, start + milliseconds(4000)).chosen->isCold);
    }
}

TEST_CASE("An entry that starts after a failure domain came back counts cold time from the return",
    "[target_board][cold]")
{
    auto selector = selectorOf({ engine("t1") });
    selector.setServices({ coldLimits() });
    selector.applyReturnAges({ { "a", 2, milliseconds(1000) } }, start);
    selector.setReturns({ { "a", 2 } }, start);
    CHECK(selector.choose(requestOf(), start + milliseconds(1999)).chosen->isCold);
    CHECK_FALSE(selector.choose(requestOf(), start + milliseconds(2000)).chosen->isCold);
    selector.setOutOfService({ "a" });
    selector.setOutOfService({});
    selector.setReturns({ { "a", 4 } }, start + milliseconds(5000));
    selector.applyReturnAges(
        { { "a", 2, milliseconds(6500) }, { "a", 4, milliseconds(500) } }, start + milliseconds(5500));
    CHECK(selector.choose(requestOf(), start + milliseconds(7999)).chosen->isCold);
    CHECK_FALSE(selector.choose(requestOf(), start + milliseconds(8000)).chosen->isCold);
}

TEST_CASE("Each return of a failure domain to service has a number of its own", "[control][cold]")
{
    deployment_state state;
    CHECK_FALSE(state.setInService("a", true)); // it was not out of service
    CHECK(state.returns.empty());
    REQUIRE(state.setInService("a", false));
    CHECK(state.returns.empty());
    REQUIRE(state.setInService("a", true));
    auto first = state.returns.at("a");
    CHECK(first == state.revision);
    CHECK_FALSE(state.setInService("a", true)); // sent again
    CHECK(state.returns.at("a") == first);
    REQUIRE(state.setInService("a", false));
    REQUIRE(state.setInService("a", true));
    CHECK(state.returns.at("a") > first);
}

TEST_CASE("An earlier announcement does not replace a later one", "[target_board][cold]")
{
    auto cold = engine("t1");
    cold.startedAt = 100;
    cold.sequence = 5;
    cold.coldFor = milliseconds(3000);
    auto selector = selectorOf({ cold });
    selector.setServices({ coldLimits() });
    auto warm = cold;
    warm.sequence = 4;
    warm.coldFor = milliseconds(0);
    selector.applyAnnouncements({ warm }, false, start + milliseconds(100));
    CHECK(selector.choose(requestOf(), start + milliseconds(200)).chosen->isCold);
    warm.sequence = 6;
    selector.applyAnnouncements({ warm }, false, start + milliseconds(300));
    CHECK_FALSE(selector.choose(requestOf(), start + milliseconds(400)).chosen->isCold);
}

TEST_CASE("Requests start on stale weights only within the grace period after a new version becomes current",
    "[target_board]")
{
    auto selector = selectorOf({ engine("t1") });
    selector.setWeights({ { "m", 2 } }, start);
    CHECK(selector.choose(requestOf(), start + milliseconds(1000)).chosen->weights == "1");
    CHECK_FALSE(selector.choose(requestOf(), start + milliseconds(7000)).chosen);
    auto loaded = engine("t2");
    loaded.models = { { "m", "2", {} } };
    selector.applyAnnouncements({ loaded }, false, start);
    CHECK(selector.choose(requestOf(), start + milliseconds(1000)).chosen->target == "t2");
}

TEST_CASE("The grace period of stale weights runs from the first version that is newer, not from the latest",
    "[target_board]")
{
    auto oneBehind = engine("t2");
    oneBehind.models = { { "m", "2", {} } };
    auto selector = selectorOf({ engine("t1"), oneBehind });
    selector.setWeights({ { "m", 2 } }, start);
    selector.setWeights({ { "m", 3 } }, start + milliseconds(5'000));
    for (std::uint64_t session = 1; session < 20; ++session)
        CHECK(selector.choose(requestOf(session), start + milliseconds(7'000)).chosen->target == "t2");
    CHECK_FALSE(selector.choose(requestOf(), start + milliseconds(11'500)).chosen);
}

TEST_CASE("Retries of an entry stay within the share of its requests", "[target_board]")
{
    windowed_retry_budget budget(0.2, milliseconds(10'000));
    for (int count = 0; count < 100; ++count)
        budget.onRequest("pool", start);
    int taken = 0;
    while (budget.tryTake("pool", start))
        ++taken;
    CHECK(taken == 20);
    CHECK_FALSE(budget.tryTake("pool", start + milliseconds(9'000)));
    for (int count = 0; count < 5; ++count)
        budget.onRequest("pool", start + milliseconds(10'500));
    CHECK(budget.tryTake("pool", start + milliseconds(10'500)));
    CHECK_FALSE(budget.tryTake("pool", start + milliseconds(10'500)));
}

namespace {

/// @return a target of a plain service.
target_announcement plainTarget(const std::string& name, std::uint32_t slots = 6)
{
    auto out = engine(name);
    out.models.clear();
    out.slots = slots;
    return out;
}

placement_request plainRequest()
{
    auto out = requestOf();
    out.model.clear();
    return out;
}

std::vector<std::string> namesOf(const std::vector<place_candidate>& candidates)
{
    std::vector<std::string> out;
    for (const auto& each : candidates)
        out.push_back(each.target);
    return out;
}

} // namespace

// Guards against places on targets that the request may not use, and against a worse order than without.
TEST_CASE(
    "Candidates for places are the targets that may be chosen, the least loaded first", "[selector][places]")
{
    auto selector = selectorOf({ plainTarget("t1"), plainTarget("t2"), plainTarget("t3") });
    auto request = plainRequest();
    std::vector<std::string> loaded;
    for (int count = 0; count < 3; ++count)
        loaded.push_back(selector.choose(request, start).chosen->target);
    REQUIRE(std::set<std::string>(loaded.begin(), loaded.end()).size() == 3);
    selector.onAttemptEnded("t2", attempt_result::answered, 0, start);
    auto candidates = selector.placeCandidates(request, start);
    REQUIRE(candidates.size() == 3);
    CHECK(candidates.front() == place_candidate { "t2", 0, 6, 0 });
    CHECK(candidates.back().withoutPlace == 1);
    CHECK(selector.choose(request, start).chosen->target == "t2");
    SECTION("without those that were tried")
    {
        request.excluded = { "t2" };
        CHECK(selector.placeCandidates(request, start).size() == 2);
    }
    SECTION("without those in back-off or in a failure domain out of service")
    {
        selector.onAttemptEnded("t1", attempt_result::lost, 0, start);
        CHECK(selector.placeCandidates(request, start).size() == 2);
        CHECK(selector.usableSlots("pool", start) == 12);
        selector.setOutOfService({ "a" });
        CHECK(selector.placeCandidates(request, start).empty());
        CHECK(selector.usableSlots("pool", start) == 0);
    }
}

// Guards against requests that the issuer refuses because of their figures.
TEST_CASE(
    "Candidates for places are limited in number, and have possible numbers of slots", "[selector][places]")
{
    auto selector = selectorOf({ plainTarget("a0"), plainTarget("a1"), plainTarget("a2"), plainTarget("a3"),
        plainTarget("a4"), plainTarget("a5"), plainTarget("a6"), plainTarget("a7"), plainTarget("a8"),
        plainTarget("b0", 0), plainTarget("b1", 10'001) });
    auto names = namesOf(selector.placeCandidates(plainRequest(), start));
    CHECK(names.size() == 8);
    CHECK(std::count(names.begin(), names.end(), "b0") == 0);
    CHECK(std::count(names.begin(), names.end(), "b1") == 0);
}

// Guards against a request that is sent to a target other than that of its place.
TEST_CASE("A request with a place is sent to the target of the place or to none", "[selector][places]")
{
    auto selector = selectorOf({ plainTarget("t1"), plainTarget("t2") });
    auto request = plainRequest();
    request.onlyTarget = "t2";
    for (int count = 0; count < 5; ++count)
        CHECK(selector.choose(request, start).chosen->target == "t2");
    selector.onRestRequested("t2", 0, start + milliseconds(1'000));
    CHECK_FALSE(selector.choose(request, start).chosen);
    CHECK(selector.choose(plainRequest(), start).chosen->target == "t1");
}
