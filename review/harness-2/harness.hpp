#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// What the scripts of the second review share: the project's programs as processes on loopback, and
/// stand-ins for clients, servers, the operator and the platform. It uses the standard library and the system
/// alone.
namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Exit codes of a case.
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int couldNotRun = 2;

void sleepFor(milliseconds time);

/// Writes what is sent, answered and run, each line with the seconds since the start.
class record {
public:
    explicit record(const std::string& file);
    void line(const std::string& text);
    /// @return seconds since the start.
    double seconds() const;

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    steady::time_point m_start = steady::now();
};

/// A process that was started here. It is killed when the object is destroyed, and with this process.
class process {
public:
    process() = default;
    process(const std::vector<std::string>& command, const std::map<std::string, std::string>& environment,
        const std::string& output);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    pid_t id() const { return m_id; }
    bool isRunning();
    void signal(int number) const;
    /// Waits for the end.
    /// @return whether it ended within the time.
    bool waitForEnd(milliseconds time);
    void kill();
    /// @return the memory that is the process' own, in bytes; 0 if it has ended.
    std::size_t memoryBytes() const;

private:
    pid_t m_id = -1;
};

struct http_response {
    int status = 0; ///< 0: none.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    bool isComplete = false;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

/// One call over a connection of its own, as an operator, a server or a client makes it.
/// @param address ip:port
/// @param timeout for the whole call.
http_response call(const std::string& address, const std::string& method, const std::string& path,
    const std::string& body, const header_list& headers, milliseconds timeout);

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/// Sends bytes to the peer; false once it is gone.
using byte_sender = std::function<bool(const std::string&)>;

/// Answers HTTP/1.1 requests, one at a time on a connection.
class http_server {
public:
    /// @param handler answers a request by sending bytes; returns whether the connection is kept.
    using handler = std::function<bool(const http_request&, const byte_sender&)>;
    http_server(const std::string& address, handler answer);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    void accept();
    void serve(int socket);

    int m_listener = -1;
    handler m_answer;
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

/// @return a whole response with a length.
std::string response(const std::string& status, const header_list& headers, const std::string& body);

/// The links between control VMs. One of them can be partitioned from all others: what is under way on its
/// connections is held up until the partition ends, as TCP does, and connections that are opened meanwhile
/// never come about. All processes share the loopback interface, so a connection belongs to the process that
/// has its socket.
class core_links {
public:
    core_links() = default;
    ~core_links();
    core_links(const core_links&) = delete;
    core_links& operator=(const core_links&) = delete;
    /// Listens where the others reach a control VM.
    void add(int control, const std::string& address, const std::string& listenAddress);
    void setProcess(int control, pid_t id);
    void cut(int control) { m_cut = control; }
    void heal() { m_cut = 0; }

private:
    struct listener {
        int socket = -1;
        int control = 0;
        std::string listenAddress;
    };

    void accept(const listener& at);
    void relay(int client, int from, int to, const std::string& listenAddress);
    int ownerOf(int client) const;
    bool isCut(int from, int to) const;

    mutable std::mutex m_mutex;
    std::map<int, pid_t> m_processes;
    std::atomic<int> m_cut { 0 };
    std::atomic<bool> m_stopping { false };
    std::vector<std::unique_ptr<listener>> m_listeners;
    std::vector<std::thread> m_threads;
};

/// Machines of the platform: control VMs and entries with the commands and the settings of the deploy folder.
/// Each has a loopback address of its own.
class deployment {
public:
    /// @param root of the repository.
    /// @param folder for settings, data and logs.
    deployment(std::string root, std::string folder, std::vector<std::string> zones, record& out);
    ~deployment();

    std::string ip(int host) const;
    std::string platformAddress(int control) const { return ip(10 + control) + ":8204"; }
    std::string callerAddress(int entry) const { return ip(100 + entry) + ":8202"; }
    std::string readinessAddress(int entry) const { return ip(100 + entry) + ":8200"; }
    std::string serverAddress(int server) const { return ip(150 + server) + ":8080"; }
    /// Lets control VMs that are started later reach each other through links that can be cut.
    void setLinks(core_links* links) { m_links = links; }
    void setSeeds(std::vector<int> controls) { m_seeds = std::move(controls); }
    /// @param disk number of its disk; another one is empty.
    void startControl(int control, const std::string& zone, bool firstStart, int disk = 1);
    void startEntry(int entry, const std::string& zone);
    process& control(int number) { return m_processes.at("core-" + std::to_string(number)); }
    process& entry(int number) { return m_processes.at("frontend-" + std::to_string(number)); }
    /// @return the number of the control VM that leads, as their logs tell the operator; 0: none.
    int leader() const;
    /// @return whether the platform gets 200 for its question whether an entry is ready.
    bool isReady(int entry) const;

private:
    std::string listed(const std::vector<std::string>& values) const;
    void start(const std::string& name, const std::string& settings, const std::vector<std::string>& more);

    std::string m_root;
    std::string m_folder;
    std::vector<std::string> m_zones;
    record& m_record;
    std::string m_network;
    std::vector<int> m_seeds { 1, 2, 3 };
    core_links* m_links = nullptr;
    std::map<std::string, process> m_processes;
};

/// Reports a server to the machines that serve control every 1.2 s, as PROTOCOL.md says.
class heartbeats {
public:
    /// @param fields JSON members of each heartbeat but its sequence, without braces.
    heartbeats(std::string id, std::string fields, std::vector<std::string> controlAddresses);
    ~heartbeats();
    heartbeats(const heartbeats&) = delete;
    heartbeats& operator=(const heartbeats&) = delete;

private:
    void run();

    std::string m_id;
    std::string m_fields;
    std::vector<std::string> m_addresses;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

/// The connections of clients to one entry, through the platform. They can fall silent, as they do when the
/// machine loses power: the client is told nothing.
class client_link {
public:
    client_link(const std::string& address, std::string entryAddress);
    ~client_link();
    client_link(const client_link&) = delete;
    client_link& operator=(const client_link&) = delete;
    /// Lets all present connections fall silent; later ones work.
    void silence() { ++m_generation; }

private:
    void accept();
    void relay(int client, int generation);

    int m_listener = -1;
    std::string m_entryAddress;
    std::atomic<int> m_generation { 0 };
    std::atomic<bool> m_stopping { false };
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

/// A client's request whose response is read as a stream of events.
class event_stream {
public:
    event_stream(const std::string& address, const std::string& request, milliseconds connectTime);
    ~event_stream();
    event_stream(const event_stream&) = delete;
    event_stream& operator=(const event_stream&) = delete;
    /// @return the status; 0 if there is none in time.
    int status(milliseconds time);
    const std::map<std::string, std::string>& headers() const { return m_headers; }
    /// @return the next event; nothing if none is complete in time, or the response has ended.
    std::optional<std::string> next(milliseconds time);
    bool hasEnded() const { return m_hasEnded; }
    bool isBroken() const { return m_isBroken; }

private:
    int m_socket = -1;
    std::unique_ptr<class stream_reader> m_in;
    std::map<std::string, std::string> m_headers;
    std::string m_text;
    bool m_hasEnded = false;
    bool m_isBroken = false;
};

bool eventually(const std::function<bool()>& condition, milliseconds time);

/// Runs a case: reads the folder names from the command line and TROUBLE from the environment, and turns
/// exceptions into couldNotRun.
int runCase(int argc, char** argv, const std::function<int(deployment&, record&, bool trouble)>& body,
    const std::vector<std::string>& zones);

} // namespace review
