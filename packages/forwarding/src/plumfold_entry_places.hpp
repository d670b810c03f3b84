#pragma once

#include "plumfold_place_client.hpp"

#include "plumfold/core/places/plumfold_contention_detector.hpp"
#include "plumfold/core/plumfold_deployment.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"
#include "plumfold/core/plumfold_time.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"

#include <map>
#include <string>

namespace plumfold::forwarding {

/// Decides at an entry which services are contended, so that requests to them need places. Does nothing
/// unless places are enabled. Used on the event loop thread only.
class entry_places {
public:
    entry_places(
        const runtime::settings& settings, const core::target_selector& selector, place_client& client);
    entry_places(const entry_places&) = delete;
    entry_places& operator=(const entry_places&) = delete;

    place_client& client() { return m_client; }

    /// @return whether requests to a service need a place now. Those to model engines and stores never do.
    bool isNeeded(const core::deployment& deployment, const std::string& service, core::instant now);

    /// Records that a request is sent to a service. Each must be ended by onEnded().
    void onSent(const std::string& service, core::instant now);
    /// @param isForRoom a target has rejected the request for lack of room.
    void onEnded(const std::string& service, bool isForRoom, core::instant now);
    /// Records a decision on a request for a place.
    void onDecision(const std::string& service, const core::place_decision& decision,
        core::milliseconds waited, core::instant now);

    /// Logs the services that are contended no more. Call it regularly.
    void update(core::instant now);

private:
    struct tracked_service {
        core::contention_detector detector;
        bool isContended = false; // as last logged
    };

    void judge(const std::string& service, tracked_service& tracked, core::instant now);

    bool m_isEnabled;
    const core::target_selector& m_selector;
    place_client& m_client;
    std::map<std::string, tracked_service> m_services; // those that requests were sent to
};

} // namespace plumfold::forwarding
