#include "plumfold/core/plumfold_brittle_limiter.hpp"

#include "plumfold/core/plumfold_target_selector.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>

using namespace plumfold::core;

namespace {

const instant start = instant(std::chrono::hours(1));

instant after(int ms)
{
    return start + milliseconds(ms);
}

/// One target and the entries that send to it, in steps of 5 ms.
class brittle_model {
public:
    static constexpr int step = 5; // ms
    static constexpr int brittleAt = 1'000;
    static constexpr int shrinkAt = brittleAt + 3'000;
    static constexpr int end = shrinkAt + 6'000;

    struct parameters {
        int entries = 1;
        int slots = 1; // as announced
        int usableSlots = 1; // that really run requests, from shrinkAt on
        int waiting = 0; // until shrinkAt
        int waitingLater = 0;
        std::uint32_t maxRejections = 1;
        int maxResponseDelay = 0; // ms
        unsigned seed = 0;
    };

    explicit brittle_model(const parameters& parameters)
        : m_parameters(parameters)
        , m_random(parameters.seed)
        , m_inFlight(static_cast<std::size_t>(parameters.entries))
    {
        for (int number = 0; number < parameters.entries; ++number) {
            m_limiters.emplace_back("n" + std::to_string(number));
            m_limiters.back().setEntryCount(static_cast<std::uint32_t>(parameters.entries), start);
        }
    }

    void run()
    {
        for (m_now = 0; m_now < end; m_now += step) {
            deliverResponses();
            completeRequests();
            for (std::size_t number = 0; number < m_limiters.size(); ++number) {
                while (random(0, 2) != 0 && mayStart(number))
                    send(number);
            }
        }
    }

    /// @return the most rejections in any second after the room has shrunk.
    int maxRejectionsPerSecond() const
    {
        int most = 0;
        for (auto first = m_rejections.begin(); first != m_rejections.end(); ++first)
            most = std::max(most, static_cast<int>(std::count_if(first, m_rejections.end(), [&](int at) {
                return at - *first < 1'000;
            })));
        return most;
    }
    int completedAfterShrinking() const { return m_completed; }

private:
    struct running_request {
        std::size_t entry = 0;
        int endsAt = 0;
    };
    struct response {
        std::size_t entry = 0;
        int arrivesAt = 0;
        bool isBrittle = false;
        bool isRejection = false;
    };

    int random(int from, int to) { return std::uniform_int_distribution<int>(from, to)(m_random); }

    bool mayStart(std::size_t entry)
    {
        auto limit
            = m_limiters[entry].limit("s", "t", static_cast<std::uint32_t>(m_parameters.slots), after(m_now));
        auto unlimited = static_cast<std::uint32_t>(m_parameters.slots);
        return m_inFlight[entry] < limit.value_or(unlimited);
    }

    std::size_t slotsNow() const
    {
        return static_cast<std::size_t>(m_now < shrinkAt ? m_parameters.slots : m_parameters.usableSlots);
    }
    std::size_t waitingNow() const
    {
        return static_cast<std::size_t>(m_now < shrinkAt ? m_parameters.waiting : m_parameters.waitingLater);
    }

    void send(std::size_t entry)
    {
        ++m_inFlight[entry];
        if (m_running.size() < slotsNow()) {
            m_running.push_back({ entry, m_now + random(20, 300) });
        } else if (m_waiting.size() < waitingNow()) {
            m_waiting.push_back(entry);
        } else {
            if (m_now >= shrinkAt)
                m_rejections.push_back(m_now);
            respond(entry, true);
        }
    }

    void respond(std::size_t entry, bool isRejection)
    {
        m_responses.push_back(
            { entry, m_now + random(0, m_parameters.maxResponseDelay), m_now >= brittleAt, isRejection });
    }

    void completeRequests()
    {
        std::erase_if(m_running, [&](const auto& each) {
            if (each.endsAt > m_now)
                return false;
            respond(each.entry, false);
            m_completed += m_now >= shrinkAt;
            return true;
        });
        while (!m_waiting.empty() && m_running.size() < slotsNow()) {
            m_running.push_back({ m_waiting.front(), m_now + random(20, 300) });
            m_waiting.pop_front();
        }
    }

