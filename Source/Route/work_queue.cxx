#include "work_queue.h"

#include <algorithm>
#include <cmath>

namespace daisystile {

namespace {

// Ratio of the attempts that the fleet may have at a service to the slots of its servers. What exceeds the slots queues
// at the servers, so that they are never idle, but waits no longer than a few times the typical latency.
constexpr double overcommit = 4;
// A small number of attempts arrives in bursts, so a daemon with a small share may exceed it up to this limit.
constexpr unsigned minLimit = 3;
// Ratios of the average number of attempts to the share at which the first and at which all new requests of rank 0 are
// refused. Each lower priority is refused earlier.
constexpr double overloadStart = 2.5;
constexpr double overloadFull = 4;
constexpr double priorityFactor = 0.92;
// Share of the objective for which an attempt occupies a slot; one that takes longer is at a server that hangs or is slow.
constexpr double countedObjectiveShare = 0.75;
// Averaging time for a share of one slot or more.
constexpr milliseconds averagingTime {200};
// For shares below this, the averaging time grows no further.
constexpr double minAveragedShare = 0.05;
// One start in this many goes to the least urgent queue, so that no priority starves.
constexpr unsigned startsPerRound = 5;
constexpr milliseconds rateInterval {250};
constexpr milliseconds minInterval {50};
// Forecast wait for a service at which no attempt has ended recently.
constexpr milliseconds unknownWait {5000};

milliseconds waitFor(std::size_t ahead, double perSecond)
{
    constexpr double millisecondsPerSecond = 1000;
    if (perSecond <= 0) {
        return unknownWait;
    }
    return std::min(unknownWait, milliseconds {static_cast<milliseconds::rep>(static_cast<double>(ahead) / perSecond * millisecondsPerSecond)});
}

} // namespace

void work_queue::setCapacity(const service_name &service, const service_capacity &capacity)
{
    auto &work = m_services[service];
    work.share = static_cast<double>(capacity.slots) / std::max(capacity.daemons, 1U);
    work.limit = std::max(minLimit, static_cast<unsigned>(std::ceil(overcommit * work.share)));
}

unsigned work_queue::running(const service_state &work, monotonic_time now)
{
    const auto counts = [&](const auto &attempt) {
        return now < attempt.countsUntil;
    };
    return static_cast<unsigned>(std::count_if(work.running.begin(), work.running.end(), counts));
}

// With a smaller share there are fewer attempts to estimate the load from, so they are averaged over a longer time.
double work_queue::averageAt(const service_state &work, monotonic_time now)
{
    const double share = std::clamp(work.share, minAveragedShare, 1.0);
    const double time = std::chrono::duration<double>(averagingTime).count() / share;
    const double passed = std::max(0.0, std::chrono::duration<double>(now - work.averagedAt).count());
    const double current = running(work, now);
    return current + (work.average - current) * std::exp(-passed / time);
}

// Must be called before the number of running attempts changes.
void work_queue::updateAverage(service_state &work, monotonic_time now)
{
    work.average = averageAt(work, now);
    work.averagedAt = now;
}

bool work_queue::overloaded(const service_state &work, const admission_request &terms, monotonic_time now)
{
    if (work.share <= 0) {
        return false;
    }
    const double factor = std::pow(priorityFactor, terms.urgency.value);
    const double load = averageAt(work, now) / work.share / factor;
    const double refusedOfAll = std::clamp((load - overloadStart) / (overloadFull - overloadStart), 0.0, 1.0);
    const auto shares = work.shares.find(terms.urgency);
    const double refused = shares == work.shares.end() ? refusedOfAll : shares->second.refusedShare(terms.demand, refusedOfAll, now);
    return terms.draw < refused;
}

double work_queue::completionsPerSecond(const service_state &work, monotonic_time now)
{
    const auto age = now - work.intervalStart;
    if (age >= 2 * rateInterval) {
        return 0;
    }
    // Right after a start or a pause there is no previous interval.
    const bool both = age < rateInterval && work.endedInPreviousInterval > 0;
    const auto ends = both ? work.endedInPreviousInterval + work.endedInInterval : work.endedInInterval;
    const auto span = both ? rateInterval + age : std::max<monotonic_time::duration>(age, minInterval);
    return ends / std::chrono::duration<double>(span).count();
}

// The starts reserved for the least urgent queue bound its wait.
milliseconds work_queue::expectedWait(const service_state &work, urgency_rank urgency, monotonic_time now)
{
    if (running(work, now) < work.limit && work.waiting.empty()) {
        return milliseconds {0};
    }
    std::size_t ahead = 1;
    std::size_t sameUrgency = 1;
    for (const auto &[rank, parts] : work.waiting) {
        ahead += rank <= urgency ? parts.size() : 0;
        sameUrgency += rank == urgency ? parts.size() : 0;
    }
    const double rate = completionsPerSecond(work, now);
    return std::min(waitFor(ahead, rate), waitFor(sameUrgency, rate / startsPerRound));
}

void work_queue::addDemand(const admission_request &terms, monotonic_time now)
{
    for (const auto &service : terms.services) {
        m_services[service].shares[terms.urgency].add(terms.demand, now);
    }
}

admission_forecast work_queue::forecastAdmission(const admission_request &terms, monotonic_time now) const
{
    std::vector<milliseconds> waits;
    waits.reserve(terms.services.size());
    std::size_t open = 0;
    for (const auto &service : terms.services) {
        const auto found = m_services.find(service);
        const bool known = found != m_services.end();
        const auto wait = known ? expectedWait(found->second, terms.urgency, now) : milliseconds {0};
        const bool late = wait > terms.maxWait || (known && overloaded(found->second, terms, now));
        open += late ? 0 : 1;
        waits.push_back(late ? std::max(wait, averagingTime) : wait);
    }
    const auto needed = std::clamp<std::size_t>(terms.minServices, 1, std::max<std::size_t>(waits.size(), 1));
    if (waits.size() < needed) {
        return {};
    }
    const auto slowestNeeded = waits.begin() + static_cast<std::ptrdiff_t>(needed - 1);
    std::nth_element(waits.begin(), slowestNeeded, waits.end());
    return {*slowestNeeded, open >= needed};
}

bool work_queue::hasRoom(const service_name &service, attempt_purpose purpose, monotonic_time now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return true;
    }
    const auto &work = found->second;
    const bool inTurn = purpose != attempt_purpose::hedge || work.waiting.empty();
    return inTurn && running(work, now) < work.limit;
}

