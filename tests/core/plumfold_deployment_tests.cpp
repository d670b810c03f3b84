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

route routeOf(const std::string& name, const std::string& host, const std::string& prefix = "/a/")
{
    route out;
    out.name = name;
    out.host = host;
    out.pathPrefix = prefix;
    out.timeout = milliseconds(1'000);
    out.shares = { { "service", 1 } };
    return out;
}

deployment deploymentOf(
    std::vector<route> routes, std::optional<std::vector<customer_access>> customers = std::nullopt)
{
    service_limits service;
    service.name = "service";
    return { 1, std::move(routes), { service }, {}, std::move(customers) };
}

/// @return the name of the route of a request; empty if there is none.
std::string foundRoute(const deployment& in, const std::string& host, const std::string& path = "/a/b")
{
    const auto* found = in.findRoute(host_name(host), path);
    return found ? found->name : std::string();
}

customer_access customerWith(const std::string& name, std::vector<std::string> keys)
{
    customer_access out;
    out.name = name;
    out.keys = std::move(keys);
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

// Guards against routes that are never used because their hosts have capital letters.
TEST_CASE("Routes are found by hosts without regard to case", "[deployment][hosts]")
{
    auto in = deploymentOf({ routeOf("app", "Round-App.example"),
        routeOf("deep", "round-app.Example", "/a/b/"), routeOf("other", "other.example") });
    CHECK(in.check().ok());
    CHECK(foundRoute(in, "Round-App.example") == "app");
    CHECK(foundRoute(in, "round-app.example:8580") == "app");
    CHECK(foundRoute(in, "ROUND-APP.EXAMPLE", "/a/b/c") == "deep");
    CHECK(foundRoute(in, "OTHER.example") == "other");
    CHECK(foundRoute(in, "app.example").empty());
    CHECK(foundRoute(in, "round-app.example", "/A/b").empty());
    CHECK(in.routes().front().host == "Round-App.example");
}

TEST_CASE("Routes that name the port of a request precede those that name none", "[deployment][hosts]")
{
    auto in = deploymentOf({ routeOf("any", "app.example"), routeOf("deep", "app.example", "/a/b/"),
        routeOf("port", "APP.example:81"), routeOf("address", "[::1]") });
    CHECK(in.check().ok());
    CHECK(foundRoute(in, "app.example:81", "/a/b/c") == "port");
    CHECK(foundRoute(in, "app.example:82", "/a/b/c") == "deep");
    CHECK(foundRoute(in, "app.example:81", "/b/").empty());
    CHECK(foundRoute(in, "app.example") == "any");
    CHECK(foundRoute(in, "[::1]:81") == "address");
    CHECK(foundRoute(in, "[::2]").empty());
}

TEST_CASE("Routes with the same host and prefix are refused, and one of them is used", "[deployment][hosts]")
{
    auto inNormalForm = routeOf("normal", "app.example");
    auto capital = routeOf("capital", "App.example");
    auto port = routeOf("port", "app.example:");
    CHECK(foundRoute(deploymentOf({ inNormalForm, capital, port }), "app.example") == "normal");
    CHECK(foundRoute(deploymentOf({ capital, inNormalForm, port }), "app.example") == "normal");
    CHECK(foundRoute(deploymentOf({ port, capital }), "app.example") == "port");
    for (const auto& each :
        { deploymentOf({ inNormalForm, capital }), deploymentOf({ capital, inNormalForm }),
            deploymentOf({ port, capital }), deploymentOf({ inNormalForm, inNormalForm }) })
        CHECK_FALSE(each.check().ok());
}

TEST_CASE("Routes that no request can match are refused", "[deployment][hosts]")
{
    for (const auto* host :
        { "", " app.example", "app example", "http://app.example", "::1", "app.example:x" })
        CHECK_FALSE(deploymentOf({ routeOf("app", host) }).check().ok());
    for (const auto* prefix : { "", "a/", "/a", "/a b/", "/a/?b=/", "/a/#b/", "/a\n/" })
        CHECK_FALSE(deploymentOf({ routeOf("app", "app.example", prefix) }).check().ok());
    for (const auto* prefix : { "/", "//", "/a//b/", "/a%2Fb/", "/a/../b/", "/A/" }) {
        auto in = deploymentOf({ routeOf("app", "app.example", prefix) });
        CHECK(in.check().ok());
        CHECK(foundRoute(in, "app.example", std::string(prefix) + "c?d=/e/") == "app");
    }
}

// Guards against deployments without customers that admit nobody, and against empty lists that admit
// everybody.
TEST_CASE("Only a deployment without a list of customers needs no keys", "[deployment][keys]")
{
    auto closed = routeOf("closed", "app.example");
    auto open = routeOf("open", "app.example", "/open/");
    open.isPublic = true;
    auto without = deploymentOf({ closed, open });
    CHECK_FALSE(without.hasCustomers());
    CHECK_FALSE(without.requiresCustomer(closed));
    CHECK(without.findCustomer("key") == nullptr);
    CHECK(without.findCustomerNamed("espuma") == nullptr);
    auto listed = deploymentOf({ closed, open }, std::vector { customerWith("espuma", { "key", "" }) });
    for (const auto& each :
        { listed, deploymentOf({ closed, open }, std::vector<customer_access>()), deployment() }) {
        CHECK(each.hasCustomers());
        CHECK(each.requiresCustomer(closed));
        CHECK_FALSE(each.requiresCustomer(open));
        CHECK(each.findCustomer("") == nullptr);
        CHECK(each.findCustomer("other") == nullptr);
    }
    CHECK(listed.findCustomer("key")->name == "espuma");
    CHECK_FALSE(listed.check().ok());
}
