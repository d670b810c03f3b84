#include "support/plumfold_test_system.hpp"

#include "plumfold_fake_completion.hpp"

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace plumfold;
using tests::test_system;

namespace {

const std::string prompt = "summarise the gully at Vesturgata 12 ";

/// Two failure domains, each with an entry and an engine.
class two_domains : public tests::two_domain_system {
public:
    /// Waits until an engine has a running request.
    /// @return the name of that engine; empty if none has one in time.
    std::string busyEngine()
    {
        std::string busy;
        eventually([&] {
            for (const char* name : { "e1", "e2" }) {
                if (askTarget(name, "/counts").value("running", 0) > 0)
                    busy = name;
            }
            return !busy.empty();
        });
        return busy;
    }
};

} // namespace

TEST_CASE_METHOD(two_domains,
    "A caller receives the complete response although the target fails during the stream", "[answers]")
{
    constexpr std::uint32_t tokens = 200;
    auto answer = std::async(std::launch::async, [&] { return complete(1, prompt, tokens); });
    std::string busy = busyEngine();
    REQUIRE_FALSE(busy.empty());
    std::this_thread::sleep_for(std::chrono::milliseconds(100)); // some tokens were delivered
    SECTION("the target is killed")
    {
        process(busy).kill();
    }
    SECTION("the target is paused")
    {
        process(busy).pause();
    }
    SECTION("the target truncates the stream")
    {
        fault(busy, { { "cut_after", 1 } });
    }
    auto received = answer.get();
    CHECK(received.ok());
    CHECK(received.tokens == tokens);
    CHECK(received.text == fakes::fakeCompletionText(prompt, "v1", tokens));
}

TEST_CASE_METHOD(two_domains, "Concurrent callers receive their own responses, streamed or not", "[answers]")
{
    std::vector<std::future<client::call_response>> answers;
    for (int index = 0; index < 24; ++index) {
        answers.push_back(std::async(std::launch::async, [&, index] {
            return complete(1 + index % 2, prompt + std::to_string(index), 20, index % 3 != 0);
        }));
    }
    for (int index = 0; index < 24; ++index) {
        auto answer = answers[static_cast<std::size_t>(index)].get();
        INFO(answer.status << ' ' << answer.body << ' ' << answer.failure);
        CHECK(answer.ok());
        CHECK(answer.text == fakes::fakeCompletionText(prompt + std::to_string(index), "v1", 20));
    }
}

TEST_CASE_METHOD(
    two_domains, "Each token reaches the caller before the next one is generated", "[answers][stream]")
{
    startEngine("slow", 1, { "--token-us", "300000" });
    process("e1").kill();
    process("e2").kill();
    waitForTargets(1, 1);
    REQUIRE(eventually([&] { return complete(1, prompt, 1).ok(); }));
    auto answer = complete(1, prompt, 4);
    REQUIRE(answer.ok());
    // The complete response takes 4 intervals of 300 ms; the first token must not wait for any of them.
    CHECK(answer.firstToken < answer.total / 2);
}

TEST_CASE_METHOD(
    two_domains, "When the caller disconnects, the request is cancelled on the target", "[answers][cancel]")
{
    client::call_request request;
    request.address = callerAddress(1);
    request.path = "/v1/completions";
    request.apiKey = apiKey;
    request.body = client::completionBody("base", prompt, 1000, true);
    request.disconnectAfterTokens = 3;
    client::call(request);
    CHECK(eventually([&] {
        return askTarget("e1", "/counts").value("running", 1) == 0
            && askTarget("e2", "/counts").value("running", 1) == 0;
    }));
    auto lines = logOf("e1");
    auto more = logOf("e2");
    lines.insert(lines.end(), more.begin(), more.end());
    CHECK(
        std::any_of(lines.begin(), lines.end(), [](const auto& line) { return line.starts_with("cancel"); }));
}

TEST_CASE_METHOD(
    two_domains, "A rejection reports not_run only if the request did not run", "[answers][truth]")
{
    for (const char* name : { "e1", "e2" })
        fault(name, { { "refuse", true } });
    auto refused = complete(1, prompt, 8, true, { { "X-Plumfold-Deadline-Ms", "2000" } });
    CHECK(refused.status == 503);
    CHECK(refused.errorRan == "not_run");
    CHECK(refused.headers.contains("Retry-After"));
    CHECK(logOf("e1").empty());
    CHECK(logOf("e2").empty());
    SECTION("an error after a lost attempt does not report not_run")
    {
        for (const char* name : { "e1", "e2" })
            fault(name, { { "cut_after", 1 } });
        auto lost = complete(1, prompt, 8, false, { { "X-Plumfold-Deadline-Ms", "2000" } });
        CHECK(lost.status != 200);
        CHECK(lost.errorRan != "not_run");
    }
}

