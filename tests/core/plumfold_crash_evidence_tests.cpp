#include "support/plumfold_crash_history.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace plumfold::core;
using namespace plumfold::tests;

using namespace std::chrono_literals;

namespace {

/// Registries of control VMs that share what they know.
struct sharing_registries {
    instant now { 100s };
    std::vector<crash_registry> all;
    int targets = 0;

    explicit sharing_registries(std::uint64_t count = 3)
    {
        for (std::uint64_t id = 1; id <= count; ++id)
            all.push_back(make(id));
    }

    static crash_registry make(std::uint64_t id)
    {
        crash_registry_options options;
        options.id = id;
        return crash_registry(options);
    }

    /// Lets a target end; only one registry gets the report.
    void crash(std::size_t at, std::vector<request_traits> victims)
    {
        all[at].addReport({ "t" + std::to_string(++targets), 1, "shop", std::move(victims), {} }, now);
        now += 100ms;
    }

    /// Gives one registry everything that another one knows.
    void share(std::size_t from, std::size_t to)
    {
        auto evidence = all[from].evidenceAfter(0, now);
        now += 10ms; // on the way
        all[to].addEvidence(evidence, now);
    }

    trait_set condemned(std::size_t at)
    {
        now += 1s;
        trait_set found;
        for (const auto& each : all[at].condemn(now))
            found.insert(each.traits.begin(), each.traits.end());
        return found;
    }
};

} // namespace

TEST_CASE("Crashes that different control VMs know lead to a verdict once they are shared", "[crashes]")
{
    sharing_registries registries;
    for (std::size_t at = 0; at < 3; ++at)
        registries.crash(at, { requestOf(guilty) });
    registries.share(0, 1);
    CHECK(registries.condemned(1).empty());
    registries.share(1, 2);
    CHECK(registries.condemned(2) == trait_set { guilty });
}

TEST_CASE("A control VM that restarts gets back the evidence that it had passed on", "[crashes]")
{
    sharing_registries registries;
    for (int count = 0; count < 2; ++count)
        registries.crash(0, { requestOf(guilty) });
    registries.share(0, 1);
    registries.all[0] = sharing_registries::make(4);
    registries.share(1, 0);
    registries.crash(0, { requestOf(guilty) });
    CHECK(registries.condemned(0) == trait_set { guilty });
}

TEST_CASE("A crash that is shared again counts once", "[crashes]")
{
    sharing_registries registries;
    registries.crash(0, { requestOf(guilty) });
    for (int count = 0; count < 4; ++count) {
        registries.share(0, 1);
        registries.share(1, 0);
    }
    CHECK(registries.all[0].crashes() == 1);
    CHECK(registries.all[1].crashes() == 1);
    auto change = registries.all[0].latestChange();
    registries.share(1, 0);
    CHECK(registries.all[0].latestChange() == change);
}

TEST_CASE("Crashes come with the successes that clear the requests that were involved", "[crashes][parts]")
{
    sharing_registries registries;
    registries.all[0].addSuccess(sharedPart(8), registries.now);
    auto change = registries.all[0].latestChange();
    for (std::uint64_t count = 0; count < 6; ++count)
        registries.crash(0, { requestOf(100 + count, { 7, 8 }) });
    // What is new since the success contains it nevertheless.
    auto news = registries.all[0].evidenceAfter(change, registries.now);
    registries.all[1].addEvidence(news, registries.now);
    CHECK(registries.condemned(1) == trait_set { customerPart(7) });
}

TEST_CASE("Evidence that arrives late does not make a success seem earlier than a crash", "[crashes][parts]")
{
    sharing_registries registries;
    registries.all[0].addSuccess(customerPart(8), registries.now);
    registries.share(0, 1);
    for (std::uint64_t count = 0; count < 4; ++count)
        registries.crash(0, { requestOf(100 + count, { 8 }) });
    auto evidence = registries.all[0].evidenceAfter(0, registries.now);
    registries.now += 60s; // the receiver was suspended
    registries.all[1].addEvidence(evidence, registries.now);
    CHECK(registries.condemned(1).empty());
}

TEST_CASE("Successes that are shared in circles do not become later", "[crashes][parts]")
{
    sharing_registries registries;
    registries.all[0].addSuccess(customerPart(7), registries.now);
    for (int round = 0; round < 600; ++round) {
        registries.share(0, 1);
        registries.share(1, 2);
        registries.share(2, 0);
    }
    REQUIRE(registries.now > instant(112s));
    for (std::uint64_t count = 0; count < 4; ++count)
        registries.crash(0, { requestOf(100 + count, { 7 }) });
    CHECK(registries.condemned(0) == trait_set { customerPart(7) });
}

TEST_CASE("A trait that keeps succeeding changes the evidence once a second", "[crashes]")
{
    sharing_registries registries;
    for (int count = 0; count < 100; ++count) {
        registries.all[0].addSuccess(customerPart(7), registries.now);
        registries.now += 100ms;
    }
    CHECK(registries.all[0].latestChange() == 10);
    registries.share(0, 1);
    for (std::uint64_t count = 0; count < 4; ++count)
        registries.crash(1, { requestOf(100 + count, { 7 }) });
    CHECK(registries.condemned(1).empty());
}

TEST_CASE("Evidence is shared in limited pieces that lose nothing", "[crashes]")
{
    sharing_registries registries;
    for (std::uint64_t count = 0; count < 100; ++count)
        registries.crash(0, { requestOf(100 + count) });
    std::uint64_t change = 0;
    int pieces = 0;
    while (change < registries.all[0].latestChange()) {
        auto evidence = registries.all[0].evidenceAfter(change, registries.now);
        REQUIRE(evidence.change > change);
        CHECK(evidence.crashes.size() <= crash_registry_options().maxCrashesOfEvidence);
        registries.all[1].addEvidence(evidence, registries.now);
        change = evidence.change;
        ++pieces;
    }
    CHECK(pieces > 1);
    CHECK(registries.all[1].crashes() == 100);
}

TEST_CASE(
    "Crashes before the withdrawal of a verdict are no evidence when they are shared later", "[crashes]")
{
    sharing_registries registries;
    for (int count = 0; count < 3; ++count)
        registries.crash(0, { requestOf(guilty) });
    registries.all[1].withdraw({ guilty }, registries.now);
    registries.now += 1s;
    registries.share(0, 1);
    CHECK(registries.condemned(1).empty());
    for (int count = 0; count < 3; ++count)
        registries.crash(1, { requestOf(guilty) });
    CHECK(registries.condemned(1) == trait_set { guilty });
}

TEST_CASE("Evidence that is shared expires as if it had not been", "[crashes]")
{
    sharing_registries registries;
    registries.crash(0, { requestOf(guilty) });
    registries.now += 600s;
    registries.share(0, 1);
    registries.now += 600s;
    registries.all[1].expire(registries.now);
    CHECK(registries.all[1].crashes() == 0);
}
