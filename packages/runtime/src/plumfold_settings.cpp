#include "plumfold/runtime/plumfold_settings.hpp"

#include "plumfold_settings_text.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>
#include <variant>

namespace plumfold::runtime {

namespace {

using json = nlohmann::json;

/// Name, type and constraints of one key in a settings object.
template <class Owner> struct setting_field {
    using member = std::variant<std::string Owner::*, std::uint64_t Owner::*, double Owner::*, bool Owner::*,
        std::vector<std::string> Owner::*, std::vector<peer_setting> Owner::*,
        std::vector<operator_setting> Owner::*>;
    const char* name;
    member memberPointer;
    std::string allowed; ///< Allowed values as text for error messages and the settings reference.
    bool required = false;
    bool isAddress = false;
    std::uint64_t minimum = 0;
    std::uint64_t maximum = UINT64_MAX;
    bool isDuration = false; ///< Milliseconds as a number, or text with a unit.
};

template <class Owner> using fields = std::vector<setting_field<Owner>>;

constexpr std::uint64_t maxDurationMs = 3'600'000;

template <class Owner>
setting_field<Owner> durationField(
    const char* name, std::uint64_t Owner::*member, std::uint64_t minimum, std::uint64_t maximum)
{
    return { name, member,
        absl::StrCat("milliseconds, ", minimum, " to ", maximum, ", or text with a unit such as \"2.5 s\""),
        false, false, minimum, maximum, true };
}

const fields<process_settings>& processFields()
{
    static const fields<process_settings> all {
        { "name", &process_settings::name, "a name that no other process has", true },
        { "failureDomain", &process_settings::failureDomain, "the name of a failure domain", true },
        { "failureDomains", &process_settings::failureDomains,
            "the names of all failure domains; empty if there is one" },
        { "dataFolder", &process_settings::dataFolder, "a folder; needed by the control role" },
        { "logFile", &process_settings::logFile, "a file; empty for standard output" },
        { "traceFile", &process_settings::traceFile, "a file; empty for no traces" },
        { "clusterSecret", &process_settings::clusterSecret, "a secret that all processes share", true },
        durationField("gracePeriodMs", &process_settings::gracePeriodMs, 0, maxDurationMs),
    };
    return all;
}

const fields<entry_settings>& entryFields()
{
    static const fields<entry_settings> all {
        { "callerAddress", &entry_settings::callerAddress, "ip:port", true, true },
        { "targetAddress", &entry_settings::targetAddress, "ip:port", true, true },
        { "peerAddress", &entry_settings::peerAddress, "ip:port", true, true },
        { "peers", &entry_settings::peers, "a list of {name, address}" },
        { "control", &entry_settings::control, "a list of ip:port", true, true },
        { "stores", &entry_settings::stores, "a list of ip:port", false, true },
        { "maxConnections", &entry_settings::maxConnections, "1 to 10000", false, false, 1, 10'000 },
        { "maxBodyBytes", &entry_settings::maxBodyBytes, "bytes, 1024 to 67108864", false, false, 1024,
            64 << 20 },
        durationField("defaultDeadlineMs", &entry_settings::defaultDeadlineMs, 100, maxDurationMs),
        durationField("maxQueueWaitMs", &entry_settings::maxQueueWaitMs, 10, maxDurationMs),
        durationField("firstTokenBoundMs", &entry_settings::firstTokenBoundMs, 50, maxDurationMs),
        durationField("targetExpiryMs", &entry_settings::targetExpiryMs, 500, 60'000),
        durationField("viewBoundMs", &entry_settings::viewBoundMs, 500, 60'000),
        { "linkBytesPerSecond", &entry_settings::linkBytesPerSecond, "bytes a second, at least 1000", false,
            false, 1000 },
        { "kvBlockBytes", &entry_settings::kvBlockBytes, "bytes, 1 to 268435456", false, false, 1,
            256 << 20 },
        { "minStoreBlocks", &entry_settings::minStoreBlocks, "blocks, 1 to 1000", false, false, 1, 1000 },
    };
    return all;
}

const fields<control_settings>& controlFields()
{
    static const fields<control_settings> all {
        { "address", &control_settings::address, "ip:port", true, true },
        { "listenAddress", &control_settings::listenAddress, "ip:port; empty for the address", false, true },
        { "peers", &control_settings::peers, "a list of {name, address}" },
        { "seeds", &control_settings::seeds, "a list of ip:port", false, true },
        { "rpcPort", &control_settings::rpcPort, "a port, 1 to 65535; needed with seeds", false, false, 1,
            65'535 },
        { "platformAddress", &control_settings::platformAddress, "ip:port; empty for none", false, true },
        { "firstStart", &control_settings::firstStart, "true or false" },
        durationField("targetSilenceMs", &control_settings::targetSilenceMs, 500, 60'000),
        { "concurrentLoadPercent", &control_settings::concurrentLoadPercent, "percent, 1 to 100", false,
            false, 1, 100 },
        durationField("orderLeaseMs", &control_settings::orderLeaseMs, 500, 60'000),
        { "coldOvershoot", &control_settings::coldOvershoot, "a factor, 1 to 100; may have a fraction", false,
            false, 1, 100 },
        { "coldSlack", &control_settings::coldSlack, "requests, 0 to 100000; may have a fraction", false,
            false, 0, 100'000 },
        { "retryExtra", &control_settings::retryExtra, "requests, 0 to 100000; may have a fraction", false,
            false, 0, 100'000 },
        durationField("retryWindowMs", &control_settings::retryWindowMs, 100, 600'000),
        durationField("sharedLimitLeaseMs", &control_settings::sharedLimitLeaseMs, 1000, 60'000),
        { "operators", &control_settings::operators, "a list of {name, tokenHash, mayChange}" },
        durationField("electionTimeoutMs", &control_settings::electionTimeoutMs, 50, 60'000),
        { "snapshotEveryEntries", &control_settings::snapshotEveryEntries, "log entries, at least 10", false,
            false, 10 },
        { "maxDataBytes", &control_settings::maxDataBytes, "bytes; 0 for no limit" },
    };
    return all;
}

const fields<forwarding_settings>& forwardingFields()
{
    static const fields<forwarding_settings> all {
        { "callerAddress", &forwarding_settings::callerAddress, "ip:port", true, true },
        { "readinessAddress", &forwarding_settings::readinessAddress, "ip:port", true, true },
        { "control", &forwarding_settings::control, "a list of ip:port", true, true },
        { "controlPort", &forwarding_settings::controlPort, "a port, 1 to 65535", true, false, 1, 65'535 },
        { "metricsAddress", &forwarding_settings::metricsAddress, "ip:port; empty for none", false, true },
        { "relayAddress", &forwarding_settings::relayAddress, "ip:port; empty for none", false, true },
        { "retryRatio", &forwarding_settings::retryRatio, "retries per request, 0 to 1; may have a fraction",
            false, false, 0, 1 },
        durationField("retryWindowMs", &forwarding_settings::retryWindowMs, 100, 600'000),
        durationField("weightsBoundMs", &forwarding_settings::weightsBoundMs, 100, maxDurationMs),
        { "responseBufferBytes", &forwarding_settings::responseBufferBytes, "bytes, at least 1048576", false,
            false, 1 << 20 },
    };
    return all;
}

const fields<store_settings>& storeFields()
{
    static const fields<store_settings> all {
        { "address", &store_settings::address, "ip:port", true, true },
        { "blockAddress", &store_settings::blockAddress, "ip:port", true, true },
        { "memoryBytes", &store_settings::memoryBytes, "bytes, at least 1048576", false, false, 1 << 20 },
    };
    return all;
}

const fields<peer_setting>& peerFields()
{
    static const fields<peer_setting> all {
        { "name", &peer_setting::name, "the name of the process", true },
        { "address", &peer_setting::address, "ip:port", true, true },
    };
    return all;
}

const fields<operator_setting>& operatorFields()
{
    static const fields<operator_setting> all {
        { "name", &operator_setting::name, "a name", true },
        { "tokenHash", &operator_setting::tokenHash, "64 hexadecimal digits: SHA-256 of the token", true },
        { "mayChange", &operator_setting::mayChange, "true or false" },
    };
    return all;
}

/// Reads settings objects and collects all errors, so that one run reports every invalid key.
class settings_reader {
public:
    explicit settings_reader(std::string file)
        : m_file(std::move(file))
    {
    }

    template <class Owner>
    void readObject(const json& in, const std::string& path, const fields<Owner>& allowed, Owner& out)
    {
        if (!in.is_object()) {
            addError(path, "must be an object");
            return;
        }
        for (const auto& item : in.items()) {
            const std::string& key = item.key();
            bool known
                = std::any_of(allowed.begin(), allowed.end(), [&](const auto& f) { return key == f.name; });
            if (!known)
                addError(absl::StrCat(path, "/", key),
                    absl::StrCat("is not a known key; allowed: ", namesOf(allowed)));
        }
        for (const auto& field : allowed) {
            auto found = in.find(field.name);
            std::string fieldPath = absl::StrCat(path, "/", field.name);
            if (found == in.end()) {
                if (field.required)
                    addError(fieldPath, absl::StrCat("is missing; allowed: ", field.allowed));
                continue;
            }
            std::visit(
                [&](auto member) { readValue(*found, fieldPath, field, out.*member); }, field.memberPointer);
        }
    }

    void addError(const std::string& path, const std::string& what)
    {
        m_errors.push_back(absl::StrCat(m_file, ": ", path, " ", what));
    }

    absl::Status status() const
    {
        if (m_errors.empty())
            return absl::OkStatus();
        return absl::InvalidArgumentError(absl::StrJoin(m_errors, "\n"));
    }

private:
    template <class Owner> static std::string namesOf(const fields<Owner>& allowed)
    {
        return absl::StrJoin(allowed, ", ", [](std::string* out, const auto& f) { out->append(f.name); });
    }

    template <class Field> void wrongType(const std::string& path, const Field& field)
    {
        addError(path, absl::StrCat("has the wrong type; allowed: ", field.allowed));
    }

    template <class Field>
    void readValue(const json& in, const std::string& path, const Field& field, std::string& out)
    {
        if (!in.is_string())
            return wrongType(path, field);
        out = in.get<std::string>();
        if (field.required && out.empty())
            addError(path, absl::StrCat("is empty; allowed: ", field.allowed));
        if (field.isAddress && (field.required || !out.empty()))
            checkAddress(out, path);
    }

    template <class Field> void outOfRange(const std::string& path, const Field& field)
    {
        addError(path, absl::StrCat("is out of range; allowed: ", field.allowed));
    }

    template <class Field>
    void readValue(const json& in, const std::string& path, const Field& field, std::uint64_t& out)
    {
        if (in.is_number_unsigned()) {
            out = in.get<std::uint64_t>();
            if (out < field.minimum || out > field.maximum)
                outOfRange(path, field);
            return;
        }
        double number = 0;
        if (in.is_number_float())
            number = in.get<double>();
        else if (auto duration
            = field.isDuration && in.is_string() ? parseDuration(in.get<std::string>()) : std::nullopt)
            number = *duration;
        else
            return wrongType(path, field);
        if (field.isDuration)
            number = std::round(number);
        if (std::trunc(number) != number)
            return addError(path, absl::StrCat("is not a whole number; allowed: ", field.allowed));
        // Above 2^53 a number in floating point may differ from the one in the text.
        constexpr double maxExact = 9'007'199'254'740'992;
        if (number < 0 || number > maxExact || number < static_cast<double>(field.minimum)
            || number > static_cast<double>(field.maximum))
            return outOfRange(path, field);
        out = static_cast<std::uint64_t>(number);
    }

    template <class Field>
    void readValue(const json& in, const std::string& path, const Field& field, double& out)
    {
        if (!in.is_number())
            return wrongType(path, field);
        out = in.get<double>();
        if (!(out >= static_cast<double>(field.minimum) && out <= static_cast<double>(field.maximum)))
            outOfRange(path, field);
    }

    template <class Field>
    void readValue(const json& in, const std::string& path, const Field& field, bool& out)
    {
        if (!in.is_boolean())
            return wrongType(path, field);
        out = in.get<bool>();
    }

    template <class Field>
    void readValue(const json& in, const std::string& path, const Field& field, std::vector<std::string>& out)
    {
        if (!in.is_array())
            return wrongType(path, field);
        std::set<std::string> seen;
        for (std::size_t index = 0; index < in.size(); ++index) {
            std::string elementPath = absl::StrCat(path, "/", index);
            std::string value;
            readValue(in[index], elementPath, field, value);
            if (!seen.insert(value).second)
                addError(elementPath, "is a duplicate; each may stand once");
            out.push_back(std::move(value));
        }
    }

    template <class Field>
    void readValue(
        const json& in, const std::string& path, const Field& field, std::vector<peer_setting>& out)
    {
        readNamedList(in, path, field, peerFields(), out);
    }

    template <class Field>
    void readValue(
        const json& in, const std::string& path, const Field& field, std::vector<operator_setting>& out)
    {
        readNamedList(in, path, field, operatorFields(), out);
    }

    template <class Field, class Element>
    void readNamedList(const json& in, const std::string& path, const Field& field,
        const fields<Element>& allowed, std::vector<Element>& out)
    {
        if (!in.is_array())
            return wrongType(path, field);
        std::set<std::string> seen;
        for (std::size_t index = 0; index < in.size(); ++index) {
            std::string elementPath = absl::StrCat(path, "/", index);
            Element element;
            readObject(in[index], elementPath, allowed, element);
            if (!seen.insert(element.name).second)
                addError(elementPath + "/name", "is a duplicate; each name may stand once");
            out.push_back(std::move(element));
        }
    }

    void checkAddress(const std::string& address, const std::string& path)
    {
        try {
            auto colon = address.rfind(':');
            bool hasPort = colon != std::string::npos && colon + 1 < address.size();
            Poco::Net::IPAddress host(address.substr(0, colon));
            if (hasPort && Poco::Net::SocketAddress(address).port() != 0)
                return;
        } catch (const Poco::Exception&) {
            // reported below
        }
        addError(path, "is not an address; allowed: ip:port with an IP number and a port from 1 to 65535");
    }

    std::string m_file;
    std::vector<std::string> m_errors;
};

/// @return the addresses that a process listens at, each with the path of its setting; empty ones are left
/// out.
std::vector<std::pair<std::string, std::string>> listeningAddresses(const settings& checked)
{
    std::vector<std::pair<std::string, std::string>> all;
    auto add = [&](const char* path, const std::string& address) {
        if (!address.empty())
            all.emplace_back(path, address);
    };
    if (checked.entry) {
        add("/entry/callerAddress", checked.entry->callerAddress);
        add("/entry/targetAddress", checked.entry->targetAddress);
        add("/entry/peerAddress", checked.entry->peerAddress);
    }
    if (checked.control) {
        add(checked.control->listenAddress.empty() ? "/control/address" : "/control/listenAddress",
            listenAddress(*checked.control));
        add("/control/platformAddress", checked.control->platformAddress);
    }
    if (checked.forwarding) {
        add("/forwarding/callerAddress", checked.forwarding->callerAddress);
        add("/forwarding/readinessAddress", checked.forwarding->readinessAddress);
        add("/forwarding/metricsAddress", checked.forwarding->metricsAddress);
        add("/forwarding/relayAddress", checked.forwarding->relayAddress);
    }
    if (checked.store) {
        add("/store/address", checked.store->address);
        add("/store/blockAddress", checked.store->blockAddress);
    }
    return all;
}

void checkDuplicateAddresses(const settings& checked, settings_reader& reader)
{
    std::set<std::string> seen;
    for (const auto& [path, address] : listeningAddresses(checked)) {
        if (!seen.insert(address).second)
            reader.addError(path, "is a duplicate; each listening address may stand once");
    }
}

template <class Role, class Fields>
void readRole(const json& in, const char* name, const Fields& allowed, std::optional<Role>& out,
    settings_reader& reader)
{
    auto found = in.find(name);
    if (found == in.end())
        return;
    out.emplace();
    reader.readObject(*found, std::string("/") + name, allowed, *out);
}

template <class Owner>
void describe(std::ostringstream& out, const std::string& path, const fields<Owner>& allowed)
{
    for (const auto& field : allowed)
        out << path << '/' << field.name << " | " << (field.required ? "required" : "optional") << " | "
            << field.allowed << '\n';
}

} // namespace

std::string withPort(const std::string& address, std::uint64_t port)
{
    return absl::StrCat(address.substr(0, address.rfind(':')), ":", port);
}

const std::string& listenAddress(const control_settings& control)
{
    return control.listenAddress.empty() ? control.address : control.listenAddress;
}

std::vector<std::string> seedAddresses(const control_settings& control)
{
    std::vector<std::string> addresses;
    for (const auto& seed : control.seeds)
        addresses.push_back(withPort(seed, control.rpcPort));
    return addresses;
}

absl::StatusOr<settings> parseSettings(const std::string& text, const std::string& file)
{
    constexpr bool allowExceptions = true;
    constexpr bool ignoreComments = true;
    json in;
    try {
        in = json::parse(text, nullptr, allowExceptions, ignoreComments);
    } catch (const json::parse_error& error) {
        return absl::InvalidArgumentError(absl::StrCat(file, ": is not JSON with comments at byte ",
            error.byte, ", ", lineBefore(text, error.byte), ": correct the text there"));
    } catch (const json::out_of_range& error) {
        // The library names the number, not its place.
        std::vector<std::string> quoted = absl::StrSplit(error.what(), '\'');
        auto place = text.find(quoted.size() > 1 ? quoted[1] : std::string()) + 1;
        return absl::InvalidArgumentError(
            absl::StrCat(file, ": a number is too large, ", lineBefore(text, place), ": correct it there"));
    }
    settings_reader reader(file);
    if (!in.is_object()) {
        reader.addError("/", "must be an object with the keys process, entry, control, forwarding, store");
        return reader.status();
    }
    for (const auto& [key, value] : in.items()) {
        bool known
            = key == "process" || key == "entry" || key == "control" || key == "forwarding" || key == "store";
        if (!known)
            reader.addError(
                "/" + key, "is not a known key; allowed: process, entry, control, forwarding, store");
    }
    settings out;
    if (in.contains("process"))
        reader.readObject(in["process"], "/process", processFields(), out.process);
    else
        reader.addError("/process", "is missing; every process needs it");
    readRole(in, "entry", entryFields(), out.entry, reader);
    readRole(in, "control", controlFields(), out.control, reader);
    readRole(in, "forwarding", forwardingFields(), out.forwarding, reader);
    readRole(in, "store", storeFields(), out.store, reader);
    if (!out.entry && !out.control && !out.forwarding && !out.store)
        reader.addError("/", "sets no role; set at least one of entry, control, forwarding, store");
    if (out.control && !out.control->seeds.empty() && out.control->rpcPort == 0)
        reader.addError("/control/rpcPort", "is missing; with seeds it must be set");
    if (out.control && out.process.dataFolder.empty())
        reader.addError("/process/dataFolder", "is missing; the control role needs a folder on a disk");
    const auto& domains = out.process.failureDomains;
    bool isListed = domains.empty()
        || std::find(domains.begin(), domains.end(), out.process.failureDomain) != domains.end();
    if (!isListed)
        reader.addError("/process/failureDomains", "does not name the failure domain of this process");
    checkDuplicateAddresses(out, reader);
    if (auto status = reader.status(); !status.ok())
        return status;
    return out;
}

absl::StatusOr<settings> loadSettings(const std::string& file)
{
    std::ifstream in(file);
    if (!in)
        return absl::NotFoundError(file + ": cannot be read; give the path of a settings file");
    std::stringstream text;
    text << in.rdbuf();
    return parseSettings(text.str(), file);
}

absl::Status checkAddresses(const settings& checked, const std::string& file)
{
    settings_reader reader(file);
    for (const auto& [path, address] : listeningAddresses(checked)) {
        try {
            Poco::Net::ServerSocket probe;
            probe.bind(Poco::Net::SocketAddress(address), true);
        } catch (const Poco::Exception& error) {
            reader.addError(path,
                absl::StrCat("cannot be bound (", error.displayText(),
                    "); give a free port on an address of this VM"));
        }
    }
    return reader.status();
}

std::string settingsReference()
{
    std::ostringstream out;
    describe(out, "/process", processFields());
    describe(out, "/entry", entryFields());
    describe(out, "/entry/peers[]", peerFields());
    describe(out, "/control", controlFields());
    describe(out, "/control/peers[]", peerFields());
    describe(out, "/control/operators[]", operatorFields());
    describe(out, "/forwarding", forwardingFields());
    describe(out, "/store", storeFields());
    return out.str();
}

} // namespace plumfold::runtime
