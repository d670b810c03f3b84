#include "plumfold/platform/plumfold_platform_requests.hpp"

#include <catch2/catch.hpp>

#include <utility>

using namespace plumfold;
using core::milliseconds;

namespace {

platform::target_response_head decode(unsigned status, const char* name, const char* value)
{
    platform::http_fields fields;
    fields.set(name, value);
    return platform::decodeTargetResponse(status, fields);
}

} // namespace

TEST_CASE("A target's limit is read from any response and malformed ones are none", "[forwarding][limit]")
{
    CHECK(decode(200, "Server-Limit", "1.8").maxRequestsPerSecond == 1.8);
    CHECK(decode(503, "Server-Limit", " 6 ").maxRequestsPerSecond == 6.0);
    CHECK(decode(200, "Server-Limit", "0").maxRequestsPerSecond == 0.0);
    CHECK_FALSE(decode(200, "Other", "6").maxRequestsPerSecond);
    const auto* malformed = GENERATE("", "many", "-1", "nan", "inf", "1e999", "6 a second");
    CHECK_FALSE(decode(200, "Server-Limit", malformed).maxRequestsPerSecond);
}

TEST_CASE("A target asks for rest by Retry-After of a 503 only", "[forwarding][rest]")
{
    CHECK(decode(503, "Retry-After", "3").restTime == milliseconds(3'000));
    CHECK(decode(503, "Retry-After", "0.2504").restTime == milliseconds(251));
    CHECK(decode(503, "Retry-After", "1e300").restTime == milliseconds(3'600'000));
    CHECK_FALSE(decode(200, "Retry-After", "3").restTime);
    CHECK_FALSE(decode(429, "Retry-After", "3").restTime);
    const auto* malformed = GENERATE("", "soon", "-3", "nan");
    CHECK_FALSE(decode(503, "Retry-After", malformed).restTime);
}

TEST_CASE("A target says in any response that it leaves", "[forwarding][leaving]")
{
    CHECK(decode(200, "Server-Leaving", "1").isLeaving);
    CHECK(decode(503, "Server-Leaving", "1").isLeaving);
    CHECK_FALSE(decode(200, "Server-Leaving", "0").isLeaving);
    CHECK_FALSE(decode(200, "Other", "1").isLeaving);
}
