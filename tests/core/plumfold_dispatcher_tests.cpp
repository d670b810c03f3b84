#include "support/plumfold_dispatch_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;
using namespace plumfold::tests;

TEST_CASE_METHOD(dispatch_fixture, "A target that is leaving or out of service receives no new requests",
    "[dispatch][leaving]")
{
    announce("t1");
    auto first = spec();
    submit(first);
    CHECK(startedOn(first.number) == "t1");
    SECTION("the target reports that it is leaving")
    {
        target_report leaving;
        leaving.name = "t1";
        leaving.incarnation = 1;
        leaving.failureDomain = "east";
        leaving.models = { { "base", "v1", {} } };
        leaving.leaving = true;
        leaving.sequence = 1000;
        apply(subject().onReport(leaving, now, now));
    }
    SECTION("an operator has taken it out of service")
    {
        change(record(target_record { "t1", false, false }));
    }
    SECTION("its failure domain is out of service")
    {
        change(record(failure_domain_record { "east", false, 1 }));
    }
    SECTION("its failure domain is not configured")
    {
        change(record_key { record_kind::failure_domain, "east" });
    }
    SECTION("it has not reported within the expiry")
    {
        advance(milliseconds(3001));
    }
    auto second = spec();
    submit(second);
    CHECK(startedOn(second.number).empty());
    advance(milliseconds(600));
    REQUIRE(rejection(second.number));
    CHECK(rejection(second.number)->kind == error_kind::no_target);
    CHECK(rejection(second.number)->ran == run_state::not_run);
    CHECK(rejection(second.number)->retryAfter);
}

TEST_CASE_METHOD(dispatch_fixture,
    "An entry that is cut off from control dispatches only within its failure domain", "[dispatch][cut]")
{
    announce("remote", "west");
    auto first = spec();
    submit(first);
    CHECK(startedOn(first.number) == "remote");
    now += milliseconds(3001);
    announce("remote", "west");
    auto second = spec();
    submit(second);
    CHECK(startedOn(second.number).empty());
    announce("local", "east");
    CHECK(startedOn(second.number) == "local");
}

TEST_CASE_METHOD(
    dispatch_fixture, "A new request runs only on the current weight version", "[dispatch][version]")
{
    announce("old", "east", 1, "v1");
    change(record(weight_version_record { "base", "v2" }));
    auto fresh = spec();
    submit(fresh);
    CHECK(startedOn(fresh.number).empty());
    auto underWay = spec();
    underWay.version = "v1"; // started before the version change
    submit(underWay);
    CHECK(startedOn(underWay.number) == "old");
    announce("new", "east", 1, "v2");
    CHECK(startedOn(fresh.number) == "new");
}

TEST_CASE_METHOD(dispatch_fixture,
    "A cold target runs one request at a time until its answers raise the limit", "[dispatch][cold]")
{
    announce("t1", "east", 1, "v1", 0);
    std::vector<request_spec> specs;
    for (int index = 0; index < 4; ++index) {
        specs.push_back(spec());
        submit(specs.back());
    }
    auto started = [&] {
        return std::count_if(
            specs.begin(), specs.end(), [&](const auto& s) { return !startedOn(s.number).empty(); });
    };
    // No warm target is known for comparison, so only a number of answers raises the limit.
    for (std::size_t index = 0; index < 16; ++index) {
        CHECK(started() == static_cast<std::ptrdiff_t>(index) + 1);
        finish(specs[index].number);
        advance(milliseconds(50));
        specs.push_back(spec());
        submit(specs.back());
    }
    CHECK(started() == 18);
}

TEST_CASE_METHOD(dispatch_fixture, "A request that is not idempotent is not retried once it may have run",
    "[dispatch][at-most-once]")
{
    announceService("s1");
    announceService("s2");
    auto order = spec();
    order.model.clear();
    order.service = "orders";
    order.idempotent = false;
    submit(order);
    REQUIRE_FALSE(startedOn(order.number).empty());
    SECTION("the target was lost or crashed: the outcome is unknown")
    {
        auto outcome = GENERATE(attempt_outcome::lost, attempt_outcome::crashed);
        retry(order, outcome);
        CHECK(startedOn(order.number).empty());
        REQUIRE(rejection(order.number));
        CHECK(rejection(order.number)->kind == error_kind::outcome_unknown);
        CHECK(rejection(order.number)->ran == run_state::unknown);
    }
    SECTION("no byte reached the target or it refused the request: another target is tried")
    {
        auto outcome = GENERATE(attempt_outcome::not_reached, attempt_outcome::refused);
        std::string first = startedOn(order.number);
        retry(order, outcome);
        CHECK_FALSE(startedOn(order.number).empty());
        CHECK(startedOn(order.number) != first);
    }
}

TEST_CASE_METHOD(dispatch_fixture, "An error after an attempt that may have run does not report not_run",
    "[dispatch][truth]")
{
    announce("t1");
    auto request = spec();
    submit(request);
    retry(request, attempt_outcome::lost);
    advance(milliseconds(700));
    REQUIRE(rejection(request.number));
    CHECK(rejection(request.number)->ran == run_state::unknown);
}
