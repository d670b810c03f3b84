#include "review_kit.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int controlPort = 8582;
constexpr int frontendPort = 8580;
constexpr int readinessPort = 8586;
constexpr int internalPort = 7260;
constexpr const char* program = "target/packages/plumfoldd/plumfoldd"; // "run" of the deploy file
constexpr int heartbeatMs = 1200;

using steady = std::chrono::steady_clock;
const steady::time_point scriptStart = steady::now();

std::string lower(std::string in)
{
    for (char& each : in)
        each = static_cast<char>(std::tolower(static_cast<unsigned char>(each)));
    return in;
}

sockaddr_in socketAddress(const std::string& address)
{
    auto colon = address.rfind(':');
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

int connectTo(const std::string& address, int timeoutMs)
{
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto to = socketAddress(address);
    int one = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
        pollfd wait { socket, POLLOUT, 0 };
        int error = 0;
        socklen_t size = sizeof(error);
        bool isOpen = errno == EINPROGRESS && ::poll(&wait, 1, timeoutMs) == 1
            && ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
        if (!isOpen) {
            ::close(socket);
            return -1;
        }
    }
    return socket;
}

bool sendAll(int socket, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EAGAIN) {
            pollfd wait { socket, POLLOUT, 0 };
            if (::poll(&wait, 1, 1000) != 1)
                return false;
            continue;
        }
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Reads messages from a connection.
class reader {
public:
    reader(int socket, double deadline)
        : m_socket(socket)
        , m_deadline(deadline)
    {
    }

