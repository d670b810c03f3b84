#include "support/plumfold_serving_system.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <future>
#include <memory>
#include <thread>
#include <vector>

using namespace plumfold::tests;

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds gracePeriod { 3'000 };
constexpr milliseconds callerDeadline { 20'000 };
/// Requests are passed on only in the first part of the grace period.
constexpr milliseconds acceptancePeriod = gracePeriod / 2;

class stopping_system : public serving_system {
public:
    stopping_system()
    {
        setGracePeriod(gracePeriod);
        auto body = deployment(4);
        for (auto& route : body["routes"])
            route["timeout-ms"] = callerDeadline.count();
        putDeployment(1, body);
        startAnnouncing();
    }

    /// Starts an entry that serves requests.
    void startServing(int entry)
    {
        startEntry(entry);
        waitForTarget(entry);
        // An entry may begin with the former deployment, whose time limits are shorter than the grace period.
        REQUIRE(eventually([&] { return logOf(nameOf(entry)).find(" version=4 ") != std::string::npos; }));
    }

    std::future<raw_response> requestLater(int entry, const std::string& path)
    {
        return std::async(std::launch::async, [this, entry, path] {
            return request(
                entry, path, "order", { { "Request-Deadline", std::to_string(callerDeadline.count()) } });
        });
    }

    std::future<int> stopLater(int entry)
    {
        return std::async(std::launch::async, [this, entry] { return process(nameOf(entry)).stop(); });
    }

    static std::string nameOf(int entry) { return "n" + std::to_string(entry); }

    std::size_t requestsWith(const std::string& id)
    {
        std::size_t count = 0;
        for (const char* name : { "t1", "t2" }) {
            for (const auto& each : target(name).requests())
                count += each.headers.at("request-id") == id;
        }
        return count;
    }
};

} // namespace

// Guards against a crash of an entry that stops with requests open.
TEST_CASE_METHOD(stopping_system, "An entry whose grace period ends with requests open exits with code 0",
    "[forwarding][grace]")
{
    constexpr int rounds = 4;
    constexpr int callers = 20;
    for (int round = 0; round < rounds; ++round) {
        int entry = 2 + round;
        CAPTURE(entry);
        startServing(entry);
        std::vector<std::future<raw_response>> responses;
        for (int number = 0; number < callers; ++number) {
            for (const char* path : { "/shop/never", "/stock/never", "/words/events-paced", "/notes/never" })
                responses.push_back(requestLater(entry, path));
        }
        std::this_thread::sleep_for(milliseconds(300));
        auto stoppedAt = steady_clock::now();
        CHECK(process(nameOf(entry)).stop() == 0);
        CHECK(steady_clock::now() - stoppedAt < gracePeriod);
        for (auto& each : responses)
            each.wait();
    }
}

// Guards against requests that are cut without an answer at the end of the grace period.
TEST_CASE_METHOD(stopping_system,
    "Requests that are open at the end of the grace period get a final response, and streams do not look "
    "whole",
    "[forwarding][grace]")
{
    for (const char* name : { "t1", "t2" })
        target(name).setPace(gracePeriod / 15); // of each of 25 events
    startServing(2);
    auto stopped = stopLater(2);
    std::this_thread::sleep_for(acceptancePeriod / 2);
    std::vector<std::future<raw_response>> responses;
    for (int number = 0; number < 10; ++number) {
        for (const char* path : { "/shop/never", "/stock/never", "/words/never", "/notes/never" })
            responses.push_back(requestLater(2, path));
    }
    auto stream = requestLater(2, "/words/events-paced");
    for (auto& each : responses) {
        auto response = each.get();
        CHECK(response.status == 502);
        CHECK(response.isComplete);
    }
    auto broken = stream.get();
    CHECK(broken.status == 200);
    CHECK_FALSE(broken.isComplete);
    CHECK(stopped.get() == 0);
}

// Guards against requests that are passed on too late to be answered within the grace period.
TEST_CASE_METHOD(stopping_system, "A request that is complete late in the grace period is refused as not run",
    "[forwarding][grace]")
{
    bool isOtherOpen = GENERATE(true, false);
    startServing(2);
    auto stopped = stopLater(2);
    std::this_thread::sleep_for(acceptancePeriod - milliseconds(300));
    auto id = nextId();
    auto bytes = requestBytes("/shop/whole", id, "order");
    raw_caller caller(callerAddress(2));
    caller.send(bytes.substr(0, bytes.size() / 2));
    std::future<raw_response> other;
    if (isOtherOpen)
        other = requestLater(2, "/stock/never");
    std::this_thread::sleep_for(milliseconds(500));
    caller.send(bytes.substr(bytes.size() / 2));
    auto sentAt = steady_clock::now();
    auto response = caller.receive();
    CHECK(steady_clock::now() - sentAt < milliseconds(200));
    CHECK(response.status == 503);
    CHECK(response.headers.find("connection: close") != std::string::npos);
    CHECK(requestsWith(id) == 0);
    if (isOtherOpen)
        CHECK(other.get().status == 502);
    CHECK(stopped.get() == 0);
    CHECK(requestsWith(id) == 0);
}

// Guards against a stop that a caller who reads slowly delays beyond the grace period, against a partial
// response that looks whole, and against other requests that get no answer meanwhile.
TEST_CASE_METHOD(stopping_system,
    "Callers that read slowly neither delay a planned stop nor take a partial response for a whole one",
    "[forwarding][grace]")
{
    constexpr int receiveBuffer = 16 << 10;
    constexpr milliseconds pauses[] = { milliseconds(20), milliseconds(400) };
    startServing(2);
    std::vector<std::unique_ptr<raw_caller>> callers;
    std::vector<std::future<raw_response>> slow;
    for (const char* path :
        { "/words/endless-events", "/notes/endless-events", "/shop/large", "/stock/large" }) {
        for (auto pause : pauses) {
            auto& caller = callers.emplace_back(std::make_unique<raw_caller>(callerAddress(2)));
            caller->readSlowly(receiveBuffer, pause);
            caller->send(requestBytes(
                path, nextId(), "order", { { "Request-Deadline", std::to_string(callerDeadline.count()) } }));
            slow.push_back(std::async(std::launch::async, [&caller = *caller] { return caller.receive(); }));
        }
    }
    std::this_thread::sleep_for(milliseconds(500)); // the responses have begun, and buffers are full
    auto stoppedAt = steady_clock::now();
    auto stopped = stopLater(2);
    std::vector<std::future<raw_response>> others;
    for (const char* path : { "/shop/never", "/stock/never", "/words/never", "/notes/never" })
        others.push_back(requestLater(2, path));
    CHECK(stopped.get() == 0);
    CHECK(steady_clock::now() - stoppedAt <= gracePeriod);
    for (auto& each : others) {
        auto response = each.get();
        CHECK(response.status == 502);
        CHECK(response.isComplete);
    }
    for (auto& caller : callers)
        caller->readSlowly(receiveBuffer, milliseconds(0));
    for (auto& each : slow) {
        auto response = each.get();
        CHECK((response.status == 200 || response.status == 502));
        CHECK_FALSE((response.status == 200 && response.isComplete));
    }
}
