#include "plumfold_weight_load_thread.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

namespace plumfold::entry {

namespace {

constexpr core::milliseconds planInterval { 100 };
constexpr core::milliseconds leaseDuration { 3000 };
// The holder stops this long before the control VM could grant the lease to another entry.
constexpr core::milliseconds leaseMargin { 1000 };
constexpr core::milliseconds renewInterval { 700 };
constexpr core::milliseconds renewTimeout { 600 };
// A new holder waits for target reports first, since the previous holder's last order may be in progress.
constexpr core::milliseconds firstOrderDelay { 600 };
constexpr core::milliseconds loadTimeout { 15'000 };

} // namespace

weight_load_thread::weight_load_thread(entry_context& context)
    : m_context(context)
    , m_planner(loadTimeout)
    , m_holder(context.settings.process.name + '/' + std::to_string(context.incarnation))
    , m_thread([this] { run(); })
{
}

weight_load_thread::~weight_load_thread()
{
    m_stopping = true;
    m_thread.join();
}

void weight_load_thread::run()
{
    while (!m_stopping) {
        if (runtime::now() >= m_nextRenewal && !m_context.stopping)
            renewLease();
        if (holdsLease() && !m_context.stopping && runtime::now() - m_heldSince >= firstOrderDelay)
            sendLoadOrders();
        std::this_thread::sleep_for(planInterval);
    }
}

bool weight_load_thread::holdsLease() const
{
    return m_fence && runtime::now() < m_heldUntil;
}

void weight_load_thread::renewLease()
{
    auto requestedAt = runtime::now();
    m_nextRenewal = requestedAt + renewInterval;
    core::lease_command lease { "orders/" + m_context.settings.process.failureDomain, m_holder,
        static_cast<std::uint32_t>(leaseDuration.count()) };
    auto response = m_context.control.submit(core::command { 0, lease }, renewTimeout);
    const auto* result = response.ok() ? std::get_if<core::lease_result>(&*response) : nullptr;
    if (!result || !result->granted)
        return;
    if (m_fence != result->fence) {
        m_heldSince = requestedAt;
        runtime::log_event("orders_lease").with("fence", result->fence);
    }
    m_fence = result->fence;
    // Measured from before the call, since the control VM starts the lease later.
    m_heldUntil = requestedAt + leaseDuration - leaseMargin;
}

void weight_load_thread::sendLoadOrders()
{
    auto snapshot = m_context.dispatchThread.snapshot();
    const auto* domain = snapshot.config->failureDomain(m_context.settings.process.failureDomain);
    if (!domain)
        return;
    auto orders
        = m_planner.plan(*snapshot.config, snapshot.ownTargets, domain->maxConcurrentLoads, runtime::now());
    for (const auto& order : orders) {
        if (m_context.stopping)
            return;
        bool accepted = holdsLease()
            && m_context.targets.loadVersion(
                { order.address, order.incarnation }, { order.model, order.version, *m_fence });
        runtime::log_event("load_ordered")
            .with("target", order.target)
            .with("version", order.version)
            .with("taken", accepted ? "true" : "false");
        if (!accepted)
            m_planner.onOrderRejected(order, runtime::now());
    }
    auto abandoned = m_planner.abandonedVersions();
    if (abandoned.size() > m_abandonedLogged) {
        runtime::log_event("version_given_up", runtime::log_level::error).with("version", abandoned.back());
        m_context.metrics.count("plumfold_versions_given_up_total");
    }
    m_abandonedLogged = abandoned.size();
}

} // namespace plumfold::entry
