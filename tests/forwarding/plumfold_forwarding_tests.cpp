#include "support/plumfold_serving_system.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <future>
#include <thread>

using namespace plumfold::tests;

TEST_CASE_METHOD(serving_system,
    "Requests with ambiguous framing or beyond the limits are rejected and never forwarded", "[forwarding]")
{
    auto before = totalRequests();
    auto id = nextId();
    std::string bytes;
    std::string start = "POST /shop/whole HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id
        + "\r\nApi-Key: key-1\r\nRequest-Deadline: 2000\r\n";
    SECTION("two Content-Length headers")
    {
        bytes = start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde";
    }
    SECTION("Content-Length and chunked")
    {
        bytes = start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
    }
    SECTION("a transfer coding other than chunked")
    {
        bytes = start + "Transfer-Encoding: identity\r\n\r\nabcd";
    }
    SECTION("an unknown coding with a chunked body")
    {
        bytes = start + "Transfer-Encoding: xchunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
    }
    SECTION("bare line feeds")
    {
        bytes = "POST /shop/whole HTTP/1.1\nHost: shop.example\n\n";
    }
    SECTION("an invalid chunk size")
    {
        bytes = start + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n";
    }
    SECTION("a Content-Length beyond the limit")
    {
        bytes = start + "Content-Length: 20000\r\n\r\n";
    }
    SECTION("a chunked body beyond the limit")
    {
        bytes = start + "Transfer-Encoding: chunked\r\n\r\n4e20\r\n" + std::string(20000, 'x')
            + "\r\n0\r\n\r\n";
    }
    SECTION("headers beyond the limit")
    {
        bytes = start + "Filler: " + std::string(6000, 'x') + "\r\n\r\n";
    }
    SECTION("two Host headers")
    {
        bytes = start + "Host: other.example\r\nContent-Length: 0\r\n\r\n";
    }
    raw_caller caller(callerAddress(1));
    caller.send(bytes);
    auto response = caller.receive();
    CHECK(response.status >= 400);
    CHECK(response.status < 500);
    CHECK(totalRequests() == before);
    CHECK(request(1, "/shop/whole").status == 200); // other callers are unaffected
}

TEST_CASE_METHOD(serving_system,
    "A request with incomplete headers is answered with 408 after the header timeout", "[forwarding]")
{
    raw_caller caller(callerAddress(1));
    caller.send("POST /shop/whole HTTP/1.1\r\nHost: shop.example\r\n");
    auto response = caller.receive();
    CHECK(response.status == 408);
    CHECK(caller.isClosedWithin(1500));
}

TEST_CASE_METHOD(
    serving_system, "A request inside the body of another one is not smuggled to a target", "[forwarding]")
{
    auto inner = requestBytes("/shop/whole", "smuggled", "");
    CHECK(request(1, "/shop/whole", inner).body == "served " + inner);
    for (const char* name : { "t1", "t2" }) {
        for (const auto& seen : target(name).requests())
            CHECK(seen.headers.at("request-id") != "smuggled");
    }
}

TEST_CASE_METHOD(serving_system,
    "Keep-alive and pipelined requests on one connection are served in order, also chunked ones",
    "[forwarding]")
{
    raw_caller caller(callerAddress(1));
    caller.send(requestBytes("/shop/whole", nextId(), "one"));
    CHECK(caller.receive().body == "served one");
    caller.send(requestBytes("/shop/whole", nextId(), "3\r\ntwo\r\n0\r\n\r\n",
        { { "Content-Length", "" }, { "Transfer-Encoding", "chunked" } }));
    CHECK(caller.receive().body == "served two");
    caller.send(requestBytes("/shop/whole", nextId(), "3") + requestBytes("/shop/whole", nextId(), "4"));
    CHECK(caller.receive().body == "served 3");
    CHECK(caller.receive().body == "served 4");
}

TEST_CASE_METHOD(serving_system,
    "A truncated, malformed, unsigned or missing response is a 502 and is not retried", "[forwarding]")
{
    for (const char* behaviour : { "cut", "spoiled", "unsigned", "drop" }) {
        auto before = totalRequests();
        auto response = request(1, std::string("/shop/") + behaviour);
        INFO(behaviour);
        CHECK(response.status == 502);
        CHECK(totalRequests() == before + 1); // it may have been executed, so it is not retried
        std::this_thread::sleep_for(std::chrono::milliseconds(900)); // until the back-off of the target ends
        announceTargets();
    }
}

