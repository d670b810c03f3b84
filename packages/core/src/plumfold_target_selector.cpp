#include "plumfold/core/plumfold_target_selector.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <charconv>
#include <tuple>

namespace plumfold::core {

namespace {

constexpr milliseconds retryWithoutTarget { 500 };
constexpr milliseconds minRetryAfterCold { 300 };
/// Maximum number of own attempts that are added to a target's reported load.
constexpr std::size_t maxUnreportedAttempts = 64;
/// With more own requests in flight, a target counts as under load.
constexpr std::uint32_t maxLightLoadInFlight = 3;
/// How long a target gets no request after it rejected one for its weight version.
constexpr milliseconds unconfirmedWeightsBackoff { 1'500 };
/// How long demands of targets are kept that are not known any more.
constexpr milliseconds maxDemandAge { 60'000 };
/// In which a recall is noticed (200 ms) and the target drops the request (500 ms).
constexpr milliseconds recallTime { 800 };

} // namespace

void target_selector::applyAnnouncements(
    const std::vector<target_announcement>& targets, bool isComplete, instant now)
{
    m_targetsByAddress.reset();
    std::set<std::string> announced;
    for (const auto& each : targets) {
        announced.insert(each.name);
        auto& known = m_targets[each.name];
        // A control VM that was cut off may send what another one has already replaced.
        if (std::tie(each.startedAt, each.sequence) < std::tie(known.last.startedAt, known.last.sequence))
            continue;
        if (each.startedAt != known.last.startedAt) {
            known.backoffUntil = now;
            known.currentBackoff = milliseconds(0);
            known.restsUntil = now;
            m_brittleLimiter.onTargetStarted(each.service, each.name, now);
        }
        if (each.state == target_state::silent && known.last.state != target_state::silent)
            known.silentSince = now;
        bool sameWeights = each.models == known.last.models;
        known.last = each;
        known.versionSlot = {};
        known.coldUntil = now + each.coldFor;
        known.weightsUnconfirmed = known.weightsUnconfirmed && sameWeights;
    }
    std::erase_if(m_targets, [&](const auto& each) {
        bool gone = isComplete && !announced.contains(each.first);
        bool left = each.second.last.state == target_state::leaving;
        bool isRemoved = (gone || left) && each.second.inFlight == 0;
        if (isRemoved)
            m_brittleLimiter.removeTarget(each.first);
        return isRemoved;
    });
    for (auto& [name, each] : m_targets) {
        if (isComplete && !announced.contains(name))
            each.last.state = target_state::leaving;
    }
    m_demands.removeStale(
        [this](const std::string& target) { return m_targets.contains(target); }, now, maxDemandAge);
    assignCohorts(now);
}

void target_selector::setOutOfService(std::set<std::string> failureDomains)
{
    m_outOfService = std::move(failureDomains);
}

void target_selector::setReturns(const std::map<std::string, std::uint64_t>& returns, instant now)
{
    m_returns.observeLatest(returns, now);
}

void target_selector::applyReturnAges(const std::vector<event_age>& returns, instant now)
{
    m_returns.observe(returns, now);
}

void target_selector::setWeights(const std::map<std::string, std::uint64_t>& weights, instant now)
{
    m_weights.observeLatest(weights, now);
}

std::vector<event_age> target_selector::applyWeightNamings(const std::vector<event_age>& namings, instant now)
{
    return m_weights.observe(namings, now);
}

void target_selector::applyLoads(const std::vector<target_load>& loads, instant now)
{
    for (const auto& load : loads) {
        auto found = m_targets.find(load.target);
        if (found == m_targets.end())
            continue;
        found->second.load = load;
        found->second.loadAt = now - load.age;
    }
}

void target_selector::setServices(const std::vector<service_limits>& services)
{
    m_services.clear();
    for (const auto& each : services)
        m_services.emplace(each.name, each);
}

/// @return the weight version that a target has loaded; 0 if it has none.
std::uint64_t target_selector::weightVersionOf(const tracked_target& target, const std::string& model)
{
    std::uint64_t version = 0;
    for (const auto& loaded : target.last.models) {
        if (loaded.model == model)
            version = versionNumber(loaded.version);
    }
    return version;
}

/// @return the number of a weight version; 0 if it has none.
std::uint64_t target_selector::versionNumber(const std::string& version)
{
    std::uint64_t number = 0;
    std::from_chars(version.data(), version.data() + version.size(), number);
    return number;
}

/// @return whether a target does not name a model that all engines of its service have, so that nothing is
/// known of its weights.
bool target_selector::lacksModel(const tracked_target& target, const std::string& model) const
{
    auto isNamed = [&](const loaded_model& each) { return each.model == model; };
    if (model.empty() || std::any_of(target.last.models.begin(), target.last.models.end(), isNamed))
        return false;
    auto limits = m_services.find(target.last.service);
    if (limits == m_services.end() || !limits->second.engine)
        return false;
    const auto& required = limits->second.engine->models;
    return std::find(required.begin(), required.end(), model) != required.end();
}

bool target_selector::hasCurrentWeights(const tracked_target& target, const std::string& model) const
{
    auto current = m_weights.latest(model);
    return model.empty() || !current || weightVersionOf(target, model) == *current;
}

std::string target_selector::currentWeightVersion(const std::string& model) const
{
    if (auto current = m_weights.latest(model))
        return std::to_string(*current);
    for (const auto& [name, target] : m_targets) {
        for (const auto& loaded : target.last.models) {
            if (loaded.model == model)
                return loaded.version;
        }
    }
    return {};
}

/// @return whether requests may start on the weights of a target: on stale ones for a time after the first
/// version that is newer became current.
bool target_selector::mayStart(const tracked_target& target, const std::string& model, instant now) const
{
    if (model.empty())
        return true;
    auto supersededAt = m_weights.firstAfter(model, weightVersionOf(target, model));
    return !supersededAt || now - *supersededAt < m_options.staleWeightsGracePeriod;
}

bool target_selector::mayStart(const std::string& target, const std::string& model, instant now) const
{
    auto found = m_targets.find(target);
    return found != m_targets.end() && mayStart(found->second, model, now);
}

bool target_selector::mustRecall(const std::string& model, const std::string& version, instant now) const
{
    if (model.empty() || version.empty())
        return false;
    auto supersededAt = m_weights.firstAfter(model, versionNumber(version));
    return supersededAt && now - *supersededAt >= m_options.staleWeightsBound - recallTime;
}

/// A target that is silent only towards the control VMs still serves, as its answers to this entry show. One
/// that has sent a load report since it became silent serves again.
bool target_selector::isResponsive(const tracked_target& target, instant now) const
{
    if (target.last.state != target_state::silent)
        return target.last.state == target_state::ready;
    bool hasReported
        = target.load && target.loadAt >= target.silentSince && now - target.loadAt < m_options.maxLoadAge;
    bool hasAnswered = target.lastAnswerAt && now - *target.lastAnswerAt < m_options.maxAnswerAge;
    return hasReported || hasAnswered;
}

bool target_selector::mayBePaused(const tracked_target& target, instant now) const
{
    return target.last.state == target_state::silent && now - target.silentSince < m_options.maxPause;
}

bool target_selector::isSilent(const std::string& target, instant now) const
{
    auto found = m_targets.find(target);
    return found != m_targets.end() && found->second.last.state == target_state::silent
        && !isResponsive(found->second, now);
}

bool target_selector::isLeaving(const std::string& target) const
{
    auto found = m_targets.find(target);
    return found == m_targets.end() || found->second.last.state == target_state::leaving
        || m_demands.isLeaving(target, found->second.last.startedAt);
}

bool target_selector::isUsable(
    const tracked_target& target, const placement_request& request, instant now) const
{
    return isResponsive(target, now) && isAvailable(target, request, now);
}

/// @return whether a target may get a request as long as it is responsive.
bool target_selector::isAvailable(
    const tracked_target& target, const placement_request& request, instant now) const
{
    if (target.last.service != request.service)
        return false;
    if (m_outOfService.contains(target.last.failureDomain) || request.excluded.contains(target.last.name))
        return false;
    if (!request.onlyTarget.empty() && request.onlyTarget != target.last.name)
        return false;
    if (target.rollout.role != rollout_role::unrestricted
        && !isSelectable(target.rollout, cohortRequestOf(request)))
        return false;
    const auto& version = request.softwareVersion;
    if (version && (version->empty() || *version != target.last.softwareVersion))
        return false;
    if (now < target.restsUntil || m_demands.isLeaving(target.last.name, target.last.startedAt))
        return false;
    if (target.weightsUnconfirmed && now - target.unconfirmedSince < unconfirmedWeightsBackoff)
        return false;
    if (lacksModel(target, request.model))
        return false;
    bool isBusy = target.load && target.load->isBusy && now - target.loadAt < m_options.maxLoadAge;
    return !isBusy && now >= target.backoffUntil;
}

bool target_selector::isIncarnation(const std::string& target, unix_milliseconds startedAt) const
{
    auto found = m_targets.find(target);
    return found != m_targets.end() && found->second.last.startedAt == startedAt;
}

bool target_selector::isCold(const std::string& target, instant now) const
{
    auto found = m_targets.find(target);
    return found != m_targets.end() && isCold(found->second, now);
}

bool target_selector::isCold(const tracked_target& target, instant now) const
{
    auto limits = m_services.find(target.last.service);
    if (limits == m_services.end() || limits->second.coldRequestsPerSecond <= 0)
        return false;
    auto returnedAt = m_returns.latestAt(target.last.failureDomain);
    return now < target.coldUntil || (returnedAt && now < *returnedAt + limits->second.coldTime);
}

/// @return whether this entry has as many requests on a brittle target as it may have.
bool target_selector::isAtLimit(
    const tracked_target& target, const placement_request& request, instant now) const
{
    auto limit = m_brittleLimiter.limit(target.last.service, target.last.name, target.last.slots, now);
    if (!limit)
        return false;
    if (target.inFlight >= *limit)
        return true;
    // An engine whose memory is full lets requests wait although it has free slots.
    auto limits = m_services.find(target.last.service);
    auto memory
        = limits != m_services.end() && limits->second.engine ? limits->second.engine->memoryTokens : 0;
    return memory > 0
        && !m_brittleLimiter.fitsMemory(
            target.last.name, memory, target.inFlightTokens, expectedTokens(request), now);
}

target_selector::candidate_list target_selector::listCandidates(const placement_request& request, instant now)
{
    candidate_list out;
    std::vector<tracked_target*> paused;
    for (auto& [name, target] : m_targets) {
        bool isUsableNow = isUsable(target, request, now);
        bool isPaused = mayBePaused(target, now) && !isCold(target, now)
            && mayStart(target, request.model, now) && !isRateLimited(target);
        if (!isUsableNow && isPaused && isAvailable(target, request, now))
            paused.push_back(&target);
        if (!isUsableNow)
            continue;
        if (isCold(target, now) && (request.isWarmOnly || now < target.coldStartRefusedUntil)) {
            out.nextColdStart
                = std::min(out.nextColdStart.value_or(instant::max()), target.coldStartRefusedUntil);
            continue;
        }
        if (!mayStart(target, request.model, now))
            continue;
        if (isRateLimited(target) && (request.isUnlimitedOnly || now < target.limitedStartRefusedUntil)) {
            out.nextLimitedStart
                = std::min(out.nextLimitedStart.value_or(instant::max()), target.limitedStartRefusedUntil);
            continue;
        }
        bool isTargetFull = isAtLimit(target, request, now);
        out.isFull = out.isFull || isTargetFull;
        if (!isTargetFull)
            out.targets.push_back(&target);
    }
    if (out.targets.empty() && !out.nextColdStart)
        out.targets = std::move(paused);
    return out;
}

placement_result target_selector::chooseInCohort(const placement_request& request, instant now)
{
    placement_result answer;
    auto [candidates, nextColdStart, nextLimitedStart, isFull] = listCandidates(request, now);
    auto* chosen = selectTarget(candidates, request, now);
    if (chosen) {
        double wait = 0;
        double prefill = 0;
        if (request.session != 0) {
            wait = waitMs(*chosen, request, now);
            prefill = prefillMs(*chosen, request, chosen == preferredTarget(candidates, request.session));
            m_sessionWork[request.service].add(prefill, now);
        }
        answer.chosen = recordStart(*chosen, request, now);
        answer.chosen->waitMs = wait;
        answer.chosen->slots = chosen->last.slots;
        if (chosen->load && now - chosen->loadAt < m_options.maxLoadAge) {
            answer.chosen->running = chosen->load->running;
            answer.chosen->waiting = chosen->load->waiting;
        }
        answer.chosen->predictedMs = prefill + wait;
        answer.chosen->isTargetUnderLoad = isUnderLoad(*chosen, now);
        return answer;
    }
    auto restEnd = nextRestEnd(request, now);
    answer.reason = isFull ? placement_failure::full
        : nextColdStart    ? placement_failure::cold
        : nextLimitedStart ? placement_failure::rate_limited
        : restEnd          ? placement_failure::resting
                           : placement_failure::no_target;
    answer.retryAfter = retryWithoutTarget;
    if (answer.reason == placement_failure::rate_limited || answer.reason == placement_failure::resting) {
        auto next = std::min(nextLimitedStart.value_or(instant::max()), restEnd.value_or(instant::max()));
        answer.retryAfter = std::max(milliseconds(1), std::chrono::ceil<milliseconds>(next - now));
    }
    answer.isBackedOff = std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& each) {
        return each.second.last.service == request.service && isResponsive(each.second, now)
            && now < each.second.backoffUntil;
    });
    if (answer.reason == placement_failure::cold)
        answer.retryAfter
            = std::max(minRetryAfterCold, std::chrono::ceil<milliseconds>(*nextColdStart - now));
    return answer;
}

bool target_selector::hasWarmTargetInCohort(const placement_request& request, instant now) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const auto& each) {
        const auto& target = each.second;
        return isUsable(target, request, now) && !isCold(target, now) && mayStart(target, request.model, now)
            && !isRateLimited(target);
    });
}

