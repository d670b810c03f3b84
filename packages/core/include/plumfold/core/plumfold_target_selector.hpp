#pragma once

#include "plumfold/core/placement/plumfold_engine_speed_model.hpp"
#include "plumfold/core/places/plumfold_place_types.hpp"
#include "plumfold/core/plumfold_brittle_limiter.hpp"
#include "plumfold/core/plumfold_deployment.hpp"
#include "plumfold/core/plumfold_event_history.hpp"
#include "plumfold/core/plumfold_grant.hpp"
#include "plumfold/core/plumfold_load_leveling.hpp"
#include "plumfold/core/plumfold_prompt_parts.hpp"
#include "plumfold/core/plumfold_target_demands.hpp"
#include "plumfold/core/plumfold_target_directory.hpp"
#include "plumfold/core/rollout/plumfold_rollout_cohorts.hpp"
#include "plumfold/core/rollout/plumfold_rollout_recorder.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plumfold::core {

/// Work in progress that a target reported.
struct target_load {
    std::string target;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t usedTokens = 0; ///< KV cache in use that cannot be evicted.
    milliseconds age { 0 }; ///< Since the target sent the report.
    bool isBusy = false; ///< Executes an order and rejects requests that have not started.
    auto operator<=>(const target_load&) const = default;
};

/// Properties of a request that the selection of its target depends on.
struct placement_request {
    std::string service;
    std::uint64_t session = 0; ///< Requests with the same number share a prompt prefix; 0: none.
    std::string model; ///< Empty for plain services.
    std::uint64_t promptTokens = 0;
    std::uint64_t sharedTokens = 0; ///< Prompt tokens shared with other requests of the conversation.
    std::uint64_t outputTokens = 0; ///< Expected length of the output.
    std::optional<std::string> storedIn; ///< Failure domain of a store with the shared part.
    std::optional<shared_parts_cost> sharedCost; ///< Instead of the latency model's rates; nothing: unknown.
    std::vector<std::string> holders; ///< Addresses of targets that hold the shared part.
    std::set<std::string> excluded; ///< Targets that were already tried.
    std::string onlyTarget; ///< On which a place was granted; empty: any.
    bool isWarmOnly = false; ///< Excludes cold targets.
    bool isUnlimitedOnly = false; ///< Excludes targets that limit their requests per second.
    /// Only targets with this software version; an empty one matches none. Nothing: any.
    std::optional<std::string> softwareVersion;
    std::uint32_t rolloutDraw = rolloutFullShare - 1; ///< See cohort_request::draw.
    bool isRolloutPlanFresh = false; ///< See cohort_request::isPlanFresh.
    bool hasFailedAtNext = false; ///< See cohort_request::hasFailedAtNext.
    bool isCohortFallback = false; ///< See cohort_request::isFallback; set by the selector.
    milliseconds timeLeft { 0 }; ///< Until the caller's deadline.
};

/// @return the properties of a request that its cohort depends on.
inline cohort_request cohortRequestOf(const placement_request& request)
{
    return { request.rolloutDraw, request.isRolloutPlanFresh, request.hasFailedAtNext,
        request.softwareVersion.has_value(), request.isCohortFallback };
}

/// The target selected for one attempt.
struct placement {
    std::string target;
    std::string address;
    std::string weights; ///< Last known weight version of the target; empty for plain services.
    std::string failureDomain;
    std::string softwareVersion; ///< As last announced; empty: unknown.
    unix_milliseconds startedAt = 0; ///< Incarnation of the target.
    double predictedMs = 0; ///< Predicted time to the first event; 0 for plain services.
    double waitMs = 0; ///< Part of the prediction that is caused by other requests.
    bool isHolder = false; ///< The target is listed as a holder of the shared part.
    bool isTargetUnderLoad = false; ///< Other requests make the prediction uncertain.
    bool isCold = false; ///< The request may be sent only after its start was granted.
    bool isRateLimited = false; ///< The request may be sent only after its start was granted.
    rollout_assignment rollout {};
    std::uint32_t running = 0; ///< Requests on the target as last reported; 0 without a report.
    std::uint32_t waiting = 0; ///< Requests that waited there as last reported.
    std::uint32_t slots = 0; ///< Requests that the target runs at the same time.
    /// A former target at the full share of a rollout, because no next one was usable.
    bool isFullShareFallback = false;
    bool operator==(const placement&) const = default;
};

