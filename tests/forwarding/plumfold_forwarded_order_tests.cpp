#include "support/plumfold_forwarding_system.hpp"
#include "support/plumfold_narrow_links.hpp"
#include "support/plumfold_served_requests.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace plumfold::tests;

namespace {

using std::chrono::milliseconds;

constexpr int controlVms = 3;
constexpr milliseconds observation { 3'000 };

/// Control VMs whose links to each other can be held up, an entry and two targets.
class linked_control_system : public forwarding_system {
public:
    linked_control_system()
    {
        static constexpr int firstListener = 200;
        static constexpr int rpcPort = 7000;
        setControlListeners(firstListener);
        for (int number = 1; number <= controlVms; ++number) {
            m_links.carry(controlAddress(number), address(firstListener + number, rpcPort));
            startControl(number);
        }
        putDeployment(1, deployment(3));
        startEntry(1);
        startTarget("t1");
        startTarget("t2");
        startAnnouncing();
        waitForTarget(1);
    }

    bool order(int control, const char* method)
    {
        return call(control, method, "/evacuations/east").first == 200;
    }

    /// Isolates a control VM from the others; entries, targets and operators still reach it.
    void isolate(int control)
    {
        std::set<int> others;
        for (int number = 1; number <= controlVms; ++number) {
            if (number != control)
                others.insert(process("c" + std::to_string(number)).id());
        }
        m_links.isolate(process("c" + std::to_string(control)).id(), controlAddress(control), others);
    }

    void reconnect() { m_links.release(); }

private:
    narrow_links m_links;
};

} // namespace

// Guards against an acknowledged evacuation that an older withdrawal undoes, which a cut held up on the way
// to the leader.
TEST_CASE_METHOD(linked_control_system,
    "An order that was held up between two control VMs is not carried out after a later one",
    "[forwarding][waiting_order]")
{
    int leading = leader({ 1, 2, 3 });
    REQUIRE(leading > 0);
    int follower = leading % controlVms + 1;
    int third = follower % controlVms + 1;
    CAPTURE(leading, follower, third);
    REQUIRE(eventually([&] { return order(follower, "POST"); }));
    REQUIRE(eventually([&] { return !isServed(*this); }));
    isolate(follower);
    CHECK_FALSE(order(follower, "DELETE"));
    REQUIRE(eventually([&] { return order(third, "DELETE"); }));
    REQUIRE(eventually([&] { return isServed(*this); }));
    REQUIRE(eventually([&] { return order(leading, "POST"); }));
    REQUIRE(eventually([&] { return !isServed(*this); }));
    reconnect();
    CHECK(staysOut(*this, observation));
    // The control VM passes orders on again.
    CHECK(eventually([&] { return order(follower, "DELETE"); }));
    CHECK(eventually([&] { return isServed(*this); }));
}

// Guards against a condition that keeps orders which come through another control VM from being carried out.
TEST_CASE_METHOD(linked_control_system, "Orders in turn are carried out whichever control VM receives them",
    "[forwarding][waiting_order]")
{
    for (int number = 1; number <= 2 * controlVms; ++number) {
        int control = (number - 1) % controlVms + 1;
        CAPTURE(number, control);
        CHECK(order(control, "POST"));
        CHECK(eventually([&] { return !isServed(*this); }));
        CHECK(order(control % controlVms + 1, "DELETE"));
        CHECK(eventually([&] { return isServed(*this); }));
    }
}
