#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>

namespace plumfold::core {

/// Predicts the queueing time of a new request from the rate at which queued work is started. The rate is
/// measured only while requests wait, since otherwise it reflects the arrivals instead of the targets'
/// capacity.
class wait_predictor {
public:
    /// The queue became non-empty; restarts the measurement.
    void onBusy(instant now);
    /// A queued request was started.
    /// @param cost in tokens.
    void onStarted(std::uint32_t cost, instant now);
    /// A request received its first token.
    /// @param firstToken time since its start.
    void onFirstToken(milliseconds firstToken);

    /// @param waitingCost tokens of the queued requests.
    /// @return the predicted wait; 0 until the queue has been non-empty long enough to measure a rate.
    milliseconds wait(std::uint64_t waitingCost, instant now);
    /// @return the moving average of the time from start to first token.
    milliseconds firstTokenAfterStart() const;
    /// @return when a request last began to wait or was started, or a wait was last predicted.
    instant lastUsed() const { return m_decayedAt; }

private:
    void decay(instant now);

    instant m_busySince {};
    instant m_decayedAt {};
    double m_startedCost = 0; ///< Tokens started since m_busySince, with exponential decay.
    double m_meanFirstTokenMs = 0;
};

} // namespace plumfold::core
