#include "plumfold/runtime/plumfold_settings.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

#include <fstream>
#include <map>
#include <regex>
#include <sstream>

using namespace plumfold::runtime;
using nlohmann::json;

namespace {

struct numeric_setting {
    std::string role;
    std::string key;
};

/// @return all settings that are numbers; those of lists are left out.
std::vector<numeric_setting> numericSettings()
{
    const std::regex line("/(\\w+)/(\\w+) \\| \\w+ \\| .*\\d.*");
    std::vector<numeric_setting> all;
    std::istringstream reference(settingsReference());
    for (std::string text; std::getline(reference, text);) {
        std::smatch match;
        if (std::regex_match(text, match, line))
            all.push_back({ match[1], match[2] });
    }
    return all;
}

json validSettings()
{
    return json::parse(R"({
        "process": { "name": "a", "failureDomain": "d", "clusterSecret": "x", "dataFolder": "/tmp" },
        "entry": { "callerAddress": "127.0.0.1:1", "targetAddress": "127.0.0.1:2", "peerAddress": "127.0.0.1:3",
            "control": ["127.0.0.1:4"] },
        "control": { "address": "127.0.0.1:4" },
        "forwarding": { "callerAddress": "127.0.0.1:5", "readinessAddress": "127.0.0.1:6",
            "control": ["127.0.0.1:4"], "controlPort": 4 },
        "store": { "address": "127.0.0.1:7", "blockAddress": "127.0.0.1:8" } })");
}

/// @param literal a JSON value as text.
/// @return valid settings in which one has the value.
std::string settingsWith(const numeric_setting& setting, const std::string& literal)
{
    auto in = validSettings();
    in[setting.role][setting.key] = "PLACE";
    auto text = in.dump(1);
    return text.replace(text.find("\"PLACE\""), std::string("\"PLACE\"").size(), literal);
}

rc::Gen<std::string> numberLiteral()
{
    using rc::gen::arbitrary;
    return rc::gen::exec([] {
        auto whole = std::to_string(*arbitrary<std::int64_t>() >> *rc::gen::inRange(0, 64));
        auto fraction = "." + std::to_string(*rc::gen::inRange(0, 1'000'000));
        auto exponent = "e" + std::to_string(*rc::gen::inRange(-400, 400));
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            return whole;
        case 1:
            return whole + fraction;
        case 2:
            return whole + exponent;
        case 3:
            return whole + fraction + exponent;
        case 4:
            return "\"" + whole + fraction + " s\"";
        default:
            return *rc::gen::element<std::string>("0", "-0", "18446744073709551615", "18446744073709551616",
                "1e19", "9007199254740993", "0.1", "1E2", "\"1e1 s\"", "\"s\"", "\"inf s\"", "\"5\"", "null");
        }
    });
}

