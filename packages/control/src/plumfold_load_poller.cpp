#include "plumfold_load_poller.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

namespace plumfold::control {

namespace {

constexpr core::milliseconds pollInterval { 250 };
constexpr core::milliseconds reportTimeout { 150 };
/// Number of consecutive failed polls after which a target counts as silent until its next announcement.
constexpr unsigned failuresUntilSilent = 3;
/// A silent target is polled for this time, since its reports show that it responds again.
constexpr core::milliseconds silentPollTime { 5'000 };

} // namespace

load_poller::load_poller(wire::rpc_thread& rpc, deployment_feed& feed)
    : m_rpc(rpc)
    , m_feed(feed)
    , m_thread([this] { run(); })
{
}

load_poller::~load_poller()
{
    m_stopping = true;
    m_thread.join();
}

void load_poller::run()
{
    while (!m_stopping) {
        pollEngines();
        std::this_thread::sleep_for(pollInterval);
    }
}

void load_poller::pollEngines()
{
    auto engines = m_rpc.run([this] { return m_feed.polledEngines(); });
    std::map<std::string, polled_target> polledTargets;
    std::vector<core::target_load> loads;
    for (const auto& engine : engines) {
        polled_target target;
        if (auto known = m_targets.find(engine.name); known != m_targets.end())
            target = std::move(known->second);
        else if (engine.state == core::target_state::silent)
            continue;
        bool isGone = engine.state == core::target_state::silent && target.failures > 0
            && runtime::now() - target.firstFailureAt > silentPollTime;
        if (isGone)
            continue;
        if (!target.reader || target.address != engine.address) {
            target.address = engine.address;
            target.reader = std::make_unique<platform::target_report_reader>(engine.address, engine.name);
        }
        if (m_stopping)
            return;
        auto report = target.reader->read(reportTimeout);
        if (report.ok()) {
            loads.push_back(
                { engine.name, report->running, report->waiting, report->usedTokens, {}, report->isBusy });
            target.failures = 0;
        } else {
            if (target.failures++ == 0)
                target.firstFailureAt = runtime::now();
            if (target.failures >= failuresUntilSilent)
                m_rpc.run([&] { m_feed.onTargetUnresponsive(engine.name); });
        }
        polledTargets.emplace(engine.name, std::move(target));
    }
    m_targets = std::move(polledTargets);
    if (!loads.empty())
        m_rpc.run([&] { m_feed.updateLoads(loads, true); });
}

} // namespace plumfold::control
