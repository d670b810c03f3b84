#pragma once

#include "plumfold_fake_options.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <thread>

namespace plumfold::fakes {

/// Announces a fake target to the entries of its failure domain until it ends.
class announcer {
public:
    /// @param makeAnnouncement gives the present announcement without its sequence number.
    announcer(const fake_options& options, std::function<nlohmann::json()> makeAnnouncement);
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