placement target_selector::recordStart(tracked_target& target, const placement_request& request, instant now)
{
    ++target.inFlight;
    target.inFlightTokens += expectedTokens(request);
    target.unreportedAttempts.emplace_back(now, expectedTokens(request));
    while (target.unreportedAttempts.size() > maxUnreportedAttempts
        || now - target.unreportedAttempts.front().first > m_options.maxLoadAge)
        target.unreportedAttempts.pop_front();
    placement out { target.last.name, target.last.address, {}, target.last.failureDomain,
        target.last.softwareVersion, target.last.startedAt, 0, 0, isHolder(target, request), false,
        isCold(target, now), isRateLimited(target), rolloutAssignment(target, now) };
    for (const auto& loaded : target.last.models) {
        if (loaded.model == request.model)
            out.weights = loaded.version;
    }
    return out;
}

/// @return whether more than a few requests are ahead of a new one; true if that is not known.
bool target_selector::isUnderLoad(const tracked_target& target, instant now) const
{
    if (!target.load || now - target.loadAt > m_options.maxLoadAge)
        return true;
    return target.load->waiting > 0 || target.inFlight > maxLightLoadInFlight;
}

target_selector::tracked_target* target_selector::selectTarget(
    std::vector<tracked_target*>& candidates, const placement_request& request, instant now) const
{
    if (candidates.empty())
        return nullptr;
    if (request.session != 0)
        return selectForSession(candidates, request, now);
    return *std::min_element(candidates.begin(), candidates.end(),
        [&](const auto* left, const auto* right) { return plainCost(*left) < plainCost(*right); });
}

