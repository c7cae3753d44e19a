#include "work_queue.h"

#include <algorithm>
#include <cmath>

namespace daisystile {

namespace {

// Attempts that the fleet may have at a service, over what its servers run at a time. The rest queues at the servers,
// so that these never idle, yet no longer than a few times the pace.
constexpr double overcommit = 4;
// Few attempts come in clusters, so a daemon with a small share isn't bound to it.
constexpr unsigned leastLimit = 3;
// Average attempts over the share from which the first and from which all new requests are refused, for rank 0; each
// rank below is refused earlier.
constexpr double crowdedFrom = 2.5;
constexpr double crowdedWholly = 4;
constexpr double rankFactor = 0.92;
// Part of the objective for which an attempt takes room; what lasts longer waits for a server that hangs or is slow.
constexpr double countedPart = 0.75;
// Time over which attempts are averaged where the share is a whole slot.
constexpr milliseconds averagingTime {200};
// Below this part of a slot the time grows no further.
constexpr double smallestShare = 0.05;
// One start in so many goes to the least urgent part, so that no kind of request starves.
constexpr unsigned turnsOfUrgent = 5;
constexpr milliseconds rateInterval {250};
constexpr milliseconds shortestInterval {50};
// A service that ends nothing is foreseen to have room after this time.
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
    work.limit = std::max(leastLimit, static_cast<unsigned>(std::ceil(overcommit * work.share)));
}

unsigned work_queue::running(const service_state &work, monotonic_time now)
{
    const auto counts = [&](const auto &attempt) {
        return now < attempt.countsUntil;
    };
    return static_cast<unsigned>(std::count_if(work.running.begin(), work.running.end(), counts));
}

// The smaller the share, the fewer attempts tell how crowded the service is, and the longer they are averaged.
double work_queue::averageAt(const service_state &work, monotonic_time now)
{
    const double share = std::clamp(work.share, smallestShare, 1.0);
    const double time = std::chrono::duration<double>(averagingTime).count() / share;
    const double passed = std::max(0.0, std::chrono::duration<double>(now - work.averagedAt).count());
    const double current = running(work, now);
    return current + (work.average - current) * std::exp(-passed / time);
}

// Called before the number of running attempts changes.
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
    const double factor = std::pow(rankFactor, terms.urgency.value);
    const double bound = (crowdedFrom + terms.draw * (crowdedWholly - crowdedFrom)) * factor;
    return averageAt(work, now) / work.share > bound;
}

double work_queue::completionsPerSecond(const service_state &work, monotonic_time now)
{
    const auto age = now - work.intervalStart;
    if (age >= 2 * rateInterval) {
        return 0;
    }
    // Work that has just begun has no interval before.
    const bool both = age < rateInterval && work.endedInPreviousInterval > 0;
    const auto ends = both ? work.endedInPreviousInterval + work.endedInInterval : work.endedInInterval;
    const auto span = both ? rateInterval + age : std::max<monotonic_time::duration>(age, shortestInterval);
    return ends / std::chrono::duration<double>(span).count();
}

// The share of the turns that the least urgent have bounds their wait from above.
milliseconds work_queue::expectedWait(const service_state &work, urgency_rank urgency, monotonic_time now)
{
    if (running(work, now) < work.limit && work.waiting.empty()) {
        return milliseconds {0};
    }
    std::size_t ahead = 1;
    std::size_t alike = 1;
    for (const auto &[rank, parts] : work.waiting) {
        ahead += rank <= urgency ? parts.size() : 0;
        alike += rank == urgency ? parts.size() : 0;
    }
    const double rate = completionsPerSecond(work, now);
    return std::min(waitFor(ahead, rate), waitFor(alike, rate / turnsOfUrgent));
}

admission_forecast work_queue::forecast(const admission_request &terms, monotonic_time now) const
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
    const auto counted = std::chrono::duration_cast<milliseconds>(objective * countedPart);
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
    work.startsInRound = (work.startsInRound + 1) % turnsOfUrgent;
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
