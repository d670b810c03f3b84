#include "support/plumfold_dispatch_fixture.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;
using namespace plumfold::tests;

TEST_CASE_METHOD(
    dispatch_fixture, "The retry budget limits retries when every target fails", "[dispatch][retry]")
{
    int retried = 0;
    for (int index = 0; index < 400; ++index) {
        announce("t1");
        announce("t2");
        auto request = spec();
        submit(request);
        if (startedOn(request.number).empty()) {
            advance(milliseconds(1100));
            continue;
        }
        retry(request, attempt_outcome::lost);
        if (!startedOn(request.number).empty()) {
            ++retried;
            finish(request.number);
        }
        advance(milliseconds(1100));
    }
    // The initial budget of 20, and one retry for every ten requests.
    CHECK(retried <= 20 + 40);
    CHECK(retried > 0);
}

TEST_CASE_METHOD(dispatch_fixture,
    "A request that crashes two targets is condemned and the requests beside it are served",
    "[dispatch][suspects]")
{
    announce("t1");
    auto bad = spec();
    auto innocent = spec();
    submit(bad);
    submit(innocent);
    REQUIRE(startedOn(bad.number) == "t1");
    REQUIRE(startedOn(innocent.number) == "t1");
    announce("t2");
    announce("t3");
    retry(bad, attempt_outcome::crashed);
    retry(innocent, attempt_outcome::crashed);
    advance(milliseconds(20));
    // Both are suspects now and run alone, so each is on a target of its own.
    REQUIRE_FALSE(startedOn(bad.number).empty());
    REQUIRE_FALSE(startedOn(innocent.number).empty());
    CHECK(startedOn(bad.number) != startedOn(innocent.number));
    finish(innocent.number);
    retry(bad, attempt_outcome::crashed);
    REQUIRE(rejection(bad.number));
    CHECK(rejection(bad.number)->kind == error_kind::crashes_targets);
    CHECK(condemned == 1);
    auto duplicate = spec();
    duplicate.fingerprint = bad.fingerprint;
    submit(duplicate);
    REQUIRE(rejection(duplicate.number));
    CHECK(rejection(duplicate.number)->ran == run_state::not_run);
    SECTION("an operator withdraws the verdict")
    {
        subject().onVerdictWithdrawn(bad.fingerprint);
        auto retried = spec();
        retried.fingerprint = bad.fingerprint;
        submit(retried);
        CHECK_FALSE(rejection(retried.number));
    }
}

TEST_CASE_METHOD(
    dispatch_fixture, "A customer at its limit does not block other customers", "[dispatch][limits]")
{
    for (const char* name : { "t1", "t2", "t3" })
        announce(name);
    std::vector<request_spec> many;
    for (int index = 0; index < 20; ++index) {
        many.push_back(spec());
        submit(many.back());
    }
    auto running = std::count_if(
        many.begin(), many.end(), [&](const auto& s) { return !startedOn(s.number).empty(); });
    auto rejected
        = std::count_if(many.begin(), many.end(), [&](const auto& s) { return rejection(s.number); });
    CHECK(running == 8);
    CHECK(rejected == 4); // 8 run, 8 wait
    auto other = spec("samvinna");
    submit(other);
    CHECK_FALSE(startedOn(other.number).empty());
}

TEST_CASE_METHOD(
    dispatch_fixture, "A request that cannot meet its deadline is rejected at once", "[dispatch][deadline]")
{
    announce("t1");
    auto late = spec();
    late.deadline = now + milliseconds(1);
    submit(late);
    REQUIRE(rejection(late.number));
    CHECK(rejection(late.number)->kind == error_kind::deadline_unreachable);
    CHECK(rejection(late.number)->retryAfter);
    SECTION("a waiting request is rejected when its deadline passes")
    {
        for (int index = 0; index < 4; ++index)
            submit(spec());
        auto waiting = spec();
        waiting.deadline = now + milliseconds(200);
        submit(waiting);
        CHECK_FALSE(rejection(waiting.number));
        advance(milliseconds(200));
        REQUIRE(rejection(waiting.number));
        CHECK(rejection(waiting.number)->ran == run_state::not_run);
    }
}

