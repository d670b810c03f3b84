#include "plumfold/core/places/plumfold_place_ledger.hpp"

#include "plumfold_place_queue.hpp"
#include "plumfold_place_schedule.hpp"
#include "plumfold_place_targets.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

constexpr std::size_t maxCandidates = 8;
constexpr std::uint32_t maxSlots = 10'000;
constexpr std::size_t maxWaiting = 2'000;
constexpr std::size_t maxWaitingOfClient = 100;
/// Entries renew every 400 ms, so that a place survives two lost renewals.
constexpr milliseconds placeLifetime { 1'500 };
constexpr milliseconds takeoverTime { 500 };
constexpr milliseconds checkInterval { 50 };
/// Requests at the head of the queue that are passed over at once because their candidates are full. Bounds
/// the time of a decision when many requests wait for the same full target.
constexpr std::size_t maxPassedOver = 16;

bool isValid(const place_candidate& candidate)
{
    return !candidate.target.empty() && candidate.slots > 0 && candidate.slots <= maxSlots
        && candidate.withoutPlace <= maxSlots;
}

bool isValid(const place_request& request)
{
    return request.maxWait.count() > 0 && !request.candidates.empty()
        && request.candidates.size() <= maxCandidates
        && std::all_of(request.candidates.begin(), request.candidates.end(),
            [](const auto& each) { return isValid(each); });
}

} // namespace

class place_ledger::state {
public:
    void onTakeover(instant from) { m_isHalvedUntil = from + takeoverTime; }

    void submit(const place_request& request, instant now);
    void cancel(place_id id, instant now);
    void end(const place_end& ended, instant now);
    void renew(const std::vector<held_place>& held, instant now);
    std::vector<std::pair<place_id, place_decision>> takeDecisions(instant now);

    bool isIdle() const { return m_held.empty() && m_waiting.empty(); }
    place_ledger_figures figures() const;

private:
    struct held {
        place_target_key target;
        instant until {};
    };

    struct waiting {
        place_id id;
        waiting_request order;
        std::vector<place_target_key> candidates;
    };

    using waiting_map = std::map<request_number, waiting>;

    place_target* mostFree(const std::vector<place_target_key>& candidates, bool mayPrecedeWaiting,
        instant now, const place_target_key** key);
    void hold(place_id id, const place_target_key& key, instant now);
    void grant(place_id id, const place_target_key& key, std::uint8_t level, instant now);
    void grantWaiting(waiting_map::iterator request, const place_target_key& key, instant now);
    void refuse(place_id id, place_refusal refusal, std::uint8_t level, double grantsBefore, instant now);
    void enqueue(
        const place_request& request, waiting_request order, std::vector<place_target_key> candidates);
    void removeWaiting(waiting_map::iterator request);
    bool removeHeld(place_id id, place_outcome outcome, instant now);
    void expire(instant now);
    void grantInOrder(instant now);
    void grantToAny(instant now);
    bool hasRoomForWaiting(instant now);
    bool isHalved(instant now) const { return now < m_isHalvedUntil; }
    void advance(instant now) { m_rate.advance(!m_waiting.empty(), now); }

    std::map<place_target_key, place_target> m_targets;
    std::map<place_id, held> m_held;
    waiting_map m_waiting;
    std::map<place_id, request_number> m_numbers; // of waiting requests
    std::set<std::pair<instant, request_number>> m_deadlines; // of waiting requests
    std::map<std::uint64_t, std::size_t> m_waitingOfClient;
    place_queue m_queue;
    place_rate m_rate;
    retry_schedule m_retries;
    std::map<place_id, place_decision> m_decisions;
    place_ledger_figures m_figures;
    request_number m_latestNumber = 0;
    instant m_isHalvedUntil = instant::min();
    instant m_nextCheckAt = instant::min();
};

/// @param mayPrecedeWaiting whether targets that waiting requests name are considered.
/// @param key is set to the key of the target.
/// @return the target with the most free room, of several the first; null if none has room.
place_target* place_ledger::state::mostFree(const std::vector<place_target_key>& candidates,
    bool mayPrecedeWaiting, instant now, const place_target_key** key)
{
    place_target* best = nullptr;
    std::int64_t bestRoom = 0;
    for (const auto& candidate : candidates) {
        auto& target = m_targets.at(candidate);
        auto room = target.freeRoom(isHalved(now), now);
        if (room <= bestRoom || (!mayPrecedeWaiting && !target.waiting.empty()))
            continue;
        best = &target;
        bestRoom = room;
        *key = &candidate;
    }
    return best;
}

void place_ledger::state::hold(place_id id, const place_target_key& key, instant now)
{
    m_held[id] = { key, now + placeLifetime };
    m_targets.at(key).addHeld();
}

