#include "plumfold_scripted_target.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>

#include <chrono>
#include <sstream>

namespace plumfold::tests {

namespace {

constexpr int pollMicroseconds = 20'000;
constexpr int eventCount = 6;

} // namespace

/// One request on one connection.
struct scripted_target::exchange {
    Poco::Net::StreamSocket socket;
    std::string buffer; // read and not used yet
    seen_request request;
    bool keep = true;

    void send(const std::string& bytes) { socket.sendBytes(bytes.data(), static_cast<int>(bytes.size())); }
    std::string id() { return request.headers["request-id"]; }
    std::string head(const std::string& status, const std::string& more)
    {
        return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id() + "\r\n" + more + "\r\n";
    }
    void sendWhole(const std::string& status, const std::string& headers, const std::string& body)
    {
        send(head(status, headers + "Content-Length: " + std::to_string(body.size()) + "\r\n") + body);
    }
    void sendChunk(const std::string& bytes)
    {
        std::ostringstream size;
        size << std::hex << bytes.size();
        send(size.str() + "\r\n" + bytes + "\r\n");
    }
};

scripted_target::scripted_target(std::string name, std::string address)
    : m_name(std::move(name))
    , m_address(std::move(address))
    , m_listener(Poco::Net::SocketAddress(m_address))
    , m_thread([this] { accept(); })
{
}

scripted_target::~scripted_target()
{
    m_stopping = true;
    m_thread.join();
    for (auto& each : m_connections)
        each.join();
}

std::vector<seen_request> scripted_target::requests() const
{
    std::lock_guard lock(m_mutex);
    return m_requests;
}

void scripted_target::accept()
{
    while (!m_stopping) {
        if (!m_listener.poll(Poco::Timespan(0, pollMicroseconds), Poco::Net::Socket::SELECT_READ))
            continue;
        auto socket = m_listener.acceptConnection();
        m_connections.emplace_back([this, socket]() mutable { serve(socket); });
    }
}

void scripted_target::serve(Poco::Net::StreamSocket socket)
{
    static const std::map<std::string, behaviour> behaviours {
        { "whole", &scripted_target::answerWhole },
        { "cut", &scripted_target::answerCut },
        { "surplus", &scripted_target::answerSurplus },
        { "unframed", &scripted_target::answerUnframed },
        { "after-another", &scripted_target::answerAfterAnother },
        { "interim", &scripted_target::answerAfterAnInterimOne },
        { "unsigned", &scripted_target::answerUnsigned },
        { "spoiled", &scripted_target::answerSpoiled },
        { "not-run", &scripted_target::answerNotRun },
        { "busy", &scripted_target::answerBusy },
        { "slow", &scripted_target::answerSlowly },
        { "never", &scripted_target::neverAnswer },
        { "drop", &scripted_target::dropConnection },
        { "events", &scripted_target::stream },
        { "events-cut", &scripted_target::streamCutInAnEvent },
        { "head-cut", &scripted_target::streamCutAfterItsHead },
    };
    exchange now { socket, {}, {}, true };
    try {
        while (now.keep && readRequest(now)) {
            {
                std::lock_guard lock(m_mutex);
                m_requests.push_back(now.request);
            }
            const auto& path = now.request.path;
            auto found = behaviours.find(path.substr(path.rfind('/') + 1));
            (this->*(found == behaviours.end() ? &scripted_target::answerWhole : found->second))(now);
        }
    } catch (const Poco::Exception&) {
        ++m_abandoned;
    }
}

bool scripted_target::readRequest(exchange& now)
{
    now.request = {};
    auto fill = [&] {
        while (!now.socket.poll(Poco::Timespan(0, pollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
            if (m_stopping)
                return false;
        }
        char bytes[4096];
        int got = now.socket.receiveBytes(bytes, sizeof(bytes));
        now.buffer.append(bytes, static_cast<std::size_t>(std::max(got, 0)));
        return got > 0;
    };
    std::size_t end = 0;
    while ((end = now.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill())
            return false;
    }
    std::istringstream head(now.buffer.substr(0, end));
    now.buffer.erase(0, end + 4);
    std::string method, version, line;
    head >> method >> now.request.path >> version;
    std::getline(head, line);
    while (std::getline(head, line)) {
        auto colon = line.find(':');
        now.request.headers[Poco::toLower(line.substr(0, colon))] = Poco::trim(line.substr(colon + 1));
    }
    std::size_t length = std::strtoul(now.request.headers["content-length"].c_str(), nullptr, 10);
    while (now.buffer.size() < length) {
        if (!fill())
            return false;
    }
    now.request.body = now.buffer.substr(0, length);
    now.buffer.erase(0, length);
    return true;
}

void scripted_target::answerWhole(exchange& now)
{
    now.sendWhole("200 OK", "Response-Signature: " + m_name + "\r\n", "served " + now.request.body);
}

void scripted_target::answerCut(exchange& now)
{
    now.send(now.head("200 OK", "Response-Signature: x\r\nContent-Length: 100\r\n") + "half");
    now.keep = false;
}

void scripted_target::answerSurplus(exchange& now)
{
    answerWhole(now);
    now.send(
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: x\r\nContent-Length: 5\r\n\r\nextra");
}

void scripted_target::answerUnframed(exchange& now)
{
    now.send(now.head("200 OK", "Response-Signature: x\r\nConnection: close\r\n") + "until the end");
    now.keep = false;
}

void scripted_target::answerAfterAnother(exchange& now)
{
    now.send(
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: x\r\nContent-Length: 5\r\n\r\nother");
    answerWhole(now);
}

void scripted_target::answerAfterAnInterimOne(exchange& now)
{
    now.send("HTTP/1.1 102 Processing\r\n\r\n");
    answerWhole(now);
}

void scripted_target::answerUnsigned(exchange& now)
{
    now.sendWhole("200 OK", "", "unsigned");
}

void scripted_target::answerSpoiled(exchange& now)
{
    now.send("\x01\x02 no answer at all\r\n\r\n");
    now.keep = false;
}

void scripted_target::answerNotRun(exchange& now)
{
    now.sendWhole("503 Service Unavailable", "Not-Executed: 1\r\n", "");
}

void scripted_target::answerBusy(exchange& now)
{
    now.sendWhole("503 Service Unavailable", "Response-Signature: x\r\n", "busy");
}

void scripted_target::answerSlowly(exchange& now)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    answerWhole(now);
}

void scripted_target::neverAnswer(exchange& now)
{
    char byte = 0;
    while (!now.socket.poll(Poco::Timespan(0, pollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
        if (m_stopping)
            return;
    }
    if (now.socket.receiveBytes(&byte, 1) <= 0)
        ++m_abandoned;
    now.keep = false;
}

void scripted_target::dropConnection(exchange& now)
{
    now.keep = false;
}

void scripted_target::stream(exchange& now)
{
    now.send(now.head("200 OK", "Response-Signature: " + m_name + "\r\nTransfer-Encoding: chunked\r\n"));
    int first = std::atoi(now.request.headers["last-event-id"].c_str()) + 1;
    for (int id = first; id <= eventCount; ++id) {
        now.sendChunk("id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    now.send("0\r\n\r\n");
}

void scripted_target::streamCutInAnEvent(exchange& now)
{
    if (now.request.headers.contains("last-event-id")) {
        stream(now);
        return;
    }
    now.send(now.head("200 OK", "Response-Signature: " + m_name + "\r\nTransfer-Encoding: chunked\r\n"));
    now.sendChunk("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\nda");
    now.keep = false;
}

/// The first request gets a head and a piece of an event, later ones the whole stream.
void scripted_target::streamCutAfterItsHead(exchange& now)
{
    static std::atomic<int> runs { 0 };
    if (runs++ % 2 == 1) {
        stream(now);
        return;
    }
    now.send(now.head("200 OK", "Response-Signature: " + m_name + "\r\nTransfer-Encoding: chunked\r\n"));
    now.sendChunk("id: 1\nda");
    now.keep = false;
}

} // namespace plumfold::tests
