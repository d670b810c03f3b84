#include "support/plumfold_served_requests.hpp"
#include "support/plumfold_serving_system.hpp"

#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace plumfold::tests;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds callerPatience { 1'000 }; // after which operators and targets call another control VM
constexpr milliseconds standstill { 3'000 };
constexpr milliseconds observation { 2'000 };
constexpr int standingControl = 3;

class standing_control_system : public serving_system {
public:
    standing_control_system() { startAnnouncing(); }

    /// Sends a call to the control VM that stands still and gives it up.
    /// @param isClosed whether the caller closes the connection.
    void callInVain(const std::string& method, const std::string& path, bool isClosed)
    {
        m_connection.connect(Poco::Net::SocketAddress(address(10 + standingControl, platformPort)));
        std::string bytes = method + ' ' + path + " HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n";
        m_connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        std::this_thread::sleep_for(callerPatience);
        if (isClosed)
            m_connection.close();
    }

    test_process& standing() { return process("c" + std::to_string(standingControl)); }

private:
    static constexpr int platformPort = 7080;

    Poco::Net::StreamSocket m_connection;
};

} // namespace

// Guards against an acknowledged evacuation that an older withdrawal undoes seconds later.
TEST_CASE_METHOD(standing_control_system,
    "An order that waited at a control VM that stood still is not carried out after a later one",
    "[forwarding][waiting_order]")
{
    bool isClosed = GENERATE(true, false);
    CAPTURE(isClosed);
    REQUIRE(call(1, "POST", "/evacuations/east").first == 200);
    REQUIRE(eventually([&] { return !isServed(*this); }));
    standing().pause();
    auto resumeAt = std::chrono::steady_clock::now() + standstill;
    callInVain("DELETE", "/evacuations/east", isClosed);
    REQUIRE(eventually([&] { return call(1, "DELETE", "/evacuations/east").first == 200; }));
    REQUIRE(eventually([&] { return isServed(*this); }));
    REQUIRE(eventually([&] { return call(2, "POST", "/evacuations/east").first == 200; }));
    REQUIRE(eventually([&] { return !isServed(*this); }));
    std::this_thread::sleep_until(resumeAt);
    standing().resume();
    CHECK(staysOut(*this, observation));
    // The control VM carries out orders again.
    CHECK(eventually([&] { return call(standingControl, "DELETE", "/evacuations/east").first == 200; }));
    CHECK(eventually([&] { return isServed(*this); }));
}

// Guards against a departure that ends the next incarnation of a target.
TEST_CASE_METHOD(standing_control_system,
    "A departure that waited at a control VM that stood still does not concern the target's next start",
    "[forwarding][waiting_order]")
{
    standing().pause();
    auto resumeAt = std::chrono::steady_clock::now() + standstill;
    for (const char* name : { "t1", "t2" })
        callInVain("DELETE", std::string("/instances/") + name, true);
    announceRestarts();
    announceTargets();
    REQUIRE(eventually([&] { return isServed(*this); }));
    std::this_thread::sleep_until(resumeAt);
    standing().resume();
    for (auto until = std::chrono::steady_clock::now() + observation;
         std::chrono::steady_clock::now() < until;) {
        CHECK(isServed(*this));
        std::this_thread::sleep_for(milliseconds(50));
    }
}
