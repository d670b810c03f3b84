#include "plumfold_target_listener.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <nlohmann/json.hpp>

namespace plumfold::entry {

namespace {

using json = nlohmann::json;
using Poco::Net::HTTPResponse;

constexpr std::size_t maxAnnouncementBytes = 1 << 20;
constexpr std::uint32_t maxBatchLimit = 4096;
constexpr int maxTargetConnections = 128;

core::target_report readReport(const json& body)
{
    core::target_report report;
    report.name = body.at("name");
    report.incarnation = body.at("incarnation");
    report.address = body.at("address");
    report.failureDomain = body.at("failure_domain");
    report.isService = body.at("kind") == "service";
    report.services = body.value("services", std::vector<std::string>());
    for (const auto& each : body.value("models", json::array())) {
        report.models.push_back(
            { each.at("model"), each.at("version"), each.value("adapters", std::vector<std::string>()) });
    }
    report.maxBatch = std::clamp(body.at("max_batch").get<std::uint32_t>(), 1u, maxBatchLimit);
    report.running = body.at("running");
    report.queued = body.at("queued");
    report.leaving = body.value("leaving", false);
    report.sequence = body.at("sequence");
    runtime::socketAddress(report.address);
    return report;
}

core::cache_events readEvents(const json& in, const core::target_report& report)
{
    core::cache_events events;
    events.target = report.name;
    events.incarnation = report.incarnation;
    events.sequence = in.at("sequence");
    events.complete = in.value("complete", false);
    events.added = in.value("added", std::vector<std::uint64_t>());
    events.removed = in.value("removed", std::vector<std::uint64_t>());
    return events;
}

class announce_handler final : public Poco::Net::HTTPRequestHandler {
public:
    announce_handler(dispatch_thread& dispatchThread, peer_mesh& mesh)
        : m_dispatchThread(dispatchThread)
        , m_mesh(mesh)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        response.setStatus(applyAnnouncement(request));
        response.setContentLength(0);
        response.send();
    }

private:
    HTTPResponse::HTTPStatus applyAnnouncement(Poco::Net::HTTPServerRequest& request)
    {
        auto body = runtime::readBody(request.stream(), maxAnnouncementBytes);
        if (!body)
            return HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
        try {
            json in = json::parse(*body);
            core::target_report report = readReport(in);
            auto now = runtime::now();
            if (in.contains("cache"))
                m_dispatchThread.tryPost(cache_event { readEvents(in["cache"], report) });
            m_mesh.onDirectReport(report, now);
            m_dispatchThread.tryPost(report_event { std::move(report), now });
            return HTTPResponse::HTTP_OK;
        } catch (const json::exception&) {
            return HTTPResponse::HTTP_BAD_REQUEST;
        } catch (const Poco::Exception&) {
            return HTTPResponse::HTTP_BAD_REQUEST;
        }
    }

    dispatch_thread& m_dispatchThread;
    peer_mesh& m_mesh;
};

class announce_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    announce_factory(dispatch_thread& dispatchThread, peer_mesh& mesh)
        : m_dispatchThread(dispatchThread)
        , m_mesh(mesh)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new announce_handler(m_dispatchThread, m_mesh);
    }

private:
    dispatch_thread& m_dispatchThread;
    peer_mesh& m_mesh;
};

runtime::http_limits targetLimits()
{
    runtime::http_limits limits;
    limits.maxConnections = maxTargetConnections;
    return limits;
}

} // namespace

target_listener::target_listener(const std::string& address, dispatch_thread& dispatchThread, peer_mesh& mesh)
    : m_http(address, new announce_factory(dispatchThread, mesh), targetLimits())
{
}

} // namespace plumfold::entry
