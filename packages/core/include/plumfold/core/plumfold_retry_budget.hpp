#pragma once

namespace plumfold::core {

/// Token bucket that limits retries to a share of the recent load, so that they do not amplify an overload.
class retry_budget {
public:
    /// @param share retries per first attempt.
    /// @param reserve retries that are allowed without any load: the capacity of the bucket, which starts
    /// full.
    retry_budget(double share, double reserve);

    /// Counts a first attempt.
    void onAttempt();

    /// @return whether a retry may be made; if so, it is counted.
    bool tryTake();

private:
    double m_share;
    double m_maximum;
    double m_tokens;
};

} // namespace plumfold::core
