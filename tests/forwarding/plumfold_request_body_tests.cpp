#include "process/support/plumfold_process_memory.hpp"
#include "support/plumfold_serving_system.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t bodyBytes = 4 << 20;
constexpr std::size_t processBytes = 160'000'000; // of the smallest machines that run an entry
constexpr milliseconds idleTimeout { 3'000 };
constexpr milliseconds maxRefusalTime { 1'000 };
constexpr milliseconds callerTimeout { 15'000 };

std::string chunkedBytes(const std::string& path, const std::string& id)
{
    constexpr std::size_t chunkBytes = 64 << 10;
    auto bytes = forwarding_system::requestBytes(
        path, id, "", { { "Content-Length", "" }, { "Transfer-Encoding", "chunked" } });
    std::ostringstream chunk;
    chunk << std::hex << chunkBytes << "\r\n" << std::string(chunkBytes, 'b') << "\r\n";
    for (std::size_t sent = 0; sent < bodyBytes; sent += chunkBytes)
        bytes += chunk.str();
    return bytes + "0\r\n\r\n";
}

std::string sizedBytes(const std::string& path, const std::string& id)
{
    return forwarding_system::requestBytes(path, id, std::string(bodyBytes, 'b'));
}

class large_bodies_system : public serving_system {
public:
    large_bodies_system()
    {
        auto body = deployment(4);
        body["limits"]["max-body-bytes"] = bodyBytes;
        body["limits"]["idle-timeout-ms"] = idleTimeout.count();
        putDeployment(1, body);
        startAnnouncing();
        eventually([&] { return exchange(sizedBytes("/shop/whole", nextId())).status == 200; });
    }

    /// Sends a request whole, although the entry may have closed the connection, and reads the response.
    raw_response exchange(const std::string& bytes)
    {
        raw_caller caller(callerAddress(1));
        caller.setReceiveTimeout(callerTimeout);
        try {
            caller.send(bytes);
        } catch (const Poco::Exception&) {
            // The response tells why.
        }
        return caller.receive();
    }

    std::set<std::string> idsAtTargets()
    {
        std::set<std::string> ids;
        for (const char* name : { "t1", "t2" }) {
            for (const auto& each : target(name).requests())
                ids.insert(each.headers.at("request-id"));
        }
        return ids;
    }

    std::size_t peakBytes() { return peakBytesOf(process("n1").id()); }
};

} // namespace

// Guards against an entry that many callers with large bodies drive beyond the memory of its machine.
TEST_CASE_METHOD(large_bodies_system,
    "Many callers with large bodies at once cost an entry bounded memory, and the excess is refused as not "
    "run",
    "[forwarding][request_bodies]")
{
    constexpr int callers = 40;
    auto makeBytes = GENERATE(&sizedBytes, &chunkedBytes);
    std::vector<std::string> ids;
    std::vector<std::future<raw_response>> responses;
    for (int number = 0; number < callers; ++number) {
        ids.push_back(nextId());
        responses.push_back(std::async(
            std::launch::async, [&, id = ids.back()] { return exchange(makeBytes("/shop/never", id)); }));
    }
    int refused = 0;
    int other = 0;
    for (std::size_t index = 0; index < ids.size(); ++index) {
        auto response = responses[index].get();
        INFO(response.status << ' ' << response.headers);
        bool isRefused = response.status == 503;
        refused += isRefused;
        other += !isRefused && response.status != 504;
        if (!isRefused)
            continue;
        CHECK(response.headers.find("retry-after: ") != std::string::npos);
        CHECK(idsAtTargets().count(ids[index]) == 0);
    }
    CHECK(other == 0);
    CHECK(refused > 0);
    CHECK(refused < callers);
    CHECK(peakBytes() < processBytes);
    CHECK(exchange(makeBytes("/shop/whole", nextId())).status == 200);
}

// Guards against bodies that are counted only once they are complete.
TEST_CASE_METHOD(large_bodies_system,
    "Bodies that slow senders have begun count towards the limit until their time is over",
    "[forwarding][request_bodies]")
{
    constexpr std::size_t senders = 12;
    constexpr std::size_t missingBytes = 256 << 10;
    std::vector<std::unique_ptr<raw_caller>> slow;
    for (std::size_t number = 0; number < senders; ++number) {
        slow.push_back(std::make_unique<raw_caller>(callerAddress(1)));
        auto bytes = sizedBytes("/shop/whole", nextId());
        bytes.resize(bytes.size() - missingBytes);
        try {
            slow.back()->send(bytes);
        } catch (const Poco::Exception&) {
            // Refused.
        }
    }
    // Bodies count as far as the entry has read them. Ten of the twelve fit, so two are refused.
    auto countRefused = [&] {
        std::size_t count = 0;
        auto log = logOf("n1");
        for (auto at = log.find("event=request_body_refused"); at != std::string::npos;
             at = log.find("event=request_body_refused", at + 1))
            ++count;
        return count;
    };
    REQUIRE(eventually([&] { return countRefused() >= 2; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(300)); // the others are read to the end
    auto sentAt = steady_clock::now();
    auto refused = exchange(sizedBytes("/shop/whole", nextId()));
    CHECK(steady_clock::now() - sentAt < maxRefusalTime);
    CHECK(refused.status == 503);
    CHECK(request(1, "/shop/whole").status == 200);

    // A relayed request that is refused must not count as one that may have run.
    raw_caller relay(address(21, 8002));
    relay.send(requestBytes("/shop/whole", nextId(), std::string(bodyBytes, 'b'),
        { { "Plumfold-Relay-Secret", "test" }, { "Plumfold-Relay-Customer", "espuma" },
            { "Plumfold-Relay-Service", "shop" }, { "Plumfold-Relay-Time-Left", "2000" },
            { "Plumfold-Relay-Attempts-Left", "2" } }));
    auto relayed = relay.receive();
    CHECK(relayed.status == 503);
    CHECK(relayed.headers.find("plumfold-relay-outcome: not-run") != std::string::npos);

    CHECK(eventually([&] { return exchange(sizedBytes("/shop/whole", nextId())).status == 200; }));
    CHECK(peakBytes() < processBytes);
}

// Guards against parts of a request that no limit of header or body covers: chunk extensions and trailers.
TEST_CASE_METHOD(large_bodies_system,
    "A caller that sends bytes without end costs an entry bounded memory and time",
    "[forwarding][request_bodies][endless]")
{
    constexpr std::size_t maxGrowthBytes = 32 << 20;
    constexpr std::size_t maxSentBytes = 512 << 20; // an entry that fails must not exhaust the machine
    constexpr milliseconds maxTime = idleTimeout + 2'000ms;
    struct endless_part {
        const char* name;
        std::string begin;
        std::string repeated;
    };
    const std::string chunked = requestBytes(
        "/shop/whole", "endless", "", { { "Content-Length", "" }, { "Transfer-Encoding", "chunked" } });
    const std::vector<endless_part> parts {
        { "header name", "POST /shop/whole HTTP/1.1\r\nHost: shop.example\r\n", "x" },
        { "headers", "POST /shop/whole HTTP/1.1\r\nHost: shop.example\r\n", "X-Name: value\r\n" },
        { "chunk extension", chunked + "5;", "x" },
        { "chunks", chunked, "1\r\nx\r\n" },
        { "trailer name", chunked + "0\r\n", "x" },
        { "trailers", chunked + "0\r\n", "X-Name: value\r\n" },
    };
    for (const auto& part : parts) {
        INFO(part.name);
        std::string block;
        while (block.size() < 64 << 10)
            block += part.repeated;
        auto before = peakBytes();
        auto begin = steady_clock::now();
        raw_caller caller(callerAddress(1));
        std::size_t sent = 0;
        try {
            caller.send(part.begin);
            for (; sent < maxSentBytes && steady_clock::now() < begin + 2 * maxTime; sent += block.size())
                caller.send(block);
        } catch (const Poco::Exception&) {
            // The entry has closed the connection.
        }
        auto took = std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
        CAPTURE(sent, took.count());
        CHECK(took <= maxTime);
        CHECK(peakBytes() <= before + maxGrowthBytes);
        CHECK(request(1, "/shop/whole").status == 200);
    }
}

// Guards against callers that are told to come back with a body that never fits.
TEST_CASE("A body that can never have room is refused as too large", "[forwarding][request_bodies]")
{
    constexpr std::size_t maxBody = 20 << 20; // half of /forwarding/requestBufferBytes
    constexpr std::size_t tooLarge = maxBody + (1 << 20);
    serving_system system;
    auto deployment = system.deployment(4);
    deployment["limits"]["max-body-bytes"] = 64 << 20;
    deployment["limits"]["idle-timeout-ms"] = 10'000;
    REQUIRE(system.putDeployment(1, deployment));
    system.startAnnouncing();
    auto exchange = [&](const std::string& bytes) {
        raw_caller caller(system.callerAddress(1));
        caller.setReceiveTimeout(callerTimeout);
        try {
            caller.send(bytes);
        } catch (const Poco::Exception&) {
            // The response tells why.
        }
        return caller.receive();
    };
    auto sized = [](std::size_t bytes) {
        return forwarding_system::requestBytes(
            "/shop/whole", forwarding_system::nextId(), std::string(bytes, 'b'));
    };
    REQUIRE(forwarding_system::eventually([&] { return exchange(sized(8 << 20)).status == 200; }));
    auto announced = exchange(sized(tooLarge));
    CHECK(announced.status == 413);
    CHECK(announced.headers.find("retry-after: ") == std::string::npos);
    auto chunked = forwarding_system::requestBytes("/shop/whole", forwarding_system::nextId(), "",
        { { "Content-Length", "" }, { "Transfer-Encoding", "chunked" } });
    constexpr std::size_t chunkBytes = 64 << 10;
    for (std::size_t sent = 0; sent < tooLarge; sent += chunkBytes)
        chunked += "10000\r\n" + std::string(chunkBytes, 'b') + "\r\n";
    auto received = exchange(chunked + "0\r\n\r\n");
    CHECK(received.status == 413);
    CHECK(received.headers.find("retry-after: ") == std::string::npos);
    // A body that has room is sent. The scripted target reads at most 8 MiB, so it fails there.
    CHECK(exchange(sized(maxBody - (1 << 20))).status == 502);
}
