#include "support/plumfold_forwarding_system.hpp"

#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace plumfold::tests;

namespace {

using std::chrono::milliseconds;

constexpr int platformPort = 7080;
constexpr milliseconds callerPatience { 1'000 }; // after which operators call another control VM
constexpr milliseconds standstill { 3'000 };
constexpr milliseconds observation { 1'500 };

std::string orderOf(const std::string& version, const std::string& service = "shop")
{
    return nlohmann::json { { "service", service }, { "to", version }, { "duration-s", 600.5 } }.dump();
}

/// Three control VMs that serve rollouts.
class rollout_order_system : public forwarding_system {
public:
    rollout_order_system()
    {
        serveRollouts();
        start(true);
    }

    void start(bool firstStart)
    {
        for (int number = 1; number <= 3; ++number)
            startControl(number, firstStart);
    }

    /// Orders a rollout as operators do: again after a response 5xx or none.
    /// @return the final status.
    int order(int control, const std::string& version)
    {
        int status = 0;
        eventually(
            [&] {
                status = call(control, "POST", "/rollouts", orderOf(version)).first;
                return status != 0 && status < 500;
            },
            5);
        return status;
    }

    /// Runs `plumfold rollout` with arguments.
    /// @return its exit code and output; -1 if it did not end in time.
    std::pair<int, std::string> runCommand(const std::vector<std::string>& arguments)
    {
        std::vector<std::string> command { PLUMFOLD_CLI, "rollout", "--platform",
            address(11, platformPort) + ',' + address(12, platformPort) };
        command.insert(command.end(), arguments.begin(), arguments.end());
        auto name = "command" + std::to_string(++m_commands);
        auto file = folder() / (name + ".out");
        test_process run(command, file.string());
        if (!eventually([&] { return !run.isRunning(); }))
            return { -1, {} };
        return { run.stop(), logOf(name) };
    }

    /// @return the version of the latest rollout, as soon as a quorum confirms it.
    std::string latestVersion(int control)
    {
        std::pair<int, std::string> response;
        eventually([&] {
            response = call(control, "GET", "/rollouts/shop");
            return response.first == 200 || response.first == 404;
        });
        return response.first == 200 ? nlohmann::json::parse(response.second).at("to").get<std::string>()
                                     : "";
    }

private:
    int m_commands = 0;
};

} // namespace

// Guards against an acknowledged order that a power loss undoes.
TEST_CASE_METHOD(rollout_order_system, "An acknowledged rollout outlives the kill of all control VMs",
    "[forwarding][rollout]")
{
    REQUIRE(putDeployment(1, deployment(3)));
    REQUIRE(order(GENERATE(1, 2, 3), "v2") == 200);
    for (const char* name : { "c1", "c2", "c3" })
        process(name).kill();
    start(false);
    for (int control = 1; control <= 3; ++control)
        CHECK(latestVersion(control) == "v2");
    CHECK(order(1, "v2") == 200);
    CHECK(order(2, "v3") == 409);
}

// Guards against an order whose response was lost and that is refused when it is sent again.
TEST_CASE_METHOD(rollout_order_system,
    "A rollout that is ordered again is acknowledged by every control VM, and another version is refused",
    "[forwarding][rollout]")
{
    REQUIRE(putDeployment(1, deployment(3)));
    CHECK(call(1, "GET", "/rollouts/shop").first == 404);
    REQUIRE(order(1, "v2") == 200);
    auto details = call(1, "GET", "/rollouts/shop?detailed").second;
    auto id = nlohmann::json::parse(details).at("id").get<std::uint64_t>();
    for (int control = 1; control <= 3; ++control) {
        CAPTURE(control);
        CHECK(order(control, "v2") == 200);
        CHECK(order(control, "v3") == 409);
        CHECK(call(control, "GET", "/rollouts/shop").second == R"({"state":"running","to":"v2"})");
        auto now = nlohmann::json::parse(call(control, "GET", "/rollouts/shop?detailed").second);
        CHECK(now.at("id").get<std::uint64_t>() == id);
        CHECK(eventually([&] {
            return logOf("c" + std::to_string(control)).find("rollout_ordered") != std::string::npos;
        }));
    }
    CHECK(call(2, "GET", "/rollouts/stock").first == 404);
}

// Guards against orders that a control VM acknowledges or refuses for good without knowing the deployment.
TEST_CASE_METHOD(rollout_order_system,
    "Orders of rollouts are refused as long as there is no deployment, and for services that it lacks",
    "[forwarding][rollout]")
{
    REQUIRE(eventually([&] { return call(1, "GET", "/rollouts/shop").first == 404; }));
    CHECK(call(1, "POST", "/rollouts", orderOf("v2")).first == 503);
    REQUIRE(putDeployment(2, deployment(3)));
    for (int control = 1; control <= 3; ++control) {
        CAPTURE(control);
        CHECK(call(control, "POST", "/rollouts", orderOf("v2", "other")).first == 400);
        CHECK(call(control, "POST", "/rollouts", "{}").first == 400);
    }
    CHECK(latestVersion(3).empty());
}

TEST_CASE_METHOD(
    rollout_order_system, "Without a quorum rollouts are neither ordered nor read", "[forwarding][rollout]")
{
    REQUIRE(putDeployment(1, deployment(3)));
    REQUIRE(order(1, "v2") == 200);
    for (const char* name : { "c2", "c3" })
        process(name).pause();
    auto begin = std::chrono::steady_clock::now();
    CHECK(call(1, "POST", "/rollouts", orderOf("v2")).first == 503);
    CHECK(call(1, "GET", "/rollouts/shop").first == 503);
    CHECK(std::chrono::steady_clock::now() - begin < 2 * callerPatience);
    for (const char* name : { "c2", "c3" })
        process(name).resume();
    CHECK(latestVersion(1) == "v2");
    CHECK(order(1, "v2") == 200);
}

// Guards against an order that its operator has given up and that begins a rollout seconds later.
TEST_CASE_METHOD(rollout_order_system,
    "An order of a rollout that waited at a control VM that stood still is not carried out",
    "[forwarding][rollout][waiting_order]")
{
    REQUIRE(putDeployment(1, deployment(3)));
    bool isClosed = GENERATE(true, false);
    CAPTURE(isClosed);
    auto& standing = process("c3");
    standing.pause();
    auto resumeAt = std::chrono::steady_clock::now() + standstill;
    Poco::Net::StreamSocket connection { Poco::Net::SocketAddress(address(13, platformPort)) };
    auto body = orderOf("v2");
    auto bytes = "POST /rollouts HTTP/1.1\r\nHost: control\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
    connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    std::this_thread::sleep_for(callerPatience);
    if (isClosed)
        connection.close();
    std::this_thread::sleep_until(resumeAt);
    standing.resume();
    std::this_thread::sleep_for(observation);
    CHECK(latestVersion(1).empty());
    // The control VM carries out orders again.
    CHECK(order(3, "v3") == 200);
    CHECK(latestVersion(1) == "v3");
}

TEST_CASE_METHOD(
    rollout_order_system, "The command line orders a rollout and shows it", "[forwarding][rollout]")
{
    REQUIRE(putDeployment(1, deployment(3)));
    CHECK(runCommand({ "show", "shop" }).first == 3);
    auto [code, output] = runCommand({ "start", "shop", "v2", "--duration", "1.5min" });
    CHECK(code == 0);
    CHECK(output == "duration_ms=90000 service=shop version=v2\n");
    CHECK(runCommand({ "start", "shop", "v2", "--duration", "12s" }).first == 0);
    CHECK(runCommand({ "start", "shop", "v3", "--duration", "12s" }).first == 4);
    CHECK(runCommand({ "start", "other", "v2", "--duration", "12s" }).first == 3);
    CHECK(runCommand({ "start", "shop", "v2", "--duration", "12 years" }).first == 3);
    auto shown = runCommand({ "show", "shop", "--output", "json" });
    REQUIRE(shown.first == 0);
    auto rollout = nlohmann::json::parse(shown.second);
    CHECK(rollout.at("state") == "running");
    CHECK(rollout.at("version") == "v2");
    CHECK(rollout.at("duration_ms") == 90'000);
    CHECK(rollout.at("stage") == "preparing");
    for (const char* name : { "c1", "c2", "c3" })
        process(name).kill();
    CHECK(runCommand({ "show", "shop" }).first == 5);
}

// Guards against a feature that is on without its settings.
TEST_CASE_METHOD(forwarding_system,
    "Without the setting of the exposure the calls about rollouts do not exist", "[forwarding][rollout]")
{
    for (int number = 1; number <= 3; ++number)
        startControl(number);
    REQUIRE(putDeployment(1, deployment(3)));
    CHECK(call(1, "POST", "/rollouts", orderOf("v2")).first == 404);
    CHECK(call(1, "POST", "/rollouts", "no JSON").first == 404);
    CHECK(call(1, "GET", "/rollouts/shop").first == 404);
}
