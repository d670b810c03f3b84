#include "support/plumfold_forwarding_system.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace plumfold::tests;
using nlohmann::json;

namespace {

constexpr int malformed = 400;

/// Three control VMs and an entry for two customers, of which one is isolated, and an engine service.
class engine_system : public forwarding_system {
public:
    /// @param models that the deployment says the engines have.
    explicit engine_system(const std::vector<std::string>& models)
    {
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        auto body = deployment(3);
        json names = json::array();
        for (const auto& each : models)
            names.push_back({ { "name", each } });
        body["services"].front()["engine"] = { { "slots", 64 }, { "kv-capacity-tokens", 90'000 },
            { "kv-token-bytes", 18'432 }, { "link-mbps", 1000.0 }, { "models", names } };
        body["tenants"].push_back({ { "name", "isla" }, { "api-keys", { "key-2" } }, { "isolated", true } });
        putDeployment(1, body);
        startEntry(1);
        startAnnouncing();
    }

    /// Sends a request whose prompt shares its first part with all others.
    /// @param model empty: none is named.
    /// @return the HTTP status.
    int send(const std::string& key, const std::string& model)
    {
        return request(1, "/stock/whole", "check",
            { { "Api-Key", key }, { "Model", model }, { "Token-Usage", "900,80" },
                { "Prompt-Prefix", "5c1e07a2:800,91bd3f06:100" } })
            .status;
    }

    /// Sends an announcement without models for a target to all control VMs.
    /// @return the HTTP statuses.
    std::set<int> announceWithoutModels(const std::string& target)
    {
        json body { { "service", "shop" }, { "address", targetAddress(target) }, { "zone", "east" },
            { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold-remaining-ms", 0 },
            { "sequence", 1'000'000 }, { "born", 1 } };
        std::set<int> statuses;
        for (int number = 1; number <= 3; ++number)
            statuses.insert(call(number, "PUT", "/instances/" + target, body.dump()).first);
        return statuses;
    }
};

/// @return the cache namespaces of the requests of a customer; an empty one for requests without.
std::set<std::string> namespacesOf(const scripted_target& target, const std::string& customer)
{
    std::set<std::string> out;
    for (const auto& each : target.requests()) {
        auto found = each.headers.find("cache-salt");
        if (each.headers.contains("tenant") && each.headers.at("tenant") == customer)
            out.insert(found == each.headers.end() ? std::string() : found->second);
    }
    return out;
}

} // namespace

// Guards against requests without a cache namespace, whose KV parts all customers share.
TEST_CASE(
    "Requests on unknown weights share no KV parts with an isolated customer", "[forwarding][unnamed_models]")
{
    engine_system system({});
    std::string model = GENERATE("words", "");
    CAPTURE(model);
    auto& target = system.startTarget("t1");
    REQUIRE(system.eventually([&] { return system.send("key-1", model) == 200; }));
    for (int round = 0; round < 5; ++round) {
        CHECK(system.send("key-1", model) == 200);
        CHECK(system.send("key-2", model) == 200);
    }
    auto shared = namespacesOf(target, "espuma");
    auto isolated = namespacesOf(target, "isla");
    CHECK(!shared.empty());
    CHECK(!isolated.empty());
    for (const auto& each : isolated) {
        CHECK(!each.empty());
        CHECK(!shared.contains(each));
    }
    CHECK(!shared.contains(""));
}

// Guards against targets that are used although their announcements lack the models that their service has.
TEST_CASE("An engine whose announcements lack its models gets no requests until they name them",
    "[forwarding][unnamed_models]")
{
    engine_system system({ "words" });
    system.startTarget(
        "t1", "shop", {}, "v1", [](auto& each) { each.setWeights("words", 4, order_behaviour::execute); });
    REQUIRE(system.eventually([&] { return system.send("key-1", "words") == 200; }));
    std::vector<scripted_target*> unnamed;
    for (const auto* name : { "t2", "t3", "t4", "t5" }) {
        unnamed.push_back(&system.startTarget(name));
        CHECK(system.announceWithoutModels(name) == std::set<int> { malformed });
    }
    for (int round = 0; round < 20; ++round) {
        CHECK(system.send("key-1", "words") == 200);
        CHECK(system.send("key-2", "words") == 200);
    }
    for (const auto* each : unnamed)
        CHECK(each->requests().empty());

    SECTION("an incomplete announcement does not displace the one before")
    {
        CHECK(system.announceWithoutModels("t1") == std::set<int> { malformed });
        for (int round = 0; round < 20; ++round)
            CHECK(system.send("key-2", "words") == 200);
    }
    SECTION("a complete announcement follows")
    {
        auto& named = system.startTarget("t6", "shop", {}, "v1",
            [](auto& each) { each.setWeights("words", 4, order_behaviour::execute); });
        CHECK(system.eventually([&] {
            system.send("key-1", "words");
            return !named.requests().empty();
        }));
    }
}
