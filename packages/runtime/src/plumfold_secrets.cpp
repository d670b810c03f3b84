#include "plumfold/runtime/plumfold_secrets.hpp"

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <stdexcept>
#include <vector>

namespace plumfold::runtime {

namespace {

std::string toHex(const unsigned char* bytes, std::size_t size)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (std::size_t index = 0; index < size; ++index) {
        hex += digits[bytes[index] >> 4];
        hex += digits[bytes[index] & 15];
    }
    return hex;
}

void fillRandom(unsigned char* bytes, std::size_t size)
{
    if (RAND_bytes(bytes, static_cast<int>(size)) != 1)
        throw std::runtime_error("the operating system's random source gives nothing: check /dev/urandom");
}

} // namespace

std::string sha256Hex(const std::string& text)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
    return toHex(digest, sizeof(digest));
}

bool secretsMatch(const std::string& a, const std::string& b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t randomNumber()
{
    std::uint64_t number = 0;
    fillRandom(reinterpret_cast<unsigned char*>(&number), sizeof(number));
    return number;
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> random(bytes);
    fillRandom(random.data(), bytes);
    return toHex(random.data(), bytes);
}

} // namespace plumfold::runtime
