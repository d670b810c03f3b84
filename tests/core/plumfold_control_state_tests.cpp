#include "plumfold/core/plumfold_control_state.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace plumfold::core;

namespace {

command changeAt(
    std::uint64_t revision, const std::string& request, const record& value, const std::string& who = "op")
{
    return { 1, change_command { who, request, revision, value } };
}

change_result changed(control_state& state, const command& next)
{
    return std::get<change_result>(state.apply(next));
}

command claimAt(unix_milliseconds at, const std::string& holder, std::uint64_t fingerprint = 7)
{
    return { at, claim_command { { "espuma", "key" }, fingerprint, holder, at + 1000 } };
}

claim_result claimed(control_state& state, const command& next)
{
    return std::get<claim_result>(state.apply(next));
}

command finishAt(unix_milliseconds at, const std::string& holder, claim_outcome outcome)
{
    return { at,
        finish_claim_command { { "espuma", "key" }, holder, outcome, { 200, "text/plain", "done", false } } };
}

} // namespace

TEST_CASE(
    "Of two changes based on the same revision one is accepted and the other gets a conflict", "[control]")
{
    control_state state;
    auto first = changed(state, changeAt(0, "r1", model_record { "a", 1, 1 }, "anna"));
    auto second = changed(state, changeAt(0, "r1", model_record { "b", 1, 1 }, "bjarni"));
    CHECK(first.outcome == change_outcome::accepted);
    CHECK(second.outcome == change_outcome::conflict);
    CHECK(second.revision == 1);
    CHECK(state.config().model("b") == nullptr);
}

TEST_CASE("A retried change gets its first result and is applied once", "[control]")
{
    control_state state;
    auto command = changeAt(0, "r1", model_record { "a", 1, 1 });
    auto first = changed(state, command);
    changed(state, changeAt(1, "r2", model_record { "b", 1, 1 }));
    CHECK(changed(state, command) == first);
    CHECK(state.config().revision() == 2);
    SECTION("also when the first result was a conflict")
    {
        auto late = changeAt(0, "r3", model_record { "c", 1, 1 });
        auto conflict = changed(state, late);
        CHECK(conflict.outcome == change_outcome::conflict);
        CHECK(changed(state, late) == conflict);
    }
    SECTION("also after a restore from a snapshot")
    {
        control_state restored(state.snapshot());
        CHECK(changed(restored, command) == first);
    }
}

TEST_CASE("A change is accepted only if the resulting configuration is valid", "[control]")
{
    control_state state;
    auto missing = changed(state, changeAt(0, "1", weight_version_record { "none", "v1" }));
    CHECK(missing.outcome == change_outcome::invalid);
    CHECK(missing.message.find("create it first") != std::string::npos);
    changed(state, changeAt(0, "2", model_record { "m", 1, 1 }));
    changed(state, changeAt(1, "3", weight_version_record { "m", "v1" }));
    auto used = changed(state, changeAt(2, "4", model_record {}));
    CHECK(used.outcome == change_outcome::invalid);
    command removal { 1, change_command { "op", "5", 2, record_key { record_kind::model, "m" } } };
    CHECK(changed(state, removal).outcome == change_outcome::invalid);
    CHECK(state.config().revision() == 2);
}

