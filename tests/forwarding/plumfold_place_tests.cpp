#include "support/plumfold_forwarding_system.hpp"
#include "support/plumfold_steady_callers.hpp"

#include <catch2/catch.hpp>

#include <future>
#include <signal.h>
#include <thread>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

constexpr int targets = 2;
constexpr int slots = 2;
constexpr int waiting = 2;
constexpr double capacity = targets * slots / 0.1; // requests per second; each takes 100 ms

/// Control VMs, entries and targets with few slots of a plain service.
class place_system : public forwarding_system {
public:
    explicit place_system(int entries = 2, bool usesPlaces = true)
    {
        setSharedLimitLease(2s);
        setTargetSlots(slots);
        if (usesPlaces)
            enableTargetPlaces();
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        auto body = deployment(3);
        auto urgent = body["routes"][1];
        urgent["name"] = "urgent";
        urgent["path-prefix"] = "/urgent/";
        urgent["priority"] = 0;
        body["routes"].push_back(urgent);
        for (auto& route : body["routes"]) {
            route["target-latency-ms"] = latencyTarget.count();
            route["timeout-ms"] = 4'000;
        }
        body["routes"][0]["priority"] = 2;
        putDeployment(1, body);
        for (int number = 1; number <= entries; ++number)
            startEntry(number);
        for (int number = 1; number <= targets; ++number)
            m_targets.push_back(&startTarget("t" + std::to_string(number), "shop", {}, "v1",
                [](auto& target) { target.setRoom(slots, waiting); }));
        startAnnouncing();
        for (int number = 1; number <= entries; ++number)
            waitForTarget(number);
        sleepFor(2s); // the leases of the shared limits are taken
    }

    static constexpr std::chrono::milliseconds latencyTarget { 600 };

    /// @return the requests that targets have received with an id.
    std::size_t arrivalsOf(const std::string& id) const
    {
        std::size_t count = 0;
        for (const auto* target : m_targets) {
            for (const auto& each : target->requests())
                count += each.headers.count("request-id") && each.headers.at("request-id") == id;
        }
        return count;
    }

    /// @return how often targets have run the request with an id.
    std::size_t runsOf(const std::string& id) const
    {
        std::size_t count = 0;
        for (const auto* target : m_targets) {
            auto run = target->executed();
            count += static_cast<std::size_t>(std::count(run.begin(), run.end(), id));
        }
        return count;
    }

    /// @return the number of an event in the log of a process, with a text after it in the same line.
    std::size_t countEvents(
        const std::string& process, const std::string& event, const std::string& text = {})
    {
        std::istringstream lines(logOf(process));
        std::size_t count = 0;
        for (std::string line; std::getline(lines, line);)
            count += line.find("event=" + event + " ") != std::string::npos
                && line.find(text) != std::string::npos;
        return count;
    }

    /// @return the line that an entry has logged at the end of a request; empty if there is none.
    std::string endOf(const std::string& process, const std::string& id)
    {
        std::istringstream lines(logOf(process));
        for (std::string line; std::getline(lines, line);) {
            if (line.find("event=request_ended request=" + id + " ") != std::string::npos)
                return line;
        }
        return {};
    }

    /// @return the name of the control VM that grants places; empty if none does.
    std::string issuer()
    {
        std::string found;
        std::size_t latest = 0;
        for (const char* name : { "c1", "c2", "c3" }) {
            auto log = logOf(name);
            auto taken = log.rfind("event=shared_limit_lease_taken");
            if (taken == std::string::npos)
                continue;
            auto line = log.rfind("at=", taken);
            auto at = std::strtoull(log.c_str() + line + 3, nullptr, 10);
            if (at >= latest) {
                latest = at;
                found = name;
            }
        }
        return found;
    }

private:
    std::vector<scripted_target*> m_targets;
};

class system_without_places : public place_system {
public:
    system_without_places()
        : place_system(2, false)
    {
    }
};

const std::vector<int> bothEntries { 1, 2 };

} // namespace

