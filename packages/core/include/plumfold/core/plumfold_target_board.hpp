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
    milliseconds age { 0 }; ///< Since the target told.
    bool isBusy = false; ///< It carries out an order and refuses what has not begun.
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
    bool isTargetLoaded = false; ///< Other requests make the time uncertain.
    bool operator==(const placement&) const = default;
};

/// Why no target was chosen.
enum class placement_refusal : std::uint8_t {
    no_target, ///< None is known that takes work.
    cold, ///< All that take work are cold and have got what they bear.
    full, ///< All are at their limit of requests.
};

/// The answer to a request for a target.
struct placement_answer {
    std::optional<placement> chosen;
    placement_refusal reason = placement_refusal::no_target; ///< Set when nothing was chosen.
    milliseconds retryAfter { 0 }; ///< When a later try makes sense.
};

/// How an attempt on a target ended, for the target's sake.
enum class attempt_end : std::uint8_t {
    answered,
    refused, ///< The target said that it did not run the request.
    not_reached, ///< No connection came about.
    lost, ///< The connection broke or an answer was not usable after the request was sent.
    failed, ///< The target answered with a failure of its own.
    given_up, ///< The caller left or time ran out.
};

/// Times that predict how long a model engine takes to the first event.
struct engine_speeds {
    double readTokensPerMs = 48; ///< Prompt tokens that an engine reads, from the users' sheet.
    double fetchTokensPerMs = 150; ///< Tokens that come from a store in the same failure domain.
    double farFetchTokensPerMs = 60; ///< Tokens that come from a store in another one.
    double waitingMs = 150; ///< Each request that waits before this one.
    double begunMs = 60; ///< Each own request that the report does not show yet.
    double runningMs = 3; ///< Each request in the same batch slows the steps.
    double memoryShare = 0.75; ///< From this share of memory on, running requests may be put back.
    double overflowMs = 4'000; ///< For each whole memory beyond that share.
};

