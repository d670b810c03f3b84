#pragma once

#include "plumfold/core/plumfold_fair_queue.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace plumfold::core {

/// Orders requests that wait for a place: by urgency, then fairly between customers, then by deadline. Less
/// urgent requests are not starved.
class place_queue {
public:
    /// Least urgent level; requests beyond it are treated alike.
    static constexpr std::uint32_t maxLevel = 15;
    /// Grants to more urgent requests in a row, while less urgent ones wait.
    static constexpr std::uint32_t maxUrgentGrants = 8;

    void push(const waiting_request& request);
    void remove(const waiting_request& request);

    /// @return the request that goes next; null if none waits.
    const waiting_request* next() const;

    /// Removes a request that got a place.
    void grant(const waiting_request& request);

    /// Estimates how many grants precede that of a new request, those to more urgent requests that have yet
    /// to arrive included.
    double grantsBefore(std::uint8_t level, const std::string& customer) const;

    std::size_t size() const { return m_size; }

private:
    struct level_queue {
        fair_queue requests;
        std::map<std::string, std::size_t> customers; // waiting requests of each
        std::uint64_t passedOver = 0; // grants to more urgent requests since the latest grant here
        double recentGrants = 0; // fades
    };

    void countRemoval(const waiting_request& request);
    double moreUrgentShare(std::uint8_t level) const;

    std::map<std::uint8_t, level_queue> m_levels; // most urgent first
    std::size_t m_size = 0;
    std::uint32_t m_urgentGrants = 0; // in a row, while less urgent requests wait
};

} // namespace plumfold::core
