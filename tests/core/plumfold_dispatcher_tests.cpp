#include "plumfold/core/plumfold_dispatcher.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::core;

namespace {

constexpr std::uint32_t maxBatch = 4;

/// A dispatcher with a configuration and a clock that tests advance.
class dispatch_fixture {
public:
    dispatch_fixture()
        : m_dispatcher(options())
    {
        configuration config;
        config.apply(record(failure_domain_record { "east", true, 1 }));
        config.apply(record(failure_domain_record { "west", true, 1 }));
        config.apply(record(model_record { "base", 1 << 20, 1000 }));
        config.apply(record(weight_version_record { "base", "v1" }));
        config.apply(record(service_record { "orders", false, 1000 }));
        config.apply(
            record(customer_record { "espuma", std::string(64, 'a'), 1, 8, 8, { "base", "orders" } }));
        config.apply(record(customer_record { "samvinna", std::string(64, 'b'), 1, 8, 8, { "base" } }));
        m_config = config;
        configure();
        m_dispatcher.onConfigurationConfirmed(now);
    }

    static dispatch_options options()
    {
        dispatch_options made;
        made.entry = "entry-1";
        made.failureDomain = "east";
        return made;
    }

    void change(const change& what)
    {
        m_config.apply(what);
        configure();
    }

    void announce(const std::string& name, const std::string& domain = "east", std::uint64_t incarnation = 1,
        const std::string& version = "v1", std::uint32_t running = maxBatch)
    {
        target_report report;
        report.name = name;
        report.incarnation = incarnation;
        report.address = name;
        report.failureDomain = domain;
        report.models = { { "base", version, {} } };
        report.maxBatch = maxBatch;
        report.running = running;
        reportWarm(report);
    }

    void announceService(const std::string& name)
    {
        target_report report;
        report.name = name;
        report.incarnation = 1;
        report.address = name;
        report.failureDomain = "east";
        report.isService = true;
        report.services = { "orders" };
        report.maxBatch = maxBatch;
        report.running = maxBatch;
        reportWarm(report);
    }

    request_spec spec(const std::string& customer = "espuma")
    {
        request_spec made;
        made.number = ++m_number;
        made.customer = customer;
        made.model = "base";
        made.fingerprint = m_number;
        made.promptTokens = 100;
        made.maxTokens = 10;
        made.deadline = now + std::chrono::seconds(60);
        return made;
    }

    void submit(const request_spec& what) { apply(m_dispatcher.submit(what, now)); }

    /// @return the target of a request's last start, or an empty name.
    std::string startedOn(request_number request) const
    {
        auto found = m_started.find(request);
        return found == m_started.end() ? "" : found->second.target;
    }

    const dispatch_plan& planOf(request_number request) const { return m_started.at(request); }

    const error_info* rejection(request_number request) const
    {
        auto found = m_rejected.find(request);
        return found == m_rejected.end() ? nullptr : &found->second;
    }

    void finish(request_number request, attempt_outcome outcome = attempt_outcome::succeeded)
    {
        attempt_report report;
        report.outcome = outcome;
        report.firstToken = m_started.at(request).expectedFirstToken;
        report.duration = milliseconds(50);
        apply(m_dispatcher.onFinished(request, report, now));
    }

    void retry(const request_spec& next, attempt_outcome outcome)
    {
        m_started.erase(next.number);
        attempt_report report;
        report.outcome = outcome;
        apply(m_dispatcher.retry(next, report, now));
    }

    void advance(milliseconds time)
    {
        now += time;
        apply(m_dispatcher.tick(now));
    }

    void apply(const dispatcher::actions& actions)
    {
        for (const auto& action : actions) {
            if (const auto* start = std::get_if<start_action>(&action))
                m_started[start->request] = start->plan;
            if (const auto* reject = std::get_if<reject_action>(&action))
                m_rejected[reject->request] = reject->error;
            if (const auto* acquire = std::get_if<acquire_permit_action>(&action))
                permitRequests.push_back(*acquire);
            if (std::holds_alternative<release_permit_action>(action))
                ++released;
            if (std::holds_alternative<condemn_action>(action))
                ++condemned;
        }
    }

    instant now { std::chrono::hours(1) };
    std::vector<acquire_permit_action> permitRequests;
    int released = 0;
    int condemned = 0;
    dispatcher& subject() { return m_dispatcher; }

private:
    // The load of the first report sets the target's concurrency limit; the second report frees it.
    void reportWarm(target_report report)
    {
        for (std::uint32_t running : { report.running, 0u }) {
            report.running = running;
            report.sequence = ++m_sequence;
            apply(m_dispatcher.onReport(report, now, now));
        }
    }

