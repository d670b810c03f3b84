#include "support/plumfold_serving_system.hpp"

#include <Poco/Exception.h>
#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <vector>

using namespace plumfold::tests;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds gracePeriod { 6'000 };
/// Requests are passed on only in the first part of the grace period.
constexpr milliseconds acceptancePeriod = gracePeriod / 2;
constexpr milliseconds callerDeadline { 10'000 };
constexpr int entry = 2;
constexpr std::size_t callerCount = 10;

bool announcesClose(const raw_response& response)
{
    return response.headers.find("connection: close") != std::string::npos;
}

/// An entry with callers that keep their connections.
class kept_connections : public serving_system {
public:
    kept_connections()
    {
        setGracePeriod(gracePeriod);
        auto body = deployment(4);
        for (auto& route : body["routes"])
            route["timeout-ms"] = callerDeadline.count();
        putDeployment(1, body);
        startAnnouncing();
        startEntry(entry);
        waitForTarget(entry);
        REQUIRE(eventually([&] { return logOf(name()).find(" version=4 ") != std::string::npos; }));
        for (std::size_t number = 0; number < callerCount; ++number)
            m_callers.push_back(std::make_unique<raw_caller>(callerAddress(entry)));
    }

    static std::string name() { return "n" + std::to_string(entry); }

    std::vector<std::unique_ptr<raw_caller>>& callers() { return m_callers; }

    /// @return the id of the request.
    std::string send(raw_caller& caller, const std::string& path)
    {
        auto id = nextId();
        caller.send(requestBytes(
            path, id, "order", { { "Request-Deadline", std::to_string(callerDeadline.count()) } }));
        return id;
    }

    std::future<int> stopLater()
    {
        return std::async(std::launch::async, [this] { return process(name()).stop(); });
    }

    std::size_t runsOf(const std::string& id)
    {
        std::size_t count = 0;
        for (const char* each : { "t1", "t2" }) {
            for (const auto& request : target(each).requests())
                count += request.headers.at("request-id") == id;
        }
        return count;
    }

private:
    std::vector<std::unique_ptr<raw_caller>> m_callers;
};

} // namespace

TEST_CASE_METHOD(kept_connections, "A connection is closed behind a response that announces it",
    "[forwarding][planned_stop]")
{
    for (auto& caller : callers()) {
        caller->send(requestBytes("/shop/whole", nextId(), "order", { { "Connection", "close" } }));
        auto response = caller->receive();
        CHECK(response.status == 200);
        CHECK(announcesClose(response));
        CHECK(caller->isClosedWithin(200));
    }
}

TEST_CASE_METHOD(kept_connections,
    "A caller that sends without end behind a last response does not keep its connection",
    "[forwarding][planned_stop]")
{
    auto& caller = *callers().front();
    caller.send(requestBytes("/shop/whole", nextId(), "order", { { "Connection", "close" } }));
    CHECK(caller.receive().status == 200);
    const std::string bytes(64 << 10, 'x');
    auto sendsUntil = std::chrono::steady_clock::now() + milliseconds(3'000);
    bool isClosed = false;
    while (!isClosed && std::chrono::steady_clock::now() < sendsUntil) {
        try {
            caller.send(bytes);
        } catch (const Poco::Exception&) {
            isClosed = true;
        }
    }
    CHECK(isClosed);
}

TEST_CASE_METHOD(kept_connections,
    "A connection that is still open behind a stream takes another request during a planned stop",
    "[forwarding][planned_stop]")
{
    for (const char* each : { "t1", "t2" })
        target(each).setPace(milliseconds(50)); // of each of 25 events
    for (auto& caller : callers())
        send(*caller, "/words/events-paced");
    std::this_thread::sleep_for(milliseconds(300));
    auto stopped = stopLater();
    for (auto& caller : callers())
        CHECK(caller->receive().isComplete);
    for (auto& caller : callers()) {
        if (caller->isClosedWithin(50))
            continue;
        caller->setReceiveTimeout(callerDeadline);
        send(*caller, "/shop/whole");
        CHECK(caller->receive().status == 200);
    }
    CHECK(stopped.get() == 0);
}

TEST_CASE_METHOD(kept_connections,
    "A request on a connection whose stream began before a planned stop gets a response",
    "[forwarding][planned_stop]")
{
    for (const char* each : { "t1", "t2" })
        target(each).setPace(milliseconds(50)); // of each of 25 events
    for (auto& caller : callers())
        send(*caller, "/words/events-paced");
    std::this_thread::sleep_for(milliseconds(300));
    auto stopped = stopLater();
    for (auto& caller : callers()) {
        auto stream = caller->receive();
        CHECK(stream.isComplete);
        CHECK_FALSE(announcesClose(stream));
    }
    std::this_thread::sleep_for(milliseconds(100));
    for (auto& caller : callers()) {
        auto id = send(*caller, "/shop/whole");
        auto response = caller->receive();
        CHECK(response.status == 200);
        CHECK(response.isComplete);
        CHECK(announcesClose(response));
        CHECK(runsOf(id) == 1);
        CHECK(caller->isClosedWithin(1'000));
    }
    CHECK(stopped.get() == 0);
}

TEST_CASE_METHOD(kept_connections,
    "Requests behind another on their connection get responses in order during a planned stop",
    "[forwarding][planned_stop]")
{
    constexpr int behind = 3;
    auto delay = milliseconds(GENERATE(0, 250));
    CAPTURE(delay.count());
    std::vector<std::vector<std::string>> ids(callerCount);
    for (std::size_t number = 0; number < callerCount; ++number)
        ids[number].push_back(send(*callers()[number], "/shop/slow"));
    std::this_thread::sleep_for(milliseconds(50));
    auto stopped = stopLater();
    std::this_thread::sleep_for(delay);
    for (std::size_t number = 0; number < callerCount; ++number) {
        for (int count = 0; count < behind; ++count)
            ids[number].push_back(send(*callers()[number], "/shop/whole"));
    }
    for (std::size_t number = 0; number < callerCount; ++number) {
        auto& caller = *callers()[number];
        for (const auto& id : ids[number]) {
            auto response = caller.receive();
            CHECK(response.status == 200);
            CHECK(response.isComplete);
            CHECK(response.headers.find("request-id: " + id) != std::string::npos);
            CHECK(announcesClose(response) == (id == ids[number].back()));
            CHECK(runsOf(id) == 1);
        }
        CHECK(caller.isClosedWithin(1'000));
    }
    CHECK(stopped.get() == 0);
}

TEST_CASE_METHOD(kept_connections,
    "A request behind one that ends late in the grace period is refused as not run",
    "[forwarding][planned_stop]")
{
    for (const char* each : { "t1", "t2" })
        target(each).setPace(acceptancePeriod / 18); // of each of 25 events
    for (auto& caller : callers())
        send(*caller, "/words/events-paced");
    std::this_thread::sleep_for(milliseconds(500)); // the heads of the streams are out
    auto stopped = stopLater();
    std::this_thread::sleep_for(milliseconds(200));
    std::vector<std::string> ids;
    ids.reserve(callerCount);
    for (auto& caller : callers())
        ids.push_back(send(*caller, "/shop/whole"));
    for (std::size_t number = 0; number < callerCount; ++number) {
        auto& caller = *callers()[number];
        CHECK(caller.receive().isComplete);
        auto response = caller.receive();
        CHECK(response.status == 503);
        CHECK(response.headers.find("request-id: " + ids[number]) != std::string::npos);
        CHECK(announcesClose(response));
        CHECK(runsOf(ids[number]) == 0);
    }
    CHECK(stopped.get() == 0);
}

TEST_CASE_METHOD(kept_connections,
    "Connections that wait to be accepted when an entry stops accepting get a response",
    "[forwarding][planned_stop]")
{
    constexpr std::size_t waiting = 40;
    constexpr milliseconds margin { 300 };
    for (auto& caller : callers()) { // idle connections do not delay the end
        send(*caller, "/shop/whole");
        CHECK(caller->receive().status == 200);
    }
    auto stopped = stopLater();
    std::this_thread::sleep_for(acceptancePeriod - margin);
    process(name()).pause();
    std::vector<std::pair<std::unique_ptr<raw_caller>, std::string>> late;
    for (std::size_t number = 0; number < waiting; ++number) {
        auto caller = std::make_unique<raw_caller>(callerAddress(entry));
        auto id = send(*caller, "/shop/whole");
        late.emplace_back(std::move(caller), std::move(id));
    }
    std::this_thread::sleep_for(2 * margin);
    process(name()).resume();
    for (auto& [caller, id] : late) {
        auto response = caller->receive();
        CHECK((response.status == 200 || response.status == 503));
        CHECK(announcesClose(response));
        CHECK(runsOf(id) == (response.status == 200 ? 1 : 0));
    }
    CHECK(stopped.get() == 0);
}
