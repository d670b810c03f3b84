#include "plumfold/client/plumfold_load_run.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

namespace plumfold::client {

namespace {

constexpr int maxRequestAttempts = 4;
constexpr core::milliseconds defaultRetryPause { 200 };
constexpr core::milliseconds maxRetryPause { 1000 };

/// The conversation and turn that a request belongs to.
struct planned_request {
    std::uint32_t conversation = 0;
    std::uint32_t turn = 0;
};

std::vector<planned_request> makePlan(const load_options& options)
{
    std::mt19937_64 random(options.seed);
    std::uniform_int_distribution<std::uint32_t> draw(0, options.conversations - 1);
    std::vector<std::uint32_t> turns(options.conversations, 0);
    std::vector<planned_request> plan;
    for (std::uint32_t index = 0; index < options.requests; ++index) {
        std::uint32_t conversation = draw(random);
        plan.push_back({ conversation, turns[conversation]++ });
    }
    return plan;
}

std::uint64_t metricOf(const std::string& text, const std::string& name)
{
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with(name + ' '))
            return std::stoull(line.substr(name.size() + 1));
    }
    return 0;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
}

class load_runner {
public:
    explicit load_runner(const load_options& options)
        : m_options(options)
        , m_plan(makePlan(options))
    {
        if (!options.recordFile.empty())
            m_record.open(options.recordFile);
    }

    load_report run()
    {
        std::vector<std::thread> threads;
        for (std::uint32_t index = 0; index < m_options.concurrency; ++index)
            threads.emplace_back([this] { runWorker(); });
        for (auto& thread : threads)
            thread.join();
        m_report.requests = m_options.requests;
        m_report.firstTokenMedianMs = quantile(m_firstTokens, 0.5);
        m_report.firstToken95Ms = quantile(m_firstTokens, 0.95);
        for (const auto& entry : m_options.entries) {
            std::string metrics = fetch(entry, "/metrics");
            m_report.importBytes += metricOf(metrics, "plumfold_import_bytes_total");
            m_report.exportBytes += metricOf(metrics, "plumfold_export_bytes_total");
        }
        return m_report;
    }

private:
    void runWorker()
    {
        while (true) {
            std::size_t index = m_next.fetch_add(1);
            if (index >= m_plan.size())
                return;
            sendPlanned(index);
        }
    }

    void sendPlanned(std::size_t index)
    {
        const auto& planned = m_plan[index];
        std::string prompt = conversationPrompt(m_options, planned.conversation, planned.turn);
        call_request request;
        request.path = "/v1/completions";
        request.apiKey = m_options.apiKey;
        request.body = completionBody(m_options.model, prompt, m_options.maxTokens, true);
        call_response response;
        for (int attempt = 0; attempt < (m_options.retry ? maxRequestAttempts : 1); ++attempt) {
            request.address = m_options.entries[(index + attempt) % m_options.entries.size()];
            response = call(request);
            if (response.ok())
                break;
            pauseBeforeRetry(response);
        }
        recordResponse(prompt, response);
    }

    void pauseBeforeRetry(const call_response& response)
    {
        if (!m_options.retry)
            return;
        core::milliseconds pause = defaultRetryPause;
        auto found = response.headers.find("Retry-After");
        if (found != response.headers.end())
            pause = std::min(core::milliseconds(std::stoll(found->second) * 1000), maxRetryPause);
        std::this_thread::sleep_for(pause);
    }

    void recordResponse(const std::string& prompt, const call_response& response)
    {
        std::lock_guard lock(m_mutex);
        bool complete = response.ok() && response.tokens == m_options.maxTokens;
        if (complete) {
            ++m_report.served;
            m_firstTokens.push_back(static_cast<double>(response.firstToken.count()));
            m_report.promptTokens += response.promptTokens;
            m_report.cachedTokens += response.cachedTokens;
            auto domain = response.headers.find("X-Plumfold-Failure-Domain");
            ++m_report.servedByDomain[domain == response.headers.end() ? "" : domain->second];
        } else if (!response.errorType.empty()) {
            ++m_report.refused;
        } else {
            ++m_report.failed;
        }
        if (m_record.is_open()) {
            nlohmann::json line { { "prompt", prompt }, { "text", response.text },
                { "tokens", response.tokens }, { "ok", complete }, { "status", response.status },
                { "error", response.errorType + response.streamError }, { "failure", response.failure } };
            m_record << line.dump() << '\n';
        }
    }

    load_options m_options;
    std::vector<planned_request> m_plan;
    std::atomic<std::size_t> m_next { 0 };
    std::mutex m_mutex;
    load_report m_report;
    std::vector<double> m_firstTokens;
    std::ofstream m_record;
};

} // namespace

double load_report::recomputedShare() const
{
    if (promptTokens == 0)
        return 0;
    return 1.0 - static_cast<double>(cachedTokens) / static_cast<double>(promptTokens);
}

std::string conversationPrompt(const load_options& options, std::uint32_t conversation, std::uint32_t turn)
{
    std::size_t size = options.firstPromptBytes + std::size_t(turn) * options.growthBytes;
    std::mt19937_64 random(options.seed * 1'000'003 + conversation);
    std::string prompt = "conversation " + std::to_string(conversation) + ' ';
    while (prompt.size() < size)
        prompt += std::to_string(random()) + ' ';
    prompt.resize(size);
    return prompt;
}

load_report runLoad(const load_options& options)
{
    return load_runner(options).run();
}

} // namespace plumfold::client
