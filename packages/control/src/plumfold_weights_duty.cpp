#include "plumfold_weights_duty.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <algorithm>

namespace plumfold::control {

namespace {

constexpr const char* leaseName = "target-orders";
constexpr core::milliseconds stepInterval { 100 };
constexpr core::milliseconds callTimeout { 400 };
constexpr core::milliseconds lookInterval { 300 };
/// An order that was not answered may still be carried out some seconds later.
constexpr core::milliseconds loadBound { 6'000 };
constexpr core::milliseconds retryPause { 500 };
constexpr auto leaseCallBound = 1000 * kj::MILLISECONDS;
/// The lease is kept in the log for twice the time that its holder uses it, so that two holders never give
/// orders within one lease time of each other.
constexpr int leaseReserve = 2;

} // namespace

weights_duty::weights_duty(
    wire::rpc_thread& rpc, const runtime::settings& settings, deployment_feed& feed, leader_client& leader)
    : m_rpc(rpc)
    , m_settings(settings)
    , m_feed(feed)
    , m_leader(leader)
    , m_client(callTimeout)
    , m_thread([this] { run(); })
{
}

weights_duty::~weights_duty()
{
    m_stopping = true;
    m_thread.join();
}

void weights_duty::run()
{
    while (!m_stopping) {
        step();
        std::this_thread::sleep_for(stepInterval);
    }
}

std::vector<weights_duty::outdated_target> weights_duty::outdatedTargets()
{
    return m_rpc.run([this] {
        std::vector<outdated_target> outdated;
        const auto& view = m_feed.view();
        if (!view.isLeader || !view.isCaughtUp)
            return outdated;
        for (const auto& [name, entry] : m_feed.directory().entries()) {
            if (entry.last.state != core::target_state::ready)
                continue;
            for (const auto& model : entry.last.models) {
                auto named = view.deployment->weights.find(model.model);
                if (named != view.deployment->weights.end() && std::to_string(named->second) != model.version)
                    outdated.push_back({ name, entry.last.address, model.model, named->second });
            }
        }
        return outdated;
    });
}

void weights_duty::step()
{
    auto outdated = outdatedTargets();
    std::erase_if(m_loads, [&](const auto& load) {
        return std::none_of(outdated.begin(), outdated.end(),
            [&](const auto& each) { return each.name == load.first && each.named == load.second.version; });
    });
    if (outdated.empty()) {
        m_hasLease = false;
        return;
    }
    for (const auto& target : outdated) {
        auto load = m_loads.find(target.name);
        if (load != m_loads.end())
            look(target, load->second);
    }
    for (const auto& target : outdated) {
        bool mayLoad = m_loads.size() < m_settings.control->maxConcurrentLoads;
        if (m_stopping || !mayLoad)
            return;
        if (m_loads.contains(target.name) || runtime::now() < m_notBefore[target.name])
            continue;
        if (!holdLease())
            return;
        order(target);
    }
}

bool weights_duty::holdLease()
{
    auto term = core::milliseconds(m_settings.control->orderLeaseMs);
    bool renewed = m_hasLease && runtime::now() - m_leaseAskedAt < term / 3;
    if (renewed)
        return true;
    core::lease_command wanted { leaseName, m_settings.control->address,
        static_cast<std::uint32_t>(term.count() * leaseReserve) };
    auto asked = runtime::now();
    try {
        auto answer = m_rpc.run([&] { return m_leader.submit(core::command { 0, wanted }, leaseCallBound); });
        const auto* lease = std::get_if<core::lease_result>(&answer.result);
        bool granted = lease && lease->granted;
        if (granted && !m_hasLease)
            runtime::log_event("order_lease_taken").with("fence", lease->fence);
        m_hasLease = granted;
        m_fence = granted ? lease->fence : 0;
        m_leaseAskedAt = asked;
    } catch (const kj::Exception& exception) {
        runtime::log_event("order_lease_not_renewed", runtime::log_level::warning)
            .with("reason", exception.getDescription().cStr());
        m_hasLease = m_hasLease && runtime::now() - m_leaseAskedAt < term;
    }
    return m_hasLease;
}

void weights_duty::look(const outdated_target& target, load_in_progress& load)
{
    auto now = runtime::now();
    if (now < load.nextLook)
        return;
    load.nextLook = now + lookInterval;
    auto report = m_client.readReport(target.address, target.name);
    if (report.ok() && report->weights[target.model] == target.named) {
        m_rpc.run([&] { m_feed.weightsLoaded(target.name, target.model, target.named); });
        runtime::log_event("weights_loaded").with("target", target.name).with("version", target.named);
        m_loads.erase(target.name);
        return;
    }
    bool lost = report.ok() ? !report->isBusy && now - load.orderedAt > core::milliseconds(2000)
                            : now - load.orderedAt > loadBound;
    if (!lost)
        return;
    runtime::log_event("order_lost", runtime::log_level::warning)
        .with("target", target.name)
        .with("version", target.named);
    m_loads.erase(target.name);
}

void weights_duty::order(const outdated_target& target)
{
    auto now = runtime::now();
    m_notBefore[target.name] = now + retryPause;
    auto report = m_client.readReport(target.address, target.name);
    if (!report.ok())
        return;
    load_in_progress load { target.model, target.named, now, now + lookInterval };
    if (report->weights[target.model] == target.named || report->isBusy) {
        m_loads[target.name] = load;
        return;
    }
    platform::load_order what { target.model, target.named, platform::weight_swap_mode::drain,
        m_settings.control->address, m_fence, report->acceptedOrders };
    auto answer = m_client.order(target.address, target.name, what);
    runtime::log_event("order_given")
        .with("target", target.name)
        .with("model", target.model)
        .with("version", target.named)
        .with("fence", m_fence)
        .with("accepted_orders", report->acceptedOrders)
        .with("answer", answer.ok() ? static_cast<int>(*answer) : -1);
    if (answer.ok() && *answer == platform::order_result::fenced)
        m_hasLease = false;
    bool mayBeTaken = !answer.ok() || *answer == platform::order_result::accepted
        || *answer == platform::order_result::already_loaded;
    if (mayBeTaken)
        m_loads[target.name] = load;
}

} // namespace plumfold::control