void place_ledger::state::grant(place_id id, const place_target_key& key, std::uint8_t level, instant now)
{
    hold(id, key, now);
    m_retries.onGrant(level, m_rate.perSecond(), now);
    m_decisions[id] = { key.target, key.startedAt, place_refusal::none, milliseconds(0) };
    ++m_figures.granted;
}

void place_ledger::state::grantWaiting(
    waiting_map::iterator request, const place_target_key& key, instant now)
{
    // The key may be part of the request, which is removed last.
    grant(request->second.id, key, request->second.order.priority, now);
    m_queue.grant(request->second.order);
    removeWaiting(request);
}

void place_ledger::state::refuse(
    place_id id, place_refusal refusal, std::uint8_t level, double grantsBefore, instant now)
{
    auto perSecond = m_rate.perSecond();
    auto retryAfter = m_retries.next(level, perSecond ? grantsBefore / *perSecond : 0, perSecond, now);
    m_decisions[id] = { {}, 0, refusal, retryAfter };
    ++m_figures.refused;
}

void place_ledger::state::submit(const place_request& request, instant now)
{
    advance(now);
    if (auto known = m_held.find(request.id); known != m_held.end()) {
        known->second.until = now + placeLifetime;
        const auto& key = known->second.target;
        m_decisions[request.id] = { key.target, key.startedAt, place_refusal::none, milliseconds(0) };
        return;
    }
    if (m_numbers.contains(request.id))
        return;
    if (!isValid(request)) {
        m_decisions[request.id] = { {}, 0, place_refusal::unusable, milliseconds(0) };
        ++m_figures.refused;
        return;
    }
    std::vector<place_target_key> candidates;
    for (const auto& each : request.candidates) {
        auto key = keyOf(each);
        m_targets[key].update(request.id.client, each, now);
        if (std::find(candidates.begin(), candidates.end(), key) == candidates.end())
            candidates.push_back(std::move(key));
    }
    auto level = static_cast<std::uint8_t>(std::min(request.priority, place_queue::maxLevel));
    const place_target_key* key = nullptr;
    if (mostFree(candidates, false, now, &key))
        return grant(request.id, *key, level, now);
    double before = m_queue.grantsBefore(level, request.customer);
    auto ofClient = m_waitingOfClient.find(request.id.client);
    bool isClientFull = ofClient != m_waitingOfClient.end() && ofClient->second >= maxWaitingOfClient;
    if (m_waiting.size() >= maxWaiting || isClientFull)
        return refuse(request.id, place_refusal::queue_full, level, before, now);
    auto perSecond = m_rate.perSecond();
    double maxWaitSeconds = std::chrono::duration<double>(request.maxWait).count();
    if (perSecond && before / *perSecond > maxWaitSeconds)
        return refuse(request.id, place_refusal::no_room, level, before, now);
    waiting_request order { ++m_latestNumber, request.customer, 1, 1, level, now + request.maxWait };
    enqueue(request, std::move(order), std::move(candidates));
}

void place_ledger::state::enqueue(
    const place_request& request, waiting_request order, std::vector<place_target_key> candidates)
{
    auto number = order.request;
    for (const auto& key : candidates)
        m_targets.at(key).waiting.insert({ order.priority, order.deadline, number });
    m_deadlines.insert({ order.deadline, number });
    m_numbers[request.id] = number;
    ++m_waitingOfClient[request.id.client];
    m_queue.push(order);
    m_waiting[number] = { request.id, std::move(order), std::move(candidates) };
}

/// Removes a request from everything but m_queue.
void place_ledger::state::removeWaiting(waiting_map::iterator request)
{
    const auto& [id, order, candidates] = request->second;
    for (const auto& key : candidates)
        m_targets.at(key).waiting.erase({ order.priority, order.deadline, order.request });
    m_deadlines.erase({ order.deadline, order.request });
    m_numbers.erase(id);
    auto ofClient = m_waitingOfClient.find(id.client);
    if (--ofClient->second == 0)
        m_waitingOfClient.erase(ofClient);
    m_waiting.erase(request);
}

bool place_ledger::state::removeHeld(place_id id, place_outcome outcome, instant now)
{
    auto found = m_held.find(id);
    if (found == m_held.end())
        return false;
    advance(now);
    m_targets.at(found->second.target).removeHeld(outcome, now);
    m_held.erase(found);
    if (!m_waiting.empty())
        m_rate.count();
    return true;
}

