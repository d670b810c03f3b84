#include "support/plumfold_test_system.hpp"

#include "plumfold_fake_completion.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plumfold;
using tests::test_system;

TEST_CASE_METHOD(test_system, "Every target loads a new current weight version", "[orders]")
{
    startControl();
    startEntry(1);
    startEntry(2);
    startEngine("e1", 1);
    startEngine("e2", 2, { "--ignore-fencing" });
    startEngine("e3", 1);
    for (int entry : { 1, 2 })
        waitForTargets(entry, 3);
    configure({ "version", "put", "base", "v2" });
    CHECK(
        eventually([&] { return complete(1, "hello").text == fakes::fakeCompletionText("hello", "v2", 8); }));
    auto ordered = [&](const std::string& name) {
        auto lines = logOf(name);
        return std::count_if(
            lines.begin(), lines.end(), [](const auto& line) { return line.starts_with("order v2"); });
    };
    CHECK(eventually([&] { return ordered("e1") == 1 && ordered("e2") == 1 && ordered("e3") == 1; }));
    SECTION("also after the entry that sent the orders was killed")
    {
        process("entry-1").kill();
        startEntry(1);
        configure({ "version", "put", "base", "v3" });
        CHECK(eventually(
            [&] { return complete(1, "hello").text == fakes::fakeCompletionText("hello", "v3", 8); }));
    }
}

TEST_CASE_METHOD(test_system, "A weight rollout stops if targets cannot load the version", "[orders]")
{
    startControl();
    startEntry(1);
    for (const char* name : { "e1", "e2", "e3", "e4" })
        startEngine(name, 1, { "--bad-version", "bad" });
    waitForTargets(1, 4);
    configure({ "failure-domain", "put", "east", "--max-concurrent-loads", "2" });
    configure({ "version", "put", "base", "bad" });
    auto ordered = [&] {
        long count = 0;
        for (const char* name : { "e1", "e2", "e3", "e4" }) {
            auto lines = logOf(name);
            count += std::count_if(
                lines.begin(), lines.end(), [](const auto& line) { return line.starts_with("order bad"); });
        }
        return count;
    };
    CHECK(eventually([&] { return ordered() == 2; }));
    CHECK(eventually(
        [&] {
            return client::fetch(callerAddress(1), "/metrics").find("plumfold_versions_given_up_total 1")
                != std::string::npos;
        },
        40));
    CHECK(ordered() == 2);
    configure({ "version", "put", "base", "v1" });
    CHECK(eventually([&] { return complete(1, "hello").ok(); }));
}
