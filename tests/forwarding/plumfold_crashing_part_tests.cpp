#include "support/plumfold_crashing_system.hpp"
#include "support/plumfold_disturbances.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;

using headers = std::map<std::string, std::string>;

constexpr auto propagationTime = 3'000ms; // after the last crash that is needed for a verdict
constexpr std::size_t crashesForVerdict = 5;
constexpr std::size_t maxLateArrivals = 3;
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

/// Targets that crash when they run requests of some customers with one part in their prompts.
class system_with_crashing_part : public crashing_system {
public:
    explicit system_with_crashing_part(const std::string& customers = "espuma samvinna")
        : crashing_system([customers](const recorded_request& request) {
            auto prompt = request.headers.find("prompt-prefix");
            auto customer = request.headers.find("tenant");
            return prompt != request.headers.end() && prompt->second.find("bad:") != std::string::npos
                && customers.find(customer->second) != std::string::npos;
        })
    {
        auto body = deployment(4);
        for (auto& route : body["routes"])
            route["sticky-sessions"] = route["kind"] == "streaming";
        body["tenants"].push_back({ { "name", "samvinna" }, { "api-keys", { "key-2" } } });
        putDeployment(1, body);
        std::this_thread::sleep_for(500ms);
    }

    /// Sends crashing requests whose prompts the function makes, and sound ones beside them.
    void crashBesideSound(const std::function<headers(std::minstd_rand&)>& makeCrashing)
    {
        m_calm = sendSoundFor(3s, path, 1, soundPrompt);
        std::thread crashing([&] {
            std::mutex mutex;
            std::minstd_rand random(7);
            sendCrashingFor(14s, [&](int entry) {
                std::unique_lock lock(mutex);
                auto prompt = makeCrashing(random);
                lock.unlock();
                request(entry, path, "order " + nextId(), prompt);
            });
        });
        sendSoundFor(8s, path, 1, soundPrompt);
        m_later = sendSoundFor(6s, path, 1, soundPrompt);
        crashing.join();
    }

    void checkCounts()
    {
        auto late = arrivalsAfter(crashesForVerdict, propagationTime);
        CAPTURE(fleet().crashes().size(), fleet().arrivals().size(), late, m_calm.sent, m_calm.begun,
            m_later.sent, m_later.begun);
        REQUIRE(fleet().crashes().size() >= 3);
        CHECK(late <= maxLateArrivals);
        REQUIRE(m_calm.begun * 10 >= m_calm.sent * 9);
        CHECK(m_later.share() >= m_calm.share() / 2);
        CHECK(soundRefusedByVerdict() == 0);
    }

private:
    sound_counts m_calm;
    sound_counts m_later;
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
    checkCounts();
}

TEST_CASE_METHOD(system_with_crashing_part,
    "A part that always comes with one that crashes targets is not rejected when it comes alone",
    "[forwarding][crashes][parts]")
{
    crashBesideSound([](std::minstd_rand&) { return promptOf("kind:600,companion:100,bad:300,"); });
    checkCounts();
    for (int count = 0; count < 8; ++count)
        CHECK(request(1 + count % entries, path, "order " + nextId(), promptOf("kind:600,companion:100,"))
                  .status
            == 200);
}

TEST_CASE_METHOD(system_with_crashing_part,
    "Requests of several customers with a part that crashes targets are sent to few more of them",
    "[forwarding][crashes][parts]")
{
    crashBesideSound([](std::minstd_rand& random) {
        return promptOf("kind:600,bad:300,", random() % 2 == 0 ? "key-1" : "key-2");
    });
    checkCounts();
}

TEST_CASE_METHOD(system_with_part_of_one_customer,
    "A part that crashes targets for one customer is not rejected for another",
    "[forwarding][crashes][parts]")
{
    crashBesideSound([](std::minstd_rand&) { return promptOf("kind:600,bad:300,"); });
    checkCounts();
    for (int count = 0; count < 8; ++count)
        CHECK(request(1 + count % entries, path, "order " + nextId(), promptOf("bad:300,", "key-2")).status
            == 200);
}

