#include "plumfold_scripted_exchange.hpp"

#include <nlohmann/json.hpp>

#include <chrono>

namespace plumfold::tests {

namespace {

constexpr std::chrono::milliseconds loadTime { 300 };
constexpr int closePollMicroseconds = 20'000;

} // namespace

void scripted_target::setWeights(const std::string& model, std::uint64_t version, order_behaviour orders)
{
    std::lock_guard lock(m_mutex);
    m_weights = scripted_weights { model, version, orders, 0, 0, {} };
}

std::optional<scripted_weights> scripted_target::weights() const
{
    std::lock_guard lock(m_mutex);
    return m_weights;
}

/// Completes an order whose load time has passed. Call it with the mutex locked.
void scripted_target::completeLoad()
{
    if (m_weights->loading == 0 || std::chrono::steady_clock::now() < m_weights->loadedAt)
        return;
    m_weights->version = m_weights->loading;
    m_weights->loading = 0;
}

bool scripted_target::rejectForWeights(exchange& current)
{
    auto& headers = current.request.headers;
    bool isLoading = false;
    {
        std::lock_guard lock(m_mutex);
        if (!m_weights || !headers.contains("model"))
            return false;
        completeLoad();
        isLoading = m_weights->loading != 0;
        auto expected = headers.find("expected-version");
        bool isOther = expected != headers.end() && expected->second != std::to_string(m_weights->version);
        if (!isLoading && !isOther)
            return false;
    }
    current.sendResponse(
        isLoading ? "503 Service Unavailable" : "421 Misdirected Request", "Not-Executed: 1\r\n", "");
    return true;
}

bool scripted_target::waitForStart(exchange& current)
{
    if (!m_weights || !current.request.headers.contains("model"))
        return true;
    auto startAt = std::chrono::steady_clock::now() + m_queueTime.load();
    while (!m_stopping && std::chrono::steady_clock::now() < startAt) {
        if (!current.socket.poll(Poco::Timespan(0, closePollMicroseconds), Poco::Net::Socket::SELECT_READ))
            continue;
        current.keepAlive = false;
        return false;
    }
    std::lock_guard lock(m_mutex);
    m_requests[current.number].weights = m_weights->version;
    m_requests[current.number].startedAt = std::chrono::steady_clock::now();
    return true;
}

void scripted_target::respondReport(exchange& current)
{
    nlohmann::json body;
    {
        std::lock_guard lock(m_mutex);
        completeLoad();
        body = { { "stage", "both" },
            { "models",
                { { { "name", m_weights->model }, { "version", m_weights->version },
                    { "adapters", nlohmann::json::array() } } } },
            { "busy", m_weights->loading != 0 }, { "sequence", m_weights->acceptedOrders }, { "waiting", 0 },
            { "running", 0 }, { "kv-used", 0 } };
    }
    current.sendResponse("200 OK", "Content-Type: application/json\r\n", body.dump());
}

void scripted_target::respondToOrder(exchange& current)
{
    auto order = nlohmann::json::parse(current.request.body);
    std::string status = "202 Accepted";
    {
        std::lock_guard lock(m_mutex);
        completeLoad();
        bool isOutdated
            = order.contains("precondition") && order.at("precondition") != m_weights->acceptedOrders;
        if (m_weights->loading != 0 || isOutdated) {
            status = "409 Conflict";
        } else {
            ++m_weights->acceptedOrders;
            if (m_weights->orders == order_behaviour::execute) {
                m_weights->loading = order.at("version").get<std::uint64_t>();
                m_weights->loadedAt = std::chrono::steady_clock::now() + loadTime;
            }
        }
    }
    current.sendResponse(status, "", "");
}

} // namespace plumfold::tests
