#include "plumfold_entry_places.hpp"

#include "plumfold/runtime/plumfold_log.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::forwarding {

namespace {

constexpr double percent = 100;

} // namespace

entry_places::entry_places(
    const runtime::settings& settings, const core::target_selector& selector, place_client& client)
    : m_isEnabled(settings.forwarding->targetPlaces)
    , m_selector(selector)
    , m_client(client)
{
}

bool entry_places::isNeeded(const core::deployment& deployment, const std::string& service, core::instant now)
{
    if (!m_isEnabled)
        return false;
    const auto* limits = deployment.findService(service);
    bool isPlain = !limits || (!limits->engine && !limits->store);
    if (!isPlain)
        return false;
    auto& tracked = m_services[service];
    judge(service, tracked, now);
    return tracked.isContended;
}

void entry_places::onSent(const std::string& service, core::instant now)
{
    if (m_isEnabled)
        m_services[service].detector.onSent(now);
}

void entry_places::onEnded(const std::string& service, bool isForRoom, core::instant now)
{
    if (!m_isEnabled)
        return;
    auto& detector = m_services[service].detector;
    detector.onEnded(now);
    if (isForRoom)
        detector.onRejection(now);
}

void entry_places::onDecision(const std::string& service, const core::place_decision& decision,
    core::milliseconds waited, core::instant now)
{
    if (m_isEnabled)
        m_services[service].detector.onDecision(decision, waited, now);
}

void entry_places::update(core::instant now)
{
    for (auto& [service, tracked] : m_services) {
        if (tracked.isContended)
            judge(service, tracked, now);
    }
}

void entry_places::judge(const std::string& service, tracked_service& tracked, core::instant now)
{
    auto slots = m_selector.usableSlots(service, now);
    bool isContended = tracked.detector.isContended(slots, m_selector.entryCount(), now);
    if (isContended == tracked.isContended)
        return;
    tracked.isContended = isContended;
    double load = tracked.detector.averageInFlight() * m_selector.entryCount() / std::max(slots, 1u);
    runtime::log_event(isContended ? "service_contended" : "service_not_contended")
        .with("service", service)
        .with("slots", slots)
        .with("entries", m_selector.entryCount())
        .with("load_percent", static_cast<std::int64_t>(std::lround(load * percent)));
}

} // namespace plumfold::forwarding
