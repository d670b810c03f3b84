// Another writer leaves a heartbeat that cannot be read: it is nested very deeply. The platform ends
// processes that use more than their memory, and starts them again.

#include "harness.hpp"

using namespace review;

namespace {

const std::vector<std::string> zones { "reykjavik-a", "hafnarfjordur-b", "kopavogur-c", "akranes-d" };

constexpr int controls = 4;
constexpr std::size_t memoryLimit = 256 << 20; // memory-mb
constexpr std::size_t heartbeatBytes = 4'194'304; // max-body-bytes
constexpr milliseconds heartbeatInterval { 1'200 };
constexpr milliseconds answerTime { 1'000 }; // after which the next machine is called
constexpr milliseconds restartDelay { 500 };
constexpr milliseconds watchInterval { 5 };
constexpr milliseconds observation { 50'000 };
constexpr int endsOfFault = 3;

const std::string configuration
    = "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"nylo40.example\",\"path-prefix\":\"/boye613/\","
      "\"kind\":\"unsafe\",\"timeout-ms\":800,\"target-latency-ms\":100,\"priority\":2,\"service\":"
      "\"round-app\",\"max-attempts\":1,\"public\":true,\"sticky-sessions\":false,\"resumable\":false}],"
      "\"services\":[{\"name\":\"round-app\",\"health-check-path\":\"/health\",\"connection-limit\":96,"
      "\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}],\"limits\":"
      "{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
      "\"idle-timeout-ms\":15000}}";

/// The part of the platform that holds processes to their memory.
class memory_guard {
public:
    memory_guard(deployment& machines, record& out)
        : m_machines(machines)
        , m_record(out)
    {
    }

    /// Watches all core machines until a time. Processes are started here only, on one thread.
    void watch(steady::time_point until)
    {
        std::map<int, steady::time_point> startAt;
        while (steady::now() < until) {
            for (int number = 1; number <= controls; ++number) {
                auto due = startAt.find(number);
                if (due != startAt.end()) {
                    if (steady::now() < due->second)
                        continue;
                    m_machines.startControl(number, zones[static_cast<std::size_t>(number - 1)], false);
                    startAt.erase(due);
                    continue;
                }
                auto& process = m_machines.control(number);
                auto bytes = process.memoryBytes();
                m_most = std::max(m_most, bytes);
                if (bytes <= memoryLimit && process.isRunning())
                    continue;
                m_record.line("platform: core-" + std::to_string(number) + " uses "
                    + std::to_string(bytes >> 20) + " MB, its limit is 256 MB: it is killed");
                process.kill();
                ++m_ends[number];
                startAt[number] = steady::now() + restartDelay;
            }
            sleepFor(watchInterval);
        }
        for (const auto& [number, at] : startAt)
            m_machines.startControl(number, zones[static_cast<std::size_t>(number - 1)], false);
    }

    const std::map<int, int>& ends() const { return m_ends; }
    std::size_t most() const { return m_most; }

private:
    deployment& m_machines;
    record& m_record;
    std::map<int, int> m_ends; // by machine
    std::size_t m_most = 0;
};

int run(deployment& machines, record& out, bool trouble)
{
    std::vector<std::string> controlAddresses;
    for (int number = 1; number <= controls; ++number) {
        machines.startControl(number, zones[static_cast<std::size_t>(number - 1)], true);
        controlAddresses.push_back(machines.platformAddress(number));
    }
    auto isPut = [&] {
        return call(controlAddresses[0], "PUT", "/configuration", configuration, {}, answerTime).status
            == 200;
    };
    if (!eventually(isPut, milliseconds(10'000)))
        return couldNotRun;
    out.line("operator: version 1 acknowledged");
    sleepFor(milliseconds(4'000));
    std::atomic<bool> isOver { false };
    std::thread writer([&] {
        std::string heartbeat = "{\"service\":\"round-app\",\"models\":";
        heartbeat.resize(heartbeatBytes, '[');
        for (std::size_t at = 0; trouble && !isOver;) {
            auto sentAt = steady::now();
            for (int tries = 0; tries < controls && !isOver; ++tries) {
                auto answer = call(controlAddresses[at], "PUT", "/instances/i-7f3a91c2", heartbeat,
                    { { "Content-Type", "application/json" } }, answerTime);
                out.line("another writer: heartbeat to core-" + std::to_string(at + 1) + ": "
                    + std::to_string(answer.status));
                if (answer.status / 100 == 2)
                    break;
                at = (at + 1) % controlAddresses.size();
            }
            while (!isOver && steady::now() - sentAt < heartbeatInterval)
                sleepFor(milliseconds(20));
        }
    });
    std::atomic<int> questions { 0 };
    std::atomic<int> answers { 0 };
    std::thread reader([&] {
        for (std::size_t at = 0; !isOver; ++at) {
            auto answer = call(
                controlAddresses[at % controlAddresses.size()], "GET", "/configuration", {}, {}, answerTime);
            ++questions;
            answers += answer.status == 200;
            sleepFor(milliseconds(250));
        }
    });
    memory_guard guard(machines, out);
    guard.watch(steady::now() + observation);
    isOver = true;
    writer.join();
    reader.join();
    int machinesEnded = 0;
    for (const auto& [number, ends] : guard.ends()) {
        out.line("core-" + std::to_string(number) + " has ended " + std::to_string(ends) + " times");
        machinesEnded += ends >= endsOfFault;
    }
    out.line("on " + std::to_string(machinesEnded) + " of " + std::to_string(controls)
        + " core machines processes ended three times or more; at most " + std::to_string(guard.most() >> 20)
        + " MB were seen; " + std::to_string(answers) + " of " + std::to_string(questions)
        + " questions for the configuration were answered");
    return 2 * machinesEnded >= controls ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, run, zones);
}
