#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace plumfold::runtime {

enum class log_level { info, warning, error };

/// One log event: a line of key=value pairs, written by the destructor.
/// It must not hold prompts, generated text or secrets.
class log_event {
public:
    explicit log_event(std::string_view event, log_level level = log_level::info);
    ~log_event();
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

    /// Appends a key=value pair; the value is quoted when it needs to be.
    log_event& with(std::string_view key, std::string_view value);

    template <std::integral T> log_event& with(std::string_view key, T value)
    {
        return with(key, std::string_view(std::to_string(value)));
    }

private:
    std::string m_line;
    log_level m_level;
};

/// Opens the log. Call it once, before the first event.
/// @param file log file, or empty for standard output. Standard output is written asynchronously: when its
/// reader is too slow, lines are dropped and their number is logged.
/// @param process name of the process, written on every line.
void openLog(const std::string& file, const std::string& process);

/// Writes the queued lines. Call it once, after the last event.
void closeLog();

} // namespace plumfold::runtime