    void configure()
    {
        bool fits = false;
        configuration_update update { m_config.revision(), m_config.digest(), m_config.records(), {} };
        apply(m_dispatcher.onConfiguration(update, fits, now));
        REQUIRE(fits);
    }

    dispatcher m_dispatcher;
    configuration m_config;
    std::uint64_t m_sequence = 0;
    request_number m_number = 0;
    std::map<request_number, dispatch_plan> m_started;
    std::map<request_number, error_info> m_rejected;
};

} // namespace

TEST_CASE_METHOD(dispatch_fixture, "A target that is leaving or out of service receives no new requests",
    "[dispatch][leaving]")
{
    announce("t1");
    auto first = spec();
    submit(first);
    CHECK(startedOn(first.number) == "t1");
    SECTION("the target reports that it is leaving")
    {
        target_report leaving;
        leaving.name = "t1";
        leaving.incarnation = 1;
        leaving.failureDomain = "east";
        leaving.models = { { "base", "v1", {} } };
        leaving.leaving = true;
        leaving.sequence = 1000;
        apply(subject().onReport(leaving, now, now));
    }
    SECTION("an operator has taken it out of service")
    {
        change(record(target_record { "t1", false, false }));
    }
    SECTION("its failure domain is out of service")
    {
        change(record(failure_domain_record { "east", false, 1 }));
    }
    SECTION("its failure domain is not configured")
    {
        change(record_key { record_kind::failure_domain, "east" });
    }
    SECTION("it has not reported within the expiry")
    {
        advance(milliseconds(3001));
    }
    auto second = spec();
    submit(second);
    CHECK(startedOn(second.number).empty());
    advance(milliseconds(600));
    REQUIRE(rejection(second.number));
    CHECK(rejection(second.number)->kind == error_kind::no_target);
    CHECK(rejection(second.number)->ran == run_state::not_run);
    CHECK(rejection(second.number)->retryAfter);
}

TEST_CASE_METHOD(dispatch_fixture,
    "An entry that is cut off from control dispatches only within its failure domain", "[dispatch][cut]")
{
    announce("remote", "west");
    auto first = spec();
    submit(first);
    CHECK(startedOn(first.number) == "remote");
    now += milliseconds(3001);
    announce("remote", "west");
    auto second = spec();
    submit(second);
    CHECK(startedOn(second.number).empty());
    announce("local", "east");
    CHECK(startedOn(second.number) == "local");
}

TEST_CASE_METHOD(
    dispatch_fixture, "A new request runs only on the current weight version", "[dispatch][version]")
{
    announce("old", "east", 1, "v1");
    change(record(weight_version_record { "base", "v2" }));
    auto fresh = spec();
    submit(fresh);
    CHECK(startedOn(fresh.number).empty());
    auto underWay = spec();
    underWay.version = "v1"; // started before the version change
    submit(underWay);
    CHECK(startedOn(underWay.number) == "old");
    announce("new", "east", 1, "v2");
    CHECK(startedOn(fresh.number) == "new");
}

TEST_CASE_METHOD(dispatch_fixture,
    "A cold target runs one request at a time until its answers raise the limit", "[dispatch][cold]")
{
    announce("t1", "east", 1, "v1", 0);
    std::vector<request_spec> specs;
    for (int index = 0; index < 4; ++index) {
        specs.push_back(spec());
        submit(specs.back());
    }
    auto started = [&] {
        return std::count_if(
            specs.begin(), specs.end(), [&](const auto& s) { return !startedOn(s.number).empty(); });
    };
    // No warm target is known for comparison, so only a number of answers raises the limit.
    for (std::size_t index = 0; index < 16; ++index) {
        CHECK(started() == static_cast<std::ptrdiff_t>(index) + 1);
        finish(specs[index].number);
        advance(milliseconds(50));
        specs.push_back(spec());
        submit(specs.back());
    }
    CHECK(started() == 18);
}

TEST_CASE_METHOD(dispatch_fixture, "A request that is not idempotent is not retried once it may have run",
    "[dispatch][at-most-once]")
{
    announceService("s1");
    announceService("s2");
    auto order = spec();
    order.model.clear();
    order.service = "orders";
    order.idempotent = false;
    submit(order);
    REQUIRE_FALSE(startedOn(order.number).empty());
    SECTION("the target was lost or crashed: the outcome is unknown")
    {
        auto outcome = GENERATE(attempt_outcome::lost, attempt_outcome::crashed);
        retry(order, outcome);
        CHECK(startedOn(order.number).empty());
        REQUIRE(rejection(order.number));
        CHECK(rejection(order.number)->kind == error_kind::outcome_unknown);
        CHECK(rejection(order.number)->ran == run_state::unknown);
    }
    SECTION("no byte reached the target or it refused the request: another target is tried")
    {
        auto outcome = GENERATE(attempt_outcome::not_reached, attempt_outcome::refused);
        std::string first = startedOn(order.number);
        retry(order, outcome);
        CHECK_FALSE(startedOn(order.number).empty());
        CHECK(startedOn(order.number) != first);
    }
}

