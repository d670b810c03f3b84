// An operator withdraws an evacuation while one core machine stands still, and orders it anew at the others.
// When the machine wakes, it must not carry out the withdrawal that it still holds.

#include "review_kit.hpp"

#include <csignal>
#include <cstdio>

using namespace review;

namespace {

constexpr const char* configuration = R"({"version":3,"routes":[{"name":"stock","host":"shop.example",
"path-prefix":"/stock/","kind":"safe","timeout-ms":1500,"target-latency-ms":100,"priority":1,"service":"shop",
"max-attempts":2,"public":false,"sticky-sessions":false,"resumable":false}],
"services":[{"name":"shop","health-check-path":"/health","connection-limit":96,"protocol":"h1","tls":false,
"cold-start-s":0.0,"cold-per-s":0.0}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"espuma","api-keys":["key-1"]}]})";

constexpr int frozen = 2; // core machine in the zone kopavogur-c
constexpr double freezeMs = 4000; // for_s = 4.0 of node_freeze in the site file
constexpr double evacuationMs = 5000; // evacuation-ms
constexpr double contactWindowMs = 3000; // contact-window-ms
constexpr double marginMs = 300;

} // namespace

int main(int, char** arguments)
{
    startTimeLimit(110);
    deployment system(arguments[1], 4);
    auto& log = system.log();
    auto path = "/evacuations/" + deployment::zone(0);
    for (int number = 0; number < 4; ++number)
        system.addWorker({ text("i-%d", number), "shop", deployment::zone(number % 2),
            system.address(100 + number, 8080), 20, {} });
    if (!system.start(configuration)) {
        log.line("the system does not come up");
        return exitNotRun;
    }
    system.startHeartbeats();
    system.startLoad("shop.example", "/stock/1", "key-1", 40);
    sleepMs(1500);
    if (system.operateInTurn("operator", { 0, 1, 3 }, "POST", path) < 0)
        return exitNotRun;
    double firstAck = now();
    sleepMs(3000);
    std::size_t early = 0;
    for (const char* id : { "i-0", "i-2" }) {
        for (const auto& each : system.workerOf(id).runs())
            early += each.at < firstAck;
    }
    log.line(
        text("the workers of %s got %zu requests before the evacuation", deployment::zone(0).c_str(), early));

    double frozenAt = now();
    if (hasTrouble())
        system.signalCore(frozen, SIGSTOP);
    sleepMs(200);
    int withdrawnAt = system.operateInTurn("operator", { frozen, 0, 1, 3 }, "DELETE", path);
    sleepMs(300);
    int evacuatedAt = system.operateInTurn("operator", { 0, 1, 3 }, "POST", path);
    double acked = now();
    if (early == 0 || withdrawnAt < 0 || evacuatedAt < 0)
        return exitNotRun;
    log.line(text("the second evacuation is acknowledged by core %d", evacuatedAt));
    while (now() < frozenAt + freezeMs)
        sleepMs(10);
    if (hasTrouble())
        system.signalCore(frozen, SIGCONT);
    double judgedFrom = std::max(acked + evacuationMs, frozenAt + freezeMs + contactWindowMs) + marginMs;
    log.line(text("judged are requests that reach workers of the zone after %.1f ms", judgedFrom));
    while (now() < judgedFrom + 8000)
        sleepMs(50);
    system.stopLoad();
    std::size_t broken = 0;
    for (const char* id : { "i-0", "i-2" }) {
        for (const auto& each : system.workerOf(id).runs()) {
            if (each.at < judgedFrom)
                continue;
            ++broken;
            log.line(text(
                "worker %s of the evacuated zone ran request %s at %.1f ms", id, each.id.c_str(), each.at));
        }
    }
    log.line(text("EVAC: %zu requests reached workers of the evacuated zone", broken));
    std::printf("EVAC: %zu requests reached workers of the evacuated zone\n", broken);
    return broken > 0 ? exitBroken : exitHeld;
}
