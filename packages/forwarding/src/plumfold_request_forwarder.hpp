#pragma once

#include "plumfold_caller_connection.hpp"
#include "plumfold_forwarding_state.hpp"
#include "plumfold_relay_protocol.hpp"

#include "plumfold/core/plumfold_event_cursor.hpp"
#include "plumfold/core/plumfold_request_traits.hpp"
#include "plumfold/core/plumfold_stream_origin.hpp"
#include "plumfold/platform/plumfold_platform_requests.hpp"

#include <optional>

namespace plumfold::forwarding {

/// Limit for each write to a caller.
inline constexpr core::milliseconds callerWriteTimeout { 3'000 };
inline constexpr core::milliseconds defaultDeadline { 30'000 }; ///< Of requests without one.
inline constexpr unsigned httpVersion = 11;
inline constexpr unsigned statusOk = 200;
/// For requests that no helper took.
inline constexpr core::milliseconds relayRetryAfter { 500 };

/// How the latest request for a place on a target of a contended service ended.
enum class place_result : std::uint8_t {
    none, ///< No place was asked for.
    granted,
    refused,
    no_issuer, ///< No issuer has decided, and the request is sent without a place.
};

/// What follows a request for a place.
enum class place_step : std::uint8_t {
    send, ///< The request has a target and a place on it.
    repeat, ///< A target is to be chosen again.
    over, ///< The request is not sent any more.
};

/// Why the wait for a place was ended by this entry.
enum class place_drop : std::uint8_t {
    stopping,
    deployment_changed,
    caller_gone,
};

/// Forwards one request of a caller to a target, with retries on others, until it has a final response.
class request_forwarder {
public:
    /// @param relayed what another entry has decided that relays the request; nothing for a caller's request.
    request_forwarder(forwarding_state& state, caller_connection& caller,
        http::request<http::string_body> request, std::optional<relayed_request> relayed = {});
    ~request_forwarder();
    request_forwarder(const request_forwarder&) = delete;
    request_forwarder& operator=(const request_forwarder&) = delete;

    /// Forwards the request and sends the final response to the caller.
    /// @return whether the caller's connection is kept alive.
    task<bool> run();

    /// Lets the request end with a final response by a time, since this entry stops.
    void stopBy(core::instant at);
    /// Lets a request that waits for a place choose its target again.
    void onDeploymentChanged() { dropPlaceWait(place_drop::deployment_changed); }

private:
    using target_response_parser = http::response_parser<http::buffer_body>;

    /// A complete response, from a target or generated here.
    struct buffered_response {
        unsigned status = 0;
        http::fields fields;
        std::string body;
    };

    /// A request whose connection to its target was lost.
    struct lost_request {
        std::string id;
        core::request_traits traits;
        std::string target;
        core::unix_milliseconds startedAt = 0; // incarnation of the target
        std::string address;
        std::string service;
    };

    task<void> waitForDeployment();
    bool admit();
    bool admitRelayed();
    core::host_name host() const;
    bool isIdempotent() const;
    /// @return whether the time of the request ends with this entry instead of with the caller's deadline.
    bool isStopped() const { return m_stopAt.has_value(); }
    bool hasBody() const;
    std::size_t maxAttempts() const;
    relay_result relayResult(bool isFromTarget) const;
    bool mustRelay();
    bool mayRelayAfter(const core::placement_result& selection) const;
    task<bool> relay();
    task<core::attempt_result> relayOnce(const core::entry_address& helper);
    relayed_request makeRelayedRequest() const;
    void reject(http::status status, std::string reason, std::optional<core::milliseconds> retryAfter = {});
    bool isTakeUp() const;
    std::string customerName() const;
    void identify();
    task<bool> findOrigin();
    void beginStream(std::string softwareVersion);
    task<void> runAttempts();
    bool needsPlace();
    void dropPlaceWait(place_drop reason);
    core::place_request placeRequest(const core::placement_request& request);
    task<place_step> acquirePlace(
        const core::placement_request& request, core::placement_result& selection, place_holder& place);
    bool useGrantedTarget(const core::place_decision& decision, core::placement_result& selection);
    void recordPlaceResult(place_result result);
    const char* placeResultName() const;
    void rejectUnlessRun(const char* reason, core::milliseconds retryAfter);
    task<core::attempt_result> attemptWithPlace(const core::placement& placement, place_holder& place);
    bool mayRetry() const;
    task<bool> takeRetryBudget();
    task<bool> requestColdStart(const core::placement& placement);
    task<bool> requestLimitedStart(const core::placement& placement);
    task<bool> requestStart(const core::placement& placement);
    bool hasStart(const core::placement& placement) const;
    static bool mayWaitFor(const core::placement_result& selection, core::instant until);
    task<void> onTargetLost(const core::placement& placement);
    static task<bool> reportIfEnded(forwarding_state& state, lost_request lost);
    bool rejectCondemned();
    bool rejectOverload(const core::placement& placement);
    std::uint32_t priority() const;
    void rejectWithoutTarget(const core::placement_result& selection);
    void finishUnanswered();
    task<core::attempt_result> attempt(const core::placement& placement);
    task<std::unique_ptr<target_connection>> connectTo(const core::placement& placement);
    task<error_code> send(target_connection& connection, const core::placement& placement);
    bool mayHaveResponded(const error_code& sendError) const;
    task<core::attempt_result> receive(target_connection& connection, const error_code& sendError);
    task<core::attempt_result> receiveBuffered(
        target_response_parser& parser, const platform::target_response_head& head);
    task<core::attempt_result> receiveRelayFailure(
        target_response_parser& parser, const relay_result& relayed);
    task<core::attempt_result> relayStream(target_response_parser& parser);
    void recordRoom(const platform::target_response_head& head);
    void recordDemands(const platform::target_response_head& head);
    void onBytes();
    task<bool> discardBody(target_response_parser& parser);
    task<bool> readChunk(target_response_parser& parser, std::string& chunk);
    task<bool> relayChunk(std::string chunk);
    task<bool> writeStreamHead();
    void recordPrediction();
    void recordSpeed();
    core::attempt_result classifyFailure(const error_code& error);
    bool mayKeepCaller() const;
    task<bool> writeResponse();
    task<bool> endStream();
    void onCallerDisconnected();
    void armWatchdog();
    void onWatchdog();
    bool isTargetQuiet(core::instant now) const;
    task<void> replaceUnresponsiveTarget(std::weak_ptr<bool> alive);
    void armDeadline();
    void log(bool delivered);

    core::placement_request placementRequest() const;
    core::cohort_request cohortRequest() const;
    core::rollout_stratum rolloutStratum() const;
    bool mayBeSentByRollout(const core::placement& placement) const;
    bool mustRecallForRollout() const;
    void recall(const char* reason);
    void onRolloutAnswer(core::instant now);
    void onRolloutAttemptEnded(core::attempt_result result, bool isLinkFault);
    platform::target_request_head makeTargetHead(const core::placement& placement);
    void planParts(const core::placement& placement, platform::target_request_head& head);
    std::optional<core::fetch_target> fetchTarget() const;
    bool arePartsCurrent() const;
    std::string cacheNamespaceOf(const std::string& weights) const;
    core::milliseconds timeLeft() const;

    forwarding_state& m_state;
    caller_connection& m_caller;
    http::request<http::string_body> m_request;
    std::optional<relayed_request> m_relayed; // of a request that another entry relays
    platform::caller_request_head m_head;
    std::shared_ptr<const core::deployment> m_deployment;
    const core::route* m_route = nullptr;
    const core::customer_access* m_customer = nullptr;
    std::string m_service;
    core::request_traits m_traits;
    std::vector<core::request_trait> m_traitList; // of m_traits
    core::instant m_receivedAt;
    core::instant m_deadline {};
    std::optional<core::instant>
        m_stopAt; // when this entry ends the request; nothing: not before its deadline

    std::set<std::string> m_attemptedTargets; // a request was sent to these
    std::set<std::string> m_unreachableTargets;
    std::size_t m_excludedBefore = 0; // attempted targets of the entry that relayed the request
    std::string m_helper; // entry to which the current attempt relays the request; empty: none
    bool m_isHelperUnavailable = false; // it takes no requests now
    std::optional<core::milliseconds> m_helperRetryAfter;
    bool m_isUnavailable = false; // this entry takes no relayed requests now
    bool m_isTrial = false; // the current attempt tries whether the link is back
    bool m_hasReceived = false; // any byte in the current attempt
    std::uint64_t m_linkAttempt = 0; // see core::link_health
    std::string m_lastTarget;
    std::string m_lastWeights;
    std::string m_lastVersion; // software version of the last target
    core::unix_milliseconds m_lastStart = 0; // incarnation of the last target
    std::optional<core::stream_origin> m_origin; // of a stream that has begun or is taken up
    unsigned m_attemptCount = 0;
    bool m_hasRetryGrant = false; // the retry after an unresponsive target is counted already
    unsigned m_coldStartRequests = 0;
    core::instant m_coldStartUntil {}; // until when a granted start may be used, with suspensions
    unsigned m_limitedStartRequests = 0;
    core::instant m_limitedStartUntil {}; // until when a granted start may be used, with suspensions
    std::uint64_t m_knownEpoch = 0; // of the target's demand when the current attempt was sent
    bool m_mayHaveExecuted = false;
    bool m_timedOut = false;
    bool m_targetUnresponsive = false; // why the current attempt was abandoned
    std::uint64_t m_verdict = 0; // by which it was rejected
    bool m_wasRejectedForRoom = false; // by the target of the current attempt
    bool m_isTargetFull = false; // it rejected the current attempt for lack of room, and for nothing else
    place_result m_placeResult = place_result::none;
    place_wait m_placeWait;
    place_drop m_placeDrop = place_drop::stopping; // why m_placeWait was dropped
    core::milliseconds m_placeWaitTime { 0 }; // for all places of the request
    unsigned m_unusedPlaces = 0; // granted on targets that had become unusable
    bool m_isCrashSuspect = false; // has crashed a target, and was known to crash others
    bool m_hasBegun = false; // the target of the current attempt has sent a part of the body
    const char* m_recallReason = nullptr; // why the target of the current attempt may not run it any more
    core::rollout_assignment m_rollout {}; // of the last target
    bool m_isSent = false; // the current attempt
    bool m_hasFailedAtNext = false; // an attempt at a target of the next version
    std::optional<core::milliseconds> m_rolloutLatency; // of the current attempt, as recorded
    bool m_mayTargetHaveEnded = false; // the current attempt was lost with its connection
    bool m_isPredictionReliable = false;
    bool m_callerDisconnected = false;
    bool m_isCallerKept = false; // as announced in the head of the response
    std::unique_ptr<target_connection> m_connection; // of the current attempt

    std::optional<buffered_response> m_response;
    core::buffer_share m_buffered; // of the response, or of the partial event of a stream
    bool m_streamStarted = false;
    bool m_streamDone = false;
    http::response<http::empty_body> m_streamHead;
    core::event_cursor m_events;
    std::vector<std::string> m_fetchedFrom; // sources of KV parts in the current attempt
    asio::steady_timer m_watchdog;
    asio::steady_timer m_deadlineTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // for handlers that outlive this object
    core::instant m_lastByteAt {}; // of the current attempt
    core::instant m_sentAt {}; // of the current attempt
    std::size_t m_fetches = 0; // KV parts to fetch in the current attempt
    std::uint64_t m_fetchTokens = 0; // tokens in those parts
    std::size_t m_saves = 0; // KV parts to save in the current attempt
    bool m_isTargetHolder = false; // is listed as a holder of the shared part of the conversation
    double m_waitMs = 0; // predicted for the current attempt
    double m_predictedMs = 0; // predicted time to the first event of the current attempt
    core::placement m_startLoad; // as chosen for the current attempt
    double m_readTokens = 0; // tokens that the target is expected to read; 0: not predicted
    double m_firstEventMs = -1; // actual time to the first event of the current attempt; -1: none yet
    core::instant m_firstByteAt {};
    const char* m_answerFraming = "none"; // of the target's latest response, for the log
    std::size_t m_partialEventBytes = 0; // after the last complete event of an ended stream, for the log
    std::string m_outcome; // for the log
    std::string m_reason; // for the log
};

} // namespace plumfold::forwarding
