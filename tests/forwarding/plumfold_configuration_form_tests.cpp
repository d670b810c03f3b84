#include "support/plumfold_command_submitter.hpp"
#include "support/plumfold_example_configuration.hpp"
#include "support/plumfold_serving_system.hpp"

#include "plumfold/platform/plumfold_platform_deployment.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace plumfold;
using nlohmann::json;

namespace {

/// @return the error of a configuration; empty if it is accepted.
std::string errorOf(const json& in)
{
    auto decoded = platform::decodeSubmittedDeployment(in.dump());
    auto status = decoded.ok() ? decoded->check() : decoded.status();
    return std::string(status.message());
}

/// @return the error of the configuration with another value at a place.
std::string errorWith(const std::string& pointer, const json& value)
{
    auto in = tests::exampleConfiguration();
    in[json::json_pointer(pointer)] = value;
    return errorOf(in);
}

/// @return pointers to all members of objects in a value.
std::vector<std::string> membersOf(const json& in, const std::string& place = {})
{
    std::vector<std::string> out;
    for (const auto& [name, value] : in.items()) {
        auto own = place + "/" + name;
        if (in.is_object())
            out.push_back(own);
        if (value.is_structured()) {
            auto inner = membersOf(value, own);
            out.insert(out.end(), inner.begin(), inner.end());
        }
    }
    return out;
}

} // namespace

// Guards against members that are taken for missing ones because their value has the wrong type.
TEST_CASE("A member with null or a value of another type is refused by its place", "[platform][form]")
{
    REQUIRE(errorOf(tests::exampleConfiguration()).empty());
    for (const auto& pointer : membersOf(tests::exampleConfiguration())) {
        INFO(pointer);
        CHECK(errorWith(pointer, nullptr).find(pointer) != std::string::npos);
        auto present = tests::exampleConfiguration()[json::json_pointer(pointer)];
        std::vector<json> others { json::object(), json::array(), "text", 5, true };
        for (const auto& each : others) {
            bool isSameType = each.type() == present.type() || (each.is_number() && present.is_number());
            INFO(each);
            if (!isSameType)
                CHECK(errorWith(pointer, each).find(pointer) != std::string::npos);
        }
    }
    CHECK(errorWith("/tenants/0/api-keys/1", 7).find("/tenants/0/api-keys/1") != std::string::npos);
    CHECK(errorWith("/tenants/0", "p").find("/tenants/0") != std::string::npos);
    CHECK_FALSE(errorOf(json::array()).empty());
}

TEST_CASE("Optional members of a configuration may be missing, required ones may not", "[platform][form]")
{
    const std::set<std::string> required { "/version", "/routes", "/services", "/routes/0/host",
        "/routes/0/path-prefix", "/routes/0/kind", "/routes/0/timeout-ms", "/services/0/name",
        "/services/1/name", "/tenants/0/name", "/tenants/0/api-keys", "/services/0/engine/models/0/name",
        "/routes/0/traffic-split/0/service", "/routes/0/traffic-split/0/weight",
        "/routes/0/traffic-split/1/service", "/routes/0/traffic-split/1/weight", "/routes/0/traffic-split" };
    for (const auto& pointer : membersOf(tests::exampleConfiguration())) {
        auto in = tests::exampleConfiguration();
        json::json_pointer place(pointer);
        in[place.parent_pointer()].erase(place.back());
        INFO(pointer);
        CHECK(errorOf(in).empty() == !required.contains(pointer));
    }
}

TEST_CASE("Unknown members are ignored unless they differ from a known one in case alone", "[platform][form]")
{
    CHECK(errorWith("/comment", "text").empty());
    CHECK(errorWith("/routes/0/comment", nullptr).empty());
    CHECK(errorWith("/Tenants", json::array()).find("/Tenants") != std::string::npos);
    CHECK(errorWith("/routes/0/Public", true).find("/routes/0/Public") != std::string::npos);
}

TEST_CASE("Names that cannot be told apart or sent in a header are refused", "[platform][form]")
{
    json other { { "name", "p" }, { "api-keys", { "m" } } };
    CHECK(errorWith("/tenants/1", other).find("two customers") != std::string::npos);
    other["name"] = "P";
    CHECK(errorWith("/tenants/1", other).empty());
    CHECK(errorWith("/services/2", { { "name", "s" } }).find("two services") != std::string::npos);
    for (const auto* each : { "", " p", "p\t", "p\r\nX: y", "p\x7f" }) {
        INFO(each);
        CHECK(errorWith("/tenants/0/name", each).find("name of customer") != std::string::npos);
        CHECK(errorWith("/tenants/0/api-keys/0", each).find(" key") != std::string::npos);
    }
    CHECK(errorWith("/tenants/0/api-keys/1", "k").empty()); // twice at one customer
    CHECK(errorWith("/tenants/0/name", "p q").empty());
}

// Guards against null in place of the list of customers that is taken for a missing list.
TEST_CASE_METHOD(tests::serving_system, "Null in place of the customers is refused, and lets nobody in",
    "[forwarding][form][keys]")
{
    auto body = deployment(4);
    body["tenants"] = nullptr;
    body["routes"][1]["public"] = true;
    auto [status, reason] = call(1, "PUT", "/configuration", body.dump());
    CHECK(status == 400);
    CHECK(reason.find("/tenants") != std::string::npos);
    tests::submitCommand(*this, 3, { 0, core::adopt_document_command { { 4, body.dump() } } });
    CHECK(eventually([&] { return request(1, "/shop/whole").status == 401; }, 2));
    CHECK(request(1, "/shop/whole", "order", { { "Api-Key", "" } }).status == 401);
    CHECK(request(1, "/stock/whole", "order", { { "Api-Key", "" } }).status == 200);
}
