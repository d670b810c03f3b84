#include "plumfold/platform/plumfold_platform_deployment.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cctype>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace plumfold;
using nlohmann::json;

namespace {

struct caller_request {
    std::string host;
    std::string path;
    std::string key; // empty: none
};

std::string lowerCaseOf(std::string in)
{
    std::transform(in.begin(), in.end(), in.begin(), [](unsigned char c) { return std::tolower(c); });
    return in;
}

bool hasPort(const std::string& host)
{
    return host.find(':') != std::string::npos;
}

std::string withoutPort(const std::string& host)
{
    return host.substr(0, host.find(':'));
}

// The rules for configurations and requests, as plainly as the platform states them.

bool isValid(const json& configuration)
{
    std::set<std::pair<std::string, std::string>> places;
    for (const auto& route : configuration["routes"]) {
        if (!places.emplace(lowerCaseOf(route["host"]), route["path-prefix"]).second)
            return false;
    }
    std::set<std::string> names;
    std::set<std::string> keys;
    if (!configuration.contains("tenants"))
        return true;
    for (const auto& tenant : configuration["tenants"]) {
        if (!names.insert(tenant["name"]).second)
            return false;
        std::set<std::string> own = tenant["api-keys"];
        for (const auto& key : own) {
            if (key.empty() || !keys.insert(key).second)
                return false;
        }
    }
    return true;
}

std::string tenantOf(const json& configuration, const std::string& key)
{
    if (!configuration.contains("tenants") || key.empty())
        return {};
    for (const auto& tenant : configuration["tenants"]) {
        for (const auto& each : tenant["api-keys"]) {
            if (each == key)
                return tenant["name"];
        }
    }
    return {};
}

std::string expected(const json& configuration, const caller_request& request)
{
    const json* selected = nullptr;
    auto rankOf = [](const json& route) {
        return std::pair(hasPort(route["host"]), route["path-prefix"].get<std::string>().size());
    };
    auto host = lowerCaseOf(request.host);
    for (const auto& route : configuration["routes"]) {
        auto own = lowerCaseOf(route["host"]);
        bool isOfHost = own == host || own == withoutPort(host);
        if (!isOfHost || !request.path.starts_with(route["path-prefix"].get<std::string>()))
            continue;
        if (!selected || rankOf(route) > rankOf(*selected))
            selected = &route;
    }
    if (!selected)
        return "404";
    auto tenant = tenantOf(configuration, request.key);
    bool mayPass = (*selected)["public"] || !configuration.contains("tenants") || !tenant.empty();
    return mayPass ? selected->at("name").get<std::string>() + " for " + tenant : "401";
}

std::string actual(const core::deployment& deployment, const caller_request& request)
{
    const auto* route = deployment.findRoute(core::host_name(request.host), request.path);
    if (!route)
        return "404";
    const auto* customer = deployment.findCustomer(request.key);
    if (!customer && deployment.requiresCustomer(*route))
        return "401";
    return route->name + " for " + (customer ? customer->name : std::string());
}

rc::Gen<std::string> anyCase(const std::string& text)
{
    return rc::gen::map(rc::gen::container<std::vector<bool>>(text.size(), rc::gen::arbitrary<bool>()),
        [text](const std::vector<bool>& isUpper) {
            auto out = text;
            for (std::size_t index = 0; index < out.size(); ++index)
                out[index] = static_cast<char>(isUpper[index] ? std::toupper(out[index]) : out[index]);
            return out;
        });
}

std::string anyHost()
{
    return *anyCase(*rc::gen::element<std::string>("a.example", "b.example", "a.example:81", "b.example:82"));
}

json anyConfiguration()
{
    json out { { "version", 1 }, { "services", { { { "name", "s" } } } }, { "routes", json::array() } };
    auto routes = *rc::gen::inRange(0, 6);
    for (int number = 0; number < routes; ++number)
        out["routes"].push_back({ { "name", "r" + std::to_string(number) }, { "host", anyHost() },
            { "path-prefix", *rc::gen::element<std::string>("/", "/a/", "/a/b/", "/c/") }, { "kind", "safe" },
            { "timeout-ms", 1000 }, { "service", "s" },
            { "public", *rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } }) } });
    auto tenants = *rc::gen::inRange(-1, 4); // -1: there is no list
    if (tenants >= 0)
        out["tenants"] = json::array();
    for (int number = 0; number < tenants; ++number) {
        auto keys = *rc::gen::container<std::vector<std::string>>(rc::gen::weightedElement<std::string>(
            { { 9, "k1" }, { 9, "k2" }, { 9, "k3" }, { 9, "k4" }, { 1, "" } }));
        keys.resize(std::min<std::size_t>(keys.size(), 2));
        out["tenants"].push_back(
            { { "name", *rc::gen::element<std::string>("p", "q", "P", "Q") }, { "api-keys", keys } });
    }
    return out;
}

caller_request anyRequest()
{
    return { anyHost(), *rc::gen::element<std::string>("/", "/a/x", "/a/b/x?y=/c/", "/A/x", "/c", "/c/x"),
        *rc::gen::element<std::string>("", "k1", "k2", "k3", "K1") };
}

} // namespace

// Guards against configurations that are accepted and used as something else than what they say.
TEST_CASE("Each configuration is used as it is written or refused", "[platform][hosts][keys][property]")
{
    rc::prop("routes and customers are found as a plain model finds them", [] {
        auto configuration = anyConfiguration();
        RC_LOG(configuration.dump());
        auto decoded = platform::decodeSubmittedDeployment(configuration.dump());
        bool isAccepted = decoded.ok() && decoded->check().ok();
        RC_ASSERT(isAccepted == isValid(configuration));
        RC_CLASSIFY(isAccepted, "accepted");
        if (!isAccepted)
            return;
        for (int count = 0; count < 20; ++count) {
            auto request = anyRequest();
            RC_LOG(request.host + request.path + " key " + request.key);
            RC_ASSERT(actual(*decoded, request) == expected(configuration, request));
        }
    });
}
