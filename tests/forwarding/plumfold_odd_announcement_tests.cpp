#include "support/plumfold_forwarding_system.hpp"
#include "support/plumfold_steady_callers.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::tests;
using nlohmann::json;

namespace {

constexpr int malformed = 400;

/// Three control VMs, an entry and a target.
class announced_system : public forwarding_system {
public:
    announced_system()
    {
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        putDeployment(1, deployment(3));
        startEntry(1);
        startTarget("t1");
        startAnnouncing();
        waitForTarget(1);
    }

    /// Sends an announcement to all control VMs.
    void announceToAll(const std::string& name, const std::string& body)
    {
        for (int number = 1; number <= 3; ++number) {
            CAPTURE(name, number, body.substr(0, 300));
            CHECK(call(number, "PUT", "/instances/" + name, body).first == malformed);
        }
    }

    bool areAllRunning()
    {
        bool areRunning = process("n1").isRunning();
        for (int number = 1; number <= 3; ++number)
            areRunning = process("c" + std::to_string(number)).isRunning() && areRunning;
        return areRunning;
    }
};

/// @return a valid announcement of a model engine.
json engine()
{
    return { { "service", "shop" }, { "address", "127.0.0.9:8080" }, { "zone", "east" }, { "version", "v1" },
        { "slots", 8 }, { "state", "ready" }, { "cold-remaining-ms", 0 }, { "sequence", 5 }, { "born", 1000 },
        { "models", { { { "name", "words" }, { "version", 1 }, { "adapters", json::array() } } } } };
}

std::string engineWith(const std::string& field, const json& value)
{
    auto body = engine();
    body[field] = value;
    return body.dump();
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_CASE("Odd announcements end no process, and targets that are announced later are used",
    "[forwarding][announcements]")
{
    announced_system system;
    std::vector<std::string> bodies;
    for (const char* address : { "127.0.0.9:70000", "127.0.0.9:0", "127.0.0.9:-1", "127.0.0.9", ":8080",
             "127.0.0.9:", "127.0.0.900:8080", "no address", "127.0.0.9:8080:9", "127.0.0.9:80x", "" })
        bodies.push_back(engineWith("address", address));
    bodies.push_back(engineWith("slots", 1e300));
    bodies.push_back(engineWith("slots", 1ull << 40));
    bodies.push_back(engineWith("slots", -1));
    bodies.push_back(engineWith("born", -1));
    bodies.push_back(engineWith("born", 1e300));
    bodies.push_back(engineWith("sequence", 1.5));
    bodies.push_back(engineWith("cold-remaining-ms", 1e300));
    bodies.push_back(engineWith("cold-remaining-ms", -1e300));
    bodies.push_back(engineWith("models", { { { "name", "words" }, { "version", 1e300 } } }));
    bodies.push_back(engineWith("models", 7));
    bodies.push_back(engineWith("models", nullptr));
    bodies.push_back(engineWith("models", json::object()));
    auto text = engine().dump();
    auto withSlots = [&](const std::string& slots) {
        auto out = text;
        return out.replace(out.find("\"slots\":8"), 9, "\"slots\":" + slots);
    };
    bodies.push_back(withSlots("1e999"));
    bodies.push_back(withSlots(std::string(400, '9')));
    bodies.push_back(withSlots(nested(100'000)));
    bodies.push_back(nested(1'000'000));
    bodies.push_back(withSlots("\"\xff\xfe\""));
    for (std::size_t number = 0; number < bodies.size(); ++number)
        system.announceToAll("odd" + std::to_string(number), bodies[number]);
    // Long enough for several polls of each announced engine.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    CHECK(system.areAllRunning());
    auto& later = system.startTarget("t2");
    steady_callers callers(system, { 1 }, 40, "/shop/work"); // more at a time than one idle target gets
    CHECK(system.eventually([&] { return !later.requests().empty(); }));
    callers.stop();
    CHECK(system.areAllRunning());
}

TEST_CASE("Odd addresses of stores in a configuration end no process", "[forwarding][announcements]")
{
    announced_system system;
    auto body = system.deployment(4);
    for (const char* address : { "127.0.0.9:70000", "no address", "" })
        body["services"].push_back({ { "name", "store" + std::string(address) },
            { "kv-store-address", address }, { "zone", "east" }, { "kv-capacity-tokens", 1000 } });
    CHECK(system.putDeployment(1, body));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    CHECK(system.areAllRunning());
    CHECK(system.request(1, "/shop/whole").status == 200);
}

TEST_CASE("A configuration that is not valid UTF-8 is refused", "[forwarding][announcements]")
{
    announced_system system;
    auto body = system.deployment(4).dump();
    body.replace(body.find("shop.example"), 2, "\xff\xfe");
    CHECK(system.call(1, "PUT", "/configuration", body).first == malformed);
    CHECK(system.areAllRunning());
}
