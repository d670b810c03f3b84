#include "plumfold/core/plumfold_cold_start_limiter.hpp"
#include "plumfold/core/plumfold_control_state.hpp"
#include "plumfold/core/plumfold_lease_usage.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace plumfold::core;

namespace {

const instant start {};
constexpr milliseconds grantLifetime { 300 };

std::vector<std::string> domainNames(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t number = 0; number < count; ++number)
        names.push_back("zone-" + std::to_string(number));
    return names;
}

std::vector<cold_start_limiter> limitersOf(const std::vector<std::string>& domains)
{
    std::vector<cold_start_limiter> limiters;
    for (const auto& domain : domains)
        limiters.emplace_back(domain, domains, grantLifetime);
    return limiters;
}

/// @return the largest number of the times that lie within one second.
std::size_t mostWithinSecond(std::vector<instant> times)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > milliseconds(1000))
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// Two lease holders, the replicated lease that they compete for and messages that take time.
class lease_simulation {
public:
    static constexpr milliseconds useTime { 600 };

    void request(std::size_t holder, milliseconds toRecord, milliseconds fromRecord)
    {
        m_requests.push_back({ holder, m_now, m_now + toRecord, m_now + toRecord + fromRecord });
    }
    void stepClock(unix_milliseconds by) { m_recordClock += by; }
    void advance(milliseconds by)
    {
        for (auto until = m_now + by; m_now < until; m_now += milliseconds(1)) {
            m_recordClock += 1;
            for (auto& each : m_requests) {
                if (each.commitAt == m_now)
                    each.result = commit(each.holder);
                if (each.answerAt == m_now)
                    answer(each);
            }
            auto usable = std::count_if(
                m_holders.begin(), m_holders.end(), [&](const auto& each) { return each.isUsable(m_now); });
            m_uses += static_cast<std::size_t>(usable);
            m_mostUsable = std::max(m_mostUsable, usable);
        }
    }
    /// A restarted holder remembers nothing.
    void restart(std::size_t holder)
    {
        m_holders[holder] = lease_usage(useTime);
        std::erase_if(
            m_requests, [&](const auto& each) { return each.holder == holder && each.answerAt > m_now; });
    }
    std::ptrdiff_t mostUsable() const { return m_mostUsable; }
    std::size_t uses() const { return m_uses; }

private:
    struct pending {
        std::size_t holder;
        instant sentAt;
        instant commitAt;
        instant answerAt;
        lease_result result {};
    };

    lease_result commit(std::size_t holder)
    {
        lease_command next { "shared-limits/a", "holder-" + std::to_string(holder),
            static_cast<std::uint32_t>(useTime.count()) };
        return std::get<lease_result>(m_record.apply({ m_recordClock, next }));
    }
    void answer(const pending& each)
    {
        auto& holder = m_holders[each.holder];
        if (each.result.granted)
            holder.onGranted(each.sentAt, each.result.takeovers, m_now);
        else
            holder.onRefused();
    }

    instant m_now = start;
    unix_milliseconds m_recordClock = 1'000'000;
    control_state m_record;
    std::vector<lease_usage> m_holders { lease_usage(useTime), lease_usage(useTime) };
    std::vector<pending> m_requests;
    std::ptrdiff_t m_mostUsable = 0;
    std::size_t m_uses = 0;
};

} // namespace

