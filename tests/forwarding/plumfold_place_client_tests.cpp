#include "plumfold_place_client.hpp"

#include "plumfold/core/places/plumfold_contention_detector.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_convert.hpp"
#include "plumfold/wire/plumfold_entry_session.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <mutex>
#include <thread>
#include <unistd.h>

using namespace plumfold;
using namespace plumfold::forwarding;

namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// What an issuer does with requests for places.
enum class issuer_behaviour {
    grant,
    refuse,
    wait, ///< Leaves the request undecided.
    not_decide, ///< As a control VM that does not hold the lease.
    not_implement, ///< As a control VM of an older version.
};

/// Calls that an issuer has received.
struct issuer_record {
    std::atomic<issuer_behaviour> behaviour { issuer_behaviour::grant };
    std::atomic<bool> isUpdateLost { false }; // updates get no answer
    std::mutex mutex;
    std::vector<core::place_request> requests;
    std::vector<core::held_place> renewed;
    std::vector<std::vector<core::place_end>> ended; // by call
    std::atomic<int> dropped { 0 }; // calls that were withdrawn
    std::atomic<int> updates { 0 };

    std::vector<core::place_end> allEnded()
    {
        std::lock_guard lock(mutex);
        std::vector<core::place_end> out;
        for (const auto& each : ended)
            out.insert(out.end(), each.begin(), each.end());
        return out;
    }
    std::vector<core::place_request> allRequests()
    {
        std::lock_guard lock(mutex);
        return requests;
    }
    std::vector<core::held_place> allRenewed()
    {
        std::lock_guard lock(mutex);
        return renewed;
    }
};

class session_stub final : public wire::EntrySession::Server {
public:
    explicit session_stub(issuer_record& record)
        : m_record(record)
    {
    }

    kj::Promise<void> acquirePlace(AcquirePlaceContext call) override
    {
        auto behaviour = m_record.behaviour.load();
        auto request = wire::read(call.getParams().getRequest());
        {
            std::lock_guard lock(m_record.mutex);
            m_record.requests.push_back(request);
        }
        if (behaviour == issuer_behaviour::not_implement)
            return KJ_EXCEPTION(UNIMPLEMENTED, "not known");
        if (behaviour == issuer_behaviour::wait) {
            call.allowCancellation();
            auto dropped = kj::defer([this] { ++m_record.dropped; });
            return kj::Promise<void>(kj::NEVER_DONE).attach(kj::mv(dropped));
        }
        call.getResults().setDecided(behaviour != issuer_behaviour::not_decide);
        core::place_decision decision { "t1", 7, core::place_refusal::none, 0ms };
        if (behaviour == issuer_behaviour::refuse)
            decision = { "", 0, core::place_refusal::no_room, 300ms };
        wire::write(call.getResults().initDecision(), decision);
        return kj::READY_NOW;
    }

    kj::Promise<void> updatePlaces(UpdatePlacesContext call) override
    {
        ++m_record.updates;
        if (m_record.isUpdateLost)
            return kj::NEVER_DONE;
        std::lock_guard lock(m_record.mutex);
        for (auto each : call.getParams().getHeld())
            m_record.renewed.push_back(wire::read(each));
        std::vector<core::place_end> ended;
        for (auto each : call.getParams().getEnded())
            ended.push_back(wire::read(each));
        if (!ended.empty())
            m_record.ended.push_back(std::move(ended));
        call.getResults().setDecided(true);
        return kj::READY_NOW;
    }

private:
    issuer_record& m_record;
};

class control_stub final : public wire::Control::Server {
public:
    explicit control_stub(issuer_record& record)
        : m_record(record)
    {
    }
    kj::Promise<void> entry(EntryContext call) override
    {
        call.getResults().setSession(kj::heap<session_stub>(m_record));
        return kj::READY_NOW;
    }

private:
    issuer_record& m_record;
};

