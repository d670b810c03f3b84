#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace plumfold::tests {

/// A process that a test has started. Ends with the object.
class test_process {
public:
    test_process() = default;
    /// @param command the program and its arguments.
    /// @param outputFile takes standard output and error.
    test_process(std::vector<std::string> command, const std::string& outputFile);
    ~test_process();
    test_process(test_process&& other) noexcept;
    test_process& operator=(test_process&& other) noexcept;

    bool isRunning();
    /// @return the process id.
    int id() const { return m_pid; }
    /// Sends a signal to this process only.
    void signal(int number) const;
    void kill();
    void pause() const;
    void resume() const;
    /// Sends SIGTERM and waits.
    /// @return the exit code; -1 when it did not end in time and was killed, or ended by a signal.
    int stop();

private:
    bool waitFor(int milliseconds);

    pid_t m_pid = -1;
    int m_status = 0;
};

} // namespace plumfold::tests
