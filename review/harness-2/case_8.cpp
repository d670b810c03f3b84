// A model service has two sound servers, and one whose heartbeats come from another writer: they lack
// `models`. Two tenants, of which one is isolated, send requests whose prompts share their first part. The
// servers keep account of who made the KV cache that each request uses.

#include "harness.hpp"

#include <sstream>

using namespace review;

namespace {

const std::vector<std::string> zones { "reykjavik-a", "hafnarfjordur-b", "kopavogur-c", "akranes-d" };

constexpr int controls = 4;
constexpr int servers = 3; // the last one is announced by another writer
constexpr int sharedParts = 30;
constexpr int rounds = 2;
constexpr milliseconds requestPause { 60 };
const std::string isolatedTenant = "pulo780";
const std::string otherTenant = "sybo112";

std::string configuration()
{
    return "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"nylo40.example\",\"path-prefix\":"
           "\"/kafi500/\",\"kind\":\"streaming\",\"timeout-ms\":12000,\"target-latency-ms\":1200,"
           "\"priority\":2,\"service\":\"lm-holraesi\",\"max-attempts\":2,\"public\":false,"
           "\"sticky-sessions\":true,\"resumable\":true,\"target-gap-ms\":800}],\"services\":[{\"name\":"
           "\"lm-holraesi\",\"health-check-path\":\"/health\",\"connection-limit\":360,\"protocol\":\"h1\","
           "\"tls\":false,\"cold-start-s\":3.0,\"cold-per-s\":8.9,\"engine\":{\"slots\":64,"
           "\"kv-capacity-tokens\":93552,\"kv-token-bytes\":18432,\"link-mbps\":740000.0,\"models\":"
           "[{\"name\":\"m0\"}]}}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
           "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\""
        + isolatedTenant + "\",\"api-keys\":[\"key-1\"],\"priority\":1,\"isolated\":true},{\"name\":\""
        + otherTenant + "\",\"api-keys\":[\"key-2\"],\"priority\":1}]}";
}

/// A model server, which finds cached parts under the text of Cache-Salt only; an absent one counts as one
/// text.
class model_server {
public:
    /// @param hasModels whether its heartbeats name its models.
    model_server(deployment& machines, record& out, int number, bool hasModels,
        std::vector<std::string> controlAddresses)
        : m_record(out)
        , m_id("i-" + std::to_string(number))
        , m_http(machines.serverAddress(number),
              [this](const http_request& request, const byte_sender& send) { return serve(request, send); })
        , m_beats(m_id,
              "\"service\":\"lm-holraesi\",\"address\":\"" + machines.serverAddress(number) + "\",\"zone\":\""
                  + zones[static_cast<std::size_t>(number - 1)]
                  + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,"
                    "\"stage\":\"both\","
                  + (hasModels ? "\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]," : "")
                  + "\"born\":1796000000000",
              std::move(controlAddresses))
    {
    }

    int breaks() const { return m_breaks; }
    int runs() const { return m_runs; }

private:
    bool serve(const http_request& request, const byte_sender& send)
    {
        auto header = [&](const char* name) {
            auto found = request.headers.find(name);
            return found == request.headers.end() ? std::string() : found->second;
        };
        header_list json { { "Content-Type", "application/json" } };
        if (request.path.starts_with("/report"))
            return send(response("200 OK", json,
                "{\"stage\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],"
                "\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\"kv-used\":0,"
                "\"kv-total\":93552,\"handles\":0}"));
        if (request.path.starts_with("/kv-events")) {
            sleepFor(milliseconds(300));
            return send(response("200 OK", json, "{\"epoch\":1,\"next\":1,\"lost\":false,\"events\":[]}"));
        }
        if (request.path.starts_with("/kv-list"))
            return send(response("200 OK", json, "{\"epoch\":1,\"next\":1,\"held\":[]}"));
        auto id = header("request-id");
        auto version = header("expected-version");
        if (header("expected-instance") != m_id || (!version.empty() && version != "1"))
            return send(
                response("421 Misdirected Request", { { "Request-Id", id }, { "Not-Executed", "1" } }, {}));
        useCache(id, header("tenant"), header("cache-salt"), header("prompt-prefix"));
        std::string events;
        for (int number = 1; number <= 3; ++number)
            events += "id: " + std::to_string(number) + "\ndata: word\n\n";
        return send(response("200 OK",
            { { "Request-Id", id }, { "Response-Signature", m_id + '.' + id }, { "Weight-Versions", "1" },
                { "Content-Type", "text/event-stream" } },
            events));
    }

