#include "harness.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr int pollMs = 50;
constexpr std::size_t readBytes = 16 << 10;
constexpr int rpcPort = 7420;

sockaddr_in parsed(const std::string& address)
{
    auto colon = address.rfind(':');
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) != 1)
        throw std::runtime_error("no address: " + address);
    return out;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

int leftMs(steady::time_point until)
{
    auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0));
}

bool waitFor(int socket, short events, steady::time_point until)
{
    pollfd one { socket, events, 0 };
    return ::poll(&one, 1, leftMs(until)) > 0;
}

bool sendAll(int socket, const std::string& bytes, steady::time_point until)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EINTR)
            return false;
        if (!waitFor(socket, POLLOUT, until))
            return false;
    }
    return true;
}

/// Reads HTTP messages from a socket.
class reader {
public:
    explicit reader(int socket)
        : m_socket(socket)
    {
    }

    bool more(steady::time_point until)
    {
        if (!waitFor(m_socket, POLLIN, until))
            return false;
        char bytes[readBytes];
        auto count = ::recv(m_socket, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        m_bytes.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    std::optional<std::string> until(const std::string& delimiter, steady::time_point time)
    {
        std::size_t end = 0;
        while ((end = m_bytes.find(delimiter)) == std::string::npos) {
            if (!more(time))
                return std::nullopt;
        }
        auto text = m_bytes.substr(0, end);
        m_bytes.erase(0, end + delimiter.size());
        return text;
    }

    std::optional<std::string> take(std::size_t count, steady::time_point time)
    {
        while (m_bytes.size() < count) {
            if (!more(time))
                return std::nullopt;
        }
        auto text = m_bytes.substr(0, count);
        m_bytes.erase(0, count);
        return text;
    }

    bool isEmpty() const { return m_bytes.empty(); }

private:
    int m_socket;
    std::string m_bytes;
};

std::map<std::string, std::string> parseHeaders(const std::string& head)
{
    std::map<std::string, std::string> out;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        out[lower(line.substr(0, colon))] = value;
    }
    return out;
}

/// @return the body and whether it is whole.
std::pair<std::string, bool> readBody(
    reader& in, const std::map<std::string, std::string>& headers, steady::time_point until)
{
    auto coding = headers.find("transfer-encoding");
    if (coding == headers.end()) {
        auto length = headers.find("content-length");
        auto bytes = length == headers.end() ? 0 : std::stoul(length->second);
        auto body = in.take(bytes, until);
        return { body.value_or(std::string()), body.has_value() };
    }
    std::string body;
    while (auto size = in.until("\r\n", until)) {
        auto bytes = std::stoul(*size, nullptr, 16);
        auto part = in.take(bytes + 2, until);
        if (!part)
            break;
        body += part->substr(0, bytes);
        if (bytes == 0)
            return { body, true };
    }
    return { body, false };
}

int listenAt(const std::string& address)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto where = parsed(address);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&where), sizeof(where)) != 0
        || ::listen(socket, 64) != 0) {
        ::close(socket);
        throw std::runtime_error("cannot listen at " + address);
    }
    return socket;
}

} // namespace

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool eventually(const std::function<bool()>& condition, milliseconds time)
{
    auto until = steady::now() + time;
    while (!condition()) {
        if (steady::now() >= until)
            return false;
        sleepFor(milliseconds(20));
    }
    return true;
}

record::record(const std::string& file)
    : m_out(file)
{
}

double record::seconds() const
{
    return std::chrono::duration<double>(steady::now() - m_start).count();
}

void record::line(const std::string& text)
{
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", seconds());
    std::lock_guard lock(m_mutex);
    m_out << time << text << std::endl;
}

