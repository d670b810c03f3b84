#pragma once

#include "plumfold_forwarding_system.hpp"

namespace plumfold::tests {

/// Three control VMs, an entry and two targets, ready to serve requests.
class serving_system : public forwarding_system {
public:
    serving_system()
    {
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        putDeployment(1, deployment(3));
        startEntry(1);
        startTarget("t1");
        startTarget("t2");
        waitForTarget(1);
        eventually(
            [&] {
                return requestsTo("t1") > 0 && requestsTo("t2") > 0
                    && !request(1, "/shop/whole").body.empty();
            },
            3);
    }

    scripted_target& target(const std::string& name) { return *m_started.at(name); }
    std::size_t requestsTo(const std::string& name) { return target(name).requests().size(); }
    std::size_t totalRequests() { return requestsTo("t1") + requestsTo("t2"); }

    scripted_target& startTarget(const std::string& name)
    {
        m_started[name] = &forwarding_system::startTarget(name);
        return *m_started[name];
    }

    /// Repeats the announcements of both targets, which would expire otherwise.
    void announceTargets()
    {
        announce("t1");
        announce("t2");
    }

private:
    std::map<std::string, scripted_target*> m_started;
};

} // namespace plumfold::tests
