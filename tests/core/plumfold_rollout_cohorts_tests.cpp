#include "plumfold/core/rollout/plumfold_rollout_cohorts.hpp"

#include "plumfold/core/plumfold_target_selector.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <set>

using namespace plumfold::core;

namespace {

const instant start {};
const std::string service = "s";

target_announcement targetOf(
    const std::string& name, const std::string& version, const std::string& failureDomain = "a")
{
    target_announcement out;
    out.name = name;
    out.service = service;
    out.address = "10.0.0.1:" + std::to_string(8'000 + name.back());
    out.failureDomain = failureDomain;
    out.slots = 8;
    out.startedAt = version == "v1" ? 1'000 : 2'000;
    out.softwareVersion = version;
    return out;
}

std::vector<target_announcement> bothVersions(int former = 4, int next = 4, int failureDomains = 1)
{
    std::vector<target_announcement> out;
    for (int domain = 0; domain < failureDomains; ++domain) {
        auto suffix = std::to_string(domain);
        for (int number = 0; number < former; ++number)
            out.push_back(targetOf("f" + suffix + "-" + std::to_string(number), "v1", "d" + suffix));
        for (int number = 0; number < next; ++number)
            out.push_back(targetOf("n" + suffix + "-" + std::to_string(number), "v2", "d" + suffix));
    }
    return out;
}

rollout_record rolloutOf(std::uint32_t share, rollout_state state = rollout_state::running)
{
    rollout_record out;
    out.id = 7;
    out.version = "v2";
    out.formerVersions = { "v1" };
    out.share = share;
    out.state = state;
    return out;
}

target_selector selectorOf(
    const std::vector<target_announcement>& targets, std::optional<rollout_record> rollout = {})
{
    target_selector_options options;
    options.failureDomain = "d0";
    options.entryName = "n1";
    options.holdsNewVersions = true;
    target_selector selector(options);
    selector.applyAnnouncements(targets, true, start);
    if (rollout)
        selector.setRollouts({ { service, *rollout } }, start);
    selector.onRolloutsConfirmed(start, start);
    return selector;
}

placement_request requestOf(std::uint32_t draw, bool isPlanFresh = true)
{
    placement_request out;
    out.service = service;
    out.rolloutDraw = draw;
    out.isRolloutPlanFresh = isPlanFresh;
    return out;
}

/// @return the software version of the target that a request is placed on; "none" if there is none.
std::string versionFor(target_selector& selector, const placement_request& request, instant now = start)
{
    auto result = selector.choose(request, now);
    if (!result.chosen)
        return "none";
    selector.onAttemptEnded(result.chosen->target, attempt_result::answered, 0, now);
    return result.chosen->softwareVersion;
}

/// @return the software versions of the targets that requests with all draws are placed on, all at once, so
/// that they go to all targets that may be used.
std::set<std::string> versionsFor(target_selector& selector, bool isPlanFresh, instant now = start)
{
    std::set<std::string> out;
    std::vector<std::string> targets;
    for (std::uint32_t draw = 0; draw < rolloutFullShare; ++draw) {
        auto result = selector.choose(requestOf(draw, isPlanFresh), now);
        out.insert(result.chosen ? result.chosen->softwareVersion : "none");
        if (result.chosen)
            targets.push_back(result.chosen->target);
    }
    for (const auto& target : targets)
        selector.onAttemptEnded(target, attempt_result::answered, 0, now);
    return out;
}

using versions = std::set<std::string>;

} // namespace

// Guards against a share that is applied per entry or per choice: shares must add up without messages.
TEST_CASE("The share of 70 entries with uneven traffic adds up to the share of the rollout", "[rollout]")
{
    auto share = GENERATE(60u, 150u, 350u, 650u);
    constexpr int entries = 70;
    int all = 0;
    int next = 0;
    for (int entry = 0; entry < entries; ++entry) {
        auto selector = selectorOf(bothVersions(), rolloutOf(share));
        for (int number = 0; number < 20 + entry * 5; ++number) {
            auto id = "request-" + std::to_string(entry) + "-" + std::to_string(number);
            next += versionFor(selector, requestOf(rolloutDrawOf(id))) == "v2";
            ++all;
        }
    }
    double expected = all * share / 1'000.0;
    // Four standard deviations.
    CHECK(std::abs(next - expected) < 4 * std::sqrt(expected));
}

// Guards against an entry that goes on with a share that may have been taken back meanwhile.
TEST_CASE("With an old plan, requests go to the former version only", "[rollout]")
{
    auto share = GENERATE(0u, 60u, 650u, 1'000u);
    auto selector = selectorOf(bothVersions(), rolloutOf(share));
    CHECK(versionsFor(selector, false) == versions { "v1" });
}

// Guards against a draw that is not below the share, and against an off-by-one at its limits.
TEST_CASE("Requests with a draw below the share go to the next version, others do not", "[rollout]")
{
    auto share = GENERATE(0u, 1u, 299u, 300u, 999u, 1'000u);
    auto selector = selectorOf(bothVersions(), rolloutOf(share));
    for (std::uint32_t draw = 0; draw < rolloutFullShare; ++draw)
        REQUIRE(versionFor(selector, requestOf(draw)) == (draw < share ? "v2" : "v1"));
}

// Guards against requests to targets that are stopped or drained after the end of a rollout.
TEST_CASE("After a rollout, the version that was replaced or rolled back gets no requests", "[rollout]")
{
    auto isFresh = GENERATE(true, false);
    auto completed = selectorOf(bothVersions(), rolloutOf(1'000, rollout_state::completed));
    CHECK(versionsFor(completed, isFresh) == versions { "v2" });
    auto rolledBack = selectorOf(bothVersions(), rolloutOf(60, rollout_state::rolled_back));
    CHECK(versionsFor(rolledBack, isFresh) == versions { "v1" });
    SECTION("not even streams that it began")
    {
        auto request = requestOf(0, isFresh);
        request.softwareVersion = "v1";
        CHECK(versionFor(completed, request) == "none");
        request.softwareVersion = "v2";
        CHECK(versionFor(completed, request) == "v2");
        CHECK(versionFor(rolledBack, request) == "none");
    }
    SECTION("not even if there is no other")
    {
        auto onlyFormer = selectorOf(bothVersions(4, 0), rolloutOf(1'000, rollout_state::completed));
        CHECK(versionsFor(onlyFormer, isFresh) == versions { "none" });
        auto onlyNext = selectorOf(bothVersions(0, 4), rolloutOf(60, rollout_state::rolled_back));
        CHECK(versionsFor(onlyNext, isFresh) == versions { "none" });
    }
}

// Guards against streams that go on at another version than the one that began them.
TEST_CASE("A stream goes on at the version that began it, whatever its draw", "[rollout]")
{
    auto selector = selectorOf(bothVersions(), rolloutOf(60));
    auto request = requestOf(GENERATE(0u, 999u));
    request.softwareVersion = "v2";
    CHECK(versionFor(selector, request) == "v2");
    request.softwareVersion = "v1";
    CHECK(versionFor(selector, request) == "v1");
    SECTION("but not at the next version with an old plan")
    {
        request.isRolloutPlanFresh = false;
        CHECK(versionFor(selector, request) == "v1");
        request.softwareVersion = "v2";
        CHECK(versionFor(selector, request) == "none");
    }
}

// Guards against failures of callers' requests because one cohort has no usable target.
TEST_CASE("A cohort without usable targets is replaced by the other one", "[rollout]")
{
    SECTION("the next one at any share below the full one")
    {
        auto selector = selectorOf(bothVersions(4, 0), rolloutOf(GENERATE(60u, 650u)));
        CHECK(versionsFor(selector, true) == versions { "v1" });
    }
    SECTION("the next one at the full share if none of its targets is ready")
    {
        auto selector = selectorOf(bothVersions(4, 0), rolloutOf(1'000));
        CHECK(versionsFor(selector, true) == versions { "v1" });
    }
    SECTION("the former one at the full share only")
    {
        auto share = GENERATE(0u, 60u, 999u, 1'000u);
        auto selector = selectorOf(bothVersions(0, 4), rolloutOf(share));
        CHECK(versionFor(selector, requestOf(999)) == (share == 1'000 ? "v2" : "none"));
        CHECK(versionFor(selector, requestOf(0, false)) == (share == 1'000 ? "v2" : "none"));
    }
}

// Guards against requests to former targets that the end of the rollout stops while they run.
TEST_CASE("At the full share, former targets get no requests while a next one is ready", "[rollout]")
{
    auto selector = selectorOf(bothVersions(4, 1), rolloutOf(1'000));
    auto request = requestOf(999);
    request.excluded = { "n0-0" };
    CHECK(versionFor(selector, request) == "none");
    request.hasFailedAtNext = true;
    CHECK(versionFor(selector, request) == "none");
    auto former = selector.rolloutStanding("f0-0");
    CHECK_FALSE(mayBeSent(former, cohortRequestOf(requestOf(999))));
    CHECK(mayBeSent(former, cohortRequestOf(requestOf(999, false))));
}

// Guards against failures of requests at the full share because no next target is usable, although former
// ones still run until the rollout has completed.
TEST_CASE("At the full share, former targets serve while no next one is usable", "[rollout]")
{
    auto selector = selectorOf(bothVersions(4, 2), rolloutOf(1'000));
    auto request = requestOf(GENERATE(0u, 999u));
    auto until = start + milliseconds(400);
    service_limits limits;
    limits.name = service;
    SECTION("because of back-off")
    {
        for (int target = 0; target < 2; ++target) {
            auto result = selector.choose(request, start);
            REQUIRE(result.chosen);
            CHECK(result.chosen->softwareVersion == "v2");
            selector.onAttemptEnded(result.chosen->target, attempt_result::not_reached, 0, start);
        }
        SECTION("also for a request that failed there")
        {
            request.excluded = { "n0-0", "n0-1" };
            request.hasFailedAtNext = true;
        }
    }
    SECTION("because they rest")
    {
        selector.onRestRequested("n0-0", 2'000, until);
        selector.onRestRequested("n0-1", 2'000, until);
    }
    SECTION("because they are cold and no request may start on them")
    {
        limits.coldRequestsPerSecond = 9;
        limits.coldTime = milliseconds(3'000);
        selector.setServices({ limits });
        auto targets = bothVersions(4, 2);
        for (auto& each : targets)
            each.coldFor = milliseconds(each.softwareVersion == "v2" ? 3'000 : 0);
        selector.applyAnnouncements(targets, true, start);
        SECTION("now")
        {
            selector.onColdStartRefused("n0-0", until);
            selector.onColdStartRefused("n0-1", until);
        }
        SECTION("any more by this request")
        {
            request.isWarmOnly = true;
        }
    }
    SECTION("because they are at their limit of requests per second")
    {
        for (const auto* name : { "n0-0", "n0-1" }) {
            selector.applyDemands({ { name, 2'000, 1, 5, false } }, start);
            selector.onRateLimitDecision(name, { false, milliseconds(400) }, start);
        }
    }
    auto result = selector.choose(request, start);
    REQUIRE(result.chosen);
    CHECK(result.chosen->softwareVersion == "v1");
    CHECK(selector.hasWarmTarget(request, start));
    auto sent = cohortRequestOf(request);
    sent.isFallback = result.chosen->isFullShareFallback;
    CHECK(mayBeSent(selector.rolloutStanding(result.chosen->target), sent));
    // Once a next target is usable again, former ones get nothing.
    auto later = start + milliseconds(5'000);
    CHECK(versionsFor(selector, true, later) == versions { "v2" });
}

// Guards against a less informative refusal, without the time at which a next target is usable again.
TEST_CASE(
    "At the full share, a request without any usable target is refused as by the next ones", "[rollout]")
{
    auto selector = selectorOf(bothVersions(0, 1), rolloutOf(1'000));
    selector.onRestRequested("n0-0", 2'000, start + milliseconds(400));
    auto result = selector.choose(requestOf(0), start);
    CHECK_FALSE(result.chosen);
    CHECK(result.reason == placement_failure::resting);
    CHECK(result.retryAfter == milliseconds(400));
}

// Guards against a retry at a second target of a bad version.
TEST_CASE("After a failure at a next target, a request goes to a former one", "[rollout]")
{
    auto selector = selectorOf(bothVersions(), rolloutOf(650));
    auto request = requestOf(0);
    request.excluded = { "n0-0" };
    request.hasFailedAtNext = true;
    CHECK(versionFor(selector, request) == "v1");
}

// Guards against requests that are sent after the decision that takes the share back.
TEST_CASE(
    "A request is not sent to a next target whose share was taken back since its placement", "[rollout]")
{
    auto selector = selectorOf(bothVersions(), rolloutOf(650));
    REQUIRE(versionFor(selector, requestOf(600)) == "v2");
    CHECK(mayBeSent(selector.rolloutStanding("n0-0"), cohortRequestOf(requestOf(600))));
    CHECK_FALSE(mayBeSent(selector.rolloutStanding("n0-0"), cohortRequestOf(requestOf(600, false))));
    selector.setRollouts({ { service, rolloutOf(350) } }, start);
    CHECK_FALSE(mayBeSent(selector.rolloutStanding("n0-0"), cohortRequestOf(requestOf(600))));
    CHECK(mayBeSent(selector.rolloutStanding("n0-0"), cohortRequestOf(requestOf(300))));
    selector.setRollouts({ { service, rolloutOf(350, rollout_state::rolled_back) } }, start);
    CHECK_FALSE(mayBeSent(selector.rolloutStanding("n0-0"), cohortRequestOf(requestOf(0))));
    CHECK(selector.rolloutStanding("n0-0").role == rollout_role::barred);
}

// Guards against an endless loop: a placement that is refused at once is repeated.
TEST_CASE("A request may be sent to the target on which it was just placed", "[rollout]")
{
    for (auto share : { 0u, 60u, 650u, 1'000u }) {
        for (int former : { 0, 2 }) {
            for (int next : { 0, 2 }) {
                auto selector = selectorOf(bothVersions(former, next), rolloutOf(share));
                for (std::uint32_t draw : { 0u, 59u, 60u, 999u }) {
                    for (int flags = 0; flags < 8; ++flags) {
                        auto request = requestOf(draw, (flags & 1) != 0);
                        request.hasFailedAtNext = (flags & 2) != 0;
                        if ((flags & 4) != 0)
                            request.softwareVersion = "v2";
                        auto result = selector.choose(request, start);
                        if (result.chosen)
                            REQUIRE(mayBeSent(
                                selector.rolloutStanding(result.chosen->target), cohortRequestOf(request)));
                    }
                }
            }
        }
    }
}

// Guards against a canary that sees too little load to show its faults, and against one in a single domain.
TEST_CASE("A small share goes to a part of the next targets in each failure domain", "[rollout]")
{
    constexpr int domains = 3;
    auto usedAt = [&](std::uint32_t share, const std::string& entry) {
        target_selector_options options;
        options.failureDomain = "d0";
        options.entryName = entry;
        target_selector selector(options);
        selector.applyAnnouncements(bothVersions(20, 20, domains), true, start);
        selector.setRollouts({ { service, rolloutOf(share) } }, start);
        versions used;
        for (int number = 0; number < 500; ++number) {
            auto result = selector.choose(requestOf(0), start);
            used.insert(result.chosen->target);
        }
        return used;
    };
    CHECK(usedAt(60, "n1").size() == domains * 1);
    CHECK(usedAt(150, "n1").size() == domains * 3);
    CHECK(usedAt(10, "n1").size() == domains);
    CHECK(usedAt(650, "n1").size() == domains * 20);
    CHECK(usedAt(60, "n1") == usedAt(60, "n2"));
}

// Guards against a canary that waits for a cold or a dead target.
TEST_CASE("The part of the next targets for a small share consists of ready and warm ones", "[rollout]")
{
    auto targets = bothVersions(4, 4);
    for (auto& each : targets) {
        if (each.name == "n0-0" || each.name == "n0-1")
            each.coldFor = milliseconds(3'000);
        if (each.name == "n0-2")
            each.state = target_state::silent;
    }
    auto selector = selectorOf(targets, rolloutOf(60));
    auto result = selector.choose(requestOf(0), start);
    REQUIRE(result.chosen);
    CHECK(result.chosen->target == "n0-3");
    CHECK(result.chosen->rollout == rollout_assignment { 7, rollout_cohort::next, true });
    // They become warm without an announcement.
    auto later = start + milliseconds(4'000);
    selector.onRolloutsConfirmed(later, later);
    CHECK(cohortOf(selector.rolloutStanding("n0-0")) == rollout_cohort::next);
}

// Guards against a good version without a verdict: a target that permits two requests per second alone gives
// too few answers in a canary.
TEST_CASE(
    "The part of the next targets for a small share has no limited one while others are warm", "[rollout]")
{
    auto selector = selectorOf(bothVersions(4, 4), rolloutOf(60));
    auto first = selector.choose(requestOf(0), start);
    REQUIRE(first.chosen);
    selector.applyDemands({ { first.chosen->target, 2'000, 1, 2.0 } }, start);
    selector.onRolloutsConfirmed(start, start);
    CHECK(selector.rolloutStanding(first.chosen->target).role == rollout_role::spare);
    auto second = selector.choose(requestOf(0), start);
    REQUIRE(second.chosen);
    CHECK(second.chosen->rollout.cohort == rollout_cohort::next);
    CHECK_FALSE(second.chosen->isRateLimited);
}

// Guards against requests to a version that an earlier rollout has rolled back.
TEST_CASE("A version that an earlier rollout has ended gets no requests", "[rollout]")
{
    auto state = GENERATE(rollout_state::running, rollout_state::completed, rollout_state::rolled_back);
    rollout_cohorts cohorts(false);
    auto rollout = rolloutOf(500, state);
    rollout.endedVersions = { "v0" };
    cohorts.setRollouts({ { service, rollout } });
    auto target = targetOf("e1", "v0");
    rollout_standing standing;
    cohorts.assign({ { &target, false, &standing } });
    CHECK(standing.role == rollout_role::barred);
}

// Guards against a third version that is locked out by a rollout that does not name it.
TEST_CASE("A version that a rollout does not name is used like the former one", "[rollout]")
{
    auto targets = bothVersions(0, 2);
    targets.push_back(targetOf("x", "v9"));
    auto selector = selectorOf(targets, rolloutOf(60));
    CHECK(versionFor(selector, requestOf(999)) == "v9");
    CHECK(versionFor(selector, requestOf(0)) == "v2");
    selector.setRollouts({ { service, rolloutOf(1'000, rollout_state::completed) } }, start);
    CHECK(versionsFor(selector, true) == versions { "v2", "v9" });
}

// Guards against requests to a next version before the order for it has arrived.
TEST_CASE("A version that joins a service is held for a second of confirmed updates", "[rollout]")
{
    auto selector = selectorOf(bothVersions(2, 0));
    selector.takeVersionHolds();
    auto at = [](int ms) { return start + milliseconds(ms); };
    selector.applyAnnouncements(bothVersions(2, 2), true, at(5'000));
    CHECK(selector.takeVersionHolds() == std::vector<version_hold> { { service, "v2", true } });
    CHECK(versionsFor(selector, true, at(5'000)) == versions { "v1" });
    SECTION("and not released by the time alone")
    {
        CHECK(versionsFor(selector, true, at(60'000)) == versions { "v1" });
        selector.onRolloutsConfirmed(at(60'000), at(60'000));
        CHECK(versionsFor(selector, true, at(60'000)) == versions { "v1" });
    }
    SECTION("and then released")
    {
        selector.onRolloutsConfirmed(at(5'100), at(5'100));
        selector.onRolloutsConfirmed(at(6'099), at(6'099));
        CHECK(versionsFor(selector, true, at(6'099)) == versions { "v1" });
        selector.onRolloutsConfirmed(at(6'100), at(6'100));
        CHECK(versionsFor(selector, true, at(6'100)) == versions { "v1", "v2" });
        CHECK(selector.takeVersionHolds() == std::vector<version_hold> { { service, "v2", false } });
    }
    SECTION("unless its order arrives")
    {
        selector.setRollouts({ { service, rolloutOf(0) } }, at(5'200));
        CHECK(versionsFor(selector, true, at(5'200)) == versions { "v1" });
        selector.setRollouts({ { service, rolloutOf(650) } }, at(5'300));
        CHECK(versionsFor(selector, true, at(5'300)) == versions { "v1", "v2" });
    }
}

// Guards against a service that is not served for a second after each start of an entry.
TEST_CASE("Versions that serve when an entry starts are used at once", "[rollout]")
{
    auto selector = selectorOf(bothVersions(2, 2));
    CHECK(versionsFor(selector, true) == versions { "v1", "v2" });
}

// Guards against use of a next version by an entry that starts while it is cut off from the quorum.
TEST_CASE("An entry that has no confirmed plan yet uses the version that started first", "[rollout]")
{
    target_selector_options options;
    options.holdsNewVersions = true;
    target_selector selector(options);
    selector.applyAnnouncements(bothVersions(2, 2), true, start);
    CHECK(versionsFor(selector, false) == versions { "v1" });
    selector.onRolloutsConfirmed(start, start);
    CHECK(versionsFor(selector, true) == versions { "v1", "v2" });
}

// Guards against a service without targets because its only version is on hold.
TEST_CASE("A new version of a service that has no other is used at once", "[rollout]")
{
    auto selector = selectorOf({});
    selector.applyAnnouncements(bothVersions(0, 2), true, start);
    CHECK(versionsFor(selector, true) == versions { "v2" });
    CHECK(selector.takeVersionHolds().empty());
    SECTION("also when the other one ends during the hold")
    {
        auto next = targetOf("y", "v3");
        selector.applyAnnouncements({ next }, false, start);
        CHECK(versionsFor(selector, true) == versions { "v2" });
        selector.applyAnnouncements({ next }, true, start);
        CHECK(versionsFor(selector, true) == versions { "v3" });
    }
}

// Guards against unlimited use of a version that is ordered again after its rollback, at an entry that does
// not know the second order yet.
TEST_CASE("A version is held again when it returns after it was gone", "[rollout]")
{
    auto selector = selectorOf(bothVersions(2, 2));
    selector.applyAnnouncements(bothVersions(2, 0), true, start);
    auto now = start;
    for (int count = 0; count < 50; ++count) {
        now += milliseconds(150);
        selector.onRolloutsConfirmed(now, now);
    }
    selector.applyAnnouncements(bothVersions(2, 2), true, now);
    CHECK(versionsFor(selector, true, now) == versions { "v1" });
}

// Guards against a version that gets no requests without a trace of the reason.
TEST_CASE("A version that joins after its rollout ended is stated as barred once", "[rollout]")
{
    auto isCompleted = GENERATE(true, false);
    auto end = isCompleted ? rollout_state::completed : rollout_state::rolled_back;
    auto share = isCompleted ? rolloutFullShare : 0u;
    std::string ended = isCompleted ? "v1" : "v2";
    auto remaining = isCompleted ? bothVersions(0, 2) : bothVersions(2, 0);
    std::vector<barred_version> expected { { service, ended, 7, end } };
    auto selector = selectorOf(bothVersions(2, 2), rolloutOf(60));
    selector.setRollouts({ { service, rolloutOf(share, end) } }, start);
    selector.applyAnnouncements(bothVersions(2, 2), true, start);
    CHECK(selector.takeBarredVersions().empty()); // its targets are about to stop
    selector.applyAnnouncements(remaining, true, start);
    CHECK(selector.takeBarredVersions().empty());
    selector.applyAnnouncements(bothVersions(2, 2), true, start);
    CHECK(selector.takeBarredVersions() == expected);
    CHECK(versionsFor(selector, true) == versions { isCompleted ? "v2" : "v1" });
    SECTION("also if it joins several times")
    {
        selector.applyAnnouncements(remaining, true, start);
        auto now = start;
        for (int count = 0; count < 50; ++count) {
            now += milliseconds(150);
            selector.onRolloutsConfirmed(now, now);
        }
        selector.applyAnnouncements(bothVersions(2, 2), true, now);
        selector.applyAnnouncements(bothVersions(3, 3), true, now);
        CHECK(selector.takeBarredVersions().empty());
    }
    SECTION("again after a later rollout")
    {
        auto later = rolloutOf(share, end);
        later.id = 9;
        selector.applyAnnouncements(remaining, true, start);
        selector.setRollouts({ { service, later } }, start);
        CHECK(selector.takeBarredVersions().empty());
        selector.applyAnnouncements(bothVersions(2, 2), true, start);
        CHECK(selector.takeBarredVersions() == std::vector<barred_version> { { service, ended, 9, end } });
    }
    SECTION("not after it was ordered")
    {
        auto ordered = rolloutOf(0);
        ordered.id = 9;
        selector.setRollouts({ { service, ordered } }, start);
        CHECK(selector.takeBarredVersions().empty());
    }
    SECTION("also at an entry that starts later")
    {
        auto other = selectorOf({}, rolloutOf(share, end));
        other.applyAnnouncements(bothVersions(2, 2), true, start);
        CHECK(other.takeBarredVersions() == expected);
    }
}

// Guards against a standing by a version that a target no longer has: what is known of its version is kept
// with the target.
TEST_CASE("The standing of a target follows its version and the versions that are forgotten", "[rollout]")
{
    auto selector = selectorOf(bothVersions(2, 2), rolloutOf(650));
    SECTION("when it starts again with another one")
    {
        auto restarted = targetOf("f0-0", "v2");
        selector.applyAnnouncements({ restarted }, false, start);
        CHECK(selector.rolloutStanding("f0-0").role == rollout_role::next);
        CHECK(selector.rolloutStanding("f0-1").role == rollout_role::former);
    }
    SECTION("when others are forgotten")
    {
        auto more = bothVersions(2, 2);
        more.push_back(targetOf("a", "v0"));
        selector.applyAnnouncements(more, true, start);
        selector.applyAnnouncements(bothVersions(2, 2), true, start);
        auto now = start;
        for (int count = 0; count < 50; ++count) {
            now += milliseconds(150);
            selector.onRolloutsConfirmed(now, now);
        }
        selector.applyAnnouncements({}, false, now);
        CHECK(selector.rolloutStanding("f0-0").role == rollout_role::former);
        CHECK(selector.rolloutStanding("n0-0").role == rollout_role::next);
        selector.applyAnnouncements({ targetOf("a", "v0") }, false, now);
        CHECK(selector.rolloutStanding("a").role == rollout_role::barred); // new again, so it is held
        CHECK(selector.rolloutStanding("n0-0").role == rollout_role::next);
    }
}

// Guards against effects of rollouts where they are not enabled.
TEST_CASE("Without rollouts and holds, all versions are used", "[rollout]")
{
    target_selector selector(target_selector_options {});
    selector.applyAnnouncements(bothVersions(2, 0), true, start);
    selector.applyAnnouncements(bothVersions(2, 2), true, start);
    CHECK(versionsFor(selector, false) == versions { "v1", "v2" });
    CHECK(selector.rolloutStanding("n0-0") == rollout_standing {});
    SECTION("also after the last rollout is forgotten")
    {
        selector.setRollouts({ { service, rolloutOf(0) } }, start);
        CHECK(versionsFor(selector, true) == versions { "v1" });
        selector.setRollouts({}, start);
        CHECK(versionsFor(selector, true) == versions { "v1", "v2" });
    }
}
