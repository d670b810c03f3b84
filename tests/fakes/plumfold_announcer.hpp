#pragma once

#include "plumfold_fake_options.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <thread>

namespace plumfold::fakes {

/// Announces a fake target to its entries periodically, on a thread of its own, until destroyed.
class announcer {
public:
    /// Starts announcing.
    /// @param options name the entries and the interval.
    /// @param makeAnnouncement returns the current announcement without its sequence number. Called on the
    /// announcer's thread.
    announcer(const fake_options& options, std::function<nlohmann::json()> makeAnnouncement);
    /// Stops announcing and joins the thread.
    ~announcer();

private:
    void run();

    fake_options m_options;
    std::function<nlohmann::json()> m_makeAnnouncement;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace plumfold::fakes
