#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <deque>
#include <map>
#include <string>

namespace plumfold::core {

/// Limits the retries of an entry to each service within a sliding window to a share of its requests.
class windowed_retry_budget {
public:
    /// @param share retries per request.
    windowed_retry_budget(double share, milliseconds window)
        : m_share(share)
        , m_window(window)
    {
    }

    void onRequest(const std::string& service, instant now);
    /// @return whether a retry may be sent; if so, it is counted.
    bool tryTake(const std::string& service, instant now);

private:
    struct service_window {
        std::deque<instant> requests;
        std::deque<instant> retries;
    };
    void expire(service_window& window, instant now) const;

    double m_share;
    milliseconds m_window;
    std::map<std::string, service_window> m_services;
};

} // namespace plumfold::core
