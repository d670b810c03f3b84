#include "plumfold_weight_rollout_thread.hpp"

#include "plumfold/core/plumfold_load_planner.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <algorithm>
#include <future>
#include <map>
#include <vector>

namespace plumfold::control {

namespace {

constexpr const char* leaseName = "target-orders";
constexpr core::milliseconds stepInterval { 100 };
constexpr core::milliseconds callTimeout { 400 };
constexpr std::size_t maxConcurrentCalls = 16;
constexpr auto leaseCallTimeout = 1000 * kj::MILLISECONDS;
/// The replicated lease lasts twice as long as its holder uses it, so that orders of two holders are at least
/// one lease time apart.
constexpr int leaseTimeFactor = 2;

/// Calls targets side by side, so that one that does not respond delays the others once only.
/// @return the results, in the order of the targets.
template <class Call> auto callAll(const std::vector<core::outdated_target>& targets, const Call& call)
{
    using result = decltype(call(targets.front()));
    std::vector<result> results;
    for (std::size_t first = 0; first < targets.size(); first += maxConcurrentCalls) {
        std::vector<std::future<result>> pending;
        auto end = std::min(first + maxConcurrentCalls, targets.size());
        for (auto index = first; index < end; ++index)
            pending.push_back(std::async(std::launch::async, [&, index] { return call(targets[index]); }));
        for (auto& each : pending)
            results.push_back(each.get());
    }
    return results;
}

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
        std::map<std::string, std::size_t> targetCounts; // ready ones, by model
        const auto& view = m_feed.view();
        if (!view.isLeader || !view.isCaughtUp)
            return rollouts;
        for (const auto& [name, entry] : m_feed.directory().entries()) {
            if (entry.last.state != core::target_state::ready)
                continue;
            for (const auto& model : entry.last.models) {
                ++targetCounts[model.model];
                auto current = view.deployment->weights.find(model.model);
                if (current != view.deployment->weights.end()
                    && std::to_string(current->second) != model.version)
                    rollouts.outdatedTargets.push_back(
                        { name, entry.last.address, model.model, current->second });
            }
        }
        for (const auto& [model, count] : targetCounts)
            rollouts.loadLimits[model]
                = core::concurrentLoads(count, m_settings.control->concurrentLoadPercent);
        return rollouts;
    });
}

void weight_rollout_thread::step()
{
    auto rollouts = readRollouts();
    const auto& outdated = rollouts.outdatedTargets;
    m_rollout.retain(outdated);
    if (outdated.empty()) {
        m_hasLease = false;
        return;
    }
    checkLoads(outdated);
    sendOrders(rollouts);
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

void weight_rollout_thread::checkLoads(const std::vector<core::outdated_target>& targets)
{
    auto due = m_rollout.dueChecks(targets, runtime::now());
    auto reports = callAll(
        due, [this](const auto& target) { return m_client.readReport(target.address, target.name); });
    for (std::size_t index = 0; index < due.size(); ++index)
        onReport(due[index], reports[index]);
}

void weight_rollout_thread::onReport(const core::outdated_target& target, const target_report& report)
{
    auto progress = core::load_progress::unknown;
    if (report.ok()) {
        auto loaded = report->weights.find(target.model);
        bool isComplete = loaded != report->weights.end() && loaded->second == target.currentVersion;
        progress = isComplete ? core::load_progress::complete
            : report->isBusy  ? core::load_progress::running
                              : core::load_progress::idle;
    }
    bool isLost = m_rollout.onChecked(target, progress, runtime::now());
    if (progress == core::load_progress::complete) {
        m_rpc.run([&] { m_feed.onWeightsLoaded(target.name, target.model, target.currentVersion); });
        runtime::log_event("weights_loaded")
            .with("target", target.name)
            .with("version", target.currentVersion);
    }
    if (isLost)
        runtime::log_event("order_lost", runtime::log_level::warning)
            .with("target", target.name)
            .with("version", target.currentVersion)
            .with("report", report.ok() ? "idle" : "unreadable");
}

void weight_rollout_thread::sendOrders(const rollout_state& rollouts)
{
    auto due = m_rollout.dueOrders(rollouts.outdatedTargets, rollouts.loadLimits, runtime::now());
    if (due.empty() || m_stopping || !acquireLease())
        return;
    auto attempts = callAll(due, [this](const auto& target) { return sendOrder(target); });
    for (std::size_t index = 0; index < due.size(); ++index) {
        if (attempts[index].mayLoad)
            m_rollout.onOrdered(due[index], runtime::now());
        else
            m_rollout.onNotOrdered(due[index], runtime::now());
        if (attempts[index].isFenced)
            m_hasLease = false;
    }
}

weight_rollout_thread::order_attempt weight_rollout_thread::sendOrder(
    const core::outdated_target& target) const
{
    auto report = m_client.readReport(target.address, target.name);
    if (!report.ok()) {
        runtime::log_event("order_not_given", runtime::log_level::warning)
            .with("target", target.name)
            .with("reason", std::string(report.status().message()));
        return {};
    }
    if (report->weights[target.model] == target.currentVersion || report->isBusy)
        return { true, false };
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
    bool mayLoad = !result.ok() || *result == platform::order_result::accepted
        || *result == platform::order_result::already_loaded;
    return { mayLoad, result.ok() && *result == platform::order_result::fenced };
}

} // namespace plumfold::control