// Guards against any effect of places on entries that do not use them.
TEST_CASE_METHOD(
    system_without_places, "Without the setting, no request asks for a place", "[forwarding][places]")
{
    steady_callers callers(*this, bothEntries, 3 * capacity, "/stock/work");
    sleepFor(3s);
    callers.stop();
    for (const char* entry : { "n1", "n2" }) {
        CHECK(countEvents(entry, "request_ended", "place=none place_wait_ms=0") > 50);
        CHECK(countEvents(entry, "request_ended", "place=none") == countEvents(entry, "request_ended"));
        CHECK(countEvents(entry, "service_contended") == 0);
    }
}

// Guards against messages to the issuer, and their delay, while there is room.
TEST_CASE_METHOD(place_system, "Requests to a service with room need no place", "[forwarding][places]")
{
    steady_callers callers(*this, bothEntries, 0.25 * capacity, "/stock/work");
    auto from = sleepFor(500ms);
    auto until = sleepFor(3s);
    callers.stop();
    CHECK(servedShare(callers.callsBetween(from, until)) == 1);
    for (const char* entry : { "n1", "n2" })
        CHECK(countEvents(entry, "request_ended", "place=granted") == 0);
}

// Guards against rejections by targets, late answers and urgent requests that wait behind others.
TEST_CASE_METHOD(place_system, "A contended service serves urgent requests first and refuses others in time",
    "[forwarding][places][issuer]")
{
    steady_callers urgent(*this, bothEntries, 0.5 * capacity, "/urgent/work");
    steady_callers others(*this, bothEntries, 1.5 * capacity, "/stock/work");
    auto from = sleepFor(2s);
    auto until = sleepFor(5s);
    urgent.stop();
    others.stop();
    auto urgentCalls = urgent.callsBetween(from, until);
    auto otherCalls = others.callsBetween(from, until);
    auto served = countStatus(urgentCalls, 200) + countStatus(otherCalls, 200);
    auto seconds = std::chrono::duration<double>(until - from).count();
    CAPTURE(urgentCalls.size(), otherCalls.size(), servedShare(urgentCalls), servedShare(otherCalls));
    CHECK(servedShare(urgentCalls) >= 0.95);
    CHECK(static_cast<double>(served) >= 0.85 * capacity * seconds);
    CHECK(countStatus(otherCalls, 200) + countStatus(otherCalls, 503) == otherCalls.size());
    std::size_t withoutRetryAfter = 0;
    for (const auto& each : otherCalls)
        withoutRetryAfter += each.status == 503 && !each.hasRetryAfter;
    CHECK(withoutRetryAfter == 0);
    std::size_t granted = 0;
    std::size_t refusedByTargets = 0;
    for (const char* entry : { "n1", "n2" }) {
        granted += countEvents(entry, "request_ended", "place=granted");
        refusedByTargets += countEvents(entry, "request_ended", "reason=target_refused_503");
        CHECK(countEvents(entry, "service_contended") >= 1);
        CHECK(countEvents(entry, "request_ended", "reason=no_room") > 0);
    }
    CHECK(granted > 100);
    CHECK(static_cast<double>(refusedByTargets) <= 0.02 * static_cast<double>(otherCalls.size()));
}

// Guards against a service that stops, or requests that get no response, without its issuer.
TEST_CASE_METHOD(
    place_system, "A contended service goes on while its issuer is killed", "[forwarding][places][issuer]")
{
    steady_callers callers(*this, bothEntries, 1.5 * capacity, "/stock/work");
    sleepFor(2s);
    auto killed = issuer();
    REQUIRE_FALSE(killed.empty());
    REQUIRE(countEvents("n1", "request_ended", "place=granted") > 0);
    auto killedAt = steady_clock::now();
    process(killed).kill();
    auto takenOverAt = sleepFor(8s); // the lease ends, and another control VM takes it
    auto grantedBefore = countEvents("n1", "request_ended", "place=granted");
    auto endedAt = sleepFor(3s);
    callers.stop();
    auto without = callers.callsBetween(killedAt, takenOverAt);
    CHECK(countStatus(without, 200) + countStatus(without, 503) == without.size());
    auto seconds = std::chrono::duration<double>(takenOverAt - killedAt).count();
    CHECK(static_cast<double>(countStatus(without, 200)) >= 0.7 * capacity * seconds);
    auto later = callers.callsBetween(takenOverAt, endedAt);
    CHECK(static_cast<double>(countStatus(later, 200))
        >= 0.8 * capacity * std::chrono::duration<double>(endedAt - takenOverAt).count());
    CHECK(countEvents("n1", "request_ended", "place=granted") > grantedBefore);
}

