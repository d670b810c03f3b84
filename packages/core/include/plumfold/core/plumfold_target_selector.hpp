#pragma once

#include "plumfold/core/plumfold_deployment.hpp"
#include "plumfold/core/plumfold_prompt_parts.hpp"
#include "plumfold/core/plumfold_target_directory.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace plumfold::core {

/// What a target reported of its work.
struct target_load {
    std::string target;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t usedTokens = 0; ///< Memory that cannot yield.
    milliseconds age { 0 }; ///< Since the target announced.
    bool isBusy = false; ///< It carries out an order and refuses what has not unreportedAttempts.
    auto operator<=>(const target_load&) const = default;
};

/// What a choice of target needs to know of a request.
struct placement_request {
    std::string service;
    std::uint64_t session = 0; ///< Requests with the same number share a prompt; 0: none.
    std::string model; ///< Empty for plain services.
    std::uint64_t promptTokens = 0;
    std::uint64_t sharedTokens = 0; ///< Of the prompt, those that other requests of the conversation share.
    std::uint64_t outputTokens = 0; ///< As far as expected.
    std::optional<std::string> storedIn; ///< Failure domain of a store that holds the shared part.
    std::vector<std::string> holders; ///< Addresses of the targets that hold the shared part.
    std::set<std::string> excluded; ///< Targets that were tried already.
    milliseconds timeLeft { 0 }; ///< Until the caller's deadline.
};

/// A target that was chosen for one attempt.
struct placement {
    std::string target;
    std::string address;
    std::string weights; ///< The weight version that the target is known to have; empty for plain services.
    std::string failureDomain;
    double predictedMs = 0; ///< Expected time to the first event; 0 for plain services.
    double waitMs = 0; ///< Of the prediction, what others in front of the request cause.
    bool isHolder = false; ///< The target is thought to hold the conversation's shared part.
    bool isTargetUnderLoad = false; ///< Other requests make the time uncertain.
    bool operator==(const placement&) const = default;
};

/// Why no target was chosen.
enum class placement_failure : std::uint8_t {
    no_target, ///< None is known that takes work.
    cold, ///< All that take work are cold and have got what they bear.
    full, ///< All are at their limit of requests.
};

/// The answer to a request for a target.
struct placement_result {
    std::optional<placement> chosen;
    placement_failure reason = placement_failure::no_target; ///< Set when nothing was chosen.
    milliseconds retryAfter { 0 }; ///< When a later try makes sense.
};

/// How an attempt on a target ended, for the target's sake.
enum class attempt_result : std::uint8_t {
    answered,
    refused, ///< The target said that it did not run the request.
    not_reached, ///< No connection came about.
    lost, ///< The connection broke or an answer was not usable after the request was sent.
    failed, ///< The target answered with a failure of its own.
    abandoned, ///< The caller left or time ran out.
};

/// Times that predict how long a model engine takes to the first event.
struct engine_latency_model {
    double prefillTokensPerMs = 48; ///< Prompt tokens that an engine reads, from the users' sheet.
    double localFetchTokensPerMs = 150; ///< Tokens that come from a store in the same failure domain.
    double remoteFetchTokensPerMs = 60; ///< Tokens that come from a store in another one.
    double waitingRequestMs = 150; ///< Each request that waits before this one.
    double unreportedRequestMs = 60; ///< Each own request that the report does not show yet.
    double runningRequestMs = 3; ///< Each request in the same batch slows the steps.
    double preemptionMemoryShare = 0.75; ///< From this share of memory on, running requests may be put back.
    double memoryOverflowMs = 4'000; ///< For each whole memory beyond that share.
};

