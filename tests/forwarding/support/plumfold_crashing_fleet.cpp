#include "plumfold_crashing_fleet.hpp"

#include <algorithm>

namespace plumfold::tests {

namespace {

using namespace std::chrono_literals;

constexpr int firstHost = 180;
constexpr int port = 8080;
constexpr auto restartTime = 1'500ms;
constexpr auto announceInterval = 500ms;
constexpr auto superviseInterval = 10ms;
constexpr int controlVms = 3;

} // namespace

crashing_fleet::crashing_fleet(forwarding_system& system, int size, condition isCrashing)
    : m_system(system)
    , m_isCrashing(std::move(isCrashing))
    , m_members(static_cast<std::size_t>(size))
{
    for (int number = 0; number < size; ++number) {
        auto& each = m_members[static_cast<std::size_t>(number)];
        each.address = m_system.address(firstHost + number, port);
        start(each);
    }
    m_thread = std::thread([this] { supervise(); });
}

crashing_fleet::~crashing_fleet()
{
    m_stopping = true;
    m_thread.join();
}

void crashing_fleet::start(member& target)
{
    target.startedAt = 1'000 + ++m_starts;
    target.name = "w" + std::to_string(m_starts);
    target.sequence = 0;
    auto server = std::make_unique<scripted_target>(target.name, target.address);
    server->setCrashCondition(m_isCrashing);
    {
        std::lock_guard lock(m_mutex);
        target.server = std::move(server);
    }
    announce(target);
}

void crashing_fleet::announce(member& target)
{
    nlohmann::json body { { "service", "shop" }, { "address", target.address }, { "zone", "east" },
        { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold-remaining-ms", 0 },
        { "sequence", ++target.sequence }, { "born", target.startedAt } };
    for (int control = 1; control <= controlVms; ++control) {
        if (m_system.call(control, "PUT", "/instances/" + target.name, body.dump()).first == 200)
            return;
    }
}

void crashing_fleet::supervise()
{
    auto announceAt = std::chrono::steady_clock::now() + announceInterval;
    while (!m_stopping) {
        auto now = std::chrono::steady_clock::now();
        bool isAnnouncing = now >= announceAt;
        if (isAnnouncing)
            announceAt = now + announceInterval;
        for (auto& each : m_members) {
            std::unique_lock lock(m_mutex);
            if (each.server && each.server->hasCrashed()) {
                m_crashes.push_back({ now, crashingRequests(*each.server) });
                each.server.reset();
                each.restartAt = now + restartTime;
            }
            lock.unlock();
            if (!each.server && now >= each.restartAt)
                start(each);
            else if (each.server && isAnnouncing)
                announce(each);
        }
        std::this_thread::sleep_for(superviseInterval);
    }
}

void crashing_fleet::crash(int number)
{
    std::lock_guard lock(m_mutex);
    if (auto& server = m_members.at(static_cast<std::size_t>(number)).server)
        server->crash();
}

std::vector<recorded_request> crashing_fleet::crashingRequests(const scripted_target& target) const
{
    auto requests = target.requests();
    std::erase_if(requests, [&](const auto& each) { return !m_isCrashing(each); });
    return requests;
}

std::vector<crashing_fleet::time_point> crashing_fleet::arrivals(const condition& selected) const
{
    std::lock_guard lock(m_mutex);
    std::vector<time_point> all;
    auto add = [&](const std::vector<recorded_request>& requests) {
        for (const auto& request : requests) {
            if (!selected || selected(request))
                all.push_back(request.receivedAt);
        }
    };
    for (const auto& each : m_crashes)
        add(each.crashing);
    for (const auto& each : m_members) {
        if (each.server)
            add(crashingRequests(*each.server));
    }
    std::sort(all.begin(), all.end());
    return all;
}

std::vector<crashing_fleet::time_point> crashing_fleet::crashes(const condition& selected) const
{
    std::lock_guard lock(m_mutex);
    std::vector<time_point> all;
    for (const auto& each : m_crashes) {
        if (!selected || std::any_of(each.crashing.begin(), each.crashing.end(), selected))
            all.push_back(each.at);
    }
    return all;
}

} // namespace plumfold::tests