/// Two issuers, of which the first grants the places, and the client of an entry.
class place_system {
public:
    place_system()
    {
        auto id = static_cast<unsigned>(::getpid());
        auto network = "127." + std::to_string(1 + id / 250 % 250) + '.' + std::to_string(1 + id % 250);
        for (std::size_t index = 0; index < 2; ++index) {
            m_addresses[index] = network + '.' + std::to_string(10 + index) + ":7000";
            m_listeners[index] = m_rpc.run([&] {
                return kj::heap<wire::rpc_listener>(
                    m_rpc, m_addresses[index], kj::heap<control_stub>(m_issuers[index]));
            });
        }
        m_settings.process.name = "n1";
        m_settings.process.clusterSecret = "test";
        m_sessions = m_rpc.run([this] { return std::make_unique<control_sessions>(m_rpc, m_settings); });
        m_client = std::make_unique<place_client>(m_io, m_rpc, *m_sessions);
        m_client->setIssuers({ { "east", m_addresses[0] } });
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~place_system()
    {
        onLoop([this] { m_places.clear(); });
        m_work.reset();
        m_io.stop();
        m_thread.join();
        m_client->stop();
        m_rpc.run([this] {
            m_sessions.reset();
            for (auto& each : m_listeners)
                each = nullptr;
        });
        m_client.reset();
    }

    issuer_record& issuer(std::size_t index = 0) { return m_issuers.at(index); }
    place_client& client() { return *m_client; }
    place_wait& wait() { return m_wait; }
    const std::string& address(std::size_t index) const { return m_addresses.at(index); }

    /// Asks for a place. It is held until endPlaces().
    std::future<std::optional<core::place_decision>> acquire(core::milliseconds maxWait = 500ms)
    {
        core::place_request request;
        request.service = "shop";
        request.customer = "espuma";
        request.priority = 2;
        request.maxWait = maxWait;
        request.candidates = { { "t2", 8, 6, 1 }, { "t1", 7, 6, 0 } };
        return asio::co_spawn(m_io, acquireOnLoop(std::move(request)), asio::use_future);
    }

    void endPlaces(core::place_outcome outcome)
    {
        onLoop([this, outcome] {
            for (auto& each : m_places)
                each.end(outcome);
            m_places.clear();
        });
    }
    /// Destroys the places without an outcome.
    void abandonPlaces()
    {
        onLoop([this] { m_places.clear(); });
    }

    template <class Function> void onLoop(Function function)
    {
        asio::post(m_io, asio::use_future(function)).get();
    }

    static bool eventually(const std::function<bool()>& condition)
    {
        auto until = std::chrono::steady_clock::now() + 5s;
        while (!condition() && std::chrono::steady_clock::now() < until)
            std::this_thread::sleep_for(2ms);
        return condition();
    }

private:
    task<std::optional<core::place_decision>> acquireOnLoop(core::place_request request)
    {
        auto acquired = co_await m_client->acquire(std::move(request), m_wait);
        if (acquired.place)
            m_places.push_back(std::move(acquired.place));
        co_return acquired.decision;
    }

    wire::rpc_thread m_rpc;
    asio::io_context m_io { 1 };
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> m_work { m_io.get_executor() };
    std::array<issuer_record, 2> m_issuers;
    std::array<std::string, 2> m_addresses;
    std::array<kj::Own<wire::rpc_listener>, 2> m_listeners;
    runtime::settings m_settings;
    std::unique_ptr<control_sessions> m_sessions;
    std::unique_ptr<place_client> m_client;
    place_wait m_wait;
    std::vector<place_holder> m_places;
    std::thread m_thread;
};

std::size_t heldOn(place_system& system, const std::string& target)
{
    std::size_t held = 0;
    system.onLoop([&] { held = system.client().heldOn(target); });
    return held;
}

} // namespace