process::process(const std::vector<std::string>& command,
    const std::map<std::string, std::string>& environment, const std::string& output)
{
    std::vector<char*> arguments;
    for (const auto& each : command)
        arguments.push_back(const_cast<char*>(each.c_str()));
    arguments.push_back(nullptr);
    auto parent = ::getpid();
    m_id = ::fork();
    if (m_id < 0)
        throw std::runtime_error("cannot start " + command[0]);
    if (m_id > 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        std::_Exit(couldNotRun);
    int file = ::open(output.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600);
    ::dup2(file, 1);
    ::dup2(file, 2);
    for (const auto& [name, value] : environment)
        ::setenv(name.c_str(), value.c_str(), 1);
    ::execv(arguments[0], arguments.data());
    std::_Exit(couldNotRun);
}

process::~process()
{
    kill();
}

process::process(process&& other) noexcept
    : m_id(std::exchange(other.m_id, -1))
{
}

process& process::operator=(process&& other) noexcept
{
    std::swap(m_id, other.m_id);
    return *this;
}

bool process::isRunning()
{
    return m_id > 0 && !waitForEnd(milliseconds(0));
}

void process::signal(int number) const
{
    if (m_id > 0)
        ::kill(m_id, number);
}

bool process::waitForEnd(milliseconds time)
{
    auto until = steady::now() + time;
    while (m_id > 0) {
        int status = 0;
        if (::waitpid(m_id, &status, WNOHANG) == m_id) {
            m_id = -1;
            return true;
        }
        if (steady::now() >= until)
            return false;
        sleepFor(milliseconds(5));
    }
    return true;
}

void process::kill()
{
    if (m_id <= 0)
        return;
    ::kill(m_id, SIGKILL);
    int status = 0;
    ::waitpid(m_id, &status, 0);
    m_id = -1;
}

std::size_t process::memoryBytes() const
{
    constexpr std::size_t bytesPerKilobyte = 1024;
    std::ifstream status("/proc/" + std::to_string(m_id) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("RssAnon:"))
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * bytesPerKilobyte;
    }
    return 0;
}

http_response call(const std::string& address, const std::string& method, const std::string& path,
    const std::string& body, const header_list& headers, milliseconds timeout)
{
    http_response out;
    auto until = steady::now() + timeout;
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto where = parsed(address);
    bool isOpen = ::connect(socket, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0
        || (errno == EINPROGRESS && waitFor(socket, POLLOUT, until));
    int error = 0;
    socklen_t length = sizeof(error);
    ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length);
    std::string bytes = method + ' ' + path + " HTTP/1.1\r\n";
    bool hasHost = false;
    for (const auto& [name, value] : headers) {
        bytes += name + ": " + value + "\r\n";
        hasHost = hasHost || name == "Host";
    }
    if (!hasHost)
        bytes += "Host: " + address + "\r\n";
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!isOpen || error != 0 || !sendAll(socket, bytes, until)) {
        ::close(socket);
        return out;
    }
    reader in(socket);
    if (auto head = in.until("\r\n\r\n", until)) {
        out.status = std::atoi(head->substr(head->find(' ') + 1, 3).c_str());
        out.headers = parseHeaders(*head);
        std::tie(out.body, out.isComplete) = readBody(in, out.headers, until);
    }
    ::close(socket);
    return out;
}

