#include "plumfold/core/plumfold_message_budget.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

/// After a longer time without a decision the process stood still, and what senders sent meanwhile has not
/// been read yet.
constexpr milliseconds maxDecisionGap { 1'000 };

} // namespace

message_budget::message_budget(message_budget_options options)
    : m_options(options)
{
}

std::uint64_t message_budget::announce(std::size_t bytes, instant now)
{
    m_messages.emplace(++m_latestNumber, message { bytes, message_state::waiting, now, now });
    return m_latestNumber;
}

void message_budget::receive(std::uint64_t number, instant now)
{
    auto found = m_messages.find(number);
    if (found != m_messages.end())
        found->second.latestAt = now;
}

void message_budget::complete(std::uint64_t number)
{
    auto found = m_messages.find(number);
    if (found != m_messages.end() && found->second.state == message_state::receiving)
        found->second.state = message_state::complete;
}

void message_budget::release(std::uint64_t number)
{
    auto found = m_messages.find(number);
    if (found == m_messages.end())
        return;
    if (found->second.state != message_state::waiting && !isSmall(found->second))
        m_usedBytes -= found->second.bytes;
    m_messages.erase(found);
}

bool message_budget::hasWaiting() const
{
    return std::any_of(m_messages.begin(), m_messages.end(),
        [](const auto& each) { return each.second.state == message_state::waiting; });
}

message_decisions message_budget::decide(instant now)
{
    message_decisions decisions;
    admit(decisions, now);
    if (!hasWaiting()) {
        m_isContended = false;
        return decisions;
    }
    if (!m_isContended || now - m_latestDecisionAt > maxDecisionGap)
        m_contendedSince = now;
    m_isContended = true;
    m_latestDecisionAt = now;
    refuseLate(decisions, now);
    admit(decisions, now);
    return decisions;
}

void message_budget::admit(message_decisions& decisions, instant now)
{
    std::vector<std::map<std::uint64_t, message>::iterator> waiting;
    for (auto each = m_messages.begin(); each != m_messages.end(); ++each) {
        if (each->second.state == message_state::waiting)
            waiting.push_back(each);
    }
    std::stable_sort(waiting.begin(), waiting.end(),
        [](const auto& left, const auto& right) { return left->second.bytes < right->second.bytes; });
    for (const auto& each : waiting) {
        auto& [number, message] = *each;
        if (!isSmall(message)) {
            if (message.bytes > m_options.allMessagesBytes - m_usedBytes)
                return;
            m_usedBytes += message.bytes;
        }
        message.state = message_state::receiving;
        message.since = now;
        message.latestAt = now;
        decisions.admitted.push_back(number);
    }
}

bool message_budget::isLate(const message& message, instant now) const
{
    switch (message.state) {
    case message_state::waiting:
        return now - message.since >= m_options.maxWait;
    case message_state::receiving:
        return !isSmall(message)
            && (now - message.since >= m_options.maxReception
                || now - std::max(message.latestAt, m_contendedSince) >= m_options.maxSilence);
    case message_state::complete:
        return false;
    }
    return false;
}

void message_budget::refuseLate(message_decisions& decisions, instant now)
{
    for (const auto& [number, message] : m_messages) {
        if (isLate(message, now))
            decisions.refused.push_back(number);
    }
    for (auto number : decisions.refused)
        release(number);
}

} // namespace plumfold::core
