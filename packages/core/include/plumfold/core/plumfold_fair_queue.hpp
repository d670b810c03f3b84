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

/// A request that waits for a target.
struct waiting_request {
    request_number request = 0;
    std::string customer;
    std::uint32_t weight = 1; ///< The customer's share.
    std::uint32_t cost = 1; ///< Work that the request brings, in tokens.
    std::uint8_t priority = 1; ///< 0 goes first within its customer.
    instant deadline {};
};

/// Weighted fair queueing between customers: start-time fair queueing over virtual time. Within a customer
/// the order is priority, then deadline.
class fair_queue {
public:
    void push(const waiting_request& request);

    /// @return the request that is next by fairness, leaving out customers in `blocked`; it stays in the
    /// queue.
    const waiting_request* front(const std::set<std::string>& blocked) const;

    /// Takes a request out because it starts: its customer is charged for it.
    void start(request_number request);

    /// Puts a started request back because no target took it; the charge is undone.
    void requeue(const waiting_request& request);

    /// Takes a request out without a charge.
    /// @return whether it was queued.
    bool remove(request_number request);

    /// Takes out the requests whose deadline has passed.
    std::vector<request_number> expire(instant now);

    std::size_t size() const { return m_customerOf.size(); }
    std::size_t sizeOf(const std::string& customer) const;
    /// @return the tokens of work that wait.
    std::uint64_t waitingCost() const { return m_waitingCost; }

private:
    struct customer_queue {
        double finish = 0; // virtual time at which the customer's last started request ends
        std::deque<waiting_request> requests; // by priority, then deadline
    };

    std::optional<waiting_request> extract(request_number request);
    void setIdle(const std::string& customer, double finish);

    double m_virtualTime = 0;
    std::uint64_t m_waitingCost = 0;
    std::map<std::string, customer_queue> m_customers; // those with waiting requests
    std::map<std::string, double> m_idleFinish; // of the others, while it lies ahead of virtual time
    std::map<request_number, std::string> m_customerOf;
};

} // namespace plumfold::core