    void deliverResponses()
    {
        std::erase_if(m_responses, [&](const auto& each) {
            if (each.arrivesAt > m_now)
                return false;
            auto& limiter = m_limiters[each.entry];
            auto declared = each.isBrittle ? std::optional(m_parameters.maxRejections) : std::nullopt;
            limiter.onResponse("s", declared, after(m_now));
            if (each.isRejection)
                limiter.onRejection("s", "t", after(m_now));
            --m_inFlight[each.entry];
            return true;
        });
    }

    parameters m_parameters;
    std::mt19937 m_random;
    int m_now = 0; // ms
    std::vector<brittle_limiter> m_limiters;
    std::vector<std::uint32_t> m_inFlight; // by entry
    std::vector<running_request> m_running;
    std::deque<std::size_t> m_waiting;
    std::vector<response> m_responses; // on their way
    std::vector<int> m_rejections; // times
    int m_completed = 0;
};

brittle_model::parameters drawParameters(int entries)
{
    brittle_model::parameters out;
    out.entries = entries;
    out.slots = *rc::gen::inRange(entries, 5 * entries).as("slots");
    out.usableSlots = out.slots;
    out.waiting = *rc::gen::inRange(0, 2 * out.slots).as("waiting");
    out.waitingLater = *rc::gen::inRange(0, out.waiting + 1).as("waiting later");
    out.maxRejections = *rc::gen::inRange(1U, 21U).as("max rejections");
    out.maxResponseDelay = *rc::gen::inRange(0, 301).as("max response delay");
    out.seed = *rc::gen::arbitrary<unsigned>().as("seed");
    return out;
}

} // namespace

TEST_CASE(
    "A brittle target rejects nothing for want of room whatever becomes of its room to wait", "[brittle]")
{
    rc::prop("for any number of entries up to the slots", [] {
        auto parameters = drawParameters(*rc::gen::inRange(1, 13).as("entries"));
        brittle_model model(parameters);
        model.run();
        RC_ASSERT(model.maxRejectionsPerSecond() == 0);
        RC_ASSERT(model.completedAfterShrinking() > 0);
    });
}

TEST_CASE("A brittle target that loses slots rejects at most one request for each place an entry has had",
    "[brittle]")
{
    rc::prop("in any second", [] {
        auto parameters = drawParameters(*rc::gen::inRange(1, 13).as("entries"));
        parameters.usableSlots = *rc::gen::inRange(1, parameters.slots + 1).as("usable slots");
        parameters.waitingLater = 0;
        brittle_model model(parameters);
        model.run();
        RC_ASSERT(model.maxRejectionsPerSecond() <= parameters.slots);
    });
    rc::prop(
        "not more than it bears if that is as many as there are entries and responses are immediate", [] {
            auto parameters = drawParameters(*rc::gen::inRange(1, 13).as("entries"));
            parameters.usableSlots = *rc::gen::inRange(1, parameters.slots + 1).as("usable slots");
            parameters.waitingLater = 0;
            parameters.maxResponseDelay = 0;
            parameters.slots = parameters.entries; // one place for each entry
            parameters.usableSlots = std::min(parameters.usableSlots, parameters.slots);
            parameters.maxRejections = static_cast<std::uint32_t>(parameters.entries);
            brittle_model model(parameters);
            model.run();
            RC_ASSERT(model.maxRejectionsPerSecond() <= parameters.entries);
        });
}

