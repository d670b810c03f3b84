// Two of four control VMs are replaced one after the other, the one that leads last, each once its successor
// has had `catch-up-s`. Then one of the others loses its disk. The operator reads the configuration back.

#include "harness.hpp"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

const std::vector<std::string> zones { "reykjavik-a", "hafnarfjordur-b", "kopavogur-c", "akranes-d" };

constexpr milliseconds catchUp { 4'000 }; // catch-up-s
constexpr milliseconds margin { 100 };
constexpr milliseconds callTime { 1'000 }; // after which the operator moves on
constexpr milliseconds wipeDelay { 1'000 }; // after the last machine was told to leave
constexpr milliseconds downTime { 1'000 }; // of the machine that loses its disk
constexpr milliseconds readBackTime { 25'000 };

/// The operator, who picks among the machines that serve control.
class platform_operator {
public:
    platform_operator(deployment& machines, record& out)
        : m_machines(machines)
        , m_record(out)
    {
    }

    void setMachines(std::vector<int> numbers) { m_numbers = std::move(numbers); }

    /// Sends a configuration, again to other machines, until it is acknowledged or the time ends.
    bool put(int version, milliseconds time)
    {
        auto until = steady::now() + time;
        for (std::size_t turn = 0; steady::now() < until; ++turn) {
            int number = m_numbers[turn % m_numbers.size()];
            auto answer = call(m_machines.platformAddress(number), "PUT", "/configuration", body(version),
                { { "Content-Type", "application/json" } }, callTime);
            m_record.line("operator: PUT version " + std::to_string(version) + " to core-"
                + std::to_string(number) + ": " + std::to_string(answer.status));
            if (answer.status == 200) {
                m_acknowledged = version;
                return true;
            }
            sleepFor(milliseconds(100));
        }
        return false;
    }

    /// Asks all machines for the configuration, in turn, until one gives the newest or the time ends.
    bool readBack(milliseconds time)
    {
        auto until = steady::now() + time;
        int questions = 0;
        while (steady::now() < until) {
            for (int number : m_numbers) {
                auto answer
                    = call(m_machines.platformAddress(number), "GET", "/configuration", {}, {}, callTime);
                ++questions;
                bool isNewest = answer.status == 200 && answer.body == body(m_acknowledged);
                if (questions <= 8 || isNewest || answer.status == 200)
                    m_record.line("operator: GET from core-" + std::to_string(number) + ": "
                        + std::to_string(answer.status) + (isNewest ? ", the newest" : ""));
                if (isNewest)
                    return true;
            }
            sleepFor(milliseconds(200));
        }
        m_record.line("operator: " + std::to_string(questions) + " questions, no configuration");
        return false;
    }

    int acknowledged() const { return m_acknowledged; }

private:
    static std::string body(int version)
    {
        return "{\"version\":" + std::to_string(version)
            + ",\"routes\":[{\"name\":\"r1\",\"host\":\"nylo40.example\",\"path-prefix\":\"/daka41/\","
              "\"kind\":\"unsafe\",\"timeout-ms\":800,\"target-latency-ms\":100,\"priority\":2,"
              "\"service\":\"round-app\",\"max-attempts\":1,\"public\":true,\"sticky-sessions\":false,"
              "\"resumable\":false}],\"services\":[{\"name\":\"round-app\",\"health-check-path\":\"/health\","
              "\"connection-limit\":96,\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,"
              "\"cold-per-s\":0.0}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
              "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    }

    deployment& m_machines;
    record& m_record;
    std::vector<int> m_numbers;
    int m_acknowledged = 0;
};

int run(deployment& machines, record& out, bool trouble)
{
    platform_operator operators(machines, out);
    std::vector<int> numbers { 1, 2, 3, 4 };
    for (int number : numbers)
        machines.startControl(number, zones[static_cast<std::size_t>(number - 1)], true);
    operators.setMachines(numbers);
    int version = 1;
    if (!operators.put(version, milliseconds(10'000)))
        return couldNotRun;
    sleepFor(catchUp + margin);
    auto replace = [&](int leaving, int successor) {
        auto zone = zones[static_cast<std::size_t>(leaving - 1)];
        machines.setSeeds({ numbers.begin(), numbers.begin() + 3 });
        machines.startControl(successor, zone, false);
        numbers.push_back(successor);
        sleepFor(catchUp + margin);
        numbers.erase(std::find(numbers.begin(), numbers.end(), leaving));
        operators.setMachines(numbers);
    };
    auto leave = [&](int leaving) {
        out.line("platform: SIGTERM to core-" + std::to_string(leaving) + ", which leaves for good");
        machines.control(leaving).signal(SIGTERM);
    };
    int leader = machines.leader();
    out.line("operator: core-" + std::to_string(leader) + " leads, and is replaced last");
    int first = leader == 1 ? 2 : 1;
    replace(first, 5);
    leave(first);
    replace(leader, 6);
    bool isSameLeader = machines.leader() == leader;
    leave(leader);
    if (!isSameLeader) {
        out.line("another control VM leads now");
        return couldNotRun;
    }
    if (!operators.put(++version, milliseconds(4'000)))
        out.line("operator: not acknowledged");
    sleepFor(wipeDelay);
    if (trouble) {
        int wiped = *std::find_if(numbers.begin(), numbers.end(), [](int number) { return number <= 4; });
        auto zone = zones[static_cast<std::size_t>(wiped - 1)];
        out.line("platform: core-" + std::to_string(wiped) + " loses its disk");
        machines.control(wiped).kill();
        sleepFor(downTime);
        machines.setSeeds({ numbers.end() - 3, numbers.end() });
        machines.startControl(wiped, zone, false, 2);
    } else {
        sleepFor(downTime);
    }
    sleepFor(catchUp + margin);
    out.line("operator: version " + std::to_string(operators.acknowledged())
        + " is the newest acknowledged one; all machines are back for catch-up-s");
    bool isRead = operators.readBack(readBackTime);
    bool isAcknowledged = isRead && operators.put(++version, milliseconds(4'000));
    out.line(std::string("operator: read back ") + (isRead ? "yes" : "no") + ", a later change acknowledged "
        + (isAcknowledged ? "yes"
                : isRead  ? "no"
                          : "not tried"));
    return isRead ? ruleHeld : ruleBroken;
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, run, zones);
}