TEST_CASE(
    "Cold targets get at most what they bear in any second from any number of failure domains", "[cold]")
{
    rc::prop("random demand, rates and delays", [] {
        auto domains = domainNames(*rc::gen::inRange<std::size_t>(1, 30));
        double perSecond = *rc::gen::inRange(2, 400) / 10.0;
        double slack = *rc::gen::inRange(0, 8);
        cold_start_rate rate { perSecond, perSecond * 1.5 + slack };
        auto limiters = limitersOf(domains);
        std::minstd_rand random(*rc::gen::inRange(1u, 1'000'000u));
        std::vector<instant> sent;
        for (auto now = start; now < start + milliseconds(4'000); now += milliseconds(5)) {
            for (auto& limiter : limiters) {
                bool asks = random() % 4 > 0;
                if (asks && limiter.tryStart("t1", rate, now).isGranted)
                    sent.push_back(now + milliseconds(random() % 300));
            }
        }
        RC_ASSERT(static_cast<double>(mostWithinSecond(sent)) <= std::max(1.0, rate.maxPerSecond));
    });
}

TEST_CASE("Cold targets get most of the requests that they bear", "[cold]")
{
    constexpr int seconds = 30;
    auto domainCount = GENERATE(1, 2, 3, 4, 5, 8);
    auto limiters = limitersOf(domainNames(static_cast<std::size_t>(domainCount)));
    cold_start_rate rate { 8.9, 8.9 * 1.5 + 5 };
    int granted = 0;
    for (auto now = start; now < start + milliseconds(seconds * 1'000); now += milliseconds(1)) {
        for (auto& limiter : limiters)
            granted += limiter.tryStart("t1", rate, now).isGranted;
    }
    CHECK(granted >= 0.75 * rate.perSecond * seconds);
}

TEST_CASE(
    "All entries of one failure domain together stay within the request rate of a cold target", "[cold]")
{
    constexpr double coldRate = 9;
    auto entries = GENERATE(9, 60, 600);
    auto limiters = limitersOf(domainNames(1));
    int granted = 0;
    for (int ms = 0; ms < 1'000; ++ms) {
        for (int entry = 0; entry < entries; ++entry)
            granted += limiters.front()
                           .tryStart("t1", { coldRate, coldRate * 1.5 + 5 }, start + milliseconds(ms))
                           .isGranted;
    }
    CHECK(granted <= coldRate);
    CHECK(granted > 0);
}

TEST_CASE(
    "Over any time, cold targets get the average rate and one request more of each failure domain", "[cold]")
{
    rc::prop("random demand, rates and times", [] {
        auto domains = domainNames(*rc::gen::inRange<std::size_t>(1, 30));
        double perSecond = *rc::gen::inRange(2, 400) / 10.0;
        int seconds = *rc::gen::inRange(1, 8);
        std::minstd_rand random(*rc::gen::inRange(1u, 1'000'000u));
        auto limiters = limitersOf(domains);
        int granted = 0;
        for (auto now = start; now < start + milliseconds(seconds * 1'000); now += milliseconds(5)) {
            for (auto& limiter : limiters) {
                bool asks = random() % 4 > 0;
                granted += asks && limiter.tryStart("t1", { perSecond, perSecond * 1.5 + 5 }, now).isGranted;
            }
        }
        RC_ASSERT(granted <= perSecond * seconds + static_cast<double>(domains.size()));
    });
}

TEST_CASE("A refused cold start names the time of the next one", "[cold]")
{
    cold_start_limiter limiter("a", { "a" }, grantLifetime);
    cold_start_rate rate { 10, 20 };
    REQUIRE(limiter.tryStart("t1", rate, start).isGranted);
    auto refused = limiter.tryStart("t1", rate, start + milliseconds(40));
    REQUIRE_FALSE(refused.isGranted);
    CHECK(refused.retryAfter == milliseconds(61));
    CHECK(limiter.tryStart("t2", rate, start).isGranted);
    CHECK(limiter.tryStart("t1", rate, start + milliseconds(40) + refused.retryAfter).isGranted);
}

TEST_CASE("A restarted process grants no cold start while those of its predecessor count", "[cold]")
{
    cold_start_limiter limiter("a", { "a" }, grantLifetime);
    limiter.restart(start);
    CHECK_FALSE(limiter.tryStart("t1", { 10, 20 }, start + milliseconds(1'299)).isGranted);
    CHECK(limiter.tryStart("t1", { 10, 20 }, start + milliseconds(1'300)).isGranted);
}

TEST_CASE("A service without cold targets grants no cold start", "[cold]")
{
    cold_start_limiter limiter("a", { "a" }, grantLifetime);
    CHECK_FALSE(limiter.tryStart("t1", { 0, 5 }, start).isGranted);
}

TEST_CASE("Two holders never use a lease at the same time, even if the clock of its record jumps", "[cold]")
{
    rc::prop("random requests, delays, restarts and clock steps", [] {
        std::minstd_rand random(*rc::gen::inRange(1u, 1'000'000u));
        lease_simulation simulation;
        for (int step = 0; step < 150; ++step) {
            auto holder = random() % 2;
            switch (random() % 8) {
            case 0:
                simulation.restart(holder);
                break;
            case 1:
            case 2:
            case 3:
                simulation.stepClock(random() % 3'000);
                break;
            default:
                simulation.request(holder, milliseconds(random() % 300), milliseconds(random() % 300));
            }
            simulation.advance(milliseconds(1 + random() % 150));
        }
        RC_ASSERT(simulation.mostUsable() <= 1);
    });
}

TEST_CASE(
    "A holder that renews its lease uses it from the start, and its successor after it expired", "[cold]")
{
    lease_simulation simulation;
    auto renewFor = [&](std::size_t holder, int times) {
        for (int count = 0; count < times; ++count) {
            simulation.request(holder, milliseconds(5), milliseconds(5));
            simulation.advance(milliseconds(100));
        }
    };
    renewFor(0, 10);
    CHECK(simulation.uses() == 990);
    renewFor(1, 20);
    CHECK(simulation.uses() > 1'490 + 500); // the former holder's last lease time, and then the successor
    CHECK(simulation.mostUsable() == 1);
}