/// Why no target was selected.
enum class placement_failure : std::uint8_t {
    no_target, ///< No usable target is known.
    cold, ///< No usable target is left but cold ones on which no request may start now.
    full, ///< All are at their limit of concurrent requests.
    resting, ///< No usable target is left but some that want no requests from this entry now.
    rate_limited, ///< No usable target is left but some that get no further requests now by their own limit.
};

/// The result of a target selection.
struct placement_result {
    std::optional<placement> chosen;
    placement_failure reason = placement_failure::no_target; ///< Valid if nothing was chosen.
    milliseconds retryAfter { 0 }; ///< Time after which a retry may succeed.
    bool isBackedOff = false; ///< Nothing was chosen while targets are in back-off after failures.
};

/// Result of an attempt, as evidence of the target's health.
enum class attempt_result : std::uint8_t {
    answered,
    refused, ///< The target reported that it did not run the request.
    not_reached, ///< The connection could not be established.
    lost, ///< After the request was sent, the connection broke or the answer was unusable.
    failed, ///< The target answered with an error.
    abandoned, ///< The caller disconnected or the deadline passed.
    not_started, ///< Nothing was sent because a start on the target was not granted or not used in time.
};

/// Parameters of the prediction of a model engine's time to the first event.
struct engine_latency_model {
    double prefillTokensPerMs = 48; ///< Prefill rate, as specified by the users.
    double localFetchTokensPerMs = 150; ///< Fetch rate from a store in the target's failure domain.
    double remoteFetchTokensPerMs = 60; ///< Fetch rate from a store in a remote failure domain.
    double waitingRequestMs = 150; ///< Delay by each request that waits on the target.
    double unreportedRequestMs = 60; ///< Delay by each own request that is too recent for the report.
    double runningRequestMs = 3; ///< Delay by each running request, which slows the steps of the batch.
    double preemptionMemoryShare = 0.75; ///< Above this share of memory, running requests may be preempted.
    double memoryOverflowMs = 4'000; ///< Delay per memory share in excess of it; 1 is the whole memory.
};

