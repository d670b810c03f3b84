#include "plumfold/core/rollout/plumfold_rollout_judge.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

/// Latency classes of a factor of about three; the exact one lies between two classes.
constexpr std::size_t slowClasses = 4;
/// Fewer former answers don't give a median.
constexpr std::uint64_t minFormerAnswers = 20;
/// Fewer do not show how slow the slowest of them are.
constexpr std::uint64_t minFormerLatencies = 60;
/// A failure domain that is cut off may hit the next targets this many times as hard as the former ones.
constexpr double disturbanceFactor = 5;
constexpr double toleranceFactor = 2;
/// Portion of the former failures that tolerance for a disturbance ignores, as a factor of the usual one.
constexpr double usualFactor = 1.5;
/// A route with at least this portion of the requests needs evidence of its own.
constexpr double majorRoutePortion = 0.15;
/// Of a major route: some ten answers without a bad one.
constexpr double goodRouteThreshold = -2.1;
constexpr double maxPortion = 0.95;
constexpr double maxBadPortionFactor = 2.5;

struct cohort_tally {
    std::uint64_t answers = 0;
    std::uint64_t bad = 0;

    cohort_tally& operator+=(const cohort_tally& other)
    {
        answers += other.answers;
        bad += other.bad;
        return *this;
    }

    double portion() const
    {
        return answers == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(answers);
    }
};

struct tally {
    cohort_tally former;
    cohort_tally next;

    tally& operator+=(const tally& other)
    {
        former += other.former;
        next += other.next;
        return *this;
    }
};

/// Strata that are tested together.
struct group {
    bool isRoute = false;
    bool isService = false;
    tally sum;
    std::vector<tally> windows;
};

using groups = std::map<std::string, group>;

/// @return the first class above a portion of the answers that are no failures.
std::size_t quantileClass(const rollout_counts& counts, double portion)
{
    auto total = static_cast<double>(counts.answers() - counts.failures);
    double below = 0;
    for (std::size_t index = 0; index < counts.latencies.size(); ++index) {
        below += static_cast<double>(counts.latencies[index]);
        if (below >= portion * total)
            return index;
    }
    return counts.latencies.size() - 1;
}

/// @return the first latency class that counts as too slow; rolloutLatencyClasses: none.
std::size_t slowClassOf(const rollout_counts& former, std::size_t floorClass)
{
    if (former.answers() - former.failures < minFormerLatencies)
        return rolloutLatencyClasses;
    constexpr double median = 0.5;
    constexpr double tail = 0.97;
    auto slow = quantileClass(former, median) + slowClasses;
    return std::max({ slow, quantileClass(former, tail) + 1, floorClass + 1 });
}

cohort_tally tallyOf(const rollout_counts& counts, std::size_t slowClass)
{
    cohort_tally out { counts.answers(), counts.failures };
    for (auto index = slowClass; index < counts.latencies.size(); ++index)
        out.bad += counts.latencies[index];
    return out;
}

tally tallyOf(const rollout_cohort_counts& counts, std::size_t slowClass)
{
    return { tallyOf(counts.former, slowClass), tallyOf(counts.next, slowClass) };
}

groups groupsOf(const rollout_evidence& evidence, std::size_t floorClass)
{
    groups out;
    auto windowCount = evidence.windows().size();
    for (const auto& [stratum, counts] : evidence.sums()) {
        auto slowClass = slowClassOf(counts.former, floorClass);
        std::vector<group*> members;
        members.push_back(&out["service"]);
        members.back()->isService = true;
        members.push_back(&out[absl::StrCat("route ", stratum.route)]);
        members.back()->isRoute = true;
        members.push_back(&out[absl::StrCat("route ", stratum.route, " size class ", stratum.sizeClass)]);
        for (auto* each : members) {
            each->windows.resize(windowCount);
            each->sum += tallyOf(counts, slowClass);
        }
        for (std::size_t index = 0; index < windowCount; ++index) {
            const auto& window = evidence.windows()[index];
            auto found = window.find(stratum);
            if (found == window.end())
                continue;
            auto counted = tallyOf(found->second, slowClass);
            for (auto* each : members)
                each->windows[index] += counted;
        }
    }
    return out;
}

/// @return the former answers in a window and those next to it: cohorts notice a disturbance at slightly
/// different times.
cohort_tally formerAround(const group& each, std::size_t window)
{
    cohort_tally out;
    auto first = window < 2 ? 0 : window - 2;
    for (auto index = first; index < std::min(window + 2, each.windows.size()); ++index)
        out += each.windows[index].former;
    return out;
}

/// @return the median of the former version's bad portions of the windows.
double usualPortion(const group& each)
{
    std::vector<double> portions;
    for (std::size_t index = 0; index < each.windows.size(); ++index) {
        auto former = formerAround(each, index);
        if (former.answers >= minFormerAnswers)
            portions.push_back(former.portion());
    }
    if (portions.empty())
        return each.sum.former.portion();
    auto middle = portions.begin() + static_cast<std::ptrdiff_t>(portions.size() / 2);
    std::nth_element(portions.begin(), middle, portions.end());
    return *middle;
}

