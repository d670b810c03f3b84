#include "plumfold/control/plumfold_control_node.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <future>

using namespace plumfold;
using control::propose_response;

namespace {

class recorded_completion final : public control::completion<propose_response> {
public:
    explicit recorded_completion(std::promise<propose_response> response)
        : m_response(std::move(response))
    {
    }

    void done(propose_response response) override { m_response.set_value(std::move(response)); }

private:
    std::promise<propose_response> m_response;
};

/// A group of one control VM.
class lone_control {
public:
    lone_control()
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

    /// Orders a failure domain out of service or back, again until this control VM leads.
    propose_response order(bool inService, std::optional<std::uint64_t> lastKnownOrder)
    {
        core::set_in_service_command command { "east", inService, lastKnownOrder };
        return post(control::propose_event { core::command { 0, command }, {} });
    }

    /// Waits until this control VM leads and has applied its log.
    void waitForLead()
    {
        while (!post(control::propose_event { core::command { 0, core::barrier_command {} }, {} }).accepted)
            std::this_thread::sleep_for(core::milliseconds(10));
    }

private:
    void start()
    {
        control::control_node_options options;
        options.name = "c1";
        options.address = "127.0.0.1:7000";
        options.electionTimeout = core::milliseconds(50);
        auto log = control::durable_log::open(m_folder.string(), 0);
        m_node = std::make_unique<control::control_node>(
            options, std::move(*log), [](auto) {}, [](auto) {}, [](const std::string&) {});
    }

    template <class Event> propose_response post(Event event)
    {
        std::promise<propose_response> promise;
        auto response = promise.get_future();
        event.callback = std::make_unique<recorded_completion>(std::move(promise));
        m_node->post(std::move(event));
        return response.get();
    }

    std::filesystem::path m_folder;
    std::unique_ptr<control::control_node> m_node;
};

} // namespace

// Guards against an order that arrives at the leader behind a later one.
TEST_CASE("An order is rejected if its receiver did not know the last one", "[control][waiting_order]")
{
    lone_control system;
    system.waitForLead();
    auto evacuated = system.order(false, 0);
    REQUIRE(evacuated.accepted);
    auto withdrawn = system.order(true, evacuated.logIndex);
    REQUIRE(withdrawn.accepted);
    auto again = system.order(false, withdrawn.logIndex);
    REQUIRE(again.accepted);
    CHECK_FALSE(system.order(true, evacuated.logIndex).accepted);
    CHECK_FALSE(system.order(true, 0).accepted);
    SECTION("after a restart, too")
    {
        system.restart();
        system.waitForLead();
        CHECK_FALSE(system.order(true, evacuated.logIndex).accepted);
        CHECK_FALSE(system.order(true, 0).accepted);
    }
    SECTION("also behind one that changed nothing")
    {
        auto repeated = system.order(false, again.logIndex);
        REQUIRE(repeated.accepted);
        CHECK_FALSE(system.order(true, again.logIndex).accepted);
        CHECK(system.order(true, repeated.logIndex).accepted);
    }
    SECTION("unless it has no condition")
    {
        CHECK(system.order(true, std::nullopt).accepted);
    }
}
