#include "support/plumfold_forwarding_system.hpp"
#include "support/plumfold_request_rates.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <thread>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

constexpr double coldRate = 9; // requests per second that a cold target bears
constexpr double maxColdRequests = coldRate * 1.5 + 5; // in any second
constexpr auto coldTime = 8s;

/// Entries and a target whose failure domain was out of service. Its announcements do not say that it has
/// become cold meanwhile.
class system_after_return : public forwarding_system {
public:
    static constexpr int entries = 4;

    system_after_return()
    {
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        auto body = deployment(3);
        body["services"][0]["cold-per-s"] = coldRate;
        body["services"][0]["cold-start-s"] = coldTime.count();
        putDeployment(1, body);
        m_target = &startTarget("t1");
        startAnnouncing();
        for (int number = 1; number <= entries; ++number)
            startEntry(number);
        for (int number = 1; number <= entries; ++number)
            waitForTarget(number);
        eventually([&] { return call(1, "POST", "/evacuations/east").first == 200; });
        for (int number = 1; number <= entries; ++number)
            eventually([&] { return request(number, "/shop/whole").status == 503; });
        m_returnedAt = steady_clock::now();
        eventually([&] { return call(1, "DELETE", "/evacuations/east").first == 200; });
        for (int number = 1; number <= entries; ++number)
            eventually([&] { return request(number, "/shop/whole").status == 200; }, coldTime.count());
    }

    ~system_after_return()
    {
        if (m_callers.joinable())
            stopCallers();
    }

    void restartEntry(int number)
    {
        process("n" + std::to_string(number)).kill();
        startEntry(number);
    }

    /// Sends twenty requests a second to each entry.
    void startCallers()
    {
        m_callers = std::thread([this] {
            std::vector<std::thread> callers;
            for (int number = 1; number <= entries; ++number)
                callers.emplace_back([this, number] {
                    while (!m_stopping) {
                        request(number, "/shop/whole");
                        std::this_thread::sleep_for(50ms);
                    }
                });
            for (auto& each : callers)
                each.join();
        });
    }
    void stopCallers()
    {
        m_stopping = true;
        m_callers.join();
    }

    const scripted_target& target() const { return *m_target; }
    steady_clock::time_point returnedAt() const { return m_returnedAt; }

private:
    scripted_target* m_target = nullptr;
    steady_clock::time_point m_returnedAt; // before the failure domain was back
    std::thread m_callers;
    std::atomic<bool> m_stopping { false };
};

} // namespace

TEST_CASE_METHOD(system_after_return,
    "Targets that may be cold since their failure domain is back are not overloaded after restarts",
    "[forwarding][cold]")
{
    startCallers();
    SECTION("of entries")
    {
        for (int number = 1; number <= entries; ++number)
            restartEntry(number);
    }
    SECTION("of control VMs")
    {
        for (int number = 1; number <= 3; ++number) {
            process("c" + std::to_string(number)).kill();
            startControl(number);
            std::this_thread::sleep_for(700ms);
        }
    }
    std::this_thread::sleep_until(returnedAt() + coldTime);
    stopCallers();
    CHECK(maxRequestsPerSecond(target(), returnedAt()) <= maxColdRequests);
    CHECK(target().requests().size() >= coldRate); // in eight seconds: an eighth of what it bears
}

TEST_CASE_METHOD(system_after_return,
    "Targets do not count as cold at an entry that restarts when the cold time of their return is over",
    "[forwarding][cold]")
{
    std::this_thread::sleep_until(returnedAt() + coldTime + 1s);
    restartEntry(1);
    eventually([&] { return isReady(1); });
    auto readyAt = steady_clock::now();
    startCallers();
    std::this_thread::sleep_for(2s);
    stopCallers();
    CHECK(maxRequestsPerSecond(target(), readyAt) > 2 * maxColdRequests);
}
