#include "plumfold/core/plumfold_deployment.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace plumfold::core;

namespace {

route routeOf(std::uint32_t priority)
{
    route out;
    out.priority = priority;
    return out;
}

customer_access customerOf(std::uint32_t priority)
{
    customer_access out;
    out.priority = priority;
    return out;
}

struct waiting_request {
    std::uint32_t effectivePriority = 0;
    double serviceMs = 0;
    double targetMs = 0;
};

/// Runs the requests waiting for one target one after another, the highest priority first.
/// @return the number of requests completed within their latency target.
int servedInTime(std::vector<waiting_request> waiting)
{
    std::stable_sort(waiting.begin(), waiting.end(),
        [](const auto& left, const auto& right) { return left.effectivePriority < right.effectivePriority; });
    double now = 0;
    int inTime = 0;
    for (const auto& each : waiting) {
        now += each.serviceMs;
        inTime += now <= each.targetMs;
    }
    return inTime;
}

} // namespace

TEST_CASE("The customer's priority takes precedence over that of any route", "[deployment]")
{
    auto first = customerOf(0);
    auto second = customerOf(1);
    for (std::uint32_t left = 0; left < 5; ++left) {
        for (std::uint32_t right = 0; right < 5; ++right)
            CHECK(effectivePriorityOf(routeOf(left), &first) < effectivePriorityOf(routeOf(right), &second));
    }
}

TEST_CASE("The route's priority decides between customers with the same priority", "[deployment]")
{
    auto customer = customerOf(1);
    CHECK(effectivePriorityOf(routeOf(0), &customer) < effectivePriorityOf(routeOf(1), &customer));
    CHECK(effectivePriorityOf(routeOf(1), &customer) < effectivePriorityOf(routeOf(2), &customer));
    CHECK(effectivePriorityOf(routeOf(7), nullptr) == lowestEffectivePriority);
}

TEST_CASE(
    "Small urgent requests meet their latency target behind large ones of customers with the same priority",
    "[deployment]")
{
    // The large, less urgent prompts arrived first.
    auto customer = customerOf(1);
    std::vector<waiting_request> ranked;
    std::vector<waiting_request> unranked;
    for (int count = 0; count < 8; ++count) {
        bool isLarge = count < 4;
        auto effectivePriority = effectivePriorityOf(routeOf(isLarge ? 2 : 0), &customer);
        waiting_request one { effectivePriority, isLarge ? 250.0 : 20.0, isLarge ? 1'200.0 : 800.0 };
        ranked.push_back(one);
        one.effectivePriority = *customer.priority;
        unranked.push_back(one);
    }
    CHECK(servedInTime(ranked) == 8);
    CHECK(servedInTime(unranked) == 4);
}
