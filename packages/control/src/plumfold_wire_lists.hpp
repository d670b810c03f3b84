#pragma once

#include "plumfold/wire/plumfold_convert.hpp"

#include <vector>

namespace plumfold::control {

/// Decodes a list of messages.
/// @return the values, in their order.
template <class Value, class List> std::vector<Value> readList(const List& in)
{
    std::vector<Value> out;
    for (auto each : in)
        out.push_back(wire::read(each));
    return out;
}

/// Encodes values into a list of messages of the same size.
template <class List, class Values> void writeList(List out, const Values& values)
{
    unsigned index = 0;
    for (const auto& each : values)
        wire::write(out[index++], each);
}

} // namespace plumfold::control
