#include "standin_worker.hpp"

#include <algorithm>
#include <sstream>
#include <thread>

namespace plumfold::review {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds heartbeatInterval { 1'200 };
constexpr milliseconds heartbeatTimeout { 1'000 };
constexpr milliseconds pollInterval { 20 };
constexpr std::uint64_t storeEpoch = 77'120;
constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusFenced = 412;
constexpr int statusMisdirected = 421;

std::int64_t unixMilliseconds()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

std::vector<std::string> split(const std::string& text, char delimiter)
{
    std::vector<std::string> out;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, delimiter);)
        out.push_back(part);
    return out;
}

http_message jsonAnswer(const json& body)
{
    http_message out;
    out.status = statusOk;
    out.headers["Content-Type"] = "application/json";
    out.body = body.dump();
    return out;
}

/// @return the source that a request names for a part; empty if it names none.
std::string sourceOf(const std::string& header, std::size_t index)
{
    auto all = split(header, ',');
    if (all.empty())
        return {};
    const auto& named = all.size() == 1 ? all.front() : index < all.size() ? all[index] : std::string("-");
    return named == "-" ? std::string() : named.substr(0, named.find('/'));
}

} // namespace

kv_store::kv_store(system_under_review&, const endpoint& address)
    : m_address(address)
    , m_server(address, [this](const http_message& request) { return answer(request); })
{
}

std::optional<part_origin> kv_store::find(const std::string& salt, const std::string& id) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_parts.find({ salt, id });
    return found == m_parts.end() ? std::nullopt : std::optional(found->second);
}

void kv_store::save(const std::string& salt, const std::string& id, const part_origin& made)
{
    std::lock_guard lock(m_mutex);
    if (m_parts.emplace(std::pair(salt, id), made).second)
        m_events.push_back({ m_events.size() + 1, "+", salt, id, made.tokens, made.model });
}

