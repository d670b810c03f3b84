#pragma once

#include "plumfold/runtime/plumfold_settings.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace plumfold::runtime {

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

/// The keys that each settings object may have.
const fields<process_settings>& processFields();
const fields<entry_settings>& entryFields();
const fields<control_settings>& controlFields();
const fields<forwarding_settings>& forwardingFields();
const fields<store_settings>& storeFields();
const fields<peer_setting>& peerFields();
const fields<operator_setting>& operatorFields();

} // namespace plumfold::runtime