TEST_CASE_METHOD(dispatch_fixture, "An error after an attempt that may have run does not report not_run",
    "[dispatch][truth]")
{
    announce("t1");
    auto request = spec();
    submit(request);
    retry(request, attempt_outcome::lost);
    advance(milliseconds(700));
    REQUIRE(rejection(request.number));
    CHECK(rejection(request.number)->ran == run_state::unknown);
}

TEST_CASE_METHOD(
    dispatch_fixture, "The retry budget limits retries when every target fails", "[dispatch][retry]")
{
    int retried = 0;
    for (int index = 0; index < 400; ++index) {
        announce("t1");
        announce("t2");
        auto request = spec();
        submit(request);
        if (startedOn(request.number).empty()) {
            advance(milliseconds(1100));
            continue;
        }
        retry(request, attempt_outcome::lost);
        if (!startedOn(request.number).empty()) {
            ++retried;
            finish(request.number);
        }
        advance(milliseconds(1100));
    }
    // The initial budget of 20, and one retry for every ten requests.
    CHECK(retried <= 20 + 40);
    CHECK(retried > 0);
}

TEST_CASE_METHOD(dispatch_fixture,
    "A request that crashes two targets is condemned and the requests beside it are served",
    "[dispatch][suspects]")
{
    announce("t1");
    auto bad = spec();
    auto innocent = spec();
    submit(bad);
    submit(innocent);
    REQUIRE(startedOn(bad.number) == "t1");
    REQUIRE(startedOn(innocent.number) == "t1");
    announce("t2");
    announce("t3");
    retry(bad, attempt_outcome::crashed);
    retry(innocent, attempt_outcome::crashed);
    advance(milliseconds(20));
    // Both are suspects now and run alone, so each is on a target of its own.
    REQUIRE_FALSE(startedOn(bad.number).empty());
    REQUIRE_FALSE(startedOn(innocent.number).empty());
    CHECK(startedOn(bad.number) != startedOn(innocent.number));
    finish(innocent.number);
    retry(bad, attempt_outcome::crashed);
    REQUIRE(rejection(bad.number));
    CHECK(rejection(bad.number)->kind == error_kind::crashes_targets);
    CHECK(condemned == 1);
    auto duplicate = spec();
    duplicate.fingerprint = bad.fingerprint;
    submit(duplicate);
    REQUIRE(rejection(duplicate.number));
    CHECK(rejection(duplicate.number)->ran == run_state::not_run);
    SECTION("an operator withdraws the verdict")
    {
        subject().onVerdictWithdrawn(bad.fingerprint);
        auto retried = spec();
        retried.fingerprint = bad.fingerprint;
        submit(retried);
        CHECK_FALSE(rejection(retried.number));
    }
}

TEST_CASE_METHOD(
    dispatch_fixture, "A customer at its limit does not block other customers", "[dispatch][limits]")
{
    for (const char* name : { "t1", "t2", "t3" })
        announce(name);
    std::vector<request_spec> many;
    for (int index = 0; index < 20; ++index) {
        many.push_back(spec());
        submit(many.back());
    }
    auto running = std::count_if(
        many.begin(), many.end(), [&](const auto& s) { return !startedOn(s.number).empty(); });
    auto rejected
        = std::count_if(many.begin(), many.end(), [&](const auto& s) { return rejection(s.number); });
    CHECK(running == 8);
    CHECK(rejected == 4); // 8 run, 8 wait
    auto other = spec("samvinna");
    submit(other);
    CHECK_FALSE(startedOn(other.number).empty());
}

TEST_CASE_METHOD(
    dispatch_fixture, "A request that cannot meet its deadline is rejected at once", "[dispatch][deadline]")
{
    announce("t1");
    auto late = spec();
    late.deadline = now + milliseconds(1);
    submit(late);
    REQUIRE(rejection(late.number));
    CHECK(rejection(late.number)->kind == error_kind::deadline_unreachable);
    CHECK(rejection(late.number)->retryAfter);
    SECTION("a waiting request is rejected when its deadline passes")
    {
        for (int index = 0; index < 4; ++index)
            submit(spec());
        auto waiting = spec();
        waiting.deadline = now + milliseconds(200);
        submit(waiting);
        CHECK_FALSE(rejection(waiting.number));
        advance(milliseconds(200));
        REQUIRE(rejection(waiting.number));
        CHECK(rejection(waiting.number)->ran == run_state::not_run);
    }
}

