#include "support/plumfold_crash_checks.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;

using headers = std::map<std::string, std::string>;

constexpr const char* path = "/words/events";

/// @return headers of a request with a prompt of these parts and a last one of its own.
headers promptOf(const std::string& parts, const std::string& key = "key-1")
{
    return { { "Prompt-Prefix", parts + forwarding_system::nextId() + ":40" }, { "Token-Usage", "900,6" },
        { "Api-Key", key } };
}

std::string sessionPart(std::minstd_rand& random)
{
    return "session" + std::to_string(random() % 40) + ":200,";
}

/// @return headers of a sound request: it shares the first part with all others and one with its session.
headers soundPrompt(std::minstd_rand& random)
{
    return promptOf("kind:600," + sessionPart(random));
}

bool hasCrashingPart(const recorded_request& request, const std::string& part = "bad:")
{
    auto prompt = request.headers.find("prompt-prefix");
    return prompt != request.headers.end() && prompt->second.find(part) != std::string::npos;
}

/// Targets that crash when they run requests of some customers with one part in their prompts.
class system_with_crashing_part : public crashing_system {
public:
    explicit system_with_crashing_part(const std::string& customers = "espuma samvinna")
        : crashing_system({ [customers](const recorded_request& request) {
                               return hasCrashingPart(request)
                                   && customers.find(request.headers.at("tenant")) != std::string::npos;
                           },
            5, path, soundPrompt })
    {
        auto body = deployment(4);
        for (auto& route : body["routes"])
            route["sticky-sessions"] = route["kind"] == "streaming";
        body["tenants"].push_back({ { "name", "samvinna" }, { "api-keys", { "key-2" } } });
        putDeployment(1, body);
        std::this_thread::sleep_for(500ms);
    }

    /// Sends a request, unlike all others, with a prompt.
    raw_response send(int entry, const headers& prompt)
    {
        return request(entry, path, "order " + nextId(), prompt);
    }

    /// Sends crashing requests whose prompts the function makes, and sound ones beside them.
    void crashBesideSound(const std::function<headers(std::minstd_rand&)>& makeCrashing)
    {
        std::mutex mutex;
        std::minstd_rand random(7);
        checkCrashesBesideSound(*this, [&](int entry) {
            std::unique_lock lock(mutex);
            auto prompt = makeCrashing(random);
            lock.unlock();
            send(entry, prompt);
        });
    }

    /// Checks that requests with these parts are served.
    void checkServed(const std::string& parts, const std::string& key = "key-1")
    {
        for (int count = 0; count < 8; ++count)
            CHECK(send(1 + count % entries, promptOf(parts, key)).status == 200);
    }
};

/// Only requests of the first customer crash.
class system_with_part_of_one_customer : public system_with_crashing_part {
public:
    system_with_part_of_one_customer()
        : system_with_crashing_part("espuma")
    {
    }
};

} // namespace

TEST_CASE_METHOD(system_with_crashing_part,
    "Requests with a part that crashes targets are sent to few more of them once five have crashed",
    "[forwarding][crashes][parts]")
{
    crashBesideSound([](std::minstd_rand& random) {
        switch (random() % 3) {
        case 0:
            return promptOf("bad:300," + sessionPart(random));
        case 1:
            return promptOf("kind:600,bad:300,");
        default:
            return promptOf("kind:600," + sessionPart(random) + "bad:300,");
        }
    });
}

TEST_CASE_METHOD(system_with_crashing_part,
    "A part that always comes with one that crashes targets is not rejected when it comes alone",
    "[forwarding][crashes][parts]")
{
    crashBesideSound([](std::minstd_rand&) { return promptOf("kind:600,companion:100,bad:300,"); });
    checkServed("kind:600,companion:100,");
}

TEST_CASE_METHOD(system_with_crashing_part,
    "Requests of several customers with a part that crashes targets are sent to few more of them",
    "[forwarding][crashes][parts]")
{
    crashBesideSound([](std::minstd_rand& random) {
        return promptOf("kind:600,bad:300,", random() % 2 == 0 ? "key-1" : "key-2");
    });
}

TEST_CASE_METHOD(system_with_part_of_one_customer,
    "A part that crashes targets for one customer is not rejected for another",
    "[forwarding][crashes][parts]")
{
    crashBesideSound([](std::minstd_rand&) { return promptOf("kind:600,bad:300,"); });
    checkServed("bad:300,", "key-2");
}

TEST_CASE_METHOD(system_with_crashing_part, "Crashes that no part causes lead to no verdict on one",
    "[forwarding][crashes][parts]")
{
    checkCrashesWithoutCause(*this);
}

TEST_CASE_METHOD(system_with_crashing_part,
    "The verdict on a part that crashes targets outlasts the end of all processes",
    "[forwarding][crashes][parts]")
{
    checkVerdictAfterRestart(*this, [this](int entry) { send(entry, promptOf("kind:600,bad:300,")); });
}

TEST_CASE_METHOD(system_with_crashing_part,
    "Requests with a part that crashes targets stop arriving although control VMs and entries stop, restart "
    "and are suspended",
    "[forwarding][crashes][parts][soak]")
{
    auto partOf = [](int kind) { return std::to_string(kind) + "bad:"; };
    checkCrashesDuringDisturbances(
        *this, [&](int entry, int kind) { send(entry, promptOf("kind:600," + partOf(kind) + "300,")); },
        [&](const recorded_request& request, int kind) { return hasCrashingPart(request, partOf(kind)); });
}
