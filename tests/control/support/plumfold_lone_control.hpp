#pragma once

#include "plumfold/control/plumfold_control_node.hpp"

#include <filesystem>
#include <future>
#include <memory>
#include <optional>
#include <thread>

namespace plumfold::tests {

/// Passes a response to the thread of the test.
class recorded_completion final : public control::completion<control::propose_response> {
public:
    explicit recorded_completion(std::promise<control::propose_response> response)
        : m_response(std::move(response))
    {
    }

    void done(control::propose_response response) override { m_response.set_value(std::move(response)); }

private:
    std::promise<control::propose_response> m_response;
};

/// A group of one control VM.
class lone_control {
public:
    /// @param snapshotEveryEntries applied entries after which the log is compacted.
    explicit lone_control(std::uint64_t snapshotEveryEntries = 10'000)
        : m_snapshotEveryEntries(snapshotEveryEntries)
    {
        std::string folderTemplate
            = (std::filesystem::temp_directory_path() / "plumfold-test-XXXXXX").string();
        m_folder = ::mkdtemp(folderTemplate.data());
        start();
        post(control::bootstrap_event {});
    }

    ~lone_control()
    {
        m_node.reset();
        std::filesystem::remove_all(m_folder);
    }

    void restart()
    {
        m_node.reset();
        start();
    }

    control::control_node& node() { return *m_node; }

    /// Orders a failure domain out of service or back, again until this control VM leads.
    control::propose_response order(bool inService, std::optional<std::uint64_t> lastKnownOrder)
    {
        return propose(core::set_in_service_command { "east", inService, lastKnownOrder });
    }

    template <class Command> control::propose_response propose(Command command)
    {
        return post(control::propose_event { core::command { 0, std::move(command) }, {} });
    }

    /// Waits until this control VM leads and has applied its log.
    void waitForLead()
    {
        while (!propose(core::barrier_command {}).accepted)
            std::this_thread::sleep_for(core::milliseconds(10));
    }

private:
    void start()
    {
        control::control_node_options options;
        options.name = "c1";
        options.address = "127.0.0.1:7000";
        options.electionTimeout = core::milliseconds(50);
        options.snapshotEveryEntries = m_snapshotEveryEntries;
        auto log = control::durable_log::open(m_folder.string(), 0);
        m_node = std::make_unique<control::control_node>(
            options, std::move(*log), [](auto) {}, [](auto) {}, [](const std::string&) {});
    }

    template <class Event> control::propose_response post(Event event)
    {
        std::promise<control::propose_response> promise;
        auto response = promise.get_future();
        event.callback = std::make_unique<recorded_completion>(std::move(promise));
        m_node->post(std::move(event));
        return response.get();
    }

    std::uint64_t m_snapshotEveryEntries;
    std::filesystem::path m_folder;
    std::unique_ptr<control::control_node> m_node;
};

} // namespace plumfold::tests
