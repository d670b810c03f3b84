#include "plumfold/core/plumfold_configuration.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace plumfold::core {

namespace {

constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t keyHashDigits = 64;

template <class... Ts> struct overloaded : Ts... {
    using Ts::operator()...;
};
template <class... Ts> overloaded(Ts...) -> overloaded<Ts...>;

// Serializes fields unambiguously: different lists of fields never produce the same bytes.
class field_writer {
public:
    field_writer& operator<<(const std::string& text)
    {
        m_bytes += std::to_string(text.size()) + ':' + text;
        return *this;
    }
    field_writer& operator<<(std::uint64_t number)
    {
        m_bytes += std::to_string(number) + ';';
        return *this;
    }
    const std::string& bytes() const { return m_bytes; }

private:
    std::string m_bytes;
};

std::uint64_t digestOf(const record& value)
{
    field_writer out;
    out << value.index();
    std::visit(
        overloaded {
            [&](const customer_record& r) {
                out << r.name << r.keyHash << r.weight << r.maxInFlight << r.maxQueued << r.models.size();
                for (const auto& model : r.models)
                    out << model;
            },
            [&](const model_record& r) { out << r.name << r.maxPromptBytes << r.maxTokens; },
            [&](const adapter_record& r) { out << r.name << r.model; },
            [&](const weight_version_record& r) { out << r.model << r.version; },
            [&](const failure_domain_record& r) { out << r.name << r.inService << r.maxConcurrentLoads; },
            [&](const target_record& r) { out << r.name << r.inService << r.checksFencing; },
            [&](const service_record& r) { out << r.name << r.repeatable << r.timeoutMs; },
        },
        value);
    return hashBytes(out.bytes());
}

absl::Status invalid(const std::string& message)
{
    return absl::InvalidArgumentError(message);
}

absl::Status checkName(const std::string& name)
{
    if (name.empty() || name.size() > maxNameBytes)
        return invalid(
            "a name must have 1 to " + std::to_string(maxNameBytes) + " bytes: choose another name");
    for (char c : name) {
        bool allowed = std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
        if (!allowed)
            return invalid(
                "name \"" + name + "\" may only hold letters, digits, '-', '_' and '.': rename it");
    }
    return absl::OkStatus();
}

} // namespace

record_key keyOf(const record& value)
{
    auto kind = static_cast<record_kind>(value.index());
    return std::visit(overloaded {
                          [&](const weight_version_record& r) {
                              return record_key { kind, r.model };
                          },
                          [&](const auto& r) {
                              return record_key { kind, r.name };
                          },
                      },
        value);
}

const char* recordKindName(record_kind kind)
{
    constexpr std::array names { "customer", "model", "adapter", "version", "failure-domain", "target",
        "service" };
    return names[static_cast<std::size_t>(kind)];
}

configuration::configuration(std::uint64_t revision, std::vector<record> records)
    : m_revision(revision)
{
    for (const auto& value : records)
        put(value);
}

absl::Status configuration::check(const change& requested) const
{
    if (const auto* key = std::get_if<record_key>(&requested)) {
        if (!m_records.contains(*key))
            return invalid(std::string(recordKindName(key->kind)) + " \"" + key->name
                + "\" does not exist: list the names with 'plumfold " + recordKindName(key->kind) + " list'");
        if (auto dependent = findDependent(*key))
            return invalid(std::string(recordKindName(dependent->kind)) + " \"" + dependent->name
                + "\" still uses " + recordKindName(key->kind) + " \"" + key->name
                + "\": remove or change that first");
        return absl::OkStatus();
    }
    const auto& value = std::get<record>(requested);
    if (auto status = checkName(keyOf(value).name); !status.ok())
        return status;
    return std::visit(
        overloaded {
            [&](const customer_record& r) -> absl::Status {
                if (r.keyHash.size() != keyHashDigits)
                    return invalid(
                        "customer \"" + r.name + "\": the key hash must have 64 hexadecimal digits");
                if (r.weight == 0 || r.maxInFlight == 0)
                    return invalid(
                        "customer \"" + r.name + "\": weight and max-in-flight must be at least 1");
                const auto* holder = customerByKeyHash(r.keyHash);
                if (holder && holder->name != r.name)
                    return invalid("customer \"" + r.name
                        + "\": the API key belongs to another customer; make a new one");
                for (const auto& name : r.models) {
                    if (!model(name) && !service(name))
                        return invalid("customer \"" + r.name + "\": \"" + name
                            + "\" is neither a model nor a service: create it first");
                }
                return absl::OkStatus();
            },
            [&](const model_record& r) -> absl::Status {
                if (r.maxPromptBytes == 0 || r.maxTokens == 0)
                    return invalid(
                        "model \"" + r.name + "\": max-prompt-bytes and max-tokens must be at least 1");
                return absl::OkStatus();
            },
            [&](const adapter_record& r) -> absl::Status {
                if (!model(r.model))
                    return invalid("adapter \"" + r.name + "\": model \"" + r.model
                        + "\" does not exist: create it first");
                return absl::OkStatus();
            },
            [&](const weight_version_record& r) -> absl::Status {
                if (!model(r.model))
                    return invalid(
                        "version of \"" + r.model + "\": the model does not exist: create it first");
                return checkName(r.version);
            },
            [&](const failure_domain_record& r) -> absl::Status {
                if (r.maxConcurrentLoads == 0)
                    return invalid(
                        "failure domain \"" + r.name + "\": max-concurrent-loads must be at least 1");
                return absl::OkStatus();
            },
            [&](const target_record&) { return absl::OkStatus(); },
            [&](const service_record& r) -> absl::Status {
                if (r.timeoutMs == 0)
                    return invalid("service \"" + r.name + "\": timeout-ms must be at least 1");
                return absl::OkStatus();
            },
        },
        value);
}

