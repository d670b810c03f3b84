#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plumfold::core {

/// The origin of a stream is kept for this time at most.
inline constexpr milliseconds maxStreamKeepTime { 600'000 };

/// Where a stream began. It may go on only there, since the events of two software versions do not fit
/// together.
struct stream_origin {
    std::string service;
    std::string softwareVersion; ///< Of the target that delivered the first event; empty: unknown.
    auto operator<=>(const stream_origin&) const = default;
};

/// The origin of one stream.
struct stream_record {
    std::uint64_t stream = 0; ///< See streamNumber().
    stream_origin origin;
    milliseconds keepFor { 0 }; ///< Until the stream's caller no longer wants it.
    auto operator<=>(const stream_record&) const = default;
};

/// @param customer name of the customer; empty for none. Streams of two customers have different numbers.
/// @param requestId id of the caller's attempt that delivered the first event.
/// @return the number by which a stream is known to all entries.
std::uint64_t streamNumber(const std::string& customer, const std::string& requestId);

/// The origins of streams that began recently.
class stream_origin_table {
public:
    /// @param maxStreams when the table is full, the origins that expire first are dropped.
    explicit stream_origin_table(std::size_t maxStreams)
        : m_maxStreams(maxStreams)
    {
    }

    /// Adds an origin, or extends the time for which it is kept. A stream that is recorded with two origins
    /// is treated as unknown.
    void record(const stream_record& record, instant now);

    /// @return the origin of a stream, or nothing if it is unknown.
    std::optional<stream_origin> find(std::uint64_t stream, instant now) const;

    /// @return the origins of a service's streams that have not expired, each with the time that is left.
    std::vector<stream_record> recordsOf(const std::string& service, instant now) const;

    std::size_t size() const { return m_streams.size(); }

private:
    struct known_stream {
        stream_origin origin;
        instant keptUntil {};
        bool isAmbiguous = false;
    };

    void dropFirst();

    std::size_t m_maxStreams;
    std::unordered_map<std::uint64_t, known_stream> m_streams;
    std::multimap<instant, std::uint64_t> m_expiries; // one for each stream
};

/// What one control VM answers when it is asked where a stream began.
struct origin_answer {
    std::optional<stream_origin> origin; ///< Nothing if it does not know.
    std::set<std::string> softwareVersions; ///< Of all targets of the service that it has heard of recently.
    std::set<std::string> members; ///< Addresses of all control VMs of its group.
};

/// Combines the answers of the control VMs about one stream.
class origin_search {
public:
    explicit origin_search(std::string service)
        : m_service(std::move(service))
    {
    }

    /// @param from address of the control VM.
    void addAnswer(const std::string& from, const origin_answer& answer);

    /// @return the origin, if a control VM knows it.
    const std::optional<stream_origin>& known() const { return m_known; }

    /// @return the known origin; else, if every control VM of the group has answered and all have heard of
    /// one software version only, that version; else nothing.
    std::optional<stream_origin> result() const;

    /// @return the number of control VMs that have answered.
    std::size_t answers() const { return m_answered.size(); }
    /// @return the number of control VMs of the group, as far as the answers name them.
    std::size_t members() const { return m_members.size(); }

private:
    std::string m_service;
    std::optional<stream_origin> m_known;
    std::set<std::string> m_answered;
    std::set<std::string> m_members;
    std::set<std::string> m_softwareVersions;
};

} // namespace plumfold::core
