#pragma once

#include "plumfold_entry_context.hpp"

#include "plumfold/core/plumfold_load_planner.hpp"

#include <atomic>
#include <optional>
#include <thread>

namespace plumfold::entry {

/// Thread that orders targets of the local failure domain to load weight versions. It sends orders only while
/// it holds the domain's lease, so that there is one sender at a time, also for targets that ignore fencing
/// tokens.
class weight_load_thread {
public:
    explicit weight_load_thread(entry_context& context);
    ~weight_load_thread();

private:
    void run();
    void renewLease();
    bool holdsLease() const;
    void sendLoadOrders();

    entry_context& m_context;
    core::load_planner m_planner;
    std::string m_holder;
    std::optional<std::uint64_t> m_fence;
    core::instant m_heldSince {};
    core::instant m_heldUntil {};
    core::instant m_nextRenewal {};
    std::size_t m_abandonedLogged = 0;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace plumfold::entry
