#include "support/plumfold_command_submitter.hpp"
#include "support/plumfold_serving_system.hpp"

#include <catch2/catch.hpp>

using namespace plumfold;
using namespace plumfold::tests;
using nlohmann::json;

namespace {

constexpr int applyTime = 2; // seconds from an acknowledgement until all entries use the deployment

/// A serving system to which tests add routes.
class routed_system : public serving_system {
public:
    routed_system() { startAnnouncing(); }

    /// @return the next version of the deployment, with one more route for each host.
    json deploymentWithHosts(const std::vector<std::string>& hosts)
    {
        auto body = deployment(++m_version);
        for (const auto& each : hosts) {
            auto added = body["routes"][1];
            added["name"] = "added";
            added["host"] = each;
            added["path-prefix"] = "/added/";
            body["routes"].push_back(added);
        }
        return body;
    }

    int statusOf(const std::string& host)
    {
        return request(1, "/added/whole", "order", { { "Host", host } }).status;
    }

    bool isServedInTime(const std::string& host)
    {
        return eventually([&] { return statusOf(host) == 200; }, applyTime);
    }

private:
    int m_version = 3;
};

} // namespace

// Guards against a route that is acknowledged and never used, because its host has capital letters.
TEST_CASE_METHOD(
    routed_system, "A route whose host is written in capital letters serves requests", "[forwarding][hosts]")
{
    auto body = deploymentWithHosts({ "Round-App.EXAMPLE" });
    REQUIRE(putDeployment(1, body));
    CHECK(isServedInTime("Round-App.EXAMPLE"));
    CHECK(statusOf("round-app.example") == 200);
    CHECK(statusOf("ROUND-APP.example:8580") == 200);
    CHECK(json::parse(call(2, "GET", "/configuration").second) == body);
}

// Guards against a route that is acknowledged and never used, because its host names a port or is an IPv6
// address.
TEST_CASE_METHOD(
    routed_system, "A route whose host names a port serves requests for this port", "[forwarding][hosts]")
{
    REQUIRE(putDeployment(1, deploymentWithHosts({ "App.example:8443", "[2001:DB8::1]", "[::1]:81" })));
    CHECK(isServedInTime("App.example:8443"));
    CHECK(statusOf("app.example:8443") == 200);
    CHECK(statusOf("app.example:8444") == 404);
    CHECK(statusOf("app.example") == 404);
    CHECK(statusOf("[2001:db8::1]") == 200);
    CHECK(statusOf("[2001:db8::1]:8580") == 200);
    CHECK(statusOf("[2001:db8::2]") == 404);
    CHECK(statusOf("[::1]:81") == 200);
    CHECK(statusOf("[::1]") == 404);
}

// Guards against a configuration that is acknowledged although one of two routes for the same host cannot be
// used.
TEST_CASE_METHOD(routed_system, "Routes whose hosts differ in case alone are refused", "[forwarding][hosts]")
{
    auto [status, reason]
        = call(1, "PUT", "/configuration", deploymentWithHosts({ "app.example", "App.example" }).dump());
    CHECK(status == 400);
    CHECK(reason.find("two routes have host") != std::string::npos);
}

// Guards against an entry that gets no deployment after an upgrade, because a former version accepted what is
// refused now.
TEST_CASE_METHOD(
    routed_system, "A stored configuration that is refused now remains in force", "[forwarding][hosts]")
{
    auto body = deploymentWithHosts({ "App.example", "app.example", "with blank", "old.example" });
    auto& routes = body["routes"];
    auto version = body["version"].get<std::uint64_t>();
    routes[routes.size() - 4]["service"] = "gone"; // so that requests by this route are not served
    body["services"].push_back({ { "name", "gone" }, { "connection-limit", 100 } });
    submitCommand(*this, 3, { 0, core::adopt_document_command { { version, body.dump() } } });
    CHECK(isServedInTime("old.example"));
    CHECK(statusOf("app.example") == 200);
    CHECK(statusOf("APP.example") == 200);
    CHECK(logOf("n1").find("event=deployment_invalid") != std::string::npos);
    startEntry(2);
    CHECK(eventually([&] { return isReady(2); }));
    CHECK(call(1, "PUT", "/configuration", body.dump()).first == 200); // again, unchanged
    body["version"] = version + 1;
    CHECK(call(1, "PUT", "/configuration", body.dump()).first == 400);
}
