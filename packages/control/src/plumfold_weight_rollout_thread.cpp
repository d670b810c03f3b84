#include "plumfold_weight_rollout_thread.hpp"

#include "plumfold/core/plumfold_load_planner.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <algorithm>

namespace plumfold::control {

namespace {

constexpr const char* leaseName = "target-orders";
constexpr core::milliseconds stepInterval { 100 };
constexpr core::milliseconds callTimeout { 400 };
constexpr core::milliseconds checkInterval { 300 };
/// An order counts as lost after this time if the target's report cannot be read. An order without a response
/// may still be executed some seconds later.
constexpr core::milliseconds orderOutcomeTimeout { 6'000 };
constexpr core::milliseconds retryDelay { 500 };
constexpr auto leaseCallTimeout = 1000 * kj::MILLISECONDS;
/// The replicated lease lasts twice as long as its holder uses it, so that orders of two holders are at least
/// one lease time apart.
constexpr int leaseTimeFactor = 2;

} // namespace

weight_rollout_thread::weight_rollout_thread(
    wire::rpc_thread& rpc, const runtime::settings& settings, deployment_feed& feed, leader_client& leader)
    : m_rpc(rpc)
    , m_settings(settings)
    , m_feed(feed)
    , m_leader(leader)
    , m_client(callTimeout)
    , m_thread([this] { run(); })
{
}

weight_rollout_thread::~weight_rollout_thread()
{
    m_stopping = true;
    m_thread.join();
}

void weight_rollout_thread::run()
{
    while (!m_stopping) {
        step();
        std::this_thread::sleep_for(stepInterval);
    }
}

weight_rollout_thread::rollout_state weight_rollout_thread::readRollouts()
{
    return m_rpc.run([this] {
        rollout_state rollouts;
        const auto& view = m_feed.view();
        if (!view.isLeader || !view.isCaughtUp)
            return rollouts;
        for (const auto& [name, entry] : m_feed.directory().entries()) {
            if (entry.last.state != core::target_state::ready)
                continue;
            for (const auto& model : entry.last.models) {
                ++rollouts.targetCounts[model.model];
                auto current = view.deployment->weights.find(model.model);
                if (current != view.deployment->weights.end()
                    && std::to_string(current->second) != model.version)
                    rollouts.staleTargets.push_back(
                        { name, entry.last.address, model.model, current->second });
            }
        }
        return rollouts;
    });
}

void weight_rollout_thread::step()
{
    auto rollouts = readRollouts();
    const auto& stale = rollouts.staleTargets;
    std::erase_if(m_loads, [&](const auto& load) {
        return std::none_of(stale.begin(), stale.end(), [&](const auto& each) {
            return each.name == load.first && each.currentVersion == load.second.version;
        });
    });
    if (stale.empty()) {
        m_hasLease = false;
        return;
    }
    for (const auto& target : stale) {
        auto load = m_loads.find(target.name);
        if (load != m_loads.end())
            checkLoad(target, load->second);
    }
    for (const auto& target : stale) {
        if (m_stopping)
            return;
        if (!mayLoad(target.model, rollouts.targetCounts[target.model]) || m_loads.contains(target.name)
            || runtime::now() < m_nextAttemptAt[target.name])
            continue;
        if (!acquireLease())
            return;
        sendOrder(target);
    }
}

bool weight_rollout_thread::mayLoad(const std::string& model, std::size_t targets) const
{
    auto loading = std::count_if(
        m_loads.begin(), m_loads.end(), [&](const auto& each) { return each.second.model == model; });
    return static_cast<std::size_t>(loading)
        < core::concurrentLoads(targets, m_settings.control->concurrentLoadPercent);
}

bool weight_rollout_thread::acquireLease()
{
    auto leaseTime = core::milliseconds(m_settings.control->orderLeaseMs);
    bool renewed = m_hasLease && runtime::now() - m_leaseRequestedAt < leaseTime / 3;
    if (renewed)
        return true;
    core::lease_command leaseCommand { leaseName, m_settings.control->address,
        static_cast<std::uint32_t>(leaseTime.count() * leaseTimeFactor) };
    auto requestedAt = runtime::now();
    try {
        auto response = m_rpc.run([&] {
            return m_leader.submit(core::command { 0, leaseCommand }, leaseCallTimeout);
        });
        const auto* lease = std::get_if<core::lease_result>(&response.result);
        bool granted = lease && lease->granted;
        if (granted && !m_hasLease)
            runtime::log_event("order_lease_taken").with("fence", lease->fence);
        m_hasLease = granted;
        m_fencingToken = granted ? lease->fence : 0;
        m_leaseRequestedAt = requestedAt;
    } catch (const kj::Exception& exception) {
        runtime::log_event("order_lease_not_renewed", runtime::log_level::warning)
            .with("reason", exception.getDescription().cStr());
        m_hasLease = m_hasLease && runtime::now() - m_leaseRequestedAt < leaseTime;
    }
    return m_hasLease;
}

void weight_rollout_thread::checkLoad(const stale_target& target, load_in_progress& load)
{
    auto now = runtime::now();
    if (now < load.nextCheck)
        return;
    load.nextCheck = now + checkInterval;
    auto report = m_client.readReport(target.address, target.name);
    if (report.ok() && report->weights[target.model] == target.currentVersion) {
        m_rpc.run([&] { m_feed.onWeightsLoaded(target.name, target.model, target.currentVersion); });
        runtime::log_event("weights_loaded")
            .with("target", target.name)
            .with("version", target.currentVersion);
        m_loads.erase(target.name);
        return;
    }
    // A target that stays idle without the version did not execute the order.
    bool lost = report.ok() ? !report->isBusy && now - load.orderedAt > core::milliseconds(2000)
                            : now - load.orderedAt > orderOutcomeTimeout;
    if (!lost)
        return;
    runtime::log_event("order_lost", runtime::log_level::warning)
        .with("target", target.name)
        .with("version", target.currentVersion);
    m_loads.erase(target.name);
}

void weight_rollout_thread::sendOrder(const stale_target& target)
{
    auto now = runtime::now();
    m_nextAttemptAt[target.name] = now + retryDelay;
    auto report = m_client.readReport(target.address, target.name);
    if (!report.ok())
        return;
    load_in_progress load { target.model, target.currentVersion, now, now + checkInterval };
    if (report->weights[target.model] == target.currentVersion || report->isBusy) {
        m_loads[target.name] = load;
        return;
    }
    platform::load_order order { target.model, target.currentVersion, platform::weight_swap_mode::drain,
        m_settings.control->address, m_fencingToken, report->acceptedOrders };
    auto result = m_client.order(target.address, target.name, order);
    runtime::log_event("order_given")
        .with("target", target.name)
        .with("model", target.model)
        .with("version", target.currentVersion)
        .with("fence", m_fencingToken)
        .with("accepted_orders", report->acceptedOrders)
        .with("answer", result.ok() ? static_cast<int>(*result) : -1);
    if (result.ok() && *result == platform::order_result::fenced)
        m_hasLease = false;
    bool mayBeAccepted = !result.ok() || *result == platform::order_result::accepted
        || *result == platform::order_result::already_loaded;
    if (mayBeAccepted)
        m_loads[target.name] = load;
}

} // namespace plumfold::control
