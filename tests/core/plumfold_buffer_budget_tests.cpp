#include "plumfold/core/plumfold_buffer_budget.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <memory>
#include <vector>

using plumfold::core::buffer_budget;
using plumfold::core::buffer_share;

namespace {

constexpr std::size_t totalBytes = 16 << 20;
constexpr std::size_t chunkBytes = 16 << 10;

/// Grows a buffer until the budget refuses.
/// @return its last size.
std::size_t grow(buffer_share& share)
{
    std::size_t bytes = 0;
    while (share.resize(bytes + chunkBytes))
        bytes += chunkBytes;
    return bytes;
}

} // namespace

TEST_CASE("Buffers without end leave room for others, however many there are", "[buffer_budget]")
{
    for (std::size_t count : { 1u, 16u, 200u }) {
        buffer_budget budget(totalBytes);
        std::vector<std::unique_ptr<buffer_share>> endless;
        for (std::size_t index = 0; index < count; ++index)
            endless.push_back(std::make_unique<buffer_share>(budget));
        std::vector<std::size_t> sizes(count, 0);
        for (bool isGrowing = true; isGrowing;) {
            isGrowing = false;
            for (std::size_t index = 0; index < count; ++index) {
                if (!endless[index]->resize(sizes[index] + chunkBytes))
                    continue;
                sizes[index] += chunkBytes;
                isGrowing = true;
            }
        }
        INFO(count);
        CHECK(budget.usedBytes() <= totalBytes);
        buffer_share other(budget);
        CHECK(grow(other) >= std::max(totalBytes / (2 * count + 4), buffer_budget::smallBufferBytes));
        endless.clear();
        other.resize(0);
        CHECK(budget.usedBytes() == 0);
    }
}

TEST_CASE("The bytes of a budget are those of its buffers, in any order of changes", "[buffer_budget]")
{
    rc::prop("never above the total, and nothing remains", [] {
        buffer_budget budget(totalBytes);
        {
            std::vector<std::unique_ptr<buffer_share>> shares;
            for (int index = 0; index < 8; ++index)
                shares.push_back(std::make_unique<buffer_share>(budget));
            std::vector<std::size_t> sizes(shares.size(), 0);
            auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(
                rc::gen::pair(rc::gen::inRange<std::size_t>(0, shares.size()),
                    rc::gen::inRange<std::size_t>(0, totalBytes)));
            for (const auto& [index, bytes] : changes) {
                if (shares[index]->resize(bytes))
                    sizes[index] = bytes;
                else
                    RC_ASSERT(bytes > sizes[index]);
                std::size_t counted = 0;
                for (auto size : sizes)
                    counted += size - std::min(size, buffer_budget::smallBufferBytes);
                RC_ASSERT(budget.usedBytes() == counted);
                RC_ASSERT(counted <= totalBytes);
            }
        }
        RC_ASSERT(budget.usedBytes() == 0u);
    });
}
