#include "plumfold/platform/plumfold_platform_control_calls.hpp"

#include <catch2/catch.hpp>

#include <cmath>

using namespace plumfold;
using namespace plumfold::platform;

namespace {

control_call order(const std::string& body)
{
    return decodeControlCall("POST", "/rollouts", body);
}

std::string orderFor(const std::string& duration)
{
    return R"({"service":"shop","to":"v2","duration-s":)" + duration + "}";
}

} // namespace

TEST_CASE("The duration of a rollout may be written in any form of a number", "[platform][rollout]")
{
    auto [text, ms] = GENERATE(table<const char*, std::uint64_t>(
        { { "12", 12'000 }, { "12.0", 12'000 }, { "1.2e1", 12'000 }, { "0.012E3", 12'000 },
            { "8.003", 8'003 }, { "1.001", 1'001 }, { "0.0004", 1 }, { "604800", 604'800'000 } }));
    CAPTURE(text);
    auto call = order(orderFor(text));
    REQUIRE(std::holds_alternative<begin_rollout_call>(call));
    CHECK(std::get<begin_rollout_call>(call).service == "shop");
    CHECK(std::get<begin_rollout_call>(call).version == "v2");
    CHECK(std::get<begin_rollout_call>(call).durationMs == ms);
}

// Guards against an order without a usable duration, which would end at once or never.
TEST_CASE("An order of a rollout with an invalid duration is malformed", "[platform][rollout]")
{
    std::string duration = GENERATE("0", "-0.0", "-1", "-1e300", "604800.001", "604801", "1e400", "-1e400",
        "1e300", "18446744073709551615", "99999999999999999999999", "\"12\"", "null", "true", "[]", "{}",
        "NaN", "Infinity", "");
    CAPTURE(duration);
    CHECK(std::holds_alternative<malformed_rollout_call>(order(orderFor(duration))));
}

TEST_CASE("An order of a rollout that is incomplete or no JSON object is malformed", "[platform][rollout]")
{
    std::string body
        = GENERATE("", "{", "[]", "null", "12", "\"shop\"", "{}", R"({"to":"v2","duration-s":1})",
            R"({"service":"shop","duration-s":1})", R"({"service":"shop","to":"v2"})",
            R"({"service":"","to":"v2","duration-s":1})", R"({"service":"shop","to":"","duration-s":1})",
            R"({"service":7,"to":"v2","duration-s":1})", R"({"service":"shop","to":null,"duration-s":1})",
            "{\"service\":\"\xff\",\"to\":\"v2\",\"duration-s\":1}");
    CAPTURE(body);
    auto call = order(body);
    REQUIRE(std::holds_alternative<malformed_rollout_call>(call));
    CHECK_FALSE(std::get<malformed_rollout_call>(call).message.empty());
}

// Guards against a version of megabytes in the replicated log.
TEST_CASE("An order of a rollout to a version with a very long name is malformed", "[platform][rollout]")
{
    auto body = [](std::size_t bytes) {
        return R"({"service":"shop","duration-s":1,"to":")" + std::string(bytes, 'v') + "\"}";
    };
    CHECK(std::holds_alternative<begin_rollout_call>(order(body(maxRolloutVersionBytes))));
    CHECK(std::holds_alternative<malformed_rollout_call>(order(body(maxRolloutVersionBytes + 1))));
}

TEST_CASE("Other methods and paths are no calls about rollouts", "[platform][rollout]")
{
    auto [method, path] = GENERATE(table<const char*, const char*>(
        { { "GET", "/rollouts" }, { "PUT", "/rollouts" }, { "POST", "/rollouts/shop" },
            { "DELETE", "/rollouts/shop" }, { "POST", "/rolloutsx" }, { "GET", "/rollout/shop" } }));
    CAPTURE(method, path);
    CHECK(std::holds_alternative<unknown_call>(decodeControlCall(method, path, orderFor("1"))));
}

TEST_CASE("Calls about rollouts are decoded as they were encoded", "[platform][rollout]")
{
    std::string service = GENERATE("shop", "a b", "a/b", "a?b", "100%", "\xc3\xa9", "a+b&c#d");
    CAPTURE(service);
    auto begin = encodeCall(begin_rollout_call { service, "v2", 12'345 });
    auto decodedBegin = decodeControlCall(begin.method, begin.path, begin.body);
    REQUIRE(std::holds_alternative<begin_rollout_call>(decodedBegin));
    CHECK(std::get<begin_rollout_call>(decodedBegin).service == service);
    CHECK(std::get<begin_rollout_call>(decodedBegin).durationMs == 12'345);
    for (bool isDetailed : { false, true }) {
        auto read = encodeCall(read_rollout_call { service, isDetailed });
        auto decodedRead = decodeControlCall(read.method, read.path, read.body);
        REQUIRE(std::holds_alternative<read_rollout_call>(decodedRead));
        CHECK(std::get<read_rollout_call>(decodedRead).service == service);
        CHECK(std::get<read_rollout_call>(decodedRead).isDetailed == isDetailed);
    }
}

TEST_CASE("A read of a rollout gives state and version, and with details all that operators need",
    "[platform][rollout]")
{
    core::rollout_record rollout;
    rollout.id = 7;
    rollout.version = "v2";
    rollout.formerVersions = { "", "v1" };
    rollout.durationMs = 12'500;
    rollout.state = core::rollout_state::rolled_back;
    rollout.stage = core::rollout_stage::ended;
    rollout.share = 60;
    rollout.elapsedMs = 3'040;
    rollout.totals = { 940, 60, 21 };
    rollout.reason = "failures on a route";
    CHECK(encodeRollout(rollout, false) == R"({"state":"rolled_back","to":"v2"})");
    auto decoded = decodeRollout(encodeRollout(rollout, true));
    REQUIRE(decoded.ok());
    CHECK(*decoded == rollout);
    CHECK_FALSE(decodeRollout(encodeRollout(rollout, false)).ok());
    CHECK_FALSE(decodeRollout("no JSON").ok());
}
