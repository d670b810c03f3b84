#include "plumfold_place_issuer.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <absl/strings/str_cat.h>

#include <cmath>

namespace plumfold::control {

namespace {

constexpr auto decisionInterval = 20 * kj::MILLISECONDS;
/// Entries stop asking 2 s after the last sign of contention.
constexpr core::milliseconds idleTime { 3'000 };
constexpr core::milliseconds summaryInterval { 5'000 };
/// Time after the lease became usable in which entries renew the places that a predecessor granted.
constexpr core::milliseconds takeoverTime { 500 };
constexpr std::size_t maxServices = 1'000;
constexpr std::size_t maxLoggedEntries = 1'000;

const char* nameOf(core::place_refusal refusal)
{
    constexpr const char* names[] = { "none", "no_room", "queue_full", "unusable" };
    return names[static_cast<int>(refusal)];
}

std::string labeled(const char* name, const std::string& service, const std::string& more = {})
{
    return absl::StrCat(name, "{service=\"", service, "\"", more, "}");
}

} // namespace

/// Withdraws the request of a call that is dropped before it was answered.
class place_issuer::call_guard {
public:
    call_guard(std::weak_ptr<place_issuer*> issuer, service_key key, core::place_id id, std::uint64_t call)
        : m_issuer(std::move(issuer))
        , m_key(std::move(key))
        , m_id(id)
        , m_call(call)
    {
    }

    ~call_guard() noexcept(false)
    {
        auto issuer = m_issuer.lock();
        if (issuer && !m_isAnswered)
            (*issuer)->withdraw(m_key, m_id, m_call);
    }

    call_guard(const call_guard&) = delete;
    call_guard& operator=(const call_guard&) = delete;

    void setAnswered() { m_isAnswered = true; }

private:
    std::weak_ptr<place_issuer*> m_issuer;
    service_key m_key;
    core::place_id m_id;
    std::uint64_t m_call;
    bool m_isAnswered = false;
};

place_issuer::place_issuer(kj::Timer& timer, std::vector<std::string> failureDomains, lease_check holdsLease)
    : m_timer(timer)
    , m_failureDomains(std::move(failureDomains))
    , m_holdsLease(std::move(holdsLease))
{
}

place_issuer::~place_issuer() = default;

kj::Promise<void> place_issuer::acquire(const std::string& entry, const std::string& failureDomain,
    const core::place_request& request, responder respond)
{
    auto* places = placesOf(failureDomain, request.service);
    if (!places) {
        respond(std::nullopt);
        return kj::READY_NOW;
    }
    service_key key { failureDomain, request.service };
    auto pair = kj::newPromiseAndFulfiller<std::optional<core::place_decision>>();
    auto call = ++m_latestCall;
    auto& pending = places->calls[request.id];
    if (pending.fulfiller.get() != nullptr)
        pending.fulfiller->fulfill(std::nullopt); // the call that this one repeats
    pending = { call, entry, kj::mv(pair.fulfiller) };
    auto guard = kj::heap<call_guard>(m_self, key, request.id, call);
    auto answered = pair.promise.then(
        [respond = std::move(respond), &guard = *guard](std::optional<core::place_decision> decision) {
            guard.setAnswered();
            respond(decision);
        });
    places->ledger.submit(request, runtime::nowWithSuspension());
    decide(key, *places);
    return answered.attach(kj::mv(guard));
}

bool place_issuer::update(const std::string& failureDomain, const std::string& service,
    const std::vector<core::held_place>& held, const std::vector<core::place_end>& ended)
{
    if (!isIssuerOf(failureDomain))
        return false;
    service_key key { failureDomain, service };
    if (held.empty() && !m_services.contains(key))
        return true;
    auto* places = placesOf(failureDomain, service);
    if (!places)
        return false;
    auto now = runtime::nowWithSuspension();
    places->ledger.renew(held, now);
    for (const auto& each : ended)
        places->ledger.end(each, now);
    decide(key, *places);
    return true;
}

void place_issuer::followLeases()
{
    for (const auto& domain : m_failureDomains)
        isIssuerOf(domain);
}

bool place_issuer::isIssuerOf(const std::string& failureDomain)
{
    if (!m_holdsLease(failureDomain)) {
        if (m_issuerSince.erase(failureDomain) > 0)
            dropAll(failureDomain);
        return false;
    }
    m_issuerSince.try_emplace(failureDomain, runtime::nowWithSuspension());
    return true;
}

/// @return the places of a service; null if this control VM does not grant them.
place_issuer::service_places* place_issuer::placesOf(
    const std::string& failureDomain, const std::string& service)
{
    if (!isIssuerOf(failureDomain))
        return nullptr;
    service_key key { failureDomain, service };
    auto now = runtime::nowWithSuspension();
    auto found = m_services.find(key);
    if (found == m_services.end()) {
        if (m_services.size() >= maxServices)
            return nullptr;
        found = m_services.try_emplace(key).first;
        found->second.summaryAt = now + summaryInterval;
        auto since = m_issuerSince.at(failureDomain);
        if (now - since < takeoverTime)
            found->second.ledger.onTakeover(since);
        runtime::log_event("places_contended").with("service", service).with("failure_domain", failureDomain);
    }
    found->second.usedAt = now;
    if (!m_isTicking) {
        m_isTicking = true;
        m_tasks.add(tickWhileUsed());
    }
    return &found->second;
}

void place_issuer::withdraw(const service_key& key, core::place_id id, std::uint64_t call)
{
    auto found = m_services.find(key);
    if (found == m_services.end())
        return;
    auto& places = found->second;
    auto pending = places.calls.find(id);
    bool isPending = pending != places.calls.end();
    if (isPending && pending->second.call != call)
        return; // a later call asks for the same place
    if (isPending)
        places.calls.erase(pending);
    places.ledger.cancel(id, runtime::nowWithSuspension());
    decide(key, places);
}

void place_issuer::decide(const service_key& key, service_places& places)
{
    auto now = runtime::nowWithSuspension();
    for (auto& [id, decision] : places.ledger.takeDecisions(now)) {
        count(key.second, decision);
        auto pending = places.calls.find(id);
        if (pending == places.calls.end()) {
            places.ledger.cancel(id, now);
            continue;
        }
        if (decision.refusal == core::place_refusal::unusable)
            logUnusable(pending->second.entry, key.second);
        auto fulfiller = kj::mv(pending->second.fulfiller);
        places.calls.erase(pending);
        fulfiller->fulfill(std::move(decision));
    }
    updateGauges(key.second, places.ledger.figures());
}

void place_issuer::count(const std::string& service, const core::place_decision& decision)
{
    if (decision.refusal == core::place_refusal::none)
        m_metrics.count(labeled("plumfold_place_grants_total", service));
    else
        m_metrics.count(labeled("plumfold_place_refusals_total", service,
            absl::StrCat(",reason=\"", nameOf(decision.refusal), "\"")));
}

void place_issuer::updateGauges(const std::string& service, const core::place_ledger_figures& figures)
{
    m_metrics.set(labeled("plumfold_place_waiting", service), static_cast<double>(figures.waiting));
    m_metrics.set(labeled("plumfold_place_held", service), static_cast<double>(figures.held));
}

void place_issuer::logUnusable(const std::string& entry, const std::string& service)
{
    if (m_unusableFrom.size() >= maxLoggedEntries || !m_unusableFrom.insert(entry).second)
        return;
    runtime::log_event("place_request_unusable", runtime::log_level::warning)
        .with("entry", entry)
        .with("service", service);
}

void place_issuer::logSummary(const service_key& key, service_places& places, core::instant now)
{
    places.summaryAt = now + summaryInterval;
    auto figures = places.ledger.figures();
    const auto& before = places.summarized;
    runtime::log_event("places_summary")
        .with("service", key.second)
        .with("failure_domain", key.first)
        .with("held", figures.held)
        .with("waiting", figures.waiting)
        .with("granted", figures.granted - before.granted)
        .with("refused", figures.refused - before.refused)
        .with("rejected", figures.rejected - before.rejected)
        .with("expired", figures.expired - before.expired)
        .with("rate", std::llround(figures.freedPerSecond));
    places.summarized = figures;
}

/// Answers all waiting calls of a failure domain whose lease is lost.
void place_issuer::dropAll(const std::string& failureDomain)
{
    for (auto each = m_services.begin(); each != m_services.end();) {
        if (each->first.first != failureDomain) {
            ++each;
            continue;
        }
        for (auto& [id, pending] : each->second.calls)
            pending.fulfiller->fulfill(std::nullopt);
        updateGauges(each->first.second, {});
        runtime::log_event("places_idle")
            .with("service", each->first.second)
            .with("failure_domain", failureDomain)
            .with("reason", "lease_lost");
        each = m_services.erase(each);
    }
}

void place_issuer::tick()
{
    followLeases();
    auto now = runtime::nowWithSuspension();
    for (auto each = m_services.begin(); each != m_services.end();) {
        auto& [key, places] = *each;
        decide(key, places);
        if (now >= places.summaryAt)
            logSummary(key, places, now);
        if (!places.ledger.isIdle() || now - places.usedAt < idleTime) {
            ++each;
            continue;
        }
        runtime::log_event("places_idle")
            .with("service", key.second)
            .with("failure_domain", key.first)
            .with("reason", "no_requests");
        each = m_services.erase(each);
    }
}

kj::Promise<void> place_issuer::tickWhileUsed()
{
    return m_timer.afterDelay(decisionInterval).then([this]() -> kj::Promise<void> {
        tick();
        if (!m_services.empty())
            return tickWhileUsed();
        m_isTicking = false;
        return kj::READY_NOW;
    });
}

} // namespace plumfold::control
