#include "plumfold_brittle_fleet.hpp"

namespace plumfold::tests {

namespace {

using namespace std::chrono_literals;

constexpr int firstHost = 200;
constexpr int port = 8080;
constexpr auto announceInterval = 500ms;
constexpr auto superviseInterval = 10ms;
constexpr int controlVms = 3;

} // namespace

brittle_fleet::brittle_fleet(forwarding_system& system, int size, int slots, int waiting)
    : m_system(system)
    , m_slots(slots)
    , m_waiting(waiting)
    , m_members(static_cast<std::size_t>(size))
{
    for (int number = 0; number < size; ++number) {
        auto& each = m_members[static_cast<std::size_t>(number)];
        each.address = m_system.address(firstHost + number, port);
        start(each);
    }
    m_thread = std::thread([this] { supervise(); });
}

brittle_fleet::~brittle_fleet()
{
    m_stopping = true;
    m_thread.join();
}

void brittle_fleet::setBrittle(std::optional<brittle_behaviour> behaviour)
{
    std::lock_guard lock(m_mutex);
    m_brittle = behaviour;
    for (auto& each : m_members) {
        if (each.server)
            each.server->room()->setBrittle(behaviour);
    }
}

void brittle_fleet::start(member& target)
{
    target.startedAt = 1'000 + ++m_starts;
    target.name = "w" + std::to_string(m_starts);
    target.sequence = 0;
    auto server = std::make_unique<scripted_target>(target.name, target.address);
    server->setRoom(m_slots, m_waiting);
    {
        std::lock_guard lock(m_mutex);
        if (m_brittle)
            server->room()->setBrittle(m_brittle);
        target.server = std::move(server);
    }
    announce(target);
}

void brittle_fleet::announce(member& target)
{
    nlohmann::json body { { "service", "shop" }, { "address", target.address }, { "zone", "east" },
        { "version", "v1" }, { "slots", m_slots }, { "state", "ready" }, { "cold-remaining-ms", 0 },
        { "sequence", ++target.sequence }, { "born", target.startedAt } };
    for (int control = 1; control <= controlVms; ++control) {
        if (m_system.call(control, "PUT", "/instances/" + target.name, body.dump()).first == 200)
            return;
    }
}

void brittle_fleet::supervise()
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
                ++m_falls;
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

} // namespace plumfold::tests
