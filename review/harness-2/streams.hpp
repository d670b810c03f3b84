#pragma once

#include "harness.hpp"

/// Servers and clients of streams that may be resumed, as the site holraesi-plumfold has them.
namespace review {

inline constexpr int streamEvents = 48;
inline constexpr milliseconds streamDeadline { 12'000 };
inline constexpr milliseconds contactWindow { 3'000 };

/// @return a configuration with one resumable route to the service of the model servers.
std::string streamConfiguration();

/// A model server, which sends the events of a stream from the one after Last-Event-Id on.
class model_server {
public:
    model_server(deployment& machines, record& out, int number, const std::string& zone,
        const std::string& softwareVersion, std::vector<std::string> controlAddresses);

private:
    bool serve(const http_request& request, const byte_sender& send);

    record& m_record;
    std::string m_id;
    std::string m_version;
    http_server m_http;
    heartbeats m_beats;
};

/// What a client's stream came to.
struct stream_result {
    bool hasBegun = false;
    bool isComplete = false;
    bool isTakenUp = false;
    bool isInTouch = false; ///< It was taken up when the machines were in touch.
    bool hasGoneOn = false;
    std::set<std::string> versions; ///< Of the servers whose events it holds.
};

/// Clients that take a stream up again once within its deadline.
class stream_clients {
public:
    /// @param namesFirst whether a stream that is taken up names its first attempt in Resumes.
    stream_clients(std::vector<std::string> addresses, bool namesFirst, record& out);

    /// Streams that are taken up earlier than contactWindow after this do not count.
    void setCalmFrom(steady::time_point at) { m_calmFrom = at.time_since_epoch().count(); }

    /// Sends streams at the same time.
    /// @param first number of the first one; the number selects the entry, and the next one when it is taken
    /// up.
    /// @param step between their numbers.
    /// @param meanwhile runs beside them.
    std::vector<stream_result> run(
        int count, int first, int step, const std::function<void()>& meanwhile = [] {});

private:
    stream_result runOne(int number);
    void read(int number, const std::string& id, const header_list& more, steady::time_point until, int& last,
        stream_result& result);

    std::vector<std::string> m_addresses;
    bool m_namesFirst;
    record& m_record;
    std::atomic<steady::rep> m_calmFrom { 0 };
};

/// Judges the share of the streams that go on against that of the new ones that begin.
int judgeTakeUps(
    const std::vector<stream_result>& interrupted, const std::vector<stream_result>& fresh, record& out);

} // namespace review