TEST_CASE("Entries use equal parts of the slots of a brittle target", "[brittle]")
{
    brittle_limiter limiter("n1");
    limiter.setEntryCount(4, start);
    CHECK(limiter.limit("s", "t", 64, start) == std::nullopt);
    limiter.onResponse("s", 3, start);
    CHECK(limiter.limit("s", "t", 64, start) == 16);
    CHECK(limiter.limit("s", "another", 64, start) == 16);
    CHECK(limiter.limit("other", "t", 64, start) == std::nullopt);
    SECTION("those of the largest number of entries in the last five seconds")
    {
        limiter.setEntryCount(2, after(1'000));
        CHECK(limiter.limit("s", "t", 64, after(1'000)) == 16);
        limiter.setEntryCount(2, after(6'000));
        CHECK(limiter.limit("s", "t", 64, after(6'000)) == 32);
    }
    SECTION("until a target has not been brittle for a second")
    {
        limiter.onResponse("s", std::nullopt, after(900));
        CHECK(limiter.isBrittle("s"));
        limiter.onResponse("s", std::nullopt, after(1'000));
        CHECK_FALSE(limiter.isBrittle("s"));
    }
    SECTION("and less while a cancelled request may still run")
    {
        limiter.onAttemptCancelled("s", "t", after(100));
        CHECK(limiter.limit("s", "t", 64, after(599)) == 15);
        CHECK(limiter.limit("s", "t", 64, after(600)) == 16);
    }
}

TEST_CASE("A rejection by a brittle target pauses an entry for its part of the rejections", "[brittle]")
{
    brittle_limiter limiter("n1");
    limiter.setEntryCount(4, start);
    limiter.onResponse("s", 2, start);
    limiter.onRejection("s", "t", start);
    CHECK(limiter.limit("s", "t", 64, after(1'999)) == 0);
    CHECK(limiter.limit("s", "t", 64, after(2'000)) == 8);
    CHECK(limiter.limit("s", "t", 64, after(3'000)) == 12);
    CHECK(limiter.limit("s", "t", 64, after(4'000)) == 16);
    CHECK(limiter.limit("s", "another", 64, start) == 16);
}

TEST_CASE("A target that starts while its service is brittle begins with one request", "[brittle]")
{
    brittle_limiter limiter("n1");
    limiter.setEntryCount(4, start);
    limiter.onResponse("s", 2, start);
    limiter.onTargetStarted("s", "t", start);
    CHECK(limiter.limit("s", "t", 64, start) == 1);
    CHECK(limiter.limit("s", "t", 64, after(2'000)) == 8);
    CHECK(limiter.limit("s", "t", 64, after(4'000)) == 16);
}

TEST_CASE("Entries draw the slots of a brittle target that has fewer than there are entries", "[brittle]")
{
    constexpr int entries = 16;
    constexpr std::uint32_t slots = 8;
    constexpr int periods = 200;
    int total = 0;
    for (int number = 0; number < entries; ++number) {
        brittle_limiter limiter("n" + std::to_string(number));
        limiter.setEntryCount(entries, start);
        limiter.onResponse("s", 3, start);
        int drawn = 0;
        for (int period = 0; period < periods; ++period)
            drawn += static_cast<int>(limiter.limit("s", "t", slots, after(1'000 * period)).value_or(slots));
        CHECK(drawn > 0);
        total += drawn;
    }
    CHECK(total <= static_cast<int>(slots) * periods);
    CHECK(total >= static_cast<int>(slots) * periods / 4);
}

TEST_CASE(
    "A brittle engine gets no request that does not fit into the entry's part of its memory", "[brittle]")
{
    target_announcement engine;
    engine.name = "t";
    engine.service = "s";
    engine.slots = 64;
    service_limits limits;
    limits.name = "s";
    limits.engine.emplace();
    limits.engine->memoryTokens = 4'000;
    target_selector selector({});
    selector.applyAnnouncements({ engine }, true, start);
    selector.setServices({ limits });
    selector.setEntryCount(4, start);
    placement_request request;
    request.service = "s";
    request.promptTokens = 400;
    request.outputTokens = 100;
    selector.onResponse("t", std::nullopt, false, start);
    CHECK(selector.choose(request, start).chosen);
    selector.onResponse("t", 3, false, start);
    CHECK(selector.choose(request, start).chosen);
    auto full = selector.choose(request, start);
    CHECK_FALSE(full.chosen);
    CHECK(full.reason == placement_failure::full);
    CHECK(full.retryAfter > milliseconds(0));
    selector.onAttemptEnded("t", attempt_result::answered, 500, start);
    CHECK(selector.choose(request, start).chosen);
}
