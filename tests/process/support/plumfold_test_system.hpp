#pragma once

#include "plumfold_test_process.hpp"

#include "plumfold/client/plumfold_http_caller.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace plumfold::tests {

/// A small system of real processes on loopback. Every VM has an IP number of its own, so ports never
/// collide. Failure domain 1 is "east", 2 is "west"; entry N and its targets live in failure domain N.
class test_system {
public:
    test_system();
    ~test_system();
    test_system(const test_system&) = delete;
    test_system& operator=(const test_system&) = delete;

    static constexpr const char* apiKey = "espuma-key";
    static constexpr const char* otherKey = "samvinna-key";

    /// Starts three control VMs, forms the group and makes the usual records.
    void startControl();
    void startControlVm(int number);
    /// Settings that later started processes get, below their role.
    void extraSettings(const std::string& role, nlohmann::json more)
    {
        m_extraSettings[role] = std::move(more);
    }
    void startEntry(int number);
    void startStore();
    void startEngine(const std::string& name, int domain, std::vector<std::string> options = {});
    void startService(const std::string& name, int domain);

    test_process& process(const std::string& name) { return m_processes.at(name); }
    bool has(const std::string& name) const { return m_processes.contains(name); }
    std::string folder(const std::string& name) const { return (m_folder / name).string(); }
    void removeFolder(const std::string& name) { std::filesystem::remove_all(m_folder / name); }

    /// Runs the operators' command line.
    /// @return its output; `code` receives the exit code.
    std::string plumfold(const std::vector<std::string>& arguments, int* code = nullptr);
    /// Changes the configuration and expects success.
    void configure(const std::vector<std::string>& arguments);
    /// @return the number of the control VM that leads, or 0.
    int leader();

    std::string callerAddress(int entry) const { return address(20 + entry, 8000); }
    client::call_answer complete(int entry, const std::string& prompt, std::uint32_t tokens = 8,
        bool stream = true, std::map<std::string, std::string> headers = {}, const std::string& key = apiKey);
    client::call_answer order(int entry, const std::string& idempotencyKey, const std::string& body = "{}",
        std::map<std::string, std::string> headers = {});
    nlohmann::json readiness(int entry);
    void waitForTargets(int entry, std::size_t count);
    void waitForRevision(int entry, std::uint64_t revision);

    /// Switches a fake's faults.
    void fault(const std::string& target, const nlohmann::json& faults);
    nlohmann::json askTarget(const std::string& target, const std::string& path);
    /// @return the lines that a fake has logged.
    std::vector<std::string> logOf(const std::string& target);

    /// Waits until a condition holds; a generous bound, only to end a test that has failed.
    static bool eventually(const std::function<bool()>& condition, int seconds = 20);

private:
    std::string address(int host, int port) const;
    void writeSettings(const std::string& name, int domain, const std::string& role, nlohmann::json body);
    void startDaemon(const std::string& name);

    std::filesystem::path m_folder;
    std::string m_network;
    int m_nextTarget = 60;
    std::map<std::string, nlohmann::json> m_extraSettings;
    std::map<std::string, std::string> m_targetAddresses;
    std::map<std::string, test_process> m_processes;
};

/// A system with two entries and a warm-started engine in each failure domain, ready to serve.
class two_domain_system : public test_system {
public:
    two_domain_system();
};

} // namespace plumfold::tests
