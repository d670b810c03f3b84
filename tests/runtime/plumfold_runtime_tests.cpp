#include "plumfold/runtime/plumfold_bounded_ring.hpp"
#include "plumfold/runtime/plumfold_metrics.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"
#include "plumfold/runtime/plumfold_trace.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace plumfold::runtime;

TEST_CASE("A bounded ring is first-in first-out and rejects items when it is full or closed", "[ring]")
{
    bounded_ring<int> ring(2);
    CHECK(ring.tryPush(1));
    CHECK(ring.tryPush(2));
    CHECK_FALSE(ring.tryPush(3));
    CHECK(ring.pop({}) == 1);
    CHECK(ring.tryPush(3));
    CHECK(ring.pop({}) == 2);
    CHECK(ring.pop({}) == 3);
    CHECK_FALSE(ring.pop({}));
    ring.close();
    CHECK_FALSE(ring.tryPush(4));
}

TEST_CASE("A bounded ring passes every item from one thread to another", "[ring]")
{
    bounded_ring<int> ring(16);
    constexpr int count = 20'000;
    std::thread writer([&] {
        for (int index = 1; index <= count;) {
            if (ring.tryPush(index))
                ++index;
        }
    });
    long sum = 0;
    for (int index = 0; index < count; ++index)
        sum += *ring.pop(std::chrono::seconds(10));
    writer.join();
    CHECK(sum == static_cast<long>(count) * (count + 1) / 2);
}

TEST_CASE("Metrics are exported as Prometheus text", "[metrics]")
{
    metrics subject;
    subject.count("a_total{kind=\"x\"}", 2);
    subject.set("b", 1.5);
    for (int value = 1; value <= 100; ++value)
        subject.observe("c_ms", value);
    std::string text = subject.prometheusText();
    CHECK_THAT(text, Catch::Contains("a_total{kind=\"x\"} 2\n") && Catch::Contains("b 1.5\n"));
    CHECK_THAT(text, Catch::Contains("c_ms_count 100\n") && Catch::Contains("c_ms{quantile=\"0.95\"}"));
}

TEST_CASE("A span is unchanged after a round trip through an OTLP line", "[trace]")
{
    span original { { std::string(32, 'a'), std::string(16, 'b') }, std::string(16, 'c'), "target", 1, 2,
        { { "k", "v" } } };
    span read = fromOtlpLine(toOtlpLine(original, "entry-1"));
    CHECK(read.context.spanId == original.context.spanId);
    CHECK(read.attributes == original.attributes);
    CHECK(read.endNanoseconds == 2);
}

TEST_CASE("A valid traceparent is continued, a malformed one starts a new trace", "[trace]")
{
    std::string header = "00-" + std::string(32, 'a') + '-' + std::string(16, 'b') + "-01";
    CHECK(trace_context::fromHeader(header).toHeader() == header);
    CHECK(trace_context::fromHeader(header).child().traceId == std::string(32, 'a'));
    for (const char* malformed : { "", "00-x", "00-ZZZZZZZZZZZZZZZZZZZZZZZZZZZZZZZZ-bbbbbbbbbbbbbbbb-01" })
        CHECK(trace_context::fromHeader(malformed).traceId.size() == 32);
}

TEST_CASE("Secrets are compared in full and hashed with standard SHA-256", "[secrets]")
{
    CHECK(secretsMatch("abc", "abc"));
    CHECK_FALSE(secretsMatch("abc", "abd"));
    CHECK_FALSE(secretsMatch("abc", "ab"));
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(randomHex(8) != randomHex(8));
}
