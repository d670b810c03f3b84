#pragma once

#include "plumfold_test_process.hpp"

#include "plumfold/client/plumfold_http_caller.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace plumfold::tests {

/// A small system of real processes on loopback. Every VM has an IP address of its own, so ports never
/// collide. Failure domain 1 is "east", 2 is "west"; entry N and its targets run in failure domain N.
class test_system {
public:
    test_system();
    ~test_system();
    test_system(const test_system&) = delete;
    test_system& operator=(const test_system&) = delete;

    static constexpr const char* apiKey = "espuma-key";
    static constexpr const char* otherKey = "samvinna-key";

    /// Starts three control VMs, bootstraps the group, writes the configuration that tests share and waits
    /// until all three are voters.
    /// @throws std::runtime_error when the group does not form or a change fails.
    void startControl();
    /// Starts or restarts one control VM.
    /// @param number 1 to 3.
    void startControlVm(int number);
    /// Sets additional settings for processes of a role that start later.
    /// @param role section of the settings, for example "entry".
    /// @param more settings that override the defaults of the section.
    void extraSettings(const std::string& role, nlohmann::json more)
    {
        m_extraSettings[role] = std::move(more);
    }
    /// Sets the grace period of processes that start later.
    void setGracePeriod(std::chrono::milliseconds time) { m_gracePeriod = time; }
    void startEntry(int number);
    void startStore();
    /// Starts or restarts a fake engine. A restart keeps the address.
    /// @param options further command-line options.
    void startEngine(const std::string& name, int domain, std::vector<std::string> options = {});
    /// Starts or restarts a fake service. A restart keeps the address.
    void startService(const std::string& name, int domain);

    test_process& process(const std::string& name) { return m_processes.at(name); }
    bool has(const std::string& name) const { return m_processes.contains(name); }
    std::string folder(const std::string& name) const { return (m_folder / name).string(); }
    void removeFolder(const std::string& name) { std::filesystem::remove_all(m_folder / name); }

    /// Runs the operators' command-line tool.
    /// @param code receives the exit code, unless null.
    /// @return its output.
    std::string plumfold(const std::vector<std::string>& arguments, int* code = nullptr);
    /// Runs the operators' command-line tool to change the configuration.
    /// @throws std::runtime_error when the tool fails.
    void configure(const std::vector<std::string>& arguments);
    /// @return the number of the control VM that is leader in the highest term, or 0 for none.
    int leader();

    std::string callerAddress(int entry) const { return address(20 + entry, 8000); }
    std::string storeAddress() const { return address(31, 7100); }
    std::string storeBlockAddress() const { return address(31, 7101); }
    client::call_response complete(int entry, const std::string& prompt, std::uint32_t tokens = 8,
        bool stream = true, std::map<std::string, std::string> headers = {}, const std::string& key = apiKey);
    client::call_response order(int entry, const std::string& idempotencyKey, const std::string& body = "{}",
        std::map<std::string, std::string> headers = {});
    /// @return the body of an entry's /readyz; an empty object when it is not JSON.
    nlohmann::json readiness(int entry);
    /// Waits until an entry reports exactly `count` targets.
    /// @throws std::runtime_error on a timeout.
    void waitForTargets(int entry, std::size_t count);
    /// Waits until an entry uses at least a revision of the configuration.
    /// @throws std::runtime_error on a timeout.
    void waitForRevision(int entry, std::uint64_t revision);

    /// Injects faults into a fake target. Null clears them.
    void fault(const std::string& target, const nlohmann::json& faults);
    /// @return the JSON body of a GET request to a fake target.
    nlohmann::json askTarget(const std::string& target, const std::string& path);
    /// @return the lines that a fake target has logged.
    std::vector<std::string> logOf(const std::string& target);

    /// Polls until a condition holds.
    /// @param seconds timeout. Far above the expected time, so that it only ends tests that fail.
    /// @return whether the condition held before the timeout.
    static bool eventually(const std::function<bool()>& condition, int seconds = 20);

private:
    std::string address(int host, int port) const;
    void writeSettings(const std::string& name, int domain, const std::string& role, nlohmann::json body);
    void startDaemon(const std::string& name);

    std::filesystem::path m_folder;
    std::string m_network;
    int m_nextTarget = 60;
    std::chrono::milliseconds m_gracePeriod { 8000 };
    std::map<std::string, nlohmann::json> m_extraSettings;
    std::map<std::string, std::string> m_targetAddresses;
    std::map<std::string, test_process> m_processes;
};

/// A system with an entry and a warm engine in each of two failure domains, ready to serve.
class two_domain_system : public test_system {
public:
    two_domain_system();
};

} // namespace plumfold::tests
