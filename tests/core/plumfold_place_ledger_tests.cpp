#include "plumfold/core/places/plumfold_place_ledger.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace plumfold::core;

namespace {

constexpr std::uint32_t slots = 4; // a room of 5
constexpr std::uint32_t room = 5;
constexpr milliseconds maxWait { 300 };

place_candidate candidate(
    const std::string& target, unix_milliseconds startedAt = 1, std::uint32_t withoutPlace = 0)
{
    return { target, startedAt, slots, withoutPlace };
}

/// A ledger with its time and the decisions so far.
class fixture {
public:
    place_request request(std::uint32_t priority = 1, const std::string& customer = "acme")
    {
        return { { 1 + m_number / 50, ++m_number }, "shop", customer, priority, maxWait, { candidate("a") } };
    }

    place_id submit(const place_request& request)
    {
        ledger.submit(request, now);
        decide();
        return request.id;
    }

    /// Submits requests until all places of target a are held.
    std::vector<place_id> fill()
    {
        std::vector<place_id> held;
        for (std::uint32_t index = 0; index < room; ++index) {
            held.push_back(submit(request()));
            REQUIRE(isGranted(held.back()));
        }
        return held;
    }

    void end(place_id id, place_outcome outcome = place_outcome::served)
    {
        ledger.end({ id, outcome }, now);
        decide();
    }

    void decide()
    {
        for (const auto& [id, decision] : ledger.takeDecisions(now)) {
            decisions[id] = decision;
            order.push_back(id);
        }
    }

    void pass(milliseconds time)
    {
        now += time;
        decide();
    }

    bool isGranted(place_id id) const
    {
        auto found = decisions.find(id);
        return found != decisions.end() && found->second.refusal == place_refusal::none;
    }

    bool isRefused(place_id id, place_refusal refusal) const
    {
        auto found = decisions.find(id);
        return found != decisions.end() && found->second.refusal == refusal;
    }

