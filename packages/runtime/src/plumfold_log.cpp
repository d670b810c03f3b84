#include "plumfold/runtime/plumfold_log.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>

#include <atomic>
#include <iostream>

namespace plumfold::runtime {

namespace {

std::string& processName()
{
    static std::string name = "plumfold";
    return name;
}

const char* levelName(log_level level)
{
    constexpr const char* names[] = { "info", "warning", "error" };
    return names[static_cast<int>(level)];
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

std::string quoted(std::string_view value)
{
    std::string out = "\"";
    for (char c : value) {
        if (c == '"' || c == '\\')
            out += '\\';
        out += (c == '\n' || c == '\r') ? ' ' : c;
    }
    return out + '"';
}

constexpr std::size_t maxQueuedLines = 4096;
std::atomic<std::uint64_t> droppedLines { 0 };

/// Overflow strategy of the console queue: drops lines, so that a slow reader of standard output never blocks
/// requests.
class drop_and_count_on_overflow {
public:
    // Names required by Boost.Log. NOLINTBEGIN(readability-identifier-naming)
    template <class Lock> bool on_overflow(const boost::log::record_view&, Lock&)
    {
        ++droppedLines;
        return false;
    }
    void on_queue_space_available() { }
    void interrupt() { }
    // NOLINTEND(readability-identifier-naming)
};

using console_sink = boost::log::sinks::asynchronous_sink<boost::log::sinks::text_ostream_backend,
    boost::log::sinks::bounded_fifo_queue<maxQueuedLines, drop_and_count_on_overflow>>;
boost::shared_ptr<console_sink> consoleSink;

} // namespace

log_event::log_event(std::string_view event, log_level level)
    : m_level(level)
{
    with("at", unixNow());
    with("level", levelName(level));
    with("process", processName());
    with("event", event);
}

log_event& log_event::with(std::string_view key, std::string_view value)
{
    if (!m_line.empty())
        m_line += ' ';
    m_line += key;
    m_line += '=';
    m_line += needsQuotes(value) ? quoted(value) : std::string(value);
    return *this;
}

log_event::~log_event()
{
    if (auto lines = droppedLines.exchange(0); lines > 0)
        log_event("log_lines_dropped", log_level::warning).with("lines", lines);
    static boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << m_line;
}

void openLog(const std::string& file, const std::string& process)
{
    namespace keywords = boost::log::keywords;
    auto format = boost::log::expressions::stream << boost::log::expressions::smessage;
    processName() = process;
    if (file.empty()) {
        auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
        backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
        backend->auto_flush(true);
        auto sink = boost::make_shared<console_sink>(backend);
        sink->set_formatter(format);
        boost::log::core::get()->add_sink(sink);
        consoleSink = sink;
    } else
        boost::log::add_file_log(keywords::file_name = file, keywords::open_mode = std::ios::app,
            keywords::format = format, keywords::auto_flush = true);
}

void closeLog()
{
    if (!consoleSink)
        return;
    boost::log::core::get()->remove_sink(consoleSink);
    consoleSink->stop();
    consoleSink->flush();
    consoleSink.reset();
}

} // namespace plumfold::runtime
