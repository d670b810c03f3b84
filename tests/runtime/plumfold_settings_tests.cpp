#include "plumfold/runtime/plumfold_settings.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace plumfold::runtime;

namespace {

std::string minimalSettings(const std::string& store)
{
    return R"({ /* one */ "process": { "name": "s", "failureDomain": "d", "clusterSecret": "x" }, // two
              "store": { "address": "127.0.0.1:1", "blockAddress": "127.0.0.1:2")"
        + store + "} }";
}

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("Settings are JSON with line and block comments", "[settings]")
{
    auto settings = parseSettings(minimalSettings(""), "f");
    REQUIRE(settings.ok());
    CHECK(settings->store->address == "127.0.0.1:1");
    CHECK_FALSE(settings->entry);
}

TEST_CASE("Each settings error names the file, the path of the key and the allowed values", "[settings]")
{
    auto [text, path, expected] = GENERATE(table<std::string, std::string, std::string>({
        { minimalSettings(R"(, "colour": 1)"), "f: /store/colour", "not a known key" },
        { minimalSettings(R"(, "memoryBytes": "x")"), "f: /store/memoryBytes", "wrong type" },
        { minimalSettings(R"(, "memoryBytes": 1)"), "f: /store/memoryBytes", "out of range" },
        { minimalSettings(R"(, "memoryBytes": -1)"), "f: /store/memoryBytes", "wrong type" },
        { minimalSettings(R"(, "blockAddress": "127.0.0.1:1")"), "f: /store/blockAddress", "duplicate" },
        { minimalSettings(R"(, "blockAddress": "host:1")"), "f: /store/blockAddress", "ip:port" },
        { R"({ "process": { "name": "" } })", "f: /process/name", "is empty" },
        { R"({ "process": { "name": "" } })", "f: /process/clusterSecret", "is missing" },
        { R"({ "process": { "name": "" } })", "f: /", "no role" },
        { "[]", "f: /", "must be an object" },
        { "{", "f:", "byte" },
    }));
    INFO(text);
    auto settings = parseSettings(text, "f");
    REQUIRE_FALSE(settings.ok());
    CHECK_THAT(std::string(settings.status().message()), Catch::Contains(path) && Catch::Contains(expected));
}

TEST_CASE("The example settings files are valid", "[settings][examples]")
{
    int checked = 0;
    for (const auto& file :
        std::filesystem::recursive_directory_iterator(PLUMFOLD_SOURCE_FOLDER "/examples")) {
        if (file.path().extension() != ".json")
            continue;
        auto settings = parseSettings(readFile(file.path()), file.path().string());
        INFO(settings.status().message());
        CHECK(settings.ok());
        ++checked;
    }
    CHECK(checked == 20);
}

TEST_CASE("docs/settings.md lists every key as in the settings reference", "[settings][docs]")
{
    std::string page = readFile(PLUMFOLD_SOURCE_FOLDER "/docs/settings.md");
    std::istringstream reference(settingsReference());
    std::string line;
    while (std::getline(reference, line)) {
        INFO(line);
        CHECK(page.find(line) != std::string::npos);
    }
}

TEST_CASE("Parsing any text returns settings or an error message", "[settings][property]")
{
    rc::prop("any text", [](const std::string& text) { RC_ASSERT(!parseSettings(text, "f").ok()); });
    rc::prop("a valid text with one byte changed", [] {
        std::string text = minimalSettings(R"(, "memoryBytes": 2000000)");
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        auto settings = parseSettings(text, "f");
        RC_ASSERT(settings.ok() || !settings.status().message().empty());
    });
}

TEST_CASE("Every listening address is checked, and named if it cannot be bound", "[settings]")
{
    constexpr const char* notOfThisVm = "203.0.113.1:1"; // reserved for documentation
    settings checked;
    checked.forwarding.emplace();
    checked.forwarding->callerAddress = notOfThisVm;
    checked.forwarding->readinessAddress = notOfThisVm;
    checked.forwarding->metricsAddress = notOfThisVm;
    auto status = checkAddresses(checked, "f");
    REQUIRE_FALSE(status.ok());
    for (const char* path :
        { "/forwarding/callerAddress", "/forwarding/readinessAddress", "/forwarding/metricsAddress" })
        CHECK(std::string(status.message()).find(path) != std::string::npos);
}
