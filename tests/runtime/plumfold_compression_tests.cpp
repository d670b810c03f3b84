#include "plumfold/runtime/plumfold_compression.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace plumfold::runtime;

TEST_CASE("Compressed bytes are restored", "[runtime][compression]")
{
    std::string text;
    for (int number = 0; number < 500; ++number)
        text += "{\"path-prefix\":\"/r" + std::to_string(number) + "/\",\"timeout-ms\":2500},";
    auto compressed = compress(text);
    CHECK(compressed.size() < text.size() / 4);
    CHECK(decompress(compressed, text.size()) == text);
    CHECK_FALSE(decompress(compressed, text.size() - 1));
    CHECK(decompress(compress(""), 10) == "");
}

TEST_CASE("Damaged compressed bytes are refused", "[runtime][compression]")
{
    std::string text(10'000, 'x');
    auto compressed = compress(text);
    CHECK_FALSE(decompress("no compressed bytes", 100));
    CHECK_FALSE(decompress("", 100).value_or("") == text);
    CHECK_FALSE(decompress(compressed.substr(0, compressed.size() / 2), text.size()) == text);
    auto damaged = compressed;
    damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 0x55);
    CHECK_FALSE(decompress(damaged, text.size()) == text);
}