std::string response(const std::string& status, const header_list& headers, const std::string& body)
{
    std::string out = "HTTP/1.1 " + status + "\r\n";
    for (const auto& [name, value] : headers)
        out += name + ": " + value + "\r\n";
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

http_server::http_server(const std::string& address, handler answer)
    : m_listener(listenAt(address))
    , m_answer(std::move(answer))
    , m_thread([this] { accept(); })
{
}

http_server::~http_server()
{
    m_stopping = true;
    m_thread.join();
    ::close(m_listener);
    for (auto& each : m_connections)
        each.join();
}

void http_server::accept()
{
    while (!m_stopping) {
        if (!waitFor(m_listener, POLLIN, steady::now() + milliseconds(pollMs)))
            continue;
        int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        m_connections.emplace_back([this, socket] { serve(socket); });
    }
}

void http_server::serve(int socket)
{
    constexpr milliseconds requestTime { 5'000 };
    reader in(socket);
    bool isOpen = true;
    while (isOpen && !m_stopping) {
        if (in.isEmpty() && !waitFor(socket, POLLIN, steady::now() + milliseconds(pollMs)))
            continue;
        auto until = steady::now() + requestTime;
        auto head = in.until("\r\n\r\n", until);
        if (!head)
            break;
        http_request request;
        std::istringstream first(*head);
        first >> request.method >> request.path;
        request.headers = parseHeaders(*head);
        bool isWhole = false;
        std::tie(request.body, isWhole) = readBody(in, request.headers, until);
        if (!isWhole)
            break;
        isOpen = m_answer(request,
            [&](const std::string& bytes) { return sendAll(socket, bytes, steady::now() + requestTime); });
    }
    ::close(socket);
}

heartbeats::heartbeats(std::string id, std::string fields, std::vector<std::string> controlAddresses)
    : m_id(std::move(id))
    , m_fields(std::move(fields))
    , m_addresses(std::move(controlAddresses))
    , m_thread([this] { run(); })
{
}

heartbeats::~heartbeats()
{
    m_stopping = true;
    m_thread.join();
}

void heartbeats::run()
{
    constexpr milliseconds interval { 1'200 };
    constexpr milliseconds answerTime { 1'000 };
    std::size_t at = std::hash<std::string>()(m_id) % m_addresses.size();
    for (std::uint64_t sequence = 1; !m_stopping; ++sequence) {
        auto sentAt = steady::now();
        auto body = '{' + m_fields + ",\"sequence\":" + std::to_string(sequence) + '}';
        for (std::size_t tries = 0; tries < m_addresses.size() && !m_stopping; ++tries) {
            auto answer = call(m_addresses[at], "PUT", "/instances/" + m_id, body,
                { { "Content-Type", "application/json" } }, answerTime);
            if (answer.status / 100 == 2)
                break;
            at = (at + 1) % m_addresses.size();
        }
        while (!m_stopping && steady::now() - sentAt < interval)
            sleepFor(milliseconds(20));
    }
}

client_link::client_link(const std::string& address, std::string entryAddress)
    : m_listener(listenAt(address))
    , m_entryAddress(std::move(entryAddress))
    , m_thread([this] { accept(); })
{
}

client_link::~client_link()
{
    m_stopping = true;
    m_thread.join();
    ::close(m_listener);
    for (auto& each : m_connections)
        each.join();
}

void client_link::accept()
{
    while (!m_stopping) {
        if (!waitFor(m_listener, POLLIN, steady::now() + milliseconds(pollMs)))
            continue;
        int client = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0)
            continue;
        int generation = m_generation;
        m_connections.emplace_back([this, client, generation] { relay(client, generation); });
    }
}

void client_link::relay(int client, int generation)
{
    constexpr milliseconds connectTime { 1'000 };
    int entry = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto where = parsed(m_entryAddress);
    bool isOpen = ::connect(entry, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0;
    int on = 1;
    for (int socket : { client, entry })
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    while (isOpen && !m_stopping && m_generation == generation) {
        pollfd both[] = { { client, POLLIN, 0 }, { entry, POLLIN, 0 } };
        if (::poll(both, 2, pollMs) <= 0)
            continue;
        for (int side = 0; side < 2 && isOpen && m_generation == generation; ++side) {
            if (both[side].revents == 0)
                continue;
            char bytes[readBytes];
            auto count = ::recv(both[side].fd, bytes, sizeof(bytes), 0);
            // What arrives as the machine loses power is not passed on, nor is the end of the connection.
            if (m_generation != generation)
                break;
            isOpen = count > 0
                && sendAll(both[1 - side].fd, std::string(bytes, static_cast<std::size_t>(count)),
                    steady::now() + connectTime);
        }
    }
    ::close(entry);
    // A silent connection stays open on the client's side until the client closes it.
    while (isOpen && !m_stopping) {
        char byte = 0;
        if (waitFor(client, POLLIN, steady::now() + milliseconds(pollMs))
            && ::recv(client, &byte, 1, MSG_DONTWAIT) <= 0)
            break;
    }
    ::close(client);
}

core_links::~core_links()
{
    m_stopping = true;
    for (auto& each : m_threads)
        each.join();
    for (const auto& each : m_listeners)
        ::close(each->socket);
}

void core_links::add(int control, const std::string& address, const std::string& listenAddress)
{
    m_listeners.push_back(std::make_unique<listener>(listener { listenAt(address), control, listenAddress }));
    m_threads.emplace_back([this, &at = *m_listeners.back()] { accept(at); });
}

void core_links::setProcess(int control, pid_t id)
{
    std::lock_guard lock(m_mutex);
    m_processes[control] = id;
}

bool core_links::isCut(int from, int to) const
{
    int cut = m_cut;
    return cut != 0 && from != 0 && from != to && (from == cut || to == cut);
}

/// @return the control VM whose process has opened a connection; 0: none.
int core_links::ownerOf(int client) const
{
    sockaddr_in peer {};
    sockaddr_in own {};
    socklen_t length = sizeof(peer);
    ::getpeername(client, reinterpret_cast<sockaddr*>(&peer), &length);
    length = sizeof(own);
    ::getsockname(client, reinterpret_cast<sockaddr*>(&own), &length);
    char wanted[64];
    std::snprintf(wanted, sizeof(wanted), "%08X:%04X %08X:%04X", peer.sin_addr.s_addr, ntohs(peer.sin_port),
        own.sin_addr.s_addr, ntohs(own.sin_port));
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::string inode;
    while (inode.empty() && std::getline(table, line)) {
        if (line.find(wanted) == std::string::npos)
            continue;
        std::istringstream fields(line);
        std::string field;
        for (int number = 0; number < 10 && fields >> field; ++number)
            inode = field;
    }
    std::map<int, pid_t> processes;
    {
        std::lock_guard lock(m_mutex);
        processes = m_processes;
    }
    for (const auto& [control, id] : processes) {
        std::error_code error;
        std::filesystem::directory_iterator files("/proc/" + std::to_string(id) + "/fd", error);
        for (; !error && files != std::filesystem::directory_iterator(); files.increment(error)) {
            std::error_code closedMeanwhile;
            if (std::filesystem::read_symlink(files->path(), closedMeanwhile) == "socket:[" + inode + "]")
                return control;
        }
    }
    return 0;
}

void core_links::accept(const listener& at)
{
    std::vector<std::thread> connections;
    while (!m_stopping) {
        if (!waitFor(at.socket, POLLIN, steady::now() + milliseconds(pollMs)))
            continue;
        int client = ::accept4(at.socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0)
            continue;
        connections.emplace_back(
            [this, client, &at] { relay(client, ownerOf(client), at.control, at.listenAddress); });
    }
    for (auto& each : connections)
        each.join();
}

void core_links::relay(int client, int from, int to, const std::string& listenAddress)
{
    constexpr milliseconds sendTime { 1'000 };
    bool isLost = isCut(from, to);
    while (isLost && !m_stopping && isCut(from, to))
        sleepFor(milliseconds(10));
    int control = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto where = parsed(listenAddress);
    bool isOpen = !isLost && ::connect(control, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0;
    int on = 1;
    for (int socket : { client, control })
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    while (isOpen && !m_stopping) {
        if (isCut(from, to)) {
            sleepFor(milliseconds(10));
            continue;
        }
        pollfd both[] = { { client, POLLIN, 0 }, { control, POLLIN, 0 } };
        if (::poll(both, 2, pollMs) <= 0)
            continue;
        for (int side = 0; side < 2 && isOpen && !isCut(from, to); ++side) {
            if (both[side].revents == 0)
                continue;
            char bytes[readBytes];
            auto count = ::recv(both[side].fd, bytes, sizeof(bytes), 0);
            isOpen = count > 0
                && sendAll(both[1 - side].fd, std::string(bytes, static_cast<std::size_t>(count)),
                    steady::now() + sendTime);
        }
    }
    ::close(client);
    ::close(control);
}

class stream_reader : public reader {
public:
    using reader::reader;
};

event_stream::event_stream(const std::string& address, const std::string& request, milliseconds connectTime)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    , m_in(std::make_unique<stream_reader>(m_socket))
{
    auto until = steady::now() + connectTime;
    auto where = parsed(address);
    bool isOpen = ::connect(m_socket, reinterpret_cast<sockaddr*>(&where), sizeof(where)) == 0
        || (errno == EINPROGRESS && waitFor(m_socket, POLLOUT, until));
    m_isBroken = !isOpen || !sendAll(m_socket, request, until);
}

event_stream::~event_stream()
{
    ::close(m_socket);
}

int event_stream::status(milliseconds time)
{
    auto head = m_isBroken ? std::nullopt : m_in->until("\r\n\r\n", steady::now() + time);
    if (!head)
        return 0;
    m_headers = parseHeaders(*head);
    return std::atoi(head->substr(head->find(' ') + 1, 3).c_str());
}

std::optional<std::string> event_stream::next(milliseconds time)
{
    auto until = steady::now() + time;
    while (true) {
        auto end = m_text.find("\n\n");
        if (end != std::string::npos) {
            auto event = m_text.substr(0, end + 2);
            m_text.erase(0, end + 2);
            return event;
        }
        if (m_hasEnded)
            return std::nullopt;
        auto size = m_in->until("\r\n", until);
        auto bytes = size ? std::stoul(*size, nullptr, 16) : 0;
        auto part = size ? m_in->take(bytes + 2, until) : std::nullopt;
        if (!part) {
            m_isBroken = steady::now() < until;
            return std::nullopt;
        }
        m_hasEnded = bytes == 0;
        m_text += part->substr(0, bytes);
    }
}

deployment::deployment(std::string root, std::string folder, std::vector<std::string> zones, record& out)
    : m_root(std::move(root))
    , m_folder(std::move(folder))
    , m_zones(std::move(zones))
    , m_record(out)
{
    // The process id keeps the addresses of concurrent runs apart.
    auto id = static_cast<unsigned>(::getpid());
    m_network = "127." + std::to_string(1 + id / 250 % 250) + '.' + std::to_string(1 + id % 250);
}

deployment::~deployment()
{
    m_processes.clear();
}

std::string deployment::ip(int host) const
{
    return m_network + '.' + std::to_string(host);
}

std::string deployment::listed(const std::vector<std::string>& values) const
{
    std::string out;
    for (const auto& each : values)
        out += (out.empty() ? "\"" : ", \"") + each + '"';
    return out;
}

void deployment::start(
    const std::string& name, const std::string& settings, const std::vector<std::string>& more)
{
    auto file = m_folder + '/' + name + ".settings";
    std::ofstream(file) << settings;
    std::vector<std::string> command { m_root + "/target/packages/plumfoldd/plumfoldd" };
    command.insert(command.end(), more.begin(), more.end());
    m_processes[name] = process(command, { { "PLUMFOLD_CONFIG", file } }, m_folder + '/' + name + ".log");
    m_record.line("platform: starts " + name);
}

void deployment::startControl(int control, const std::string& zone, bool firstStart, int disk)
{
    auto name = "core-" + std::to_string(control);
    std::vector<std::string> seeds;
    for (int each : m_seeds)
        seeds.push_back(platformAddress(each));
    auto port = std::to_string(rpcPort);
    std::string settings = "{ \"process\": { \"name\": \"" + name + "\", \"failureDomain\": \"" + zone
        + "\", \"failureDomains\": [" + listed(m_zones) + "], \"dataFolder\": \"" + m_folder + "/disk-"
        + std::to_string(control) + '-' + std::to_string(disk)
        + "\", \"clusterSecret\": \"plumfold-on-the-platform\", \"gracePeriodMs\": \"8 s\" },\n"
        + "\"control\": { \"address\": \"" + ip(10 + control) + ':' + port + "\", \"platformAddress\": \""
        + platformAddress(control) + "\", \"seeds\": [" + listed(seeds) + "], \"rpcPort\": " + port
        + ", \"firstStart\": " + (firstStart ? "true" : "false")
        + ", \"retryExtra\": 52, \"retryWindowMs\": \"10 s\", \"coldOvershoot\": 1.5, \"coldSlack\": 5, "
          "\"electionTimeoutMs\": 500, \"orderLeaseMs\": 3000 } }\n";
    std::vector<std::string> more { "--set", "/control/rolloutExposureShare=", "--set",
        "/control/rolloutExposureSlack=" };
    if (m_links) {
        // The others reach it through a link that can be cut.
        auto listenAddress = ip(60 + control) + ':' + port;
        m_links->add(control, ip(10 + control) + ':' + port, listenAddress);
        more.insert(more.end(), { "--set", "/control/listenAddress=" + listenAddress });
    }
    start(name, settings, more);
    if (m_links)
        m_links->setProcess(control, m_processes.at(name).id());
}

void deployment::startEntry(int entry, const std::string& zone)
{
    auto name = "frontend-" + std::to_string(entry);
    std::vector<std::string> seeds;
    for (int each : m_seeds)
        seeds.push_back(platformAddress(each));
    auto port = std::to_string(rpcPort);
    std::string settings = "{ \"process\": { \"name\": \"" + name + "\", \"failureDomain\": \"" + zone
        + "\", \"failureDomains\": [" + listed(m_zones)
        + "], \"clusterSecret\": \"plumfold-on-the-platform\", \"gracePeriodMs\": \"8 s\" },\n"
        + "\"forwarding\": { \"callerAddress\": \"" + callerAddress(entry) + "\", \"readinessAddress\": \""
        + readinessAddress(entry) + "\", \"relayAddress\": \"" + ip(100 + entry) + ':' + port
        + "\", \"control\": [" + listed(seeds) + "], \"controlPort\": " + port
        + ", \"retryRatio\": 0.2, \"retryWindowMs\": \"10 s\", \"weightsBoundMs\": 10000 } }\n";
    start(name, settings, { "--set", "/forwarding/rollouts=" });
}

int deployment::leader() const
{
    int found = 0;
    std::uint64_t latest = 0;
    for (int number = 1; number < 90; ++number) {
        std::ifstream log(m_folder + "/core-" + std::to_string(number) + ".log");
        std::string line;
        while (std::getline(log, line)) {
            auto term = line.find(" term=");
            if (line.find("event=role_changed role=leader") == std::string::npos || term == std::string::npos)
                continue;
            auto value = std::stoull(line.substr(term + 6));
            if (value <= latest)
                continue;
            latest = value;
            found = number;
        }
    }
    return found;
}

bool deployment::isReady(int entry) const
{
    return call(readinessAddress(entry), "GET", "/readiness", {}, {}, milliseconds(500)).status == 200;
}

int runCase(int argc, char** argv, const std::function<int(deployment&, record&, bool trouble)>& body,
    const std::vector<std::string>& zones)
{
    if (argc != 4) {
        std::cerr << "usage: " << argv[0] << " ROOT TEMPORARY-FOLDER RECORD\n";
        return couldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* setting = std::getenv("TROUBLE");
    bool trouble = !setting || std::string(setting) != "0";
    record out(argv[3]);
    try {
        out.line(std::string("begins, ") + (trouble ? "with" : "without") + " the disruption");
        deployment machines(argv[1], argv[2], zones, out);
        int result = body(machines, out, trouble);
        constexpr const char* names[] = { "the rule held", "the rule is broken", "could not run" };
        out.line(std::string("ends: ") + names[result]);
        std::cout << names[result] << '\n';
        return result;
    } catch (const std::exception& error) {
        out.line(std::string("could not run: ") + error.what());
        std::cerr << error.what() << '\n';
        return couldNotRun;
    }
}

} // namespace review
