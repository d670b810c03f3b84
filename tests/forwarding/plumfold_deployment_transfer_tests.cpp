#include "plumfold_deployment_transfer.hpp"

#include "plumfold/runtime/plumfold_compression.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace plumfold;

namespace {

/// A session with a control VM of a former version, which knows no pieces.
class former_session final : public wire::EntrySession::Server { };

/// A session with a control VM that sends the pieces of a text.
class current_session final : public wire::EntrySession::Server {
public:
    explicit current_session(const std::string& text)
    {
        for (auto piece : core::splitIntoPieces(text))
            m_pieces[core::digestOfPiece(piece)] = runtime::compress(piece);
    }

    kj::Promise<void> readPieces(ReadPiecesContext call) override
    {
        auto digests = call.getParams().getDigests();
        auto out = call.getResults().initPieces(digests.size());
        for (unsigned index = 0; index < digests.size(); ++index) {
            const auto& piece = m_pieces.at(digests[index]);
            out.set(index, kj::arrayPtr(piece.data(), piece.size()).asBytes());
        }
        return kj::READY_NOW;
    }

private:
    std::map<std::uint64_t, std::string> m_pieces;
};

core::deployment_state stateOf(std::uint64_t revision, std::uint64_t version, std::string text = {})
{
    core::deployment_state state;
    state.revision = revision;
    state.document = { version, std::move(text) };
    return state;
}

/// A transfer with what it delivers.
struct observed_transfer {
    std::vector<core::deployment_state> delivered;
    forwarding::deployment_transfer transfer { [this](core::deployment_state state) {
        delivered.push_back(std::move(state));
    } };
};

const std::string text(20'000, 'x');

void letCallsEnd(wire::rpc_thread& rpc)
{
    rpc.run([&] { return rpc.timer().afterDelay(50 * kj::MILLISECONDS); });
}

/// @return a transfer, created on the RPC thread, that knows the outline of the text and has asked a control
/// VM of a former version for its pieces.
std::unique_ptr<observed_transfer> askFormerControl(wire::rpc_thread& rpc)
{
    std::unique_ptr<observed_transfer> observed;
    rpc.run([&] {
        observed = std::make_unique<observed_transfer>();
        observed->transfer.applyOutline(stateOf(7, 4), core::outlineOf(text));
        observed->transfer.onConnectionLost();
        observed->transfer.requestPieces(kj::heap<former_session>());
    });
    letCallsEnd(rpc);
    return observed;
}

} // namespace

TEST_CASE("A document that a control VM of a former version does not send in pieces is asked for as a whole",
    "[forwarding][large_configuration]")
{
    wire::rpc_thread rpc;
    auto observed = askFormerControl(rpc);
    rpc.run([&] {
        // A control VM sends the deployment if its revision is higher than the known one.
        CHECK(observed->transfer.knownRevision() < 7);
        observed->transfer.applyWhole(stateOf(6, 3, "older"));
        CHECK(observed->delivered.empty());
        observed->transfer.applyWhole(stateOf(7, 4, text));
        CHECK(observed->transfer.knownRevision() == 7);
        observed->transfer.applyWhole(stateOf(7, 4, text));
    });
    REQUIRE(observed->delivered.size() == 1);
    CHECK(observed->delivered[0].document.text == text);
    rpc.run([&] { observed.reset(); });
}

TEST_CASE("A document is put together from pieces after a control VM of a former version sent none",
    "[forwarding][large_configuration]")
{
    wire::rpc_thread rpc;
    auto observed = askFormerControl(rpc);
    rpc.run([&] {
        observed->transfer.onConnectionLost();
        CHECK(observed->transfer.knownRevision() == 7);
        observed->transfer.requestPieces(kj::heap<current_session>(text));
    });
    letCallsEnd(rpc);
    REQUIRE(observed->delivered.size() == 1);
    CHECK(observed->delivered[0].document.text == text);
    rpc.run([&] { observed.reset(); });
}
