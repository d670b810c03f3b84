#pragma once

#include "plumfold/core/plumfold_dispatcher.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace plumfold::tests {

using namespace plumfold::core;

inline constexpr std::uint32_t maxBatch = 4;

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

} // namespace plumfold::tests
