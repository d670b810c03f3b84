#include "plumfold_status_listener.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>

namespace plumfold::forwarding {

namespace {

using Poco::Net::HTTPResponse;

constexpr int maxConnections = 8;

struct status_page {
    HTTPResponse::HTTPStatus status = HTTPResponse::HTTP_OK;
    std::string body;
};

using page_source = std::function<status_page()>;

class page_handler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit page_handler(const page_source& source)
        : m_source(source)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse& response) override
    {
        status_page page = m_source();
        response.setStatus(page.status);
        response.setContentType("text/plain");
        response.sendBuffer(page.body.data(), page.body.size());
    }

private:
    const page_source& m_source;
};

class page_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit page_factory(page_source source)
        : m_source(std::move(source))
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new page_handler(m_source);
    }

private:
    page_source m_source;
};

runtime::http_limits pageLimits()
{
    runtime::http_limits limits;
    limits.maxConnections = maxConnections;
    return limits;
}

} // namespace

status_listener::status_listener(
    const runtime::forwarding_settings& settings, const runtime::metrics& metrics)
    : m_readiness(settings.readinessAddress, new page_factory([this] {
        return m_ready ? status_page { HTTPResponse::HTTP_OK, "ready\n" }
                       : status_page { HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "not ready\n" };
    }),
        pageLimits())
{
    if (settings.metricsAddress.empty())
        return;
    auto page = [&metrics] { return status_page { HTTPResponse::HTTP_OK, metrics.prometheusText() }; };
    m_metrics = std::make_unique<runtime::http_listener>(
        settings.metricsAddress, new page_factory(page), pageLimits());
}

} // namespace plumfold::forwarding
