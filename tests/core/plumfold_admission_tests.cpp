#include "plumfold/core/plumfold_admission.hpp"

#include <catch2/catch.hpp>

#include <deque>

using namespace plumfold::core;

namespace {

route routeOf(int targetMs)
{
    route out;
    out.latencyTarget = milliseconds(targetMs);
    return out;
}

/// Prompts that arrive at a fixed rate at one engine, which serves them in order in a fixed time each.
struct overload_simulation {
    int inTime = 0;
    int rejected = 0;
    int urgentInTime = 0;

    overload_simulation(bool admits, int prompts, double serviceMs, double gapMs)
    {
        admission gate;
        double freeAt = 0;
        for (int count = 0; count < prompts; ++count) {
            double now = count * gapMs;
            std::uint32_t priority = count % 3;
            double waitMs = std::max(0.0, freeAt - now);
            if (admits && gate.rejection(routeOf(800), priority, waitMs)) {
                ++rejected;
                continue;
            }
            gate.record(waitMs, waitMs);
            freeAt = std::max(freeAt, now) + serviceMs;
            bool good = freeAt - now <= 800 + serviceMs;
            inTime += good;
            urgentInTime += good && priority == 0;
        }
    }
};

} // namespace

TEST_CASE("Without load every prompt is admitted", "[admission]")
{
    admission gate;
    for (std::uint32_t priority = 0; priority < 9; ++priority)
        CHECK_FALSE(gate.rejection(routeOf(600), priority, 20));
}

TEST_CASE("The least urgent prompts are rejected first, with a time to retry after", "[admission]")
{
    admission gate;
    CHECK_FALSE(gate.rejection(routeOf(800), 0, 700));
    auto rejection = gate.rejection(routeOf(800), 2, 700);
    REQUIRE(rejection);
    CHECK(*rejection >= milliseconds(1000));
}

TEST_CASE("Admission corrects its predictions by the observed waits", "[admission]")
{
    admission gate;
    REQUIRE_FALSE(gate.rejection(routeOf(800), 1, 400));
    for (int count = 0; count < 100; ++count)
        gate.record(100, 300);
    CHECK(gate.rejection(routeOf(800), 1, 400));
}

TEST_CASE(
    "At twice the capacity, more prompts are answered in time than without admission control", "[admission]")
{
    constexpr double serviceMs = 20;
    overload_simulation without(false, 3000, serviceMs, serviceMs / 2);
    overload_simulation with(true, 3000, serviceMs, serviceMs / 2);
    CHECK(with.inTime > 1400); // nearly all that can be served
    CHECK(without.inTime < 200);
    CHECK(with.urgentInTime > 900);
    overload_simulation calm(true, 3000, serviceMs, serviceMs * 1.2);
    CHECK(calm.rejected == 0);
}
