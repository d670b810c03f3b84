#pragma once

#include "plumfold_scripted_target.hpp"

#include "process/support/plumfold_test_process.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace plumfold::tests {

/// A response as a caller received it.
struct raw_response {
    int status = 0; ///< 0: the connection was closed without a response.
    std::string headers; ///< Status line and headers in lower case.
    std::string body; ///< Without chunk framing.
    bool isComplete = false; ///< The whole body was received.
};

/// A caller's connection that can send arbitrary bytes.
class raw_caller {
public:
    explicit raw_caller(const std::string& address);
    void send(const std::string& bytes);
    raw_response receive();
    /// Limits the time without a byte after which receive() returns what it has.
    void setReceiveTimeout(std::chrono::milliseconds time);
    /// Makes receive() read slowly; may be called while it runs.
    /// @param receiveBuffer bytes that the system takes from the peer ahead of receive().
    /// @param pause before each read of at most 4 KiB.
    void readSlowly(int receiveBuffer, std::chrono::milliseconds pause);
    /// @return whether the peer closes the connection within the time.
    bool isClosedWithin(int milliseconds);
    void close();

private:
    std::optional<std::string> readUntil(const std::string& delimiter);
    bool readBytes(std::size_t count);

    Poco::Net::StreamSocket m_socket;
    std::string m_buffer;
    std::atomic<std::chrono::milliseconds> m_pause { std::chrono::milliseconds(0) };
};

/// Control VMs, entries and scripted targets on loopback. Each has an IP address of its own.
class forwarding_system {
public:
    forwarding_system();
    ~forwarding_system();

    /// Sets the failure domains of processes that are started later; their numbers select one of them.
    void setFailureDomains(std::vector<std::string> names) { m_failureDomains = std::move(names); }
    /// Sets how long control VMs that are started later hold the lease of the shared limits.
    void setSharedLimitLease(std::chrono::milliseconds time) { m_sharedLimitLease = time; }
    /// Sets the control VMs that processes which are started later know first, and that targets call.
    void setSeeds(std::vector<int> numbers) { m_seeds = std::move(numbers); }
    /// Sets the silence after which control VMs that are started later count another one as lost.
    void setMemberTimeout(std::chrono::milliseconds time) { m_memberTimeout = time; }
    /// Sets the grace period of entries that are started later.
    void setGracePeriod(std::chrono::milliseconds time) { m_gracePeriod = time; }
    /// Sets the time limit for starting requests on old weights of entries that are started later.
    void setWeightsBound(std::chrono::milliseconds time) { m_weightsBound = time; }
    /// Turns rollouts of software versions on in processes that are started later.
    /// @param share, slack limit the requests that a version which is not judged yet gets.
    void serveRollouts(double share = 0.1, double slack = 50) { m_rolloutExposure = { share, slack }; }
    /// Lets entries that are started later apply rollouts of software versions.
    void enableRollouts() { m_hasRollouts = true; }
    /// Lets entries that are started later use places on targets.
    void enableTargetPlaces() { m_usesPlaces = true; }
    /// Sets the slots that targets announce.
    void setTargetSlots(int count) { m_targetSlots = count; }
    /// Lets control VMs that are started later listen for RPC at another host than their address names.
    /// @param firstHost the host of the control VM with the number 0.
    void setControlListeners(int firstHost) { m_firstControlListener = firstHost; }
    /// Sets more settings of the control role for control VMs that are started later.
    void setControlSettings(nlohmann::json more) { m_controlSettings = std::move(more); }
    void startControl(int number, bool firstStart = true);
    void startEntry(int number);
    /// Connects the standard output of a process that is started later to a pipe that is never read.
    void blockOutput(const std::string& name);
    /// @param coldFor how long the target announces itself as cold.
    /// @param version software version that it announces.
    /// @param prepare called before the target announces itself.
    scripted_target& startTarget(const std::string& name, const std::string& service = "shop",
        std::chrono::milliseconds coldFor = {}, const std::string& version = "v1",
        const std::function<void(scripted_target&)>& prepare = {});

