#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace plumfold::runtime {

enum class log_level { info, warning, error };

/// One event of the log: a line of key=value pairs, written when the object ends.
/// Prompt texts, answers and secrets never go into it.
class log_event {
public:
    explicit log_event(std::string_view event, log_level level = log_level::info);
    ~log_event();
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;

    log_event& with(std::string_view key, std::string_view value);

    template <std::integral T> log_event& with(std::string_view key, T value)
    {
        return with(key, std::string_view(std::to_string(value)));
    }

private:
    std::string m_line;
    log_level m_level;
};

/// Sets where the log goes. Call it once, before the first event.
/// @param file an empty name stands for standard output, which is written by a thread of its own: when its
/// reader does not keep up, lines are dropped, counted and the count is logged.
/// @param process name of the process, part of every line.
void openLog(const std::string& file, const std::string& process);

/// Writes what is still queued. Call it once, after the last event.
void closeLog();

} // namespace plumfold::runtime
