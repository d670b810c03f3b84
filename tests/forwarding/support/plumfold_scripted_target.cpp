#include "plumfold_scripted_exchange.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>

#include <chrono>
#include <sstream>
#include <sys/socket.h>

namespace plumfold::tests {

namespace {

constexpr int pollMicroseconds = 20'000;
constexpr std::chrono::milliseconds timeUntilCrash { 40 };
constexpr std::chrono::milliseconds workTime { 100 };
constexpr std::chrono::milliseconds timeUntilListenerCloses { 15 };
constexpr std::chrono::milliseconds silencePollInterval { 2 };
constexpr int listenerQueue = 64;
constexpr const char* earlyBehaviour = "raw-early"; // responds before it has read the request's body
constexpr const char* streamPath = "/words/"; // of the streaming route that may be taken up

/// Counts a request as running as long as it exists.
class running_count {
public:
    explicit running_count(std::atomic<int>* count)
        : m_count(count)
    {
        if (m_count)
            ++*m_count;
    }
    ~running_count()
    {
        if (m_count)
            --*m_count;
    }
    running_count(const running_count&) = delete;
    running_count& operator=(const running_count&) = delete;

private:
    std::atomic<int>* m_count;
};

} // namespace

scripted_target::scripted_target(std::string name, std::string address, std::string version)
    : m_name(std::move(name))
    , m_address(std::move(address))
    , m_version(std::move(version))
    , m_listener(Poco::Net::SocketAddress(m_address))
    , m_thread([this] { accept(); })
{
    m_address = m_listener.address().toString(); // port 0 lets the system choose
}

scripted_target::~scripted_target()
{
    m_stopping = true;
    m_thread.join();
    for (auto& each : m_connections)
        each.join();
}

std::vector<recorded_request> scripted_target::requests() const
{
    std::lock_guard lock(m_mutex);
    return m_requests;
}

void scripted_target::setResponseHeaders(std::string lines)
{
    std::lock_guard lock(m_mutex);
    m_responseHeaders = std::move(lines);
}

std::string scripted_target::responseHeaders() const
{
    std::lock_guard lock(m_mutex);
    return m_responseHeaders;
}

void scripted_target::accept()
{
    while (!m_stopping) {
        waitWhileSilent();
        if (m_isQueueClosed.exchange(false))
            ::listen(m_listener.impl()->sockfd(), listenerQueue);
        if (!m_listener.poll(Poco::Timespan(0, pollMicroseconds), Poco::Net::Socket::SELECT_READ))
            continue;
        try {
            auto socket = m_listener.acceptConnection();
            {
                std::lock_guard lock(m_mutex);
                m_sockets.push_back(socket);
            }
            m_connections.emplace_back([this, socket]() mutable { serve(socket); });
        } catch (const Poco::Exception&) {
            return; // crashed
        }
    }
}

void scripted_target::crash()
{
    if (m_crashed.exchange(true))
        return;
    m_stopping = true;
    {
        std::lock_guard lock(m_mutex);
        for (auto& each : m_sockets)
            ::shutdown(each.impl()->sockfd(), SHUT_RDWR);
    }
    // The end of a process closes its sockets one after another.
    std::this_thread::sleep_for(timeUntilListenerCloses);
    ::shutdown(m_listener.impl()->sockfd(), SHUT_RDWR);
}

void scripted_target::fallSilent(std::chrono::milliseconds time, bool keepsQueue)
{
    m_silentUntil = std::chrono::steady_clock::now() + time;
    if (keepsQueue)
        return;
    ::listen(m_listener.impl()->sockfd(), 0);
    m_isQueueClosed = true;
}

void scripted_target::waitWhileSilent() const
{
    while (!m_stopping && isSilent())
        std::this_thread::sleep_for(silencePollInterval);
}

/// @return whether a request is meant for a former target at this address.
bool scripted_target::isMisdirected(const recorded_request& request) const
{
    auto expected = request.headers.find("expected-instance");
    return expected != request.headers.end() && expected->second != m_name;
}

void scripted_target::askForRest(int process, std::chrono::milliseconds time)
{
    std::lock_guard lock(m_mutex);
    m_restsToAsk[process] = time;
}

std::vector<scripted_rest> scripted_target::rests() const
{
    std::lock_guard lock(m_mutex);
    return m_rests;
}

bool scripted_target::rejectForRest(exchange& current)
{
    auto now = std::chrono::steady_clock::now();
    std::optional<std::chrono::milliseconds> time; // that is left
    {
        std::lock_guard lock(m_mutex);
        if (auto asked = m_restsToAsk.extract(current.owner); asked)
            m_rests.push_back({ current.owner, now, now + asked.mapped() });
        for (const auto& each : m_rests) {
            if (each.process == current.owner && now < each.until)
                time = std::chrono::duration_cast<std::chrono::milliseconds>(each.until - now);
        }
    }
    if (!time)
        return false;
    auto seconds = std::to_string(static_cast<double>(time->count()) / 1000);
    current.sendResponse(
        "503 Service Unavailable", "Not-Executed: 1\r\nRetry-After: " + seconds + "\r\n", "");
    return true;
}

void scripted_target::crashWhileServing(exchange& current)
{
    if (current.request.path.find("/events") != std::string::npos)
        current.send(
            current.head("200 OK", "Response-Signature: " + m_name + "\r\nTransfer-Encoding: chunked\r\n"));
    std::this_thread::sleep_for(timeUntilCrash);
    crash();
    current.keepAlive = false;
}

void scripted_target::serveWithRoom(exchange& current)
{
    auto entered = m_room->enter([this] { return m_stopping.load(); });
    if (entered == scripted_room::result::overloaded) {
        crash();
        current.keepAlive = false;
        return;
    }
    if (entered == scripted_room::result::rejected) {
        current.sendResponse("503 Service Unavailable", "Not-Executed: 1\r\n" + m_room->headers(), "");
        return;
    }
    {
        std::lock_guard lock(m_mutex);
        m_executed.push_back(current.id());
    }
    std::this_thread::sleep_for(workTime);
    m_room->leave();
    current.sendResponse("200 OK", "Response-Signature: " + m_name + "\r\n" + m_room->headers(), "served");
}

void scripted_target::serve(Poco::Net::StreamSocket socket)
{
    static const std::map<std::string, behaviour> behaviours {
        { "whole", &scripted_target::respondComplete },
        { "raw", &scripted_target::respondRaw },
        { earlyBehaviour, &scripted_target::respondRaw },
        { "large", &scripted_target::respondLarge },
        { "cut", &scripted_target::respondTruncated },
        { "head-stops", &scripted_target::stopInHead },
        { "surplus", &scripted_target::respondWithTrailingBytes },
        { "unframed", &scripted_target::respondUntilClose },
        { "after-another", &scripted_target::respondAfterForeignResponse },
        { "interim", &scripted_target::respondAfterInterim },
        { "unsigned", &scripted_target::respondUnsigned },
        { "spoiled", &scripted_target::respondMalformed },
        { "not-run", &scripted_target::respondNotExecuted },
        { "refusal-again", &scripted_target::refuseAgain },
        { "refusal-again-named", &scripted_target::refuseAgain },
        { "busy", &scripted_target::respondBusy },
        { "slow", &scripted_target::respondSlowly },
        { "work", &scripted_target::respondAfterWork },
        { "never", &scripted_target::neverRespond },
        { "drop", &scripted_target::dropConnection },
        { "events", &scripted_target::streamEvents },
        { "events-paced", &scripted_target::streamPacedEvents },
        { "comments-only", &scripted_target::streamCommentsOnly },
        { "events-cut", &scripted_target::streamCutMidEvent },
        { "head-cut", &scripted_target::streamCutAfterHead },
        { "events-unframed", &scripted_target::streamUnframed },
        { "events-unframed-cut", &scripted_target::streamUnframedCutMidEvent },
        { "events-unframed-none", &scripted_target::streamUnframedWithoutEvents },
        { "events-chunked-cut", &scripted_target::streamChunkedEndMidEvent },
        { "events-sized-cut", &scripted_target::streamSizedEndMidEvent },
        { "unframed-reset", &scripted_target::resetUnframed },
        { "events-unframed-reset", &scripted_target::resetUnframedStream },
        { "endless-head", &scripted_target::sendEndlessHead },
        { "endless-interim", &scripted_target::sendEndlessInterim },
        { "endless-chunk-line", &scripted_target::sendEndlessChunkLine },
        { "endless-body", &scripted_target::sendEndlessBody },
        { "endless-foreign", &scripted_target::sendEndlessForeignResponses },
        { "endless-event", &scripted_target::sendEndlessEvent },
        { "endless-events", &scripted_target::sendEndlessEvents },
        { "endless-drip", &scripted_target::dripBytes },
        { "versioned", &scripted_target::streamVersionedEvents },
        { "events-cut-slow", &scripted_target::streamSlowlyWhenResumed },
        { "events-then-400", &scripted_target::streamThenFail },
        { "events-then-404", &scripted_target::streamThenFail },
        { "events-then-500", &scripted_target::streamThenFail },
        { "events-then-500-close", &scripted_target::streamThenFail },
        { "events-then-500-events", &scripted_target::streamThenFail },
        { "events-then-503", &scripted_target::streamThenFail },
        { "events-then-503-not-run", &scripted_target::streamThenFail },
        { "events-then-302", &scripted_target::streamThenFail },
        { "events-then-200-text", &scripted_target::streamThenFail },
        { "events-then-200-unsigned", &scripted_target::streamThenFail },
    };
    exchange current { *this, socket, {}, {}, true, 0, true };
    try {
        if (m_cuts)
            current.owner = m_cuts->ownerOf(socket.peerAddress(), socket.address());
        while (current.keepAlive && readRequest(current)) {
            {
                std::lock_guard lock(m_mutex);
                current.request.receivedAt = std::chrono::steady_clock::now();
                current.request.process = current.owner;
                current.number = m_requests.size();
                m_requests.push_back(current.request);
            }
            if (isMisdirected(current.request)) {
                current.sendResponse("421 Misdirected Request", "Not-Executed: 1\r\n", "");
                continue;
            }
            if (rejectForRest(current) || rejectForWeights(current) || !waitForStart(current))
                continue;
            if (m_crashCondition && m_crashCondition(current.request)) {
                crashWhileServing(current);
                continue;
            }
            const auto& path = current.request.path;
            bool isManagementCall = path == "/report" || path == "/order";
            if (m_weights && isManagementCall && m_weights->orders == order_behaviour::never_respond) {
                neverRespond(current);
                continue;
            }
            if (m_weights && path == "/report") {
                respondReport(current);
                continue;
            }
            if (m_weights && path == "/order") {
                respondToOrder(current);
                continue;
            }
            bool isControlCall = path.starts_with("/report") || path.starts_with("/kv-");
            if (m_room && !isControlCall) {
                serveWithRoom(current);
                continue;
            }
            running_count running(isControlCall ? nullptr : &m_running);
            if (m_versionBehaviour && !isControlCall && !path.starts_with(streamPath)) {
                serveAsVersion(current);
                continue;
            }
            auto found = behaviours.find(isControlCall ? m_controlBehaviour : behaviourFor(path));
            (this->*(found == behaviours.end() ? &scripted_target::respondComplete : found->second))(current);
        }
    } catch (const Poco::Exception&) {
        ++m_abandoned;
    }
    std::lock_guard lock(m_mutex);
    std::erase_if(m_sockets, [&](const auto& each) { return each.impl() == socket.impl(); });
}

std::string scripted_target::behaviourFor(const std::string& path) const
{
    auto segment = path.substr(path.rfind('/') + 1);
    constexpr std::size_t prefixLength = 3;
    bool isOfVersion = segment.size() > prefixLength && segment[0] == 'v' && segment[2] == '-';
    if (!isOfVersion)
        return segment;
    return segment.substr(0, 2) == m_version ? segment.substr(prefixLength) : "whole";
}

bool scripted_target::passesLink(exchange& current) const
{
    if (!m_cuts)
        return true;
    auto state = m_cuts->stateOf(current.owner);
    bool isRefused = state == link_state::refusing && current.isNew;
    if (state == link_state::whole || (state == link_state::refusing && !isRefused))
        return true;
    while (!m_stopping && m_cuts->stateOf(current.owner) == link_state::hanging)
        std::this_thread::sleep_for(std::chrono::microseconds(pollMicroseconds));
    current.socket.setLinger(true, 0);
    current.socket.close();
    return false;
}

bool scripted_target::readRequest(exchange& current)
{
    current.request = {};
    auto fill = [&] {
        do {
            if (m_stopping || !passesLink(current))
                return false;
        } while (!current.socket.poll(Poco::Timespan(0, pollMicroseconds), Poco::Net::Socket::SELECT_READ));
        if (!passesLink(current))
            return false;
        waitWhileSilent();
        char bytes[4096];
        int got = current.socket.receiveBytes(bytes, sizeof(bytes));
        current.buffer.append(bytes, static_cast<std::size_t>(std::max(got, 0)));
        return got > 0;
    };
    std::size_t end = 0;
    while ((end = current.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill())
            return false;
    }
    std::istringstream head(current.buffer.substr(0, end));
    current.buffer.erase(0, end + 4);
    std::string method, version, line;
    head >> method >> current.request.path >> version;
    std::getline(head, line);
    while (std::getline(head, line)) {
        auto colon = line.find(':');
        current.request.headers[Poco::toLower(line.substr(0, colon))] = Poco::trim(line.substr(colon + 1));
    }
    std::size_t length = std::strtoul(current.request.headers["content-length"].c_str(), nullptr, 10);
    if (behaviourFor(current.request.path) == earlyBehaviour)
        return true;
    while (current.buffer.size() < length) {
        if (!fill())
            return false;
    }
    current.request.body = current.buffer.substr(0, length);
    current.buffer.erase(0, length);
    current.isNew = false;
    return true;
}

void scripted_target::respondRaw(exchange& current)
{
    std::string bytes;
    auto ending = raw_ending::keep;
    {
        std::lock_guard lock(m_mutex);
        bytes = m_rawResponse;
        ending = m_rawEnding;
    }
    current.keepAlive = ending == raw_ending::keep;
    const std::string placeholder = "{id}";
    for (auto at = bytes.find(placeholder); at != std::string::npos; at = bytes.find(placeholder))
        bytes.replace(at, placeholder.size(), current.id());
    current.send(bytes);
    if (ending == raw_ending::reset)
        current.reset();
    if (ending != raw_ending::close_and_read)
        return;
    current.socket.shutdownSend();
    char rest[4096];
    while (current.socket.receiveBytes(rest, sizeof(rest)) > 0) { }
}

void scripted_target::respondComplete(exchange& current)
{
    current.sendResponse(
        "200 OK", "Response-Signature: " + m_name + "\r\n", "served " + current.request.body);
}

void scripted_target::respondLarge(exchange& current)
{
    current.sendResponse(
        "200 OK", "Response-Signature: " + m_name + "\r\n", std::string(largeBodyBytes, 'l'));
}

void scripted_target::respondTruncated(exchange& current)
{
    current.send(current.head("200 OK", "Response-Signature: x\r\nContent-Length: 100\r\n") + "half");
    current.keepAlive = false;
}

void scripted_target::stopInHead(exchange& current)
{
    bool isStream
        = current.request.path.starts_with("/words/") || current.request.path.starts_with("/notes/");
    auto framing = isStream ? "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                            : "Content-Length: 6\r\n";
    current.send(current.head("200 OK", "Response-Signature: " + m_name + "\r\n" + framing)
                     .substr(0, m_sentHeadBytes));
    if (m_resetsInHead)
        current.reset();
    current.keepAlive = false;
}

void scripted_target::respondWithTrailingBytes(exchange& current)
{
    respondComplete(current);
    current.send(
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: x\r\nContent-Length: 5\r\n\r\nextra");
}

void scripted_target::respondUntilClose(exchange& current)
{
    current.send(current.head("200 OK", "Response-Signature: x\r\nConnection: close\r\n") + "until the end");
    current.keepAlive = false;
}

void scripted_target::respondAfterForeignResponse(exchange& current)
{
    current.send(
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: x\r\nContent-Length: 5\r\n\r\nother");
    respondComplete(current);
}

void scripted_target::respondAfterInterim(exchange& current)
{
    current.send("HTTP/1.1 102 Processing\r\n\r\n");
    respondComplete(current);
}

void scripted_target::respondUnsigned(exchange& current)
{
    current.sendResponse("200 OK", "", "unsigned");
}

void scripted_target::respondMalformed(exchange& current)
{
    current.send("\x01\x02 no answer at all\r\n\r\n");
    current.keepAlive = false;
}

void scripted_target::respondNotExecuted(exchange& current)
{
    current.sendResponse("503 Service Unavailable", "Not-Executed: 1\r\n", "");
}

/// Every other request on a connection is refused. The next one runs, and gets the refusal once more before
/// its response.
void scripted_target::refuseAgain(exchange& current)
{
    if (current.refused.empty()) {
        current.refused = current.id();
        respondNotExecuted(current);
        return;
    }
    {
        std::lock_guard lock(m_mutex);
        m_executed.push_back(current.id());
    }
    bool isNamed = current.request.path.find("named") != std::string::npos;
    current.send("HTTP/1.1 503 Service Unavailable\r\n"
        + (isNamed ? "Request-Id: " + current.refused + "\r\n" : std::string())
        + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    current.refused.clear();
    std::this_thread::sleep_for(workTime);
    respondComplete(current);
}

std::vector<std::string> scripted_target::executed() const
{
    std::lock_guard lock(m_mutex);
    return m_executed;
}

void scripted_target::respondBusy(exchange& current)
{
    current.sendResponse("503 Service Unavailable", "Response-Signature: x\r\n", "busy");
}

void scripted_target::respondSlowly(exchange& current)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    respondComplete(current);
}

void scripted_target::respondAfterWork(exchange& current)
{
    std::this_thread::sleep_for(workTime);
    respondComplete(current);
}

void scripted_target::neverRespond(exchange& current)
{
    char byte = 0;
    while (!current.socket.poll(Poco::Timespan(0, pollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
        if (m_stopping)
            return;
    }
    if (current.socket.receiveBytes(&byte, 1) <= 0)
        ++m_abandoned;
    current.keepAlive = false;
}

void scripted_target::dropConnection(exchange& current)
{
    current.keepAlive = false;
}

} // namespace plumfold::tests
