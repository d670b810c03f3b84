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
                m_crashes.push_back(now);
                for (const auto& request : each.server->requests()) {
                    if (m_isCrashing(request))
                        m_arrivals.push_back(request.receivedAt);
                }
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

std::vector<crashing_fleet::time_point> crashing_fleet::arrivals() const
{
    std::lock_guard lock(m_mutex);
    auto all = m_arrivals;
    for (const auto& each : m_members) {
        for (const auto& request : each.server ? each.server->requests() : std::vector<recorded_request> {}) {
            if (m_isCrashing(request))
                all.push_back(request.receivedAt);
        }
    }
    std::sort(all.begin(), all.end());
    return all;
}

std::vector<crashing_fleet::time_point> crashing_fleet::crashes() const
{
    std::lock_guard lock(m_mutex);
    return m_crashes;
}

} // namespace plumfold::tests
