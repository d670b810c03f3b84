#include "streams.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace review {

namespace {

constexpr milliseconds eventPause { 150 };
constexpr milliseconds attemptTime { 2'000 }; // for the response to an attempt
/// A client abandons a stream after two seconds, four times the objective of 1,200 ms or eight times the
/// pause of 800 ms without an event, whichever is longest.
constexpr milliseconds patience { 6'400 };
constexpr std::size_t leastTakeUps = 12;

} // namespace

std::string streamConfiguration()
{
    return "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"nylo40.example\",\"path-prefix\":\"/"
           "kafi500/\","
           "\"kind\":\"streaming\",\"timeout-ms\":12000,\"target-latency-ms\":1200,\"priority\":2,"
           "\"service\":\"lm-holraesi\",\"max-attempts\":2,\"public\":false,\"sticky-sessions\":true,"
           "\"resumable\":true,\"target-gap-ms\":800}],\"services\":[{\"name\":\"lm-holraesi\","
           "\"health-check-path\":\"/health\",\"connection-limit\":360,\"protocol\":\"h1\",\"tls\":false,"
           "\"cold-start-s\":3.0,\"cold-per-s\":8.9,\"engine\":{\"slots\":64,\"kv-capacity-tokens\":93552,"
           "\"kv-token-bytes\":18432,\"link-mbps\":740000.0,\"models\":[{\"name\":\"m0\"}]}}],"
           "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
           "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"pulo780\",\"api-keys\":[\"key-1\"],"
           "\"priority\":1}]}";
}

model_server::model_server(deployment& machines, record& out, int number, const std::string& zone,
    const std::string& softwareVersion, std::vector<std::string> controlAddresses)
    : m_record(out)
    , m_id("i-" + std::to_string(number))
    , m_version(softwareVersion)
    , m_http(machines.serverAddress(number),
          [this](const http_request& request, const byte_sender& send) { return serve(request, send); })
    , m_beats(m_id,
          "\"service\":\"lm-holraesi\",\"address\":\"" + machines.serverAddress(number) + "\",\"zone\":\""
              + zone + "\",\"version\":\"" + m_version
              + "\",\"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,\"stage\":\"both\","
                "\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\"born\":1796000000000",
          std::move(controlAddresses))
{
}

bool model_server::serve(const http_request& request, const byte_sender& send)
{
    auto header = [&](const char* name) {
        auto found = request.headers.find(name);
        return found == request.headers.end() ? std::string() : found->second;
    };
    if (request.path.starts_with("/report"))
        return send(response("200 OK", { { "Content-Type", "application/json" } },
            "{\"stage\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],"
            "\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\"kv-used\":0,"
            "\"kv-total\":93552,\"handles\":0}"));
    if (request.path.starts_with("/kv-events")) {
        sleepFor(milliseconds(300));
        return send(response("200 OK", { { "Content-Type", "application/json" } },
            "{\"epoch\":1,\"next\":1,\"lost\":false,\"events\":[]}"));
    }
    if (request.path.starts_with("/kv-list"))
        return send(response(
            "200 OK", { { "Content-Type", "application/json" } }, "{\"epoch\":1,\"next\":1,\"held\":[]}"));
    auto id = header("request-id");
    if (header("expected-instance") != m_id)
        return send(
            response("421 Misdirected Request", { { "Request-Id", id }, { "Not-Executed", "1" } }, {}));
    int first = std::atoi(header("last-event-id").c_str()) + 1;
    m_record.line(m_id + ' ' + m_version + ": runs " + id + " from event " + std::to_string(first));
    bool isOpen = send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: " + m_id + '.' + id
        + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
        + "chunked\r\n\r\n");
    for (int number = first; isOpen && number <= streamEvents; ++number) {
        auto event = "id: " + std::to_string(number) + "\ndata: " + m_version + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        isOpen = send(size + event + "\r\n");
        sleepFor(eventPause);
    }
    return isOpen && send("0\r\n\r\n");
}

stream_clients::stream_clients(std::vector<std::string> addresses, bool namesFirst, record& out)
    : m_addresses(std::move(addresses))
    , m_namesFirst(namesFirst)
    , m_record(out)
{
}

std::vector<stream_result> stream_clients::run(
    int count, int first, int step, const std::function<void()>& meanwhile)
{
    std::vector<stream_result> results(static_cast<std::size_t>(count));
    std::vector<std::thread> threads;
    for (int number = 0; number < count; ++number)
        threads.emplace_back(
            [&, number] { results[static_cast<std::size_t>(number)] = runOne(first + step * number); });
    meanwhile();
    for (auto& each : threads)
        each.join();
    return results;
}

stream_result stream_clients::runOne(int number)
{
    stream_result result;
    auto until = steady::now() + streamDeadline;
    auto id = "request-" + std::to_string(number);
    int last = 0;
    read(number, id, {}, until, last, result);
    result.hasBegun = last > 0;
    if (result.isComplete || last == 0)
        return result;
    result.isTakenUp = true;
    steady::time_point backAt { steady::duration(m_calmFrom.load()) };
    result.isInTouch = steady::now() >= backAt + contactWindow;
    int before = last;
    header_list more { { "Last-Event-Id", std::to_string(last) } };
    if (m_namesFirst)
        more.emplace_back("Resumes", id);
    read(number + 1, id + "-again", more, until, last, result);
    result.hasGoneOn = last > before;
    return result;
}

void stream_clients::read(int number, const std::string& id, const header_list& more,
    steady::time_point until, int& last, stream_result& result)
{
    auto left = std::chrono::duration_cast<milliseconds>(until - steady::now());
    std::string request = "POST /kafi500/2f HTTP/1.1\r\nHost: nylo40.example\r\nRequest-Id: " + id
        + "\r\nModel: m0\r\nToken-Usage: 1050,48\r\nPrompt-Prefix: 5c1e07a2:800,"
        + std::to_string(1000 + number) + ":250\r\nRequest-Deadline: " + std::to_string(left.count())
        + "\r\nApi-Key: key-1\r\nContent-Length: 0\r\n";
    for (const auto& [name, value] : more)
        request += name + ": " + value + "\r\n";
    auto entry = static_cast<std::size_t>(number) % m_addresses.size();
    event_stream stream(m_addresses[entry], request + "\r\n", milliseconds(1'000));
    int status = stream.status(std::min(left, attemptTime));
    m_record.line("client " + id + (more.empty() ? "" : ", event " + std::to_string(last) + " on,")
        + " at frontend-" + std::to_string(entry + 1) + ": " + std::to_string(status));
    if (status != 200)
        return;
    while (steady::now() < until) {
        auto rest = std::chrono::duration_cast<milliseconds>(until - steady::now());
        auto event = stream.next(std::min(patience, rest));
        if (!event)
            break;
        last = std::atoi(event->c_str() + event->find("id: ") + 4);
        result.versions.insert(event->substr(event->find("data: ") + 6, 2));
    }
    result.isComplete = stream.hasEnded() && last == streamEvents;
    m_record.line(
        "client " + id + ": has event " + std::to_string(last) + (result.isComplete ? ", complete" : ""));
}

int judgeTakeUps(
    const std::vector<stream_result>& interrupted, const std::vector<stream_result>& fresh, record& out)
{
    std::size_t takenUp = 0;
    std::size_t wentOn = 0;
    std::size_t joined = 0;
    for (const auto& each : interrupted) {
        takenUp += each.isTakenUp && each.isInTouch;
        wentOn += each.isTakenUp && each.isInTouch && each.hasGoneOn;
        joined += each.versions.size() > 1;
    }
    auto begun = static_cast<std::size_t>(
        std::count_if(fresh.begin(), fresh.end(), [](const auto& each) { return each.hasBegun; }));
    out.line("of " + std::to_string(takenUp) + " streams that were taken up at machines in touch, "
        + std::to_string(wentOn) + " went on; of " + std::to_string(fresh.size()) + " new ones "
        + std::to_string(begun) + " began; " + std::to_string(joined) + " hold events of two versions");
    if (takenUp < leastTakeUps || begun == 0)
        return couldNotRun;
    double share = static_cast<double>(wentOn) / static_cast<double>(takenUp);
    double newShare = static_cast<double>(begun) / static_cast<double>(fresh.size());
    return share < newShare / 2 ? ruleBroken : ruleHeld;
}

} // namespace review