    /// Calls the platform interface of a control VM.
    /// @return HTTP status and body; status 0 when there was no response.
    std::pair<int, std::string> call(
        int control, const std::string& method, const std::string& path, const std::string& body = {});
    void announce(const std::string& target, const std::string& state = "ready");
    /// Lets all targets announce a later start from now on.
    void announceRestarts() { ++m_targetStart; }
    /// Announces all targets that are not silent periodically until destruction, as real targets do.
    void startAnnouncing(std::chrono::milliseconds interval = std::chrono::milliseconds(500));

    /// @return the configuration of the tests with the given version.
    nlohmann::json deployment(int version) const;
    bool putDeployment(int control, const nlohmann::json& body);
    bool isReady(int entry);
    /// @return where the RPC interface of a control VM is reached: ip:port.
    std::string controlAddress(int number) const;
    void waitForTarget(int entry, const std::string& path = "/shop/whole");

    /// @return an address in the network of this system: ip:port.
    std::string address(int host, int port) const;
    std::string callerAddress(int entry) const { return address(20 + entry, 8000); }
    std::string targetAddress(const std::string& name) const { return m_targets.at(name).server->address(); }
    raw_response request(int entry, const std::string& path, const std::string& body = "order",
        const std::map<std::string, std::string>& headers = {});
    static std::string requestBytes(const std::string& path, const std::string& id, const std::string& body,
        const std::map<std::string, std::string>& headers = {});

    test_process& process(const std::string& name) { return m_processes.at(name); }
    void rewriteSeeds(const std::string& name, const std::vector<int>& controls);
    std::string logOf(const std::string& name) const;
    /// @return the one of these control VMs that has become leader last, by their logs; 0: none.
    int leader(const std::vector<int>& controls) const;
    /// @return the size of a file in the data folder of a process, in bytes; 0 if there is none.
    std::size_t fileBytes(const std::string& name, const std::string& file) const;
    /// @return the folder that holds the data folders and the logs, each named after its process.
    const std::filesystem::path& folder() const { return m_folder; }
    /// @return the bytes of the files in the data folder of a process.
    std::size_t folderBytes(const std::string& name) const;
    void removeFolder(const std::string& name) { std::filesystem::remove_all(m_folder / name); }

    static bool eventually(const std::function<bool()>& condition, int seconds = 20);
    static std::string nextId();

private:
    void start(const std::string& name, const nlohmann::json& settings);
    std::vector<std::string> platformAddresses(const std::vector<int>& controls) const;

    nlohmann::json processSettings(const std::string& name, int number) const;

    std::filesystem::path m_folder;
    std::vector<std::string> m_failureDomains { "east" };
    std::chrono::milliseconds m_sharedLimitLease { 6'000 };
    std::vector<int> m_seeds { 1, 2, 3 };
    nlohmann::json m_controlSettings = nlohmann::json::object();
    std::optional<std::chrono::milliseconds> m_memberTimeout;
    std::chrono::milliseconds m_gracePeriod { 6'000 };
    std::chrono::milliseconds m_weightsBound { 10'000 };
    std::optional<std::pair<double, double>> m_rolloutExposure; // share and slack
    std::string m_network;
    bool m_hasRollouts = false;
    bool m_usesPlaces = false;
    int m_targetSlots = 8;
    int m_firstControlListener = 0; // 0: control VMs listen at their own address
    std::map<std::string, nlohmann::json> m_settings;
    struct announced_target {
        std::unique_ptr<scripted_target> server;
        std::string service;
        std::chrono::steady_clock::time_point coldUntil {};
    };
    mutable std::mutex m_targetsMutex; // of the map, as targets may start while others announce themselves
    std::map<std::string, announced_target> m_targets;
    std::map<std::string, test_process> m_processes;
    std::vector<int> m_pipes;
    std::atomic<std::uint64_t> m_sequence { 0 };
    std::atomic<std::uint64_t> m_targetStart { 1000 };
    std::atomic<bool> m_stopping { false };
    std::thread m_announcer;
};

} // namespace plumfold::tests
