#include "plumfold/core/plumfold_host_name.hpp"

#include <catch2/catch.hpp>

using plumfold::core::host_name;

TEST_CASE("Hosts that differ in case alone are equal", "[deployment][hosts]")
{
    CHECK(host_name("Round-App.Example") == host_name("round-app.example"));
    CHECK(host_name("[2001:DB8::1]:80") == host_name("[2001:db8::1]:80"));
    CHECK(host_name("round-app.example") != host_name("round-app.example.org"));
    CHECK(host_name("app.example").isWrittenAs("app.example"));
    CHECK_FALSE(host_name("App.example").isWrittenAs("App.example"));
}

TEST_CASE("The port of a host is separate from its name", "[deployment][hosts]")
{
    CHECK(host_name("app.example:8443").name() == "app.example");
    CHECK(host_name("app.example:8443").port() == "8443");
    CHECK(host_name("app.example:8443") != host_name("app.example"));
    CHECK(host_name("app.example:8443").withoutPort() == host_name("app.example"));
    CHECK(host_name("app.example:") == host_name("app.example"));
    CHECK(host_name("[::1]").name() == "[::1]");
    CHECK(host_name("[::1]").port().empty());
    CHECK(host_name("[::1]:80").name() == "[::1]");
    CHECK(host_name("[::1]:80").port() == "80");
}

TEST_CASE("Only hosts that a request can name are valid", "[deployment][hosts]")
{
    for (const auto* each : { "app", "app.example", "app.example.", "App_1.example", "127.0.0.1",
             "app.example:80", "[::1]", "[2001:db8::1]:65535", "b\xc3\xbcro.example" }) {
        INFO(each);
        CHECK(host_name(each).isValid());
    }
    for (const auto* each :
        { "", " app.example", "app.example ", "app example", "app.example\t", "app.example/",
            "http://app.example", "user@app.example", "app.example:port", "app.example:65536",
            "app.example:-1", "::1", "[::1", "[]", "[app]", "app.example:80:90", "app.example\r\nX: y" }) {
        INFO(each);
        CHECK_FALSE(host_name(each).isValid());
    }
}