    place_ledger ledger;
    instant now = instant {} + milliseconds(100'000);
    std::map<place_id, place_decision> decisions;
    std::vector<place_id> order; // of decisions

private:
    std::uint64_t m_number = 0;
};

} // namespace

TEST_CASE("Places are granted on the candidate with the most free room, then the first one", "[places]")
{
    fixture f;
    auto both = f.request();
    both.candidates = { candidate("a", 1, 1), candidate("b") };
    auto first = f.submit(both);
    CHECK(f.decisions.at(first).target == "b");
    auto next = f.request();
    next.id.client = both.id.client;
    next.candidates = both.candidates;
    CHECK(f.decisions.at(f.submit(next)).target == "a");
}

// Guards against places that a killed entry holds for ever.
TEST_CASE("A place that is not renewed expires", "[places]")
{
    fixture f;
    auto held = f.fill();
    f.pass(milliseconds(1'400));
    f.ledger.renew({ { held[0], candidate("a") } }, f.now);
    f.pass(milliseconds(200));
    CHECK(f.ledger.figures().held == 1);
    CHECK(f.ledger.figures().expired == room - 1);
    f.pass(milliseconds(1'500));
    CHECK(f.ledger.isIdle());
}

// Guards against a call that is repeated after its answer was lost and takes a second place.
TEST_CASE("A repeated request gets the same place", "[places]")
{
    fixture f;
    auto request = f.request();
    auto id = f.submit(request);
    f.decisions.clear();
    f.submit(request);
    CHECK(f.isGranted(id));
    CHECK(f.ledger.figures().held == 1);
    CHECK(f.ledger.figures().granted == 1);
}

TEST_CASE("A repeated request that waits gets one place", "[places]")
{
    fixture f;
    auto held = f.fill();
    auto waiting = f.request();
    f.submit(waiting);
    f.submit(waiting);
    CHECK(f.ledger.figures().waiting == 1);
    f.end(held[0]);
    CHECK(f.isGranted(waiting.id));
    CHECK(f.ledger.figures().held == room);
}

// Guards against a place that nobody holds when a call is dropped while its decision is made.
TEST_CASE("A request that is cancelled together with its grant leaves no place", "[places]")
{
    fixture f;
    auto request = f.request();
    bool isDecided = GENERATE(false, true);
    f.ledger.submit(request, f.now);
    if (isDecided)
        f.decide();
    f.ledger.cancel(request.id, f.now);
    f.decide();
    CHECK(f.ledger.isIdle());
    CHECK(f.isGranted(request.id) == isDecided);
}

TEST_CASE("A waiting request that is cancelled gets no decision", "[places]")
{
    fixture f;
    auto held = f.fill();
    auto cancelled = f.submit(f.request());
    auto next = f.submit(f.request());
    f.ledger.cancel(cancelled, f.now);
    f.end(held[0]);
    CHECK(f.isGranted(next));
    CHECK_FALSE(f.decisions.contains(cancelled));
    CHECK(f.ledger.figures().waiting == 0);
}

// Guards against a new issuer that grants places which its predecessor has granted.
TEST_CASE("After a takeover, half of the room is granted until places are renewed", "[places]")
{
    fixture f;
    f.ledger.onTakeover(f.now);
    auto first = f.submit(f.request());
    auto second = f.submit(f.request());
    auto third = f.submit(f.request());
    CHECK((f.isGranted(first) && f.isGranted(second)));
    CHECK_FALSE(f.decisions.contains(third));
    f.ledger.renew({ { { 70, 1 }, candidate("a") }, { { 70, 2 }, candidate("a") } }, f.now);
    CHECK(f.ledger.figures().held == 4);
    auto patient = f.request();
    patient.maxWait = milliseconds(2'000);
    f.submit(patient);
    f.pass(milliseconds(499));
    CHECK_FALSE(f.decisions.contains(patient.id));
    f.pass(milliseconds(1));
    CHECK(f.isGranted(patient.id));
    CHECK(f.ledger.figures().held == room);
}

TEST_CASE("Renewed places that were not known are ended as others", "[places]")
{
    fixture f;
    f.ledger.renew({ { { 70, 1 }, candidate("a") } }, f.now);
    f.end({ 70, 1 });
    CHECK(f.ledger.isIdle());
}

// Guards against a restarted target that gets no requests until the places of its former incarnation end.
TEST_CASE("The room of a restarted target starts empty", "[places]")
{
    fixture f;
    auto held = f.fill();
    auto request = f.request();
    request.candidates = { candidate("a", 2) };
    auto id = f.submit(request);
    CHECK(f.isGranted(id));
    CHECK(f.decisions.at(id).startedAt == 2);
    f.end(held[0]);
    CHECK(f.ledger.figures().held == room);
}

// Guards against figures that would make a target's room endless or break the ledger.
TEST_CASE("Requests with impossible figures are refused as unusable", "[places]")
{
    fixture f;
    auto request = f.request();
    SECTION("no candidate")
    {
        request.candidates.clear();
    }
    SECTION("9 candidates")
    {
        request.candidates.assign(9, candidate("a"));
    }
    SECTION("no slots")
    {
        request.candidates[0].slots = 0;
    }
    SECTION("too many slots")
    {
        request.candidates[0].slots = 10'001;
    }
    SECTION("too many requests without a place")
    {
        request.candidates[0].withoutPlace = 4'000'000'000;
    }
    SECTION("a candidate without a name")
    {
        request.candidates[0].target.clear();
    }
    SECTION("no time to wait")
    {
        request.maxWait = milliseconds(0);
    }
    SECTION("negative time to wait")
    {
        request.maxWait = milliseconds(-1);
    }
    auto id = f.submit(request);
    CHECK(f.isRefused(id, place_refusal::unusable));
    CHECK(f.ledger.isIdle());
}

TEST_CASE("Renewals with impossible figures are ignored", "[places]")
{
    fixture f;
    f.ledger.renew({ { { 70, 1 }, { "a", 1, 0, 0 } }, { { 70, 2 }, { "a", 1, 10'001, 0 } } }, f.now);
    CHECK(f.ledger.isIdle());
}

TEST_CASE("Requests without a place count for a second", "[places]")
{
    fixture f;
    auto request = f.request();
    request.candidates = { candidate("a", 1, room) };
    request.maxWait = milliseconds(2'000);
    f.submit(request);
    f.pass(milliseconds(1'000));
    CHECK_FALSE(f.decisions.contains(request.id));
    f.pass(milliseconds(60));
    CHECK(f.isGranted(request.id));
}

// Guards against a target that rejects again and again because something else uses its slots.
TEST_CASE("The room of a target falls after a rejection and grows again", "[places]")
{
    fixture f;
    auto held = f.fill();
    f.end(held[0], place_outcome::rejected);
    CHECK(f.ledger.figures().rejected == 1);
    auto next = f.submit(f.request());
    CHECK_FALSE(f.decisions.contains(next)); // room 4, 4 held
    f.end(held[1]);
    CHECK(f.isGranted(next));
    for (auto id : { held[2], held[3], held[4] })
        f.end(id, place_outcome::rejected);
    CHECK(f.ledger.figures().held == 1);
    CHECK(f.isGranted(f.submit(f.request()))); // never below half of the slots
    auto later = f.submit(f.request());
    CHECK_FALSE(f.decisions.contains(later));
    auto patient = f.request();
    patient.maxWait = milliseconds(2'000);
    f.submit(patient);
    f.pass(milliseconds(500));
    CHECK(f.isGranted(patient.id));
}

TEST_CASE("Waiting requests are ordered by urgency, then deadline", "[places]")
{
    fixture f;
    auto held = f.fill();
    auto patient = f.request(1);
    patient.maxWait = milliseconds(900);
    f.submit(patient);
    auto hurried = f.submit(f.request(1));
    auto urgent = f.submit(f.request(0));
    f.order.clear();
    for (int index = 0; index < 3; ++index)
        f.end(held[static_cast<std::size_t>(index)]);
    CHECK(f.order == std::vector<place_id> { urgent, hurried, patient.id });
}

TEST_CASE("After 8 grants to more urgent requests, a less urgent one goes first", "[places]")
{
    fixture f;
    auto held = f.fill();
    auto least = f.submit(f.request(2));
    std::vector<place_id> urgent;
    for (int index = 0; index < 9; ++index)
        urgent.push_back(f.submit(f.request(0)));
    f.order.clear();
    for (std::size_t index = 0; index < 10; ++index)
        f.end(index < room ? held[index] : urgent[index - room]);
    REQUIRE(f.order.size() == 10);
    CHECK(f.order[8] == least);
}

TEST_CASE("A request that has waited too long is refused, with a time to return", "[places]")
{
    fixture f;
    f.fill();
    auto id = f.submit(f.request());
    f.pass(maxWait);
    REQUIRE(f.isRefused(id, place_refusal::no_room));
    CHECK(f.decisions.at(id).retryAfter >= milliseconds(250));
    CHECK(f.decisions.at(id).retryAfter <= milliseconds(5'000));
    CHECK(f.ledger.figures().waiting == 0);
}

// Guards against refused callers that return at the same time.
TEST_CASE("The times at which refused callers should return differ", "[places]")
{
    fixture f;
    f.fill();
    std::vector<place_id> refused;
    for (int index = 0; index < 20; ++index)
        refused.push_back(f.submit(f.request()));
    f.pass(maxWait);
    std::set<milliseconds> times;
    for (auto id : refused)
        times.insert(f.decisions.at(id).retryAfter);
    CHECK(times.size() == refused.size());
}

TEST_CASE("At most 100 requests of an entry and 2,000 of all wait", "[places]")
{
    fixture f;
    f.fill();
    for (std::uint64_t client = 100; client < 120; ++client) {
        for (std::uint64_t number = 0; number < 100; ++number) {
            auto request = f.request();
            request.id = { client, number };
            f.ledger.submit(request, f.now);
        }
        if (client == 100) {
            auto request = f.request();
            request.id = { client, 100 };
            CHECK(f.isRefused(f.submit(request), place_refusal::queue_full));
        }
    }
    CHECK(f.ledger.figures().waiting == 2'000);
    CHECK(f.isRefused(f.submit(f.request()), place_refusal::queue_full));
}

// Guards against requests for one full target that keep others from a target with room.
TEST_CASE("Requests for a full target do not block others", "[places]")
{
    fixture f;
    f.fill();
    for (std::uint64_t number = 0; number < 100; ++number) {
        auto request = f.request();
        request.id = { 200, number };
        f.submit(request);
    }
    std::vector<place_id> onOther;
    for (std::uint32_t index = 0; index < room + 1; ++index) {
        auto request = f.request();
        request.candidates = { candidate("b") };
        onOther.push_back(f.submit(request));
    }
    CHECK(f.isGranted(onOther[room - 1]));
    CHECK_FALSE(f.decisions.contains(onOther[room]));
    f.end(onOther[0]);
    CHECK(f.isGranted(onOther[room]));
    CHECK(f.ledger.figures().waiting == 100);
}