struct test_result {
    double worst = 0; ///< Cumulative sum since it was 0 last.
    std::size_t badWindows = 0; ///< Windows with bad answers since then.
    double total = 0; ///< Sum over all windows.
};

class group_test {
public:
    group_test(const rollout_judge_options& options, const group& service)
        : m_options(options)
        , m_service(service)
        , m_usualInService(usualPortion(service))
    {
    }

    test_result test(const group& each) const
    {
        test_result out;
        double usual = usualPortion(each);
        for (std::size_t index = 0; index < each.windows.size(); ++index) {
            const auto& next = each.windows[index].next;
            if (next.answers == 0)
                continue;
            auto former = formerAround(each, index);
            auto inService = formerAround(m_service, index);
            double tolerated = std::max(
                { m_options.goodPortion, tolerance(usual, former), tolerance(m_usualInService, inService) });
            auto ratio = logLikelihoodRatio(next, tolerated);
            bool isCompared = inService.answers >= minFormerAnswers;
            auto limit
                = m_options.badThreshold / (isCompared ? m_options.badWindows : m_options.badWindowsAlone);
            out.worst = std::max(0.0, out.worst + std::min(ratio, limit));
            out.total += ratio;
            out.badWindows = out.worst <= 0 ? 0 : out.badWindows + (next.bad > 0 ? 1 : 0);
        }
        return out;
    }

private:
    static double tolerance(double usual, const cohort_tally& former)
    {
        if (former.answers < minFormerAnswers)
            return toleranceFactor * usual;
        auto excess = std::max(0.0, former.portion() - usualFactor * usual);
        return toleranceFactor * usual + disturbanceFactor * excess;
    }

    double logLikelihoodRatio(const cohort_tally& next, double tolerated) const
    {
        auto good = std::min(tolerated, maxPortion);
        auto bad = std::min(std::max(m_options.badPortion, maxBadPortionFactor * good), maxPortion);
        auto badAnswers = static_cast<double>(next.bad);
        auto otherAnswers = static_cast<double>(next.answers - next.bad);
        return badAnswers * std::log(bad / good) + otherAnswers * std::log((1 - bad) / (1 - good));
    }

    const rollout_judge_options& m_options;
    const group& m_service;
    double m_usualInService;
};

std::string figures(const std::string& name, const group& each)
{
    return absl::StrCat(name, ": ", each.sum.next.bad, " of ", each.sum.next.answers, " answers bad, former ",
        each.sum.former.bad, " of ", each.sum.former.answers);
}

} // namespace

rollout_assessment rollout_judge::assess(const rollout_evidence& evidence) const
{
    rollout_assessment out;
    auto tested = groupsOf(evidence, rolloutLatencyClass(m_options.slowFloor));
    auto service = tested.find("service");
    if (service == tested.end() || evidence.windows().empty()) {
        out.reason = "no answers yet";
        return out;
    }
    out.nextAnswers = service->second.sum.next.answers;
    out.nextBad = service->second.sum.next.bad;
    out.reason = figures("service", service->second);
    auto allAnswers = static_cast<double>(service->second.sum.former.answers + out.nextAnswers);
    bool isGood = true;
    group_test test(m_options, service->second);
    for (const auto& [name, each] : tested) {
        auto result = test.test(each);
        bool isEnough = each.sum.next.answers >= m_options.minAnswers;
        bool isLasting
            = each.sum.next.bad >= m_options.minBad && result.badWindows >= m_options.minBadWindows;
        if (isEnough && isLasting && result.worst >= m_options.badThreshold) {
            out.verdict = rollout_verdict::bad;
            out.suspicion = 1;
            out.reason = figures(name, each);
            return out;
        }
        // A few failures in a group with few answers would prevent the verdict "good" until the deadline.
        if (isEnough)
            out.suspicion = std::max(out.suspicion, std::min(result.worst / m_options.badThreshold, 1.0));
        auto answers = static_cast<double>(each.sum.former.answers + each.sum.next.answers);
        bool isMajor = each.isRoute && answers >= majorRoutePortion * allAnswers;
        if ((each.isService && result.total > m_options.goodThreshold)
            || (isMajor && result.total > goodRouteThreshold)) {
            isGood = false;
            out.reason = absl::StrCat("too few answers, ", figures(name, each));
        }
    }
    bool isSuspicious = out.suspicion >= 1 / m_options.badWindows;
    if (isSuspicious)
        out.reason = absl::StrCat("suspicious, ", figures("service", service->second));
    if (isGood && !isSuspicious)
        out.verdict = rollout_verdict::good;
    return out;
}

} // namespace plumfold::core
