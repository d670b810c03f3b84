#include "plumfold/core/plumfold_target_board.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

constexpr milliseconds retryWithoutTarget { 500 };
constexpr milliseconds retryWhenFull { 300 };
/// Own attempts that are added to a target's reported load at most.
constexpr std::size_t maxRemembered = 64;
constexpr std::uint32_t quietInFlight = 3;
/// A target that refused the weights it was known to have gets no request so long.
constexpr milliseconds weightsDoubtTime { 1'500 };

} // namespace

void target_board::take(const std::vector<target_announcement>& targets, bool everything, instant now)
{
    std::set<std::string> told;
    for (const auto& each : targets) {
        told.insert(each.name);
        auto& known = m_targets[each.name];
        if (each.startedAt != known.last.startedAt) {
            known.suspendedUntil = now;
            known.nextSuspension = milliseconds(0);
        }
        bool sameWeights = each.models == known.last.models;
        known.last = each;
        known.coldUntil = now + each.coldFor;
        known.weightsDoubted = known.weightsDoubted && sameWeights;
    }
    std::erase_if(m_targets, [&](const auto& each) {
        bool gone = everything && !told.contains(each.first);
        bool left = each.second.last.state == target_state::leaving;
        return (gone || left) && each.second.inFlight == 0;
    });
    for (auto& [name, each] : m_targets) {
        if (everything && !told.contains(name))
            each.last.state = target_state::leaving;
    }
}

void target_board::setWeights(const std::map<std::string, std::uint64_t>& weights, instant now)
{
    for (const auto& [model, version] : weights) {
        auto text = std::to_string(version);
        if (m_weights[model].version != text)
            m_weights[model] = { text, now };
    }
}

void target_board::takeLoads(const std::vector<target_load>& loads, instant now)
{
    for (const auto& load : loads) {
        auto found = m_targets.find(load.target);
        if (found == m_targets.end())
            continue;
        found->second.load = load;
        found->second.loadAt = now - load.age;
    }
}

void target_board::setServices(const std::vector<service_limits>& services)
{
    m_services.clear();
    for (const auto& each : services)
        m_services.emplace(each.name, each);
}

bool target_board::hasNamedWeights(const board_target& target, const std::string& model) const
{
    auto named = m_weights.find(model);
    if (model.empty() || named == m_weights.end())
        return true;
    return std::any_of(target.last.models.begin(), target.last.models.end(),
        [&](const auto& each) { return each.model == model && each.version == named->second.version; });
}

std::string target_board::weightsOf(const std::string& model) const
{
    if (auto named = m_weights.find(model); named != m_weights.end())
        return named->second.version;
    for (const auto& [name, target] : m_targets) {
        for (const auto& loaded : target.last.models) {
            if (loaded.model == model)
                return loaded.version;
        }
    }
    return {};
}

bool target_board::mayBeginOnOlder(const std::string& model, instant now) const
{
    auto named = m_weights.find(model);
    return named == m_weights.end() || now - named->second.namedAt < m_options.staleWeightsBound;
}

/// A target that only control cannot hear still serves; its answers show that.
bool target_board::isTrusted(const board_target& target, instant now) const
{
    if (target.last.state == target_state::silent)
        return target.answeredAt && now - *target.answeredAt < m_options.answerTrust;
    return target.last.state == target_state::ready;
}

bool target_board::isSilent(const std::string& target, instant now) const
{
    auto found = m_targets.find(target);
    return found != m_targets.end() && found->second.last.state == target_state::silent
        && !isTrusted(found->second, now);
}

bool target_board::isUsable(const board_target& target, const placement_request& request, instant now) const
{
    if (target.last.service != request.service || !isTrusted(target, now))
        return false;
    if (m_outOfService.contains(target.last.failureDomain) || request.excluded.contains(target.last.name))
        return false;
    if (target.weightsDoubted && now - target.doubtedAt < weightsDoubtTime)
        return false;
    bool isBusy = target.load && target.load->isBusy && now - target.loadAt < m_options.loadBound;
    return !isBusy && now >= target.suspendedUntil;
}

milliseconds target_board::coldSpacing(const board_target& target) const
{
    auto limits = m_services.find(target.last.service);
    double rate = limits == m_services.end() ? 0 : limits->second.coldRequestsPerSecond;
    if (rate <= 0)
        return milliseconds(0);
    // Each entry uses its share of the rate, so that no message is needed.
    double perEntry = rate * m_options.coldShare / std::max(m_entries, 1u);
    return milliseconds(static_cast<std::int64_t>(1000 / perEntry));
}

