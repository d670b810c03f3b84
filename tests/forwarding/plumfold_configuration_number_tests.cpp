#include "support/plumfold_example_configuration.hpp"
#include "support/plumfold_forwarding_system.hpp"

#include "plumfold/platform/plumfold_platform_control_calls.hpp"
#include "plumfold/platform/plumfold_platform_deployment.hpp"
#include "plumfold/platform/plumfold_platform_names.hpp"
#include "plumfold/platform/plumfold_platform_requests.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace plumfold;
using nlohmann::json;

namespace {

absl::StatusOr<core::deployment> decodedWith(const std::string& pointer, const std::string& literal)
{
    auto in = tests::exampleConfiguration();
    in[json::json_pointer(pointer)] = "PLACE";
    auto text = in.dump();
    return platform::decodeDeployment(
        text.replace(text.find("\"PLACE\""), std::string("\"PLACE\"").size(), literal));
}

const std::vector<std::string>& numbers()
{
    static const std::vector<std::string> all { "/version", "/routes/0/timeout-ms",
        "/routes/0/target-latency-ms", "/routes/0/target-gap-ms", "/routes/0/priority",
        "/routes/0/max-attempts", "/routes/0/traffic-split/0/weight", "/services/0/connection-limit",
        "/services/0/cold-start-s", "/services/0/cold-per-s", "/services/0/engine/slots",
        "/services/0/engine/kv-capacity-tokens", "/services/0/engine/kv-token-bytes",
        "/services/0/engine/link-mbps", "/services/1/kv-capacity-tokens", "/services/1/link-mbps",
        "/limits/max-header-bytes", "/limits/max-body-bytes", "/limits/header-timeout-ms",
        "/limits/idle-timeout-ms", "/tenants/0/priority" };
    return all;
}

} // namespace

TEST_CASE("Each number of a configuration may have a fraction of zero or an exponent", "[platform][numbers]")
{
    auto pointer = GENERATE(from_range(numbers()));
    auto literal = GENERATE("5", "5.0", "5e0", "0.5E1");
    INFO(pointer << " " << literal);
    CHECK(decodedWith(pointer, literal).ok());
}

TEST_CASE("Limits and shares of a configuration may have a fraction", "[platform][numbers]")
{
    auto pointer = GENERATE("/routes/0/timeout-ms", "/routes/0/target-latency-ms", "/routes/0/target-gap-ms",
        "/routes/0/traffic-split/0/weight", "/services/0/connection-limit", "/services/0/cold-start-s",
        "/services/0/cold-per-s", "/services/0/engine/slots", "/services/0/engine/kv-capacity-tokens",
        "/services/0/engine/kv-token-bytes", "/services/0/engine/link-mbps", "/services/1/kv-capacity-tokens",
        "/limits/max-header-bytes", "/limits/max-body-bytes", "/limits/header-timeout-ms",
        "/limits/idle-timeout-ms");
    INFO(pointer);
    CHECK(decodedWith(pointer, "64.5").ok());
}

TEST_CASE("Fractions of limits are left out, and those of durations are rounded up", "[platform][numbers]")
{
    auto slots = decodedWith("/services/0/engine/slots", "64.9");
    REQUIRE(slots.ok());
    CHECK(slots->findService("s")->engine->slots == 64);
    auto timeout = decodedWith("/routes/0/timeout-ms", "0.4");
    REQUIRE(timeout.ok());
    CHECK(timeout->check().ok());
    CHECK(timeout->routes().front().timeout == core::milliseconds(1));
}

TEST_CASE("Any number in a configuration is decoded, or refused", "[platform][numbers][property]")
{
    rc::prop("any number at any place", [] {
        auto pointer = *rc::gen::elementOf(numbers());
        auto literal = std::to_string(*rc::gen::arbitrary<std::int64_t>()) + "."
            + std::to_string(*rc::gen::inRange(0, 1000)) + "e" + std::to_string(*rc::gen::inRange(-400, 400));
        auto decoded = decodedWith(pointer, literal);
        RC_LOG(pointer + " " + literal);
        RC_ASSERT(decoded.ok() || !decoded.status().message().empty());
        if (literal.front() == '-' && literal.substr(0, 2) != "-0")
            RC_ASSERT(!decoded.ok() || literal.find("e-") != std::string::npos);
    });
}

TEST_CASE("Versions, priorities and sequences that are not whole are refused", "[platform][numbers]")
{
    CHECK_FALSE(decodedWith("/version", "7.5").ok());
    CHECK_FALSE(decodedWith("/routes/0/priority", "1.5").ok());
    auto call = platform::decodeControlCall("POST", "/version-put", R"({"model":"m","version":2.5})");
    CHECK(std::holds_alternative<platform::malformed_call>(call));
}

TEST_CASE("Requests are split by weights with fractions", "[platform][numbers]")
{
    auto in = tests::exampleConfiguration();
    in["routes"][0]["traffic-split"]
        = { { { "service", "s" }, { "weight", 0.75 } }, { { "service", "t" }, { "weight", 0.25 } } };
    auto decoded = platform::decodeDeployment(in.dump());
    REQUIRE(decoded.ok());
    REQUIRE(decoded->check().ok());
    constexpr std::uint64_t draws = 1000;
    int toFirst = 0;
    for (std::uint64_t draw = 0; draw < draws; ++draw)
        toFirst += *core::chooseService(decoded->routes().front(), draw * (UINT64_MAX / draws)) == "s";
    CHECK(toFirst >= 749);
    CHECK(toFirst <= 751);
}

TEST_CASE("A caller's deadline may have a fraction", "[platform][numbers]")
{
    platform::http_fields fields;
    fields.set(platform::names::deadline, "1234.9");
    CHECK(platform::decodeCallerRequest(fields).deadline == core::milliseconds(1234));
}

TEST_CASE("A configuration with fractions is served", "[forwarding][numbers]")
{
    tests::forwarding_system system;
    for (int number = 1; number <= 3; ++number)
        system.startControl(number);
    auto body = system.deployment(1);
    body["routes"][0]["timeout-ms"] = 2500.5;
    body["services"][0]["connection-limit"] = 99.5;
    body["limits"]["max-body-bytes"] = 1e4;
    REQUIRE(system.putDeployment(1, body));
    system.startEntry(1);
    system.startTarget("t1");
    system.waitForTarget(1);
    CHECK(system.request(1, "/shop/whole").status == 200);
}

TEST_CASE("The error of a number names its member", "[platform][numbers]")
{
    for (const auto* each :
        { "version", "routes/0/priority", "routes/0/timeout-ms", "routes/0/traffic-split/0/weight",
            "services/0/connection-limit", "services/0/cold-per-s", "tenants/0/priority" }) {
        auto decoded = decodedWith("/" + std::string(each), "-1");
        std::string name(each);
        name = name.substr(name.rfind('/') + 1);
        INFO(each);
        REQUIRE_FALSE(decoded.ok());
        CHECK(std::string(decoded.status().message()).find(name + ": ") != std::string::npos);
    }
}
