#include "support/plumfold_serving_system.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace plumfold::tests;

namespace {

using std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point;

constexpr milliseconds drainTime { 2'000 }; // after which a target that has left gets no more requests
constexpr milliseconds restartDelay { 500 };
constexpr milliseconds requestInterval { 20 };
constexpr milliseconds announcementInterval { 500 };

/// Of two targets, the first leaves: it announces itself no more and goes on serving.
class departure_system : public serving_system {
public:
    static std::string nameOf(int control) { return "c" + std::to_string(control); }

    void restart(const std::vector<int>& controls)
    {
        for (int number : controls)
            process(nameOf(number)).kill();
        std::this_thread::sleep_for(restartDelay);
        for (int number : controls)
            startControl(number, false);
    }

    /// Sends requests until a time.
    /// @return how many of them the first target got since another time.
    std::size_t requestsToFirst(time_point since, time_point until)
    {
        time_point announcedAt {};
        for (auto now = std::chrono::steady_clock::now(); now < until;
             now = std::chrono::steady_clock::now()) {
            if (now - announcedAt >= announcementInterval) {
                announcedAt = now;
                announce("t2");
            }
            request(1, "/stock/whole");
            std::this_thread::sleep_for(requestInterval);
        }
        std::size_t count = 0;
        for (const auto& each : target("t1").requests())
            count += each.receivedAt >= since;
        return count;
    }

    std::size_t requestsAfterDraining(time_point leftAt)
    {
        return requestsToFirst(leftAt + drainTime, leftAt + drainTime + milliseconds(4'000));
    }
};

} // namespace

// Guards against a departure that is lost with the process that has acknowledged it.
TEST_CASE_METHOD(departure_system,
    "A target that has left gets no requests though the control VM that acknowledged it is killed at once",
    "[forwarding][lost_departure]")
{
    SECTION("it was deleted")
    {
        REQUIRE(call(1, "DELETE", "/instances/t1").first == 200);
    }
    SECTION("it announced that it leaves")
    {
        announce("t1", "draining");
    }
    auto leftAt = std::chrono::steady_clock::now();
    restart({ 1 });
    CHECK(requestsAfterDraining(leftAt) == 0);
}

// Guards against a late announcement that brings a target back after all control VMs have forgotten it.
TEST_CASE_METHOD(departure_system,
    "A target that has left gets no requests though all control VMs restart and an announcement is late",
    "[forwarding][lost_departure]")
{
    REQUIRE(call(2, "DELETE", "/instances/t1").first == 200);
    auto leftAt = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(GENERATE(milliseconds(0), milliseconds(500)));
    restart({ 1, 2, 3 });
    requestsToFirst(leftAt, leftAt + milliseconds(2'500));
    announce("t1");
    CHECK(requestsAfterDraining(leftAt) == 0);
    CHECK(request(1, "/stock/whole").status == 200);
    announceRestarts();
    announceTargets();
    auto isUsedAgain = [&] {
        auto now = std::chrono::steady_clock::now();
        return requestsToFirst(now, now + milliseconds(500)) > 0;
    };
    CHECK(eventually(isUsedAgain, 10));
}

TEST_CASE_METHOD(departure_system,
    "Without a quorum a departure is not acknowledged, and entries in reach use the target no more",
    "[forwarding][lost_departure]")
{
    for (int number : { 2, 3 })
        process(nameOf(number)).pause();
    auto leftAt = std::chrono::steady_clock::now();
    CHECK(call(1, "DELETE", "/instances/t1").first == 503);
    CHECK(std::chrono::steady_clock::now() - leftAt < milliseconds(1'000));
    CHECK(requestsAfterDraining(leftAt) == 0);
    for (int number : { 2, 3 })
        process(nameOf(number)).resume();
    CHECK(eventually([&] { return call(1, "DELETE", "/instances/t1").first == 200; }));
}

// Guards against a control VM that acknowledges the departure of a target that it does not know.
TEST_CASE_METHOD(departure_system,
    "A control VM that has just started acknowledges a departure only if it takes effect",
    "[forwarding][lost_departure]")
{
    restart({ 1 });
    int status = 0;
    REQUIRE(eventually([&] { return (status = call(1, "DELETE", "/instances/t1").first) != 0; }));
    REQUIRE((status == 200 || call(2, "DELETE", "/instances/t1").first == 200));
    auto leftAt = std::chrono::steady_clock::now();
    CHECK(requestsAfterDraining(leftAt) == 0);
}
