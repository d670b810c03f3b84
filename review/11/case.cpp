// All core processes are killed while a worker leaves; its departure is acknowledged, then an older heartbeat
// arrives.

#include "standin_worker.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <thread>

namespace plumfold::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const std::string service = "kafi81c";
const std::string host = "nylo40.example";
const std::string key = "fqasnmgkcuyj8pjbvk9m";

constexpr std::uint16_t workerPort = 8080;
constexpr int firstWorkerHost = 100;
constexpr milliseconds interval { 20 };
constexpr milliseconds answerTime { 3'000 };
constexpr milliseconds warmTime { 20'000 };
constexpr milliseconds callTimeout { 1'000 }; // then a caller of the core tries another node
constexpr milliseconds firstBackoff { 100 };
constexpr milliseconds maxBackoff { 1'000 };
constexpr milliseconds giveUpTime { 15'000 };
constexpr milliseconds contactWindow { 3'000 }; // contact-window-ms
constexpr milliseconds drainTimeout { 2'000 }; // drain-timeout-ms
constexpr milliseconds heartbeatDelay { 500 }; // behind the acknowledgement
constexpr milliseconds servingTime { 6'000 }; // of the worker behind the acknowledgement
constexpr int statusOk = 200;

int ask(system_under_review& system, int front, const std::string& id)
{
    std::map<std::string, std::string> headers { { "Host", host }, { "Request-Id", id },
        { "Request-Deadline", "1500" }, { "Api-Key", key } };
    return call(system.front(front), "GET", "/boye613/2f", headers, {}, answerTime).status;
}

/// Kills the processes of all core machines.
void killCore(system_under_review& system)
{
    const std::string folder = std::getenv("PROCESS_FOLDER");
    std::vector<int> processes;
    for (int number = 1; number <= zoneCount; ++number) {
        int process = 0;
        std::ifstream(folder + "/core-" + std::to_string(number) + ".pid") >> process;
        processes.push_back(process);
    }
    for (int process : processes)
        ::kill(process, SIGKILL);
    system.note("all core processes are killed; each is back 0.5 s later, with its disk");
}

/// @return how long the core process that was started last has been running.
milliseconds sinceLastStart()
{
    const std::string folder = std::getenv("PROCESS_FOLDER");
    auto shortest = std::filesystem::file_time_type::duration::max();
    for (int number = 1; number <= zoneCount; ++number) {
        auto startedAt
            = std::filesystem::last_write_time(folder + "/core-" + std::to_string(number) + ".pid");
        shortest = std::min(shortest, std::filesystem::file_time_type::clock::now() - startedAt);
    }
    return std::chrono::duration_cast<milliseconds>(shortest);
}

/// Sends a worker's departure to one core machine after the other until it is acknowledged.
/// @return whether it was.
bool leave(system_under_review& system, const std::string& id)
{
    auto until = steady_clock::now() + giveUpTime;
    auto backoff = firstBackoff;
    for (int attempt = 0; steady_clock::now() < until; ++attempt) {
        auto to = system.core(1 + attempt % zoneCount);
        auto status = call(to, "DELETE", "/instances/" + id, {}, {}, callTimeout).status;
        system.note("worker " + id + " sends DELETE /instances/" + id + " to " + to.text() + ": "
            + (status == 0 ? "no answer" : std::to_string(status)));
        if (status == statusOk)
            return true;
        std::this_thread::sleep_for(backoff);
        backoff = std::min(2 * backoff, maxBackoff);
    }
    return false;
}

verdict play(system_under_review& system, bool hasTrouble)
{
    std::deque<worker> workers;
    for (int number = 1; number <= zoneCount; ++number)
        workers.emplace_back(system,
            worker_options { "i-" + std::to_string(number), service,
                system.address(firstWorkerHost + number, workerPort), system_under_review::zone(number), 6,
                {}, {}, 0 });
    auto configuration = emptyConfiguration(1);
    configuration["routes"].push_back(route("r-2xp4zhp", host, "/boye613/", "safe", service));
    configuration["services"].push_back(plainService(service));
    configuration["tenants"] = { { { "name", "pulo780" }, { "api-keys", { key } }, { "priority", 1 } } };
    if (!system.configure(configuration) || !system.waitUntilReady())
        return verdict::unrunnable;
    auto& leaving = workers.front();
    const auto& id = leaving.options().id;
    std::atomic<bool> isOver { false };
    std::vector<std::thread> clients;
    for (int front = 1; front <= zoneCount; ++front)
        clients.emplace_back([&, front] {
            for (int number = 1; !isOver; ++number) {
                ask(system, front, "c" + std::to_string(10'000 * front + number));
                std::this_thread::sleep_for(interval);
            }
        });
    auto until = steady_clock::now() + warmTime;
    while (leaving.runs().empty() && steady_clock::now() < until)
        std::this_thread::sleep_for(interval);
    std::this_thread::sleep_for(contactWindow + milliseconds(500));
    if (leaving.runs().empty())
        return verdict::unrunnable;
    // The worker's last heartbeat is sent before it leaves, and is on its way for seconds.
    leaving.stopAnnouncing();
    auto heartbeat = leaving.nextHeartbeat();
    system.note("worker " + id + " sends its last heartbeat, which arrives late, and leaves: " + heartbeat);
    if (hasTrouble)
        killCore(system);
    if (!leave(system, id))
        return verdict::unrunnable;
    auto acknowledgedAt = steady_clock::now();
    if (hasTrouble && sinceLastStart() < contactWindow)
        return verdict::unrunnable; // the machine that acknowledged is not in touch yet
    std::this_thread::sleep_for(heartbeatDelay);
    auto late = call(system.core(2), "PUT", "/instances/" + id, { { "Content-Type", "application/json" } },
        heartbeat, callTimeout);
    system.note(
        "the late heartbeat arrives at " + system.core(2).text() + ": " + std::to_string(late.status));
    std::this_thread::sleep_until(acknowledgedAt + servingTime);
    isOver = true;
    for (auto& client : clients)
        client.join();
    int reached = 0;
    std::size_t all = 0;
    for (const auto& each : workers)
        all += each.runs().size();
    for (const auto& one : leaving.runs()) {
        if (one.at <= acknowledgedAt + drainTimeout)
            continue;
        ++reached;
        auto after = std::chrono::duration_cast<milliseconds>(one.at - acknowledgedAt).count();
        system.note("DRAIN: " + one.request + " reached " + id + ' ' + std::to_string(after)
            + " ms after its departure was acknowledged");
    }
    system.note(std::to_string(reached) + " of " + std::to_string(all) + " requests reached " + id
        + " later than drain-timeout-ms after the acknowledgement");
    return reached > 0 ? verdict::broken : verdict::held;
}

} // namespace

} // namespace plumfold::review

int main(int argc, char** argv)
{
    return plumfold::review::runCase(argc, argv, plumfold::review::play);
}
