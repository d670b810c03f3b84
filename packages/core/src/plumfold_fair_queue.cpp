#include "plumfold/core/plumfold_fair_queue.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

bool precedes(const waiting_request& a, const waiting_request& b)
{
    if (a.priority != b.priority)
        return a.priority < b.priority;
    return a.deadline < b.deadline;
}

} // namespace

void fair_queue::push(const waiting_request& request)
{
    auto [place, wasIdle] = m_customers.try_emplace(request.customer);
    auto& queue = place->second;
    if (wasIdle) {
        // Starting at the current virtual time, an idle customer does not accumulate credit.
        auto idle = m_idleFinish.find(request.customer);
        queue.finish = idle == m_idleFinish.end() ? m_virtualTime : std::max(idle->second, m_virtualTime);
        if (idle != m_idleFinish.end())
            m_idleFinish.erase(idle);
    }
    auto position = std::upper_bound(queue.requests.begin(), queue.requests.end(), request, precedes);
    queue.requests.insert(position, request);
    m_customerOf[request.request] = request.customer;
    m_waitingCost += request.cost;
}

void fair_queue::setIdle(const std::string& customer, double finish)
{
    constexpr std::size_t maxIdleKept = 4096;
    if (m_idleFinish.size() >= maxIdleKept)
        std::erase_if(m_idleFinish, [&](const auto& each) { return each.second <= m_virtualTime; });
    if (finish > m_virtualTime && m_idleFinish.size() < maxIdleKept)
        m_idleFinish[customer] = finish;
}

const waiting_request* fair_queue::front(const std::set<std::string>& blocked) const
{
    const customer_queue* best = nullptr;
    for (const auto& [name, queue] : m_customers) {
        if (queue.requests.empty() || blocked.contains(name))
            continue;
        if (!best || queue.finish < best->finish)
            best = &queue;
    }
    return best ? &best->requests.front() : nullptr;
}

std::optional<waiting_request> fair_queue::extract(request_number request)
{
    auto found = m_customerOf.find(request);
    if (found == m_customerOf.end())
        return std::nullopt;
    auto& requests = m_customers[found->second].requests;
    auto place = std::find_if(
        requests.begin(), requests.end(), [&](const auto& each) { return each.request == request; });
    waiting_request extracted = *place;
    requests.erase(place);
    m_customerOf.erase(found);
    if (requests.empty()) {
        setIdle(extracted.customer, m_customers.at(extracted.customer).finish);
        m_customers.erase(extracted.customer);
    }
    m_waitingCost -= extracted.cost;
    return extracted;
}

void fair_queue::start(request_number request)
{
    auto found = m_customerOf.find(request);
    if (found == m_customerOf.end())
        return;
    auto& queue = m_customers.at(found->second);
    m_virtualTime = std::max(m_virtualTime, queue.finish);
    for (const auto& each : queue.requests) {
        if (each.request == request)
            queue.finish += static_cast<double>(each.cost) / std::max(1u, each.weight);
    }
    extract(request);
}

void fair_queue::requeue(const waiting_request& request)
{
    push(request);
    m_customers.at(request.customer).finish
        -= static_cast<double>(request.cost) / std::max(1u, request.weight);
}

bool fair_queue::remove(request_number request)
{
    return extract(request).has_value();
}

std::vector<request_number> fair_queue::expire(instant now)
{
    std::vector<request_number> expired;
    for (const auto& [name, queue] : m_customers) {
        for (const auto& request : queue.requests) {
            if (request.deadline <= now)
                expired.push_back(request.request);
        }
    }
    for (request_number request : expired)
        extract(request);
    return expired;
}

std::size_t fair_queue::sizeOf(const std::string& customer) const
{
    auto found = m_customers.find(customer);
    return found == m_customers.end() ? 0 : found->second.requests.size();
}

} // namespace plumfold::core