void work_queue::started(const service_name &service, attempt_id attempt, monotonic_time now, milliseconds objective)
{
    auto &work = m_services[service];
    updateAverage(work, now);
    const auto counted = std::chrono::duration_cast<milliseconds>(objective * countedObjectiveShare);
    work.running.push_back({attempt, now + counted});
}

void work_queue::ended(const service_name &service, attempt_id attempt, monotonic_time now)
{
    auto &work = m_services[service];
    updateAverage(work, now);
    std::erase_if(work.running, [&](const auto &each) { return each.id == attempt; });
    const auto age = now - work.intervalStart;
    if (age >= rateInterval) {
        work.endedInPreviousInterval = age < 2 * rateInterval ? work.endedInInterval : 0;
        work.endedInInterval = 0;
        work.intervalStart = now;
    }
    work.endedInInterval += 1;
}

void work_queue::wait(const service_name &service, urgency_rank urgency, const waiting_part &part)
{
    auto &line = m_services[service].waiting[urgency];
    const auto place = std::upper_bound(line.begin(), line.end(), part, [](const auto &left, const auto &right) { return left.since < right.since; });
    line.insert(place, part);
}

std::optional<waiting_part> work_queue::next(const service_name &service, monotonic_time now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.waiting.empty() || running(found->second, now) >= found->second.limit) {
        return std::nullopt;
    }
    auto &work = found->second;
    work.startsInRound = (work.startsInRound + 1) % startsPerRound;
    const auto line = work.startsInRound == 0 ? std::prev(work.waiting.end()) : work.waiting.begin();
    const auto part = line->second.front();
    line->second.pop_front();
    if (line->second.empty()) {
        work.waiting.erase(line);
    }
    return part;
}

void work_queue::removeRequest(std::uint64_t request)
{
    for (auto &[service, work] : m_services) {
        for (auto &[urgency, parts] : work.waiting) {
            std::erase_if(parts, [&](const auto &part) { return part.request == request; });
        }
        std::erase_if(work.waiting, [](const auto &line) { return line.second.empty(); });
    }
}

std::vector<service_name> work_queue::servicesWithWaiting() const
{
    std::vector<service_name> services;
    for (const auto &[service, work] : m_services) {
        if (!work.waiting.empty()) {
            services.push_back(service);
        }
    }
    return services;
}

std::size_t work_queue::waiting() const
{
    std::size_t count = 0;
    for (const auto &[service, work] : m_services) {
        for (const auto &[urgency, parts] : work.waiting) {
            count += parts.size();
        }
    }
    return count;
}

} // namespace daisystile
