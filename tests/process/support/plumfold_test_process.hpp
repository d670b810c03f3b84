#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace plumfold::tests {

/// A child process of a test. Killed when the object is destroyed.
class test_process {
public:
    test_process() = default;
    /// Starts a process.
    /// @param command the program and its arguments.
    /// @param outputFile file to which standard output and error are appended.
    /// @throws std::runtime_error when the program cannot be started.
    test_process(std::vector<std::string> command, const std::string& outputFile);
    ~test_process();
    test_process(test_process&& other) noexcept;
    test_process& operator=(test_process&& other) noexcept;

    bool isRunning();
    /// @return the process id.
    int id() const { return m_pid; }
    /// Sends a signal to this process only.
    void signal(int number) const;
    /// Sends SIGKILL and waits for the end.
    void kill();
    /// Suspends the process with SIGSTOP.
    void pause() const;
    /// Resumes the process with SIGCONT.
    void resume() const;
    /// Sends SIGTERM and waits up to 20 s, then kills the process.
    /// @return the exit code; -1 when the process was killed or ended by a signal.
    int stop();

private:
    bool waitFor(int milliseconds);

    pid_t m_pid = -1;
    int m_status = 0;
};

} // namespace plumfold::tests
