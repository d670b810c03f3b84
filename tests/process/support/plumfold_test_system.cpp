#include "plumfold_test_system.hpp"

#include "plumfold/runtime/plumfold_secrets.hpp"

#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace plumfold::tests {

namespace {

using json = nlohmann::json;

constexpr const char* operatorToken = "operator-token";
constexpr int controlVms = 3;
constexpr int pollMilliseconds = 20;

const char* failureDomainName(int number)
{
    return number == 1 ? "east" : "west";
}

} // namespace

test_system::test_system()
{
    // Derives the network from the process id, so that concurrent test runs use different addresses.
    auto id = static_cast<unsigned>(::getpid());
    m_network = "127." + std::to_string(1 + id / 250 % 250) + '.' + std::to_string(1 + id % 250);
    std::string folderTemplate = (std::filesystem::temp_directory_path() / "plumfold-test-XXXXXX").string();
    m_folder = ::mkdtemp(folderTemplate.data());
}

test_system::~test_system()
{
    m_processes.clear();
    std::filesystem::remove_all(m_folder);
}

std::string test_system::address(int host, int port) const
{
    return m_network + '.' + std::to_string(host) + ':' + std::to_string(port);
}

bool test_system::eventually(const std::function<bool()>& condition, int seconds)
{
    auto until = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(pollMilliseconds));
    }
    return true;
}

// ---------------------------------------------------------------- processes

void test_system::writeSettings(const std::string& name, int domain, const std::string& role, json body)
{
    if (m_extraSettings.contains(role))
        body.update(m_extraSettings[role]);
    json settings {
        { "process",
            { { "name", name }, { "failureDomain", failureDomainName(domain) },
                { "dataFolder", folder(name) }, { "logFile", folder(name) + ".log" },
                { "clusterSecret", "test-secret" }, { "gracePeriodMs", m_gracePeriod.count() } } },
        { role, std::move(body) },
    };
    std::ofstream(folder(name) + ".json") << settings.dump(2);
}

void test_system::startDaemon(const std::string& name)
{
    m_processes[name]
        = test_process({ PLUMFOLD_DAEMON, "--settings", folder(name) + ".json" }, folder(name) + ".out");
}

void test_system::startControlVm(int number)
{
    std::string name = "control-" + std::to_string(number);
    json peers = json::array();
    for (int other = 1; other <= controlVms; ++other) {
        if (other != number)
            peers.push_back(
                { { "name", "control-" + std::to_string(other) }, { "address", address(10 + other, 7000) } });
    }
    json operators
        = json::array({ { { "name", "test" }, { "tokenHash", runtime::sha256Hex(operatorToken) } } });
    writeSettings(name, 1 + number % 2, "control",
        { { "address", address(10 + number, 7000) }, { "peers", peers }, { "operators", operators } });
    startDaemon(name);
}

void test_system::startControl()
{
    for (int number = 1; number <= controlVms; ++number)
        startControlVm(number);
    bool formed = eventually([&] {
        int code = 0;
        plumfold({ "control", "form", address(11, 7000) }, &code);
        return code == 0 || code == 4;
    });
    if (!formed)
        throw std::runtime_error("the control group did not form before the timeout");
    for (const char* domain : { "east", "west" })
        configure({ "failure-domain", "put", domain });
    configure({ "model", "put", "base" });
    configure({ "version", "put", "base", "v1" });
    configure({ "service", "put", "orders" });
    configure({ "customer", "put", "espuma", "--key", apiKey, "--model", "base,orders" });
    configure({ "customer", "put", "samvinna", "--key", otherKey, "--model", "base" });
    eventually([&] {
        auto status = json::parse(plumfold({ "status", "--output", "json" }), nullptr, false);
        for (const auto& each : status) {
            if (each["role"] == "leader")
                return std::count_if(each["members"].begin(), each["members"].end(), [](const json& m) {
                    return m["voter"].get<bool>();
                }) == controlVms;
        }
        return false;
    });
}

void test_system::startEntry(int number)
{
    std::string name = "entry-" + std::to_string(number);
    int host = 20 + number;
    json peers = json::array();
    for (int other = 1; other <= 2; ++other) {
        if (other != number)
            peers.push_back(
                { { "name", "entry-" + std::to_string(other) }, { "address", address(20 + other, 8002) } });
    }
    json control = json::array();
    for (int vm = 1; vm <= controlVms; ++vm)
        control.push_back(address(10 + vm, 7000));
    writeSettings(name, number, "entry",
        { { "callerAddress", address(host, 8000) }, { "targetAddress", address(host, 8001) },
            { "peerAddress", address(host, 8002) }, { "peers", peers }, { "control", control },
            { "stores", json::array({ address(31, 7100) }) } });
    startDaemon(name);
}

void test_system::startStore()
{
    writeSettings("store-1", 1, "store",
        { { "address", address(31, 7100) }, { "blockAddress", address(31, 7101) },
            { "memoryBytes", 16 << 20 } });
    startDaemon("store-1");
}

