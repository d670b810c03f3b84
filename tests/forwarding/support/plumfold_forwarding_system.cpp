#include "plumfold_forwarding_system.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/String.h>

#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace plumfold::tests {

namespace {

using json = nlohmann::json;

constexpr int receiveTimeoutSeconds = 10;
constexpr int firstTargetHost = 140;
constexpr int rpcPort = 7000;
constexpr int platformPort = 7080;

/// @return the program of a process. To try builds side by side, PLUMFOLD_OTHER_DAEMON names another program
/// and PLUMFOLD_OTHER_PROCESSES the processes that run it, each followed by a comma.
std::string daemonOf(const std::string& process)
{
    const char* program = std::getenv("PLUMFOLD_OTHER_DAEMON");
    const char* processes = std::getenv("PLUMFOLD_OTHER_PROCESSES");
    bool isOther = program && processes
        && (',' + std::string(processes)).find(',' + process + ',') != std::string::npos;
    return isOther ? program : PLUMFOLD_DAEMON;
}

} // namespace

raw_caller::raw_caller(const std::string& address)
    : m_socket(Poco::Net::SocketAddress(address))
{
    m_socket.setReceiveTimeout(Poco::Timespan(receiveTimeoutSeconds, 0));
}

void raw_caller::send(const std::string& bytes)
{
    m_socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

void raw_caller::setReceiveTimeout(std::chrono::milliseconds time)
{
    m_socket.setReceiveTimeout(Poco::Timespan(time.count() * 1000));
}

void raw_caller::readSlowly(int receiveBuffer, std::chrono::milliseconds pause)
{
    m_socket.setReceiveBufferSize(receiveBuffer);
    m_pause = pause;
}

void raw_caller::close()
{
    m_socket.close();
}

bool raw_caller::readBytes(std::size_t count)
{
    while (m_buffer.size() < count) {
        char bytes[4096];
        std::this_thread::sleep_for(m_pause.load());
        try {
            int got = m_socket.receiveBytes(bytes, sizeof(bytes));
            if (got <= 0)
                return false;
            m_buffer.append(bytes, static_cast<std::size_t>(got));
        } catch (const Poco::Exception&) {
            return false;
        }
    }
    return true;
}

std::optional<std::string> raw_caller::readUntil(const std::string& delimiter)
{
    std::size_t end = 0;
    while ((end = m_buffer.find(delimiter)) == std::string::npos) {
        if (!readBytes(m_buffer.size() + 1))
            return std::nullopt;
    }
    std::string text = m_buffer.substr(0, end);
    m_buffer.erase(0, end + delimiter.size());
    return text;
}

raw_response raw_caller::receive()
{
    raw_response response;
    auto head = readUntil("\r\n\r\n");
    if (!head)
        return response;
    response.status = std::atoi(head->substr(9, 3).c_str());
    response.headers = Poco::toLower(*head);
    if (response.headers.find("transfer-encoding: chunked") == std::string::npos) {
        auto at = response.headers.find("content-length: ");
        std::size_t length
            = at == std::string::npos ? 0 : std::strtoul(&response.headers[at + 16], nullptr, 10);
        response.isComplete = readBytes(length);
        response.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return response;
    }
    while (auto size = readUntil("\r\n")) {
        std::size_t length = std::strtoul(size->c_str(), nullptr, 16);
        if (!readBytes(length + 2))
            return response;
        response.body += m_buffer.substr(0, length);
        m_buffer.erase(0, length + 2);
        response.isComplete = length == 0;
        if (response.isComplete)
            return response;
    }
    return response;
}

bool raw_caller::isClosedWithin(int milliseconds)
{
    m_socket.setReceiveTimeout(Poco::Timespan(milliseconds * 1000));
    char byte = 0;
    try {
        return m_socket.receiveBytes(&byte, 1) <= 0;
    } catch (const Poco::TimeoutException&) {
        return false;
    } catch (const Poco::Exception&) {
        return true;
    }
}

forwarding_system::forwarding_system()
{
    // The process id keeps the addresses of concurrent test runs apart.
    auto id = static_cast<unsigned>(::getpid());
    m_network = "127." + std::to_string(1 + id / 250 % 250) + '.' + std::to_string(1 + id % 250);
    std::string folderTemplate = (std::filesystem::temp_directory_path() / "plumfold-test-XXXXXX").string();
    m_folder = ::mkdtemp(folderTemplate.data());
}

forwarding_system::~forwarding_system()
{
    m_stopping = true;
    if (m_announcer.joinable())
        m_announcer.join();
    m_processes.clear();
    m_targets.clear();
    for (int pipe : m_pipes)
        ::close(pipe);
    // Logs of a failing run can be read afterwards.
    if (std::getenv("PLUMFOLD_KEEP_TEST_FOLDERS") == nullptr)
        std::filesystem::remove_all(m_folder);
}

std::string forwarding_system::address(int host, int port) const
{
    return m_network + '.' + std::to_string(host) + ':' + std::to_string(port);
}

std::vector<std::string> forwarding_system::platformAddresses(const std::vector<int>& controls) const
{
    std::vector<std::string> all;
    for (int number : controls)
        all.push_back(address(10 + number, platformPort));
    return all;
}

void forwarding_system::start(const std::string& name, const json& settings)
{
    m_settings[name] = settings;
    auto file = m_folder / (name + ".json");
    std::ofstream(file) << settings.dump(2);
    m_processes[name] = test_process(
        { daemonOf(name), "--settings", file.string() }, (m_folder / (name + ".out")).string());
}

json forwarding_system::processSettings(const std::string& name, int number) const
{
    return { { "name", name },
        { "failureDomain", m_failureDomains[static_cast<std::size_t>(number) % m_failureDomains.size()] },
        { "failureDomains", m_failureDomains }, { "clusterSecret", "test" } };
}

void forwarding_system::startControl(int number, bool firstStart)
{
    auto name = "c" + std::to_string(number);
    auto process = processSettings(name, number);
    process["dataFolder"] = (m_folder / name).string();
    json control { { "address", controlAddress(number) },
        { "platformAddress", address(10 + number, platformPort) }, { "seeds", platformAddresses(m_seeds) },
        { "rpcPort", rpcPort }, { "firstStart", firstStart }, { "electionTimeoutMs", 300 },
        { "sharedLimitLeaseMs", m_sharedLimitLease.count() } };
    if (m_memberTimeout)
        control["memberTimeoutMs"] = m_memberTimeout->count();
    if (m_rolloutExposure) {
        control["rolloutExposureShare"] = m_rolloutExposure->first;
        control["rolloutExposureSlack"] = m_rolloutExposure->second;
    }
    if (m_firstControlListener > 0)
        control["listenAddress"] = address(m_firstControlListener + number, rpcPort);
    control.update(m_controlSettings);
    start(name, { { "process", process }, { "control", control } });
}

std::string forwarding_system::controlAddress(int number) const
{
    return address(10 + number, rpcPort);
}

void forwarding_system::blockOutput(const std::string& name)
{
    auto file = (m_folder / (name + ".out")).string();
    ::mkfifo(file.c_str(), 0600);
    m_pipes.push_back(::open(file.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC)); // never read
}

void forwarding_system::startEntry(int number)
{
    auto name = "n" + std::to_string(number);
    auto process = processSettings(name, number);
    process["gracePeriodMs"] = m_gracePeriod.count();
    json forwarding { { "callerAddress", callerAddress(number) },
        { "readinessAddress", address(20 + number, 8001) }, { "relayAddress", address(20 + number, 8002) },
        { "control", platformAddresses(m_seeds) }, { "controlPort", rpcPort },
        { "weightsBoundMs", m_weightsBound.count() } };
    if (m_rolloutExposure || m_hasRollouts)
        forwarding["rollouts"] = true;
    if (m_usesPlaces)
        forwarding["targetPlaces"] = true;
    start(name, { { "process", process }, { "forwarding", forwarding } });
}

scripted_target& forwarding_system::startTarget(const std::string& name, const std::string& service,
    std::chrono::milliseconds coldFor, const std::string& version,
    const std::function<void(scripted_target&)>& prepare)
{
    auto host = firstTargetHost + static_cast<int>(m_targets.size());
    announced_target started { std::make_unique<scripted_target>(name, address(host, 8080), version), service,
        std::chrono::steady_clock::now() + coldFor };
    auto& server = *started.server;
    if (prepare)
        prepare(server);
    {
        std::lock_guard lock(m_targetsMutex);
        m_targets[name] = std::move(started);
    }
    announce(name);
    return server;
}

std::pair<int, std::string> forwarding_system::call(
    int control, const std::string& method, const std::string& path, const std::string& body)
{
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(
            address(10 + control, platformPort)) };
        session.setTimeout(Poco::Timespan(3, 0));
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string text;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
        return { response.getStatus(), text };
    } catch (const Poco::Exception&) {
        return { 0, {} };
    }
}