TEST_CASE_METHOD(serving_system,
    "Complete responses are forwarded despite trailing bytes, missing lengths and mismatched or interim "
    "responses",
    "[forwarding]")
{
    for (const char* behaviour : { "surplus", "after-another", "interim", "whole", "surplus", "whole" }) {
        INFO(behaviour);
        auto response = request(1, std::string("/shop/") + behaviour);
        CHECK(response.status == 200);
        CHECK(response.body == "served order");
    }
    auto response = request(1, "/shop/unframed");
    CHECK(response.status == 200);
    CHECK(response.body == "until the end");
}

TEST_CASE_METHOD(serving_system,
    "A 503 is forwarded as retryable only if the target declares that it did not execute the request",
    "[forwarding]")
{
    auto refused = request(1, "/shop/not-run");
    CHECK(refused.status == 503);
    CHECK(refused.headers.find("retry-after: ") != std::string::npos);
    auto failed = request(1, "/shop/busy");
    CHECK(failed.status == 502);
    CHECK(failed.headers.find("response-signature") == std::string::npos);
}

TEST_CASE_METHOD(serving_system,
    "An idempotent request is retried on another target, up to the maximum number of attempts",
    "[forwarding]")
{
    auto before = totalRequests();
    CHECK(request(1, "/stock/drop").status == 502);
    CHECK(totalRequests() == before + 2);
}

TEST_CASE_METHOD(
    serving_system, "The connection to the target is closed when the caller disconnects", "[forwarding]")
{
    raw_caller caller(callerAddress(1));
    caller.send(requestBytes("/shop/never", nextId(), "order"));
    auto before = totalRequests();
    eventually([&] { return totalRequests() > before; }, 2);
    caller.close();
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(target("t1").abandoned() + target("t2").abandoned() == 1);
}

TEST_CASE_METHOD(
    serving_system, "A request that no target responds to ends with 504 at its deadline", "[forwarding]")
{
    auto began = std::chrono::steady_clock::now();
    CHECK(request(1, "/shop/never").status == 504);
    auto took = std::chrono::steady_clock::now() - began;
    CHECK(took > std::chrono::milliseconds(1900));
    CHECK(took < std::chrono::milliseconds(2500));
}

TEST_CASE_METHOD(
    serving_system, "A stream is resumed on another target after its last complete event", "[forwarding]")
{
    const std::string all = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
                            "id: 5\ndata: e5\n\nid: 6\ndata: e6\n\n";
    auto plain = request(1, "/words/events");
    CHECK(plain.body == all);
    CHECK(plain.isComplete);
    auto continued = request(1, "/words/events-cut");
    CHECK(continued.body == all);
    CHECK(continued.isComplete);
}

TEST_CASE_METHOD(serving_system,
    "A retried stream carries only the signature of the attempt that delivered it", "[forwarding]")
{
    auto response = request(1, "/words/head-cut");
    CHECK(response.status == 200);
    CHECK(response.isComplete);
    auto first = response.headers.find("response-signature: ");
    REQUIRE(first != std::string::npos);
    CHECK(response.headers.find("response-signature: ", first + 1) == std::string::npos);
    CHECK(response.body.find("id: 1\ndata: e1") == 0);
}

