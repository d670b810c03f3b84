#pragma once

#include "plumfold_caller_connection.hpp"
#include "plumfold_forwarding_state.hpp"

#include "plumfold/core/plumfold_event_cursor.hpp"
#include "plumfold/platform/plumfold_platform_requests.hpp"

#include <optional>

namespace plumfold::forwarding {

/// How long a caller may take to accept a piece of its answer.
inline constexpr core::milliseconds callerWriteBound { 3'000 };
inline constexpr unsigned httpVersion = 11;
inline constexpr unsigned statusOk = 200;

/// Forwards one request of a caller to targets until it has its final answer.
class request_forwarder {
public:
    request_forwarder(
        forwarding_state& state, caller_connection& caller, http::request<http::string_body> request);

    /// Gives the request its final answer.
    /// @return whether the caller's connection may go on.
    task<bool> run();

private:
    using answer_parser = http::response_parser<http::buffer_body>;

    /// An answer of a target that was read whole.
    struct whole_answer {
        unsigned status = 0;
        http::fields fields;
        std::string body;
    };

    task<void> waitForDeployment();
    bool admit();
    void refuse(http::status status, std::string reason, std::optional<core::milliseconds> retryAfter = {});
    task<void> runAttempts();
    bool mayRepeat() const;
    bool refuseOverload(const core::placement& on);
    std::uint32_t priority() const;
    void refuseWithoutTarget(const core::placement_result& answer);
    void finishUnanswered();
    task<core::attempt_result> attempt(const core::placement& on);
    task<std::unique_ptr<target_connection>> connectTo(const core::placement& on);
    task<bool> send(target_connection& connection, const core::placement& on);
    task<core::attempt_result> receive(target_connection& connection);
    task<core::attempt_result> receiveWhole(answer_parser& parser, const platform::target_answer_head& head);
    task<core::attempt_result> relayStream(answer_parser& parser);
    task<bool> readPiece(answer_parser& parser, std::string& piece);
    task<bool> relayPiece(std::string piece);
    task<bool> writeStreamHead();
    core::attempt_result failedAttempt(const error_code& error);
    task<bool> writeAnswer();
    task<bool> endStream();
    void onCallerGone();
    void watchTarget();
    void checkTarget();
    void log(bool delivered);

    core::placement_request placementRequest() const;
    platform::target_request_head targetHead(const core::placement& on);
    void planParts(const core::placement& on, platform::target_request_head& head);
    bool knowsParts() const;
    std::string partitionOf(const std::string& weights) const;
    core::milliseconds timeLeft() const;

    forwarding_state& m_state;
    caller_connection& m_caller;
    http::request<http::string_body> m_request;
    platform::caller_request_head m_head;
    std::shared_ptr<const core::deployment> m_deployment;
    const core::route* m_route = nullptr;
    const core::customer_access* m_customer = nullptr;
    std::string m_service;
    core::instant m_began;
    core::instant m_deadline {};

    std::set<std::string> m_tried; // targets that the request was sent to
    std::set<std::string> m_unreachable;
    std::string m_lastTarget;
    std::string m_lastWeights;
    unsigned m_sends = 0;
    bool m_mayHaveRun = false;
    bool m_timedOut = false;
    bool m_targetSilent = false; // the attempt in progress was ended for it
    bool m_predictionCounts = false;
    bool m_callerGone = false;
    std::unique_ptr<target_connection> m_connection; // of the attempt in progress

    std::optional<whole_answer> m_answer;
    bool m_streamStarted = false;
    bool m_streamDone = false;
    http::response<http::empty_body> m_streamHead;
    core::event_cursor m_events;
    std::vector<std::string> m_fetchedFrom; // stores and engines that the attempt in progress names
    asio::steady_timer m_watchdog;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // for handlers that outlive this object
    core::instant m_lastByteAt {}; // of the attempt in progress
    core::instant m_sentAt {}; // of the attempt in progress
    std::size_t m_fetches = 0; // parts that the attempt in progress names a source for
    std::uint64_t m_fetchTokens = 0; // of those parts
    std::size_t m_saves = 0;
    bool m_targetHolds = false; // as far as known, the conversation's shared part
    double m_waitMs = 0; // predicted, of the attempt in progress
    double m_predictedMs = 0; // of the attempt in progress
    core::instant m_firstByteAt {};
    std::string m_outcome; // for the log
    std::string m_reason; // for the log
};

} // namespace plumfold::forwarding
