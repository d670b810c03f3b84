#include "plumfold_announcer.hpp"

#include "plumfold/runtime/plumfold_http.hpp"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <istream>
#include <ostream>

namespace plumfold::fakes {

namespace {

constexpr int connectMicroseconds = 200'000;

void announceTo(const std::string& address, const std::string& body)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(runtime::socketAddress(address), Poco::Timespan(connectMicroseconds));
        Poco::Net::HTTPClientSession session(socket);
        runtime::setIoTimeout(session.socket(), core::milliseconds(200));
        Poco::Net::HTTPRequest request("POST", "/v1/targets/announce", "HTTP/1.1");
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
    } catch (const Poco::Exception&) {
        // The entry is down. The next announcement is its retry.
    }
}

} // namespace

announcer::announcer(const fake_options& options, std::function<nlohmann::json()> makeAnnouncement)
    : m_options(options)
    , m_makeAnnouncement(std::move(makeAnnouncement))
    , m_thread([this] { run(); })
{
}

announcer::~announcer()
{
    m_stopping = true;
    m_thread.join();
}

void announcer::run()
{
    while (!m_stopping) {
        nlohmann::json body = m_makeAnnouncement();
        body["sequence"] = ++m_sequence;
        for (const auto& entry : m_options.entries)
            announceTo(entry, body.dump());
        std::this_thread::sleep_for(std::chrono::milliseconds(m_options.announceMs));
    }
}

} // namespace plumfold::fakes
