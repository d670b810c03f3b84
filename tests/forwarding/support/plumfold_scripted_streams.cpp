// The part of scripted_target that responds with streams and with bytes without end.

#include "plumfold_scripted_exchange.hpp"

#include <atomic>

namespace plumfold::tests {

namespace {

constexpr int eventCount = 6;
/// Two events and the beginning of a third.
constexpr const char* cutEvents = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\nda";

} // namespace

void scripted_target::streamEvents(exchange& current)
{
    current.send(
        current.head("200 OK", "Response-Signature: " + m_name + "\r\nTransfer-Encoding: chunked\r\n"));
    int first = std::atoi(current.request.headers["last-event-id"].c_str()) + 1;
    for (int id = first; id <= eventCount; ++id) {
        current.sendChunk("id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    current.send("0\r\n\r\n");
}

void scripted_target::streamPacedEvents(exchange& current)
{
    current.send(
        current.head("200 OK", "Response-Signature: " + m_name + "\r\nTransfer-Encoding: chunked\r\n"));
    for (int id = 1; id <= pacedEventCount; ++id) {
        current.sendChunk("id: " + std::to_string(id) + "\nda");
        std::this_thread::sleep_for(m_pace.load());
        current.sendChunk("ta: e" + std::to_string(id) + "\n\n");
    }
    current.send("0\r\n\r\n");
}

void scripted_target::streamCommentsOnly(exchange& current)
{
    current.send(
        current.head("200 OK", "Response-Signature: " + m_name + "\r\nTransfer-Encoding: chunked\r\n"));
    sendEndlessly(current, "3\r\n:\n\n\r\n", std::chrono::milliseconds(100));
}

void scripted_target::streamCutMidEvent(exchange& current)
{
    if (current.isResumed()) {
        streamEvents(current);
        return;
    }
    current.send(
        current.head("200 OK", "Response-Signature: " + m_name + "\r\nTransfer-Encoding: chunked\r\n"));
    current.sendChunk(cutEvents);
    current.keepAlive = false;
}

/// Every odd request gets the headers and part of an event, every even one the whole stream.
void scripted_target::streamCutAfterHead(exchange& current)
{
    static std::atomic<int> calls { 0 };
    if (calls++ % 2 == 1) {
        streamEvents(current);
        return;
    }
    current.send(
        current.head("200 OK", "Response-Signature: " + m_name + "\r\nTransfer-Encoding: chunked\r\n"));
    current.sendChunk("id: 1\nda");
    current.keepAlive = false;
}

void scripted_target::streamUnframed(exchange& current)
{
    current.send(current.head("200 OK", "Response-Signature: " + m_name + "\r\n"));
    int first = std::atoi(current.request.headers["last-event-id"].c_str()) + 1;
    for (int id = first; id <= eventCount; ++id)
        current.send("id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n");
    current.keepAlive = false;
}

void scripted_target::streamUnframedCutMidEvent(exchange& current)
{
    if (current.isResumed()) {
        streamUnframed(current);
        return;
    }
    current.send(current.head("200 OK", "Response-Signature: " + m_name + "\r\n") + cutEvents);
    current.keepAlive = false;
}

void scripted_target::streamUnframedWithoutEvents(exchange& current)
{
    current.send(current.head("200 OK", "Response-Signature: " + m_name + "\r\n"));
    current.keepAlive = false;
}

void scripted_target::streamChunkedEndMidEvent(exchange& current)
{
    if (current.isResumed()) {
        streamEvents(current);
        return;
    }
    current.send(
        current.head("200 OK", "Response-Signature: " + m_name + "\r\nTransfer-Encoding: chunked\r\n"));
    current.sendChunk(cutEvents);
    current.send("0\r\n\r\n");
}

void scripted_target::streamSizedEndMidEvent(exchange& current)
{
    if (current.isResumed())
        streamEvents(current);
    else
        current.sendResponse("200 OK", "Response-Signature: " + m_name + "\r\n", cutEvents);
}

void scripted_target::resetUnframed(exchange& current)
{
    current.send(current.head("200 OK", "Response-Signature: " + m_name + "\r\n") + "until the");
    current.reset();
}

void scripted_target::resetUnframedStream(exchange& current)
{
    if (current.isResumed()) {
        streamUnframed(current);
        return;
    }
    current.send(current.head("200 OK", "Response-Signature: " + m_name + "\r\n") + "id: 1\ndata: e1\n\n");
    current.reset();
}

void scripted_target::streamVersionedEvents(exchange& current)
{
    constexpr int versionedEventCount = 12;
    int interval = m_breakOffInterval;
    bool isBrokenOff = interval > 0 && m_versionedStreams++ % interval == 0;
    current.send(
        current.head("200 OK", "Response-Signature: " + m_name + "\r\nTransfer-Encoding: chunked\r\n"));
    int first = std::atoi(current.request.headers["last-event-id"].c_str()) + 1;
    for (int id = first; id <= versionedEventCount; ++id) {
        if (isBrokenOff && id == first + 3) {
            current.sendChunk("id: " + std::to_string(id) + "\nda");
            current.keepAlive = false;
            return;
        }
        current.sendChunk("id: " + std::to_string(id) + "\ndata: " + m_version + "\n\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    current.send("0\r\n\r\n");
}

void scripted_target::streamSlowlyWhenResumed(exchange& current)
{
    if (current.isResumed())
        std::this_thread::sleep_for(std::chrono::milliseconds(400));
    streamCutMidEvent(current);
}

/// A first request gets two events and part of a third. One that takes the stream up gets a response that
/// does not continue it, as the path says.
void scripted_target::streamThenFail(exchange& current)
{
    if (!current.isResumed()) {
        streamCutMidEvent(current);
        return;
    }
    auto variant = current.request.path.substr(current.request.path.rfind("events-then-") + 12);
    auto signature = "Response-Signature: " + m_name + "\r\nForeign-Header: foreign\r\n";
    if (variant == "500-close") {
        current.send(current.head("500 Error", signature + "Connection: close\r\n") + "foreign text");
        current.keepAlive = false;
    } else if (variant == "500-events") {
        current.send(current.head(
            "500 Error", signature + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        current.sendChunk("id: 3\ndata: foreign\n\n");
        current.send("0\r\n\r\n");
    } else if (variant == "503-not-run") {
        current.sendResponse(
            "503 Unavailable", "Not-Executed: 1\r\nForeign-Header: foreign\r\n", "foreign text");
    } else if (variant == "302") {
        current.sendResponse("302 Found", signature + "Location: /foreign\r\n", "foreign text");
    } else if (variant == "200-text") {
        current.sendResponse("200 OK", signature + "Content-Type: text/plain\r\n", "foreign text");
    } else if (variant == "200-unsigned") {
        current.sendResponse("200 OK", "Foreign-Header: foreign\r\n", "id: 3\ndata: foreign\n\n");
    } else {
        current.sendResponse(variant + " Error", signature, "foreign text");
    }
}

void scripted_target::sendEndlessly(
    exchange& current, const std::string& bytes, std::chrono::milliseconds pause)
{
    while (!m_stopping) {
        current.send(bytes);
        std::this_thread::sleep_for(pause);
    }
    current.keepAlive = false;
}

void scripted_target::sendEndlessHead(exchange& current)
{
    current.send("HTTP/1.1 200 OK\r\n");
    sendEndlessly(current, "Filler: " + std::string(1000, 'x') + "\r\n");
}

void scripted_target::sendEndlessInterim(exchange& current)
{
    sendEndlessly(current, "HTTP/1.1 102 Processing\r\n\r\n");
}

void scripted_target::sendEndlessChunkLine(exchange& current)
{
    current.send(
        current.head("200 OK", "Response-Signature: " + m_name + "\r\nTransfer-Encoding: chunked\r\n")
        + "5;");
    sendEndlessly(current, std::string(1000, 'x'));
}

void scripted_target::sendEndlessBody(exchange& current)
{
    current.send(current.head("200 OK", "Response-Signature: " + m_name + "\r\n"));
    sendEndlessly(current, std::string(64 << 10, 'x'));
}

void scripted_target::sendEndlessForeignResponses(exchange& current)
{
    sendEndlessly(current,
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: x\r\nContent-Length: 5\r\n\r\nother");
}

void scripted_target::sendEndlessEvent(exchange& current)
{
    current.send(current.head("200 OK", "Response-Signature: " + m_name + "\r\n") + "id: 1\ndata: ");
    sendEndlessly(current, std::string(1000, 'x'));
}

void scripted_target::sendEndlessEvents(exchange& current)
{
    current.send(current.head("200 OK", "Response-Signature: " + m_name + "\r\n"));
    sendEndlessly(current, "id: 1\ndata: e1\n\n");
}

void scripted_target::dripBytes(exchange& current)
{
    current.send(current.head("200 OK", "Response-Signature: " + m_name + "\r\n"));
    sendEndlessly(current, "x", std::chrono::milliseconds(10));
}

} // namespace plumfold::tests
