#include "plumfold/core/plumfold_control_state.hpp"
#include "plumfold/core/plumfold_load_planner.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

const milliseconds timeout { 1000 };

configuration currentVersionConfig(const std::string& version)
{
    configuration config;
    config.apply(record(model_record { "base", 1, 1 }));
    config.apply(record(weight_version_record { "base", version }));
    return config;
}

std::vector<target_report> targets(int count, const std::string& version)
{
    std::vector<target_report> all;
    for (int index = 0; index < count; ++index) {
        target_report report;
        report.name = "t" + std::to_string(index);
        report.incarnation = 1;
        report.models = { { "base", version, {} } };
        all.push_back(report);
    }
    return all;
}

lease_result lease(control_state& state, unix_milliseconds at, const std::string& holder)
{
    return std::get<lease_result>(state.apply({ at, lease_command { "orders/east", holder, 1000 } }));
}

} // namespace

TEST_CASE("The number of concurrent loads stays within the failure domain's limit", "[orders]")
{
    load_planner planner(timeout);
    auto config = currentVersionConfig("v2");
    auto all = targets(8, "v1");
    instant now {};
    CHECK(planner.plan(config, all, 3, now).size() == 3);
    CHECK(planner.plan(config, all, 3, now).empty());
    all[0].models[0].version = "v2"; // the report decides, not the order's acknowledgement
    CHECK(planner.plan(config, all, 3, now).size() == 1);
}

TEST_CASE("A version that fails on several targets and succeeds on none is abandoned", "[orders]")
{
    load_planner planner(timeout);
    auto config = currentVersionConfig("bad");
    auto all = targets(8, "v1");
    instant now {};
    std::size_t ordered = 0;
    for (int round = 0; round < 20; ++round) {
        ordered += planner.plan(config, all, 1, now).size();
        now += timeout;
    }
    CHECK(ordered == 2);
    CHECK(planner.abandonedVersions().size() == 1);
    CHECK(planner.plan(currentVersionConfig("good"), all, 1, now).size() == 1);
}

TEST_CASE("A version that succeeds on one target is not abandoned", "[orders]")
{
    load_planner planner(timeout);
    auto config = currentVersionConfig("v2");
    auto all = targets(4, "v1");
    instant now {};
    planner.plan(config, all, 1, now);
    all[0].models[0].version = "v2";
    for (int round = 0; round < 6; ++round) {
        planner.plan(config, all, 1, now);
        now += timeout;
    }
    CHECK(planner.abandonedVersions().empty());
}

TEST_CASE(
    "A lease has one holder at a time, and each new holder gets a higher fencing token", "[orders][lease]")
{
    control_state state;
    auto first = lease(state, 0, "a");
    CHECK(first.granted);
    CHECK_FALSE(lease(state, 500, "b").granted);
    CHECK(lease(state, 900, "a").fence == first.fence);
    CHECK_FALSE(lease(state, 1800, "b").granted);
    auto second = lease(state, 1900, "b");
    CHECK(second.granted);
    CHECK(second.fence > first.fence);
    CHECK_FALSE(lease(state, 2000, "a").granted);
    control_state restored(state.snapshot());
    CHECK_FALSE(lease(restored, 2100, "a").granted);
    CHECK(lease(restored, 4000, "a").fence > second.fence);
}

TEST_CASE("The number of concurrent loads grows with the number of targets", "[orders]")
{
    CHECK(concurrentLoads(60, 20) == 12);
    CHECK(concurrentLoads(18, 20) == 3);
    CHECK(concurrentLoads(12, 20) == 2);
    CHECK(concurrentLoads(2, 20) == 1);
    CHECK(concurrentLoads(0, 20) == 1);
}
