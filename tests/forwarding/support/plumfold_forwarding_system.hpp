#pragma once

#include "plumfold_scripted_target.hpp"

#include "process/support/plumfold_test_process.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace plumfold::tests {

/// What a caller got on one connection.
struct raw_response {
    int status = 0; ///< 0: the connection ended without an answer.
    std::string headers; ///< Lower case.
    std::string body; ///< With chunks joined.
    bool isComplete = false; ///< The answer's framing was completed.
};

/// A connection of a caller that sends any bytes.
class raw_caller {
public:
    explicit raw_caller(const std::string& address);
    void send(const std::string& bytes);
    raw_response receive();
    /// @return whether the other side closes the connection within the time.
    bool isClosedWithin(int milliseconds);
    void close();

private:
    std::optional<std::string> readUntil(const std::string& delimiter);
    bool readBytes(std::size_t count);

    Poco::Net::StreamSocket m_socket;
    std::string m_buffer;
};

/// Control VMs, entries and scripted targets on loopback, each VM with an IP number of its own.
class forwarding_system {
public:
    forwarding_system();
    ~forwarding_system();

    void startControl(int number, bool firstStart = true);
    void startEntry(int number);
    /// Makes the standard output of a process that starts later a pipe that nobody reads.
    void blockOutput(const std::string& name);
    scripted_target& startTarget(const std::string& name, const std::string& service = "shop");

    /// Calls a control VM as the platform does.
    /// @return status and body; status 0 without an answer.
    std::pair<int, std::string> call(
        int control, const std::string& method, const std::string& path, const std::string& body = {});
    void announce(const std::string& target, const std::string& state = "ready");
    /// Announces all targets again until the system ends, as real ones do.
    void startAnnouncing();

    /// @return the configuration that the tests use, under a version.
    nlohmann::json deployment(int version) const;
    bool putDeployment(int control, const nlohmann::json& body);
    bool isReady(int entry);
    void waitForTarget(int entry, const std::string& path = "/shop/whole");

    std::string callerAddress(int entry) const { return address(20 + entry, 8000); }
    std::string targetAddress(const std::string& name) const { return m_targets.at(name).first->address(); }
    raw_response request(int entry, const std::string& path, const std::string& body = "order",
        const std::map<std::string, std::string>& headers = {});
    static std::string requestBytes(const std::string& path, const std::string& id, const std::string& body,
        const std::map<std::string, std::string>& headers = {});

    test_process& process(const std::string& name) { return m_processes.at(name); }
    void rewriteSeeds(const std::string& name, const std::vector<int>& controls);
    std::string logOf(const std::string& name) const;
    void removeFolder(const std::string& name) { std::filesystem::remove_all(m_folder / name); }

    static bool eventually(const std::function<bool()>& condition, int seconds = 20);
    static std::string nextId();

private:
    std::string address(int host, int port) const;
    void start(const std::string& name, const nlohmann::json& settings);
    std::vector<std::string> seeds() const;

    std::filesystem::path m_folder;
    std::string m_network;
    std::map<std::string, nlohmann::json> m_settings;
    std::map<std::string, std::pair<std::unique_ptr<scripted_target>, std::string>> m_targets; // with service
    std::map<std::string, test_process> m_processes;
    std::vector<int> m_pipes;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_stopping { false };
    std::thread m_announcer;
};

} // namespace plumfold::tests
