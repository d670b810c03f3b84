#include "support/plumfold_test_system.hpp"

#include <catch2/catch.hpp>

#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <thread>
#include <vector>

using namespace plumfold;
using tests::test_system;

namespace {

using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;

constexpr auto gracePeriod = 3'000ms;

/// An entry whose requests do not end within its grace period.
class stopping_system : public test_system {
public:
    stopping_system()
    {
        startControl();
        setGracePeriod(gracePeriod);
        startEntry(1);
        // The first engine is slow, but sends a token within each timeout; the second sends none.
        startEngine("slow", 1, { "--token-us", "400000" });
        startService("s1", 1);
        waitForTargets(1, 2);
        waitForRevision(1, 7);
        REQUIRE(eventually([&] { return complete(1, "warm", 1).ok(); }));
        REQUIRE(eventually([&] { return order(1, "warm").ok(); }));
    }

    struct ended_call {
        client::call_response response;
        clock_type::time_point at;
    };

    std::future<ended_call> send(std::function<client::call_response()> call)
    {
        return std::async(std::launch::async, [call = std::move(call)] {
            auto response = call();
            return ended_call { std::move(response), clock_type::now() };
        });
    }
};

} // namespace

// Guards against a stop that waits for targets beyond the grace period and leaves callers without a response.
TEST_CASE_METHOD(stopping_system,
    "Every request that is open at the end of the grace period gets a response before the process ends",
    "[stop]")
{
    constexpr int callsOfEachKind = 4;
    constexpr std::uint32_t tokens = 100;
    fault("s1", { { "delay_ms", 8'000 } });
    std::vector<std::future<ended_call>> plain;
    std::vector<std::future<ended_call>> streams;
    for (int index = 0; index < callsOfEachKind; ++index) {
        plain.push_back(send([=, this] { return complete(1, "plain", tokens, false); }));
        plain.push_back(send([=, this] { return order(1, "order-" + std::to_string(index)); }));
        streams.push_back(send([=, this] { return complete(1, "stream", tokens); }));
    }
    int running = 0;
    REQUIRE(eventually([&] {
        running = readiness(1).value("running", 0);
        return running >= 3;
    }));
    std::this_thread::sleep_for(300ms); // the other requests have been received
    SECTION("the targets are slow") { }
    SECTION("the engine stands still")
    {
        process("slow").pause();
    }
    SECTION("all targets stand still")
    {
        process("slow").pause();
        process("s1").pause();
    }
    auto stopAt = clock_type::now();
    CHECK(process("entry-1").stop() == 0);
    auto endedAt = clock_type::now();
    CHECK(endedAt - stopAt <= gracePeriod);
    int mayHaveRun = 0;
    for (auto& each : plain) {
        auto call = each.get();
        INFO(call.response.status << ' ' << call.response.body << ' ' << call.response.failure);
        bool isNotRun = call.response.status == 503 && call.response.errorRan == "not_run";
        bool isUnknown = call.response.status == 502 && call.response.errorRan == "unknown";
        CHECK((isNotRun || isUnknown));
        CHECK(call.at <= endedAt + 100ms);
        mayHaveRun += isUnknown;
    }
    for (auto& each : streams) {
        auto call = each.get();
        INFO(call.response.status << ' ' << call.response.body << ' ' << call.response.streamError << ' '
                                  << call.response.failure);
        bool isNotRun = call.response.status == 503 && call.response.errorRan == "not_run";
        bool isUnknown = call.response.status == 502 && call.response.errorRan == "unknown";
        bool isEnded = call.response.status == 200 && call.response.streamError == "target_failed";
        CHECK((isNotRun || isUnknown || isEnded));
        mayHaveRun += !isNotRun;
    }
    CHECK(mayHaveRun >= running);
    process("slow").resume();
    process("s1").resume();
}

// Guards against requests that no target has seen and that end as if one might have run them, or not at all.
TEST_CASE_METHOD(stopping_system,
    "A request that waits for a target at the end of the grace period is answered as not run", "[stop]")
{
    process("slow").kill();
    process("s1").kill();
    auto plain = send([this] { return complete(1, "waits", 8, false); });
    auto placed = send([this] { return order(1, "waits"); });
    // A caller that has sent a part of its body.
    Poco::Net::StreamSocket receiving;
    receiving.connect(Poco::Net::SocketAddress(callerAddress(1)));
    std::string part = "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer "
        + std::string(apiKey) + "\r\nContent-Length: 1000\r\n\r\n{\"model\"";
    receiving.sendBytes(part.data(), static_cast<int>(part.size()));
    std::this_thread::sleep_for(300ms);
    auto stopAt = clock_type::now();
    CHECK(process("entry-1").stop() == 0);
    CHECK(clock_type::now() - stopAt <= gracePeriod);
    for (auto* each : { &plain, &placed }) {
        auto call = each->get();
        INFO(call.response.status << ' ' << call.response.body << ' ' << call.response.failure);
        CHECK(call.response.status == 503);
        CHECK(call.response.errorRan == "not_run");
    }
    std::string received(64 << 10, '\0');
    receiving.setReceiveTimeout(Poco::Timespan(2, 0));
    int bytes = receiving.receiveBytes(received.data(), static_cast<int>(received.size()));
    received.resize(static_cast<std::size_t>(std::max(bytes, 0)));
    CHECK(received.starts_with("HTTP/1.1 503"));
}
