#include "support/plumfold_test_system.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <future>
#include <thread>

using namespace plumfold;
using tests::test_system;

namespace {

class control_system : public test_system {
public:
    control_system()
    {
        startControl();
        startEntry(1);
        waitForRevision(1, 7);
    }

    std::uint64_t revision()
    {
        auto audit = nlohmann::json::parse(plumfold({ "audit", "--output", "json" }), nullptr, false);
        return audit.empty() ? 0 : audit.back()["revision"].get<std::uint64_t>();
    }

    int put(const std::string& domain, std::vector<std::string> more = {})
    {
        std::vector<std::string> arguments { "failure-domain", "put", domain };
        arguments.insert(arguments.end(), more.begin(), more.end());
        int code = -1;
        plumfold(arguments, &code);
        return code;
    }
};

} // namespace

TEST_CASE_METHOD(
    control_system, "Exactly one of several concurrent changes at the same revision is accepted", "[control]")
{
    std::vector<std::future<int>> writers;
    for (int index = 0; index < 6; ++index) {
        writers.push_back(std::async(std::launch::async, [&, index] {
            return put("race-" + std::to_string(index), { "--revision", "7" });
        }));
    }
    int accepted = 0;
    int conflicts = 0;
    for (auto& writer : writers) {
        int code = writer.get();
        accepted += code == 0;
        conflicts += code == 4;
    }
    CHECK(accepted == 1);
    CHECK(conflicts == 5);
    CHECK(revision() == 8);
}

TEST_CASE_METHOD(control_system, "A retried change gets the same result and is applied once", "[control]")
{
    CHECK(put("north", { "--revision", "7", "--request-id", "r1" }) == 0);
    process("control-" + std::to_string(leader())).kill();
    CHECK(put("north", { "--revision", "7", "--request-id", "r1" }) == 0);
    CHECK(revision() == 8);
}

TEST_CASE_METHOD(
    control_system, "Accepted changes survive the loss of the leader and reach the entry", "[control][kill]")
{
    for (int round = 0; round < 3; ++round) {
        REQUIRE(put("d" + std::to_string(round)) == 0);
        int leading = leader();
        process("control-" + std::to_string(leading)).kill();
        REQUIRE(put("x" + std::to_string(round)) == 0);
        waitForRevision(1, 7 + 2 * static_cast<std::uint64_t>(round + 1));
        startControlVm(leading);
    }
    CHECK(revision() == 13);
}

TEST_CASE_METHOD(control_system, "A leader that is paused until another one is elected reverts nothing",
    "[control][pause]")
{
    int old = leader();
    process("control-" + std::to_string(old)).pause();
    CHECK(eventually([&] { return put("paused") == 0; }));
    waitForRevision(1, 8);
    process("control-" + std::to_string(old)).resume();
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(put("resumed") == 0);
    CHECK(revision() == 9);
    waitForRevision(1, 9);
}

TEST_CASE_METHOD(control_system, "A restarted entry never serves an older configuration", "[control][entry]")
{
    REQUIRE(put("newest") == 0);
    process("entry-1").kill();
    startEntry(1);
    REQUIRE(eventually([&] { return readiness(1).value("ready", false); }));
    CHECK(readiness(1)["revision"] == 8);
    SECTION("with the configuration from a peer while no control VM responds")
    {
        startEntry(2);
        waitForRevision(2, 8);
        for (int number = 1; number <= 3; ++number)
            process("control-" + std::to_string(number)).pause();
        process("entry-1").kill();
        startEntry(1);
        CHECK(eventually([&] { return readiness(1).value("revision", 0) == 8; }));
        for (int number = 1; number <= 3; ++number)
            process("control-" + std::to_string(number)).resume();
    }
}

TEST_CASE_METHOD(
    control_system, "A second disk can be lost as soon as the first one is replaced", "[control][disk]")
{
    // The disk is replaced once its node is a voter again and has applied everything that is committed.
    auto isReplaced = [&](int victim) {
        auto status = nlohmann::json::parse(plumfold({ "status", "--output", "json" }), nullptr, false);
        for (const auto& each : status) {
            auto isVoter = [](const nlohmann::json& member) { return member["voter"].get<bool>(); };
            auto voters = std::count_if(each["members"].begin(), each["members"].end(), isVoter);
            bool isVictim = each["node"] == "control-" + std::to_string(victim);
            if (isVictim && voters == 3 && each["revision"] == revision()
                && each["applied_index"] == each["commit_index"])
                return true;
        }
        return false;
    };
    for (int loss = 0; loss < 2; ++loss) {
        int victim = leader() % 3 + 1;
        std::string name = "control-" + std::to_string(victim);
        process(name).kill();
        removeFolder(name);
        startControlVm(victim);
        REQUIRE(eventually([&] { return isReplaced(victim); }));
        CHECK(put("loss" + std::to_string(loss)) == 0);
    }
    CHECK(revision() == 9);
}

TEST_CASE_METHOD(control_system,
    "A torn last record is truncated and an earlier corrupt record is rejected with a remedy",
    "[control][disk]")
{
    int victim = leader() % 3 + 1;
    std::string name = "control-" + std::to_string(victim);
    std::string log = folder(name) + "/log";
    REQUIRE(put("one") == 0);
    process(name).kill();
    int code = -1;
    SECTION("torn last record")
    {
        std::ofstream(log, std::ios::app) << "\x40\x01";
        plumfold({ "state", "verify", folder(name) }, &code);
        CHECK(code == 0);
        startControlVm(victim);
        CHECK(put("two") == 0);
        CHECK(process(name).isRunning());
    }
    SECTION("earlier corrupt record")
    {
        {
            std::fstream file(log, std::ios::in | std::ios::out | std::ios::binary);
            file.seekp(20);
            file.put('X');
        }
        std::string output = plumfold({ "state", "verify", folder(name) }, &code);
        CHECK(code != 0);
        CHECK(output.find("move the data folder away") != std::string::npos);
        startControlVm(victim);
        CHECK(eventually([&] { return !process(name).isRunning(); }));
        CHECK(put("two") == 0); // the other control VMs are a quorum
    }
}

TEST_CASE("A full data folder rejects changes and still serves reads", "[control][disk]")
{
    test_system system;
    system.extraSettings("control", { { "maxDataBytes", 80'000 } });
    system.startControl();
    int code = 0;
    for (int index = 0; index < 200 && code == 0; ++index)
        system.plumfold({ "failure-domain", "put", "d" + std::to_string(index) }, &code);
    CHECK(code == 5);
    std::string list = system.plumfold({ "status", "--output", "json" }, &code);
    CHECK(code == 0);
    CHECK(list.find("\"leader\"") != std::string::npos);
}

TEST_CASE("A process with invalid settings exits with code 2", "[settings]")
{
    test_system system;
    system.extraSettings("control", { { "electionTimeoutMs", 1 }, { "colour", "blue" } });
    system.startControlVm(1);
    CHECK(tests::test_system::eventually([&] { return !system.process("control-1").isRunning(); }));
    CHECK(system.process("control-1").stop() == 2);
}