/// Limits of the choice.
struct board_options {
    std::string failureDomain; ///< Of this entry; near targets are taken first.
    double coldShare = 1.0; ///< Of a service's cold rate that all entries together use.
    milliseconds suspension { 400 }; ///< A target that failed is left alone so long at first.
    milliseconds longestSuspension { 5'000 };
    engine_speeds speeds {};
    milliseconds answerTrust { 2'000 }; ///< A silent target that answered so lately still gets requests.
    milliseconds loadBound { 1'500 }; ///< A reported load counts so long.
    /// How long older weights may begin a request after newer were named.
    milliseconds staleWeightsBound { 6'000 };
    /// What a request may be delayed to begin on the named weights rather than on older ones.
    double olderWeightsMs = 150;
};

/// The targets as one entry sees them, and the choice among them. No input, output or clock.
class target_board {
public:
    explicit target_board(board_options options)
        : m_options(std::move(options))
    {
    }

    /// Takes announcements.
    /// @param everything whether they are all targets that there are.
    void take(const std::vector<target_announcement>& targets, bool everything, instant now);

    /// Takes what operators put in force.
    void setOutOfService(std::set<std::string> failureDomains) { m_outOfService = std::move(failureDomains); }
    void setWeights(const std::map<std::string, std::uint64_t>& weights, instant now);
    void setServices(const std::vector<service_limits>& services);
    /// Takes what targets reported of their work.
    void takeLoads(const std::vector<target_load>& loads, instant now);
    /// @param count entries that share the cold targets' rates.
    void setEntries(std::uint32_t count) { m_entries = count; }

    /// Chooses a target and counts the attempt as begun.
    placement_answer choose(const placement_request& request, instant now);

    /// Takes how an attempt ended that choose() began.
    /// @param tokens memory that the attempt was expected to take, see expectedTokens().
    void ended(const std::string& target, attempt_end how, std::uint64_t tokens, instant now);

    /// @return the memory that a request is expected to take at its end.
    static std::uint64_t expectedTokens(const placement_request& request)
    {
        return request.promptTokens + request.outputTokens;
    }

    /// Takes that a target reported another weight version than it was known to have.
    void forgetWeights(const std::string& target, instant now);

    /// @return the named weight version of a model, or that of a target that has it while none is named.
    std::string weightsOf(const std::string& model) const;

    const engine_speeds& speeds() const { return m_options.speeds; }

    /// @param address ip:port
    /// @return the engine at an address as a source of KV parts, or nothing when none there is thought to
    /// answer.
    std::optional<part_source> findSource(const std::string& address, instant now) const;

    /// @return whether a target neither announces itself nor has answered this entry lately.
    bool isSilent(const std::string& target, instant now) const;

    std::size_t size() const { return m_targets.size(); }

private:
    struct board_target {
        target_announcement last;
        instant coldUntil {};
        std::optional<instant> lastColdStart; ///< When an attempt was last begun while it was cold.
        instant suspendedUntil {};
        std::optional<instant> answeredAt; ///< The latest answer to this entry.
        milliseconds nextSuspension { 0 };
        std::uint32_t inFlight = 0;
        std::uint64_t inFlightTokens = 0;
        std::optional<target_load> load; ///< As last reported.
        instant loadAt {};
        std::deque<std::pair<instant, std::uint64_t>> begun; ///< Own attempts that a report may not show yet.
        bool weightsDoubted = false;
        instant doubtedAt {};
    };
    struct named_weights {
        std::string version;
        instant namedAt {};
    };

    bool isTrusted(const board_target& target, instant now) const;
    bool isUsable(const board_target& target, const placement_request& request, instant now) const;
    bool hasNamedWeights(const board_target& target, const std::string& model) const;
    bool mayBeginOnOlder(const std::string& model, instant now) const;
    milliseconds coldSpacing(const board_target& target) const;
    board_target* pick(
        std::vector<board_target*>& candidates, const placement_request& request, instant now) const;
    board_target* pickForSession(
        std::vector<board_target*>& candidates, const placement_request& request, instant now) const;
    double olderMs(const board_target& target, const placement_request& request) const;
    double waitMs(const board_target& target, const placement_request& request, instant now) const;
    static bool isHolder(const board_target& target, const placement_request& request);
    double missMs(const board_target& target, const placement_request& request, bool isHome) const;
    double predictedMs(
        const board_target& target, const placement_request& request, bool isHome, instant now) const;
    placement begin(board_target& target, const placement_request& request, instant now);
    bool isLoaded(const board_target& target, instant now) const;
    board_target* homeOf(const std::vector<board_target*>& candidates, std::uint64_t session) const;

    board_options m_options;
    std::map<std::string, board_target> m_targets;
    std::set<std::string> m_outOfService;
    std::map<std::string, named_weights> m_weights;
    std::map<std::string, service_limits> m_services;
    std::uint32_t m_entries = 1;
};

/// Repeats towards each service, limited to a share of its requests and this entry's part of a common
/// reserve.
class repeat_budget {
public:
    /// @param share repeats per request.
    /// @param reserve repeats that all entries together may add in a window.
    repeat_budget(double share, double reserve, milliseconds window)
        : m_share(share)
        , m_reserve(reserve)
        , m_window(window)
    {
    }

    void setEntries(std::uint32_t count) { m_entries = count; }
    void onRequest(const std::string& service, instant now);
    /// @return whether a repeat may be sent; it is counted then.
    bool tryTake(const std::string& service, instant now);

private:
    struct service_window {
        std::deque<instant> requests;
        std::deque<instant> repeats;
    };
    void expire(service_window& window, instant now) const;

    double m_share;
    double m_reserve;
    milliseconds m_window;
    std::uint32_t m_entries = 1;
    std::map<std::string, service_window> m_services;
};

} // namespace plumfold::core
