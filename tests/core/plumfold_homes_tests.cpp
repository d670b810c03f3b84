#include "plumfold/core/homes/plumfold_home_choice.hpp"
#include "plumfold/core/homes/plumfold_home_shares.hpp"
#include "plumfold/core/homes/plumfold_prompt_backlog.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace plumfold::core;

namespace {

const instant start = instant {} + milliseconds(100'000);

std::vector<std::string> engineNames(std::size_t count)
{
    std::vector<std::string> out;
    for (std::size_t index = 0; index < count; ++index)
        out.push_back("t" + std::to_string(index));
    return out;
}

} // namespace

// Guards against engines that no entry prefers, and ones that more entries prefer than others.
TEST_CASE("Entries divide all engines evenly, whatever the numbers of both", "[homes]")
{
    for (std::uint32_t entries : { 1u, 2u, 3u, 15u, 70u }) {
        for (std::size_t engines : { 1u, 2u, 7u, 35u, 100u }) {
            std::vector<double> covered(engines);
            for (std::uint32_t index = 0; index < entries; ++index) {
                auto shares = homeShares({ index, entries }, engineNames(engines));
                double sum = 0;
                for (std::size_t engine = 0; engine < engines; ++engine) {
                    CHECK(shares[engine] >= 0);
                    CHECK(shares[engine] <= 1);
                    covered[engine] += shares[engine];
                    sum += shares[engine];
                }
                CHECK(sum == Approx(static_cast<double>(engines) / entries));
            }
            for (double each : covered)
                CHECK(each == Approx(1));
        }
    }
}

// Guards against a control VM that sends an index beyond the entries, or none.
TEST_CASE("Without a valid position no engine is a home", "[homes]")
{
    for (const auto& position : { entry_position {}, entry_position { 3, 3 }, entry_position { 4, 2 } }) {
        CHECK_FALSE(position.isKnown());
        for (double each : homeShares(position, engineNames(5)))
            CHECK(each == 0);
    }
    CHECK(homeShare({ 0, 1 }, 1, 1) == 0);
}

TEST_CASE("The remaining prefill of own prompts counts until their first event", "[homes]")
{
    prompt_backlog backlog;
    CHECK(backlog.remainingMs(start) == 0);
    backlog.start(1, 0, 180, start);
    backlog.start(2, 0, 10, start);
    CHECK(backlog.remainingMs(start) == Approx(190));
    CHECK(backlog.remainingMs(start + milliseconds(80)) == Approx(110));
    backlog.finish(1, start + milliseconds(100));
    CHECK(backlog.remainingMs(start + milliseconds(100)) == Approx(10));
    CHECK(backlog.unfinished() == 1);
    backlog.finish(2, start + milliseconds(110));
    CHECK(backlog.remainingMs(start + milliseconds(110)) == 0);
    CHECK(backlog.unfinishedAt(start + milliseconds(105)) == 1);
    CHECK(backlog.unfinishedAt(start + milliseconds(110)) == 0);
}

// Guards against a slow engine that looks idle as soon as the predicted time has passed, and against a prompt
// whose end is never recorded.
TEST_CASE("A prompt that is overdue still counts, but not without end", "[homes]")
{
    prompt_backlog backlog;
    backlog.start(1, 0, 100, start);
    CHECK(backlog.remainingMs(start + milliseconds(400)) == Approx(50));
    CHECK(backlog.remainingMs(start + milliseconds(10'001)) == 0);
}

TEST_CASE("An idle home engine is chosen before a foreign one that looks idle", "[homes]")
{
    std::vector<home_candidate> engines(2);
    engines[0].key = 1;
    engines[1].key = 2;
    engines[1].homeShare = 1;
    engines[1].waitMs = 15; // of running requests
    CHECK(chooseEngine(engines, {}, false) == 1);
    // A home engine that is known to be busy is not.
    engines[1].waitMs = 180;
    CHECK(chooseEngine(engines, {}, false) == 0);
    CHECK(chooseEngine({}, {}, false) == 0);
}

TEST_CASE("A long prompt prefers an engine without own streams among equal ones", "[homes]")
{
    std::vector<home_candidate> engines(2);
    for (auto& each : engines)
        each.homeShare = 1;
    engines[0].hasOwnStreams = true;
    CHECK(chooseEngine(engines, {}, false) == 0);
    CHECK(chooseEngine(engines, {}, true) == 1);
    engines[1].waitMs = 30;
    CHECK(chooseEngine(engines, {}, true) == 0);
}

// Guards against all entries choosing the one foreign engine that the same report shows as least loaded.
TEST_CASE("Foreign engines of almost equal cost are chosen evenly", "[homes]")
{
    std::vector<int> chosen(10);
    for (std::uint64_t conversation = 1; conversation <= 1'000; ++conversation) {
        std::vector<home_candidate> engines(10);
        for (std::size_t index = 0; index < engines.size(); ++index) {
            engines[index].waitMs = index == 0 ? 0 : 1;
            engines[index].key = (conversation * 10 + index) * 0x9e3779b97f4a7c15ull;
        }
        ++chosen[chooseEngine(engines, {}, false)];
    }
    for (int each : chosen)
        CHECK(each < 200);
}

namespace {

target_selector selectorOf(bool hasHomes)
{
    target_selector selector(target_selector_options { "east", "n1" });
    if (hasHomes)
        selector.enableHomes();
    std::vector<target_announcement> targets;
    for (int index = 0; index < 12; ++index) {
        target_announcement each;
        each.name = "t" + std::to_string(index);
        each.service = "s";
        each.failureDomain = index < 6 ? "east" : "west";
        each.slots = 16;
        targets.push_back(each);
    }
    selector.applyAnnouncements(targets, true, start);
    selector.setEntryCount(6, start);
    return selector;
}

placement_request requestOf(std::uint64_t session)
{
    placement_request out;
    out.service = "s";
    out.session = session;
    out.promptTokens = 960;
    return out;
}

} // namespace

// Guards against choices that change for entries under control VMs of a former version, which send no
// position.
TEST_CASE("Without a position choices are those without homes", "[homes]")
{
    auto plain = selectorOf(false);
    auto homes = selectorOf(true);
    homes.setPosition({ 7, 3 });
    for (std::uint64_t session = 1; session < 200; ++session) {
        auto expected = *plain.choose(requestOf(session), start).chosen;
        auto chosen = *homes.choose(requestOf(session), start).chosen;
        CHECK(chosen.target == expected.target);
        CHECK(chosen.predictedMs == expected.predictedMs);
        CHECK_FALSE(chosen.homeShare);
        CHECK(expected.prompt == 0);
    }
}

TEST_CASE("A selector chooses its idle home engines, and others if they are out of service", "[homes]")
{
    auto selector = selectorOf(true);
    selector.setPosition({ 1, 3 });
    for (std::uint64_t session = 1; session < 20; ++session) {
        auto chosen = *selector.choose(requestOf(session), start).chosen;
        CHECK(chosen.homeShare == 1.0);
        CHECK(chosen.failureDomain == "east");
        selector.onAttemptEnded(chosen.target, attempt_result::answered, 960, start, chosen.prompt);
    }
    selector.setOutOfService({ "east" });
    auto chosen = *selector.choose(requestOf(1), start).chosen;
    CHECK(chosen.homeShare == 0.0);
    CHECK(chosen.failureDomain == "west");
}

TEST_CASE("Entries of the only failure domain with entries share the engines of the others", "[homes]")
{
    auto selector = selectorOf(true);
    selector.setPosition({ 1, 6 });
    selector.setOutOfService({ "east" });
    auto chosen = *selector.choose(requestOf(1), start).chosen;
    CHECK(chosen.failureDomain == "west");
    CHECK(chosen.homeShare == 1.0);
}
