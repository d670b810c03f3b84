#pragma once

#include "plumfold_asio.hpp"
#include "plumfold_control_sessions.hpp"
#include "plumfold_place_holder.hpp"

#include "plumfold/core/places/plumfold_place_ledger.hpp"
#include "plumfold/core/places/plumfold_place_types.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::forwarding {

/// Lets a request stop waiting for a place.
class place_wait {
public:
    /// Ends the wait, if there is one. The request for the place is withdrawn.
    void drop();
    bool isDropped() const { return m_isDropped; }

private:
    friend class place_client;
    asio::steady_timer* m_timer = nullptr; // while a request waits
    bool m_isDropped = false;
};

/// The answer to a request for a place.
struct acquired_place {
    std::optional<core::place_decision> decision; ///< Nothing if no issuer has decided.
    place_holder place; ///< Holds a place if one was granted.
};

/// Asks the control VMs that grant places on the targets of plain services, and renews and ends the places
/// that this entry holds. Its public methods are called on the event loop thread; the calls are made on the
/// RPC thread.
class place_client {
public:
    place_client(asio::io_context& io, wire::rpc_thread& rpc, control_sessions& sessions);
    ~place_client() { stop(); }
    place_client(const place_client&) = delete;
    place_client& operator=(const place_client&) = delete;

    /// Ends all calls. The sessions are not used afterwards, and places expire that are still held.
    void stop();

    /// Sets the control VMs to ask. Requests that wait at a former one are sent to its successor.
    /// @param issuers their addresses (ip:port of the RPC interface) by failure domain.
    void setIssuers(std::map<std::string, std::string> issuers);

    /// Asks for a place, which may wait.
    /// @param request without its id.
    /// @param wait lets the caller end the wait; it must outlive the call.
    task<acquired_place> acquire(core::place_request request, place_wait& wait);

    /// @return the number of places that this entry holds on a target.
    std::size_t heldOn(const std::string& target) const;

private:
    friend class place_holder;

    /// A call that is waited for.
    struct pending_call {
        explicit pending_call(asio::io_context& io)
            : answered(io)
        {
        }
        asio::steady_timer answered; // cancelled by the answer
        bool isAnswered = false;
        std::optional<core::place_decision> decision;
    };
    struct issuer {
        std::string failureDomain;
        std::string address;
        auto operator<=>(const issuer&) const = default;
    };
    struct waiting_call {
        issuer asked;
        std::string service;
        std::shared_ptr<pending_call> pending;
    };
    struct held {
        std::string failureDomain; // whose issuer granted it
        std::string service;
        core::place_candidate target;
    };
    /// Renewals and ends for one issuer and service.
    struct update {
        std::vector<core::held_place> held;
        std::vector<core::place_end> ended;
    };
    using update_key = std::pair<std::string, std::string>; // failure domain and service

    std::optional<issuer> issuerOf(const std::string& service) const;
    task<bool> ask(std::shared_ptr<pending_call> pending, const issuer& asked,
        const core::place_request& request, place_wait& wait);
    void end(core::place_id id, core::place_outcome outcome);
    void queueEnd(const update_key& key, const core::place_end& ended);
    void flushEnds();
    void armRenewal();
    void renew();
    void post(const update_key& key, update changes);

    void sendAcquire(
        std::shared_ptr<pending_call> pending, const issuer& asked, const core::place_request& request);
    void withdraw(const std::shared_ptr<pending_call>& pending);
    void sendUpdate(const issuer& asked, const std::string& service, const update& changes);
    bool isFailing(const std::string& address) const;
    void onCallFailed(const std::string& address, std::uint64_t generation, const kj::Exception& exception);
    void answer(const std::shared_ptr<pending_call>& pending, std::optional<core::place_decision> decision);

    asio::io_context& m_io;
    wire::rpc_thread& m_rpc;
    control_sessions& m_sessions; // used on the RPC thread only
    const std::uint64_t m_client; // identifies this process
    std::uint64_t m_lastNumber = 0;
    std::map<std::string, std::string> m_issuers;
    std::map<core::place_id, held> m_held;
    std::map<update_key, std::vector<core::place_end>> m_ended; // not sent yet
    std::map<std::uint64_t, waiting_call> m_waiting; // by number of the place
    asio::steady_timer m_flushTimer;
    asio::steady_timer m_renewTimer;
    bool m_isFlushArmed = false;
    bool m_isRenewalArmed = false;
    bool m_isStopped = false;
    // These are used on the RPC thread only.
    kj::Own<wire::task_group> m_tasks;
    std::map<const pending_call*, kj::Own<kj::Canceler>> m_calls;
    std::map<std::string, core::instant> m_unsupportedUntil; // control VMs that do not know the calls
};

} // namespace plumfold::forwarding
