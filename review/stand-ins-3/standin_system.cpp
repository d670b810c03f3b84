#include "standin_system.hpp"

#include <array>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace plumfold::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint16_t controlPort = 8582;
constexpr std::uint16_t callerPort = 8580;
constexpr std::uint16_t readinessPort = 8586;
constexpr int firstCoreHost = 10;
constexpr int firstFrontHost = 30;
constexpr milliseconds operatorTimeout { 1'000 }; // then the operator tries another node
constexpr milliseconds orderTime { 15'000 };
constexpr milliseconds readyTime { 30'000 };
constexpr milliseconds pollInterval { 100 };
constexpr int statusOk = 200;
constexpr std::array endingStatuses { 400, 409, 412, 413, 422 }; // end a call of the operator at once

} // namespace

system_under_review::system_under_review(std::string network, const std::string& record)
    : m_network(std::move(network))
    , m_startedAt(steady_clock::now())
    , m_record(record, std::ios::app)
{
}

endpoint system_under_review::address(int host, std::uint16_t port) const
{
    return { m_network + '.' + std::to_string(host), port };
}

endpoint system_under_review::core(int number) const
{
    return address(firstCoreHost + number, controlPort);
}

endpoint system_under_review::front(int number) const
{
    return address(firstFrontHost + number, callerPort);
}

std::string system_under_review::zone(int number)
{
    constexpr std::array names { "reykjavik-a", "hafnarfjordur-b", "kopavogur-c", "akranes-d" };
    return names[static_cast<std::size_t>(number - 1) % names.size()];
}

http_message system_under_review::order(
    const std::string& method, const std::string& path, const std::string& body)
{
    auto until = steady_clock::now() + orderTime;
    http_message answer;
    for (int attempt = 0; steady_clock::now() < until; ++attempt) {
        auto to = core(1 + attempt % zoneCount);
        answer = call(to, method, path, { { "Content-Type", "application/json" } }, body, operatorTimeout);
        note("operator " + method + ' ' + path + " to " + to.text() + ": "
            + (answer.status == 0 ? "no answer" : std::to_string(answer.status)));
        bool isEnd = answer.status == statusOk
            || std::find(endingStatuses.begin(), endingStatuses.end(), answer.status) != endingStatuses.end();
        if (isEnd)
            return answer;
        std::this_thread::sleep_for(pollInterval);
    }
    return answer;
}

bool system_under_review::configure(const nlohmann::json& configuration)
{
    note("configuration " + configuration.dump());
    return order("PUT", "/configuration", configuration.dump()).status == statusOk;
}

bool system_under_review::waitUntilReady() const
{
    auto until = steady_clock::now() + readyTime;
    for (int number = 1; number <= zoneCount; ++number) {
        auto readiness = address(firstFrontHost + number, readinessPort);
        while (call(readiness, "GET", "/readiness", {}, {}, operatorTimeout).status != statusOk) {
            if (steady_clock::now() > until)
                return false;
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return true;
}

void system_under_review::note(const std::string& line)
{
    std::lock_guard lock(m_mutex);
    auto time = std::chrono::duration<double>(steady_clock::now() - m_startedAt).count();
    m_record << std::fixed << std::setprecision(3) << std::setw(7) << time << " s  " << line << std::endl;
}

nlohmann::json emptyConfiguration(int version)
{
    return { { "version", version }, { "routes", nlohmann::json::array() },
        { "services", nlohmann::json::array() },
        { "limits",
            { { "max-header-bytes", 16384 }, { "max-body-bytes", 4194304 }, { "header-timeout-ms", 3000 },
                { "idle-timeout-ms", 15000 } } } };
}

nlohmann::json route(const std::string& name, const std::string& host, const std::string& prefix,
    const std::string& kind, const std::string& service)
{
    bool isStream = kind == "streaming";
    nlohmann::json out { { "name", name }, { "host", host }, { "path-prefix", prefix }, { "kind", kind },
        { "timeout-ms", isStream ? 12000 : 800 }, { "target-latency-ms", isStream ? 1200 : 100 },
        { "priority", 2 }, { "service", service }, { "max-attempts", kind == "unsafe" ? 1 : 2 },
        { "public", false }, { "sticky-sessions", isStream }, { "resumable", isStream } };
    if (isStream)
        out["target-gap-ms"] = 800;
    return out;
}

nlohmann::json plainService(const std::string& name)
{
    return { { "name", name }, { "health-check-path", "/health" }, { "connection-limit", 96 },
        { "protocol", "h1" }, { "tls", false }, { "cold-start-s", 0.0 }, { "cold-per-s", 0.0 } };
}

nlohmann::json engineService(const std::string& name, const std::vector<std::string>& models)
{
    auto out = plainService(name);
    out["connection-limit"] = 360;
    out["cold-start-s"] = 3.0;
    out["cold-per-s"] = 8.9;
    out["engine"] = { { "slots", 64 }, { "kv-capacity-tokens", 93552 }, { "kv-token-bytes", 18432 },
        { "link-mbps", 740000.0 }, { "moves", true }, { "backups", true }, { "managed", true },
        { "stride", 8 }, { "max-concurrency", 12 }, { "pin-ms", 4000.0 }, { "hold-ms", 2000.0 },
        { "handle_s", 5.0 }, { "models", nlohmann::json::array() } };
    for (const auto& model : models)
        out["engine"]["models"].push_back({ { "name", model } });
    return out;
}

nlohmann::json storeService(const std::string& name, const endpoint& address, const std::string& zone)
{
    return { { "name", name }, { "kv-store-address", address.text() }, { "zone", zone },
        { "kv-capacity-tokens", 652505 }, { "link-mbps", 36000.0 }, { "max-concurrency", 12 },
        { "managed", true }, { "first_ms", 6.0 } };
}

int runCase(int argc, char** argv, verdict (*play)(system_under_review& system, bool hasTrouble))
{
    auto result = verdict::unrunnable;
    try {
        if (argc != 4)
            throw std::invalid_argument("usage: NETWORK TROUBLE RECORD");
        system_under_review system(argv[1], argv[3]);
        result = play(system, std::string(argv[2]) != "0");
        constexpr std::array names { "the rule held", "the rule is broken", "the case could not run" };
        system.note(names[static_cast<std::size_t>(result)]);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
    }
    // The threads of the stand-ins serve until the end.
    std::_Exit(static_cast<int>(result));
}

} // namespace plumfold::review
