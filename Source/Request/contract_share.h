#pragma once

#include <Connection/connection.h>

#include <deque>
#include <map>

namespace daisystile {

/// Lifetimes of deposits and loans and the report interval. They grow with the fleet's size, so that the message rate
/// does not.
struct share_times
{
    milliseconds deposit {3000};
    milliseconds loan {1000};
    milliseconds report {500};
};

share_times shareTimesFor(std::size_t members);

/// Amounts with expiry times. A new amount supersedes earlier ones, but each stays valid until it expires, since the
/// message with the new amount may be lost.
class expiring_amounts
{
public:
    void add(std::uint32_t amount, monotonic_time until);
    /// Removes expired amounts.
    void expire(monotonic_time now);
    /// Returns the largest amount that is still valid after the given time.
    std::uint32_t largestValidAfter(monotonic_time time) const;
    bool empty() const;

private:
    std::deque<std::pair<monotonic_time, std::uint32_t>> m_amounts;
};

/// One daemon's share of a customer's contract, in millionths. The home shares of all daemons add up to the contract.
/// A daemon deposits what it doesn't need with the customer's keeper, the member chosen to redistribute shares, and
/// borrows what it lacks.
struct contract_share
{
    std::uint32_t homeShare = 0;
    /// The home share is not used before this time, since a previous incarnation of this daemon may have deposited it.
    monotonic_time homeUsableFrom;
    /// Deposits that each keeper may still lend to others.
    std::map<daemon_id, expiring_amounts> deposits;
    std::uint32_t loan = 0;
    monotonic_time loanUntil;
    /// The keeper's time stamp from its newest grant, returned in the next report.
    std::int64_t keeperStampUs = 0;
    daemon_id keeper;
};

/// Returns the share that may be used now, in millionths of the contract.
std::uint32_t usableShare(contract_share &book, monotonic_time now);
/// Creates a report to the keeper that deposits the unused share and requests the missing share.
share_report
makeReport(contract_share &book, const customer_id &customer, const daemon_id &keeper, std::uint32_t demand, const share_times &times, monotonic_time now);
/// Applies a loan granted by the keeper.
void applyGrant(contract_share &book, const share_grant &grant, const daemon_id &from, monotonic_time now);

/// A keeper's pool for one customer's contract. It holds only what daemons deposited.
struct share_pool
{
    struct loan
    {
        expiring_amounts amounts;
        std::uint32_t wanted = 0;
        monotonic_time until;
    };

    std::map<daemon_id, expiring_amounts> deposits;
    std::map<daemon_id, loan> loans;
};

/// Processes a report and grants a loan in proportion to demand, never more than the deposits that outlast the loan.
share_grant grantLoan(share_pool &pool, const daemon_id &from, const share_report &report, const share_times &times, monotonic_time now);

} // namespace daisystile
