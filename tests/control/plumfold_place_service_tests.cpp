#include "plumfold/control/plumfold_control_role.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/wire/plumfold_convert.hpp"
#include "plumfold/wire/plumfold_entry_session.hpp"

#include <Poco/Net/ServerSocket.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <filesystem>
#include <functional>
#include <thread>

using namespace plumfold;

namespace {

constexpr std::chrono::milliseconds connectTimeout { 1'000 };

std::string unusedAddress()
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

/// A process with the control role that forms a group of one, and a session of an entry with it.
class fixture {
public:
    fixture()
    {
        std::string folderTemplate
            = (std::filesystem::temp_directory_path() / "plumfold-test-XXXXXX").string();
        m_folder = ::mkdtemp(folderTemplate.data());
        runtime::settings settings;
        settings.process.name = "c1";
        settings.process.failureDomain = "east";
        settings.process.clusterSecret = "secret";
        settings.process.dataFolder = m_folder.string();
        auto& control = settings.control.emplace();
        control.address = unusedAddress();
        control.platformAddress = unusedAddress();
        control.rpcPort = std::stoull(control.address.substr(control.address.find(':') + 1));
        control.seeds = { control.platformAddress };
        control.firstStart = true;
        auto started = control::control_role::start(settings, m_rpc, [](const std::string&) {});
        REQUIRE(started.ok());
        m_role = std::move(*started);
        m_rpc.run([&] {
            return wire::rpc_connection::connect(m_rpc, control.address, connectTimeout)
                .then([this](kj::Own<wire::rpc_connection> connection) {
                    m_session = wire::openEntrySession(*connection, { "secret", "n1", "east" });
                    m_connection = kj::mv(connection);
                });
        });
    }

    ~fixture()
    {
        m_rpc.run([&] {
            m_session = nullptr;
            m_connection = nullptr;
        });
        m_role.reset();
        std::filesystem::remove_all(m_folder);
    }

    std::optional<core::place_decision> acquire(std::uint64_t number)
    {
        return m_rpc.run([&] {
            core::place_request request { { 7, number }, "shop", "acme", 1, core::milliseconds(500),
                { { "a", 1, 4, 0 } } };
            auto call = session().acquirePlaceRequest();
            call.setFailureDomain("east");
            wire::write(call.initRequest(), request);
            return call.send().then([](auto response) -> std::optional<core::place_decision> {
                if (!response.getDecided())
                    return std::nullopt;
                return wire::read(response.getDecision());
            });
        });
    }

    bool end(std::uint64_t number)
    {
        return m_rpc.run([&] {
            auto call = session().updatePlacesRequest();
            call.setFailureDomain("east");
            call.setService("shop");
            wire::write(call.initEnded(1)[0], core::place_end { { 7, number }, core::place_outcome::served });
            return call.send().then([](auto response) -> bool { return response.getDecided(); });
        });
    }

    /// @return the control VMs that grant places, by failure domain, as an entry hears of them.
    std::map<std::string, std::string> limitIssuers(bool usesPlaces)
    {
        return m_rpc.run([&] {
            auto call = session().followRequest();
            call.setUsesPlaces(usesPlaces);
            return call.send().then([](auto response) {
                std::map<std::string, std::string> issuers;
                for (auto each : response.getLimitIssuers())
                    issuers[each.getFailureDomain().cStr()] = each.getAddress().cStr();
                return issuers;
            });
        });
    }

    /// Waits until the control VM holds the lease of its failure domain.
    bool waitForLease()
    {
        auto until = runtime::now() + core::milliseconds(20'000);
        while (runtime::now() < until) {
            if (acquire(1))
                return true;
            std::this_thread::sleep_for(core::milliseconds(20));
        }
        return false;
    }

private:
    wire::EntrySession::Client& session() { return KJ_ASSERT_NONNULL(m_session); }

    wire::rpc_thread m_rpc;
    std::filesystem::path m_folder;
    std::unique_ptr<control::control_role> m_role;
    kj::Maybe<wire::EntrySession::Client> m_session;
    kj::Maybe<kj::Own<wire::rpc_connection>> m_connection;
};

} // namespace

// Guards against entries that use places and never learn who grants them, because no target has a limit.
TEST_CASE("Entries that use places are told the control VMs that grant them", "[places]")
{
    fixture f;
    CHECK(f.limitIssuers(false).empty());
    auto issuers = f.limitIssuers(true);
    REQUIRE(issuers.contains("east"));
}

TEST_CASE("A control VM grants places once it holds the lease, over the wire", "[places]")
{
    fixture f;
    REQUIRE(f.waitForLease());
    auto repeated = f.acquire(1);
    REQUIRE(repeated);
    CHECK(repeated->refusal == core::place_refusal::none);
    CHECK(repeated->target == "a");
    CHECK(repeated->startedAt == 1);
    CHECK(f.end(1));
    std::this_thread::sleep_for(core::milliseconds(500)); // until the time after a takeover is over
    for (std::uint64_t number = 2; number < 7; ++number)
        CHECK(f.acquire(number)->refusal == core::place_refusal::none);
    auto refused = f.acquire(7); // its time to wait ends
    REQUIRE(refused);
    CHECK(refused->refusal == core::place_refusal::no_room);
    CHECK(refused->retryAfter >= core::milliseconds(250));
}