void forwarding_system::announce(const std::string& target, const std::string& state)
{
    const auto& announced = [&]() -> const announced_target& {
        std::lock_guard lock(m_targetsMutex);
        return m_targets.at(target);
    }();
    auto coldFor = std::chrono::duration_cast<std::chrono::milliseconds>(
        announced.coldUntil - std::chrono::steady_clock::now());
    json body { { "service", announced.service }, { "address", announced.server->address() },
        { "zone", "east" }, { "version", announced.server->version() }, { "slots", m_targetSlots },
        { "state", state }, { "cold-remaining-ms", std::max<std::int64_t>(coldFor.count(), 0) },
        { "sequence", ++m_sequence }, { "born", m_targetStart.load() } };
    if (auto weights = announced.server->weights())
        body["models"] = { { { "name", weights->model }, { "version", weights->version },
            { "adapters", json::array() } } };
    for (int control : m_seeds) {
        if (call(control, "PUT", "/instances/" + target, body.dump()).first == 200)
            return;
    }
}

void forwarding_system::startAnnouncing(std::chrono::milliseconds interval)
{
    m_announcer = std::thread([this, interval] {
        while (!m_stopping) {
            std::vector<std::string> names;
            {
                std::lock_guard lock(m_targetsMutex);
                for (const auto& [name, target] : m_targets) {
                    if (!target.server->isSilent() && !target.server->hasCrashed())
                        names.push_back(name);
                }
            }
            for (const auto& name : names)
                announce(name);
            std::this_thread::sleep_for(interval);
        }
    });
}

