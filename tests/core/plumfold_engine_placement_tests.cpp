#include "plumfold/core/placement/plumfold_engine_speed_model.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <random>
#include <string>
#include <vector>

using namespace plumfold::core;

namespace {

const instant start {};

engine_observation observationOf(double readTokens, double running, double firstEventMs)
{
    return { "s", "t", readTokens, running, 0, 16, 0, firstEventMs };
}

/// Lets a model learn from engines with a reading rate. A share of them is slower by a factor.
engine_speed_model learned(double tokensPerMs, double slowShare, double slowFactor, std::uint64_t seed)
{
    engine_speed_model model;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> share;
    for (int count = 0; count < 3'000; ++count) {
        double tokens = 500 + share(random) * 10'000;
        double running = std::floor(share(random) * 16);
        double factor = share(random) < slowShare ? slowFactor : 1;
        model.record(observationOf(tokens, running, factor * (tokens / tokensPerMs + 3 * running)), start);
    }
    return model;
}

} // namespace

// Engines of different sites read 48 to 66 tokens per ms.
TEST_CASE("The reading rate of engines is learned", "[placement]")
{
    auto seed = GENERATE(1u, 2u, 3u);
    for (double rate : { 40.0, 48.0, 66.0 })
        CHECK(learned(rate, 0, 1, seed).speedOf("s").prefillTokensPerMs == Approx(rate).epsilon(0.1));
}

TEST_CASE("Engines that pause for a second do not change what is known of their service", "[placement]")
{
    auto seed = GENERATE(1u, 2u, 3u);
    CHECK(learned(60, 0.05, 20, seed).speedOf("s").prefillTokensPerMs == Approx(60).epsilon(0.15));
}

TEST_CASE("A slow engine has a longer predicted time for about half a second, a fast one no shorter one",
    "[placement]")
{
    engine_speed_model model;
    CHECK(model.slownessMs("t", start) == 0);
    model.record(observationOf(4'800, 0, 10), start);
    CHECK(model.slownessMs("t", start) == 0);
    for (int count = 0; count < 4; ++count)
        model.record(observationOf(4'800, 0, 350), start);
    CHECK(model.slownessMs("t", start) > 100);
    CHECK(model.slownessMs("other", start) == 0);
    CHECK(model.slownessMs("t", start + milliseconds(3'000)) < 10);
}

// With fetches counted, engines whose stores were congested were avoided as slow.
TEST_CASE("First events that waited for fetches do not make an engine look slow", "[placement]")
{
    engine_speed_model model;
    auto late = observationOf(4'800, 0, 600);
    late.fetches = 1;
    for (int count = 0; count < 100; ++count)
        CHECK(model.record(late, start));
    CHECK(model.slownessMs("t", start) == 0);
    CHECK(model.speedOf("s") == engine_speed {});
    late.running = 17;
    CHECK_FALSE(model.record(late, start));
    late = observationOf(4'800, 0, 600);
    CHECK(model.record(late, start));
    CHECK(model.slownessMs("t", start) > 0);
    CHECK(model.speedOf("s").prefillTokensPerMs < engine_speed {}.prefillTokensPerMs);
}

// A target that reports nonsense must not make an entry avoid or prefer all others.
TEST_CASE("Impossible figures are ignored and large ones have bounded influence", "[placement]")
{
    engine_speed_model model;
    constexpr double inf = std::numeric_limits<double>::infinity();
    for (double bad : { -1.0, std::nan(""), inf }) {
        CHECK_FALSE(model.record(observationOf(bad, 0, 100), start));
        CHECK_FALSE(model.record(observationOf(100, bad, 100), start));
        CHECK_FALSE(model.record(observationOf(100, 0, bad), start));
    }
    CHECK_FALSE(model.record(observationOf(100, 17, 100), start));
    CHECK(model.speedOf("s") == engine_speed {});
    for (int count = 0; count < 10'000; ++count)
        model.record(observationOf(1e12, 16, 1e15), start);
    auto speed = model.speedOf("s");
    CHECK(speed.prefillTokensPerMs >= 48 / 3.01);
    CHECK(speed.runningRequestMs <= 3 * 3.01);
    CHECK(model.slownessMs("t", start) <= 500);
    CHECK(model.speedOf("other") == engine_speed {});
}

namespace {

target_selector selectorOfTwo()
{
    target_selector selector(target_selector_options { "a", "entry" });
    std::vector<target_announcement> targets(2);
    for (std::size_t index = 0; index < targets.size(); ++index) {
        targets[index].name = "t" + std::to_string(index);
        targets[index].service = "s";
        targets[index].slots = 16;
    }
    selector.applyAnnouncements(targets, true, start);
    return selector;
}

placement chosenBy(target_selector& selector)
{
    placement_request request;
    request.service = "s";
    request.session = 7;
    request.promptTokens = 960;
    auto chosen = *selector.choose(request, start).chosen;
    selector.onAttemptEnded(
        chosen.target, attempt_result::answered, target_selector::expectedTokens(request), start);
    return chosen;
}

} // namespace

TEST_CASE("Without the speed model first events change neither choices nor predictions", "[placement]")
{
    auto selector = selectorOfTwo();
    auto before = chosenBy(selector);
    for (int count = 0; count < 20; ++count)
        CHECK(selector.recordFirstEvent({ "s", before.target, 960, 0, 0, 16, 0, 2'000 }, start));
    CHECK(chosenBy(selector) == before);
}

TEST_CASE("An engine that is slow now gets no request while another one is free", "[placement]")
{
    auto selector = selectorOfTwo();
    selector.enableSpeedModel();
    auto before = chosenBy(selector);
    for (int count = 0; count < 4; ++count)
        CHECK(selector.recordFirstEvent({ "s", before.target, 960, 0, 0, 16, 0, 400 }, start));
    CHECK(chosenBy(selector).target != before.target);
    CHECK_FALSE(selector.recordFirstEvent({ "s", before.target, 960, 17, 0, 16, 0, 400 }, start));
}