void test_system::startEngine(const std::string& name, int domain, std::vector<std::string> options)
{
    if (!m_targetAddresses.contains(name))
        m_targetAddresses[name] = address(m_nextTarget++, 9000);
    std::vector<std::string> command { PLUMFOLD_FAKE_ENGINE, "--name", name, "--address",
        m_targetAddresses[name], "--failure-domain", failureDomainName(domain), "--entry",
        address(20 + domain, 8001), "--announce-ms", "100", "--log", folder(name) + ".runs" };
    command.insert(command.end(), options.begin(), options.end());
    m_processes[name] = test_process(std::move(command), folder(name) + ".out");
}

void test_system::startService(const std::string& name, int domain)
{
    if (!m_targetAddresses.contains(name))
        m_targetAddresses[name] = address(m_nextTarget++, 9000);
    m_processes[name] = test_process(
        { PLUMFOLD_FAKE_SERVICE, "--name", name, "--address", m_targetAddresses[name], "--failure-domain",
            failureDomainName(domain), "--entry", address(20 + domain, 8001), "--service", "orders",
            "--announce-ms", "100", "--log", folder(name) + ".runs" },
        folder(name) + ".out");
}

// ---------------------------------------------------------------- operators

std::string test_system::plumfold(const std::vector<std::string>& arguments, int* code)
{
    std::string control;
    for (int vm = 1; vm <= controlVms; ++vm)
        control += (vm > 1 ? "," : "") + address(10 + vm, 7000);
    std::vector<std::string> command { PLUMFOLD_CLI, "--control", control, "--token", operatorToken };
    command.insert(command.end(), arguments.begin(), arguments.end());
    static int calls = 0;
    std::string output = folder("cli-" + std::to_string(++calls));
    test_process process(std::move(command), output);
    eventually([&] { return !process.isRunning(); }, 60);
    int ended = process.stop();
    if (code)
        *code = ended;
    std::ifstream in(output);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

void test_system::configure(const std::vector<std::string>& arguments)
{
    int code = 0;
    std::string output = plumfold(arguments, &code);
    if (code != 0)
        throw std::runtime_error("the configuration change failed: " + output);
}

int test_system::leader()
{
    auto status = json::parse(plumfold({ "status", "--output", "json" }), nullptr, false);
    int best = 0;
    std::uint64_t bestTerm = 0;
    for (const auto& each : status) {
        if (each["role"] != "leader" || each["term"].get<std::uint64_t>() < bestTerm)
            continue;
        bestTerm = each["term"];
        best = each["node"].get<std::string>().back() - '0';
    }
    return best;
}

// ---------------------------------------------------------------- callers and targets

client::call_response test_system::complete(int entry, const std::string& prompt, std::uint32_t tokens,
    bool stream, std::map<std::string, std::string> headers, const std::string& key)
{
    client::call_request request;
    request.address = callerAddress(entry);
    request.path = "/v1/completions";
    request.apiKey = key;
    request.body = client::completionBody("base", prompt, tokens, stream);
    request.headers = std::move(headers);
    return client::call(request);
}

client::call_response test_system::order(int entry, const std::string& idempotencyKey,
    const std::string& body, std::map<std::string, std::string> headers)
{
    client::call_request request;
    request.address = callerAddress(entry);
    request.path = "/v1/services/orders/new";
    request.apiKey = apiKey;
    request.body = body;
    request.headers = std::move(headers);
    if (!idempotencyKey.empty())
        request.headers["Idempotency-Key"] = idempotencyKey;
    return client::call(request);
}

json test_system::readiness(int entry)
{
    auto ready = json::parse(client::fetch(callerAddress(entry), "/readyz"), nullptr, false);
    return ready.is_object() ? ready : json::object();
}

void test_system::waitForTargets(int entry, std::size_t count)
{
    if (!eventually([&] { return readiness(entry).value("targets", std::size_t(0)) == count; }))
        throw std::runtime_error(
            "the entry did not report the expected number of targets before the timeout");
}

void test_system::waitForRevision(int entry, std::uint64_t revision)
{
    if (!eventually([&] { return readiness(entry).value("revision", std::uint64_t(0)) >= revision; }))
        throw std::runtime_error("the entry did not reach the expected revision before the timeout");
}

void test_system::fault(const std::string& target, const json& faults)
{
    client::call_request request;
    request.address = m_targetAddresses.at(target);
    request.path = "/fault";
    request.body = faults.is_null() ? "{}" : faults.dump();
    client::call(request);
}

json test_system::askTarget(const std::string& target, const std::string& path)
{
    return json::parse(client::fetch(m_targetAddresses.at(target), path), nullptr, false);
}

std::vector<std::string> test_system::logOf(const std::string& target)
{
    std::ifstream in(folder(target) + ".runs");
    std::vector<std::string> lines;
    std::string line;
    while (std::getline(in, line))
        lines.push_back(line);
    return lines;
}

two_domain_system::two_domain_system()
{
    startControl();
    startEntry(1);
    startEntry(2);
    startEngine("e1", 1);
    startEngine("e2", 2);
    for (int entry : { 1, 2 }) {
        waitForTargets(entry, 2);
        waitForRevision(entry, 7);
    }
}

} // namespace plumfold::tests
