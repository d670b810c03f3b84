#pragma once

#include "plumfold_link_cuts.hpp"
#include "plumfold_scripted_room.hpp"
#include "plumfold_scripted_version.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace plumfold::tests {

/// A request as a target received it.
struct recorded_request {
    std::string path;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    int process = 0; ///< That sent it, if link_cuts knows it.
    std::chrono::steady_clock::time_point receivedAt {};
    std::uint64_t weights = 0; ///< Version that the target ran the request on; 0: it did not run.
    std::chrono::steady_clock::time_point startedAt {}; ///< When it began to run, if it has weights.
};

/// A time in which a target wants no requests from a process.
struct scripted_rest {
    int process = 0;
    std::chrono::steady_clock::time_point from {};
    std::chrono::steady_clock::time_point until {};
};

/// What a target does with an order to load weights.
enum class order_behaviour {
    execute,
    ignore, ///< Accepts it and never executes it.
    never_respond, ///< Responds neither to orders nor to requests for reports.
};

/// What a target does with a connection behind a raw response.
enum class raw_ending {
    keep,
    close, ///< With a reset if not all that the caller has sent was read.
    reset,
    close_and_read, ///< Ends its own direction and reads on until the caller closes.
};

/// The model of a target, and the weight version that it has loaded.
struct scripted_weights {
    std::string model;
    std::uint64_t version = 0;
    order_behaviour orders = order_behaviour::execute;
    std::uint64_t acceptedOrders = 0;
    std::uint64_t loading = 0; ///< Version of the order that is being executed; 0: none.
    std::chrono::steady_clock::time_point loadedAt {}; ///< When that order is complete.
};

/// A fake target of the platform. The last segment of a request's path selects its behaviour; see the table
/// in serve().
class scripted_target {
public:
    /// @param address ip:port
    /// @param version software version, which the events of the behaviour "versioned" carry.
    scripted_target(std::string name, std::string address, std::string version = "v1");
    ~scripted_target();

    const std::string& name() const { return m_name; }
    const std::string& version() const { return m_version; }
    /// Sets the behaviour that responds to requests for reports, events and lists.
    void setControlBehaviour(std::string name) { m_controlBehaviour = std::move(name); }
    /// Breaks off one in `interval` streams of the behaviour "versioned" inside an event; 0: none.
    void breakOffStreams(int interval) { m_breakOffInterval = interval; }
    const std::string& address() const { return m_address; }

    /// Adds headers to all responses from now on.
    /// @param lines header lines, each with its line end; empty for none.
    void setResponseHeaders(std::string lines);
    /// @return the header lines that are added to all responses.
    std::string responseHeaders() const;

    /// Number of the events of the behaviour "events-paced".
    static constexpr int pacedEventCount = 25;
    /// Size of the body of the behaviour "large": more than sockets take in advance.
    static constexpr std::size_t largeBodyBytes = 7 << 20;
    /// Sets the time in which the behaviour "events-paced" completes each event.
    void setPace(std::chrono::milliseconds time) { m_pace = time; }

    /// Sets where the behaviour "head-stops" stops in its response, and how the connection ends then.
    /// @param bytes of the response that are sent.
    void stopInHead(std::size_t bytes, bool reset)
    {
        m_sentHeadBytes = bytes;
        m_resetsInHead = reset;
    }

    /// Sets what the behaviours "raw" and "raw-early" send as their response, in which "{id}" stands for the
    /// request's id. The second one does not read the request's body before.
    void setRawResponse(std::string bytes, raw_ending ending)
    {
        std::lock_guard lock(m_mutex);
        m_rawResponse = std::move(bytes);
        m_rawEnding = ending;
    }

    /// Lets the target ask a process for rest from the process' next request on: until the rest ends, it
    /// rejects all its requests. Call setLinkCuts() before, with the process known there.
    void askForRest(int process, std::chrono::milliseconds time);
    /// @return when the target has asked processes for rest, and until when.
    std::vector<scripted_rest> rests() const;

    /// Makes the target an engine of a model. Call it before the target serves requests.
    void setWeights(const std::string& model, std::uint64_t version, order_behaviour orders);
    /// Lets requests to the model wait before they run.
    void setQueueTime(std::chrono::milliseconds time) { m_queueTime = time; }
    /// @return the loaded weights; nothing for a target without a model.
    std::optional<scripted_weights> weights() const;

    /// Limits the requests that the target runs and lets wait; all take the same time. Call it before the
    /// target serves requests.
    void setRoom(int slots, int waiting) { m_room = std::make_unique<scripted_room>(slots, waiting); }
    /// @return null unless setRoom() was called.
    scripted_room* room() { return m_room.get(); }

    /// Lets the target serve callers' requests but streams (paths below /words/) as its software version
    /// does. Call it before the target serves requests.
    void setVersionBehaviour(scripted_version behaviour)
    {
        m_versionBehaviour = std::make_unique<scripted_version_run>(behaviour, m_name);
    }
    /// @return null unless setVersionBehaviour() was called.
    const scripted_version_run* versionBehaviour() const { return m_versionBehaviour.get(); }

    /// @return number of callers' requests that the target runs now.
    int runningRequests() const { return m_running; }

    /// Lets the target crash while it runs a request for which the condition holds. Call it before the target
    /// serves requests.
    void setCrashCondition(std::function<bool(const recorded_request&)> condition)
    {
        m_crashCondition = std::move(condition);
    }
    /// Lets the target treat connections as the state of their process' link says. Call it before the target
    /// serves requests of that process.
    void setLinkCuts(std::shared_ptr<const link_cuts> cuts) { m_cuts = std::move(cuts); }
    /// Ends the target as the end of its process would: all connections are closed and new ones are refused.
    void crash();
    bool hasCrashed() const { return m_crashed; }