TEST_CASE_METHOD(serving_system, "Reserved headers are never taken from the caller", "[forwarding]")
{
    std::map<std::string, std::string> forged { { "Tenant", "other" }, { "Hold", "h" }, { "Pin-Ms", "9" },
        { "Kv-From", "x" }, { "Kv-Backup", "x" }, { "Kv-Fetch-From", "x" }, { "Cache-Salt", "x" },
        { "Request-Priority", "0" }, { "Expected-Instance", "x" }, { "Kept", "yes" } };
    CHECK(request(1, "/shop/whole", "order", forged).status == 200);
    recorded_request seen;
    for (const char* name : { "t1", "t2" }) {
        for (const auto& each : target(name).requests()) {
            if (each.headers.contains("kept"))
                seen = each;
        }
    }
    CHECK(seen.headers["tenant"] == "espuma");
    CHECK(seen.headers["request-priority"] == "4"); // the route's priority is 1, the customer has none
    CHECK(std::stoi(seen.headers["request-deadline"]) <= 2000);
    CHECK((seen.headers["expected-instance"] == "t1" || seen.headers["expected-instance"] == "t2"));
    for (const char* name :
        { "api-key", "hold", "pin-ms", "kv-from", "kv-backup", "kv-fetch-from", "cache-salt" })
        CHECK_FALSE(seen.headers.contains(name));
    CHECK(request(1, "/shop/whole", "order", { { "Api-Key", "wrong" } }).status == 401);
    CHECK(request(1, "/nowhere/whole").status == 404);
}