json forwarding_system::deployment(int version) const
{
    auto route = [](const char* name, const char* prefix, const char* kind, int attempts, bool resumable) {
        return json { { "name", name }, { "host", "shop.example" }, { "path-prefix", prefix },
            { "kind", kind }, { "timeout-ms", 2500 }, { "target-latency-ms", 1000 }, { "priority", 1 },
            { "service", "shop" }, { "max-attempts", attempts }, { "public", false },
            { "resumable", resumable }, { "target-gap-ms", 800 } };
    };
    return { { "version", version },
        { "routes",
            { route("orders", "/shop/", "unsafe", 2, false), route("stock", "/stock/", "safe", 2, false),
                route("words", "/words/", "streaming", 2, true),
                route("notes", "/notes/", "streaming", 2, false) } },
        { "services", { { { "name", "shop" }, { "connection-limit", 100 } } } },
        { "limits",
            { { "max-header-bytes", 4096 }, { "max-body-bytes", 10000 }, { "header-timeout-ms", 700 },
                { "idle-timeout-ms", 5000 } } },
        { "tenants", { { { "name", "espuma" }, { "api-keys", { "key-1" } } } } } };
}

bool forwarding_system::putDeployment(int control, const json& body)
{
    return eventually([&] { return call(control, "PUT", "/configuration", body.dump()).first == 200; });
}

bool forwarding_system::isReady(int entry)
{
    try {
        Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(address(20 + entry, 8001)) };
        Poco::Net::HTTPRequest request("GET", "/readiness", Poco::Net::HTTPMessage::HTTP_1_1);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        return response.getStatus() == 200;
    } catch (const Poco::Exception&) {
        return false;
    }
}

void forwarding_system::waitForTarget(int entry, const std::string& path)
{
    eventually([&] { return isReady(entry) && request(entry, path).status == 200; });
}

std::string forwarding_system::nextId()
{
    static std::atomic<int> next { 1 };
    return "request-" + std::to_string(next++);
}

std::string forwarding_system::requestBytes(const std::string& path, const std::string& id,
    const std::string& body, const std::map<std::string, std::string>& headers)
{
    std::map<std::string, std::string> all { { "Host", "shop.example" }, { "Request-Id", id },
        { "Request-Deadline", "2000" }, { "Api-Key", "key-1" },
        { "Content-Length", std::to_string(body.size()) } };
    for (const auto& [name, value] : headers)
        all[name] = value;
    std::string bytes = "POST " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : all) {
        if (!value.empty())
            bytes += name + ": " + value + "\r\n";
    }
    return bytes + "\r\n" + body;
}

raw_response forwarding_system::request(int entry, const std::string& path, const std::string& body,
    const std::map<std::string, std::string>& headers)
{
    try {
        raw_caller caller(callerAddress(entry));
        caller.send(requestBytes(path, nextId(), body, headers));
        return caller.receive();
    } catch (const Poco::Exception&) {
        return {};
    }
}

void forwarding_system::rewriteSeeds(const std::string& name, const std::vector<int>& controls)
{
    auto settings = m_settings.at(name);
    settings["forwarding"]["control"] = platformAddresses(controls);
    std::ofstream(m_folder / (name + ".json")) << settings.dump(2);
}

std::string forwarding_system::logOf(const std::string& name) const
{
    std::ifstream in(m_folder / (name + ".out"));
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

int forwarding_system::leader(const std::vector<int>& controls) const
{
    static const std::string becomesLeader = "event=role_changed role=leader term=";
    int found = 0;
    long highestTerm = 0;
    for (int number : controls) {
        auto log = logOf("c" + std::to_string(number));
        auto at = log.rfind(becomesLeader);
        long term = at == std::string::npos ? 0 : std::atol(&log[at + becomesLeader.size()]);
        if (term > highestTerm) {
            highestTerm = term;
            found = number;
        }
    }
    return found;
}

std::size_t forwarding_system::fileBytes(const std::string& name, const std::string& file) const
{
    std::error_code error;
    auto bytes = std::filesystem::file_size(m_folder / name / file, error);
    return error ? 0 : bytes;
}

std::size_t forwarding_system::folderBytes(const std::string& name) const
{
    std::size_t bytes = 0;
    for (const auto& each : std::filesystem::directory_iterator(m_folder / name))
        bytes += each.is_regular_file() ? each.file_size() : 0;
    return bytes;
}

bool forwarding_system::eventually(const std::function<bool()>& condition, int seconds)
{
    auto until = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

} // namespace plumfold::tests