TEST_CASE_METHOD(two_domains, "Customers share no cached tokens, services or usage", "[answers][isolation]")
{
    std::string longPrompt(8192, 'p');
    REQUIRE(complete(1, longPrompt).ok());
    auto second = complete(1, longPrompt);
    CHECK(second.cachedTokens > 0);
    auto other = complete(1, longPrompt, 8, true, {}, otherKey);
    CHECK(other.ok());
    CHECK(other.cachedTokens == 0);
    CHECK(complete(1, longPrompt, 8, true, {}, "no-such-key").status == 401);
    client::call_request order;
    order.address = callerAddress(1);
    order.path = "/v1/services/orders/new";
    order.apiKey = otherKey;
    order.headers["Idempotency-Key"] = "k";
    CHECK(client::call(order).status == 404);
    CHECK(eventually([&] {
        auto usage = nlohmann::json::parse(plumfold({ "usage", "--output", "json" }), nullptr, false);
        std::map<std::string, int> requests;
        for (const auto& row : usage)
            requests[row["customer"]] = row["requests"];
        return requests["espuma"] == 2 && requests["samvinna"] == 1;
    }));
}

TEST_CASE_METHOD(
    two_domains, "A new request never uses KV blocks or weights of another version", "[answers][version]")
{
    std::string longPrompt(8192, 'v');
    REQUIRE(complete(1, longPrompt).text == fakes::fakeCompletionText(longPrompt, "v1", 8));
    auto inProgress = std::async(std::launch::async, [&] { return complete(1, prompt, 400); });
    std::string busy = busyEngine();
    std::string idle = busy == "e1" ? "e2" : "e1";
    fault(idle, { { "version", "v2" } });
    configure({ "version", "put", "base", "v2" });
    waitForRevision(1, 8);
    CHECK(eventually([&] { return complete(1, longPrompt).ok(); }));
    auto fresh = complete(1, longPrompt);
    CHECK(fresh.text == fakes::fakeCompletionText(longPrompt, "v2", 8));
    CHECK(inProgress.get().text == fakes::fakeCompletionText(prompt, "v1", 400));
}

TEST_CASE_METHOD(two_domains,
    "Invalid requests are rejected with a 4xx status, never run and do not affect other requests",
    "[answers][input]")
{
    auto post = [&](const std::string& body, std::map<std::string, std::string> headers = {}) {
        client::call_request request;
        request.address = callerAddress(1);
        request.path = "/v1/completions";
        request.apiKey = apiKey;
        request.body = body;
        request.headers = std::move(headers);
        return client::call(request);
    };
    CHECK(post("{").status == 400);
    CHECK(post("[]").status == 400);
    CHECK(post(R"({"model":"base"})").status == 400);
    CHECK(post(R"({"model":"none","prompt":"x"})").status == 404);
    CHECK(post(R"({"model":"base","adapter":"none","prompt":"x"})").status == 404);
    CHECK(post(R"({"model":"base","prompt":"x","max_tokens":100000})").status == 413);
    CHECK(post(R"({"model":"base","prompt":"x","max_tokens":-1})").status == 400);
    CHECK(post(R"({"model":"base","prompt":"x","n":2})").status == 400);
    CHECK(post(client::completionBody("base", std::string(300'000, 'x'), 1, true)).status == 413);
    CHECK(post(std::string(3 << 20, ' ')).status == 413);
    CHECK(post(client::completionBody("base", "x", 1, true), { { "X-Plumfold-Deadline-Ms", "soon" } }).status
        == 400);
    CHECK(post(client::completionBody("base", "x", 1, true), { { "X-Plumfold-Idempotent", "false" } }).status
        == 400);
    CHECK(logOf("e1").empty());
    CHECK(logOf("e2").empty());
    CHECK(complete(1, prompt).ok());
}

TEST_CASE_METHOD(two_domains,
    "A poison request crashes two targets at most, also when it is retried through another entry",
    "[answers][suspects]")
{
    startEngine("e3", 1);
    startEngine("e4", 2);
    waitForTargets(1, 4);
    waitForTargets(2, 4);
    for (const char* name : { "e1", "e2", "e3", "e4" })
        fault(name, { { "crash_on", "POISON" } });
    auto running = [&] {
        int count = 0;
        for (const char* name : { "e1", "e2", "e3", "e4" })
            count += process(name).isRunning();
        return count;
    };
    auto poison = complete(1, prompt + "POISON");
    CHECK(poison.errorType == "crashes_targets");
    CHECK(running() == 2);
    CHECK(eventually([&] { return complete(2, prompt + "POISON").errorType == "crashes_targets"; }));
    CHECK(running() == 2);
    CHECK(eventually([&] { return complete(1, prompt).ok(); }));
}
