// Forwards requests through the users' platform on loopback: three control VMs that bootstrap automatically,
// two entries and three scripted targets. Part of tools/demo.sh.

#include "support/plumfold_forwarding_system.hpp"

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace {

using namespace plumfold::tests;

constexpr int orders = 20;

void expect(bool holds, const char* what)
{
    std::printf("%s: %s\n", holds ? "ok" : "FAILED", what);
    if (!holds)
        std::exit(1);
}

/// Sends orders through both entries in turn.
/// @return the number of complete responses.
int sendOrders(forwarding_system& system)
{
    int served = 0;
    for (int number = 0; number < orders; ++number) {
        auto answer = system.request(1 + number % 2, "/shop/whole");
        served += answer.status == 200 && answer.isComplete;
    }
    return served;
}

/// @return how often all targets together received requests for a path.
std::size_t executionCount(const std::vector<scripted_target*>& targets, const std::string& path)
{
    std::size_t count = 0;
    for (const auto* target : targets) {
        for (const auto& request : target->requests())
            count += request.path == path;
    }
    return count;
}

} // namespace

int main()
{
    forwarding_system system;
    for (int number = 1; number <= 3; ++number)
        system.startControl(number);
    expect(system.putDeployment(1, system.deployment(3)),
        "the control VMs bootstrapped and accepted a configuration");
    for (int number = 1; number <= 2; ++number)
        system.startEntry(number);
    std::vector<scripted_target*> targets;
    for (const char* name : { "t1", "t2", "t3" })
        targets.push_back(&system.startTarget(name));
    system.startAnnouncing();
    for (int number = 1; number <= 2; ++number)
        system.waitForTarget(number);

    expect(sendOrders(system) == orders, "orders receive complete responses through both entries");
    auto stream = system.request(1, "/words/events-cut");
    expect(stream.isComplete && stream.body.find("id: 6") != std::string::npos,
        "a stream that its target cuts resumes at another target, with each event delivered once");
    auto lost = system.request(2, "/shop/drop");
    expect(lost.status == 502 && executionCount(targets, "/shop/drop") == 1,
        "an order whose response is lost is not retried, and its caller learns that it may have run");
    system.process("c1").kill();
    expect(sendOrders(system) == orders, "orders are served after a control VM was killed");
    expect(system.putDeployment(2, system.deployment(4)),
        "the other two control VMs accept the next configuration");
    for (const char* name : { "n1", "n2", "c2", "c3" })
        expect(system.process(name).stop() == 0, "a process stops cleanly");
    return 0;
}
