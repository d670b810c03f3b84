#include "plumfold/runtime/plumfold_settings.hpp"

#include "plumfold_settings_fields.hpp"
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

namespace {

void applyOverride(json& in, const std::string& override, settings_reader& reader)
{
    auto separator = override.find('=');
    auto key = override.substr(0, separator);
    auto value = separator == std::string::npos ? std::string() : override.substr(separator + 1);
    if (separator != std::string::npos && value.empty())
        return;
    try {
        json::json_pointer place(key);
        bool isInRole = separator != std::string::npos && !place.empty()
            && in.contains(place.parent_pointer()) && in.at(place.parent_pointer()).is_object();
        if (!isInRole) {
            reader.addError(key, "cannot be set; give KEY=VALUE with a key of a role that the file has");
            return;
        }
        auto parsed = json::parse(value, nullptr, false);
        in[place] = parsed.is_discarded() ? json(value) : parsed;
    } catch (const json::exception& error) {
        reader.addError(
            key, absl::StrCat("is no path of a key (", error.what(), "); give one such as /process/name"));
    }
}

} // namespace

absl::StatusOr<settings> parseSettings(
    const std::string& text, const std::string& file, const std::vector<std::string>& overrides)
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
    for (const auto& each : overrides)
        applyOverride(in, each, reader);
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

absl::StatusOr<settings> loadSettings(const std::string& file, const std::vector<std::string>& overrides)
{
    std::ifstream in(file);
    if (!in)
        return absl::NotFoundError(file + ": cannot be read; give the path of a settings file");
    std::stringstream text;
    text << in.rdbuf();
    return parseSettings(text.str(), file, overrides);
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
