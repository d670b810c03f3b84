#include "plumfold_store_client.hpp"

#include "plumfold/core/plumfold_hash.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <kj/debug.h>

namespace plumfold::entry {

namespace {

constexpr std::chrono::milliseconds connectTimeout { 50 };
// Waiting longer for a store costs more than the fetched blocks save.
constexpr std::chrono::milliseconds leaseTimeout { 30 };
constexpr std::chrono::milliseconds allocateTimeout { 500 };
constexpr auto failureBackOff = 500 * kj::MILLISECONDS;

} // namespace

store_client::store_client(wire::rpc_thread& rpc, std::vector<std::string> addresses, std::string secret)
    : m_rpc(rpc)
    , m_addresses(std::move(addresses))
    , m_secret(std::move(secret))
{
    m_rpc.run([this] { m_tasks = kj::heap<wire::task_group>(); });
}

store_client::~store_client()
{
    m_rpc.flush();
    m_rpc.run([this] {
        m_tasks = nullptr;
        m_links.clear();
    });
}

std::string store_client::preferredStore(
    const core::chain_owner& owner, const core::prompt_chain& chain) const
{
    std::uint64_t seed = core::hashBytes(owner.customer, chain.front());
    std::string best;
    std::uint64_t bestScore = 0;
    for (const auto& address : m_addresses) {
        std::uint64_t score = core::hashBytes(address, seed);
        if (!best.empty() && score <= bestScore)
            continue;
        best = address;
        bestScore = score;
    }
    return best;
}

kj::Promise<wire::Store::Client> store_client::storeAt(const std::string& address)
{
    auto& known = m_links[address];
    KJ_IF_MAYBE (store, known.store) {
        return wire::Store::Client(*store);
    }
    KJ_REQUIRE(m_rpc.timer().now() >= known.notBefore, "the store failed a moment ago");
    auto connecting = wire::rpc_connection::connect(m_rpc, address, connectTimeout);
    return connecting.then([this, address](kj::Own<wire::rpc_connection> connection) {
        auto& known = m_links[address];
        if (known.store == nullptr) {
            known.store = connection->bootstrap<wire::Store>();
            known.connection = kj::mv(connection);
        } else {
            m_tasks->add(kj::evalLater([old = kj::mv(connection)] {}));
        }
        return wire::Store::Client(KJ_ASSERT_NONNULL(known.store));
    });
}

void store_client::drop(const std::string& address)
{
    auto& known = m_links[address];
    known.store = nullptr;
    known.notBefore = m_rpc.timer().now() + failureBackOff;
    // The connection must not be destroyed inside one of its own callbacks.
    m_tasks->add(kj::evalLater([old = kj::mv(known.connection)] {}));
}

std::optional<store_lease> store_client::call(
    const std::string& address, core::milliseconds timeout, const lease_call& send)
{
    store_lease result { address, {}, {} };
    try {
        m_rpc.run([&]() -> kj::Promise<void> {
            auto leasing
                = storeAt(address).then([&](wire::Store::Client store) { return send(store, result); });
            return wire::withTimeout(m_rpc, kj::mv(leasing), timeout).catch_([&](kj::Exception&& exception) {
                drop(address);
                kj::throwFatalException(kj::mv(exception));
            });
        });
    } catch (const kj::Exception&) {
        return std::nullopt;
    }
    if (result.lease.ticket == 0)
        return std::nullopt;
    return result;
}

std::optional<store_lease> store_client::lease(
    const core::chain_owner& owner, const core::prompt_chain& chain, core::milliseconds leaseTime)
{
    if (m_addresses.empty() || chain.empty())
        return std::nullopt;
    return call(
        preferredStore(owner, chain), leaseTimeout, [&](wire::Store::Client& store, store_lease& result) {
            auto request = store.leaseRequest();
            request.setSecret(m_secret);
            wire::write(request.initKey(), owner);
            request.setChain(kj::arrayPtr(chain.data(), chain.size()));
            request.setLeaseMs(static_cast<std::uint32_t>(leaseTime.count()));
            return request.send().then([&result](capnp::Response<wire::Store::LeaseResults> response) {
                result.lease.blocks = response.getBlocks();
                result.lease.bytes = response.getBytes();
                result.lease.ticket = response.getTicket();
                result.blockAddress = response.getBlockAddress().cStr();
            });
        });
}

std::optional<store_lease> store_client::allocate(const core::chain_owner& owner,
    const core::prompt_chain& chain, std::uint32_t blockBytes, core::milliseconds leaseTime)
{
    if (m_addresses.empty() || chain.empty())
        return std::nullopt;
    return call(
        preferredStore(owner, chain), allocateTimeout, [&](wire::Store::Client& store, store_lease& result) {
            auto request = store.allocateRequest();
            request.setSecret(m_secret);
            wire::write(request.initKey(), owner);
            request.setChain(kj::arrayPtr(chain.data(), chain.size()));
            request.setBlockBytes(blockBytes);
            request.setLeaseMs(static_cast<std::uint32_t>(leaseTime.count()));
            return request.send().then([&result](capnp::Response<wire::Store::AllocateResults> response) {
                result.lease.firstBlock = response.getFirstBlock();
                result.lease.blocks = response.getBlocks();
                result.lease.ticket = response.getTicket();
                result.blockAddress = response.getBlockAddress().cStr();
            });
        });
}

void store_client::endLease(const store_lease& lease)
{
    m_rpc.post([this, lease] {
        auto ending = storeAt(lease.store).then([lease](wire::Store::Client store) {
            auto request = store.endLeaseRequest();
            request.setTicket(lease.lease.ticket);
            return request.send().ignoreResult();
        });
        m_tasks->add(wire::withTimeout(m_rpc, kj::mv(ending), allocateTimeout));
    });
}

} // namespace plumfold::entry
