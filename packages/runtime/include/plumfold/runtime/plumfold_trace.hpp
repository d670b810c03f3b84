#pragma once

#include "plumfold/runtime/plumfold_bounded_ring.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <thread>

namespace plumfold::runtime {

/// Trace and span id as in the W3C traceparent header.
struct trace_context {
    std::string traceId; ///< 32 hexadecimal digits.
    std::string spanId; ///< 16 hexadecimal digits; empty in a new trace.

    /// @return the context of a traceparent header, or a new trace when it is empty or malformed.
    static trace_context fromHeader(const std::string& traceparent);
    /// @return a new span id in the same trace.
    trace_context child() const;
    std::string toHeader() const;
};

/// A finished step in the processing of a request.
struct span {
    trace_context context;
    std::string parentSpanId;
    std::string name; ///< entry, queue, control, store or target.
    std::uint64_t startNanoseconds = 0; ///< Unix time.
    std::uint64_t endNanoseconds = 0;
    std::map<std::string, std::string> attributes;
};

/// Writes spans as OTLP/JSON lines in a background thread. Spans are dropped and counted while its queue is
/// full.
class trace_writer {
public:
    /// @param file trace file, appended to; empty disables tracing.
    /// @param process host name in the trace.
    trace_writer(const std::string& file, const std::string& process);
    ~trace_writer();

    /// Queues a span without blocking.
    void write(span finished);
    /// @return the number of dropped spans.
    std::uint64_t dropped() const { return m_dropped; }

private:
    void run(const std::string& file);

    std::string m_process;
    bool m_enabled;
    std::atomic<std::uint64_t> m_dropped { 0 };
    std::atomic<bool> m_stopping { false };
    bounded_ring<span> m_ring;
    std::thread m_thread;
};

/// Serializes a span as one line of OTLP/JSON, without a line break.
std::string toOtlpLine(const span& finished, const std::string& process);

/// Deserializes a line that toOtlpLine() returned.
/// @throws std::exception when the line is malformed.
span fromOtlpLine(const std::string& line);

} // namespace plumfold::runtime
