// Servers of two software versions serve streams that may be resumed. All machines of the system lose power
// at the same moment and are back after a second. The clients take their streams up again.

#include "streams.hpp"

#include <csignal>

using namespace review;

namespace {

const std::vector<std::string> zones { "reykjavik-a", "hafnarfjordur-b", "kopavogur-c", "akranes-d" };

constexpr int controls = 4;
constexpr int entries = 2;
constexpr int servers = 4; // two of each version
constexpr int streams = 24;
constexpr milliseconds downTime { 1'000 };

int run(deployment& machines, record& out, bool trouble)
{
    std::vector<std::string> controlAddresses;
    for (int number = 1; number <= controls; ++number) {
        machines.startControl(number, zones[static_cast<std::size_t>(number - 1)], true);
        controlAddresses.push_back(machines.platformAddress(number));
    }
    for (int number = 1; number <= entries; ++number)
        machines.startEntry(number, zones[static_cast<std::size_t>(number - 1)]);
    std::vector<std::unique_ptr<model_server>> all;
    for (int number = 1; number <= servers; ++number)
        all.push_back(std::make_unique<model_server>(machines, out, number,
            zones[static_cast<std::size_t>(number) % zones.size()], number <= servers / 2 ? "v1" : "v2",
            controlAddresses));
    auto isPut = [&] {
        return call(controlAddresses[0], "PUT", "/configuration", streamConfiguration(), {},
                   milliseconds(1'000))
                   .status
            == 200;
    };
    auto areReady = [&] { return machines.isReady(1) && machines.isReady(2); };
    if (!eventually(isPut, milliseconds(10'000)) || !eventually(areReady, milliseconds(10'000)))
        return couldNotRun;
    out.line("operator: version 1 acknowledged; the platform: all entries ready");
    std::vector<std::unique_ptr<client_link>> links;
    std::vector<std::string> addresses;
    for (int number = 1; number <= entries; ++number) {
        addresses.push_back(machines.ip(200 + number) + ":8443");
        links.push_back(std::make_unique<client_link>(addresses.back(), machines.callerAddress(number)));
    }
    stream_clients callers(addresses, true, out);
    sleepFor(milliseconds(6'000)); // the heartbeats of all servers, and contact
    auto powerLoss = [&] {
        sleepFor(milliseconds(1'500));
        out.line(trouble ? "platform: all machines of the system lose power"
                         : "platform: the connections of the clients fall silent");
        for (auto& each : links)
            each->silence();
        if (trouble) {
            for (int number = 1; number <= controls; ++number)
                machines.control(number).signal(SIGKILL);
            for (int number = 1; number <= entries; ++number)
                machines.entry(number).signal(SIGKILL);
            for (int number = 1; number <= controls; ++number)
                machines.control(number).kill();
            for (int number = 1; number <= entries; ++number)
                machines.entry(number).kill();
            sleepFor(downTime);
            for (int number = 1; number <= controls; ++number)
                machines.startControl(number, zones[static_cast<std::size_t>(number - 1)], false);
            for (int number = 1; number <= entries; ++number)
                machines.startEntry(number, zones[static_cast<std::size_t>(number - 1)]);
        }
        callers.setCalmFrom(steady::now());
    };
    auto interrupted = callers.run(streams, 0, 1, powerLoss);
    auto fresh = callers.run(streams, 1'000, 1);
    return judgeTakeUps(interrupted, fresh, out);
}

} // namespace

int main(int argc, char** argv)
{
    return runCase(argc, argv, run, zones);
}
