#include "support/plumfold_forwarding_system.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <thread>

using namespace plumfold::tests;

namespace {

using std::chrono::milliseconds;

constexpr int controlVms = 4;
constexpr milliseconds catchUpTime { 4'100 }; // of a control VM that has started
constexpr milliseconds lossDelay { 1'000 }; // after the last control VM was told to stop
constexpr milliseconds downTime { 1'000 }; // of the control VM that loses its disk
constexpr milliseconds stopTime { 4'000 };

class stopped_control_system : public forwarding_system {
public:
    stopped_control_system()
    {
        setFailureDomains({ "east", "north", "south", "west" });
        for (int number = 1; number <= controlVms; ++number)
            startControl(number);
        eventually([&] { return logOf("c1").find("voters=4") != std::string::npos; });
        putDeployment(1, deployment(1));
        std::this_thread::sleep_for(catchUpTime);
    }

    /// Starts the successor of a control VM, and tells that one to stop once the other has caught up.
    void replace(int number)
    {
        int successor = number + controlVms;
        setSeeds({ m_numbers[0], m_numbers[1], m_numbers[2] });
        startControl(successor, false);
        std::this_thread::sleep_for(catchUpTime);
        std::replace(m_numbers.begin(), m_numbers.end(), number, successor);
        process("c" + std::to_string(number)).signal(SIGTERM);
    }

    void loseDisk(int number)
    {
        auto name = "c" + std::to_string(number);
        process(name).kill();
        removeFolder(name);
        std::this_thread::sleep_for(downTime);
        startControl(number, false);
    }

    const std::vector<int>& numbers() const { return m_numbers; }

    /// @return a control VM of those that have started the group and still belong to it.
    int original() const
    {
        return *std::find_if(m_numbers.begin(), m_numbers.end(), [](int each) { return each <= controlVms; });
    }

private:
    std::vector<int> m_numbers { 1, 2, 3, 4 };
};

} // namespace

// Guards against control VMs that were told to stop and still count when another one loses its disk.
TEST_CASE_METHOD(stopped_control_system,
    "A group bears the loss of a disk right after planned replacements, the leader last",
    "[forwarding][lost_voter]")
{
    int leading = leader(numbers());
    REQUIRE(leading > 0);
    replace(leading == 1 ? 2 : 1);
    replace(leading);
    std::this_thread::sleep_for(lossDelay);
    int wiped = original();
    CAPTURE(leading, wiped);
    loseDisk(wiped);
    std::this_thread::sleep_for(catchUpTime);
    for (int number : numbers()) {
        CAPTURE(number);
        CHECK(eventually([&] { return call(number, "GET", "/configuration").first == 200; }, 4));
    }
    CHECK(putDeployment(numbers().back(), deployment(2)));
}

// Guards against a group that shrinks, or that has no leader, when its control VMs are restarted in turn.
TEST_CASE_METHOD(stopped_control_system, "Control VMs that are restarted in turn stay members of their group",
    "[forwarding][lost_voter]")
{
    for (int number = 1; number <= controlVms; ++number) {
        CAPTURE(number);
        auto& stopping = process("c" + std::to_string(number));
        auto stoppedAt = std::chrono::steady_clock::now();
        CHECK(stopping.stop() == 0);
        CHECK(std::chrono::steady_clock::now() - stoppedAt < stopTime);
        CHECK(logOf("c" + std::to_string(number)).find("event=left_group result=not_replaced")
            != std::string::npos);
        startControl(number, false);
        std::this_thread::sleep_for(catchUpTime);
        CHECK(call(number, "PUT", "/configuration", deployment(10 + number).dump()).first == 200);
        CHECK(logOf("c" + std::to_string(number)).find("event=member_removed") == std::string::npos);
    }
}
