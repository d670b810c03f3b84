#include "plumfold_rollout_controller.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace plumfold;

namespace {

constexpr std::chrono::milliseconds tickInterval { 40 };
constexpr int ticksUntilInformed = 60; // 2.4 s

/// A control VM that leads a group, with targets of both versions and an entry that reports.
class fixture {
public:
    explicit fixture(double exposureShare)
    {
        m_settings.control.emplace();
        m_settings.control->address = "127.0.0.1:7000";
        m_settings.control->rolloutExposureShare = exposureShare;
        m_settings.control->targetSilenceMs = 60'000;
        m_record.id = 9;
        m_record.version = "v2";
        m_record.formerVersions = { "v1" };
        m_record.durationMs = 12'000;
        m_rpc.run([&] {
            m_feed = std::make_unique<control::deployment_feed>(m_rpc, m_settings);
            m_controller = std::make_unique<control::rollout_controller>(
                m_settings, *m_feed, [this](core::command command) {
                    m_proposals.push_back(std::get<core::decide_rollout_command>(command.payload));
                    return kj::Promise<control::propose_response>(kj::NEVER_DONE);
                });
            for (const char* version : { "v1", "v2" })
                announce(version);
        });
    }

    ~fixture()
    {
        m_rpc.run([&] {
            m_controller.reset();
            m_feed.reset();
        });
    }

    void setView(bool isLeader)
    {
        m_rpc.run([&] {
            auto deployment = std::make_shared<core::deployment_state>();
            deployment->rollouts["s"] = m_record;
            control::control_view view;
            view.deployment = deployment;
            view.leases = std::make_shared<const std::map<std::string, core::lease_state>>();
            view.isLeader = isLeader;
            view.isCaughtUp = true;
            m_feed->update(std::move(view));
        });
    }

    void runTicks(int ticks)
    {
        for (int tick = 0; tick < ticks; ++tick) {
            m_rpc.run([&] {
                ++m_report.number;
                m_report.formerRequests += 20;
                m_controller->addReports({ m_report }, true);
                m_controller->tick();
            });
            std::this_thread::sleep_for(tickInterval);
        }
    }

    template <class Function> void onController(Function function)
    {
        m_rpc.run([&] { function(*m_controller); });
    }

    const std::vector<core::decide_rollout_command>& proposals() const { return m_proposals; }
    core::rollout_record& record() { return m_record; }

    core::rollout_report& report()
    {
        m_report.entry = "entry";
        m_report.service = "s";
        m_report.rollout = m_record.id;
        return m_report;
    }

private:
    void announce(const std::string& version)
    {
        core::target_announcement target;
        target.name = version;
        target.service = "s";
        target.address = version;
        target.slots = 8;
        target.softwareVersion = version;
        target.sequence = 1;
        m_feed->onAnnouncement(target);
    }

    runtime::settings m_settings;
    wire::rpc_thread m_rpc;
    std::unique_ptr<control::deployment_feed> m_feed;
    std::unique_ptr<control::rollout_controller> m_controller;
    std::vector<core::decide_rollout_command> m_proposals;
    core::rollout_record m_record;
    core::rollout_report m_report;
};

} // namespace

// Guards against decisions that overtake each other: the outcome of the first one is not known yet.
TEST_CASE("The leader proposes one decision at a time", "[rollout][controller]")
{
    fixture control(0.1);
    control.report();
    control.setView(true);
    control.runTicks(ticksUntilInformed);
    REQUIRE(control.proposals().size() == 1);
    const auto& first = control.proposals().front();
    CHECK(first.service == "s");
    CHECK(first.id == 9);
    CHECK(first.stage == core::rollout_stage::canary);
    CHECK(first.share > 0);
    CHECK(first.elapsedMs >= 1'500);
    CHECK(first.totals.formerRequests > 0);
}

// Guards against decisions of a control VM that has lost the leadership, and of one without the setting.
TEST_CASE("Only a leader with an exposure bound decides", "[rollout][controller]")
{
    fixture follower(0.1);
    follower.report();
    follower.setView(false);
    follower.runTicks(ticksUntilInformed);
    CHECK(follower.proposals().empty());

    fixture disabled(0);
    disabled.report();
    disabled.setView(true);
    disabled.runTicks(ticksUntilInformed);
    CHECK(disabled.proposals().empty());
}

// Guards against a rollout whose time starts anew at a control VM that restarted.
TEST_CASE("The earliest known order counts for the elapsed time", "[rollout][controller]")
{
    fixture control(0.1);
    control.report();
    control.record().elapsedMs = 1'000;
    control.setView(false);
    control.runTicks(1);
    control.onController([](control::rollout_controller& each) {
        auto ages = each.ages();
        REQUIRE(ages.size() == 1);
        CHECK(control::rollout_controller::isSubject(ages.front().subject));
        CHECK(ages.front().age >= core::milliseconds(1'000));
        CHECK(ages.front().age < core::milliseconds(2'000));
        ages.front().age = core::milliseconds(5'000);
        each.addAges(ages);
        each.addAges({ { "model", 7, core::milliseconds(9'000) } });
        ages = each.ages();
        REQUIRE(ages.size() == 1);
        CHECK(ages.front().age >= core::milliseconds(5'000));
    });
}

// Guards against reports that go round between control VMs, and against sharing all of them each time.
TEST_CASE("Only reports that came from entries are shared, and each one once", "[rollout][controller]")
{
    fixture control(0.1);
    auto report = control.report();
    control.setView(false);
    // The first report arrives before the rollout is followed; the next one replaces it.
    control.runTicks(2);
    control.onController([&](control::rollout_controller& each) {
        auto change = each.latestChange();
        CHECK(each.reportsAfter(0).size() == 1);
        CHECK(each.reportsAfter(change).empty());
        report.entry = "other";
        report.number = 1;
        each.addReports({ report }, false);
        CHECK(each.reportsAfter(0).size() == 1);
        each.addReports({ report }, true);
        each.addReports({ report }, true);
        CHECK(each.reportsAfter(change).size() == 1);
        report.rollout = 8;
        report.number = 2;
        each.addReports({ report }, true);
        CHECK(each.reportsAfter(0).size() == 2);
    });
}
