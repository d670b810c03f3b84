// A configuration without tenants replaces one with tenants.

#include "standin_worker.hpp"

#include <deque>
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
constexpr int requests = 40;
constexpr int allowedRefusals = 5; // and one in 500 of all requests
constexpr int requestsPerRefusal = 500;
constexpr milliseconds interval { 100 };
constexpr milliseconds answerTime { 3'000 };
constexpr milliseconds warmTime { 20'000 };
constexpr milliseconds applyBound { 2'000 }; // config-apply-ms
constexpr milliseconds margin { 500 };
constexpr int statusOk = 200;
constexpr int firstRedirection = 300;
constexpr int firstServerError = 500;

int ask(system_under_review& system, int front, bool hasKey, const std::string& id)
{
    std::map<std::string, std::string> headers { { "Host", host }, { "Request-Id", id },
        { "Request-Deadline", "1500" } };
    if (hasKey)
        headers["Api-Key"] = key;
    auto answer = call(system.front(front), "GET", "/boye613/2f", headers, {}, answerTime);
    system.note("client sends " + id + (hasKey ? " with" : " without") + " a key to "
        + system.front(front).text() + ": " + std::to_string(answer.status));
    return answer.status;
}

nlohmann::json configurationOf(int version, bool hasTenants)
{
    auto out = emptyConfiguration(version);
    out["routes"].push_back(route("r-2xp4zhp", host, "/boye613/", "safe", service));
    out["services"].push_back(plainService(service));
    if (hasTenants)
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
    if (!system.configure(configurationOf(1, true)) || !system.waitUntilReady())
        return verdict::unrunnable;
    auto until = steady_clock::now() + warmTime;
    int sent = 0;
    int served = 0;
    while (served < zoneCount && steady_clock::now() < until) {
        ++sent;
        served += ask(system, 1 + sent % zoneCount, true, "a" + std::to_string(1000 + sent)) == statusOk;
        std::this_thread::sleep_for(interval);
    }
    if (served < zoneCount)
        return verdict::unrunnable;
    if (hasTrouble && !system.configure(configurationOf(2, false)))
        return verdict::unrunnable;
    std::this_thread::sleep_for(applyBound + margin);
    int refused = 0;
    served = 0;
    for (int index = 1; index <= requests; ++index, ++sent) {
        auto status = ask(system, 1 + index % zoneCount, !hasTrouble, "b" + std::to_string(1000 + index));
        refused += status >= firstRedirection && status < firstServerError;
        served += status == statusOk;
        std::this_thread::sleep_for(interval);
    }
    if (refused * requestsPerRefusal > allowedRefusals * requestsPerRefusal + sent) {
        system.note("DENIED: " + std::to_string(refused) + " of " + std::to_string(sent)
            + " requests were refused although the configuration in force allows them");
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
