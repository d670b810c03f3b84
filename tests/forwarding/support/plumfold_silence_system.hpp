#pragma once

#include "plumfold_forwarding_system.hpp"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace plumfold::tests {

/// Three control VMs, an entry and targets of one service that fall silent for a time.
class silence_system : public forwarding_system {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// What a caller sent and received. Each repetition has a record of its own.
    struct exchange_record {
        std::string path;
        std::string id;
        time_point sentAt {};
        raw_response response;
        bool isRepeated = false; ///< The caller was told that it was not run, and sent it again.
    };

    /// @param targets their number.
    /// @param model of the targets and the requests; empty: none.
    silence_system(int targets, std::string model, std::chrono::milliseconds announceInterval)
        : m_model(std::move(model))
    {
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        auto body = deployment(3);
        for (auto& route : body["routes"])
            route["timeout-ms"] = callerDeadline.count();
        putDeployment(1, body);
        startEntry(1);
        for (int number = 1; number <= targets; ++number) {
            m_started.push_back(&startTarget("t" + std::to_string(number)));
            if (!m_model.empty())
                m_started.back()->setWeights(m_model, 1, order_behaviour::execute);
        }
        startAnnouncing(announceInterval);
        eventually([&] { return sendToAll() >= m_started.size(); });
        std::lock_guard lock(m_mutex);
        m_records.clear();
    }

    ~silence_system()
    {
        if (m_callers.joinable())
            stopCallers();
    }

    scripted_target& target(std::size_t index) { return *m_started[index]; }

    /// Lets callers send a request again, under another id and after the time that they are told, when it was
    /// not run.
    void repeatRefused() { m_repeatsRefused = true; }

    /// Sends a request and records it.
    void send(const std::string& path)
    {
        auto until = std::chrono::steady_clock::now() + callerDeadline;
        while (true) {
            auto record = exchange(path, until);
            auto pause = retryAfter(record.response);
            record.isRepeated
                = m_repeatsRefused && pause && std::chrono::steady_clock::now() + *pause < until;
            {
                std::lock_guard lock(m_mutex);
                m_records.push_back(record);
            }
            if (!record.isRepeated)
                return;
            sleepFor(*pause);
        }
    }

    /// Starts requests of all kinds in turn.
    void startCallers(std::chrono::milliseconds interval)
    {
        m_callers = std::thread([this, interval] {
            static constexpr const char* paths[]
                = { "/shop/work", "/stock/work", "/words/events", "/notes/events" };
            std::vector<std::thread> requests;
            for (std::size_t number = 0; !m_stopping; ++number) {
                requests.emplace_back([this, number] { send(paths[number % std::size(paths)]); });
                sleepFor(interval);
            }
            for (auto& each : requests)
                each.join();
        });
    }
    void stopCallers()
    {
        m_stopping = true;
        m_callers.join();
    }

    static void sleepFor(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

    std::vector<exchange_record> records()
    {
        std::lock_guard lock(m_mutex);
        return m_records;
    }

    /// @return how often each request, by id, was received by a target.
    std::map<std::string, int> arrivals() const
    {
        std::map<std::string, int> counts;
        for (const auto* each : m_started) {
            for (const auto& request : each->requests())
                ++counts[requestId(request)];
        }
        counts.erase(std::string());
        return counts;
    }

    /// @return the number of requests that a target received in a span and that were sent in it.
    std::size_t requestsTo(const scripted_target& target, time_point from, time_point to)
    {
        std::map<std::string, time_point> sentAt;
        for (const auto& each : records())
            sentAt[each.id] = each.sentAt;
        std::size_t count = 0;
        for (const auto& request : target.requests()) {
            auto sent = sentAt.find(requestId(request));
            count += sent != sentAt.end() && sent->second >= from && request.receivedAt <= to;
        }
        return count;
    }

    /// @return whether a caller received the whole answer of a target.
    static bool isServedWhole(const exchange_record& record)
    {
        bool isStream = record.path.find("/events") != std::string::npos;
        std::string expected = "served order";
        if (isStream) {
            expected.clear();
            for (int id = 1; id <= 6; ++id)
                expected += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
        }
        return record.response.status == 200 && record.response.isComplete
            && record.response.body == expected;
    }

private:
    static constexpr std::chrono::milliseconds callerDeadline { 4'000 };

    exchange_record exchange(const std::string& path, time_point until)
    {
        exchange_record record { path, nextId(), std::chrono::steady_clock::now(), {}, false };
        auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(until - record.sentAt);
        std::map<std::string, std::string> headers { { "Request-Deadline",
            std::to_string(timeLeft.count()) } };
        if (!m_model.empty())
            headers["Model"] = m_model;
        try {
            raw_caller caller(callerAddress(1));
            caller.send(requestBytes(path, record.id, "order", headers));
            record.response = caller.receive();
        } catch (const Poco::Exception&) {
            record.response = {}; // counts as closed without a response
        }
        return record;
    }

    /// @return when the caller is to send the request again; nothing if it may have run.
    static std::optional<std::chrono::milliseconds> retryAfter(const raw_response& response)
    {
        static constexpr std::string_view name = "retry-after: ";
        auto found = response.headers.find(name);
        if (response.status != 503 || found == std::string::npos)
            return std::nullopt;
        double seconds = std::atof(response.headers.c_str() + found + name.size());
        return std::chrono::milliseconds(static_cast<int>(seconds * 1000));
    }

    /// Sends enough requests at the same time that each ready target gets one.
    /// @return the number of targets that have answered.
    std::size_t sendToAll()
    {
        std::vector<std::thread> requests;
        for (std::size_t number = 0; number < 2 * m_started.size(); ++number)
            requests.emplace_back([this] { send("/stock/work"); });
        for (auto& each : requests)
            each.join();
        std::set<std::string> answered;
        for (const auto& each : records()) {
            for (const auto* target : m_started) {
                if (each.response.headers.find("response-signature: " + target->name()) != std::string::npos)
                    answered.insert(target->name());
            }
        }
        return answered.size();
    }

    static std::string requestId(const recorded_request& request)
    {
        auto found = request.headers.find("request-id");
        return found == request.headers.end() ? std::string() : found->second;
    }

    std::string m_model;
    std::atomic<bool> m_repeatsRefused { false };
    std::vector<scripted_target*> m_started;
    std::thread m_callers;
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<exchange_record> m_records;
};

} // namespace plumfold::tests
