#include "support/plumfold_test_system.hpp"

#include "plumfold_fake_completion.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

using namespace plumfold;
using tests::test_system;

namespace {

/// Sends completions through the given entries until it is stopped and counts their outcomes.
class background_load {
public:
    background_load(test_system& system, std::vector<int> entries, int threads, std::size_t promptBytes = 0)
        : m_system(system)
        , m_entries(std::move(entries))
        , m_promptBytes(promptBytes)
    {
        for (int index = 0; index < threads; ++index)
            m_threads.emplace_back([this, index] { run(index); });
    }
    ~background_load() { stop(); }

    void stop()
    {
        m_stopping = true;
        for (auto& thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }

    int served = 0;
    int rejected = 0;
    int failed = 0; ///< Any other outcome, such as an incomplete response or one to a different prompt.
    std::vector<std::string> faults;

private:
    void run(int number)
    {
        for (int count = 0; !m_stopping; ++count) {
            std::string prompt = "load " + std::to_string(number) + '/' + std::to_string(count);
            if (prompt.size() < m_promptBytes)
                prompt.resize(m_promptBytes, '.');
            auto answer = m_system.complete(
                m_entries[static_cast<std::size_t>(count) % m_entries.size()], prompt, 10);
            std::lock_guard lock(m_mutex);
            if (answer.ok() && answer.text == fakes::fakeCompletionText(prompt, "v1", 10)) {
                ++served;
            } else if (answer.errorRan == "not_run" && answer.headers.contains("Retry-After")) {
                ++rejected;
            } else {
                ++failed;
                faults.push_back(
                    std::to_string(answer.status) + answer.errorType + answer.streamError + answer.failure);
            }
        }
    }

    test_system& m_system;
    std::vector<int> m_entries;
    std::size_t m_promptBytes;
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<std::thread> m_threads;
};

class run_counting_system : public tests::two_domain_system {
public:
    std::size_t runsOf(const std::string& engine)
    {
        return askTarget(engine, "/counts").value("runs", std::size_t(0));
    }
};

} // namespace

TEST_CASE_METHOD(run_counting_system,
    "A failure domain taken out of service receives no new requests and every caller gets a valid response",
    "[moves]")
{
    background_load load(*this, { 1, 2 }, 4);
    REQUIRE(eventually([&] { return runsOf("e2") > 5; }));
    configure({ "failure-domain", "put", "west", "--in-service", "false" });
    for (int entry : { 1, 2 })
        waitForRevision(entry, 8);
    std::this_thread::sleep_for(std::chrono::milliseconds(300)); // running requests end
    auto after = runsOf("e2");
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    CHECK(runsOf("e2") == after);
    configure({ "failure-domain", "put", "west" });
    CHECK(eventually([&] { return runsOf("e2") > after; }));
    load.stop();
    INFO((load.faults.empty() ? "" : load.faults.front()));
    CHECK(load.failed == 0);
    CHECK(load.served > 0);
}

TEST_CASE_METHOD(
    run_counting_system, "A target that is leaving or out of service receives no new requests", "[moves]")
{
    background_load load(*this, { 1, 2 }, 4);
    REQUIRE(eventually([&] { return runsOf("e1") > 5; }));
    SECTION("announced by the target")
    {
        fault("e1", { { "leaving", true } });
    }
    SECTION("set by an operator")
    {
        configure({ "target", "put", "e1", "--in-service", "false" });
        for (int entry : { 1, 2 })
            waitForRevision(entry, 8);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    auto after = runsOf("e1");
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    CHECK(runsOf("e1") == after);
    load.stop();
    CHECK(load.failed == 0);
}

TEST_CASE_METHOD(run_counting_system, "A cold target is never overloaded", "[moves][cold]")
{
    background_load load(*this, { 1, 2 }, 8);
    process("e1").kill();
    startEngine("e1", 1, { "--cold-requests", "6", "--cold-limit", "1" });
    CHECK(eventually([&] {
        auto counts = askTarget("e1", "/counts");
        return counts.is_object() && counts["cold_left"] == 0;
    }));
    load.stop();
    CHECK(process("e1").isRunning());
    for (const auto& line : logOf("e1"))
        CHECK(line != "overload");
}

TEST_CASE_METHOD(run_counting_system, "A cold start of the whole system overloads no target", "[moves][cold]")
{
    for (int number : { 1, 2 }) {
        std::string name = "e" + std::to_string(number);
        process(name).kill();
        startEngine(name, number, { "--cold-requests", "6", "--cold-limit", "1" });
    }
    // Restarted entries have no record of the load that a warm target handled.
    for (int number : { 1, 2 }) {
        process("entry-" + std::to_string(number)).kill();
        startEntry(number);
    }
    for (int number : { 1, 2 })
        waitForTargets(number, 2);
    constexpr std::size_t longPrompt = 4096; // 1.2 s of prefill on a cold engine
    background_load load(*this, { 1, 2 }, 6, longPrompt);
    CHECK(eventually([&] {
        for (const char* name : { "e1", "e2" }) {
            auto counts = askTarget(name, "/counts");
            if (!counts.is_object() || counts["cold_left"] != 0)
                return false;
        }
        return true;
    }));
    load.stop();
    for (const char* name : { "e1", "e2" }) {
        CHECK(process(name).isRunning());
        for (const auto& line : logOf(name))
            CHECK(line != "overload");
    }
}

TEST_CASE_METHOD(run_counting_system,
    "A stopping entry completes its open streams and rejects new requests as not run", "[moves][stop]")
{
    constexpr std::uint32_t tokens = 300;
    {
        background_load warming(*this, { 1, 2 }, 6);
        eventually([&] { return runsOf("e1") > 20 && runsOf("e2") > 20; });
    }
    std::vector<std::future<client::call_response>> streams;
    for (int index = 0; index < 4; ++index)
        streams.push_back(std::async(std::launch::async, [&] { return complete(1, "long", tokens); }));
    REQUIRE(eventually([&] { return readiness(1).value("running", 0) == 4; }));
    auto stopped = std::async(std::launch::async, [&] { return process("entry-1").stop(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    auto late = complete(1, "late");
    CHECK((late.status == 0 || late.errorType == "shutting_down"));
    CHECK((late.status == 0 || late.errorRan == "not_run"));
    for (auto& stream : streams)
        CHECK(stream.get().text == fakes::fakeCompletionText("long", "v1", tokens));
    CHECK(stopped.get() == 0);
    CHECK(complete(2, "next").ok());
}

TEST_CASE_METHOD(run_counting_system, "Every kind of process stops cleanly on SIGTERM", "[moves][stop]")
{
    startStore();
    background_load load(*this, { 2 }, 2);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    std::string leading = "control-" + std::to_string(leader());
    CHECK(process(leading).stop() == 0);
    CHECK(process("store-1").stop() == 0);
    CHECK(process("entry-1").stop() == 0);
    load.stop();
    CHECK(load.failed == 0);
    int code = 0;
    plumfold({ "failure-domain", "put", "west" }, &code);
    CHECK(code == 0);
}

TEST_CASE_METHOD(run_counting_system, "Requests through one entry succeed after the other entry is killed",
    "[moves][kill]")
{
    background_load load(*this, { 2 }, 4);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    process("entry-1").kill();
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    int before = load.served;
    CHECK(eventually([&] { return load.served > before + 10; }));
    load.stop();
    INFO((load.faults.empty() ? "" : load.faults.front()));
    CHECK(load.failed == 0);
}

TEST_CASE_METHOD(run_counting_system,
    "Exported KV blocks survive engine restarts and the loss of a store costs only recomputation",
    "[moves][store]")
{
    startStore();
    std::string conversation(16'384, 's');
    REQUIRE(eventually([&] {
        return complete(1, conversation).ok()
            && askTarget("e1", "/counts").value("bytes_exported", 0)
                + askTarget("e2", "/counts").value("bytes_exported", 0)
            > 0;
    }));
    // The engines restart with empty caches and import the blocks from the store.
    for (int number : { 1, 2 }) {
        std::string name = "e" + std::to_string(number);
        process(name).kill();
        startEngine(name, number);
    }
    CHECK(eventually([&] {
        auto answer = complete(1, conversation);
        return answer.ok() && answer.cachedTokens > 0;
    }));
    CHECK(askTarget("e1", "/counts").value("bytes_imported", 0)
            + askTarget("e2", "/counts").value("bytes_imported", 0)
        > 0);
    process("store-1").kill();
    for (int number : { 1, 2 }) {
        std::string name = "e" + std::to_string(number);
        process(name).kill();
        startEngine(name, number);
    }
    CHECK(eventually(
        [&] { return complete(1, conversation).text == fakes::fakeCompletionText(conversation, "v1", 8); }));
    for (const char* name : { "e1", "e2" })
        CHECK(askTarget(name, "/counts").value("bad_blocks", 1) == 0);
}