TEST_CASE_METHOD(system_with_crashing_part, "Crashes that no part causes lead to no verdict on one",
    "[forwarding][crashes][parts]")
{
    constexpr int crashes = 16;
    std::thread crashing([this] {
        for (int count = 0; count < crashes; ++count) {
            std::this_thread::sleep_for(200ms);
            fleet().crash(count % fleetSize);
        }
    });
    sendSoundFor(4s, path, 3, soundPrompt);
    crashing.join();
    auto later = sendSoundFor(4s, path, 3, soundPrompt);
    CAPTURE(fleet().crashes().size(), later.sent, later.begun);
    REQUIRE(fleet().crashes().size() >= fleetSize);
    CHECK(later.share() > 0.9);
    CHECK(soundRefusedByVerdict() == 0);
}

TEST_CASE_METHOD(system_with_crashing_part,
    "The verdict on a part that crashes targets outlasts the end of all processes",
    "[forwarding][crashes][parts]")
{
    auto send
        = [this](int entry) { request(entry, path, "order " + nextId(), promptOf("kind:600,bad:300,")); };
    sendCrashingFor(6s, send);
    restartAll();
    sendCrashingFor(4s, send);
    auto calm = sendSoundFor(3s, path, 1, soundPrompt);
    auto late = arrivalsAfter(crashesForVerdict, propagationTime);
    CAPTURE(fleet().crashes().size(), late, calm.sent, calm.begun);
    REQUIRE(fleet().crashes().size() >= 3);
    CHECK(late <= maxLateArrivals);
    CHECK(calm.share() > 0.9);
}

TEST_CASE_METHOD(system_with_crashing_part,
    "Requests with a part that crashes targets stop arriving although control VMs and entries stop, restart "
    "and "
    "are suspended",
    "[forwarding][crashes][parts][soak]")
{
    constexpr auto disturbedTime = 12s;
    constexpr auto calmTime = 13s; // each of the crashing requests comes twice
    constexpr auto recoveryTime = 8s; // targets that are gone count as silent, others are announced
    INFO("seed " << soakSeed());
    std::thread crashing([this, disturbedTime, calmTime] {
        auto start = std::chrono::steady_clock::now();
        sendCrashingFor(disturbedTime + calmTime, [this, start](int entry) {
            auto number = (std::chrono::steady_clock::now() - start) / 2s % 3;
            request(entry, path, "order " + nextId(),
                promptOf("kind:600," + std::to_string(number) + "bad:300,"));
        });
    });
    std::thread sound([this, disturbedTime] { sendSoundFor(disturbedTime, path, 3, soundPrompt); });
    disturbances(*this, entries, soakSeed()).runFor(disturbedTime);
    auto calmSince = std::chrono::steady_clock::now() + propagationTime;
    sound.join();
    std::this_thread::sleep_for(recoveryTime);
    auto later = sendSoundFor(5s, path, 1, soundPrompt);
    crashing.join();
    CAPTURE(fleet().crashes().size(), fleet().arrivals().size(), later.sent, later.begun);
    REQUIRE(fleet().crashes().size() >= crashesForVerdict);
    for (int number = 0; number < 3; ++number) {
        auto isSelected = [number](const recorded_request& request) {
            return request.headers.at("prompt-prefix").find(std::to_string(number) + "bad:")
                != std::string::npos;
        };
        CAPTURE(number, fleet().crashes(isSelected).size(), fleet().arrivals(isSelected).size());
        CHECK(arrivalsAfter(crashesForVerdict, propagationTime, isSelected, calmSince) <= maxLateArrivals);
    }
    CHECK(later.share() > 0.9);
    CHECK(soundRefusedByVerdict() == 0);
}
