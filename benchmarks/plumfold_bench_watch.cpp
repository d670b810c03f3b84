// Benchmarks configuration watches: simulated entry sessions watch one control VM, in growing numbers. Prints
// the CPU usage of the control VM while nothing changes, the time until a change has reached all sessions,
// and message sizes.

#include "support/plumfold_process_usage.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/wire/plumfold_convert.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include <CLI/CLI.hpp>
#include <capnp/serialize.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using namespace plumfold;

struct watch_options {
    std::string control;
    std::string secret;
    std::string token;
    int controlPid = 0;
};

/// Simulated entry sessions that watch the configuration in the same way as an entry's control client.
class simulated_entry_sessions {
public:
    simulated_entry_sessions(wire::rpc_thread& rpc, const watch_options& options, int count)
        : m_rpc(rpc)
        , m_options(options)
        , m_revisions(static_cast<std::size_t>(count))
    {
        m_rpc.run([&] {
            m_tasks = kj::heap<wire::task_group>();
            for (std::size_t index = 0; index < m_revisions.size(); ++index)
                m_tasks->add(open(index));
        });
    }
    ~simulated_entry_sessions()
    {
        m_rpc.run([this] {
            m_tasks = nullptr;
            m_connections.clear();
        });
    }

    std::uint64_t lowestRevision() const { return *std::min_element(m_revisions.begin(), m_revisions.end()); }
    std::uint64_t calls() const { return m_calls; }

private:
    kj::Promise<void> open(std::size_t index)
    {
        return wire::rpc_connection::connect(m_rpc, m_options.control, std::chrono::milliseconds(5000))
            .then([this, index](kj::Own<wire::rpc_connection> connection) {
                auto request = connection->bootstrap<wire::Control>().entryRequest();
                request.setSecret(m_options.secret);
                request.setName("stand-in-" + std::to_string(index));
                request.setFailureDomain("east");
                auto session = request.send().getSession();
                m_connections.push_back(kj::mv(connection));
                return watch(index, session, 0);
            });
    }

    kj::Promise<void> watch(std::size_t index, wire::EntrySession::Client session, std::uint64_t digest)
    {
        auto request = session.watchRequest();
        request.setKnownRevision(m_revisions[index]);
        request.setKnownDigest(digest);
        request.setWaitMs(1000);
        return request.send().then([this, index, session](auto response) mutable {
            ++m_calls;
            m_revisions[index] = response.getUpdate().getRevision();
            return watch(index, session, response.getUpdate().getDigest());
        });
    }

    wire::rpc_thread& m_rpc;
    watch_options m_options;
    std::vector<std::atomic<std::uint64_t>> m_revisions;
    std::atomic<std::uint64_t> m_calls { 0 };
    std::vector<kj::Own<wire::rpc_connection>> m_connections;
    kj::Own<wire::task_group> m_tasks;
};

std::uint64_t changeTargetRecord(
    wire::rpc_thread& rpc, const watch_options& options, std::uint64_t revision, int number)
{
    return rpc.run([&] {
        return wire::rpc_connection::connect(rpc, options.control, std::chrono::milliseconds(1000))
            .then([&](kj::Own<wire::rpc_connection> connection) {
                auto login = connection->bootstrap<wire::Control>().operatorRequest();
                login.setToken(options.token);
                auto request = login.send().getOperator().changeRequest();
                request.setRequestId("bench-" + std::to_string(number));
                request.setExpectedRevision(revision);
                wire::write(request.initChange(),
                    core::record(core::target_record { "bench", number % 2 == 0, false }));
                return request.send()
                    .then([](auto response) { return response.getResult().getRevision(); })
                    .attach(kj::mv(connection));
            });
    });
}

void measure(wire::rpc_thread& rpc, const watch_options& options, int count)
{
    simulated_entry_sessions sessions(rpc, options, count);
    while (sessions.lowestRevision() == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    constexpr int idleSeconds = 4;
    double before = benchmarks::cpuSeconds(options.controlPid);
    std::uint64_t callsBefore = sessions.calls();
    std::this_thread::sleep_for(std::chrono::seconds(idleSeconds));
    double idle = (benchmarks::cpuSeconds(options.controlPid) - before) / idleSeconds * 100;
    double calls = static_cast<double>(sessions.calls() - callsBefore) / idleSeconds;
    std::vector<double> times;
    static int number = 0;
    for (int change = 0; change < 20; ++change) {
        auto start = std::chrono::steady_clock::now();
        std::uint64_t revision = changeTargetRecord(rpc, options, sessions.lowestRevision(), ++number);
        while (sessions.lowestRevision() < revision)
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        times.push_back(
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
    }
    std::sort(times.begin(), times.end());
    std::printf("watch: sessions=%d idle_control_cpu_percent=%.2f calls_per_s=%.0f in_force_ms_median=%.1f "
                "in_force_ms_max=%.1f\n",
        count, idle, calls, times[times.size() / 2], times.back());
}

template <class Schema, class... Arguments> std::size_t bytesOf(const Arguments&... arguments)
{
    capnp::MallocMessageBuilder message;
    wire::write(message.initRoot<Schema>(), arguments...);
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

void printSizes()
{
    core::target_report report;
    report.name = "worker-0123";
    report.address = "10.20.30.40:9000";
    report.failureDomain = "north-1";
    report.models = { { "model-a", "2026-11-30", { "adapter-1" } } };
    core::command claim { 1,
        core::claim_command {
            { "customer-0123", "0123456789abcdef0123456789abcdef" }, 1, "entry-12/0123456789abcdef", 1 } };
    core::configuration_update emptyUpdate;
    core::configuration_update oneChange;
    oneChange.deltas.push_back({ 1, core::record(core::target_record { "worker-0123", false, true }) });
    std::printf("watch: bytes target_report=%zu claim=%zu watch_without_news=%zu watch_with_one_change=%zu\n",
        bytesOf<wire::TargetReport>(report, core::milliseconds(5)), bytesOf<wire::Command>(claim),
        bytesOf<wire::ConfigurationUpdate>(emptyUpdate), bytesOf<wire::ConfigurationUpdate>(oneChange));
}

} // namespace

int main(int argc, char** argv)
{
    watch_options options;
    CLI::App app { "benchmarks configuration watches of entries" };
    app.add_option("--control", options.control)->required();
    app.add_option("--secret", options.secret)->required();
    app.add_option("--token", options.token)->required();
    app.add_option("--control-pid", options.controlPid)->required();
    CLI11_PARSE(app, argc, argv);
    printSizes();
    wire::rpc_thread rpc;
    for (int count : { 20, 80, 320 })
        measure(rpc, options, count);
    return 0;
}