TEST_CASE_METHOD(dispatch_fixture, "A repeated prompt goes to the target that has its blocks cached",
    "[dispatch][affinity]")
{
    announce("t1");
    announce("t2");
    auto first = spec();
    first.promptTokens = 1030;
    first.chain = { 1, 2, 3, 4 };
    submit(first);
    std::string preferred = startedOn(first.number);
    finish(first.number);
    for (int index = 0; index < 3; ++index) {
        auto back = spec();
        back.promptTokens = 1030;
        back.chain = first.chain;
        submit(back);
        CHECK(startedOn(back.number) == preferred);
    }
}

TEST_CASE_METHOD(
    dispatch_fixture, "An unexpected cache miss does not count as a cold start", "[dispatch][cold]")
{
    announce("t1");
    auto first = spec();
    first.promptTokens = 4000;
    first.chain = { 1, 2, 3, 4 };
    submit(first);
    finish(first.number);
    for (int index = 0; index < 6; ++index) {
        auto back = first;
        back.number = spec().number;
        back.promptTokens = 1030;
        submit(back);
        REQUIRE_FALSE(startedOn(back.number).empty());
        CHECK(planOf(back.number).cachedBlocks == 4);
        attempt_report evicted; // no cached tokens reported
        evicted.firstToken = milliseconds(220);
        evicted.duration = milliseconds(300);
        apply(subject().onFinished(back.number, evicted, now));
    }
    int running = 0;
    for (int index = 0; index < 4; ++index) {
        auto next = spec();
        submit(next);
        running += !startedOn(next.number).empty();
    }
    CHECK(running == 4);
}

TEST_CASE_METHOD(dispatch_fixture,
    "Blocks are fetched from the store only when that is faster than recomputing them", "[dispatch][link]")
{
    announce("t1");
    auto cheap = spec();
    cheap.promptTokens = 1030;
    cheap.chain = { 1, 2, 3, 4 };
    cheap.storeBlocks = 4;
    cheap.storeBytes = 4096;
    submit(cheap);
    auto slow = cheap;
    slow.number = spec().number;
    slow.storeBytes = 125'000'000'000; // about 1000 s over the link
    submit(slow);
    CHECK(planOf(cheap.number).importBlocks == 4);
    CHECK(planOf(slow.number).importBlocks == 0);
}

TEST_CASE_METHOD(dispatch_fixture,
    "A permit for a target that another entry owns is requested from that entry", "[dispatch][permits]")
{
    std::string foreign;
    entry_membership view("entry-1", "east", milliseconds(1500));
    entry_peer_state peer { "entry-2", "east", 1, false, now };
    view.onPeerUpdate(peer);
    for (int index = 0; foreign.empty(); ++index) {
        std::string name = "t" + std::to_string(index);
        if (view.ownerOf(name, "east") == "entry-2")
            foreign = name;
    }
    subject().onPeerState(peer);
    announce(foreign);
    auto request = spec();
    submit(request);
    REQUIRE(permitRequests.size() == 1);
    CHECK(permitRequests[0].owner == "entry-2");
    CHECK(startedOn(request.number).empty());
    SECTION("granted: the request starts")
    {
        apply(subject().onPermitAnswer(request.number, "entry-2", { true, 77, 8, {} }, now));
        CHECK(startedOn(request.number) == foreign);
        finish(request.number);
        CHECK(released == 1);
    }
    SECTION("denied: the request waits and a permit is requested again")
    {
        apply(subject().onPermitAnswer(request.number, "entry-2", { false, 0, 0, milliseconds(10) }, now));
        advance(milliseconds(20));
        CHECK(permitRequests.size() == 2);
    }
    SECTION("granted after the request was cancelled: the permit is released")
    {
        apply(subject().cancel(request.number, now));
        apply(subject().onPermitAnswer(request.number, "entry-2", { true, 77, 8, {} }, now));
        CHECK(released == 1);
        CHECK(startedOn(request.number).empty());
    }
    SECTION("the owner fails: this entry becomes the owner and starts the request")
    {
        apply(subject().onOwnerUnreachable(request.number, now));
        advance(milliseconds(1600));
        announce(foreign);
        CHECK(startedOn(request.number) == foreign);
    }
}