// Guards against places that a killed entry holds for ever.
TEST_CASE_METHOD(place_system, "The places of a killed entry become free", "[forwarding][places][issuer]")
{
    {
        steady_callers callers(*this, bothEntries, 2 * capacity, "/stock/work");
        sleepFor(2s);
        REQUIRE(countEvents("n2", "request_ended", "place=granted") > 0);
        process("n2").kill();
    }
    sleepFor(2s);
    steady_callers callers(*this, { 1 }, 1.2 * capacity, "/stock/work");
    auto from = sleepFor(1s);
    auto until = sleepFor(3s);
    callers.stop();
    auto calls = callers.callsBetween(from, until);
    CHECK(static_cast<double>(countStatus(calls, 200))
        >= 0.85 * capacity * std::chrono::duration<double>(until - from).count());
}

// Guards against requests that run although their caller has given up.
TEST_CASE_METHOD(place_system, "A request whose caller gives up while it waits for a place is not sent",
    "[forwarding][places][issuer]")
{
    steady_callers callers(*this, bothEntries, 1.5 * capacity, "/stock/work");
    sleepFor(2s);
    std::vector<std::string> ids;
    for (int count = 0; count < 40; ++count) {
        ids.push_back(nextId());
        raw_caller caller(callerAddress(1));
        caller.send(requestBytes("/stock/work", ids.back(), "order", { { "Request-Deadline", "4000" } }));
        std::this_thread::sleep_for(20ms);
        caller.close();
        std::this_thread::sleep_for(30ms);
    }
    sleepFor(1s);
    callers.stop();
    std::size_t given = 0;
    for (const auto& id : ids) {
        auto line = endOf("n1", id);
        CAPTURE(line);
        bool isGoneWaiting = line.find("outcome=caller_gone") != std::string::npos
            && line.find(" sends=0 ") != std::string::npos;
        given += isGoneWaiting;
        if (isGoneWaiting)
            CHECK(arrivalsOf(id) == 0);
    }
    CHECK(given > 0);
}

// Guards against requests that wait for a place until their entry has ended.
TEST_CASE_METHOD(place_system, "Requests that wait for a place are refused when their entry stops",
    "[forwarding][places][issuer]")
{
    steady_callers callers(*this, bothEntries, 1.5 * capacity, "/stock/work");
    sleepFor(2s);
    REQUIRE(eventually([&] { return countEvents("n2", "request_ended", "place=granted") > 0; }));
    std::vector<std::future<std::pair<std::string, raw_response>>> waitingRequests;
    for (int count = 0; count < 40; ++count)
        waitingRequests.push_back(std::async(std::launch::async, [this] {
            auto id = nextId();
            raw_caller caller(callerAddress(2));
            caller.send(requestBytes("/urgent/work", id, "order", { { "Request-Deadline", "4000" } }));
            return std::pair(id, caller.receive());
        }));
    std::this_thread::sleep_for(100ms);
    auto stoppedAt = steady_clock::now();
    auto stopping = std::async(std::launch::async, [this] { return process("n2").stop(); });
    std::size_t unsent = 0;
    for (auto& each : waitingRequests) {
        auto [id, response] = each.get();
        auto line = endOf("n2", id);
        CAPTURE(line);
        CHECK((response.status == 200 || response.status == 503));
        CHECK(steady_clock::now() - stoppedAt < 1s);
        bool isRefused = line.find("reason=stopping") != std::string::npos;
        if (!isRefused)
            continue;
        CHECK(response.status == 503);
        CHECK(line.find("may_have_run=false") != std::string::npos);
        // It waited for a place after a target had rejected it, or before it was sent.
        bool isUnsent = line.find(" sends=0 ") != std::string::npos;
        unsent += isUnsent;
        CHECK(line.find(" sends=" + std::to_string(arrivalsOf(id)) + " ") != std::string::npos);
        CHECK(runsOf(id) == 0);
    }
    CHECK(unsent > 0);
    CHECK(stopping.get() == 0);
    callers.stop();
}
