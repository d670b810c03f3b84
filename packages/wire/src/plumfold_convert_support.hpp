#pragma once

#include "plumfold/wire/plumfold_convert.hpp"

#include <kj/debug.h>

#include <string>
#include <vector>

/// Helpers of the conversions between the core types and the Cap'n Proto schema.
namespace plumfold::wire {

inline std::string text(capnp::Text::Reader in)
{
    return std::string(in.cStr(), in.size());
}

inline std::string text(capnp::Data::Reader in)
{
    return std::string(reinterpret_cast<const char*>(in.begin()), in.size());
}

inline capnp::Data::Reader data(const std::string& bytes)
{
    return capnp::Data::Reader(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size());
}

/// @param count number of enumerators.
/// @throws kj::Exception when the value is not an enumerator.
template <class E> E checkedEnum(unsigned value, unsigned count)
{
    KJ_REQUIRE(value < count, "a number outside its range", value, count);
    return static_cast<E>(value);
}

template <class List, class Values> void writeList(List out, const Values& values)
{
    unsigned index = 0;
    for (const auto& value : values)
        write(out[index++], value);
}

template <class List> auto readList(List in)
{
    std::vector<decltype(read(in[0]))> values;
    values.reserve(in.size());
    for (auto each : in)
        values.push_back(read(each));
    return values;
}

template <class List> void writeTexts(List out, const std::vector<std::string>& values)
{
    for (unsigned index = 0; index < values.size(); ++index)
        out.set(index, values[index].c_str());
}

inline std::vector<std::string> readTexts(capnp::List<capnp::Text>::Reader in)
{
    std::vector<std::string> values;
    for (auto each : in)
        values.push_back(text(each));
    return values;
}

template <class Numbers> void writeNumbers(capnp::List<std::uint64_t>::Builder out, const Numbers& values)
{
    unsigned index = 0;
    for (auto value : values)
        out.set(index++, value);
}

template <class Numbers> Numbers readNumbers(capnp::List<std::uint64_t>::Reader in)
{
    Numbers values;
    for (auto value : in)
        values.insert(values.end(), value);
    return values;
}

template <class... Ts> struct overloaded : Ts... {
    using Ts::operator()...;
};
template <class... Ts> overloaded(Ts...) -> overloaded<Ts...>;

} // namespace plumfold::wire
