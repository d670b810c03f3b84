#include "support/plumfold_disturbances.hpp"
#include "support/plumfold_kept_callers.hpp"
#include "support/plumfold_serving_system.hpp"

#include <Poco/Exception.h>
#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <future>
#include <map>
#include <thread>

using namespace plumfold::tests;

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int entries = 4;
constexpr int callers = 16;
constexpr int maxStopping = 2;
constexpr milliseconds gracePeriod { 4'000 };
/// A request that is not passed on may cross the close of its connection for so long.
constexpr milliseconds crossingTime { 200 };

/// Entries that are stopped in series, overlapping, beside reloads and changes of the configuration.
class planned_work : public serving_system {
public:
    planned_work()
    {
        setGracePeriod(gracePeriod);
        startAnnouncing();
        for (int entry = 1; entry <= entries; ++entry) {
            if (entry == 1)
                process(nameOf(entry)).stop(); // it runs with the default grace period
            startEntry(entry);
        }
        for (int entry = 1; entry <= entries; ++entry)
            waitForTarget(entry);
    }

    void runFor(milliseconds time, unsigned seed)
    {
        std::minstd_rand random(seed);
        auto until = steady_clock::now() + time;
        while (steady_clock::now() < until) {
            startStopped();
            work(random);
            std::this_thread::sleep_for(milliseconds(100 + random() % 500));
        }
        while (!m_stopping.empty())
            startStopped();
    }

    std::size_t stops() const { return m_stops; }
    std::size_t failedStops() const { return m_failedStops; }

private:
    static std::string nameOf(int entry) { return "n" + std::to_string(entry); }

    bool isListening(int entry) const
    {
        try {
            raw_caller caller(callerAddress(entry));
            return true;
        } catch (const Poco::Exception&) {
            return false;
        }
    }

    /// Starts the entries again whose stop has ended. A signal before they listen would only end them.
    void startStopped()
    {
        for (auto each = m_stopping.begin(); each != m_stopping.end();) {
            if (each->second.wait_for(milliseconds(10)) != std::future_status::ready) {
                ++each;
                continue;
            }
            m_failedStops += each->second.get() != 0;
            startEntry(each->first);
            eventually([&] { return isListening(each->first); });
            each = m_stopping.erase(each);
        }
    }

    void work(std::minstd_rand& random)
    {
        int entry = static_cast<int>(1 + random() % entries);
        bool isRunning = !m_stopping.contains(entry);
        switch (random() % 4) {
        case 0:
            if (isRunning)
                process(nameOf(entry)).signal(SIGHUP);
            break;
        case 1: {
            auto body = deployment(++m_version);
            body["limits"]["idle-timeout-ms"] = 100 + random() % 4'000;
            putDeployment(1, body);
            break;
        }
        default:
            if (!isRunning || m_stopping.size() >= maxStopping)
                break;
            ++m_stops;
            m_stopping[entry] = std::async(
                std::launch::async, [&stopped = process(nameOf(entry))] { return stopped.stop(); });
        }
    }

    int m_version = 3;
    std::size_t m_stops = 0;
    std::size_t m_failedStops = 0;
    std::map<int, std::future<int>> m_stopping;
};

} // namespace

TEST_CASE_METHOD(planned_work,
    "Callers on kept connections get a response to each request through planned stops in series",
    "[forwarding][planned_stop][soak]")
{
    INFO("seed " << soakSeed());
    for (const char* each : { "t1", "t2" })
        target(each).setPace(milliseconds(20)); // of each of 25 events
    kept_callers clients(*this, entries, callers, soakSeed());
    runFor(std::chrono::seconds(20), soakSeed());
    clients.stop();

    std::map<std::string, std::size_t> runs;
    for (const char* each : { "t1", "t2" }) {
        for (const auto& request : target(each).requests())
            ++runs[request.headers.at("request-id")];
    }
    std::size_t served = 0;
    std::size_t crossing = 0;
    for (const auto& each : clients.requests()) {
        INFO("request " << each.id << ", status " << each.status << ", close announced "
                        << each.isCloseAnnounced << ", open for "
                        << std::chrono::duration_cast<milliseconds>(each.openFor).count() << " ms");
        served += each.status == 200 && each.isComplete;
        bool isAnswered = each.status == 200 || each.status == 503;
        CHECK(isAnswered == each.isComplete);
        if (each.status == 503)
            CHECK(runs[each.id] == 0);
        if (each.status != 0)
            continue;
        ++crossing;
        CHECK(runs[each.id] == 0);
        CHECK_FALSE(each.isBehind);
        CHECK((each.isCloseAnnounced || each.openFor <= crossingTime));
    }
    CAPTURE(served, crossing, stops());
    CHECK(clients.requests().size() > 500);
    CHECK(served * 10 >= clients.requests().size() * 9);
    CHECK(stops() >= 5);
    CHECK(failedStops() == 0);
}