// Guards against figures that are lost on the way to the issuer, and against places that leak.
TEST_CASE_METHOD(
    place_system, "A place is granted, renewed while it is held, and ended", "[forwarding][places]")
{
    auto decision = acquire().get();
    REQUIRE(decision);
    CHECK(decision->target == "t1");
    CHECK(decision->startedAt == 7);
    CHECK(heldOn(*this, "t1") == 1);
    CHECK(heldOn(*this, "t2") == 0);
    auto requests = issuer().allRequests();
    REQUIRE(requests.size() == 1);
    CHECK(requests[0].service == "shop");
    CHECK(requests[0].customer == "espuma");
    CHECK(requests[0].priority == 2);
    CHECK(requests[0].maxWait == 500ms);
    CHECK(requests[0].candidates.size() == 2);
    std::this_thread::sleep_for(1'300ms);
    auto renewed = issuer().allRenewed();
    CHECK(renewed.size() >= 2);
    CHECK(renewed.at(0) == core::held_place { requests[0].id, { "t1", 7, 6, 0 } });
    endPlaces(core::place_outcome::rejected);
    REQUIRE(eventually([&] { return issuer().allEnded().size() == 1; }));
    CHECK(issuer().allEnded()[0] == core::place_end { requests[0].id, core::place_outcome::rejected });
    CHECK(heldOn(*this, "t1") == 0);
    std::this_thread::sleep_for(500ms); // a renewal that was due is the last one
    auto updates = issuer().updates.load();
    std::this_thread::sleep_for(900ms);
    CHECK(issuer().updates == updates);
}

// Guards against a message for each place at hundreds of requests per second.
TEST_CASE_METHOD(place_system, "Ends of places are sent together", "[forwarding][places]")
{
    for (int count = 0; count < 20; ++count)
        REQUIRE(acquire().get());
    CHECK(heldOn(*this, "t1") == 20);
    abandonPlaces();
    REQUIRE(eventually([&] { return issuer().allEnded().size() == 20; }));
    CHECK(issuer().ended.size() == 1);
    for (const auto& each : issuer().allEnded())
        CHECK(each.outcome == core::place_outcome::unused);
}

TEST_CASE_METHOD(place_system, "A refusal is passed on and holds no place", "[forwarding][places]")
{
    issuer().behaviour = issuer_behaviour::refuse;
    auto decision = acquire().get();
    REQUIRE(decision);
    CHECK(decision->refusal == core::place_refusal::no_room);
    CHECK(decision->retryAfter == 300ms);
    CHECK(heldOn(*this, "t1") == 0);
    std::this_thread::sleep_for(50ms);
    CHECK(issuer().allEnded().empty());
}

// Guards against requests that wait at the issuer for a caller that is gone, and against places that are
// granted to them.
TEST_CASE_METHOD(place_system, "A request that is dropped is withdrawn at the issuer", "[forwarding][places]")
{
    issuer().behaviour = issuer_behaviour::wait;
    auto waiting = acquire(3'000ms);
    REQUIRE(eventually([&] { return issuer().allRequests().size() == 1; }));
    auto droppedAt = std::chrono::steady_clock::now();
    onLoop([this] { wait().drop(); });
    CHECK_FALSE(waiting.get());
    CHECK(std::chrono::steady_clock::now() - droppedAt < 200ms);
    CHECK(wait().isDropped());
    CHECK(eventually([&] { return issuer().dropped == 1; }));
    CHECK(eventually([&] { return issuer().allEnded().size() == 1; }));
    issuer().behaviour = issuer_behaviour::grant;
    CHECK(acquire().get()); // the session is in order
    CHECK_FALSE(wait().isDropped());
}

// Guards against places that are lost when a request is dropped just as its place is granted.
TEST_CASE_METHOD(
    place_system, "Places that are granted while the request is dropped are ended", "[forwarding][places]")
{
    for (int count = 0; count < 100; ++count) {
        auto waiting = acquire();
        std::this_thread::sleep_for(std::chrono::microseconds(20 * count));
        onLoop([this] { wait().drop(); });
        waiting.get();
    }
    abandonPlaces();
    CHECK(heldOn(*this, "t1") == 0);
    CHECK(eventually([&] {
        std::set<core::place_id> open;
        for (const auto& each : issuer().allRequests())
            open.insert(each.id);
        for (const auto& each : issuer().allEnded())
            open.erase(each.id);
        return open.empty();
    }));
}

// Guards against requests that are held up by an issuer that has ended or stands still.
TEST_CASE_METHOD(place_system, "Without a decision in time, a request gets no place", "[forwarding][places]")
{
    auto askedAt = std::chrono::steady_clock::now();
    auto took = [&] { return std::chrono::steady_clock::now() - askedAt; };
    SECTION("no issuer is known")
    {
        onLoop([this] { client().setIssuers({}); });
        CHECK_FALSE(acquire().get());
        CHECK(took() < 100ms);
    }
    SECTION("nothing listens at the address of the issuer")
    {
        auto unused = address(0).substr(0, address(0).rfind(':')) + ":7001";
        onLoop([this, unused] { client().setIssuers({ { "east", unused } }); });
        CHECK_FALSE(acquire(3'000ms).get());
        CHECK(took() < 500ms);
    }
    SECTION("the control VM does not hold the lease")
    {
        issuer().behaviour = issuer_behaviour::not_decide;
        CHECK_FALSE(acquire(3'000ms).get());
        CHECK(took() < 500ms);
    }
    SECTION("the issuer never decides, and the request may wait for a short time")
    {
        issuer().behaviour = issuer_behaviour::wait;
        CHECK_FALSE(acquire(100ms).get());
        CHECK(took() >= 200ms);
        CHECK(took() < 500ms);
        CHECK(eventually([&] { return issuer().dropped == 1; }));
    }
    SECTION("the issuer responds to nothing, and the request may wait for a long time")
    {
        issuer().behaviour = issuer_behaviour::wait;
        issuer().isUpdateLost = true;
        CHECK_FALSE(acquire(5'000ms).get());
        CHECK(took() < 1'500ms); // a renewal and its time limit
    }
}

// Guards against calls to a control VM that does not know them for each request.
TEST_CASE_METHOD(place_system, "A control VM of an older version is asked rarely", "[forwarding][places]")
{
    issuer().behaviour = issuer_behaviour::not_implement;
    for (int count = 0; count < 20; ++count)
        CHECK_FALSE(acquire().get());
    CHECK(issuer().allRequests().size() == 1);
    issuer().behaviour = issuer_behaviour::grant;
    std::this_thread::sleep_for(2'100ms);
    CHECK(acquire().get());
}

// Guards against requests that go without a place because the lease has just moved.
TEST_CASE_METHOD(place_system, "When the lease moves, the new issuer is asked", "[forwarding][places]")
{
    issuer().behaviour = issuer_behaviour::wait;
    auto waiting = acquire(2'000ms);
    REQUIRE(eventually([&] { return issuer().allRequests().size() == 1; }));
    onLoop([this] { client().setIssuers({ { "east", address(1) } }); });
    auto decision = waiting.get();
    CHECK(eventually([&] { return issuer().dropped == 1; }));
    REQUIRE(issuer(1).allRequests().size() == 1);
    CHECK(issuer(1).allRequests()[0].id == issuer(0).allRequests()[0].id);
    CHECK(decision);
}