    void useCache(
        const std::string& id, const std::string& tenant, const std::string& salt, const std::string& prefix)
    {
        std::lock_guard lock(m_mutex);
        ++m_runs;
        std::istringstream parts(prefix);
        std::string part;
        std::string foreign;
        bool areAllCached = true; // those before
        while (std::getline(parts, part, ',')) {
            auto [place, isNew] = m_cache[salt].try_emplace(part, tenant);
            areAllCached = areAllCached && !isNew;
            bool isWalled = tenant == isolatedTenant || place->second == isolatedTenant;
            if (areAllCached && place->second != tenant && isWalled)
                foreign += " part " + part + " made by " + place->second;
        }
        m_breaks += !foreign.empty();
        m_record.line(m_id + " runs " + id + " of " + tenant + ", salt "
            + (salt.empty() ? std::string("absent") : salt) + (foreign.empty() ? "" : ", uses" + foreign));
    }

    record& m_record;
    std::string m_id;
    std::mutex m_mutex;
    std::map<std::string, std::map<std::string, std::string>> m_cache; // by salt and part: who made it
    std::atomic<int> m_breaks { 0 };
    std::atomic<int> m_runs { 0 };
    http_server m_http;
    heartbeats m_beats;
};

int run(deployment& machines, record& out, bool trouble)
{
    std::vector<std::string> controlAddresses;
    for (int number = 1; number <= controls; ++number) {
        machines.startControl(number, zones[static_cast<std::size_t>(number - 1)], true);
        controlAddresses.push_back(machines.platformAddress(number));
    }
    machines.startEntry(1, zones[0]);
    std::vector<std::unique_ptr<model_server>> all;
    for (int number = 1; number <= servers; ++number)
        all.push_back(std::make_unique<model_server>(
            machines, out, number, !trouble || number < servers, controlAddresses));
    auto isPut = [&] {
        return call(controlAddresses[0], "PUT", "/configuration", configuration(), {}, milliseconds(1'000))
                   .status
            == 200;
    };
    if (!eventually(isPut, milliseconds(10'000))
        || !eventually([&] { return machines.isReady(1); }, milliseconds(10'000)))
        return couldNotRun;
    out.line("operator: version 1 acknowledged, tenant " + isolatedTenant
        + " is isolated; the platform: the entry is ready");
    sleepFor(milliseconds(6'000)); // the heartbeats of all servers, and contact
    int served = 0;
    for (int round = 0; round < rounds; ++round) {
        for (int shared = 0; shared < sharedParts; ++shared) {
            for (const auto* key : { "key-1", "key-2" }) {
                auto id = "request-" + std::to_string(round) + '-' + std::to_string(shared) + '-' + key;
                auto own = std::to_string(100'000 + round * 1'000 + shared * 10 + (key[4] - '0'));
                auto answer = call(machines.callerAddress(1), "POST", "/kafi500/2f", {},
                    { { "Host", "nylo40.example" }, { "Request-Id", id }, { "Model", "m0" },
                        { "Token-Usage", "1050,3" },
                        { "Prompt-Prefix", std::to_string(50'000 + shared) + ":800," + own + ":250" },
                        { "Request-Deadline", "12000" }, { "Api-Key", key } },
                    milliseconds(12'000));
                bool isServed = answer.status == 200 && answer.isComplete;
                served += isServed;
                sleepFor(requestPause);
                if (!isServed)
                    out.line("client " + id + ": " + std::to_string(answer.status));
            }
        }
    }
    int breaks = 0;
    int runs = 0;
    for (const auto& each : all) {
        breaks += each->breaks();
        runs += each->runs();
    }
    out.line(std::to_string(served) + " requests served, " + std::to_string(runs) + " run, "
        + std::to_string(breaks)
        + " of them on KV cache of another tenant, though one of the two is isolated");
    if (served < sharedParts * rounds)
        return couldNotRun;
    return breaks > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, run, zones);
}
