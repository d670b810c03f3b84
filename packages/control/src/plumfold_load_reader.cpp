#include "plumfold_load_reader.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

namespace plumfold::control {

namespace {

constexpr core::milliseconds readInterval { 250 };
constexpr core::milliseconds readTimeout { 150 };
/// A target that failed to answer so often in a row counts as silent until it announces itself again.
constexpr unsigned failuresUntilSilent = 3;

} // namespace

load_reader::load_reader(wire::rpc_thread& rpc, deployment_feed& feed)
    : m_rpc(rpc)
    , m_feed(feed)
    , m_thread([this] { run(); })
{
}

load_reader::~load_reader()
{
    m_stopping = true;
    m_thread.join();
}

void load_reader::run()
{
    while (!m_stopping) {
        readAll();
        std::this_thread::sleep_for(readInterval);
    }
}

void load_reader::readAll()
{
    auto engines = m_rpc.run([this] { return m_feed.ownEngines(); });
    std::map<std::string, read_target> next;
    std::vector<core::target_load> loads;
    for (const auto& engine : engines) {
        read_target target;
        if (auto known = m_targets.find(engine.name); known != m_targets.end())
            target = std::move(known->second);
        if (!target.reader || target.address != engine.address) {
            target.address = engine.address;
            target.reader = std::make_unique<platform::target_report_reader>(engine.address, engine.name);
        }
        if (m_stopping)
            return;
        auto report = target.reader->read(readTimeout);
        if (report.ok()) {
            loads.push_back(
                { engine.name, report->running, report->waiting, report->usedTokens, {}, report->isBusy });
            target.failures = 0;
        } else if (++target.failures >= failuresUntilSilent) {
            m_rpc.run([&] { m_feed.unresponsive(engine.name); });
        }
        next.emplace(engine.name, std::move(target));
    }
    m_targets = std::move(next);
    if (!loads.empty())
        m_rpc.run([&] { m_feed.takeLoads(loads, true); });
}

} // namespace plumfold::control
