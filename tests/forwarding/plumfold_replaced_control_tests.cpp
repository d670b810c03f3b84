#include "support/plumfold_forwarding_system.hpp"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

using namespace plumfold::tests;

namespace {

using std::chrono::milliseconds;

constexpr int controlVms = 4;
constexpr milliseconds memberTimeout { 1'500 };
constexpr milliseconds restartDelay { 300 };
/// Time in which a group of control VMs has to be whole again after a replacement.
constexpr milliseconds catchUpTime { 4'000 };

class replaced_control_system : public forwarding_system {
public:
    replaced_control_system()
    {
        setFailureDomains({ "east", "north", "south", "west" });
        setMemberTimeout(memberTimeout);
        for (int number = 1; number <= controlVms; ++number)
            startControl(number);
        eventually([&] { return logOf("c1").find("voters=4") != std::string::npos; });
        startEntry(1);
        startTarget("t1");
    }

    /// Ends a control VM for good; an empty one starts in its failure domain at another address.
    /// @return the number of its successor.
    int replace(int number)
    {
        process("c" + std::to_string(number)).kill();
        std::replace(m_numbers.begin(), m_numbers.end(), number, number + controlVms);
        setSeeds({ m_numbers[0], m_numbers[1], m_numbers[2] });
        std::this_thread::sleep_for(restartDelay);
        startControl(number + controlVms, false);
        std::this_thread::sleep_for(catchUpTime);
        return number + controlVms;
    }

private:
    std::vector<int> m_numbers { 1, 2, 3, 4 };
};

} // namespace

// Guards against calls, with the cluster secret, to whoever has the address of a former control VM.
TEST_CASE_METHOD(replaced_control_system,
    "The address of a control VM that was replaced is not called any more", "[forwarding][lost_voter]")
{
    replace(4);
    Poco::Net::ServerSocket stranger { Poco::Net::SocketAddress(controlAddress(4)) };
    CHECK_FALSE(stranger.poll(Poco::Timespan(2, 0), Poco::Net::Socket::SELECT_READ));
}

// Guards against voters that are gone and count towards the quorum for ever.
TEST_CASE_METHOD(replaced_control_system,
    "Control VMs that are all replaced one after the other keep a quorum", "[forwarding][lost_voter]")
{
    REQUIRE(putDeployment(1, deployment(1)));
    waitForTarget(1);
    for (int number : { 4, 1, 2, 3 }) {
        CAPTURE(number);
        int successor = replace(number);
        CHECK(call(successor, "PUT", "/configuration", deployment(10 + number).dump()).first == 200);
        auto [status, text] = call(successor, "GET", "/configuration");
        CHECK(status == 200);
    }
    // None of the control VMs that started the group runs any more.
    REQUIRE(putDeployment(5, deployment(20)));
    announce("t1");
    waitForTarget(1);
    for (int number = 5; number <= 8; ++number) {
        auto [status, text] = call(number, "GET", "/configuration");
        CHECK(status == 200);
        CHECK(nlohmann::json::parse(text, nullptr, false).value("version", 0) == 20);
    }
    CHECK(request(1, "/shop/whole").status == 200);
}
