// Starts plumfold as the deploy file says, on loopback addresses, beside small stand-ins for its clients,
// workers and operator. Used by the scripts of the cases.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds since the start of the script, on the steady clock.
double now();
void sleepMs(int ms);

/// Writes record.txt of a case.
class record {
public:
    explicit record(const std::string& path);
    ~record();
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::FILE* m_file = nullptr;
};

using headers = std::vector<std::pair<std::string, std::string>>;

/// A request or a response.
struct message {
    int status = 0; ///< Of a response; 0: none came, or none that is complete.
    std::string method;
    std::string path;
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;
    std::string field(const std::string& name) const;
};

/// Sends one request on a connection of its own.
/// @return the response; its status is 0 if none came in time.
message call(const std::string& address, const std::string& method, const std::string& path,
    const headers& extra, const std::string& body, int timeoutMs);

/// A request that a worker began to run.
struct run {
    double at = 0;
    std::string id;
    std::string tenant;
    std::string salt;
    /// Tenants whose requests made the cached parts that this one used, other than its own.
    std::vector<std::string> usedPartsOf;
};

struct worker_options {
    std::string id;
    std::string service;
    std::string zone;
    std::string address; ///< ip:port
    int workMs = 20;
    std::string model; ///< Empty: no model engine.
    std::string version = "v1"; ///< Of its software.
    int streamEvents = 0; ///< Above 0: answers with streams of so many events.
    int eventMs = 100; ///< Pause between two events of a stream.
};

/// A sound worker: answers requests, and keeps the prompt parts of a model engine as PROTOCOL.md says.
class worker {
public:
    explicit worker(worker_options options);
    ~worker();

    const worker_options& options() const { return m_options; }
    std::string heartbeat(int sequence) const;
    std::vector<run> runs() const;
    void end();
    /// Ends as a killed process does: all connections are reset, none is accepted any more.
    void crash();

private:
    void accept();
    void serve(int socket);
    message respond(const message& request);
    message answerRequest(const message& request);
    /// @return whether the stream was sent to its end.
    bool stream(int socket, const message& request);

    worker_options m_options;
    std::uint64_t m_born = 0;
    int m_listener = -1;
    std::atomic<bool> m_ended { false };
    std::atomic<bool> m_crashed { false };
    std::thread m_acceptor;
    std::vector<std::thread> m_connections;
    mutable std::mutex m_mutex;
    std::vector<run> m_runs;
    std::map<std::pair<std::string, std::string>, std::string> m_parts; // salt, part -> tenant
};

/// A small deployment: four core machines and some frontend machines in four zones.
class deployment {
public:
    static constexpr int zones = 4;

    /// @param folder of the case, in which record.txt is written.
    deployment(const std::string& folder, int frontends);
    ~deployment();

    static std::string zone(int number);
    std::string address(int host, int port) const;
    std::string controlAddress(int core) const;
    std::string frontendAddress(int frontend) const;

    /// Starts all processes, sends the configuration, and waits until the frontends are ready.
    /// @return false if the system does not come up.
    bool start(const std::string& configuration);
    void addWorker(worker_options options);
    worker& workerOf(const std::string& id) { return *m_workers.at(id); }
    /// Starts the heartbeats of all workers.
    void startHeartbeats();
    /// Lets a worker send no more heartbeats.
    void stopHeartbeat(const std::string& id);
    /// Starts a worker again that has crashed, under its id and at its address. It sends no heartbeat yet.
    void restartWorker(worker_options options);
    void resumeHeartbeat(const std::string& id);

    /// Calls one core machine as the operator or a worker does.
    int operate(const std::string& who, int core, const std::string& method, const std::string& path,
        const std::string& body = {}, int timeoutMs = 1000);
    /// Calls core machines in turn from the first on, until one gives a 2xx.
    /// @return the machine; -1: none did.
    int operateInTurn(const std::string& who, const std::vector<int>& order, const std::string& method,
        const std::string& path, const std::string& body = {});

    void signalCore(int core, int signal);
    /// Starts the killed process of a core machine again, with its disk.
    void restartCore(int core);

    /// Sends requests at a rate to all frontends in turn until stopLoad().
    void startLoad(const std::string& host, const std::string& path, const std::string& key, int perSecond);
    void stopLoad();

    record& log() { return *m_record; }

private:
    void startProcess(const std::string& name, const std::string& settings);
    std::string render(const std::string& templateFile, int number, bool isCore, bool firstStart) const;
    void beat();
    void load(std::string host, std::string path, std::string key, int perSecond);

    std::unique_ptr<record> m_record;
    std::string m_network;
    std::string m_folder;
    int m_frontends = 0;
    std::map<std::string, int> m_processes;
    std::map<std::string, std::unique_ptr<worker>> m_workers;
    std::map<std::string, int> m_sequences;
    std::map<std::string, bool> m_silent;
    std::mutex m_mutex;
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_loadStopping { false };
    std::atomic<int> m_answered { 0 };
    std::atomic<int> m_other { 0 };
    std::thread m_beater;
    std::thread m_loader;
};

/// @return whether the script is to bring the disruption about.
bool hasTrouble();

/// Ends the script after its time, with exit code 2.
void startTimeLimit(int seconds);

std::string text(const char* format, ...) __attribute__((format(printf, 1, 2)));

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

} // namespace review
