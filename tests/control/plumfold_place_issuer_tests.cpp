#include "plumfold_place_issuer.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <thread>

using namespace plumfold;

namespace {

constexpr std::uint32_t slots = 4;
constexpr std::uint32_t room = 5; // of a target with that many slots
constexpr core::milliseconds takeoverTime { 500 };
constexpr core::milliseconds placeLifetime { 1'500 };

core::place_candidate candidate()
{
    return { "a", 1, slots, 0 };
}

/// An issuer on its RPC thread, with the calls of one entry.
class fixture {
public:
    using answer = std::optional<core::place_decision>;

    explicit fixture(bool isTakeoverOver = true)
    {
        m_rpc.run([&] {
            m_issuer = std::make_unique<control::place_issuer>(m_rpc.timer(),
                std::vector<std::string> { "east", "west" },
                [this](const std::string& domain) { return domain == "east" && m_holdsLease; });
            m_issuer->followLeases();
        });
        if (isTakeoverOver)
            std::this_thread::sleep_for(takeoverTime);
    }

    ~fixture()
    {
        m_rpc.run([&] {
            m_calls.clear();
            m_issuer.reset();
        });
    }

    static core::place_request request(std::uint64_t number)
    {
        return { { 7, number }, "shop", "acme", 1, core::milliseconds(5'000), { candidate() } };
    }

    void ask(const core::place_request& request, const std::string& failureDomain = "east")
    {
        m_rpc.run([&] { call(request, failureDomain); });
    }

    void ask(std::uint64_t number) { ask(request(number)); }

    /// Takes all places.
    void fill()
    {
        for (std::uint64_t number = 1; number <= room; ++number) {
            ask(number);
            REQUIRE(isGranted(number));
        }
    }

    void drop(std::uint64_t number)
    {
        m_rpc.run([&] { m_calls.erase(number); });
    }

    /// Asks and drops the call before its answer can be sent.
    void askAndDrop(std::uint64_t number)
    {
        m_rpc.run([&] {
            call(request(number), "east");
            m_calls.erase(number);
        });
    }

    /// Ends a place and drops the call that gets it in the same turn of the event loop.
    void endAndDrop(std::uint64_t ended, std::uint64_t dropped)
    {
        m_rpc.run([&] {
            m_issuer->update("east", "shop", {}, { { { 7, ended }, core::place_outcome::served } });
            m_calls.erase(dropped);
        });
    }

    bool end(std::uint64_t number)
    {
        return m_rpc.run([&] {
            return m_issuer->update("east", "shop", {}, { { { 7, number }, core::place_outcome::served } });
        });
    }

    bool renew(std::uint64_t client, std::uint64_t number)
    {
        return m_rpc.run([&] {
            return m_issuer->update("east", "shop", { { { client, number }, candidate() } }, {});
        });
    }

    void setHoldsLease(bool holdsLease)
    {
        m_rpc.run([&] {
            m_holdsLease = holdsLease;
            m_issuer->followLeases();
        });
    }

    /// Ends the issuer, and then drops all calls.
    void endIssuer()
    {
        m_rpc.run([&] {
            m_issuer.reset();
            m_calls.clear();
        });
    }

    /// @return the answer to a call, within 200 ms.
    std::optional<answer> answerOf(std::uint64_t number)
    {
        auto until = runtime::now() + core::milliseconds(200);
        for (;;) {
            auto found = m_rpc.run([&]() -> std::optional<answer> {
                auto each = m_answers.find(number);
                return each == m_answers.end() ? std::nullopt : std::make_optional(each->second);
            });
            if (found || runtime::now() > until)
                return found;
            std::this_thread::sleep_for(core::milliseconds(5));
        }
    }

    bool isGranted(std::uint64_t number)
    {
        auto found = answerOf(number);
        return found && *found && (*found)->refusal == core::place_refusal::none && (*found)->target == "a";
    }

    /// @return whether a call was answered by one that grants nothing for the failure domain.
    bool isUndecided(std::uint64_t number)
    {
        auto found = answerOf(number);
        return found && !*found;
    }

    std::string metrics()
    {
        return m_rpc.run([&] { return m_issuer->metrics().prometheusText(); });
    }

    bool hasMetric(const std::string& line) { return metrics().find(line) != std::string::npos; }

private:
    void call(const core::place_request& request, const std::string& failureDomain)
    {
        auto number = request.id.number;
        m_calls.insert_or_assign(number,
            m_issuer
                ->acquire("n1", failureDomain, request,
                    [this, number](const answer& decision) { m_answers[number] = decision; })
                .eagerlyEvaluate(nullptr));
    }

    wire::rpc_thread m_rpc;
    bool m_holdsLease = true;
    std::unique_ptr<control::place_issuer> m_issuer;
    std::map<std::uint64_t, answer> m_answers;
    std::map<std::uint64_t, kj::Promise<void>> m_calls;
};

} // namespace

TEST_CASE("A place is granted at once where there is room, and otherwise when one ends", "[places]")
{
    fixture f;
    f.fill();
    f.ask(10);
    CHECK_FALSE(f.answerOf(10));
    CHECK(f.end(1));
    CHECK(f.isGranted(10));
    CHECK(f.hasMetric("plumfold_place_grants_total{service=\"shop\"} 6"));
    CHECK(f.hasMetric("plumfold_place_held{service=\"shop\"} 5"));
}

// Guards against requests that wait until the next message of an entry, which may never come.
TEST_CASE("Places of an entry that is gone are granted to others without a message", "[places]")
{
    fixture f;
    f.fill();
    f.ask(10);
    std::this_thread::sleep_for(placeLifetime);
    CHECK(f.isGranted(10));
}

TEST_CASE("A request whose time to wait ends is refused without a message", "[places]")
{
    fixture f;
    f.fill();
    auto request = fixture::request(10);
    request.maxWait = core::milliseconds(50);
    f.ask(request);
    auto found = f.answerOf(10);
    REQUIRE((found && *found));
    CHECK((*found)->refusal == core::place_refusal::no_room);
    CHECK((*found)->retryAfter >= core::milliseconds(250));
    CHECK(f.hasMetric("plumfold_place_refusals_total{service=\"shop\",reason=\"no_room\"} 1"));
}

// Guards against requests that wait for a caller that is gone, and get a place.
TEST_CASE("A dropped call withdraws its request", "[places]")
{
    fixture f;
    f.fill();
    f.ask(10);
    f.ask(11);
    f.drop(10);
    CHECK(f.hasMetric("plumfold_place_waiting{service=\"shop\"} 1"));
    f.end(1);
    CHECK(f.isGranted(11));
}

// Guards against places that nobody holds until they expire.
TEST_CASE("A call that is dropped when its place is granted leaves no place", "[places]")
{
    fixture f;
    f.askAndDrop(1);
    CHECK(f.hasMetric("plumfold_place_held{service=\"shop\"} 0"));
    f.fill();
    f.ask(10);
    f.ask(11);
    f.endAndDrop(1, 10);
    CHECK(f.isGranted(11));
    CHECK_FALSE(f.answerOf(10));
    CHECK(f.hasMetric("plumfold_place_held{service=\"shop\"} 5"));
}

TEST_CASE("A repeated call gets the place, and the call before it no decision", "[places]")
{
    fixture f;
    f.fill();
    f.ask(10);
    f.ask(10);
    f.end(1);
    CHECK(f.isGranted(10));
    CHECK(f.hasMetric("plumfold_place_held{service=\"shop\"} 5"));
}

// Guards against callers that wait for a control VM which no longer grants anything.
TEST_CASE("When the lease is lost, waiting calls are answered as undecided", "[places]")
{
    fixture f;
    f.fill();
    f.ask(10);
    f.setHoldsLease(false);
    CHECK(f.isUndecided(10));
    f.ask(11);
    CHECK(f.isUndecided(11));
    CHECK_FALSE(f.renew(7, 1));
    CHECK_FALSE(f.end(1));
    CHECK(f.hasMetric("plumfold_place_held{service=\"shop\"} 0"));
}

TEST_CASE("Places of other failure domains are not granted", "[places]")
{
    fixture f;
    std::string domain = GENERATE("west", "unknown", "");
    f.ask(fixture::request(1), domain);
    CHECK(f.isUndecided(1));
}

// Guards against a new issuer that grants places which its predecessor has granted.
TEST_CASE("After the lease was taken over, half of the room is granted for a while", "[places]")
{
    fixture f(false);
    f.ask(1);
    f.ask(2);
    CHECK(f.isGranted(1));
    CHECK(f.isGranted(2));
    CHECK(f.renew(8, 1));
    f.ask(3);
    f.ask(4);
    f.ask(5);
    CHECK_FALSE(f.answerOf(3));
    std::this_thread::sleep_for(takeoverTime);
    CHECK(f.isGranted(3));
    CHECK(f.isGranted(4));
    CHECK_FALSE(f.answerOf(5));
}

// Guards against entries whose wrong figures fill a target or end the process.
TEST_CASE("Requests with impossible figures are refused", "[places]")
{
    fixture f;
    auto request = fixture::request(1);
    SECTION("no slots")
    {
        request.candidates[0].slots = 0;
    }
    SECTION("too many slots")
    {
        request.candidates[0].slots = 10'001;
    }
    SECTION("too many candidates")
    {
        request.candidates.assign(9, candidate());
    }
    SECTION("no time to wait")
    {
        request.maxWait = core::milliseconds(0);
    }
    f.ask(request);
    auto found = f.answerOf(1);
    REQUIRE((found && *found));
    CHECK((*found)->refusal == core::place_refusal::unusable);
    CHECK(f.hasMetric("plumfold_place_refusals_total{service=\"shop\",reason=\"unusable\"} 1"));
}

// Guards against a process that crashes at its stop because the RPC system drops open calls last.
TEST_CASE("Calls may be dropped after the issuer has ended", "[places]")
{
    fixture f;
    f.fill();
    f.ask(10);
    f.endIssuer();
    CHECK_FALSE(f.answerOf(10));
}