placement_answer target_board::choose(const placement_request& request, instant now)
{
    placement_answer answer;
    std::vector<board_target*> candidates;
    bool coldOnly = false;
    for (auto& [name, target] : m_targets) {
        if (!isUsable(target, request, now))
            continue;
        bool cold = now < target.coldUntil && coldSpacing(target).count() > 0;
        if (cold && target.lastColdStart && now - *target.lastColdStart < coldSpacing(target)) {
            coldOnly = true;
            continue;
        }
        if (hasNamedWeights(target, request.model) || mayBeginOnOlder(request.model, now))
            candidates.push_back(&target);
    }
    auto* chosen = pick(candidates, request, now);
    if (chosen) {
        double predicted = request.session == 0
            ? 0
            : predictedMs(*chosen, request, chosen == homeOf(candidates, request.session), now);
        double wait = request.session == 0 ? 0 : waitMs(*chosen, request, now);
        answer.chosen = begin(*chosen, request, now);
        answer.chosen->waitMs = wait;
        answer.chosen->predictedMs = predicted;
        answer.chosen->isTargetLoaded = isLoaded(*chosen, now);
        return answer;
    }
    answer.reason = coldOnly ? placement_refusal::cold : placement_refusal::no_target;
    answer.retryAfter = coldOnly ? retryWhenFull : retryWithoutTarget;
    return answer;
}

placement target_board::begin(board_target& target, const placement_request& request, instant now)
{
    ++target.inFlight;
    target.inFlightTokens += expectedTokens(request);
    target.begun.emplace_back(now, expectedTokens(request));
    while (target.begun.size() > maxRemembered || now - target.begun.front().first > m_options.loadBound)
        target.begun.pop_front();
    if (now < target.coldUntil)
        target.lastColdStart = now;
    placement out { target.last.name, target.last.address, {}, target.last.failureDomain, 0, 0,
        isHolder(target, request), false };
    for (const auto& loaded : target.last.models) {
        if (loaded.model == request.model)
            out.weights = loaded.version;
    }
    return out;
}

/// @return whether more than a few requests are ahead of a new one.
bool target_board::isLoaded(const board_target& target, instant now) const
{
    if (!target.load || now - target.loadAt > m_options.loadBound)
        return true;
    return target.load->waiting > 0 || target.inFlight > quietInFlight;
}

target_board::board_target* target_board::pick(
    std::vector<board_target*>& candidates, const placement_request& request, instant now) const
{
    if (candidates.empty())
        return nullptr;
    if (request.session != 0)
        return pickForSession(candidates, request, now);
    auto cost = [&](const board_target* target) {
        bool far = target->last.failureDomain != m_options.failureDomain;
        // A far target is taken when the near ones have a whole batch more in flight.
        double load = static_cast<double>(target->inFlight) * m_entries / std::max(target->last.slots, 1u);
        return std::pair(load + (far ? 1.0 : 0.0), target->last.name);
    };
    return *std::min_element(candidates.begin(), candidates.end(),
        [&](const auto* left, const auto* right) { return cost(left) < cost(right); });
}

/// The first targets that have loaded newly named weights would get all requests if older ones got none.
double target_board::olderMs(const board_target& target, const placement_request& request) const
{
    return hasNamedWeights(target, request.model) ? 0 : m_options.olderWeightsMs;
}

/// @return how long the requests that a target has delay another one.
double target_board::waitMs(const board_target& target, const placement_request& request, instant now) const
{
    const auto& speeds = m_options.speeds;
    auto limits = m_services.find(target.last.service);
    bool hasEngine = limits != m_services.end() && limits->second.engine.has_value();
    double capacity = hasEngine ? static_cast<double>(limits->second.engine->memoryTokens) : 0;
    double waiting = 0;
    double begun = 0;
    double running = static_cast<double>(target.inFlight) * m_entries;
    double used = static_cast<double>(target.inFlightTokens) * m_entries;
    if (target.load && now - target.loadAt < m_options.loadBound) {
        waiting = target.load->waiting;
        running = target.load->running;
        used = target.load->usedTokens;
        for (const auto& [at, tokens] : target.begun) {
            if (at < target.loadAt)
                continue;
            ++begun;
            used += static_cast<double>(tokens);
        }
    }
    double share = capacity > 0 ? (used + static_cast<double>(expectedTokens(request))) / capacity : 0;
    double overflowMs = std::max(0.0, share - speeds.memoryShare) * speeds.overflowMs;
    return waiting * speeds.waitingMs + begun * speeds.begunMs + running * speeds.runningMs + overflowMs;
}

