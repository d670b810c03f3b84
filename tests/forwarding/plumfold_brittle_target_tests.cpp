#include "support/plumfold_brittle_fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;
using time_point = std::chrono::steady_clock::time_point;

constexpr int entries = 4;
constexpr int targets = 4;
constexpr int slots = 4;
constexpr int waiting = 16;
constexpr double workTimeSeconds = 0.1;
constexpr double capacity = targets * slots / workTimeSeconds; // requests per second
constexpr int maxFalls = 2 + targets / 10; // in one brittle time
constexpr auto shrinkDelay = 3'000ms;
constexpr auto latencyTarget = 1'000ms; // of the route
constexpr auto maxRefusalTime = latencyTarget / 4;
constexpr double slowRefusalsShare = 0.01; // for threads of the test that the system schedules late

struct call_record {
    time_point sentAt {};
    std::chrono::steady_clock::duration took {};
    int status = 0;
    bool hasRetryAfter = false;
};

/// Control VMs, entries and targets of one service that may become brittle.
class brittle_system : public forwarding_system {
public:
    brittle_system()
    {
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        putDeployment(1, deployment(3));
        for (int number = 1; number <= entries; ++number)
            startEntry(number);
        m_fleet = std::make_unique<brittle_fleet>(*this, targets, slots, waiting);
        for (int number = 1; number <= entries; ++number)
            waitForTarget(number, "/stock/any");
    }
    ~brittle_system()
    {
        stopCallers();
        m_fleet.reset();
    }

    brittle_fleet& fleet() { return *m_fleet; }

    /// Starts callers that send to all entries by turns.
    void startCallers(double requestsPerSecond)
    {
        constexpr auto interval = 500ms; // between the requests of one caller
        auto count = static_cast<int>(requestsPerSecond * std::chrono::duration<double>(interval).count());
        for (int number = 0; number < count; ++number)
            m_callers.emplace_back([this, number, count, interval] {
                auto nextAt = std::chrono::steady_clock::now() + interval * number / count;
                while (!m_isStopping) {
                    std::this_thread::sleep_until(nextAt);
                    nextAt = std::max(nextAt + interval, std::chrono::steady_clock::now());
                    send(1 + number % entries);
                }
            });
    }
    void stopCallers()
    {
        m_isStopping = true;
        for (auto& each : m_callers)
            each.join();
        m_callers.clear();
    }

    std::vector<call_record> callsBetween(time_point from, time_point until)
    {
        std::lock_guard lock(m_mutex);
        std::vector<call_record> out;
        std::copy_if(m_calls.begin(), m_calls.end(), std::back_inserter(out),
            [&](const auto& each) { return each.sentAt >= from && each.sentAt < until; });
        return out;
    }

private:
    void send(int entry)
    {
        call_record call { std::chrono::steady_clock::now(), {}, 0, false };
        auto response = request(entry, "/stock/any");
        call.took = std::chrono::steady_clock::now() - call.sentAt;
        call.status = response.status;
        call.hasRetryAfter = response.headers.find("retry-after: ") != std::string::npos;
        std::lock_guard lock(m_mutex);
        m_calls.push_back(call);
    }

    std::unique_ptr<brittle_fleet> m_fleet;
    std::vector<std::thread> m_callers;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::vector<call_record> m_calls;
};

std::ptrdiff_t countStatus(const std::vector<call_record>& calls, int status)
{
    return std::count_if(calls.begin(), calls.end(), [&](const auto& each) { return each.status == status; });
}

double perSecond(std::ptrdiff_t count, time_point from, time_point until)
{
    return static_cast<double>(count) / std::chrono::duration<double>(until - from).count();
}

time_point sleepFor(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
    return std::chrono::steady_clock::now();
}

} // namespace

TEST_CASE_METHOD(brittle_system,
    "Brittle targets at twice their load do not fall and run at least half of what they can",
    "[forwarding][brittle]")
{
    // Fewer and more rejections than there are entries.
    auto [maxRejections, roomAfterShrinking] = GENERATE(std::pair(3, 0), std::pair(10, 2));
    CAPTURE(maxRejections, roomAfterShrinking);
    auto startedAt = std::chrono::steady_clock::now();
    startCallers(2 * capacity);
    auto brittleAt = sleepFor(3s);
    fleet().setBrittle(brittle_behaviour { maxRejections, roomAfterShrinking, shrinkDelay });
    auto shrunkAt = sleepFor(shrinkDelay);
    auto endedAt = sleepFor(9s);
    fleet().setBrittle(std::nullopt);
    auto falls = fleet().falls();
    auto recoveredAt = sleepFor(2s);
    auto stoppedAt = sleepFor(3s);
    stopCallers();

    CHECK(falls <= maxFalls);
    auto calls = callsBetween(shrunkAt, endedAt);
    CHECK(perSecond(countStatus(calls, 200), shrunkAt, endedAt) >= capacity / 2);
    CHECK(countStatus(calls, 200) + countStatus(calls, 503) == static_cast<std::ptrdiff_t>(calls.size()));
    std::ptrdiff_t withoutRetryAfter = 0;
    std::ptrdiff_t slow = 0;
    for (const auto& each : calls) {
        withoutRetryAfter += each.status == 503 && !each.hasRetryAfter;
        slow += each.status == 503 && each.took > maxRefusalTime;
    }
    CHECK(withoutRetryAfter == 0);
    CHECK(static_cast<double>(slow) <= slowRefusalsShare * static_cast<double>(calls.size()));

    auto before
        = perSecond(countStatus(callsBetween(startedAt + 1s, brittleAt), 200), startedAt + 1s, brittleAt);
    auto after = perSecond(countStatus(callsBetween(recoveredAt, stoppedAt), 200), recoveredAt, stoppedAt);
    CAPTURE(before, after);
    CHECK(after >= 0.9 * before);
}

TEST_CASE_METHOD(
    brittle_system, "Brittle targets with enough room have nothing refused", "[forwarding][brittle]")
{
    fleet().setBrittle(brittle_behaviour { 3, 0, shrinkDelay });
    auto startedAt = std::chrono::steady_clock::now();
    startCallers(capacity / 4);
    auto stoppedAt = sleepFor(shrinkDelay + 4s);
    stopCallers();
    auto calls = callsBetween(startedAt, stoppedAt);
    CHECK(calls.size() > capacity);
    CHECK(countStatus(calls, 200) == static_cast<std::ptrdiff_t>(calls.size()));
    CHECK(fleet().falls() == 0);
}
