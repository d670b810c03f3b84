#include "support/plumfold_forwarding_system.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace plumfold::tests;

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds memberTimeout { 1'500 };
constexpr milliseconds cutTime { 5'000 };
constexpr milliseconds returnBound { 8'000 };

/// Four control VMs, each in a failure domain of its own; the fifth to start is in that of the fourth.
class returning_control_system : public forwarding_system {
public:
    returning_control_system()
    {
        setFailureDomains({ "east", "north", "south", "west" });
        setMemberTimeout(memberTimeout);
        for (int number = 1; number <= 4; ++number)
            startControl(number);
        eventually([&] { return logOf("c1").find("voters=4") != std::string::npos; });
        putDeployment(1, deployment(1));
    }

    /// @return whether a control VM in service has logged an event about the fourth one.
    bool isLogged(const std::string& event) const
    {
        for (const char* name : { "c1", "c2", "c3" }) {
            auto log = logOf(name);
            if (log.find("event=" + event + " member=" + controlAddress(4)) != std::string::npos)
                return true;
        }
        return false;
    }

    int versionAt(int number)
    {
        auto [status, body] = call(number, "GET", "/configuration");
        return status == 200 ? nlohmann::json::parse(body).value("version", 0) : 0;
    }
};

} // namespace

// Guards against a control VM that is out of the group for good because it was out of reach while another one
// joined in its failure domain. Its process stands still here, so that none of its messages arrive either
// way.
TEST_CASE_METHOD(returning_control_system,
    "A control VM that was out of reach while another one joined in its failure domain is a voter again",
    "[forwarding][lost_voter]")
{
    constexpr int successor = 8;
    process("c4").pause();
    startControl(successor, false);
    std::this_thread::sleep_for(cutTime);
    CHECK(isLogged("member_removed"));
    CHECK(putDeployment(1, deployment(2)));
    process("c4").resume();
    auto resumedAt = steady_clock::now();
    CHECK(eventually([&] { return logOf("c1").find("voters=5") != std::string::npos; }));
    CHECK(eventually([&] { return versionAt(4) == 2; }));
    CHECK(steady_clock::now() - resumedAt <= returnBound);
    // Three of five voters are a quorum; without the returned one they would be two of four.
    process("c1").kill();
    process("c8").kill();
    CHECK(eventually([&] { return call(4, "PUT", "/configuration", deployment(3).dump()).first == 200; }));
    CHECK(versionAt(4) == 3);
}

// Guards against the exchange of a control VM that was out of reach only for a moment.
TEST_CASE_METHOD(returning_control_system,
    "A control VM that was out of reach for less than the timeout of members stays a voter",
    "[forwarding][lost_voter]")
{
    process("c4").pause();
    startControl(8, false);
    std::this_thread::sleep_for(memberTimeout / 2);
    process("c4").resume();
    CHECK(eventually([&] { return logOf("c1").find("voters=5") != std::string::npos; }));
    std::this_thread::sleep_for(2 * memberTimeout);
    CHECK_FALSE(isLogged("member_removed"));
    CHECK(putDeployment(4, deployment(2)));
}
