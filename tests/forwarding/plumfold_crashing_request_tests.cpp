#include "support/plumfold_crash_checks.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;

const std::string crashingBody = "crash";
constexpr const char* path = "/stock/work";

/// Targets that crash when they run requests whose body begins in a certain way.
class system_with_crashing_body : public crashing_system {
public:
    system_with_crashing_body()
        : crashing_system(
            { [](const recorded_request& request) { return request.body.starts_with(crashingBody); }, 3,
                path })
    {
    }

    void sendCrashing(int entry) { request(entry, path, crashingBody); }
};

} // namespace

TEST_CASE_METHOD(system_with_crashing_body,
    "A request that crashes its targets is sent to few more of them once it has crashed three",
    "[forwarding][crashes]")
{
    checkCrashesBesideSound(*this, [this](int entry) { sendCrashing(entry); });
}

TEST_CASE_METHOD(system_with_crashing_body,
    "An entry that starts after a request has crashed targets does not send it to more of them",
    "[forwarding][crashes]")
{
    std::thread sound([this] { sendSoundFor(16s); });
    sendCrashingFor(7s, [this](int entry) { sendCrashing(entry); });
    std::size_t before = fleet().arrivals().size();
    for (int number = 1; number <= entries; ++number) {
        process("n" + std::to_string(number)).kill();
        startEntry(number);
        eventually([&] { return isReady(number); });
        for (int repeat = 0; repeat < 4; ++repeat)
            sendCrashing(number);
    }
    sound.join();
    CAPTURE(fleet().crashes().size(), before, fleet().arrivals().size());
    REQUIRE(fleet().crashes().size() >= minCrashes);
    CHECK(arrivalsAfter(propagationTime) <= maxLateArrivals);
    CHECK(soundRefusedByVerdict() == 0);
}

TEST_CASE_METHOD(system_with_crashing_body,
    "The verdict on a request that crashes targets outlasts the end of all processes",
    "[forwarding][crashes]")
{
    checkVerdictAfterRestart(*this, [this](int entry) { sendCrashing(entry); });
}

TEST_CASE_METHOD(system_with_crashing_body,
    "Crashes that only a killed control VM and a killed entry had seen count once the others are back",
    "[forwarding][crashes]")
{
    constexpr auto sharingTime = 3s; // a control VM that starts is connected to the others
    // An attempt at this route sends once, so each call crashes one target.
    auto crash = [&](int entry) { request(entry, "/shop/whole", crashingBody); };
    auto reportsAt = [&](const std::string& control) {
        auto log = logOf(control);
        int count = 0;
        for (auto at = log.find("crash_reported"); at != std::string::npos;
             at = log.find("crash_reported", at + 1))
            ++count;
        return count;
    };
    for (int number : { 2, 3 })
        process("c" + std::to_string(number)).kill();
    for (int count = 1; count <= 2; ++count) {
        crash(1);
        REQUIRE(eventually([&] { return reportsAt("c1") == count; }));
    }
    process("n1").kill();
    startEntry(1);
    for (int number : { 2, 3 })
        startControl(number);
    std::this_thread::sleep_for(sharingTime);
    process("c1").kill();
    startControl(1);
    waitForTarget(2);
    REQUIRE(fleet().crashes().size() == 2);
    crash(2);
    std::this_thread::sleep_for(propagationTime);
    for (int entry = 1; entry <= entries; ++entry)
        crash(entry);
    CAPTURE(fleet().arrivals().size());
    CHECK(fleet().crashes().size() == 3);
}

TEST_CASE_METHOD(
    system_with_crashing_body, "Crashes that no request causes lead to no verdict", "[forwarding][crashes]")
{
    checkCrashesWithoutCause(*this);
}

TEST_CASE_METHOD(system_with_crashing_body,
    "A request that crashes its targets stops arriving although control VMs and entries stop, restart and "
    "are "
    "suspended",
    "[forwarding][crashes][soak]")
{
    auto bodyOf = [](int kind) { return crashingBody + std::to_string(kind); };
    checkCrashesDuringDisturbances(
        *this, [&](int entry, int kind) { request(entry, path, bodyOf(kind)); },
        [&](const recorded_request& request, int kind) { return request.body == bodyOf(kind); });
}
