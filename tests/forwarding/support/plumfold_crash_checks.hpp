#pragma once

#include "plumfold_crashing_system.hpp"
#include "plumfold_disturbances.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <thread>

namespace plumfold::tests {

/// Sends one request that crashes its target to an entry.
using crash_sender = std::function<void(int entry)>;

inline constexpr std::chrono::milliseconds propagationTime { 3'000 }; ///< From the last crash of a verdict.
inline constexpr std::size_t maxLateArrivals = 3;
inline constexpr std::size_t minCrashes = 3; ///< That show that the scenario crashes targets at all.

/// Sends crashing requests beside sound ones, and counts both.
inline void checkCrashesBesideSound(crashing_system& system, const crash_sender& send)
{
    using namespace std::chrono_literals;
    auto calm = system.sendSoundFor(3s);
    std::thread crashing([&] { system.sendCrashingFor(14s, send); });
    system.sendSoundFor(8s);
    auto later = system.sendSoundFor(6s);
    crashing.join();
    auto late = system.arrivalsAfter(propagationTime);
    CAPTURE(system.fleet().crashes().size(), system.fleet().arrivals().size(), late, calm.sent, calm.begun,
        later.sent, later.begun);
    REQUIRE(system.fleet().crashes().size() >= minCrashes);
    CHECK(late <= maxLateArrivals);
    REQUIRE(calm.begun * 10 >= calm.sent * 9);
    CHECK(later.share() >= calm.share() / 2);
    CHECK(system.soundRefusedByVerdict() == 0);
}

/// Kills all processes once crashing requests are known.
inline void checkVerdictAfterRestart(crashing_system& system, const crash_sender& send)
{
    using namespace std::chrono_literals;
    system.sendCrashingFor(6s, send);
    system.restartAll();
    system.sendCrashingFor(4s, send);
    auto later = system.sendSoundFor(3s);
    auto late = system.arrivalsAfter(propagationTime);
    CAPTURE(system.fleet().crashes().size(), system.fleet().arrivals().size(), late, later.sent, later.begun);
    REQUIRE(system.fleet().crashes().size() >= minCrashes);
    CHECK(late <= maxLateArrivals);
    CHECK(later.share() > 0.9);
}

/// Crashes targets whatever they run.
inline void checkCrashesWithoutCause(crashing_system& system)
{
    using namespace std::chrono_literals;
    constexpr int crashes = 16;
    constexpr int tries = 3;
    std::thread crashing([&] {
        for (int count = 0; count < crashes; ++count) {
            std::this_thread::sleep_for(200ms);
            system.fleet().crash(count % crashing_system::fleetSize);
        }
    });
    system.sendSoundFor(4s, tries);
    crashing.join();
    auto later = system.sendSoundFor(4s, tries);
    CAPTURE(system.fleet().crashes().size(), later.sent, later.begun);
    REQUIRE(system.fleet().crashes().size() >= crashing_system::fleetSize);
    CHECK(later.share() > 0.9);
    CHECK(system.soundRefusedByVerdict() == 0);
}

/// Sends three kinds of crashing requests in turn while control VMs and entries stop, restart and are
/// suspended.
/// @param send sends a request of a kind to an entry.
/// @param isOfKind tells the kinds apart.
inline void checkCrashesDuringDisturbances(crashing_system& system,
    const std::function<void(int entry, int kind)>& send,
    const std::function<bool(const recorded_request& request, int kind)>& isOfKind)
{
    using namespace std::chrono_literals;
    constexpr int kinds = 3;
    constexpr int tries = 3;
    constexpr auto timeOfKind = 2s;
    constexpr auto disturbedTime = 12s;
    constexpr auto calmTime = 13s; // each kind comes twice
    constexpr auto recoveryTime = 8s; // targets that are gone count as silent, others are announced
    INFO("seed " << soakSeed());
    std::thread crashing([&] {
        auto start = std::chrono::steady_clock::now();
        system.sendCrashingFor(disturbedTime + calmTime, [&](int entry) {
            auto round = (std::chrono::steady_clock::now() - start) / timeOfKind;
            send(entry, static_cast<int>(round % kinds));
        });
    });
    std::thread sound([&] { system.sendSoundFor(disturbedTime, tries); });
    disturbances(system, crashing_system::entries, soakSeed()).runFor(disturbedTime);
    auto calmSince = std::chrono::steady_clock::now() + propagationTime;
    sound.join();
    std::this_thread::sleep_for(recoveryTime);
    auto later = system.sendSoundFor(5s);
    crashing.join();
    const auto& fleet = system.fleet();
    CAPTURE(fleet.crashes().size(), fleet.arrivals().size(), later.sent, later.begun);
    REQUIRE(fleet.crashes().size() >= system.crashesForVerdict());
    for (int kind = 0; kind < kinds; ++kind) {
        auto isSelected = [&](const recorded_request& request) { return isOfKind(request, kind); };
        CAPTURE(kind, fleet.crashes(isSelected).size(), fleet.arrivals(isSelected).size());
        CHECK(system.arrivalsAfter(propagationTime, isSelected, calmSince) <= maxLateArrivals);
    }
    CHECK(later.share() > 0.9);
    CHECK(system.soundRefusedByVerdict() == 0);
}

} // namespace plumfold::tests
