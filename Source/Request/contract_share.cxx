#include "contract_share.h"

#include <algorithm>

namespace daisystile {

// Headroom above the measured demand. A minimum part of the home share is never deposited, even without demand.
static constexpr std::uint64_t headroomPercent = 125;
static constexpr std::uint64_t wholeContractMillionths = 1'000'000;
static constexpr std::uint32_t minKeptDivisor = 200;
static constexpr std::size_t membersPerSecond = 33;
static constexpr int reportsPerDeposit = 6;
static constexpr int loansPerDeposit = 3;
// Bound on the clock drift between two machines, as a fraction of a deposit's lifetime.
static constexpr int clockDriftDivisor = 100;

share_times shareTimesFor(std::size_t members)
{
    const milliseconds deposit = std::max<milliseconds>(share_times {}.deposit, seconds {members / membersPerSecond});
    return {deposit, deposit / loansPerDeposit, deposit / reportsPerDeposit};
}

static std::int64_t toMicroseconds(monotonic_time time)
{
    return std::chrono::duration_cast<microseconds>(time.time_since_epoch()).count();
}

static monotonic_time fromMicroseconds(std::int64_t stampUs)
{
    return monotonic_time {microseconds {stampUs}};
}

void expiring_amounts::add(std::uint32_t amount, monotonic_time until)
{
    m_amounts.emplace_back(until, amount);
}

void expiring_amounts::expire(monotonic_time now)
{
    std::erase_if(m_amounts, [now](const auto &entry) { return entry.first <= now; });
}

std::uint32_t expiring_amounts::largestValidAfter(monotonic_time time) const
{
    std::uint32_t most = 0;
    for (const auto &[until, amount] : m_amounts) {
        most = until > time ? std::max(most, amount) : most;
    }
    return most;
}

bool expiring_amounts::empty() const
{
    return m_amounts.empty();
}

static void removeExpired(std::map<daemon_id, expiring_amounts> &all, monotonic_time now)
{
    for (auto entry = all.begin(); entry != all.end();) {
        entry->second.expire(now);
        entry = entry->second.empty() ? all.erase(entry) : std::next(entry);
    }
}

// A previous keeper may lend a deposit until it expires.
static std::uint32_t deposited(const contract_share &book, monotonic_time now, const daemon_id *leftOut = nullptr)
{
    std::uint32_t sum = 0;
    for (const auto &[keeper, amounts] : book.deposits) {
        sum += leftOut != nullptr && keeper == *leftOut ? 0 : amounts.largestValidAfter(now);
    }
    return sum;
}

static std::uint32_t ownShare(contract_share &book, monotonic_time now)
{
    if (now < book.homeUsableFrom) {
        return 0;
    }
    const auto given = deposited(book, now);
    return book.homeShare > given ? book.homeShare - given : 0;
}

std::uint32_t usableShare(contract_share &book, monotonic_time now)
{
    return ownShare(book, now) + (now < book.loanUntil ? book.loan : 0);
}

share_report
makeReport(contract_share &book, const customer_id &customer, const daemon_id &keeper, std::uint32_t demand, const share_times &times, monotonic_time now)
{
    if (book.keeper != keeper) {
        book.keeper = keeper;
        book.keeperStampUs = 0;
    }
    removeExpired(book.deposits, now);
    const auto demandWithHeadroom = static_cast<std::uint32_t>(std::min<std::uint64_t>(demand * headroomPercent / 100, wholeContractMillionths));
    const auto needed = std::max(demandWithHeadroom, book.homeShare / minKeptDivisor);
    const auto reserved = needed + deposited(book, now, &keeper);
    const auto offered = now < book.homeUsableFrom || book.homeShare <= reserved ? 0 : book.homeShare - reserved;
    share_report report {.customer = customer, .sentAtUs = toMicroseconds(now), .keeperStampUs = book.keeperStampUs};
    if (book.keeperStampUs != 0 && offered > 0) {
        report.deposit = offered;
        book.deposits[keeper].add(offered, now + times.deposit + times.deposit / clockDriftDivisor);
    }
    const auto own = ownShare(book, now);
    report.wanted = needed > own ? needed - own : 0;
    return report;
}

void applyGrant(contract_share &book, const share_grant &grant, const daemon_id &from, monotonic_time now)
{
    if (from != book.keeper) {
        return;
    }
    book.keeperStampUs = std::max(book.keeperStampUs, grant.keeperStampUs);
    const auto until = fromMicroseconds(grant.sentAtUs) + milliseconds {grant.loanMs};
    if (until > now && until > book.loanUntil) {
        book.loan = grant.loan;
        book.loanUntil = until;
    }
}

static void takeDeposit(share_pool &pool, const daemon_id &from, const share_report &report, const share_times &times)
{
    if (report.keeperStampUs == 0) {
        return;
    }
    // The lifetime starts at a time before the depositor sent the deposit, so that it expires here first. A smaller
    // deposit doesn't end an earlier, larger one: the depositor doesn't use that share until it expires, either.
    pool.deposits[from].add(report.deposit, fromMicroseconds(report.keeperStampUs) + times.deposit);
}

static std::uint64_t depositedUntil(share_pool &pool, monotonic_time now, monotonic_time until)
{
    removeExpired(pool.deposits, now);
    std::uint64_t sum = 0;
    for (const auto &[from, amounts] : pool.deposits) {
        sum += amounts.largestValidAfter(until);
    }
    return sum;
}

share_grant grantLoan(share_pool &pool, const daemon_id &from, const share_report &report, const share_times &times, monotonic_time now)
{
    takeDeposit(pool, from, report, times);
    const auto until = now + times.loan;
    const auto whole = depositedUntil(pool, now, until);
    std::erase_if(pool.loans, [now](const auto &entry) { return entry.second.until <= now; });
    std::uint64_t lentToOthers = 0;
    std::uint64_t wantedByAll = report.wanted;
    for (const auto &[other, loan] : pool.loans) {
        lentToOthers += other == from ? 0 : loan.amounts.largestValidAfter(now);
        wantedByAll += other == from ? 0 : loan.wanted;
    }
    const auto fair = wantedByAll > whole ? whole * report.wanted / wantedByAll : report.wanted;
    const auto left = whole > lentToOthers ? whole - lentToOthers : 0;
    const auto amount = static_cast<std::uint32_t>(std::min<std::uint64_t>(fair, left));
    auto &loan = pool.loans[from];
    loan.amounts.expire(now);
    loan.amounts.add(amount, until);
    loan.wanted = report.wanted;
    loan.until = until;
    return {report.customer, report.sentAtUs, toMicroseconds(now), amount, static_cast<std::uint32_t>(times.loan.count())};
}

} // namespace daisystile
