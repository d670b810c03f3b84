#include "plumfold/core/plumfold_block_store.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace plumfold::core;

namespace {

const milliseconds leaseTime { 1000 };
constexpr std::uint32_t blockBytes = 16;

chain_owner owner(const std::string& customer = "espuma", const std::string& version = "v1")
{
    return { customer, "base", "", version };
}

block_store storeOf(std::uint64_t blocks)
{
    block_store_options options;
    options.capacityBytes = blocks * blockBytes;
    return block_store(options);
}

std::string bytesOf(std::uint64_t hash, const chain_owner& of)
{
    std::string bytes = of.customer + of.version + std::to_string(hash);
    bytes.resize(blockBytes, '.');
    return bytes;
}

void fill(block_store& store, const chain_owner& of, const prompt_chain& chain, instant now)
{
    auto lease = store.allocate(of, chain, blockBytes, leaseTime, now);
    for (std::uint32_t index = lease.firstBlock; index < lease.firstBlock + lease.blocks; ++index)
        REQUIRE(store.write(lease.ticket, index, bytesOf(chain[index], of), now).ok());
    store.endLease(lease.ticket);
}

} // namespace

TEST_CASE("Blocks that are not sealed are never leased", "[store]")
{
    auto store = storeOf(8);
    instant now {};
    prompt_chain chain { 1, 2, 3 };
    auto writer = store.allocate(owner(), chain, blockBytes, leaseTime, now);
    REQUIRE(writer.blocks == 3);
    CHECK(store.lease(owner(), chain, leaseTime, now).blocks == 0);
    REQUIRE(store.write(writer.ticket, 0, bytesOf(1, owner()), now).ok());
    CHECK(store.lease(owner(), chain, leaseTime, now).blocks == 1);
    SECTION("a block of the wrong size is rejected")
    {
        CHECK_FALSE(store.write(writer.ticket, 1, "short", now).ok());
    }
    SECTION("unsealed blocks are freed when the writer's lease expires")
    {
        store.expire(now + leaseTime);
        CHECK(store.blocks() == 1);
        CHECK_FALSE(store.write(writer.ticket, 1, bytesOf(2, owner()), now + leaseTime).ok());
        fill(store, owner(), chain, now + leaseTime);
        CHECK(store.lease(owner(), chain, leaseTime, now + leaseTime).blocks == 3);
    }
}

TEST_CASE("Blocks are not shared between customers or weight versions", "[store][isolation]")
{
    auto store = storeOf(8);
    instant now {};
    prompt_chain chain { 1, 2 };
    fill(store, owner("espuma", "v1"), chain, now);
    CHECK(store.lease(owner("samvinna", "v1"), chain, leaseTime, now).blocks == 0);
    CHECK(store.lease(owner("espuma", "v2"), chain, leaseTime, now).blocks == 0);
    CHECK(store.lease(owner("espuma", "v1"), chain, leaseTime, now).blocks == 2);
}

TEST_CASE("Leased blocks stay readable until the lease ends and no longer", "[store]")
{
    auto store = storeOf(2);
    instant now {};
    fill(store, owner(), { 1, 2 }, now);
    auto reader = store.lease(owner(), { 1, 2 }, leaseTime, now);
    fill(store, owner(), { 8, 9 }, now); // allocates nothing: all blocks are leased
    CHECK(store.read(reader.ticket, 0, now).value() == bytesOf(1, owner()));
    store.purge("espuma");
    CHECK(store.read(reader.ticket, 1, now).value() == bytesOf(2, owner()));
    CHECK(store.lease(owner(), { 1, 2 }, leaseTime, now).blocks == 0);
    now += leaseTime;
    CHECK_FALSE(store.read(reader.ticket, 0, now).ok());
    store.expire(now);
    CHECK(store.usedBytes() == 0);
}

TEST_CASE("A full store evicts leaf blocks before shared prefixes", "[store]")
{
    auto store = storeOf(4);
    instant now {};
    fill(store, owner(), { 1, 2 }, now);
    fill(store, owner(), { 1, 3 }, now);
    fill(store, owner(), { 1, 4, 5 }, now);
    CHECK(store.lease(owner(), { 1 }, leaseTime, now).blocks == 1);
    CHECK(store.counts().evictions >= 1);
    CHECK(store.usedBytes() <= store.capacityBytes());
}

TEST_CASE("Under any interleaving, reads return only complete blocks of the right owner", "[store][property]")
{
    rc::prop("write, read, expire, purge in any order", [] {
        auto store = storeOf(*rc::gen::inRange<std::uint64_t>(2, 10));
        instant now {};
        struct open_lease {
            block_lease lease;
            chain_owner of;
            prompt_chain chain;
            std::uint32_t next;
            instant until;
        };
        std::vector<open_lease> writers;
        std::vector<open_lease> readers;
        for (int step = 0; step < 120; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 120));
            auto of = owner(*rc::gen::element<std::string>("espuma", "samvinna"),
                *rc::gen::element<std::string>("v1", "v2"));
            // A hash covers all blocks before it, so equal hashes have equal prefixes.
            auto second = *rc::gen::inRange<std::uint64_t>(2, 5);
            prompt_chain chain { 1, second, second * 10 + *rc::gen::inRange<std::uint64_t>(0, 4) };
            switch (*rc::gen::inRange(0, 7)) {
            case 0: {
                auto lease = store.allocate(of, chain, blockBytes, leaseTime, now);
                if (lease.ticket != 0)
                    writers.push_back({ lease, of, chain, lease.firstBlock, now + leaseTime });
                break;
            }
            case 1:
            case 2:
                if (!writers.empty()) {
                    auto& writer = writers[*rc::gen::inRange<std::size_t>(0, writers.size())];
                    if (writer.next < writer.lease.firstBlock + writer.lease.blocks) {
                        auto status = store.write(writer.lease.ticket, writer.next,
                            bytesOf(writer.chain[writer.next], writer.of), now);
                        RC_ASSERT(!status.ok() || now < writer.until);
                        writer.next += status.ok();
                    }
                }
                break;
            case 3: {
                auto lease = store.lease(of, chain, leaseTime, now);
                if (lease.ticket != 0)
                    readers.push_back({ lease, of, chain, 0, now + leaseTime });
                break;
            }
            case 4:
                for (const auto& reader : readers) {
                    for (std::uint32_t index = 0; index < reader.lease.blocks; ++index) {
                        auto bytes = store.read(reader.lease.ticket, index, now);
                        RC_ASSERT(bytes.ok() == (now < reader.until));
                        if (bytes.ok())
                            RC_ASSERT(*bytes == bytesOf(reader.chain[index], reader.of));
                    }
                }
                break;
            case 5:
                store.expire(now);
                break;
            case 6:
                if (*rc::gen::inRange(0, 8) == 0)
                    store.purge(of.customer);
                break;
            }
            RC_ASSERT(store.usedBytes() <= store.capacityBytes());
        }
        store.expire(now + leaseTime);
        store.purge("espuma");
        store.purge("samvinna");
        RC_ASSERT(store.usedBytes() == 0);
        RC_ASSERT(store.blocks() == 0);
    });
}
