#include "plumfold/core/places/plumfold_contention_detector.hpp"

#include <catch2/catch.hpp>

#include <queue>
#include <random>
#include <set>

using namespace plumfold::core;

namespace {

const instant start = instant(std::chrono::hours(1));
constexpr std::uint32_t slots = 30;
constexpr milliseconds runTime { 60 };

/// Sends this entry's share of the requests to a service, with Poisson arrivals.
class poisson_load {
public:
    poisson_load(contention_detector& detector, std::uint32_t entries, unsigned seed)
        : m_detector(detector)
        , m_entries(entries)
        , m_random(seed)
    {
    }

    /// @param load requests of all entries in flight, as a share of the slots.
    /// @return the share of the requests for which the service was contended.
    double run(double load, std::chrono::seconds time)
    {
        double perMs = load * slots / static_cast<double>(runTime.count()) / m_entries;
        std::exponential_distribution<double> gapMs(perMs);
        auto end = m_now + time;
        std::size_t sent = 0;
        std::size_t contended = 0;
        while (true) {
            m_now += std::chrono::duration_cast<instant::duration>(
                std::chrono::duration<double, std::milli>(gapMs(m_random)));
            while (!m_ends.empty() && m_ends.front() <= m_now) {
                m_detector.onEnded(m_ends.front());
                m_ends.pop();
            }
            if (m_now >= end)
                break;
            ++sent;
            contended += m_detector.isContended(slots, m_entries, m_now);
            m_detector.onSent(m_now);
            m_ends.push(m_now + runTime);
        }
        return static_cast<double>(contended) / static_cast<double>(sent);
    }

    instant now() const { return m_now; }

private:
    contention_detector& m_detector;
    std::uint32_t m_entries;
    std::mt19937 m_random;
    instant m_now = start;
    std::queue<instant> m_ends;
};

place_decision refused(place_refusal refusal)
{
    return { "", 0, refusal, milliseconds(300) };
}

const place_decision granted { "t1", 7, place_refusal::none, milliseconds(0) };

} // namespace

// Guards against messages to issuers while there is room for all requests.
TEST_CASE("A service with two fifths of its slots in use is not contended", "[places]")
{
    auto seed = GENERATE(range(1u, 11u));
    CAPTURE(seed);
    contention_detector detector;
    SECTION("a few entries")
    {
        CHECK(poisson_load(detector, 4, seed).run(0.4, std::chrono::seconds(120)) == 0);
    }
    SECTION("one of many entries, whose few requests are a rough sample of all")
    {
        CHECK(poisson_load(detector, 60, seed).run(0.4, std::chrono::seconds(120)) < 0.1);
    }
}

// Guards against entries that compete without places until targets reject requests.
TEST_CASE("A service with nearly all slots in use is contended", "[places]")
{
    auto seed = GENERATE(range(1u, 11u));
    auto entries = GENERATE(4u, 60u);
    CAPTURE(seed, entries);
    contention_detector detector;
    poisson_load load(detector, entries, seed);
    load.run(1, std::chrono::seconds(6)); // until the average has reached the load
    CHECK(load.run(1, std::chrono::seconds(60)) > 0.9);
}

// Guards against places that are asked for long after a burst.
TEST_CASE("Contention by load ends two seconds after the load, however high it was", "[places]")
{
    contention_detector detector;
    for (int count = 0; count < 300; ++count)
        detector.onSent(start);
    auto end = start + std::chrono::seconds(10);
    REQUIRE(detector.isContended(slots, 1, end));
    for (int count = 0; count < 300; ++count)
        detector.onEnded(end);
    CHECK(detector.isContended(slots, 1, end + milliseconds(1'999)));
    CHECK_FALSE(detector.isContended(slots, 1, end + milliseconds(2'001)));
}

// Guards against rejections and decisions that have no effect, or one without an end.
TEST_CASE("A service is contended for two seconds after evidence of it", "[places]")
{
    contention_detector detector;
    REQUIRE_FALSE(detector.isContended(slots, 60, start));
    SECTION("a rejection")
    {
        detector.onRejection(start);
    }
    SECTION("a refusal for lack of room")
    {
        detector.onDecision(refused(place_refusal::no_room), milliseconds(1), start);
    }
    SECTION("a refusal because of a full queue")
    {
        detector.onDecision(refused(place_refusal::queue_full), milliseconds(1), start);
    }
    SECTION("a place that was granted after a wait")
    {
        detector.onDecision(granted, milliseconds(21), start);
    }
    CHECK(detector.isContended(slots, 60, start));
    CHECK(detector.isContended(slots, 60, start + milliseconds(1'999)));
    CHECK_FALSE(detector.isContended(slots, 60, start + milliseconds(2'000)));
}

TEST_CASE("A place that is granted at once is no evidence of contention", "[places]")
{
    contention_detector detector;
    detector.onDecision(granted, milliseconds(20), start);
    detector.onDecision(refused(place_refusal::unusable), milliseconds(300), start);
    CHECK_FALSE(detector.isContended(slots, 60, start));
}

// Guards against a division by 0 and against questions that name no candidate.
TEST_CASE("A service without usable targets or with an unknown number of entries is judged", "[places]")
{
    contention_detector detector;
    detector.onSent(start);
    CHECK_FALSE(detector.isContended(0, 60, start + milliseconds(5'000)));
    CHECK_FALSE(detector.isContended(slots, 0, start + milliseconds(5'000)));
}

// Guards against two issuers that grant the same room to entries that know the same failure domains.
TEST_CASE("The failure domain that grants places depends on the service alone", "[places]")
{
    std::vector<std::string> domains { "east", "north", "south" };
    std::vector<std::string> reordered { "south", "east", "north" };
    std::set<std::string> used;
    for (int number = 0; number < 50; ++number) {
        auto service = "service-" + std::to_string(number);
        auto domain = placeDomainOf(service, domains);
        CHECK(domain == placeDomainOf(service, reordered));
        used.insert(domain);
        // Without one that does not grant them, the places of a service stay where they are.
        for (const auto& removed : domains) {
            auto rest = domains;
            std::erase(rest, removed);
            if (removed != domain)
                CHECK(placeDomainOf(service, rest) == domain);
        }
    }
    CHECK(used.size() == domains.size());
    CHECK(placeDomainOf("shop", {}).empty());
}

// Guards against requests that get a place too late to be answered in time.
TEST_CASE("A request waits for a place only as long as its answer can still be in time", "[places]")
{
    using std::chrono_literals::operator""ms;
    CHECK(maxPlaceWait(1'000ms, 200ms, 1.2, 0ms) == 240ms);
    CHECK(maxPlaceWait(1'000ms, 200ms, 1.2, 100ms) == 140ms);
    CHECK(maxPlaceWait(100ms, 200ms, 1.2, 0ms) == 70ms);
    CHECK(maxPlaceWait(1'000ms, 0ms, 1.2, 0ms) == 700ms);
    CHECK(maxPlaceWait(1'000ms, 200ms, 0.6, 500ms) == 1ms); // issuers refuse requests that cannot wait at all
}