/// Limits of the choice.
struct target_selector_options {
    std::string failureDomain; ///< Of this entry; near targets are taken first.
    double coldRateFactor = 1.0; ///< Of a service's cold rate that all entries together use.
    milliseconds initialBackoff { 400 }; ///< A target that failed is left alone so long at first.
    milliseconds maxBackoff { 5'000 };
    engine_latency_model latencyModel {};
    milliseconds maxAnswerAge { 2'000 }; ///< A silent target that answered so lately still gets requests.
    milliseconds maxLoadAge { 1'500 }; ///< A reported load counts so long.
    /// How long older weights may begin a request after newer were named.
    milliseconds staleWeightsGracePeriod { 6'000 };
    /// What a request may be delayed to begin on the named weights rather than on older ones.
    double staleWeightsPenaltyMs = 150;
};

/// The targets as one entry sees them, and the choice among them. No input, output or clock.
class target_selector {
public:
    explicit target_selector(target_selector_options options)
        : m_options(std::move(options))
    {
    }

    /// Takes announcements.
    /// @param isComplete whether they are all targets that there are.
    void applyAnnouncements(const std::vector<target_announcement>& targets, bool isComplete, instant now);

    /// Takes what operators put in force.
    void setOutOfService(std::set<std::string> failureDomains) { m_outOfService = std::move(failureDomains); }
    void setWeights(const std::map<std::string, std::uint64_t>& weights, instant now);
    void setServices(const std::vector<service_limits>& services);
    /// Takes what targets reported of their work.
    void applyLoads(const std::vector<target_load>& loads, instant now);
    /// @param count entries that share the cold targets' rates.
    void setEntryCount(std::uint32_t count) { m_entries = count; }

    /// Chooses a target and counts the attempt as unreportedAttempts.
    placement_result choose(const placement_request& request, instant now);

    /// Takes how an attempt ended that choose() began.
    /// @param tokens memory that the attempt was expected to take, see expectedTokens().
    void onAttemptEnded(const std::string& target, attempt_result result, std::uint64_t tokens, instant now);

    /// @return the memory that a request is expected to take at its end.
    static std::uint64_t expectedTokens(const placement_request& request)
    {
        return request.promptTokens + request.outputTokens;
    }

    /// Takes that a target reported another weight version than it was known to have.
    void markWeightsUnconfirmed(const std::string& target, instant now);

    /// @return the named weight version of a model, or that of a target that has it while none is named.
    std::string currentWeightVersion(const std::string& model) const;

    const engine_latency_model& latencyModel() const { return m_options.latencyModel; }

    /// @param address ip:port
    /// @return the engine at an address as a source of KV parts, or nothing when none there is thought to
    /// answer.
    std::optional<part_source> findSource(const std::string& address, instant now) const;

    /// @return whether a target neither announces itself nor has answered this entry lately.
    bool isSilent(const std::string& target, instant now) const;

    std::size_t size() const { return m_targets.size(); }

private:
    struct tracked_target {
        target_announcement last;
        instant coldUntil {};
        std::optional<instant>
            lastStartWhileCold; ///< When an attempt was last unreportedAttempts while it was cold.
        instant backoffUntil {};
        std::optional<instant> lastAnswerAt; ///< The latest answer to this entry.
        milliseconds currentBackoff { 0 };
        std::uint32_t inFlight = 0;
        std::uint64_t inFlightTokens = 0;
        std::optional<target_load> load; ///< As last reported.
        instant loadAt {};
        std::deque<std::pair<instant, std::uint64_t>>
            unreportedAttempts; ///< Own attempts that a report may not show yet.
        bool weightsUnconfirmed = false;
        instant unconfirmedSince {};
    };
    struct current_weights {
        std::string version;
        instant currentSince {};
    };

    bool isResponsive(const tracked_target& target, instant now) const;
    bool isUsable(const tracked_target& target, const placement_request& request, instant now) const;
    bool hasCurrentWeights(const tracked_target& target, const std::string& model) const;
    bool mayStartOnStaleWeights(const std::string& model, instant now) const;
    milliseconds coldRequestInterval(const tracked_target& target) const;
    tracked_target* selectTarget(
        std::vector<tracked_target*>& candidates, const placement_request& request, instant now) const;
    tracked_target* selectForSession(
        std::vector<tracked_target*>& candidates, const placement_request& request, instant now) const;
    double staleWeightsPenalty(const tracked_target& target, const placement_request& request) const;
    double waitMs(const tracked_target& target, const placement_request& request, instant now) const;
    static bool isHolder(const tracked_target& target, const placement_request& request);
    double cacheMissMs(
        const tracked_target& target, const placement_request& request, bool isPreferred) const;
    double predictedMs(
        const tracked_target& target, const placement_request& request, bool isPreferred, instant now) const;
    placement startAttempt(tracked_target& target, const placement_request& request, instant now);
    bool isUnderLoad(const tracked_target& target, instant now) const;
    tracked_target* preferredTarget(
        const std::vector<tracked_target*>& candidates, std::uint64_t session) const;

    target_selector_options m_options;
    std::map<std::string, tracked_target> m_targets;
    std::set<std::string> m_outOfService;
    std::map<std::string, current_weights> m_weights;
    std::map<std::string, service_limits> m_services;
    std::uint32_t m_entries = 1;
};

/// Repeats towards each service, limited to a share of its requests and this entry's part of a common
/// reserve.
class windowed_retry_budget {
public:
    /// @param share retries per request.
    /// @param reserve retries that all entries together may add in a window.
    windowed_retry_budget(double share, double reserve, milliseconds window)
        : m_share(share)
        , m_reserve(reserve)
        , m_window(window)
    {
    }

    void setEntryCount(std::uint32_t count) { m_entries = count; }
    void onRequest(const std::string& service, instant now);
    /// @return whether a repeat may be sent; it is counted then.
    bool tryTake(const std::string& service, instant now);

private:
    struct service_window {
        std::deque<instant> requests;
        std::deque<instant> retries;
    };
    void expire(service_window& window, instant now) const;

    double m_share;
    double m_reserve;
    milliseconds m_window;
    std::uint32_t m_entries = 1;
    std::map<std::string, service_window> m_services;
};

} // namespace plumfold::core