/// Settings of a target_selector.
struct target_selector_options {
    std::string failureDomain; ///< Of this entry; local targets are preferred.
    std::string entryName {}; ///< Of this entry; different from those of all others.
    /// Back-off after a first failure; doubles with each further one that ends after the back-off.
    milliseconds initialBackoff { 400 };
    milliseconds maxBackoff { 5'000 };
    engine_latency_model latencyModel {};
    /// A silent target stays usable for this long after its latest answer.
    milliseconds maxAnswerAge { 2'000 };
    /// A target may pause and go on, so it is used for this long after it became silent if there is no other.
    milliseconds maxPause { 1'500 };
    milliseconds maxLoadAge { 1'500 }; ///< Older load reports are ignored.
    /// How long requests may start on stale weights after a newer version became current.
    milliseconds staleWeightsGracePeriod { 6'000 };
    /// How long requests may begin to run on stale weights after a newer version became current.
    milliseconds staleWeightsBound { 10'000 };
    /// Added to the predicted time of targets with stale weights.
    double staleWeightsPenaltyMs = 150;
    bool holdsNewVersions = false; ///< See rollout_cohorts.
};

/// Tracks the targets known to one entry and selects one for each attempt. Performs no I/O and reads no
/// clock.
class target_selector {
public:
    explicit target_selector(target_selector_options options)
        : m_options(std::move(options))
        , m_brittleLimiter(m_options.entryName)
        , m_cohorts(m_options.holdsNewVersions)
    {
    }

    /// Applies announcements of targets.
    /// @param isComplete whether they cover all targets; those that are missing count as leaving.
    void applyAnnouncements(const std::vector<target_announcement>& targets, bool isComplete, instant now);

    /// Excludes the targets of these failure domains; replaces the former set.
    void setOutOfService(std::set<std::string> failureDomains);
    /// Sets the number of the latest return to service by failure domain. From the return on, targets count
    /// as cold for the cold time of their service, since they may have become cold without an announcement
    /// that has arrived yet. A return whose time is not known counts as taking place now.
    void setReturns(const std::map<std::string, std::uint64_t>& returns, instant now);
    /// Applies when failure domains returned to service. Call it before setReturns().
    /// @param returns their ages must not be overestimated.
    void applyReturnAges(const std::vector<event_age>& returns, instant now);
    /// Sets the current weight version by model. A version whose naming is not known counts as named now.
    void setWeights(const std::map<std::string, std::uint64_t>& weights, instant now);
    /// Applies when weight versions were named. Call it before setWeights().
    /// @return those of a later version than was known.
    std::vector<event_age> applyWeightNamings(const std::vector<event_age>& namings, instant now);
    void setServices(const std::vector<service_limits>& services);
    /// Applies load reports; those of unknown targets are ignored.
    void applyLoads(const std::vector<target_load>& loads, instant now);
    /// @param count entries that send requests to the same targets.
    void setEntryCount(std::uint32_t count, instant now)
    {
        m_entries = count;
        m_brittleLimiter.setEntryCount(count, now);
    }

    /// Sets the latest rollout of software versions by service.
    void setRollouts(const std::map<std::string, rollout_record>& rollouts, instant now);
    /// Applies that the rollouts were confirmed, see rollout_cohorts::onPlanConfirmed().
    void onRolloutsConfirmed(instant at, instant now);
    /// @return the software versions whose hold has begun or ended since the last call.
    std::vector<version_hold> takeVersionHolds() { return std::exchange(m_versionHolds, {}); }
    /// @return the barred versions that have joined, see rollout_cohorts::takeBarredVersions().
    std::vector<barred_version> takeBarredVersions() { return m_cohorts.takeBarredVersions(); }
    /// @return how rollouts restrict the use of a target; not at all if it is not known.
    rollout_standing rolloutStanding(const std::string& target) const;

    /// Selects a target and records the start of an attempt on it. Each must be ended by onAttemptEnded().
    placement_result choose(const placement_request& request, instant now);

    /// Lists the targets that choose() considers for a request to a plain service; nothing is recorded.
    /// @return the best ones first, at most `maxPlaceCandidates`. withoutPlace is the number of this entry's
    /// requests on the target, with and without a place.
    std::vector<place_candidate> placeCandidates(const placement_request& request, instant now);
    /// @return the requests that the usable targets of a service run at the same time.
    std::uint32_t usableSlots(const std::string& service, instant now) const;
    /// @return entries that send requests to the same targets.
    std::uint32_t entryCount() const { return m_entries; }

    /// Records the end of an attempt that choose() started.
    /// @param tokens memory that was expected for the attempt, see expectedTokens().
    void onAttemptEnded(const std::string& target, attempt_result result, std::uint64_t tokens, instant now);

    /// Records what a target's response tells about its room for requests.
    /// @param maxRejections rejections per second that the target bears; nothing: it is not brittle.
    /// @param isRejection the target did not run the request for want of room.
    void onResponse(
        const std::string& target, std::optional<std::uint32_t> maxRejections, bool isRejection, instant now);

    /// Records that a target may still run a request whose attempt was ended by this entry.
    void onAttemptCancelled(const std::string& target, instant now);

    /// @return whether the targets of a service declare themselves brittle.
    bool isBrittle(const std::string& service) const { return m_brittleLimiter.isBrittle(service); }

    /// Excludes a cold target for a time because no request may start on it.
    void onColdStartRefused(const std::string& target, instant until);

    /// Applies demands of targets that other processes know.
    /// @return those that have changed here.
    std::vector<target_demand> applyDemands(const std::vector<target_demand>& demands, instant now);
    /// Applies what a response states.
    /// @return the target's demand if it has changed.
    std::optional<target_demand> onStatement(const target_statement& statement, instant now)
    {
        return m_demands.onResponse(statement, now);
    }
    /// @return the demand of a target; nothing if it has made none.
    std::optional<target_demand> demandOf(const std::string& target) const;
    /// @return the number of targets that limit their requests per second.
    std::size_t limitedTargets() const { return m_demands.limitedTargets(); }
    /// @return whether a target limits its requests per second.
    bool isRateLimited(const std::string& target) const;
    /// Records that a target wants no requests from this entry until a time.
    /// @param startedAt incarnation of the target.
    void onRestRequested(const std::string& target, unix_milliseconds startedAt, instant until);
    /// @return whether a target wants no requests from this entry now.
    bool isResting(const std::string& target, instant now) const;
    /// @return the names of the targets of a service that want no requests from this entry now.
    std::set<std::string> restingTargets(const std::string& service, instant now) const;

    /// Records the decision on a start on a target that limits its requests per second.
    void onRateLimitDecision(const std::string& target, const grant_decision& decision, instant now);
    /// Decides on such a start while the control VM that grants them does not answer. Every entry has a small
    /// part of the limit then.
    grant_decision tryStartWithoutIssuer(const std::string& target, instant now);

    /// Ends all back-offs: the failures were not those of the targets.
    void clearBackoffs(instant now);

    /// @return the number of targets that announce themselves as ready.
    std::size_t readyTargets() const;

    /// @return the KV cache tokens that a request is expected to occupy when it ends.
    static std::uint64_t expectedTokens(const placement_request& request)
    {
        return request.promptTokens + request.outputTokens;
    }

    /// Excludes a target for a short time, or until it announces other weights, after it rejected a request
    /// because it has another weight version than last known.
    void markWeightsUnconfirmed(const std::string& target, instant now);

    /// @return the current weight version of a model. If none is set, that of any target with the model;
    /// empty if there is none.
    std::string currentWeightVersion(const std::string& model) const;

    /// Lets predictions follow what first events show; without it, they use the latency model alone.
    void enableSpeedModel()
    {
        m_speed.emplace(engine_speed { m_options.latencyModel.prefillTokensPerMs,
            m_options.latencyModel.runningRequestMs, m_options.latencyModel.waitingRequestMs });
    }
    /// Records a first event; ignored unless the speed model is enabled.
    /// @return whether its figures are possible.
    bool recordFirstEvent(const engine_observation& observation, instant now);
    /// @return the latency model with the figures learned for a service.
    const engine_latency_model& latencyOf(const std::string& service) const;

    const engine_latency_model& latencyModel() const { return m_options.latencyModel; }

    /// @param address ip:port
    /// @return the engine at an address as a source of KV parts, or nothing if no responsive one is known.
    std::optional<part_source> findSource(const std::string& address, instant now) const;

    /// @return whether a target neither announces itself nor has recently answered this entry.
    bool isSilent(const std::string& target, instant now) const;

    /// @return whether choose() would find a target on which a request may start without a grant; nothing is
    /// recorded.
    bool hasWarmTarget(const placement_request& request, instant now) const;

    /// @return whether a target has announced that it stops, or is no longer known.
    bool isLeaving(const std::string& target) const;

    /// @return whether a target is cold and its service limits the requests to cold targets.
    bool isCold(const std::string& target, instant now) const;

    /// @return whether requests for a model may be sent to a target with the weights that it has.
    bool mayStart(const std::string& target, const std::string& model, instant now) const;

    /// @param version that the target had when the request was sent to it.
    /// @return whether a request that waits on a target must be cancelled, so that it does not begin to run
    /// on stale weights after their time.
    bool mustRecall(const std::string& model, const std::string& version, instant now) const;

    /// @return whether a target is still known in this incarnation.
    bool isIncarnation(const std::string& target, unix_milliseconds startedAt) const;

    std::size_t size() const { return m_targets.size(); }

    /// @return the number of targets of a service.
    std::size_t targetsOf(const std::string& service) const;

private:
    struct tracked_target {
        target_announcement last;
        instant coldUntil {}; ///< As announced.
        instant coldStartRefusedUntil {};
        instant restsUntil {}; ///< The target wants no requests from this entry before.
        instant limitedStartRefusedUntil {}; ///< By the target's limit of requests per second.
        std::optional<instant> nextStartWithoutIssuer;
        instant backoffUntil {};
        std::optional<instant> lastAnswerAt; ///< Latest answer to this entry.
        instant silentSince {}; ///< When this entry learned that the target is silent.
        milliseconds currentBackoff { 0 };
        std::uint32_t inFlight = 0;
        std::uint64_t inFlightTokens = 0;
        std::optional<target_load> load; ///< Latest report.
        instant loadAt {};
        /// Recent own attempts that a load report may not include: start and expected tokens.
        std::deque<std::pair<instant, std::uint64_t>> unreportedAttempts;
        bool weightsUnconfirmed = false;
        instant unconfirmedSince {};
        rollout_standing rollout {};
        engine_slowness slowness {}; ///< As the speed model has it.
        version_slot versionSlot {};
    };
    /// Targets that may get a request, and what keeps others from it.
    struct candidate_list {
        std::vector<tracked_target*> targets;
        std::optional<instant> nextColdStart;
        std::optional<instant> nextLimitedStart;
        bool isFull = false; // a target is at its limit of concurrent requests
    };
    candidate_list listCandidates(const placement_request& request, instant now);
    std::tuple<double, std::uint64_t, std::string> plainCost(const tracked_target& target) const;
    placement_result chooseInCohort(const placement_request& request, instant now);
    bool hasWarmTargetInCohort(const placement_request& request, instant now) const;
    bool mayFallBack(const placement_request& request, instant now) const;
    bool isAnyNextUsable(const placement_request& request, instant now) const;
    bool mayStartNow(const tracked_target& target, const placement_request& request, instant now) const;
    void assignCohorts(instant now);
    rollout_assignment rolloutAssignment(const tracked_target& target, instant now) const;
    bool isResponsive(const tracked_target& target, instant now) const;
    bool mayBePaused(const tracked_target& target, instant now) const;
    bool isUsable(const tracked_target& target, const placement_request& request, instant now) const;
    bool isAvailable(const tracked_target& target, const placement_request& request, instant now) const;
    bool lacksModel(const tracked_target& target, const std::string& model) const;
    bool hasCurrentWeights(const tracked_target& target, const std::string& model) const;
    bool mayStart(const tracked_target& target, const std::string& model, instant now) const;
    static std::uint64_t versionNumber(const std::string& version);
    static std::uint64_t weightVersionOf(const tracked_target& target, const std::string& model);
    bool isCold(const tracked_target& target, instant now) const;
    bool isAtLimit(const tracked_target& target, const placement_request& request, instant now) const;
    bool isRateLimited(const tracked_target& target) const;
    std::optional<instant> nextRestEnd(const placement_request& request, instant now) const;
    tracked_target* selectTarget(
        std::vector<tracked_target*>& candidates, const placement_request& request, instant now) const;
    tracked_target* selectForSession(
        std::vector<tracked_target*>& candidates, const placement_request& request, instant now) const;
    double staleWeightsPenalty(const tracked_target& target, const placement_request& request) const;
    double waitMs(const tracked_target& target, const placement_request& request, instant now) const;
    static bool isHolder(const tracked_target& target, const placement_request& request);
    double cacheMissMs(
        const tracked_target& target, const placement_request& request, bool isPreferred) const;
    double expectedLevelMs(const std::vector<tracked_target*>& candidates, const std::vector<double>& waitsMs,
        const placement_request& request, instant now) const;
    double prefillMs(const tracked_target& target, const placement_request& request, bool isPreferred) const;
    placement recordStart(tracked_target& target, const placement_request& request, instant now);
    bool isUnderLoad(const tracked_target& target, instant now) const;
    tracked_target* preferredTarget(
        const std::vector<tracked_target*>& candidates, std::uint64_t session) const;

    target_selector_options m_options;
    const tracked_target* targetAt(const std::string& address) const;

    std::map<std::string, tracked_target> m_targets;
    /// Targets that are not leaving, by address. Built when it is needed after a change.
    mutable std::optional<std::unordered_map<std::string, const tracked_target*>> m_targetsByAddress;
    std::set<std::string> m_outOfService;
    event_history m_returns; // of failure domains to service
    event_history m_weights;
    std::map<std::string, service_limits> m_services;
    std::uint32_t m_entries = 1;
    std::map<std::string, work_rate> m_sessionWork; // of this entry's requests with a session, by service
    brittle_limiter m_brittleLimiter;
    target_demands m_demands;
    rollout_cohorts m_cohorts;
    std::vector<version_hold> m_versionHolds; // not taken yet
    std::map<std::string, engine_latency_model> m_learnedLatency; // by service
    std::optional<engine_speed_model> m_speed; // if predictions follow what first events show
};

} // namespace plumfold::core