/// @return what a request without a session costs on a target; the lowest is chosen.
std::tuple<double, std::uint64_t, std::string> target_selector::plainCost(const tracked_target& target) const
{
    bool isRemote = target.last.failureDomain != m_options.failureDomain;
    // A remote target is selected once the local ones have a whole batch more in flight.
    double load = static_cast<double>(target.inFlight) * m_entries / std::max(target.last.slots, 1u);
    // Equal ones are ranked differently by each entry, which spreads requests over idle targets.
    return { load + (isRemote ? 1.0 : 0.0), hashBytes(m_options.entryName, hashBytes(target.last.name)),
        target.last.name };
}

/// A penalty instead of an exclusion: otherwise the first targets that have loaded a new version would get
/// all requests.
/// @return what is added to the predicted time, in ms.
double target_selector::staleWeightsPenalty(
    const tracked_target& target, const placement_request& request) const
{
    return hasCurrentWeights(target, request.model) ? 0 : m_options.staleWeightsPenaltyMs;
}

const target_selector::tracked_target* target_selector::targetAt(const std::string& address) const
{
    if (!m_targetsByAddress) {
        m_targetsByAddress.emplace();
        for (const auto& [name, target] : m_targets) {
            if (target.last.state != target_state::leaving)
                m_targetsByAddress->emplace(target.last.address, &target);
        }
    }
    auto found = m_targetsByAddress->find(address);
    return found == m_targetsByAddress->end() ? nullptr : found->second;
}