    /// Lets the target neither read, send nor accept for a time, and then go on with what it had.
    /// @param keepsQueue whether the system still queues new connections meanwhile, as for a suspended
    /// process; otherwise it drops them.
    void fallSilent(std::chrono::milliseconds time, bool keepsQueue);
    bool isSilent() const { return std::chrono::steady_clock::now() < m_silentUntil.load(); }

    /// @return the ids of the requests that ran, in that order; recorded by the behaviours that refuse
    /// others.
    std::vector<std::string> executed() const;
    std::vector<recorded_request> requests() const;
    /// @return number of connections that the entry closed while a request was being served.
    int abandoned() const { return m_abandoned; }

private:
    struct exchange;
    using behaviour = void (scripted_target::*)(exchange&);

    void waitWhileSilent() const;
    /// @return the behaviour that the last segment of a path selects. "v2-NAME" selects NAME at targets of
    /// the software version v2, and "whole" at others.
    std::string behaviourFor(const std::string& path) const;
    void accept();
    void serve(Poco::Net::StreamSocket socket);
    bool readRequest(exchange& current);
    /// Resets or suspends a connection whose link is cut.
    /// @return whether the connection may still be used.
    bool passesLink(exchange& current) const;
    bool isMisdirected(const recorded_request& request) const;
    void crashWhileServing(exchange& current);
    /// @return whether the request was rejected because its process is to rest.
    bool rejectForRest(exchange& current);
    /// @return whether the request was rejected because of the target's weights.
    bool rejectForWeights(exchange& current);
    void serveWithRoom(exchange& current);
    void serveAsVersion(exchange& current);
    /// @return whether the request runs; false if its connection was closed while it waited.
    bool waitForStart(exchange& current);
    void respondReport(exchange& current);
    void respondToOrder(exchange& current);
    void completeLoad();

    void respondRaw(exchange& current);
    void respondComplete(exchange& current);
    void respondLarge(exchange& current);
    void respondTruncated(exchange& current);
    void stopInHead(exchange& current);
    void respondWithTrailingBytes(exchange& current);
    void respondUntilClose(exchange& current);
    void respondAfterForeignResponse(exchange& current);
    void respondAfterInterim(exchange& current);
    void respondUnsigned(exchange& current);
    void respondMalformed(exchange& current);
    void respondNotExecuted(exchange& current);
    void refuseAgain(exchange& current);
    void streamThenFail(exchange& current);
    void respondBusy(exchange& current);
    void respondSlowly(exchange& current);
    void respondAfterWork(exchange& current);
    void neverRespond(exchange& current);
    void dropConnection(exchange& current);
    void streamEvents(exchange& current);
    void streamPacedEvents(exchange& current);
    void streamCommentsOnly(exchange& current);
    void streamCutMidEvent(exchange& current);
    void streamCutAfterHead(exchange& current);
    void streamUnframed(exchange& current);
    void streamUnframedCutMidEvent(exchange& current);
    void streamUnframedWithoutEvents(exchange& current);
    void streamChunkedEndMidEvent(exchange& current);
    void streamSizedEndMidEvent(exchange& current);
    void resetUnframed(exchange& current);
    void resetUnframedStream(exchange& current);
    void sendEndlessHead(exchange& current);
    void sendEndlessInterim(exchange& current);
    void sendEndlessChunkLine(exchange& current);
    void sendEndlessBody(exchange& current);
    void sendEndlessForeignResponses(exchange& current);
    void sendEndlessEvent(exchange& current);
    void sendEndlessEvents(exchange& current);
    void dripBytes(exchange& current);
    void streamVersionedEvents(exchange& current);
    void streamSlowlyWhenResumed(exchange& current);
    /// Repeats bytes until the caller closes the connection.
    void sendEndlessly(exchange& current, const std::string& bytes, std::chrono::milliseconds pause = {});

    std::string m_name;
    std::string m_address;
    std::string m_version;
    std::string m_controlBehaviour { "whole" };
    std::atomic<int> m_breakOffInterval { 0 };
    std::atomic<int> m_versionedStreams { 0 };
    std::atomic<std::chrono::milliseconds> m_pace { std::chrono::milliseconds(0) };
    std::atomic<std::size_t> m_sentHeadBytes { 0 };
    std::atomic<bool> m_resetsInHead { false };
    Poco::Net::ServerSocket m_listener;
    mutable std::mutex m_mutex;
    std::vector<recorded_request> m_requests;
    std::vector<std::string> m_executed; // ids, in the order of execution
    std::string m_rawResponse;
    raw_ending m_rawEnding = raw_ending::keep;
    std::string m_responseHeaders;
    std::map<int, std::chrono::milliseconds> m_restsToAsk; // by process
    std::vector<scripted_rest> m_rests;
    std::optional<scripted_weights> m_weights;
    std::atomic<std::chrono::milliseconds> m_queueTime { std::chrono::milliseconds(0) };
    std::unique_ptr<scripted_room> m_room;
    std::unique_ptr<scripted_version_run> m_versionBehaviour;
    std::atomic<int> m_running { 0 };
    std::atomic<int> m_abandoned { 0 };
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_crashed { false };
    std::atomic<std::chrono::steady_clock::time_point> m_silentUntil {};
    std::atomic<bool> m_isQueueClosed { false };
    std::function<bool(const recorded_request&)> m_crashCondition;
    std::shared_ptr<const link_cuts> m_cuts;
    std::vector<Poco::Net::StreamSocket> m_sockets; // of all connections
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace plumfold::tests