TEST_CASE_METHOD(dispatch_fixture, "A repeated prompt goes to the target that has its blocks cached",
    "[dispatch][affinity]")
{
    announce("t1");
    announce("t2");
    auto first = spec();
    first.promptTokens = 1030;
    first.chain = { 1, 2, 3, 4 };
    submit(first);
    std::string preferred = startedOn(first.number);
    finish(first.number);
    for (int index = 0; index < 3; ++index) {
        auto back = spec();
        back.promptTokens = 1030;
        back.chain = first.chain;
        submit(back);
        CHECK(startedOn(back.number) == preferred);
    }
}

TEST_CASE_METHOD(
    dispatch_fixture, "An unexpected cache miss does not count as a cold start", "[dispatch][cold]")
{
    announce("t1");
    auto first = spec();
    first.promptTokens = 4000;
    first.chain = { 1, 2, 3, 4 };
    submit(first);
    finish(first.number);
    for (int index = 0; index < 6; ++index) {
        auto back = first;
        back.number = spec().number;
        back.promptTokens = 1030;
        submit(back);
        REQUIRE_FALSE(startedOn(back.number).empty());
        CHECK(planOf(back.number).cachedBlocks == 4);
        attempt_report evicted; // no cached tokens reported
        evicted.firstToken = milliseconds(220);
        evicted.duration = milliseconds(300);
        apply(subject().onFinished(back.number, evicted, now));
    }
    int running = 0;
    for (int index = 0; index < 4; ++index) {
        auto next = spec();
        submit(next);
        running += !startedOn(next.number).empty();
    }
    CHECK(running == 4);
}

TEST_CASE_METHOD(dispatch_fixture,
    "Blocks are fetched from the store only when that is faster than recomputing them", "[dispatch][link]")
{
    announce("t1");
    auto cheap = spec();
    cheap.promptTokens = 1030;
    cheap.chain = { 1, 2, 3, 4 };
    cheap.storeBlocks = 4;
    cheap.storeBytes = 4096;
    submit(cheap);
    auto slow = cheap;
    slow.number = spec().number;
    slow.storeBytes = 125'000'000'000; // about 1000 s over the link
    submit(slow);
    CHECK(planOf(cheap.number).importBlocks == 4);
    CHECK(planOf(slow.number).importBlocks == 0);
}

TEST_CASE_METHOD(dispatch_fixture,
    "A permit for a target that another entry owns is requested from that entry", "[dispatch][permits]")
{
    std::string foreign;
    entry_membership view("entry-1", "east", milliseconds(1500));
    entry_peer_state peer { "entry-2", "east", 1, false, now };
    view.onPeerUpdate(peer);
    for (int index = 0; foreign.empty(); ++index) {
        std::string name = "t" + std::to_string(index);
        if (view.ownerOf(name, "east") == "entry-2")
            foreign = name;
    }
    subject().onPeerState(peer);
    announce(foreign);
    auto request = spec();
    submit(request);
    REQUIRE(permitRequests.size() == 1);
    CHECK(permitRequests[0].owner == "entry-2");
    CHECK(startedOn(request.number).empty());
    SECTION("granted: the request starts")
    {
        apply(subject().onPermitAnswer(request.number, "entry-2", { true, 77, 8, {} }, now));
        CHECK(startedOn(request.number) == foreign);
        finish(request.number);
        CHECK(released == 1);
    }
    SECTION("denied: the request waits and a permit is requested again")
    {
        apply(subject().onPermitAnswer(request.number, "entry-2", { false, 0, 0, milliseconds(10) }, now));
        advance(milliseconds(20));
        CHECK(permitRequests.size() == 2);
    }
    SECTION("granted after the request was cancelled: the permit is released")
    {
        apply(subject().cancel(request.number, now));
        apply(subject().onPermitAnswer(request.number, "entry-2", { true, 77, 8, {} }, now));
        CHECK(released == 1);
        CHECK(startedOn(request.number).empty());
    }
    SECTION("the owner fails: this entry becomes the owner and starts the request")
    {
        apply(subject().onOwnerUnreachable(request.number, now));
        advance(milliseconds(1600));
        announce(foreign);
        CHECK(startedOn(request.number) == foreign);
    }
}
