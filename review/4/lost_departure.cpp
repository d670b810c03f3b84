// A worker takes itself off by DELETE /instances/ID. The process of the core machine that acknowledges it is
// killed right after the acknowledgement. Requests must not reach the worker later than drain-timeout-ms all
// the same.

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

constexpr double drainTimeoutMs = 2000; // drain-timeout-ms
constexpr double contactWindowMs = 3000; // contact-window-ms
constexpr double servedAfterMs = 9000; // drain-timeout-ms and "a little longer (at times many seconds)"
constexpr int restartMs = 500; // "restarted after a short delay"
constexpr double marginMs = 100;

} // namespace

int main(int, char** arguments)
{
    startTimeLimit(110);
    deployment system(arguments[1], 4);
    auto& log = system.log();
    for (int number = 0; number < 4; ++number)
        system.addWorker({ text("i-%d", number), "shop", deployment::zone(number),
            system.address(100 + number, 8080), 40, {} });
    if (!system.start(configuration)) {
        log.line("the system does not come up");
        return exitNotRun;
    }
    // Requests reach the leaving worker also from other zones: two zones have no other worker of their own.
    system.stopHeartbeat("i-2");
    system.stopHeartbeat("i-3");
    system.startHeartbeats();
    system.startLoad("shop.example", "/stock/1", "key-1", 80);
    sleepMs(3000);
    system.stopHeartbeat("i-0"); // its last word is the DELETE
    std::size_t early = system.workerOf("i-0").runs().size();
    log.line(text("worker i-0 got %zu requests before it leaves", early));
    auto status = system.operate("worker i-0", 0, "DELETE", "/instances/i-0");
    double acked = now();
    if (hasTrouble())
        system.signalCore(0, SIGKILL);
    if (early == 0 || status / 100 != 2)
        return exitNotRun;
    double judgedFrom = acked + drainTimeoutMs + marginMs;
    if (hasTrouble()) {
        sleepMs(restartMs);
        system.restartCore(0);
        judgedFrom = std::max(judgedFrom, now() + contactWindowMs + marginMs);
    }
    log.line(text("judged are requests that reach worker i-0 after %.1f ms", judgedFrom));
    while (now() < acked + servedAfterMs)
        sleepMs(20);
    system.workerOf("i-0").end();
    log.line("worker i-0 ends");
    sleepMs(1000);
    system.stopLoad();
    std::size_t broken = 0;
    for (const auto& each : system.workerOf("i-0").runs()) {
        if (each.at < judgedFrom)
            continue;
        ++broken;
        log.line(text("worker i-0 ran request %s at %.1f ms, %.1f ms after the acknowledgement",
            each.id.c_str(), each.at, each.at - acked));
    }
    log.line(text("DRAIN: %zu requests reached the worker that has left", broken));
    std::printf("DRAIN: %zu requests reached the worker that has left\n", broken);
    return broken > 0 ? exitBroken : exitHeld;
}
