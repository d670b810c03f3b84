#include "process/support/plumfold_process_memory.hpp"
#include "support/plumfold_large_configuration.hpp"
#include "support/plumfold_slow_machines.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::tests;

TEST_CASE("Large configurations are acknowledged in time by control VMs on slow machines",
    "[forwarding][large_configuration]")
{
    constexpr int routes = 4'200;
    constexpr double share = 0.3 / 5; // of a processor: a machine of the sheets that runs five times slower
    constexpr std::chrono::milliseconds acknowledgeBound { 5'000 };
    forwarding_system system;
    std::vector<int> processes;
    for (int number = 1; number <= 3; ++number) {
        system.startControl(number);
        processes.push_back(system.process("c" + std::to_string(number)).id());
    }
    auto body = large_configuration_system::grow(system.deployment(3), routes);
    REQUIRE(system.putDeployment(1, system.deployment(3)));
    slow_machines slow(processes, share);
    for (int number = 1; number <= 3; ++number) {
        body["version"] = 3 + number;
        auto sentAt = std::chrono::steady_clock::now();
        CHECK(system.putDeployment(number, body));
        CHECK(std::chrono::steady_clock::now() - sentAt <= acknowledgeBound);
    }
}

TEST_CASE("Control VMs bear two hundred changes of a large configuration within their memory and disk",
    "[forwarding][large_configuration]")
{
    constexpr int routes = 4'200;
    constexpr int changes = 200;
    constexpr std::size_t memory = 256 << 20;
    constexpr std::size_t disk = 128 << 20;
    forwarding_system system;
    for (int number = 1; number <= 3; ++number)
        system.startControl(number);
    auto body = large_configuration_system::grow(system.deployment(3), routes);
    for (int change = 0; change < changes; ++change) {
        body["version"] = 3 + change;
        REQUIRE(system.putDeployment(1 + change % 3, body));
    }
    for (int number = 1; number <= 3; ++number) {
        auto name = "c" + std::to_string(number);
        CAPTURE(name);
        CHECK(peakBytesOf(system.process(name).id()) < memory);
        CHECK(system.folderBytes(name) < disk);
        CHECK(nlohmann::json::parse(system.call(number, "GET", "/configuration").second)["version"]
            == 3 + changes - 1);
    }
}

TEST_CASE("A configuration that is sent again takes no further place in the log",
    "[forwarding][large_configuration]")
{
    constexpr int routes = 4'200;
    constexpr int repeats = 6;
    forwarding_system system;
    for (int number = 1; number <= 3; ++number)
        system.startControl(number);
    auto body = large_configuration_system::grow(system.deployment(3), routes);
    REQUIRE(system.putDeployment(1, body));
    auto before = system.folderBytes("c1");
    for (int repeat = 0; repeat < repeats; ++repeat)
        REQUIRE(system.putDeployment(1 + repeat % 3, body));
    CHECK(system.folderBytes("c1") - before < before / 4);
}
