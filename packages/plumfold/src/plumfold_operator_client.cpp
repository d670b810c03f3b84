#include "plumfold_operator_client.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <thread>

namespace plumfold::cli {

namespace {

constexpr std::chrono::milliseconds connectTimeout { 500 };
constexpr std::chrono::milliseconds callTimeout { 2000 };
constexpr std::chrono::milliseconds retryPause { 100 };

} // namespace

operator_client::operator_client(operator_client_options options)
    : m_options(std::move(options))
{
}

absl::Status operator_client::callControlVm(
    const std::string& address, const operator_call& call, bool& accepted)
{
    try {
        accepted = m_rpc.run([&]() -> kj::Promise<bool> {
            return wire::rpc_connection::connect(m_rpc, address, connectTimeout)
                .then([&](kj::Own<wire::rpc_connection> connection) {
                    auto request = connection->bootstrap<wire::Control>().operatorRequest();
                    request.setToken(m_options.token);
                    auto called = wire::withTimeout(m_rpc, call(request.send().getOperator()), callTimeout);
                    return called.attach(kj::mv(connection));
                });
        });
        return absl::OkStatus();
    } catch (const kj::Exception& exception) {
        std::string what = exception.getDescription().cStr();
        if (exception.getType() == kj::Exception::Type::FAILED)
            return absl::FailedPreconditionError(what);
        return absl::UnavailableError(what);
    }
}

absl::Status operator_client::callLeader(const operator_call& call)
{
    auto until = runtime::now() + m_options.timeout;
    absl::Status last = absl::UnavailableError("no control VM was named: give --control ip:port");
    while (true) {
        for (const auto& address : m_options.control) {
            bool accepted = false;
            last = callControlVm(address, call, accepted);
            if (last.ok() && accepted)
                return last;
            if (absl::IsFailedPrecondition(last))
                return last;
        }
        if (runtime::now() >= until)
            break;
        std::this_thread::sleep_for(retryPause);
    }
    if (last.ok())
        last = absl::UnavailableError(
            "no control VM leads: check that a majority of them runs, and that 'plumfold "
            "control form' was called once after the installation");
    return last;
}

absl::Status operator_client::form(const std::string& address)
{
    bool accepted = false;
    auto status = callControlVm(
        address,
        [](wire::Operator::Client client) {
            return client.formRequest().send().then(
                [](auto response) { return response.getReply().getAccepted(); });
        },
        accepted);
    if (!status.ok())
        return status;
    return accepted ? absl::OkStatus()
                    : absl::AlreadyExistsError("this control VM already belongs to a group");
}

absl::StatusOr<core::configuration> operator_client::read()
{
    core::configuration_update update;
    auto status = callLeader([&](wire::Operator::Client client) {
        auto request = client.readRequest();
        request.setLinearizable(true);
        return request.send().then([&](auto response) {
            if (!response.getReply().getAccepted())
                return false;
            update = wire::read(response.getUpdate());
            return true;
        });
    });
    if (!status.ok())
        return status;
    return core::configuration(update.revision, update.full.value_or(std::vector<core::record>()));
}

absl::StatusOr<core::change_result> operator_client::change(
    const core::change& what, const std::string& requestId, std::uint64_t expectedRevision)
{
    if (expectedRevision == 0) {
        auto current = read();
        if (!current.ok())
            return current.status();
        expectedRevision = current->revision();
    }
    core::change_result result;
    auto status = callLeader([&](wire::Operator::Client client) {
        auto request = client.changeRequest();
        request.setRequestId(requestId);
        request.setExpectedRevision(expectedRevision);
        wire::write(request.initChange(), what);
        return request.send().then([&](auto response) {
            if (!response.getReply().getAccepted())
                return false;
            result = wire::read(response.getResult());
            return true;
        });
    });
    if (!status.ok())
        return status;
    if (result.outcome == core::change_outcome::conflict)
        return absl::AbortedError(result.message);
    if (result.outcome == core::change_outcome::invalid)
        return absl::InvalidArgumentError(result.message);
    return result;
}

absl::StatusOr<std::vector<core::usage_row>> operator_client::usage()
{
    std::vector<core::usage_row> rows;
    auto status = callLeader([&](wire::Operator::Client client) {
        return client.usageRequest().send().then([&](auto response) {
            rows.clear();
            for (auto row : response.getRows())
                rows.push_back(wire::read(row));
            return response.getReply().getAccepted();
        });
    });
    if (!status.ok())
        return status;
    return rows;
}

absl::StatusOr<std::vector<core::audit_record>> operator_client::audit()
{
    std::vector<core::audit_record> records;
    auto status = callLeader([&](wire::Operator::Client client) {
        return client.auditRequest().send().then([&](auto response) {
            records.clear();
            for (auto record : response.getRecords())
                records.push_back(wire::read(record));
            return true;
        });
    });
    if (!status.ok())
        return status;
    return records;
}

absl::Status operator_client::withdrawVerdict(std::uint64_t fingerprint)
{
    return callLeader([&](wire::Operator::Client client) {
        auto request = client.withdrawVerdictRequest();
        request.setFingerprint(fingerprint);
        return request.send().then([](auto response) { return response.getReply().getAccepted(); });
    });
}

std::vector<control_state_report> operator_client::status()
{
    std::vector<control_state_report> reports;
    for (const auto& address : m_options.control) {
        control_state_report report;
        report.address = address;
        bool accepted = false;
        auto status = callControlVm(
            address,
            [&](wire::Operator::Client client) {
                return client.statusRequest().send().then([&](auto response) {
                    auto in = response.getStatus();
                    report.node = in.getNode().cStr();
                    report.role = in.getRole().cStr();
                    report.term = in.getTerm();
                    report.commitIndex = in.getCommitIndex();
                    report.appliedIndex = in.getAppliedIndex();
                    report.revision = in.getRevision();
                    report.claims = in.getClaims();
                    for (auto member : in.getMembers())
                        report.members.push_back(wire::read(member));
                    for (auto entry : in.getEntries())
                        report.entries.push_back({ entry.getName().cStr(), entry.getFailureDomain().cStr(),
                            entry.getRevision(), entry.getAgeMs() });
                    return true;
                });
            },
            accepted);
        report.reachable = status.ok();
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace plumfold::cli
