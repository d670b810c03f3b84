#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plumfold::core {

using request_number = std::uint64_t;

/// A request waiting for a target.
struct waiting_request {
    request_number request = 0;
    std::string customer;
    std::uint32_t weight = 1; ///< Share of the customer relative to others.
    std::uint32_t cost = 1; ///< Prompt and output tokens that the request may need.
    std::uint8_t priority = 1; ///< 0 goes first within its customer.
    instant deadline {};
};

/// Start-time fair queueing between customers by weight. Within a customer, requests are ordered by priority,
/// then by deadline.
class fair_queue {
public:
    void push(const waiting_request& request);

    /// @param blocked customers to skip.
    /// @return the next request, which stays in the queue; null when no customer qualifies.
    const waiting_request* front(const std::set<std::string>& blocked) const;

    /// Removes a request that starts and charges its cost to its customer.
    void start(request_number request);

    /// Requeues a started request, for instance after its permit was denied, and undoes its charge.
    void requeue(const waiting_request& request);

    /// Removes a request without a charge.
    /// @return whether it was queued.
    bool remove(request_number request);

    /// Removes the requests whose deadline has passed.
    /// @return the removed requests.
    std::vector<request_number> expire(instant now);

    std::size_t size() const { return m_customerOf.size(); }
    std::size_t sizeOf(const std::string& customer) const;
    /// @return cost of all waiting requests, in tokens.
    std::uint64_t waitingCost() const { return m_waitingCost; }

private:
    struct customer_queue {
        double finish = 0; // virtual finish time of the customer's last started request
        std::deque<waiting_request> requests; // by priority, then deadline
    };

    std::optional<waiting_request> extract(request_number request);
    void setIdle(const std::string& customer, double finish);

    double m_virtualTime = 0;
    std::uint64_t m_waitingCost = 0;
    std::map<std::string, customer_queue> m_customers; // customers with waiting requests
    std::map<std::string, double>
        m_idleFinish; // finish times of idle customers that lie ahead of virtual time
    std::map<request_number, std::string> m_customerOf;
};

} // namespace plumfold::core