TEST_CASE_METHOD(
    serving_system, "A draining entry completes requests in progress and is no longer ready", "[forwarding]")
{
    std::vector<std::future<raw_response>> answers;
    raw_caller idle(callerAddress(1));
    idle.send(requestBytes("/shop/whole", nextId(), "one"));
    CHECK(idle.receive().status == 200);
    for (int count = 0; count < 20; ++count)
        answers.push_back(std::async(std::launch::async, [&] { return request(1, "/shop/slow"); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    auto stopped = std::async(std::launch::async, [&] { return process("n1").stop(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK_FALSE(isReady(1));
    idle.send(requestBytes("/shop/whole", nextId(), "two"));
    auto last = idle.receive();
    CHECK(last.status == 200);
    CHECK(last.headers.find("connection: close") != std::string::npos);
    for (auto& response : answers)
        CHECK(response.get().status == 200);
    CHECK(stopped.get() == 0);
}

TEST_CASE_METHOD(
    serving_system, "SIGHUP reloads the control seeds without interrupting service", "[forwarding]")
{
    rewriteSeeds("n1", { 2, 3 });
    process("n1").signal(SIGHUP);
    CHECK(eventually([&] { return logOf("n1").find("event=reloaded") != std::string::npos; }, 5));
    process("c1").signal(SIGHUP);
    CHECK(request(1, "/shop/whole").status == 200);
    CHECK(process("n1").isRunning());
    CHECK(process("c1").isRunning());
}

TEST_CASE_METHOD(serving_system,
    "Deployment changes reach entries within two seconds, and a failure domain out of service gets no "
    "requests",
    "[forwarding]")
{
    auto next = deployment(7);
    next["tenants"][0]["api-keys"] = { "key-2" };
    REQUIRE(putDeployment(2, next));
    CHECK(eventually([&] { return request(1, "/shop/whole").status == 401; }, 2));
    CHECK(request(1, "/shop/whole", "order", { { "Api-Key", "key-2" } }).status == 200);
    CHECK(call(3, "POST", "/evacuations/east").first == 200);
    CHECK(eventually(
        [&] {
            return request(1, "/shop/whole", "order", { { "Api-Key", "key-2" } }).status == 503;
        },
        2));
    CHECK(call(3, "DELETE", "/evacuations/east").first == 200);
    announceTargets();
    CHECK(eventually(
        [&] {
            return request(1, "/shop/whole", "order", { { "Api-Key", "key-2" } }).status == 200;
        },
        2));
    announce("t1", "draining");
    announce("t2", "draining");
    CHECK(eventually(
        [&] {
            return request(1, "/shop/whole", "order", { { "Api-Key", "key-2" } }).status == 503;
        },
        2));
}

TEST_CASE_METHOD(
    serving_system, "Requests are served while the pipe of standard output is full", "[forwarding]")
{
    blockOutput("n2");
    startEntry(2);
    waitForTarget(2);
    constexpr int requests = 600; // their log lines exceed the capacity of a pipe
    raw_caller caller(callerAddress(2));
    int served = 0;
    for (int count = 0; count < requests; ++count) {
        caller.send(requestBytes("/shop/whole", nextId(), "order"));
        served += caller.receive().status == 200;
        if (count % 100 == 0)
            announceTargets();
    }
    CHECK(served == requests);
}

TEST_CASE(
    "A control VM that lost its disk rejoins under a leader that is not among its seeds", "[forwarding]")
{
    forwarding_system system;
    constexpr int nonSeed = 4; // not among the seeds
    for (int number = 1; number <= nonSeed; ++number)
        system.startControl(number);
    REQUIRE(system.putDeployment(1, system.deployment(5)));
    auto isLeader = [&](int number) {
        auto log = system.logOf("c" + std::to_string(number));
        auto role = log.rfind("event=role_changed role=");
        return role != std::string::npos && log.compare(role, 30, "event=role_changed role=leader") == 0;
    };
    // Restarts leaders until the control VM outside the seeds is the leader.
    for (int tries = 0; tries < 20 && !isLeader(nonSeed); ++tries) {
        for (int number = 1; number < nonSeed; ++number) {
            if (!isLeader(number))
                continue;
            system.process("c" + std::to_string(number)).stop();
            system.startControl(number, false);
        }
        forwarding_system::eventually([&] { return system.call(1, "GET", "/configuration").first == 200; });
    }
    REQUIRE(isLeader(nonSeed));
    system.process("c1").kill();
    system.removeFolder("c1");
    system.startControl(1, false);
    CHECK(forwarding_system::eventually(
        [&] { return system.call(1, "GET", "/configuration").first == 200; }, 10));
    CHECK(system.putDeployment(1, system.deployment(6)));
}

TEST_CASE("Control VMs form a group from their seeds in any start order and keep accepted configurations",
    "[forwarding]")
{
    forwarding_system system;
    system.startControl(3);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    system.startControl(1);
    system.startControl(2);
    auto body = system.deployment(5);
    REQUIRE(system.putDeployment(2, body));
    CHECK(system.call(1, "PUT", "/configuration", body.dump()).first == 200);
    CHECK(system.call(1, "PUT", "/configuration", system.deployment(4).dump()).first == 200);
    auto bad = system.deployment(9);
    bad["routes"][0]["service"] = "unknown";
    CHECK(system.call(1, "PUT", "/configuration", bad.dump()).first == 400);
    CHECK(system.call(1, "PUT", "/configuration", body.dump().substr(0, 100)).first == 400);
    for (int number = 1; number <= 3; ++number) {
        auto [status, text] = system.call(number, "GET", "/configuration");
        CHECK(status == 200);
        CHECK(nlohmann::json::parse(text) == body);
    }
    for (int number = 1; number <= 3; ++number)
        system.process("c" + std::to_string(number)).kill();
    system.startControl(1, false);
    CHECK(system.call(1, "GET", "/configuration").first != 200); // one of three is no quorum
    system.startControl(2, false);
    CHECK(
        forwarding_system::eventually([&] { return system.call(1, "GET", "/configuration").first == 200; }));
    CHECK(nlohmann::json::parse(system.call(2, "GET", "/configuration").second) == body);
}

TEST_CASE_METHOD(serving_system,
    "A request that arrives just before an entry's first deployment is served and not rejected",
    "[forwarding]")
{
    for (int number = 1; number <= 3; ++number)
        process("c" + std::to_string(number)).signal(SIGSTOP);
    startEntry(2);
    raw_response response;
    REQUIRE(eventually([&] {
        try {
            raw_caller caller(callerAddress(2));
            return true;
        } catch (const Poco::Exception&) {
            return false; // the entry is not listening yet
        }
    }));
    auto pending = std::async(std::launch::async, [&] { return request(2, "/shop/whole"); });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    for (int number = 1; number <= 3; ++number)
        process("c" + std::to_string(number)).signal(SIGCONT);
    CHECK(pending.get().status == 200);
}

TEST_CASE("An entry without a deployment rejects requests with a Retry-After header", "[forwarding]")
{
    forwarding_system system;
    system.startEntry(1); // no control VM is running
    raw_response response;
    REQUIRE(forwarding_system::eventually([&] {
        auto began = std::chrono::steady_clock::now();
        response = system.request(1, "/shop/whole");
        auto took = std::chrono::steady_clock::now() - began;
        return response.status == 503 && took < std::chrono::milliseconds(1'200);
    }));
    CHECK(response.headers.find("retry-after: ") != std::string::npos);
}