TEST_CASE("A claim is granted once unless the request is known not to have run", "[control][at-most-once]")
{
    control_state state;
    CHECK(claimed(state, claimAt(1, "first")).state == claim_status::granted);
    CHECK(claimed(state, claimAt(2, "first")).state == claim_status::granted); // retry after a lost response
    auto other = claimed(state, claimAt(3, "second"));
    CHECK(other.state == claim_status::in_progress);
    CHECK(other.retryAfterMs > 0);
    SECTION("a retry gets the stored response")
    {
        state.apply(finishAt(4, "first", claim_outcome::completed));
        auto retry = claimed(state, claimAt(5, "second"));
        CHECK(retry.state == claim_status::completed);
        CHECK(retry.response.body == "done");
    }
    SECTION("the outcome not_run releases the key")
    {
        state.apply(finishAt(4, "first", claim_outcome::not_run));
        CHECK(claimed(state, claimAt(5, "second")).state == claim_status::granted);
    }
    SECTION("only the holder may release the key")
    {
        state.apply(finishAt(4, "second", claim_outcome::not_run));
        CHECK(claimed(state, claimAt(5, "second")).state == claim_status::in_progress);
    }
    SECTION("if the holder vanishes the outcome is unknown and the claim is not granted again")
    {
        CHECK(claimed(state, claimAt(5000, "second")).state == claim_status::unknown);
        CHECK(claimed(state, claimAt(3600'000, "third")).state == claim_status::unknown);
    }
    SECTION("a completed claim cannot be released")
    {
        state.apply(finishAt(4, "first", claim_outcome::completed));
        state.apply(finishAt(5, "first", claim_outcome::not_run));
        CHECK(claimed(state, claimAt(6, "second")).state == claim_status::completed);
    }
    SECTION("another request under the same key is a conflict")
    {
        CHECK(claimed(state, claimAt(4, "second", 8)).state == claim_status::conflict);
    }
    SECTION("the same key of another customer is a different key")
    {
        command foreign { 4, claim_command { { "samvinna", "key" }, 7, "x", 100 } };
        CHECK(claimed(state, foreign).state == claim_status::granted);
    }
    SECTION("a claim expires only after its retention time")
    {
        constexpr unix_milliseconds day = 24ull * 3600 * 1000;
        CHECK(claimed(state, claimAt(day, "second")).state == claim_status::unknown);
        CHECK(claimed(state, claimAt(day + 2000, "second")).state == claim_status::granted);
    }
}

TEST_CASE("A retried usage batch is counted once", "[control][usage]")
{
    control_state state;
    command batch { 1, usage_command { "entry-1", 9, 1, { { "espuma", "base", 2, 10, 4, 6, 0 } } } };
    state.apply(batch);
    state.apply(batch);
    REQUIRE(state.usage().size() == 1);
    CHECK(state.usage()[0].requests == 2);
    control_state restored(state.snapshot());
    restored.apply(batch);
    CHECK(restored.usage()[0].requests == 2);
}

TEST_CASE("A withdrawn verdict is kept as withdrawn until new crashes renew it", "[control][crashes]")
{
    constexpr unix_milliseconds day = 24ull * 3600 * 1000;
    control_state state;
    state.apply({ 1, verdict_command { 7, 3, false } });
    state.apply({ 2, verdict_command { 7, 5, false } });
    REQUIRE(state.verdicts() == std::vector<verdict> { { 7, 5, 2 + day, false } });
    state.apply({ 3, verdict_command { 7, 0, true } });
    CHECK(state.verdicts() == std::vector<verdict> { { 7, 5, 3 + day, true } });
    CHECK(control_state(state.snapshot()).verdicts() == state.verdicts());
    state.apply({ 4, verdict_command { 7, 3, false } });
    CHECK(state.verdicts() == std::vector<verdict> { { 7, 3, 4 + day, false } });
    state.apply({ 5 + day, barrier_command {} });
    CHECK(state.verdicts().empty());
}

TEST_CASE("Deltas update any retained revision to the current one", "[control][property]")
{
    rc::prop("deltas and snapshot give the same configuration", [] {
        control_state state;
        auto steps = *rc::gen::inRange(1, 40);
        std::vector<configuration> history { state.config() };
        for (int step = 0; step < steps; ++step) {
            std::string name = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
            change what = record(failure_domain_record { name, *rc::gen::arbitrary<bool>(), 1 });
            if (*rc::gen::inRange(0, 4) == 0)
                what = record_key { record_kind::failure_domain, name };
            state.apply(
                { 1, change_command { "op", std::to_string(step), state.config().revision(), what } });
            if (state.config().revision() != history.back().revision())
                history.push_back(state.config());
        }
        configuration follower = history[*rc::gen::inRange<std::size_t>(0, history.size())];
        auto deltas = state.deltasAfter(follower.revision());
        RC_ASSERT(deltas.has_value());
        for (const auto& each : *deltas)
            RC_ASSERT(follower.applyDelta(each));
        RC_ASSERT(follower.digest() == state.config().digest());
        RC_ASSERT(
            configuration(state.config().revision(), state.config().records()).digest() == follower.digest());
    });
}