json kv_store::eventsSince(std::size_t since, milliseconds wait) const
{
    auto until = std::chrono::steady_clock::now() + wait;
    while (true) {
        {
            std::lock_guard lock(m_mutex);
            json events = json::array();
            for (const auto& each : m_events) {
                if (each[0].get<std::size_t>() >= std::max<std::size_t>(since, 1))
                    events.push_back(each);
            }
            if (!events.empty() || std::chrono::steady_clock::now() >= until)
                return { { "epoch", storeEpoch }, { "next", m_events.size() + 1 }, { "lost", false },
                    { "events", events }, { "clock_ms", unixMilliseconds() } };
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

http_message kv_store::answer(const http_message& request) const
{
    if (request.path.starts_with("/kv-events")) {
        auto since = request.path.find("since=");
        auto wait = request.header("wait-ms");
        return jsonAnswer(
            eventsSince(since == std::string::npos ? 0 : std::stoul(request.path.substr(since + 6)),
                milliseconds(wait.empty() ? 0 : std::stol(wait))));
    }
    std::lock_guard lock(m_mutex);
    if (request.path == "/kv-list") {
        json held = json::array();
        for (const auto& [key, made] : m_parts)
            held.push_back({ key.first, key.second, made.tokens, made.model });
        return jsonAnswer({ { "epoch", storeEpoch }, { "next", m_events.size() + 1 }, { "held", held } });
    }
    if (request.path == "/report")
        return jsonAnswer({ { "kv-used", 0 }, { "kv-total", 652505 }, { "epoch", storeEpoch } });
    http_message none;
    none.status = statusNotFound;
    return none;
}

worker::worker(system_under_review& system, worker_options options)
    : m_system(system)
    , m_options(std::move(options))
    , m_born(unixMilliseconds())
    , m_server(m_options.address, [this](const http_message& request) { return answer(request); })
{
    std::thread([this] { announce(); }).detach();
}

std::vector<run> worker::runs() const
{
    std::lock_guard lock(m_mutex);
    return m_runs;
}

std::map<std::string, std::uint64_t> worker::models() const
{
    std::lock_guard lock(m_mutex);
    return m_options.models;
}

std::string worker::nextHeartbeat()
{
    std::lock_guard lock(m_mutex);
    json models = json::array();
    for (const auto& [name, version] : m_options.models)
        models.push_back({ { "name", name }, { "version", version }, { "adapters", json::array() } });
    json body { { "service", m_options.service }, { "address", m_options.address.text() },
        { "zone", m_options.zone }, { "version", "v1" }, { "slots", m_options.slots }, { "state", "ready" },
        { "cold-remaining-ms", 0 }, { "stage", "both" }, { "models", models }, { "sequence", ++m_heartbeats },
        { "born", m_born } };
    return body.dump();
}

void worker::announce()
{
    while (m_isAnnouncing) {
        auto body = nextHeartbeat();
        bool isAcknowledged = false;
        for (int number = 1; number <= zoneCount && !isAcknowledged && m_isAnnouncing; ++number) {
            auto answer = call(m_system.core(number), "PUT", "/instances/" + m_options.id,
                { { "Content-Type", "application/json" } }, body, heartbeatTimeout);
            isAcknowledged = answer.status == statusOk;
        }
        std::this_thread::sleep_for(heartbeatInterval);
    }
}

http_message worker::report() const
{
    std::lock_guard lock(m_mutex);
    json models = json::array();
    for (const auto& [name, version] : m_options.models)
        models.push_back({ { "name", name }, { "version", version }, { "adapters", json::array() } });
    return jsonAnswer({ { "stage", "both" }, { "models", models }, { "busy", false },
        { "sequence", m_orders }, { "waiting", 0 }, { "running", 0 }, { "kv-used", 0 }, { "kv-total", 93552 },
        { "handles", 0 }, { "clock_ms", unixMilliseconds() } });
}

/// Carries out an order to load weights at once.
http_message worker::obey(const http_message& request)
{
    std::lock_guard lock(m_mutex);
    auto order = json::parse(request.body);
    http_message out;
    auto fence = order.at("fencing-token").get<std::uint64_t>();
    auto model = order.at("model").get<std::string>();
    auto version = order.at("version").get<std::uint64_t>();
    if (fence < m_highestFence)
        out.status = statusFenced;
    else if (order.contains("precondition") && order["precondition"].get<std::uint64_t>() != m_orders)
        out.status = statusConflict;
    else if (m_options.models.at(model) == version)
        out.status = statusOk;
    else
        out.status = statusAccepted;
    m_highestFence = std::max(m_highestFence, fence);
    if (out.status != statusAccepted)
        return out;
    ++m_orders;
    m_options.models[model] = version;
    std::erase_if(m_parts, [&](const auto& each) { return std::get<0>(each.first) == model; });
    m_system.note("worker " + m_options.id + " loads " + model + " version " + std::to_string(version));
    return out;
}

http_message worker::answer(const http_message& request)
{
    if (request.path == "/report")
        return report();
    if (request.path == "/order")
        return obey(request);
    http_message out;
    if (request.path == "/health") {
        out.status = statusOk;
        out.headers["Instance-Id"] = m_options.id;
        return out;
    }
    if (request.path.starts_with("/kv-events") || request.path == "/kv-list") {
        // Tells nothing of what it keeps: events may never arrive.
        auto wait = request.header("wait-ms");
        std::this_thread::sleep_for(milliseconds(wait.empty() ? 0 : std::stol(wait)));
        return jsonAnswer({ { "epoch", m_born }, { "next", 1 }, { "lost", false },
            { "events", json::array() }, { "held", json::array() }, { "clock_ms", unixMilliseconds() } });
    }
    auto expected = request.header("expected-instance");
    if (!expected.empty() && expected != m_options.id) {
        out.status = statusMisdirected;
        out.headers["Instance-Id"] = m_options.id;
        out.headers["Request-Id"] = request.header("request-id");
        return out;
    }
    return serve(request);
}

/// @return the part as this worker keeps it or gets it from the source that the request names.
std::optional<used_part> worker::findPart(const http_message& request, const part_origin& own,
    const std::string& id, const std::string& source) const
{
    auto salt = request.header("cache-salt");
    auto kept = m_parts.find({ own.model, salt, id });
    if (kept != m_parts.end())
        return used_part { id, kept->second, "kept" };
    for (const auto* store : m_options.stores) {
        if (store->address().text() != source)
            continue;
        if (auto stored = store->find(salt, id))
            return used_part { id, *stored, source };
    }
    return std::nullopt;
}

/// Reads the parts of the prompt that are neither kept nor fetched, and saves what the request says.
/// @return the parts that were not read.
std::vector<used_part> worker::readPrompt(const http_message& request, const part_origin& own)
{
    std::vector<used_part> used;
    auto salt = request.header("cache-salt");
    bool isChainKept = true;
    auto parts = split(request.header("prompt-prefix"), ',');
    for (std::size_t index = 0; index < parts.size(); ++index) {
        auto id = parts[index].substr(0, parts[index].find(':'));
        auto made = own;
        made.tokens = std::stoul(parts[index].substr(id.size() + 1));
        auto found = isChainKept
            ? findPart(request, own, id, sourceOf(request.header("kv-fetch-from"), index))
            : std::nullopt;
        isChainKept = found.has_value();
        if (found) {
            made = found->made;
            used.push_back(*found);
        }
        m_parts[{ own.model, salt, id }] = made;
        auto saveTo = sourceOf(request.header("kv-save-to"), index);
        for (auto* store : m_options.stores) {
            if (store->address().text() == saveTo)
                store->save(salt, id, made);
        }
    }
    return used;
}

http_message worker::serve(const http_message& request)
{
    http_message out;
    out.status = statusOk;
    out.headers["Request-Id"] = request.header("request-id");
    out.headers["Response-Signature"] = "signature-of-" + m_options.id;
    run one { request.header("request-id"), request.header("tenant"), request.header("model"), 0, {},
        std::chrono::steady_clock::now() };
    std::string more;
    {
        std::lock_guard lock(m_mutex);
        if (!m_options.models.empty()) {
            one.version = m_options.models.at(one.model);
            auto expected = request.header("expected-version");
            if (!expected.empty() && std::stoul(expected) != one.version) {
                out.status = statusMisdirected;
                out.headers["Instance-Id"] = m_options.id;
                return out;
            }
            one.used = readPrompt(request, { one.request, one.tenant, one.model, one.version, 0 });
            more = " model " + one.model + " version " + std::to_string(one.version) + " salt "
                + request.header("cache-salt");
            for (const auto& part : one.used)
                more += ", uses part " + part.id + " (" + part.from + ", made by " + part.made.request
                    + " of tenant " + part.made.tenant + " on " + part.made.model + " version "
                    + std::to_string(part.made.version) + ')';
        }
        m_runs.push_back(one);
    }
    m_system.note("worker " + m_options.id + " runs " + one.request + " for tenant " + one.tenant + more);
    if (one.model.empty()) {
        out.body = request.path.ends_with("/report") ? std::string(m_options.reportBytes, 'x')
                                                     : "done by " + m_options.id;
        return out;
    }
    out.headers["Content-Type"] = "text/event-stream";
    out.headers["Weight-Versions"] = std::to_string(one.version);
    for (int id = 1; id <= 3; ++id)
        out.body += "id: " + std::to_string(id) + "\ndata: token\n\n";
    return out;
}

} // namespace plumfold::review
