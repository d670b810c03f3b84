#include "plumfold_fake_options.hpp"

#include <CLI/CLI.hpp>

#include <cstdlib>

namespace plumfold::fakes {

fake_options parseFakeOptions(int argc, char** argv)
{
    fake_options options;
    CLI::App app { "fake target for the tests of plumfold" };
    app.add_option("--name", options.name)->required();
    app.add_option("--address", options.address)->required();
    app.add_option("--failure-domain", options.failureDomain)->required();
    app.add_option("--entry", options.entries)->required();
    app.add_option("--model", options.model);
    app.add_option("--version", options.version);
    app.add_option("--adapter", options.adapters);
    app.add_option("--service", options.service);
    app.add_option("--max-batch", options.maxBatch);
    app.add_option("--prefill-us", options.prefillMicrosecondsPerToken);
    app.add_option("--token-us", options.tokenMicroseconds);
    app.add_option("--cache-blocks", options.cacheBlocks);
    app.add_option("--cold-requests", options.coldRequests);
    app.add_option("--cold-limit", options.coldConcurrencyLimit);
    app.add_option("--announce-ms", options.announceMs);
    app.add_option("--link-bytes-per-second", options.linkBytesPerSecond);
    app.add_flag("--ignore-fencing", options.ignoreFencing);
    app.add_option("--load-ms", options.loadMs);
    app.add_option("--bad-version", options.badVersion);
    app.add_option("--log", options.logFile);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        std::exit(app.exit(error));
    }
    return options;
}

} // namespace plumfold::fakes
