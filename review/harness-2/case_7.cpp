// A zone is evacuated. One control VM is partitioned from the others. The operator sends it the withdrawal,
// has no acknowledgement and sends it to another one, which acknowledges it; then it evacuates the zone
// again. The partition ends.

#include "harness.hpp"

using namespace review;

namespace {

const std::vector<std::string> zones { "reykjavik-a", "hafnarfjordur-b", "kopavogur-c", "akranes-d" };

constexpr int controls = 4;
constexpr int cutControl = 4; // no seed, so it does not lead
constexpr milliseconds cutTime { 4'000 };
constexpr milliseconds callTime { 1'000 }; // after which the operator moves on
constexpr milliseconds evacuation { 5'000 }; // evacuation-ms
constexpr milliseconds stretch { 5'000 }; // max-stretch-ms
constexpr milliseconds contactWindow { 3'000 };
constexpr milliseconds margin { 300 };
constexpr milliseconds observation { 10'000 };
constexpr milliseconds requestPause { 50 };

const std::string configuration
    = "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"nylo40.example\",\"path-prefix\":\"/boye613/\","
      "\"kind\":\"unsafe\",\"timeout-ms\":800,\"target-latency-ms\":100,\"priority\":2,\"service\":"
      "\"round-app\",\"max-attempts\":1,\"public\":true,\"sticky-sessions\":false,\"resumable\":false}],"
      "\"services\":[{\"name\":\"round-app\",\"health-check-path\":\"/health\",\"connection-limit\":96,"
      "\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}],\"limits\":"
      "{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
      "\"idle-timeout-ms\":15000}}";

/// A server of a plain service. It counts the requests that reach it after a time.
class plain_server {
public:
    plain_server(deployment& machines, record& out, int number, std::vector<std::string> controlAddresses)
        : m_record(out)
        , m_id("i-" + std::to_string(number))
        , m_http(machines.serverAddress(number),
              [this](const http_request& request, const byte_sender& send) { return serve(request, send); })
        , m_beats(m_id,
              "\"service\":\"round-app\",\"address\":\"" + machines.serverAddress(number) + "\",\"zone\":\""
                  + zones[static_cast<std::size_t>(number - 1)]
                  + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,"
                    "\"born\":1796000000000",
              std::move(controlAddresses))
    {
    }

    void countFrom(steady::time_point at) { m_countFrom = at.time_since_epoch().count(); }
    int counted() const { return m_counted; }
    int all() const { return m_all; }

private:
    bool serve(const http_request& request, const byte_sender& send)
    {
        auto header = [&](const char* name) {
            auto found = request.headers.find(name);
            return found == request.headers.end() ? std::string() : found->second;
        };
        auto id = header("request-id");
        if (header("expected-instance") != m_id)
            return send(
                response("421 Misdirected Request", { { "Request-Id", id }, { "Not-Executed", "1" } }, {}));
        ++m_all;
        bool counts = steady::now().time_since_epoch().count() >= m_countFrom;
        m_counted += counts;
        m_record.line(m_id + " runs " + id + (counts ? ", counted" : ""));
        return send(
            response("200 OK", { { "Request-Id", id }, { "Response-Signature", m_id + '.' + id } }, "done"));
    }

    record& m_record;
    std::string m_id;
    std::atomic<steady::rep> m_countFrom { steady::time_point::max().time_since_epoch().count() };
    std::atomic<int> m_counted { 0 };
    std::atomic<int> m_all { 0 };
    http_server m_http;
    heartbeats m_beats;
};

int run(deployment& machines, record& out, bool trouble)
{
    core_links links;
    machines.setLinks(&links);
    std::vector<std::string> controlAddresses;
    for (int number = 1; number <= controls; ++number) {
        machines.startControl(number, zones[static_cast<std::size_t>(number - 1)], true);
        controlAddresses.push_back(machines.platformAddress(number));
    }
    machines.startEntry(1, zones[0]);
    plain_server evacuated(machines, out, 1, controlAddresses);
    plain_server other(machines, out, 2, controlAddresses);
    auto isPut = [&] {
        return call(controlAddresses[0], "PUT", "/configuration", configuration, {}, callTime).status == 200;
    };
    if (!eventually(isPut, milliseconds(10'000))
        || !eventually([&] { return machines.isReady(1); }, milliseconds(10'000)))
        return couldNotRun;
    out.line("operator: version 1 acknowledged; the platform: the entry is ready");
    sleepFor(milliseconds(6'000)); // the heartbeats of all servers, and contact
    std::atomic<bool> isOver { false };
    std::thread client([&] {
        for (int number = 1; !isOver; ++number) {
            auto id = "request-" + std::to_string(number);
            auto answer = call(machines.callerAddress(1), "POST", "/boye613/2f", "order",
                { { "Host", "nylo40.example" }, { "Request-Id", id }, { "Request-Deadline", "1500" } },
                milliseconds(1'500));
            if (answer.status != 200)
                out.line("client " + id + ": " + std::to_string(answer.status));
            sleepFor(requestPause);
        }
    });
    auto order = [&](const char* method, std::vector<int> numbers) {
        for (int number : numbers) {
            auto answer = call(controlAddresses[static_cast<std::size_t>(number - 1)], method,
                "/evacuations/" + zones[0], {}, {}, callTime);
            out.line(std::string("operator: ") + method + " /evacuations/" + zones[0] + " to core-"
                + std::to_string(number) + ": " + std::to_string(answer.status));
            if (answer.status / 100 == 2)
                return true;
        }
        return false;
    };
    bool isOrdered = order("POST", { 1, 2, 3 });
    sleepFor(milliseconds(2'000));
    auto cutAt = steady::now();
    if (trouble) {
        out.line(
            "platform: core-" + std::to_string(cutControl) + " is partitioned from the other core machines");
        links.cut(cutControl);
    }
    isOrdered = isOrdered && order("DELETE", { cutControl, 1, 2, 3 });
    sleepFor(milliseconds(1'000));
    isOrdered = isOrdered && order("POST", { 2, 3, 1 });
    auto acknowledgedAt = steady::now();
    std::this_thread::sleep_until(cutAt + cutTime);
    if (trouble) {
        out.line("platform: the partition ends");
        links.heal();
    }
    auto countFrom = std::max(acknowledgedAt + evacuation + stretch, steady::now() + contactWindow) + margin;
    evacuated.countFrom(countFrom);
    other.countFrom(countFrom);
    std::this_thread::sleep_until(countFrom + observation);
    isOver = true;
    client.join();
    out.line(std::to_string(evacuated.counted())
        + " requests reached the server of the evacuated zone later than "
        + "evacuation-ms and max-stretch-ms after the acknowledgement, " + std::to_string(other.counted())
        + " the other one; the evacuation was not taken back since");
    if (!isOrdered || evacuated.counted() + other.counted() == 0)
        return couldNotRun;
    return evacuated.counted() > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, run, zones);
}