std::optional<part_source> target_selector::findSource(const std::string& address, instant now) const
{
    const auto* found = targetAt(address);
    if (!found)
        return std::nullopt;
    const auto& target = *found;
    auto limits = m_services.find(target.last.service);
    bool isEngine = limits != m_services.end() && limits->second.engine;
    bool isBarred = target.rollout.role == rollout_role::barred; // it may be stopped at any time
    if (!isEngine || isBarred || !isResponsive(target, now) || now < target.backoffUntil)
        return std::nullopt;
    return part_source { address, target.last.failureDomain, limits->second.engine->linkMegabitsPerSecond };
}

void target_selector::onAttemptEnded(
    const std::string& target, attempt_result result, std::uint64_t tokens, instant now)
{
    auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    auto& each = found->second;
    each.inFlight -= each.inFlight > 0;
    each.inFlightTokens -= std::min(each.inFlightTokens, tokens);
    if (result == attempt_result::not_started && !each.unreportedAttempts.empty())
        each.unreportedAttempts.pop_back();
    bool targetFailed = result == attempt_result::not_reached || result == attempt_result::lost;
    if (result == attempt_result::answered) {
        each.currentBackoff = milliseconds(0);
        each.lastAnswerAt = now;
    }
    // During a back-off only attempts end that began before it: their failures have the same cause.
    if (!targetFailed || now < each.backoffUntil)
        return;
    each.currentBackoff = std::clamp(each.currentBackoff * 2, m_options.initialBackoff, m_options.maxBackoff);
    each.backoffUntil = now + each.currentBackoff;
}

