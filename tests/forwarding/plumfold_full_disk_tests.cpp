#include "support/plumfold_large_configuration.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <string>
#include <sys/resource.h>
#include <vector>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int exitDiskFailed = 4;

/// Control VMs whose disks fill up. A limit of the size of their files stands for the end of the disk's
/// space: writes beyond it are cut short and then fail.
class full_disk_system : public forwarding_system {
public:
    full_disk_system()
    {
        // Writes beyond the limit fail instead of ending the process; processes that are started inherit it.
        std::signal(SIGXFSZ, SIG_IGN);
    }
    ~full_disk_system() { std::signal(SIGXFSZ, SIG_DFL); }

    void startGroup(int size)
    {
        m_size = size;
        std::vector<int> seeds;
        for (int number = 1; number <= size; ++number)
            seeds.push_back(number);
        setSeeds(seeds);
        for (int number : seeds)
            startControl(number);
        REQUIRE(change(1));
    }

    static std::string nameOf(int number) { return "c" + std::to_string(number); }

    /// Limits the size of the files of a control VM.
    /// @param bytes RLIM_INFINITY for no limit.
    void limitFiles(int number, rlim_t bytes)
    {
        rlimit limit { bytes, RLIM_INFINITY };
        int id = process(nameOf(number)).id();
        if (id > 0)
            REQUIRE(::prlimit(id, RLIMIT_FSIZE, &limit, nullptr) == 0);
    }

    /// Starts a control VM again if it has ended, as an operator's supervisor does.
    /// @return whether it had ended.
    bool restartIfEnded(int number)
    {
        auto& ended = process(nameOf(number));
        if (ended.isRunning())
            return false;
        CHECK(ended.stop() == exitDiskFailed);
        startControl(number);
        return true;
    }

    /// Sends a change of the deployment once to one control VM.
    /// @return whether it was acknowledged.
    bool tryChange(int number)
    {
        auto body = large_configuration_system::grow(deployment(m_version + 1), routes);
        ++m_version;
        if (call(number, "PUT", "/configuration", body.dump()).first != 200)
            return false;
        m_acknowledged = m_version;
        return true;
    }

    /// Sends changes until one is acknowledged.
    bool change(int number, int seconds = 20)
    {
        return eventually([&] { return tryChange(number); }, seconds);
    }

    /// Lets the disk of a control VM be full for a time, while the deployment changes.
    /// @param room bytes that can still be appended to its log.
    /// @return how often it ended.
    int fillDisk(int number, std::size_t room, milliseconds time)
    {
        int ends = 0;
        rlim_t limit = fileBytes(nameOf(number), "log") + room;
        limitFiles(number, limit);
        auto until = steady_clock::now() + time;
        for (int round = 0; steady_clock::now() < until; ++round) {
            if (restartIfEnded(number)) {
                ++ends;
                limitFiles(number, limit);
            }
            m_accepted += tryChange(1 + round % m_size);
            std::this_thread::sleep_for(50ms);
        }
        limitFiles(number, RLIM_INFINITY);
        ends += restartIfEnded(number);
        return ends;
    }

    /// @return the version of the deployment that a control VM confirms; 0 if it confirms none.
    int versionAt(int number)
    {
        auto [status, body] = call(number, "GET", "/configuration");
        return status == 200 ? nlohmann::json::parse(body).value("version", 0) : 0;
    }

    bool isLeader(int number)
    {
        auto log = logOf(nameOf(number));
        auto last = log.rfind("event=role_changed");
        return last != std::string::npos && log.compare(last + 19, 11, "role=leader") == 0;
    }

    /// Stops and restarts the leaders among control VMs 2 and 3 until control VM 1 has become the leader.
    /// @return whether it has.
    bool letFirstLead()
    {
        for (int attempt = 0; attempt < 20 && !isLeader(1); ++attempt) {
            for (int number : { 2, 3 }) {
                if (!isLeader(number))
                    continue;
                process(nameOf(number)).stop();
                eventually([&] { return isLeader(1) || isLeader(5 - number); }, 5);
                bool isFirstLeader = isLeader(1);
                startControl(number);
                if (isFirstLeader)
                    return true;
                if (!change(1))
                    return false;
            }
        }
        return isLeader(1);
    }

    int m_size = 3;
    int m_version = 3;
    int m_acknowledged = 0;
    int m_accepted = 0;

private:
    static constexpr int routes = 60;
};

} // namespace

