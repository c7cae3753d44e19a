#pragma once

#include <Connection/connection.h>

#include <deque>
#include <map>

namespace daisystile {

/// How long a deposit or a loan of shares lasts, by the fleet's size, so that messages don't grow with it.
struct share_times
{
    milliseconds deposit {3000};
    milliseconds loan {1000};
    milliseconds report {500};
};

share_times shareTimesFor(std::size_t members);

/// Amounts of which each replaces those before it, but counts until its time is over, as word of the later may be lost.
class lasting_amounts
{
public:
    void add(std::uint32_t amount, monotonic_time until);
    /// Drops those whose time is over.
    void expire(monotonic_time now);
    /// The largest whose time goes on beyond the given one.
    std::uint32_t largestBeyond(monotonic_time time) const;
    bool empty() const;

private:
    std::deque<std::pair<monotonic_time, std::uint32_t>> m_amounts;
};

/// One customer's contract as one daemon holds it, in millionths. The home parts of all daemons add up to the whole;
/// what a daemon doesn't need it deposits with the customer's keeper, what it lacks it borrows there.
struct share_book
{
    std::uint32_t home = 0;
    /// Not to be used before: a former life of this daemon may have deposited it.
    monotonic_time homeFrom;
    /// What each keeper may still lend on.
    std::map<daemon_id, lasting_amounts> deposits;
    std::uint32_t loan = 0;
    monotonic_time loanUntil;
    /// The keeper's clock in its newest grant, sent back with the next report.
    std::int64_t keeperStampUs = 0;
    daemon_id keeper;
};

/// Millionths of the contract that may be used now.
std::uint32_t usableShare(share_book &book, monotonic_time now);
/// A report to the keeper: deposits what the demand leaves over and asks for what it lacks.
share_report
makeReport(share_book &book, const customer_id &customer, const daemon_id &keeper, std::uint32_t demand, const share_times &times, monotonic_time now);
/// Takes in a loan.
void takeGrant(share_book &book, const share_grant &grant, const daemon_id &from, monotonic_time now);

/// What one keeper holds of one customer's contract: only what daemons deposited with it.
struct share_pool
{
    struct loan
    {
        lasting_amounts amounts;
        std::uint32_t wanted = 0;
        monotonic_time until;
    };

    std::map<daemon_id, lasting_amounts> deposits;
    std::map<daemon_id, loan> loans;
};

/// Takes a report in and lends, by demand, never more than is deposited beyond the loan's end.
share_grant lend(share_pool &pool, const daemon_id &from, const share_report &report, const share_times &times, monotonic_time now);

} // namespace daisystile