    std::optional<message> next()
    {
        auto head = until("\r\n\r\n");
        if (!head)
            return std::nullopt;
        message out;
        std::istringstream lines(*head);
        std::string first;
        std::string second;
        std::string line;
        lines >> first >> second;
        std::getline(lines, line);
        if (first.rfind("HTTP/", 0) == 0) {
            out.status = std::atoi(second.c_str());
        } else {
            out.method = first;
            out.path = second;
        }
        while (std::getline(lines, line)) {
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
                value.pop_back();
            out.fields[lower(line.substr(0, colon))] = value;
        }
        bool isWhole = out.field("transfer-encoding") == "chunked"
            ? readChunks(out.body)
            : take(static_cast<std::size_t>(std::atol(out.field("content-length").c_str())), out.body);
        if (!isWhole)
            return std::nullopt;
        return out;
    }

private:
    bool more()
    {
        int left = static_cast<int>(m_deadline - now());
        pollfd wait { m_socket, POLLIN, 0 };
        if (left <= 0 || ::poll(&wait, 1, left) != 1)
            return false;
        char bytes[16384];
        ssize_t count = ::recv(m_socket, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    std::optional<std::string> until(const std::string& end)
    {
        std::size_t at = 0;
        while ((at = m_buffer.find(end)) == std::string::npos) {
            if (!more())
                return std::nullopt;
        }
        auto out = m_buffer.substr(0, at);
        m_buffer.erase(0, at + end.size());
        return out;
    }

    bool take(std::size_t count, std::string& out)
    {
        while (m_buffer.size() < count) {
            if (!more())
                return false;
        }
        out += m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }

    bool readChunks(std::string& out)
    {
        while (auto size = until("\r\n")) {
            auto length = std::strtoul(size->c_str(), nullptr, 16);
            std::string end;
            if (!take(length, out) || !take(2, end))
                return false;
            if (length == 0)
                return true;
        }
        return false;
    }

    int m_socket;
    double m_deadline;
    std::string m_buffer;
};

void replaceAll(std::string& in, const std::string& from, const std::string& to)
{
    for (auto at = in.find(from); at != std::string::npos; at = in.find(from, at + to.size()))
        in.replace(at, from.size(), to);
}

std::vector<std::string> partsOf(const std::string& prefix)
{
    std::vector<std::string> out;
    std::istringstream in(prefix);
    std::string each;
    while (std::getline(in, each, ','))
        out.push_back(each.substr(0, each.find(':')));
    return out;
}

} // namespace

double now()
{
    return std::chrono::duration<double, std::milli>(steady::now() - scriptStart).count();
}

void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string text(const char* format, ...)
{
    char buffer[1024];
    va_list list;
    va_start(list, format);
    std::vsnprintf(buffer, sizeof(buffer), format, list);
    va_end(list);
    return buffer;
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void startTimeLimit(int seconds)
{
    std::thread([seconds] {
        std::this_thread::sleep_for(std::chrono::seconds(seconds));
        std::fputs("the script takes too long\n", stderr);
        std::_Exit(exitNotRun); // the processes end with this one
    }).detach();
}

record::record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w"))
{
    if (m_file == nullptr) {
        std::fprintf(stderr, "%s can't be written\n", path.c_str());
        std::exit(exitNotRun);
    }
}

record::~record()
{
    std::fclose(m_file);
}

void record::line(const std::string& text)
{
    std::lock_guard lock(m_mutex);
    std::fprintf(m_file, "%10.1f ms  %s\n", now(), text.c_str());
    std::fflush(m_file);
}

std::string message::field(const std::string& name) const
{
    auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

message call(const std::string& address, const std::string& method, const std::string& path,
    const headers& extra, const std::string& body, int timeoutMs)
{
    double deadline = now() + timeoutMs;
    int socket = connectTo(address, timeoutMs);
    if (socket < 0)
        return {};
    std::string bytes = method + ' ' + path + " HTTP/1.1\r\n";
    bool hasHost = false;
    for (const auto& [name, value] : extra) {
        hasHost = hasHost || name == "Host";
        bytes += name + ": " + value + "\r\n";
    }
    if (!hasHost)
        bytes += "Host: " + address + "\r\n";
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::optional<message> response;
    if (sendAll(socket, bytes)) {
        reader in(socket, deadline);
        response = in.next();
    }
    ::close(socket);
    return response.value_or(message {});
}

worker::worker(worker_options options)
    : m_options(std::move(options))
    , m_born(static_cast<std::uint64_t>(std::time(nullptr)) * 1000)
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    auto at = socketAddress(m_options.address);
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0
        || ::listen(m_listener, 256) != 0) {
        std::fprintf(stderr, "%s is not free\n", m_options.address.c_str());
        std::exit(exitNotRun);
    }
    m_acceptor = std::thread([this] { accept(); });
}

worker::~worker()
{
    end();
    for (auto& each : m_connections)
        each.join();
}

void worker::end()
{
    if (m_ended.exchange(true))
        return;
    m_acceptor.join();
    ::close(m_listener);
}

void worker::crash()
{
    m_crashed = true;
    end();
}

std::vector<run> worker::runs() const
{
    std::lock_guard lock(m_mutex);
    return m_runs;
}

std::string worker::heartbeat(int sequence) const
{
    auto out = text("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":64,"
                    "\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":%d,\"born\":%llu",
        m_options.service.c_str(), m_options.address.c_str(), m_options.zone.c_str(),
        m_options.version.c_str(), sequence, static_cast<unsigned long long>(m_born));
    if (!m_options.model.empty())
        out += ",\"stage\":\"both\",\"models\":[{\"name\":\"" + m_options.model
            + "\",\"version\":1,\"adapters\":[]}]";
    return out + '}';
}

void worker::accept()
{
    while (!m_ended) {
        pollfd wait { m_listener, POLLIN, 0 };
        if (::poll(&wait, 1, 50) != 1)
            continue;
        int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        int one = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        m_connections.emplace_back([this, socket] { serve(socket); });
    }
}

void worker::serve(int socket)
{
    reader in(socket, 1e12);
    while (!m_ended) {
        pollfd wait { socket, POLLIN, 0 };
        if (::poll(&wait, 1, 50) != 1)
            continue;
        auto request = in.next();
        if (!request)
            break;
        bool isStream = m_options.streamEvents > 0 && request->method == "POST" && request->path != "/order"
            && (request->field("expected-instance").empty()
                || request->field("expected-instance") == m_options.id);
        if (isStream) {
            if (!stream(socket, *request))
                break;
            continue;
        }
        auto response = respond(*request);
        std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " -\r\n";
        for (const auto& [name, value] : response.fields)
            bytes += name + ": " + value + "\r\n";
        bytes += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (!sendAll(socket, bytes))
            break;
    }
    if (m_crashed) {
        linger reset { 1, 0 };
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    ::close(socket);
}

bool worker::stream(int socket, const message& request)
{
    auto id = request.field("request-id");
    {
        std::lock_guard lock(m_mutex);
        m_runs.push_back({ now(), id, request.field("tenant"), request.field("cache-salt"), {} });
    }
    auto head = "HTTP/1.1 200 -\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." + id
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (!sendAll(socket, head))
        return false;
    for (int event = std::atoi(request.field("last-event-id").c_str()) + 1; event <= m_options.streamEvents;
         ++event) {
        for (int waited = 0; waited < m_options.eventMs && !m_crashed; waited += 10)
            sleepMs(10);
        auto data = text("id: %d\ndata: %s\n\n", event, m_options.version.c_str());
        if (m_crashed || !sendAll(socket, text("%zx\r\n", data.size()) + data + "\r\n"))
            return false;
    }
    return sendAll(socket, "0\r\n\r\n");
}

message worker::respond(const message& request)
{
    message out;
    out.status = 200;
    out.fields["Content-Type"] = "application/json";
    auto path = request.path.substr(0, request.path.find('?'));
    if (path == "/report") {
        out.body = "{\"stage\":\"both\",\"models\":[{\"name\":\"" + m_options.model
            + "\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,"
              "\"kv-used\":0,\"kv-total\":90000,\"handles\":0}";
    } else if (path == "/kv-events") {
        sleepMs(400);
        out.body = "{\"epoch\":1,\"next\":1,\"lost\":false,\"events\":[]}";
    } else if (path == "/kv-list") {
        out.body = "{\"epoch\":1,\"next\":1,\"held\":[]}";
    } else {
        out = answerRequest(request);
    }
    return out;
}

message worker::answerRequest(const message& request)
{
    message out;
    auto id = request.field("request-id");
    out.fields["Request-Id"] = id;
    auto expected = request.field("expected-instance");
    if (!expected.empty() && expected != m_options.id) {
        out.status = 421;
        out.fields["Not-Executed"] = "1";
        return out;
    }
    run started { now(), id, request.field("tenant"), request.field("cache-salt"), {} };
    {
        std::lock_guard lock(m_mutex);
        // The last part belongs to the request itself. A part is used if all parts before it are cached, too.
        auto parts = partsOf(request.field("prompt-prefix"));
        bool isCached = true;
        for (std::size_t index = 0; index < parts.size(); ++index) {
            auto [place, isNew] = m_parts.try_emplace({ started.salt, parts[index] }, started.tenant);
            isCached = isCached && !isNew;
            if (isCached && place->second != started.tenant)
                started.usedPartsOf.push_back(place->second);
            if (!isCached)
                place->second = started.tenant;
        }
        m_runs.push_back(started);
    }
    sleepMs(m_options.workMs);
    out.status = 200;
    out.fields["Response-Signature"] = "s." + id;
    bool isStream = !m_options.model.empty();
    if (isStream) {
        out.fields["Content-Type"] = "text/event-stream";
        out.fields["Weight-Versions"] = "1";
    }
    out.body = isStream ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" : "done " + id;
    return out;
}

deployment::deployment(const std::string& folder, int frontends)
    : m_record(std::make_unique<record>(folder + "/record.txt"))
    , m_frontends(frontends)
{
    auto id = static_cast<unsigned>(::getpid());
    m_network = "127." + std::to_string(1 + id / 250 % 250) + '.' + std::to_string(1 + id % 250);
    auto pattern = (std::filesystem::temp_directory_path() / "plumfold-review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        std::exit(exitNotRun);
    m_folder = pattern;
}

deployment::~deployment()
{
    m_stopping = true;
    stopLoad();
    if (m_beater.joinable())
        m_beater.join();
    for (const auto& [name, process] : m_processes) {
        ::kill(process, SIGCONT);
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    m_workers.clear();
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(m_folder);
}

std::string deployment::zone(int number)
{
    static const char* const names[] = { "reykjavik-a", "hafnarfjordur-b", "kopavogur-c", "akranes-d" };
    return names[number % zones];
}

std::string deployment::address(int host, int port) const
{
    return m_network + '.' + std::to_string(host) + ':' + std::to_string(port);
}

std::string deployment::controlAddress(int core) const
{
    return address(10 + core, controlPort);
}

std::string deployment::frontendAddress(int frontend) const
{
    return address(20 + frontend, frontendPort);
}

/// Fills in a template of the deploy file as the platform does.
std::string deployment::render(
    const std::string& templateFile, int number, bool isCore, bool firstStart) const
{
    std::ifstream in(templateFile);
    std::stringstream content;
    content << in.rdbuf();
    auto out = content.str();
    std::string allZones;
    std::string seeds;
    for (int each = 0; each < zones; ++each)
        allZones += (each > 0 ? ",\"" : "\"") + zone(each) + '"';
    for (int each = 0; each < 3; ++each)
        seeds += (each > 0 ? ",\"" : "\"") + controlAddress(each) + '"';
    auto host = (isCore ? 10 : 20) + number;
    auto name = (isCore ? "core-" : "frontend-") + zone(number) + '-' + std::to_string(1 + number / zones);
    const std::map<std::string, std::string> values { { "{{#zones}}\"{{@}}\"{{,}}{{/zones}}", allZones },
        { "{{#seed-nodes}}\"{{.}}\"{{,}}{{/seed-nodes}}", seeds }, { "{{node-name}}", name },
        { "{{zone}}", zone(number) }, { "{{data-directory}}", m_folder + "/data-" + name },
        { "{{ip-address}}", m_network + '.' + std::to_string(host) },
        { "{{internal-port-range.0}}", std::to_string(internalPort) },
        { "{{listen-addresses.control-plane}}", address(host, controlPort) },
        { "{{listen-addresses.frontend}}", address(host, frontendPort) },
        { "{{listen-addresses.readiness}}", address(host, readinessPort) },
        { "{{first-start}}", firstStart ? "true" : "false" }, { "{{bounds.grace-period-s}}", "8" },
        { "{{bounds.retry-budget-extra}}", "52" }, { "{{bounds.retry-budget-ratio}}", "0.2" },
        { "{{bounds.budget-window-s}}", "10" }, { "{{bounds.cold-overshoot}}", "1.5" },
        { "{{bounds.cold-slack}}", "5" }, { "{{bounds.lease-ms}}", "3000" },
        { "{{bounds.version-ms}}", "10000" } };
    for (const auto& [from, to] : values)
        replaceAll(out, from, to);
    if (out.empty() || out.find("{{") != std::string::npos) {
        std::fprintf(stderr, "%s can't be filled in\n", templateFile.c_str());
        std::exit(exitNotRun);
    }
    return out;
}

void deployment::startProcess(const std::string& name, const std::string& settings)
{
    auto file = m_folder + '/' + name + ".settings";
    std::ofstream(file) << settings;
    auto output = m_folder + '/' + name + ".out";
    int process = ::fork();
    if (process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int out = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        auto variable = "PLUMFOLD_CONFIG=" + file;
        char* arguments[] = { const_cast<char*>(program), nullptr };
        char* environment[] = { variable.data(), nullptr };
        ::execve(program, arguments, environment);
        std::_Exit(exitNotRun);
    }
    m_processes[name] = process;
}

bool deployment::start(const std::string& configuration)
{
    for (int core = 0; core < zones; ++core)
        startProcess("core-" + std::to_string(core), render("deploy/control.settings", core, true, true));
    for (int frontend = 0; frontend < m_frontends; ++frontend)
        startProcess(
            "frontend-" + std::to_string(frontend), render("deploy/entry.settings", frontend, false, true));
    double until = now() + 20'000;
    while (operateInTurn("operator", { 0, 1, 2, 3 }, "PUT", "/configuration", configuration) < 0) {
        if (now() > until)
            return false;
        sleepMs(200);
    }
    for (int frontend = 0; frontend < m_frontends; ++frontend) {
        while (call(address(20 + frontend, readinessPort), "GET", "/readiness", {}, {}, 1000).status != 200) {
            if (now() > until)
                return false;
            sleepMs(100);
        }
    }
    sleepMs(4000); // catch-up-s
    log().line("all processes run, all frontends are ready");
    return true;
}

void deployment::addWorker(worker_options options)
{
    auto id = options.id;
    m_workers[id] = std::make_unique<worker>(std::move(options));
}

void deployment::startHeartbeats()
{
    m_beater = std::thread([this] { beat(); });
    sleepMs(2500);
}

void deployment::stopHeartbeat(const std::string& id)
{
    std::lock_guard lock(m_mutex);
    m_silent[id] = true;
}

void deployment::restartWorker(worker_options options)
{
    std::lock_guard lock(m_mutex);
    auto id = options.id;
    m_silent[id] = true;
    m_sequences[id] = 0;
    m_workers.at(id).reset();
    m_workers.at(id) = std::make_unique<worker>(std::move(options));
}

void deployment::resumeHeartbeat(const std::string& id)
{
    std::lock_guard lock(m_mutex);
    m_silent[id] = false;
}

void deployment::beat()
{
    while (!m_stopping) {
        double next = now() + heartbeatMs;
        std::vector<std::string> ids;
        for (const auto& [id, each] : m_workers)
            ids.push_back(id);
        for (const auto& id : ids) {
            std::lock_guard lock(m_mutex);
            const auto& each = m_workers.at(id);
            if (m_silent[id])
                continue;
            // The answer names the machine in the worker's zone as heartbeat-address.
            int first = 0;
            while (zone(first) != each->options().zone)
                ++first;
            auto body = each->heartbeat(++m_sequences[id]);
            for (int turn = 0; turn < zones; ++turn) {
                auto response = call(controlAddress((first + turn) % zones), "PUT", "/instances/" + id,
                    { { "Content-Type", "application/json" } }, body, 1000);
                if (response.status / 100 == 2)
                    break;
            }
        }
        while (!m_stopping && now() < next)
            sleepMs(20);
    }
}

int deployment::operate(const std::string& who, int core, const std::string& method, const std::string& path,
    const std::string& body, int timeoutMs)
{
    double sentAt = now();
    auto status = call(
        controlAddress(core), method, path, { { "Content-Type", "application/json" } }, body, timeoutMs)
                      .status;
    log().line(text("%s: %s %s, sent at %.1f ms to core %d: %s", who.c_str(), method.c_str(), path.c_str(),
        sentAt, core, status == 0 ? "no response" : std::to_string(status).c_str()));
    return status;
}

int deployment::operateInTurn(const std::string& who, const std::vector<int>& order,
    const std::string& method, const std::string& path, const std::string& body)
{
    for (int core : order) {
        if (operate(who, core, method, path, body) / 100 == 2)
            return core;
    }
    return -1;
}

void deployment::signalCore(int core, int signal)
{
    ::kill(m_processes.at("core-" + std::to_string(core)), signal);
    log().line(text("core %d gets signal %s", core, ::strsignal(signal)));
}

void deployment::restartCore(int core)
{
    auto name = "core-" + std::to_string(core);
    ::waitpid(m_processes.at(name), nullptr, 0);
    startProcess(name, render("deploy/control.settings", core, true, false));
    log().line(text("core %d starts again", core));
}

void deployment::startLoad(
    const std::string& host, const std::string& path, const std::string& key, int perSecond)
{
    m_loader = std::thread([=, this] { load(host, path, key, perSecond); });
}

void deployment::stopLoad()
{
    m_loadStopping = true;
    if (!m_loader.joinable())
        return;
    m_loader.join();
    log().line(text("clients: %d requests answered 200, %d otherwise", m_answered.load(), m_other.load()));
}

void deployment::load(std::string host, std::string path, std::string key, int perSecond)
{
    constexpr int callers = 16;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([=, this] {
            for (int number = 0; !m_loadStopping; ++number) {
                auto id = text("c%02d-%05d", caller, number);
                int frontend = (caller + number) % m_frontends;
                double sentAt = now();
                auto status = call(frontendAddress(frontend), "POST", path,
                    { { "Host", host }, { "Request-Id", id }, { "Request-Deadline", "1500" },
                        { "Api-Key", key } },
                    "order", 1500)
                                  .status;
                ++(status == 200 ? m_answered : m_other);
                log().line(text(
                    "request %s sent at %.1f ms to frontend %d: %d", id.c_str(), sentAt, frontend, status));
                sleepMs(1000 * callers / perSecond);
            }
        });
    }
    for (auto& each : threads)
        each.join();
}

} // namespace review