// Guards against a group that accepts no changes any more, or loses some, after disks were full in turn.
TEST_CASE_METHOD(full_disk_system, "Changes are accepted again when the last of several full disks has room",
    "[forwarding][full_disk]")
{
    constexpr int rounds = 2;
    constexpr milliseconds fullTime { 1'500 };
    constexpr milliseconds acceptBound { 5'000 };
    constexpr std::size_t rooms[] = { 0, 7, 300, 20'000 };
    int size = GENERATE(3, 5);
    CAPTURE(size);
    // Compaction comes due while disks are full, too.
    setControlSettings({ { "snapshotEveryEntries", 20 } });
    startGroup(size);
    int ends = 0;
    std::size_t turn = 0;
    for (int round = 0; round < rounds; ++round) {
        for (int number = 1; number <= size; ++number)
            ends += fillDisk(number, rooms[turn++ % std::size(rooms)], fullTime);
    }
    auto roomAt = steady_clock::now();
    REQUIRE(change(1 + size / 2));
    auto took = std::chrono::duration_cast<milliseconds>(steady_clock::now() - roomAt);
    WARN("ends=" << ends << " accepted_meanwhile=" << m_accepted << " accepted_after_ms=" << took.count());
    CHECK(took <= acceptBound);
    CHECK(ends > 0);
    CHECK(m_accepted > 0);
    for (int number = 1; number <= size; ++number) {
        CAPTURE(number);
        CHECK(process(nameOf(number)).isRunning());
        CHECK(eventually([&] { return versionAt(number) >= m_acknowledged; }));
        // A compaction may still be in progress. No change follows, so none replaces a file that was left.
        CHECK(eventually([&] { return fileBytes(nameOf(number), "snapshot.new") == 0; }));
        CHECK(eventually([&] { return fileBytes(nameOf(number), "log.new") == 0; }));
    }
    // What was written is readable after a loss of all power.
    for (int number = 1; number <= size; ++number)
        process(nameOf(number)).kill();
    for (int number = 1; number <= size; ++number)
        startControl(number);
    CHECK(eventually([&] { return versionAt(1) >= m_acknowledged; }));
    CHECK(change(1));
}

// Guards against a partial file that keeps the last space of a full disk from the log.
TEST_CASE_METHOD(full_disk_system, "A compaction that fails on a full disk leaves no file behind",
    "[forwarding][full_disk]")
{
    constexpr std::size_t limit = 8 << 10; // for the log of small changes, not for the snapshot
    setControlSettings({ { "snapshotEveryEntries", 10 } });
    startGroup(3);
    int orders = 0;
    auto giveOrder = [&] { call(1, orders++ % 2 == 0 ? "POST" : "DELETE", "/evacuations/east"); };
    REQUIRE(eventually([&] {
        giveOrder();
        return fileBytes("c2", "snapshot") > 2 * limit && fileBytes("c2", "log") < limit / 4;
    }));
    limitFiles(2, limit);
    int ends = 0;
    for (int round = 0; round < 200 && ends == 0; ++round) {
        giveOrder();
        std::this_thread::sleep_for(20ms);
        if (process("c2").isRunning())
            continue;
        ++ends;
        CHECK(process("c2").stop() == exitDiskFailed);
    }
    REQUIRE(ends > 0);
    CHECK(fileBytes("c2", "snapshot.new") == 0);
    CHECK(fileBytes("c2", "log.new") == 0);
    startControl(2);
    REQUIRE(change(2));
    CHECK(eventually([&] { return versionAt(2) >= m_acknowledged; }));
}

// Guards against a leader that refuses all changes for lack of room, although the others have room, also when
// it becomes the leader again and again.
TEST_CASE_METHOD(full_disk_system, "A leader without room on its disk hands its lead to another control VM",
    "[forwarding][full_disk]")
{
    constexpr int rounds = 5;
    constexpr int changes = 6; // in each round
    constexpr milliseconds acceptBound { 5'000 };
    constexpr std::size_t limit = 80'000; // for the reserve, but not for a snapshot beside it
    setSeeds({ 1, 2, 3 });
    setControlSettings({ { "maxDataBytes", limit } });
    startControl(1);
    setControlSettings(nlohmann::json::object());
    startControl(2);
    startControl(3);
    REQUIRE(change(1));
    milliseconds slowest { 0 };
    for (int round = 0; round < rounds; ++round) {
        REQUIRE(letFirstLead());
        for (int count = 0; count < changes; ++count) {
            auto begin = steady_clock::now();
            REQUIRE(change(1 + count % 3));
            slowest
                = std::max(slowest, std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin));
        }
    }
    CHECK(slowest <= acceptBound);
    CHECK(fileBytes("c1", "log") + fileBytes("c1", "snapshot") + (64 << 10) > limit);
}

// Guards against logs that are never compacted because the changes that fill them are large and few.
TEST_CASE_METHOD(full_disk_system,
    "Changes are accepted although the logs of all control VMs have reached the data limit",
    "[forwarding][full_disk]")
{
    constexpr int changes = 40;
    constexpr milliseconds acceptBound { 5'000 };
    constexpr std::size_t limit = 250'000;
    setControlSettings({ { "maxDataBytes", limit } });
    startGroup(3);
    milliseconds slowest { 0 };
    for (int count = 0; count < changes; ++count) {
        CAPTURE(count, fileBytes("c1", "log"), fileBytes("c1", "snapshot"));
        auto begin = steady_clock::now();
        REQUIRE(change(1 + count % 3));
        slowest = std::max(slowest, std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin));
    }
    CHECK(slowest <= acceptBound);
    for (int number = 1; number <= 3; ++number) {
        CHECK(process(nameOf(number)).isRunning());
        CHECK(eventually([&] { return versionAt(number) >= m_acknowledged; }));
    }
    // What was written is readable after a loss of all power.
    for (int number = 1; number <= 3; ++number)
        process(nameOf(number)).kill();
    for (int number = 1; number <= 3; ++number)
        startControl(number);
    CHECK(eventually([&] { return versionAt(1) >= m_acknowledged; }));
    CHECK(change(1));
}