std::string readFile(const std::string& path)
{
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

json::json_pointer pointerTo(const std::string& name)
{
    return json::json_pointer("/" + std::regex_replace(name, std::regex("\\."), "/"));
}

/// Renders a settings template as the platform does: values, and sections over lists, tables and single
/// values. A section of a value that is missing is left out.
std::string rendered(std::string text, const json& values)
{
    const std::regex section("\\{\\{#([\\w.-]+)\\}\\}([^]*?)\\{\\{/\\1\\}\\}");
    for (std::smatch match; std::regex_search(text, match, section);) {
        std::string all;
        auto pointer = pointerTo(match[1]);
        auto list = values.contains(pointer) ? values.at(pointer) : json::array();
        if (!list.is_structured())
            list = json::array({ list });
        std::size_t index = 0;
        for (const auto& [key, value] : list.items()) {
            std::string each = match[2];
            each = std::regex_replace(each, std::regex("\\{\\{@\\}\\}"), key);
            each = std::regex_replace(
                each, std::regex("\\{\\{\\.\\}\\}"), value.is_string() ? value.get<std::string>() : "");
            each = std::regex_replace(each, std::regex("\\{\\{,\\}\\}"), ++index < list.size() ? "," : "");
            all += each;
        }
        text = match.prefix().str() + all + match.suffix().str();
    }
    const std::regex place("\\{\\{([\\w.-]+)\\}\\}");
    for (std::smatch match; std::regex_search(text, match, place);) {
        const auto& value = values.at(pointerTo(match[1]));
        text = match.prefix().str() + (value.is_string() ? value.get<std::string>() : value.dump())
            + match.suffix().str();
    }
    return text;
}

/// @return what a deployment's sheet says, with numbers as text so that each form of them can be tried.
json sheet()
{
    return json::parse(R"({
        "node-name": "n", "ip-address": "127.0.0.1", "zone": "d", "data-directory": "/tmp", "first-start": true,
        "zones": { "d": "r", "e": "r" }, "seed-nodes": ["127.0.0.1:8204", "127.0.0.2:8204"],
        "listen-addresses": { "frontend": "127.0.0.1:1", "readiness": "127.0.0.1:2", "control-plane": "127.0.0.1:3" },
        "internal-port-range": [7420, 7435],
        "bounds": { "grace-period-s": "8", "retry-budget-extra": "58", "retry-budget-ratio": "0.2",
            "budget-window-s": "10", "cold-overshoot": "1.5", "cold-slack": "5", "lease-ms": "3000",
            "version-ms": "10000" } })");
}

absl::StatusOr<settings> parsedTemplate(const std::string& name, const json& values)
{
    return parseSettings(rendered(readFile(PLUMFOLD_SOURCE_FOLDER "/deploy/" + name), values), name);
}

} // namespace

TEST_CASE("A number in any form is accepted in each setting, or its key and the allowed values are reported",
    "[settings][property]")
{
    auto all = numericSettings();
    REQUIRE(all.size() == 33); // those of the settings reference
    rc::prop("any number in any setting", [&] {
        auto setting = *rc::gen::elementOf(all);
        auto literal = *numberLiteral();
        auto checked = parseSettings(settingsWith(setting, literal), "f");
        RC_LOG(setting.role + "/" + setting.key + ": " + literal);
        if (!checked.ok()) {
            std::string message(checked.status().message());
            RC_ASSERT(message.rfind("f: ", 0) == 0);
            RC_ASSERT(message.find(setting.key) != std::string::npos);
            RC_ASSERT(
                message.find("allowed") != std::string::npos || message.find("correct") != std::string::npos);
        }
    });
}

TEST_CASE("Whole numbers may be written with a fraction of zero or an exponent", "[settings]")
{
    auto literal = GENERATE("2000000", "2000000.0", "2e6", "0.2E7", "20000000e-1");
    auto checked = parseSettings(settingsWith({ "store", "memoryBytes" }, literal), "f");
    REQUIRE(checked.ok());
    CHECK(checked->store->memoryBytes == 2'000'000);
}

