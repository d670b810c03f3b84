#include "support/plumfold_forwarding_system.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <set>
#include <sstream>
#include <string>

using namespace plumfold::tests;

namespace {

constexpr int entries = 2;
constexpr int targets = 4;

/// Two entries of one failure domain with four targets, and requests with prompts.
class home_system : public forwarding_system {
public:
    explicit home_system(bool usesHomes)
    {
        if (usesHomes)
            enableHomeEngines();
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        auto body = deployment(3);
        for (auto& route : body["routes"])
            route["sticky-sessions"] = route["kind"] == "streaming";
        putDeployment(1, body);
        for (int number = 1; number <= entries; ++number)
            startEntry(number);
        for (int number = 1; number <= targets; ++number)
            startTarget("t" + std::to_string(number));
        startAnnouncing();
        for (int number = 1; number <= entries; ++number)
            waitForTarget(number);
    }

    raw_response send(int entry)
    {
        return request(entry, "/words/events", "order " + nextId(),
            { { "Prompt-Prefix", "kind:600," + nextId() + ":40" }, { "Token-Usage", "900,6" } });
    }

    /// @return the targets of the requests whose end an entry has logged with a text.
    std::set<std::string> targetsOf(int entry, const std::string& text)
    {
        std::istringstream lines(logOf("n" + std::to_string(entry)));
        std::set<std::string> out;
        for (std::string line; std::getline(lines, line);) {
            auto target = line.find(" target=");
            bool isEnd = line.find("event=request_ended ") != std::string::npos;
            if (isEnd && target != std::string::npos && line.find(text) != std::string::npos)
                out.insert(line.substr(target + 8, 2));
        }
        return out;
    }
};

} // namespace

// Guards against entries that never learn their position, and against entries whose homes overlap.
TEST_CASE("Entries of a failure domain send prompts to different idle engines", "[forwarding][homes]")
{
    home_system system(true);
    // Each entry must have heard of the other one.
    REQUIRE(system.eventually([&] {
        for (int number = 1; number <= entries; ++number) {
            if (system.send(number).status != 200)
                return false;
        }
        return system.logOf("n1").find("domain_entries=2") != std::string::npos
            && system.logOf("n2").find("domain_entries=2") != std::string::npos;
    }));
    auto before
        = std::array { system.targetsOf(1, "home_share=0.00"), system.targetsOf(2, "home_share=0.00") };
    for (int count = 0; count < 20; ++count) {
        for (int number = 1; number <= entries; ++number)
            CHECK(system.send(number).status == 200);
    }
    CHECK(system.eventually([&] { return system.targetsOf(2, "home_share=1.00").size() >= 2; }));
    CHECK(system.targetsOf(1, "home_share=0.00") == before[0]);
    CHECK(system.targetsOf(2, "home_share=0.00") == before[1]);
    CHECK(system.logOf("n1").find("index=0 domain_entries=2") != std::string::npos);
    CHECK(system.logOf("n2").find("index=1 domain_entries=2") != std::string::npos);
}

TEST_CASE("Without the setting no home is used", "[forwarding][homes]")
{
    home_system system(false);
    for (int count = 0; count < 5; ++count)
        CHECK(system.send(1).status == 200);
    CHECK(system.eventually([&] { return !system.targetsOf(1, "first_event_ms=").empty(); }));
    CHECK(system.logOf("n1").find("home_share") == std::string::npos);
    CHECK(system.logOf("n1").find("position_known") == std::string::npos);
}
