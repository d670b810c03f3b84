#include "plumfold/runtime/plumfold_trace.hpp"

#include "plumfold/runtime/plumfold_secrets.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>

namespace plumfold::runtime {

namespace {

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
constexpr std::size_t headerLength = 55; // version-traceId-spanId-flags with 2, 32, 16 and 2 digits
constexpr std::size_t ringCapacity = 4096;

bool isHex(const std::string& text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

trace_context trace_context::fromHeader(const std::string& traceparent)
{
    bool wellFormed = traceparent.size() == headerLength && traceparent[2] == '-' && traceparent[35] == '-'
        && traceparent[52] == '-';
    if (wellFormed) {
        trace_context context { traceparent.substr(3, traceIdDigits), traceparent.substr(36, spanIdDigits) };
        if (isHex(context.traceId) && isHex(context.spanId))
            return context;
    }
    return trace_context { randomHex(traceIdDigits / 2), std::string() };
}

trace_context trace_context::child() const
{
    return trace_context { traceId, randomHex(spanIdDigits / 2) };
}

std::string trace_context::toHeader() const
{
    return "00-" + traceId + '-' + spanId + "-01";
}

std::string toOtlpLine(const span& finished, const std::string& process)
{
    auto attribute = [](const std::string& key, const std::string& value) {
        return nlohmann::json { { "key", key }, { "value", { { "stringValue", value } } } };
    };
    nlohmann::json attributes = nlohmann::json::array();
    for (const auto& [key, value] : finished.attributes)
        attributes.push_back(attribute(key, value));
    nlohmann::json spanJson {
        { "traceId", finished.context.traceId },
        { "spanId", finished.context.spanId },
        { "parentSpanId", finished.parentSpanId },
        { "name", finished.name },
        { "kind", 2 },
        { "startTimeUnixNano", std::to_string(finished.startNanoseconds) },
        { "endTimeUnixNano", std::to_string(finished.endNanoseconds) },
        { "attributes", std::move(attributes) },
    };
    nlohmann::json resource { { "attributes",
        { attribute("service.name", "plumfold"), attribute("host.name", process) } } };
    nlohmann::json scope { { "spans", nlohmann::json::array({ std::move(spanJson) }) } };
    nlohmann::json block { { "resource", resource },
        { "scopeSpans", nlohmann::json::array({ std::move(scope) }) } };
    return nlohmann::json { { "resourceSpans", nlohmann::json::array({ std::move(block) }) } }.dump();
}

span fromOtlpLine(const std::string& line)
{
    auto json = nlohmann::json::parse(line);
    const auto& block = json.at("resourceSpans").at(0);
    const auto& spanJson = block.at("scopeSpans").at(0).at("spans").at(0);
    span result;
    result.context = { spanJson.at("traceId"), spanJson.at("spanId") };
    result.parentSpanId = spanJson.at("parentSpanId");
    result.name = spanJson.at("name");
    result.startNanoseconds = std::stoull(spanJson.at("startTimeUnixNano").get<std::string>());
    result.endNanoseconds = std::stoull(spanJson.at("endTimeUnixNano").get<std::string>());
    for (const auto& attribute : spanJson.at("attributes"))
        result.attributes[attribute.at("key")] = attribute.at("value").at("stringValue");
    return result;
}

trace_writer::trace_writer(const std::string& file, const std::string& process)
    : m_process(process)
    , m_enabled(!file.empty())
    , m_ring(ringCapacity)
{
    if (m_enabled)
        m_thread = std::thread([this, file] { run(file); });
}

trace_writer::~trace_writer()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable())
        m_thread.join();
}

void trace_writer::write(span finished)
{
    if (m_enabled && !m_ring.tryPush(std::move(finished)))
        ++m_dropped;
}

void trace_writer::run(const std::string& file)
{
    std::ofstream out(file, std::ios::app);
    while (true) {
        auto next = m_ring.pop(std::chrono::milliseconds(200));
        if (next) {
            out << toOtlpLine(*next, m_process) << '\n';
            continue;
        }
        out.flush();
        if (m_stopping)
            return;
    }
}

} // namespace plumfold::runtime
