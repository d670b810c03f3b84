// A configuration adds a route whose host has capital letters.

#include "standin_worker.hpp"

#include <deque>
#include <thread>

namespace plumfold::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const std::string service = "kafi81c";
const std::string firstHost = "nylo40.example";
const std::string addedHost = "Round-App.example";
const std::string key = "fqasnmgkcuyj8pjbvk9m";

constexpr std::uint16_t workerPort = 8080;
constexpr int firstWorkerHost = 100;
constexpr int requests = 20;
constexpr milliseconds interval { 100 };
constexpr milliseconds answerTime { 3'000 };
constexpr milliseconds warmTime { 20'000 };
constexpr milliseconds applyBound { 2'000 }; // config-apply-ms
constexpr milliseconds margin { 500 };
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;

int ask(system_under_review& system, int front, const std::string& host, const std::string& id)
{
    std::map<std::string, std::string> headers { { "Host", host }, { "Request-Id", id },
        { "Request-Deadline", "1500" }, { "Api-Key", key } };
    auto answer = call(system.front(front), "GET", "/boye613/2f", headers, {}, answerTime);
    system.note("client sends " + id + " for " + host + " to " + system.front(front).text() + ": "
        + std::to_string(answer.status));
    return answer.status;
}

nlohmann::json configurationOf(int version, bool hasAdded)
{
    auto out = emptyConfiguration(version);
    out["routes"].push_back(route("r-2xp4zhp", firstHost, "/boye613/", "safe", service));
    if (hasAdded)
        out["routes"].push_back(route("r-fd4n8hk", addedHost, "/boye613/", "safe", service));
    out["services"].push_back(plainService(service));
    out["tenants"] = { { { "name", "pulo780" }, { "api-keys", { key } }, { "priority", 1 } } };
    return out;
}

verdict play(system_under_review& system, bool hasTrouble)
{
    std::deque<worker> workers;
    for (int number = 1; number <= zoneCount; ++number)
        workers.emplace_back(system,
            worker_options { "i-" + std::to_string(number), service,
                system.address(firstWorkerHost + number, workerPort), system_under_review::zone(number), 6,
                {}, {}, 0 });
    if (!system.configure(configurationOf(1, false)) || !system.waitUntilReady())
        return verdict::unrunnable;
    auto until = steady_clock::now() + warmTime;
    int sent = 0;
    int served = 0;
    while (served < zoneCount && steady_clock::now() < until) {
        ++sent;
        served += ask(system, 1 + sent % zoneCount, firstHost, "a" + std::to_string(1000 + sent)) == statusOk;
        std::this_thread::sleep_for(interval);
    }
    if (served < zoneCount)
        return verdict::unrunnable;
    if (hasTrouble && !system.configure(configurationOf(2, true)))
        return verdict::unrunnable;
    std::this_thread::sleep_for(applyBound + margin);
    int refused = 0;
    served = 0;
    for (int index = 1; index <= requests; ++index) {
        const auto& host = hasTrouble ? addedHost : firstHost;
        auto status = ask(system, 1 + index % zoneCount, host, "b" + std::to_string(1000 + index));
        refused += status == statusNotFound;
        served += status == statusOk;
        std::this_thread::sleep_for(interval);
    }
    if (refused > 0) {
        auto read = system.order("GET", "/configuration");
        system.note("CONFIG: " + std::to_string(refused) + " of " + std::to_string(requests)
            + " requests on the added route got 404; read back: " + read.body);
        return verdict::broken;
    }
    return served > 0 ? verdict::held : verdict::unrunnable;
}

} // namespace

} // namespace plumfold::review

int main(int argc, char** argv)
{
    return plumfold::review::runCase(argc, argv, plumfold::review::play);
}