void target_selector::onResponse(
    const std::string& target, std::optional<std::uint32_t> maxRejections, bool isRejection, instant now)
{
    auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    const auto& service = found->second.last.service;
    m_brittleLimiter.onResponse(service, maxRejections, now);
    if (isRejection)
        m_brittleLimiter.onRejection(service, target, now);
}

void target_selector::onAttemptCancelled(const std::string& target, instant now)
{
    if (auto found = m_targets.find(target); found != m_targets.end())
        m_brittleLimiter.onAttemptCancelled(found->second.last.service, target, now);
}

void target_selector::clearBackoffs(instant now)
{
    for (auto& [name, each] : m_targets) {
        each.backoffUntil = now;
        each.currentBackoff = milliseconds(0);
    }
}

std::size_t target_selector::readyTargets() const
{
    return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(),
        [](const auto& each) { return each.second.last.state == target_state::ready; }));
}

void target_selector::onColdStartRefused(const std::string& target, instant until)
{
    if (auto found = m_targets.find(target); found != m_targets.end())
        found->second.coldStartRefusedUntil = until;
}

void target_selector::markWeightsUnconfirmed(const std::string& target, instant now)
{
    auto found = m_targets.find(target);
    if (found == m_targets.end())
        return;
    found->second.weightsUnconfirmed = true;
    found->second.unconfirmedSince = now;
}

} // namespace plumfold::core
