#include "support/plumfold_disturbances.hpp"
#include "support/plumfold_serving_system.hpp"

#include <Poco/Exception.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cctype>
#include <optional>
#include <vector>

using namespace plumfold::tests;
using nlohmann::json;

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using time_point = steady_clock::time_point;

constexpr int controls = 3;
constexpr int entries = 3;
constexpr unsigned callers = 12;
/// From the acknowledgement of a configuration until all entries in touch use it.
constexpr milliseconds applyBound { 2'000 };
/// From the last disturbance until all processes count as in touch.
constexpr milliseconds contactWindow { 3'000 };
constexpr int unauthorized = 401;
constexpr int notFound = 404;
const std::vector<std::string> keys { "", "key-1", "key-2" };

/// A configuration that operators send: which keys it admits, and whether a route is public.
struct configuration_form {
    std::optional<std::vector<std::string>> admitted; // no list of customers if missing
    bool isStockPublic = false;

    bool admits(const std::string& path, const std::string& key) const
    {
        return !admitted || (isStockPublic && path.starts_with("/stock/"))
            || std::find(admitted->begin(), admitted->end(), key) != admitted->end();
    }
};

struct sent_configuration {
    int version = 0;
    configuration_form form;
    time_point sentAt {};
    std::optional<time_point> acknowledgedAt;
};

struct sent_request {
    std::string path;
    std::string key;
    std::string host;
    int entry = 0;
    int status = 0;
    time_point sentAt {};
    time_point endedAt {};
};

struct disturbed_time {
    time_point begin {};
    time_point end {};
};

std::string anyCase(std::string text, std::minstd_rand& random)
{
    for (auto& each : text)
        each = static_cast<char>(random() % 2 == 0 ? std::toupper(each) : each);
    return text;
}

configuration_form anyForm(std::minstd_rand& random)
{
    using key_list = std::vector<std::string>;
    const std::optional<key_list> lists[] = { std::nullopt, key_list {}, key_list { "key-1" },
        key_list { "key-2" }, key_list { "key-1", "key-2" } };
    return { lists[random() % std::size(lists)], random() % 3 == 0 };
}

/// Operators that send configurations of varying form, and callers on kept connections.
class varied_system : public serving_system {
public:
    varied_system()
    {
        startAnnouncing();
        for (int entry = 2; entry <= entries; ++entry)
            startEntry(entry);
        for (int entry = 1; entry <= entries; ++entry)
            waitForTarget(entry);
        m_sent.push_back({ 3, { { { "key-1" } }, false }, {}, time_point {} });
    }
    ~varied_system() { stop(); }

    void start(unsigned seed)
    {
        m_threads.emplace_back([this, seed] { sendConfigurations(seed); });
        for (unsigned number = 0; number < callers; ++number)
            m_threads.emplace_back([this, seed, number] { sendRequests(seed + number); });
    }
    void stop()
    {
        m_isStopping = true;
        for (auto& each : m_threads)
            each.join();
        m_threads.clear();
    }
    void disturbFor(milliseconds time, unsigned seed)
    {
        disturbed_time disturbed { steady_clock::now(), {} };
        disturbances(*this, entries, seed).runFor(time);
        disturbed.end = steady_clock::now();
        m_disturbed.push_back(disturbed);
    }

    const std::vector<sent_request>& requests() const { return m_requests; }
    std::size_t configurations() const { return m_sent.size(); }

    /// @return whether some configuration that may be in force for a request admits it, or refuses it.
    bool mayBe(const sent_request& request, bool isAdmitted) const
    {
        auto oldest = oldestInForce(request.sentAt);
        return std::any_of(m_sent.begin(), m_sent.end(), [&](const auto& each) {
            return each.version >= oldest && each.sentAt <= request.endedAt
                && each.form.admits(request.path, request.key) == isAdmitted;
        });
    }

private:
    int oldestInForce(time_point at) const
    {
        for (const auto& each : m_disturbed) {
            if (at >= each.begin && at < each.end + contactWindow)
                at = each.begin;
        }
        int oldest = 0;
        for (const auto& each : m_sent) {
            if (each.acknowledgedAt && *each.acknowledgedAt + applyBound <= at)
                oldest = std::max(oldest, each.version);
        }
        return oldest;
    }

    json bodyOf(int version, const configuration_form& form, std::minstd_rand& random) const
    {
        auto body = deployment(version);
        for (auto& route : body["routes"])
            route["host"] = anyCase(route["host"], random);
        body["routes"][1]["public"] = form.isStockPublic;
        body.erase("tenants");
        if (form.admitted) {
            body["tenants"] = json::array();
            for (const auto& key : *form.admitted)
                body["tenants"].push_back({ { "name", "owner of " + key }, { "api-keys", { key } } });
        }
        return body;
    }

    void sendConfigurations(unsigned seed)
    {
        std::minstd_rand random(seed);
        for (int version = 4; !m_isStopping; ++version) {
            auto form = anyForm(random);
            auto text = bodyOf(version, form, random).dump();
            std::size_t index = 0;
            {
                std::lock_guard lock(m_mutex);
                index = m_sent.size();
                m_sent.push_back({ version, form, steady_clock::now(), std::nullopt });
            }
            int control = static_cast<int>(1 + random() % controls);
            for (int tries = 0; tries < controls && !m_isStopping; ++tries) {
                if (call(1 + (control + tries) % controls, "PUT", "/configuration", text).first == 200) {
                    std::lock_guard lock(m_mutex);
                    m_sent[index].acknowledgedAt = steady_clock::now();
                    break;
                }
            }
            // Some follow each other at once, others are in force for a while.
            std::this_thread::sleep_for(milliseconds(random() % 3 == 0 ? 3'000 : random() % 400));
        }
    }

    void sendRequests(unsigned seed)
    {
        std::minstd_rand random(seed);
        while (!m_isStopping) {
            int entry = static_cast<int>(1 + random() % entries);
            try {
                raw_caller caller(callerAddress(entry));
                while (!m_isStopping && exchange(caller, entry, random))
                    std::this_thread::sleep_for(milliseconds(20 + random() % 60));
            } catch (const Poco::Exception&) {
                std::this_thread::sleep_for(milliseconds(20)); // the entry does not listen yet
            }
        }
    }

    /// @return whether the connection stays open.
    bool exchange(raw_caller& caller, int entry, std::minstd_rand& random)
    {
        sent_request sent;
        sent.entry = entry;
        sent.path = random() % 2 == 0 ? "/stock/whole" : "/shop/whole";
        sent.key = keys[random() % keys.size()];
        sent.host = anyCase("shop.example", random) + (random() % 4 == 0 ? ":8580" : "");
        sent.sentAt = steady_clock::now();
        caller.send(
            requestBytes(sent.path, nextId(), "order", { { "Host", sent.host }, { "Api-Key", sent.key } }));
        auto response = caller.receive();
        sent.status = response.status;
        sent.endedAt = steady_clock::now();
        std::lock_guard lock(m_mutex);
        m_requests.push_back(std::move(sent));
        return response.isComplete && response.headers.find("connection: close") == std::string::npos;
    }

    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::vector<sent_configuration> m_sent;
    std::vector<sent_request> m_requests;
    std::vector<disturbed_time> m_disturbed;
    std::vector<std::thread> m_threads;
};

} // namespace

TEST_CASE_METHOD(varied_system,
    "Configurations of varying form are used as they are written while processes are disturbed",
    "[forwarding][hosts][keys][soak]")
{
    INFO("seed " << soakSeed());
    start(soakSeed());
    for (unsigned round = 0; round < 2; ++round) {
        disturbFor(milliseconds(4'000), soakSeed() + round);
        std::this_thread::sleep_for(milliseconds(8'000));
    }
    stop();

    std::size_t served = 0;
    std::size_t refused = 0;
    for (const auto& each : requests()) {
        INFO("entry " << each.entry << ", " << each.path << ", key " << each.key << ", host " << each.host
                      << ", status " << each.status);
        served += each.status == 200;
        refused += each.status == unauthorized;
        CHECK(each.status != notFound);
        if (each.status == 200)
            CHECK(mayBe(each, true));
        if (each.status == unauthorized)
            CHECK(mayBe(each, false));
    }
    std::size_t forwardedKeys = 0;
    for (const char* name : { "t1", "t2" }) {
        for (const auto& each : target(name).requests())
            forwardedKeys += each.headers.contains("api-key");
    }
    CAPTURE(requests().size(), served, refused, configurations());
    CHECK(forwardedKeys == 0);
    CHECK(configurations() >= 10);
    CHECK(served * 5 >= requests().size());
    CHECK(refused * 20 >= requests().size());
}
