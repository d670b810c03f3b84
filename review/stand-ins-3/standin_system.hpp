#pragma once

#include "standin_http.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace plumfold::review {

inline constexpr int zoneCount = 4;
/// Result of a case, as run.sh exits with it.
enum class verdict { held = 0, broken = 1, unrunnable = 2 };

/// The system under review as its callers, targets and operator reach it, and the record of a case.
class system_under_review {
public:
    /// @param network the first three numbers of all addresses.
    /// @param record file that receives what was sent, answered and run.
    system_under_review(std::string network, const std::string& record);

    endpoint core(int number) const;
    endpoint front(int number) const;
    /// @return an address for a stand-in.
    endpoint address(int host, std::uint16_t port) const;
    /// @return the zone of the machine or worker with a number.
    static std::string zone(int number);

    /// Sends an order of the operator to one core machine after the other, until one answers it.
    /// @return status and body of the answer; status 0 if there was none in 15 s.
    http_message order(const std::string& method, const std::string& path, const std::string& body = {});
    /// Sends the configuration.
    /// @return whether it was acknowledged.
    bool configure(const nlohmann::json& configuration);
    /// Waits until all frontend machines say that they are ready.
    bool waitUntilReady() const;

    /// Writes a line with the time since the start of the case.
    void note(const std::string& line);

private:
    std::string m_network;
    std::chrono::steady_clock::time_point m_startedAt;
    std::mutex m_mutex;
    std::ofstream m_record;
};

/// @return a configuration without routes, services and tenants, with the limits of the site.
nlohmann::json emptyConfiguration(int version);
/// @return a route to a service.
nlohmann::json route(const std::string& name, const std::string& host, const std::string& prefix,
    const std::string& kind, const std::string& service);
/// @return a plain service.
nlohmann::json plainService(const std::string& name);
/// @return a service of model workers.
nlohmann::json engineService(const std::string& name, const std::vector<std::string>& models);
/// @return a store of kept KV cache.
nlohmann::json storeService(const std::string& name, const endpoint& address, const std::string& zone);

/// Runs a case: main() of each one.
/// @param play plays it, with the disruption if the second argument is true.
int runCase(int argc, char** argv, verdict (*play)(system_under_review& system, bool hasTrouble));

} // namespace plumfold::review
