#pragma once

#include "plumfold/core/places/plumfold_place_ledger.hpp"
#include "plumfold/runtime/plumfold_metrics.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include <kj/timer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace plumfold::control {

/// Grants places on targets of plain services to all entries, for the failure domains whose lease this
/// control VM holds. Used only on the RPC thread.
class place_issuer {
public:
    /// @return whether this control VM may grant places for a failure domain.
    using lease_check = std::function<bool(const std::string& failureDomain)>;
    /// Takes a decision; nothing if this control VM does not grant places for the failure domain.
    using responder = std::function<void(const std::optional<core::place_decision>& decision)>;

    /// @param failureDomains of the system.
    place_issuer(kj::Timer& timer, std::vector<std::string> failureDomains, lease_check holdsLease);
    ~place_issuer();

    /// Decides on a request for a place; the request may wait.
    /// @param entry name of the entry.
    /// @param respond is called unless the promise is dropped.
    /// @return a promise that ends after respond was called. Dropping it earlier withdraws the request.
    kj::Promise<void> acquire(const std::string& entry, const std::string& failureDomain,
        const core::place_request& request, responder respond);

    /// Renews places of a service, then ends others.
    /// @return whether this control VM grants places for the failure domain.
    bool update(const std::string& failureDomain, const std::string& service,
        const std::vector<core::held_place>& held, const std::vector<core::place_end>& ended);

    /// Notes which leases are held, and drops what belongs to others. Call it periodically.
    void followLeases();

    const runtime::metrics& metrics() const { return m_metrics; }

private:
    class call_guard;
    using decision_fulfiller = kj::Own<kj::PromiseFulfiller<std::optional<core::place_decision>>>;
    /// Failure domain and service.
    using service_key = std::pair<std::string, std::string>;

    struct pending_call {
        std::uint64_t call = 0; ///< Number of the latest call for the place.
        std::string entry;
        decision_fulfiller fulfiller;
    };

    struct service_places {
        core::place_ledger ledger;
        std::map<core::place_id, pending_call> calls;
        core::instant usedAt {};
        core::instant summaryAt {};
        core::place_ledger_figures summarized;
    };

    bool isIssuerOf(const std::string& failureDomain);
    service_places* placesOf(const std::string& failureDomain, const std::string& service);
    void withdraw(const service_key& key, core::place_id id, std::uint64_t call);
    void decide(const service_key& key, service_places& places);
    void count(const std::string& service, const core::place_decision& decision);
    void updateGauges(const std::string& service, const core::place_ledger_figures& figures);
    void logUnusable(const std::string& entry, const std::string& service);
    void logSummary(const service_key& key, service_places& places, core::instant now);
    void dropAll(const std::string& failureDomain);
    void tick();
    kj::Promise<void> tickWhileUsed();

    kj::Timer& m_timer;
    std::vector<std::string> m_failureDomains;
    lease_check m_holdsLease;
    std::map<std::string, core::instant> m_issuerSince; // failure domains whose lease is usable
    std::map<service_key, service_places> m_services; // contended ones
    std::set<std::string> m_unusableFrom; // entries that sent unusable requests
    std::uint64_t m_latestCall = 0;
    bool m_isTicking = false;
    runtime::metrics m_metrics;
    /// For the guards of calls, which the RPC system may drop after the issuer has ended.
    std::shared_ptr<place_issuer*> m_self = std::make_shared<place_issuer*>(this);
    wire::task_group m_tasks;
};

} // namespace plumfold::control
