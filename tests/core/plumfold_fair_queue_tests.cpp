#include "plumfold/core/plumfold_fair_queue.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

waiting_request waiting(request_number number, const std::string& customer, std::uint32_t weight = 1)
{
    return { number, customer, weight, 100, 1, instant(std::chrono::hours(1)) };
}

/// Starts requests in queue order.
/// @return the number of started requests per customer.
std::map<std::string, int> startSome(fair_queue& queue, int count)
{
    std::map<std::string, int> started;
    for (int index = 0; index < count; ++index) {
        const waiting_request* next = queue.front({});
        ++started[next->customer];
        queue.start(next->request);
    }
    return started;
}

} // namespace

TEST_CASE("Customers share by weight, regardless of how many requests each has waiting", "[queue][fairness]")
{
    fair_queue queue;
    request_number number = 0;
    for (int index = 0; index < 300; ++index)
        queue.push(waiting(++number, "large"));
    for (int index = 0; index < 60; ++index) {
        queue.push(waiting(++number, "small"));
        queue.push(waiting(++number, "double", 2));
    }
    auto started = startSome(queue, 80);
    CHECK(started["large"] == Approx(20).margin(2));
    CHECK(started["small"] == Approx(20).margin(2));
    CHECK(started["double"] == Approx(40).margin(2));
}

TEST_CASE("An idle customer does not accumulate credit", "[queue][fairness]")
{
    fair_queue queue;
    for (request_number number = 1; number <= 100; ++number)
        queue.push(waiting(number, "busy"));
    startSome(queue, 50);
    for (request_number number = 101; number <= 150; ++number)
        queue.push(waiting(number, "late"));
    auto started = startSome(queue, 20);
    CHECK(started["late"] == Approx(10).margin(2));
}

TEST_CASE("Within a customer, requests are ordered by priority, then by deadline", "[queue]")
{
    fair_queue queue;
    auto urgent = waiting(1, "c");
    urgent.deadline = instant(std::chrono::seconds(1));
    auto first = waiting(2, "c");
    first.priority = 0;
    queue.push(waiting(3, "c"));
    queue.push(urgent);
    queue.push(first);
    std::vector<request_number> order;
    while (const auto* next = queue.front({})) {
        order.push_back(next->request);
        queue.start(next->request);
    }
    CHECK(order == std::vector<request_number> { 2, 1, 3 });
}

TEST_CASE("Requeueing a started request undoes its charge", "[queue]")
{
    fair_queue queue;
    queue.push(waiting(1, "a"));
    queue.push(waiting(2, "b"));
    queue.start(1);
    queue.requeue(waiting(1, "a"));
    CHECK(queue.front({})->customer == "a");
    CHECK(queue.waitingCost() == 200);
    CHECK(queue.expire(instant(std::chrono::hours(1))).size() == 2);
    CHECK(queue.size() == 0);
    CHECK(queue.waitingCost() == 0);
}