void place_ledger::state::cancel(place_id id, instant now)
{
    advance(now);
    m_decisions.erase(id);
    if (auto number = m_numbers.find(id); number != m_numbers.end()) {
        auto request = m_waiting.find(number->second);
        m_queue.remove(request->second.order);
        removeWaiting(request);
        return;
    }
    removeHeld(id, place_outcome::unused, now);
}

void place_ledger::state::end(const place_end& ended, instant now)
{
    if (removeHeld(ended.id, ended.outcome, now) && ended.outcome == place_outcome::rejected)
        ++m_figures.rejected;
}

void place_ledger::state::renew(const std::vector<held_place>& held, instant now)
{
    for (const auto& each : held) {
        if (auto known = m_held.find(each.id); known != m_held.end()) {
            known->second.until = now + placeLifetime;
            continue;
        }
        if (!isValid(each.target) || m_numbers.contains(each.id))
            continue;
        auto key = keyOf(each.target);
        m_targets[key].updateSlots(each.target.slots, now);
        hold(each.id, key, now);
    }
}

void place_ledger::state::expire(instant now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        auto request = m_waiting.find(m_deadlines.begin()->second);
        auto id = request->second.id;
        auto order = request->second.order;
        m_queue.remove(order);
        removeWaiting(request);
        refuse(id, place_refusal::no_room, order.priority,
            m_queue.grantsBefore(order.priority, order.customer), now);
    }
    if (now < m_nextCheckAt)
        return;
    m_nextCheckAt = now + checkInterval;
    std::vector<place_id> expired;
    for (const auto& [id, place] : m_held) {
        if (place.until <= now)
            expired.push_back(id);
    }
    for (auto id : expired)
        removeHeld(id, place_outcome::unused, now);
    m_figures.expired += expired.size();
    std::erase_if(m_targets, [&](const auto& each) { return each.second.isIdle(now); });
}

bool place_ledger::state::hasRoomForWaiting(instant now)
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](auto& each) {
        return !each.second.waiting.empty() && each.second.freeRoom(isHalved(now), now) > 0;
    });
}

void place_ledger::state::grantInOrder(instant now)
{
    std::vector<waiting_request> passedOver;
    while (passedOver.size() < maxPassedOver && hasRoomForWaiting(now)) {
        const auto* next = m_queue.next();
        if (!next)
            break;
        auto request = m_waiting.find(next->request);
        const place_target_key* key = nullptr;
        if (mostFree(request->second.candidates, true, now, &key)) {
            grantWaiting(request, *key, now);
            continue;
        }
        passedOver.push_back(*next);
        m_queue.remove(passedOver.back());
    }
    for (const auto& each : passedOver)
        m_queue.push(each);
}

/// Grants the room that is left after grantInOrder() passed over as many requests as it may.
void place_ledger::state::grantToAny(instant now)
{
    for (auto& [key, target] : m_targets) {
        while (!target.waiting.empty() && target.freeRoom(isHalved(now), now) > 0)
            grantWaiting(m_waiting.find(std::get<2>(*target.waiting.begin())), key, now);
    }
}

std::vector<std::pair<place_id, place_decision>> place_ledger::state::takeDecisions(instant now)
{
    advance(now);
    expire(now);
    grantInOrder(now);
    grantToAny(now);
    std::vector<std::pair<place_id, place_decision>> decisions(m_decisions.begin(), m_decisions.end());
    m_decisions.clear();
    return decisions;
}

place_ledger_figures place_ledger::state::figures() const
{
    auto figures = m_figures;
    figures.held = m_held.size();
    figures.waiting = m_waiting.size();
    figures.freedPerSecond = m_rate.perSecond().value_or(0);
    return figures;
}

place_ledger::place_ledger()
    : m_state(std::make_unique<state>())
{
}

place_ledger::~place_ledger() = default;
place_ledger::place_ledger(place_ledger&&) noexcept = default;
place_ledger& place_ledger::operator=(place_ledger&&) noexcept = default;

void place_ledger::onTakeover(instant from)
{
    m_state->onTakeover(from);
}

void place_ledger::submit(const place_request& request, instant now)
{
    m_state->submit(request, now);
}

void place_ledger::cancel(place_id id, instant now)
{
    m_state->cancel(id, now);
}

void place_ledger::end(const place_end& ended, instant now)
{
    m_state->end(ended, now);
}

void place_ledger::renew(const std::vector<held_place>& held, instant now)
{
    m_state->renew(held, now);
}

std::vector<std::pair<place_id, place_decision>> place_ledger::takeDecisions(instant now)
{
    return m_state->takeDecisions(now);
}

bool place_ledger::isIdle() const
{
    return m_state->isIdle();
}

place_ledger_figures place_ledger::figures() const
{
    return m_state->figures();
}

} // namespace plumfold::core