TEST_CASE("Durations are numbers of milliseconds, or text with a unit", "[settings]")
{
    auto [literal, expected] = GENERATE(table<const char*, std::uint64_t>({ { "2500", 2500 },
        { "2499.6", 2500 }, { "2.5e3", 2500 }, { "\"2.5 s\"", 2500 }, { "\"2.5s\"", 2500 },
        { "\"2500 ms\"", 2500 }, { "\"2.5e0 s\"", 2500 }, { "\"0.5 min\"", 30'000 } }));
    auto checked = parseSettings(settingsWith({ "process", "gracePeriodMs" }, literal), "f");
    INFO(literal << checked.status());
    REQUIRE(checked.ok());
    CHECK(checked->process.gracePeriodMs == expected);
}

TEST_CASE("The deployment's templates accept each figure as a fraction and in exponent form", "[settings]")
{
    auto [key, literal] = GENERATE(table<const char*, const char*>({ { "retry-budget-extra", "428.4" },
        { "retry-budget-extra", "4.28e2" }, { "retry-budget-extra", "0" }, { "retry-budget-ratio", "0.125" },
        { "retry-budget-ratio", "1" }, { "retry-budget-ratio", "0" }, { "grace-period-s", "7.5" },
        { "grace-period-s", "8e0" }, { "budget-window-s", "2.5" }, { "budget-window-s", "1e1" },
        { "cold-overshoot", "1" }, { "cold-overshoot", "1.25" }, { "cold-slack", "4.5" },
        { "cold-slack", "5e0" }, { "lease-ms", "2999.5" }, { "lease-ms", "3e3" }, { "version-ms", "10000.5" },
        { "version-ms", "1e4" } }));
    auto values = sheet();
    values["bounds"][key] = literal;
    INFO(key << " " << literal);
    auto control = parsedTemplate("control.settings", values);
    INFO(control.status());
    CHECK(control.ok());
    auto entry = parsedTemplate("entry.settings", values);
    INFO(entry.status());
    CHECK(entry.ok());
}

TEST_CASE("The deployment's templates pass on the figures of the sheet", "[settings]")
{
    auto values = sheet();
    values["bounds"]["grace-period-s"] = "7.5";
    values["bounds"]["retry-budget-extra"] = "428.4";
    values["bounds"]["retry-budget-ratio"] = "0.125";
    values["bounds"]["budget-window-s"] = "2.5";
    auto control = parsedTemplate("control.settings", values);
    REQUIRE(control.ok());
    CHECK(control->process.gracePeriodMs == 7500);
    CHECK(control->process.failureDomains == std::vector<std::string> { "d", "e" });
    CHECK(control->control->retryExtra == 428.4);
    CHECK(control->control->retryWindowMs == 2500);
    auto entry = parsedTemplate("entry.settings", values);
    REQUIRE(entry.ok());
    CHECK(entry->forwarding->retryRatio == 0.125);
    CHECK(entry->forwarding->retryWindowMs == 2500);
}

// Guards against settings of the command line that are ignored, or that a figure which the deployment lacks
// makes invalid.
TEST_CASE("Settings of the command line replace those of the file unless they are empty", "[settings]")
{
    auto text = rendered(readFile(PLUMFOLD_SOURCE_FOLDER "/deploy/control.settings"), sheet());
    auto unset = parseSettings(text, "f", { "/control/rolloutExposureShare=" });
    REQUIRE(unset.ok());
    CHECK(unset->control->rolloutExposureShare == 0);
    auto set = parseSettings(text, "f",
        { "/control/rolloutExposureShare=0.125", "/control/rolloutExposureSlack=4e1",
            "/process/name=other" });
    REQUIRE(set.ok());
    CHECK(set->control->rolloutExposureShare == 0.125);
    CHECK(set->control->rolloutExposureSlack == 40);
    CHECK(set->process.name == "other");
    auto bad = GENERATE("/control/rolloutExposureShare=2", "/control/unknown=1", "/forwarding/rollouts=true",
        "/control/rolloutExposureShare", "control=1", "/=1");
    auto status = parseSettings(text, "f", { bad }).status();
    INFO(bad << " " << status);
    CHECK_FALSE(status.ok());
}

TEST_CASE("A figure that the deployment's sheet lacks is reported with its key", "[settings]")
{
    auto key = GENERATE("retry-budget-extra", "grace-period-s", "cold-slack", "lease-ms");
    auto values = sheet();
    values["bounds"][key] = "";
    auto control = parsedTemplate("control.settings", values);
    REQUIRE_FALSE(control.ok());
    std::map<std::string, std::string> settingOf { { "retry-budget-extra", "retryExtra" },
        { "grace-period-s", "gracePeriodMs" }, { "cold-slack", "coldSlack" },
        { "lease-ms", "orderLeaseMs" } };
    CHECK_THAT(std::string(control.status().message()),
        Catch::Contains("control.settings: ") && Catch::Contains(settingOf.at(key)));
}