delta configuration::apply(const change& requested)
{
    if (const auto* key = std::get_if<record_key>(&requested))
        remove(*key);
    else
        put(std::get<record>(requested));
    ++m_revision;
    return delta { m_revision, requested };
}

bool configuration::applyDelta(const delta& next)
{
    if (next.revision != m_revision + 1)
        return false;
    apply(next.appliedChange);
    return true;
}

void configuration::put(const record& value)
{
    record_key key = keyOf(value);
    remove(key);
    m_digest += digestOf(value);
    if (const auto* customer = std::get_if<customer_record>(&value))
        m_customerByKeyHash[customer->keyHash] = customer->name;
    m_targetRecordCount += key.kind == record_kind::target;
    m_records.insert_or_assign(std::move(key), value);
}

void configuration::remove(const record_key& key)
{
    auto found = m_records.find(key);
    if (found == m_records.end())
        return;
    m_digest -= digestOf(found->second);
    if (const auto* customer = std::get_if<customer_record>(&found->second))
        m_customerByKeyHash.erase(customer->keyHash);
    m_targetRecordCount -= key.kind == record_kind::target;
    m_records.erase(found);
}

std::optional<record_key> configuration::findDependent(const record_key& key) const
{
    for (const auto& [candidate, value] : m_records) {
        if (const auto* adapter = std::get_if<adapter_record>(&value)) {
            if (key.kind == record_kind::model && adapter->model == key.name)
                return candidate;
        }
        if (const auto* version = std::get_if<weight_version_record>(&value)) {
            if (key.kind == record_kind::model && version->model == key.name)
                return candidate;
        }
        if (const auto* customer = std::get_if<customer_record>(&value)) {
            bool listedByCustomers = key.kind == record_kind::model || key.kind == record_kind::service;
            if (listedByCustomers
                && std::find(customer->models.begin(), customer->models.end(), key.name)
                    != customer->models.end())
                return candidate;
        }
    }
    return std::nullopt;
}

template <class T> const T* configuration::find(record_kind kind, const std::string& name) const
{
    auto found = m_records.find(record_key { kind, name });
    return found == m_records.end() ? nullptr : std::get_if<T>(&found->second);
}

const customer_record* configuration::customer(const std::string& name) const
{
    return find<customer_record>(record_kind::customer, name);
}

const customer_record* configuration::customerByKeyHash(const std::string& keyHash) const
{
    auto found = m_customerByKeyHash.find(keyHash);
    return found == m_customerByKeyHash.end() ? nullptr : customer(found->second);
}

const model_record* configuration::model(const std::string& name) const
{
    return find<model_record>(record_kind::model, name);
}

const adapter_record* configuration::adapter(const std::string& name) const
{
    return find<adapter_record>(record_kind::adapter, name);
}

const weight_version_record* configuration::weightVersion(const std::string& model) const
{
    return find<weight_version_record>(record_kind::weight_version, model);
}

const failure_domain_record* configuration::failureDomain(const std::string& name) const
{
    return find<failure_domain_record>(record_kind::failure_domain, name);
}

const target_record* configuration::target(const std::string& name) const
{
    return m_targetRecordCount == 0 ? nullptr : find<target_record>(record_kind::target, name);
}

const service_record* configuration::service(const std::string& name) const
{
    return find<service_record>(record_kind::service, name);
}

std::vector<record> configuration::records() const
{
    std::vector<record> all;
    all.reserve(m_records.size());
    for (const auto& [key, value] : m_records)
        all.push_back(value);
    return all;
}

} // namespace plumfold::core