double target_board::predictedMs(
    const board_target& target, const placement_request& request, bool isHome, instant now) const
{
    const auto& speeds = m_options.speeds;
    double own = static_cast<double>(request.promptTokens - request.sharedTokens);
    return own / speeds.readTokensPerMs + missMs(target, request, isHome) + waitMs(target, request, now);
}

bool target_board::isHolder(const board_target& target, const placement_request& request)
{
    const auto& holders = request.holders;
    return std::find(holders.begin(), holders.end(), target.last.address) != holders.end();
}

/// @return the time to get the shared part where a target does not hold it.
double target_board::missMs(const board_target& target, const placement_request& request, bool isHome) const
{
    // Where nobody is known to hold it, its home may.
    if (isHolder(target, request) || (request.holders.empty() && isHome))
        return 0;
    const auto& speeds = m_options.speeds;
    double rate = speeds.readTokensPerMs;
    if (request.storedIn)
        rate = *request.storedIn == target.last.failureDomain ? speeds.fetchTokensPerMs
                                                              : speeds.farFetchTokensPerMs;
    else if (!request.holders.empty())
        rate = speeds.fetchTokensPerMs;
    return static_cast<double>(request.sharedTokens) / rate;
}

std::optional<part_source> target_board::findSource(const std::string& address, instant now) const
{
    auto found = std::find_if(m_targets.begin(), m_targets.end(), [&](const auto& each) {
        return each.second.last.address == address && each.second.last.state != target_state::leaving;
    });
    if (found == m_targets.end())
        return std::nullopt;
    const auto& [name, target] = *found;
    auto limits = m_services.find(target.last.service);
    bool isEngine = limits != m_services.end() && limits->second.engine;
    if (!isEngine || !isTrusted(target, now) || now < target.suspendedUntil)
        return std::nullopt;
    return part_source { address, target.last.failureDomain, limits->second.engine->linkMegabitsPerSecond };
}

/// @return the target with the highest score, which is the conversation's home on every entry.
target_board::board_target* target_board::homeOf(
    const std::vector<board_target*>& candidates, std::uint64_t session) const
{
    auto score = [&](const board_target* target) { return hashBytes(target->last.name, session); };
    return *std::max_element(candidates.begin(), candidates.end(),
        [&](const auto* left, const auto* right) { return score(left) < score(right); });
}

target_board::board_target* target_board::pickForSession(
    std::vector<board_target*>& candidates, const placement_request& request, instant now) const
{
    auto* home = homeOf(candidates, request.session);
    board_target* best = nullptr;
    double bestMs = 0;
    for (auto* target : candidates) {
        double ms = predictedMs(*target, request, target == home, now) + olderMs(*target, request);
        if (best && ms >= bestMs)
            continue;
        best = target;
        bestMs = ms;
    }
    return best;
}

void target_board::ended(const std::string& target, attempt_end how, std::uint64_t tokens, instant now)
{
    auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    auto& each = found->second;
    each.inFlight -= each.inFlight > 0;
    each.inFlightTokens -= std::min(each.inFlightTokens, tokens);
    bool bad = how == attempt_end::not_reached || how == attempt_end::lost;
    if (how == attempt_end::answered) {
        each.nextSuspension = milliseconds(0);
        each.answeredAt = now;
    }
    if (!bad)
        return;
    each.nextSuspension
        = std::clamp(each.nextSuspension * 2, m_options.suspension, m_options.longestSuspension);
    each.suspendedUntil = now + each.nextSuspension;
}

void target_board::forgetWeights(const std::string& target, instant now)
{
    auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    found->second.weightsDoubted = true;
    found->second.doubtedAt = now;
}

void repeat_budget::expire(service_window& window, instant now) const
{
    while (!window.requests.empty() && now - window.requests.front() > m_window)
        window.requests.pop_front();
    while (!window.repeats.empty() && now - window.repeats.front() > m_window)
        window.repeats.pop_front();
}

void repeat_budget::onRequest(const std::string& service, instant now)
{
    auto& window = m_services[service];
    expire(window, now);
    window.requests.push_back(now);
}

bool repeat_budget::tryTake(const std::string& service, instant now)
{
    auto& window = m_services[service];
    expire(window, now);
    double allowed = m_share * static_cast<double>(window.requests.size())
        + std::floor(m_reserve / std::max(m_entries, 1u));
    if (static_cast<double>(window.repeats.size()) + 1 > allowed)
        return false;
    window.repeats.push_back(now);
    return true;
}

} // namespace plumfold::core
