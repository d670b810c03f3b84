#include "support/plumfold_command_submitter.hpp"
#include "support/plumfold_partitioned_system.hpp"
#include "support/plumfold_serving_system.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plumfold;
using namespace plumfold::tests;
using nlohmann::json;

namespace {

constexpr int applyTime = 2; // seconds from an acknowledgement until all entries use the deployment
constexpr int unauthorized = 401;
const std::map<std::string, std::string> withoutKey { { "Api-Key", "" } };

json without(json deployment, const char* member)
{
    deployment.erase(member);
    return deployment;
}

class keyless_system : public serving_system {
public:
    keyless_system() { startAnnouncing(); }

    int statusWithout(int entry = 1, const std::string& path = "/shop/whole")
    {
        return request(entry, path, "order", withoutKey).status;
    }

    bool answersInTime(int status)
    {
        return eventually([&] { return statusWithout() == status; }, applyTime);
    }

    /// Stores a configuration without the checks of the platform interface.
    void store(const json& body)
    {
        auto version = body["version"].get<std::uint64_t>();
        submitCommand(*this, 3, { 0, core::adopt_document_command { { version, body.dump() } } });
    }
};

} // namespace

// Guards against a deployment without customers under which each request is refused.
TEST_CASE_METHOD(
    keyless_system, "Under a deployment without customers requests need no key", "[forwarding][keys]")
{
    raw_caller kept(callerAddress(1));
    auto statusOnKept = [&] {
        kept.send(requestBytes("/shop/whole", nextId(), "order", withoutKey));
        return kept.receive().status;
    };
    CHECK(statusOnKept() == unauthorized);
    REQUIRE(putDeployment(1, without(deployment(4), "tenants")));
    CHECK(answersInTime(200));
    CHECK(statusOnKept() == 200);
    for (const auto* path : { "/shop/whole", "/stock/whole", "/words/events" })
        CHECK(statusWithout(1, path) == 200);
    CHECK(request(1, "/shop/whole", "order", { { "Api-Key", "key-1" } }).status == 200);
    CHECK(
        request(1, "/shop/whole", "order", { { "Api-Key", "key-9" }, { "Tenant", "forged" } }).status == 200);
    for (const auto* name : { "t1", "t2" }) {
        auto requests = target(name).requests();
        CHECK(std::none_of(requests.begin(), requests.end(), [](const auto& each) {
            return each.headers.contains("api-key")
                || (each.headers.contains("tenant") && each.headers.at("tenant") != "espuma");
        }));
    }
    REQUIRE(putDeployment(1, deployment(5)));
    CHECK(answersInTime(unauthorized));
    CHECK(statusOnKept() == unauthorized);
    CHECK(request(1, "/shop/whole").status == 200);
}

// Guards against an empty list of customers that is taken for none.
TEST_CASE_METHOD(keyless_system, "Under a deployment with an empty list of customers each key is unknown",
    "[forwarding][keys]")
{
    auto body = deployment(4);
    body["tenants"] = json::array();
    body["routes"][1]["public"] = true;
    REQUIRE(putDeployment(1, body));
    CHECK(eventually([&] { return request(1, "/shop/whole").status == unauthorized; }, applyTime));
    CHECK(statusWithout() == unauthorized);
    CHECK(statusWithout(1, "/stock/whole") == 200);
}

// Guards against requests without a key that pass as those of a customer with an empty key.
TEST_CASE_METHOD(keyless_system, "An empty key lets nobody in", "[forwarding][keys]")
{
    auto body = deployment(4);
    body["tenants"][0]["api-keys"] = { "key-2", "" };
    auto [status, reason] = call(1, "PUT", "/configuration", body.dump());
    CHECK(status == 400);
    CHECK(reason.find("empty key") != std::string::npos);
    store(body); // as a former version accepted it
    CHECK(eventually(
        [&] {
            return request(1, "/shop/whole", "order", { { "Api-Key", "key-2" } }).status == 200;
        },
        applyTime));
    CHECK(statusWithout() == unauthorized);
}

// Guards against entries that reach no target and refuse requests under a deployment without customers, since
// no other entry takes them.
TEST_CASE("An entry that reaches no target is helped under a deployment without customers",
    "[forwarding][keys][partition]")
{
    partitioned_system system;
    auto relayed = [&](const std::string& customer) {
        raw_caller caller(system.relayAddress(2));
        caller.send(partitioned_system::requestBytes("/stock/whole", partitioned_system::nextId(), "order",
            { { "Api-Key", "" }, { "Plumfold-Relay-Secret", "test" }, { "Plumfold-Relay-Customer", customer },
                { "Plumfold-Relay-Service", "shop" }, { "Plumfold-Relay-Time-Left", "1000" },
                { "Plumfold-Relay-Attempts-Left", "1" } }));
        return caller.receive().status;
    };
    CHECK(relayed("espuma") == 200);
    CHECK(relayed("") == 503); // admitted under another deployment
    REQUIRE(system.putDeployment(1, without(system.deployment(4), "tenants")));
    auto isServed
        = [&](int entry) { return system.request(entry, "/stock/whole", "order", withoutKey).status == 200; };
    for (int entry = 1; entry <= partitioned_system::entries; ++entry)
        CHECK(system.eventually([&] { return isServed(entry); }, applyTime));
    CHECK(relayed("") == 200);
    CHECK(relayed("espuma") == 503);

    system.setLink(1, link_state::resetting);
    REQUIRE(system.eventually([&] {
        isServed(1);
        return system.logOf("n1").find("event=link_lost") != std::string::npos;
    }));
    constexpr int requests = 40;
    int served = 0;
    for (int count = 0; count < requests; ++count) {
        served += isServed(1);
        system.sleepFor(std::chrono::milliseconds(50));
    }
    CHECK(served >= requests * 9 / 10);
}
