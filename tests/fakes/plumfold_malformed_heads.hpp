#pragma once

#include <string>
#include <vector>

namespace plumfold::tests {

/// The head of a response that is none in the protocol.
struct malformed_head {
    std::string name;
    std::string statusLine;
    std::string fields; ///< Header lines with their ends.
};

/// @return heads that no reader may take for a response. The body that follows has four bytes, unless the
/// fields say something else.
inline std::vector<malformed_head> malformedHeads()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string length = "Content-Length: 4\r\n";
    auto withStatus = [&](const std::string& status) {
        return malformed_head { "status " + status, "HTTP/1.1 " + status + " OK\r\n", length };
    };
    auto withField = [&](const std::string& name, const std::string& line) {
        return malformed_head { name, ok, length + line };
    };
    auto withLength = [&](const std::string& name, const std::string& lines) {
        return malformed_head { name, ok, lines };
    };
    using namespace std::string_literals;
    return {
        withStatus("000"),
        withStatus("001"),
        withStatus("099"),
        withStatus("600"),
        withStatus("999"),
        withStatus("20"),
        withStatus("2000"),
        withStatus("2x0"),
        withStatus("-20"),
        { "a protocol that was not asked for", "HTTP/1.1 101 Switching Protocols\r\n", "" },
        { "another protocol", "ICY 200 OK\r\n", length },
        { "version 0.9", "HTTP/0.9 200 OK\r\n", length },
        { "version 2.0", "HTTP/2.0 200 OK\r\n", length },
        { "version 1.7", "HTTP/1.7 200 OK\r\n", length },
        { "two status lines", ok + ok, length },
        withField("a blank in a name", "Bad Name: x\r\n"),
        withField("a tab in a name", "Bad\tName: x\r\n"),
        withField("a control byte in a name", "Bad\x01Name: x\r\n"),
        withField("a zero byte in a name", "Bad\0Name: x\r\n"s),
        withField("a delete byte in a name", "Bad\x7fName: x\r\n"),
        withField("a byte of 8 bits in a name", "Bad\xe4Name: x\r\n"),
        withField("a blank before the colon", "Bad : x\r\n"),
        withField("no name", ": x\r\n"),
        withField("no colon", "Bad\r\n"),
        withField("a zero byte in a value", "Bad: x\0y\r\n"s),
        withField("a control byte in a value", "Bad: x\x01y\r\n"),
        withField("a delete byte in a value", "Bad: x\x7fy\r\n"),
        withField("a carriage return in a value", "Bad: x\ry\r\n"),
        withField("a line that ends without a carriage return", "Bad: x\n"),
        withLength("two lengths", "Content-Length: 4\r\nContent-Length: 2\r\n"),
        withLength("a list of lengths", "Content-Length: 4, 2\r\n"),
        withLength("a negative length", "Content-Length: -4\r\n"),
        withLength("a length with a sign", "Content-Length: +4\r\n"),
        withLength("a hexadecimal length", "Content-Length: 0x4\r\n"),
        withLength("an empty length", "Content-Length: \r\n"),
        withLength("a length beyond all numbers", "Content-Length: 99999999999999999999999\r\n"),
        withLength("a length and chunks", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
        withLength("chunks and a length", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
        withLength("an unknown transfer coding", "Transfer-Encoding: gzip\r\n"),
        withLength("an unknown transfer coding before chunks", "Transfer-Encoding: gzip, chunked\r\n"),
        withLength("an unknown transfer coding behind chunks", "Transfer-Encoding: chunked, gzip\r\n"),
        withLength(
            "an unknown transfer coding and a length", "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n"),
        { "chunks in version 1.0", "HTTP/1.0 200 OK\r\n", "Transfer-Encoding: chunked\r\n" },
    };
}

/// @return the body that follows a malformed head, as its fields frame it.
inline std::string bodyOf(const malformed_head& head)
{
    bool isChunked = head.fields.find("chunked") != std::string::npos;
    return isChunked ? "4\r\nevil\r\n0\r\n\r\n" : "evil";
}

} // namespace plumfold::tests
