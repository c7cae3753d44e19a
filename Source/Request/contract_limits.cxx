#include "contract_limits.h"

#include "keeper_choice.h"

#include <algorithm>
#include <unordered_map>

namespace daisystile {

static constexpr std::uint32_t wholeContractMillionths = 1'000'000;
// Limit on the requests of one customer that wait for a share; further requests are refused at once.
static constexpr std::size_t maxHeldRequests = 64;
static constexpr milliseconds maxHoldTime {250};
static constexpr int holdDivisor = 4;
static constexpr milliseconds heldRetryInterval {5};
static constexpr milliseconds urgentReportInterval {50};
// Home shares are sized for the largest fleet seen within this time, so that a partitioned part of the fleet doesn't
// use the shares of the other part.
static constexpr seconds fleetSizeRetention {600};

namespace {

struct held_request
{
    monotonic_time until;
    admission_callback done;
};

struct limited_customer
{
    std::shared_ptr<const contract> terms;
    contract_gate gate;
    contract_share book;
    std::deque<held_request> held;
    monotonic_time reportedAt;
};

} // namespace

struct contract_limits::implementation
{
    implementation(reactor &eventLoop, daemon_id own, send_function sendFunction, metrics &registry)
        : loop(eventLoop),
          self(std::move(own)),
          send(std::move(sendFunction)),
          startedAt(eventLoop.now()),
          held(registry.counter("daisystile_requests_held_total", "Requests that waited for a share of their contract.")),
          refusedRate(registry.counter("daisystile_requests_over_contract_total", "Requests refused by the contract.", {{"limit", "rate"}})),
          refusedOpen(registry.counter("daisystile_requests_over_contract_total", "Requests refused by the contract.", {{"limit", "concurrency"}})),
          reports(registry.counter("daisystile_share_reports_total", "Reports to share keepers."))
    {
        report();
    }

    void applyView()
    {
        const auto now = loop.now();
        sizes.emplace_back(now, view->members.size());
        std::erase_if(sizes, [now, this](const auto &entry) { return now - entry.first > fleetSizeRetention && &entry != &sizes.back(); });
        std::size_t most = 1;
        for (const auto &[at, size] : sizes) {
            most = std::max(most, size);
        }
        times = shareTimesFor(most);
        std::erase_if(customers, [this](const auto &entry) { return !view->config->contracts.contains(entry.first) && entry.second.held.empty(); });
        for (const auto &[name, terms] : view->config->contracts) {
            auto &customer = customers[name];
            customer.terms = terms;
            customer.book.homeShare = wholeContractMillionths / static_cast<std::uint32_t>(most);
            customer.book.homeUsableFrom = startedAt + times.deposit;
        }
    }

    void admit(const std::shared_ptr<const contract> &terms, milliseconds wait, admission_callback done)
    {
        auto &customer = customers[terms->customer];
        customer.terms = terms;
        const auto now = loop.now();
        recordArrival(customer.gate, static_cast<std::uint32_t>(customer.held.size()), now);
        const auto verdict = customer.held.empty() ? daisystile::admit(customer.gate, *terms, usableShare(customer.book, now), now) : gate_verdict::over_rate;
        if (verdict == gate_verdict::admitted) {
            done(std::nullopt);
        } else if (customer.held.size() >= maxHeldRequests) {
            refuse(verdict, done);
        } else {
            hold(customer, wait, std::move(done));
        }
    }

    void refuse(gate_verdict verdict, const admission_callback &done)
    {
        (verdict == gate_verdict::over_rate ? refusedRate : refusedOpen).add();
        done(admission_refusal {verdict});
    }

    void hold(limited_customer &customer, milliseconds wait, admission_callback done)
    {
        held.add();
        const auto now = loop.now();
        customer.held.push_back({now + std::min(maxHoldTime, wait / holdDivisor), std::move(done)});
        if (now - customer.reportedAt >= urgentReportInterval) {
            reportOne(customer);
        }
        if (retryTimer == 0) {
            retryTimer = loop.after(heldRetryInterval, [this] { retryHeld(); });
        }
    }

    void retryHeld()
    {
        retryTimer = 0;
        bool more = false;
        for (auto &[name, customer] : customers) {
            admitHeld(customer);
            repeatUrgentReport(customer);
            more = more || !customer.held.empty();
        }
        if (more && retryTimer == 0) {
            retryTimer = loop.after(heldRetryInterval, [this] { retryHeld(); });
        }
    }

    // The last report does not include requests that arrived at the same time as the one that triggered it.
    void repeatUrgentReport(limited_customer &customer)
    {
        if (!customer.held.empty() && loop.now() - customer.reportedAt >= urgentReportInterval) {
            reportOne(customer);
        }
    }

    // Admits held requests in order of arrival and refuses those whose hold time is over.
    void admitHeld(limited_customer &customer)
    {
        const auto now = loop.now();
        while (!customer.held.empty()) {
            const auto verdict = daisystile::admit(customer.gate, *customer.terms, usableShare(customer.book, now), now);
            if (verdict != gate_verdict::admitted && now < customer.held.front().until) {
                return;
            }
            const auto next = std::move(customer.held.front());
            customer.held.pop_front();
            if (verdict == gate_verdict::admitted) {
                next.done(std::nullopt);
            } else {
                refuse(verdict, next.done);
            }
        }
    }

    void report()
    {
        reportTimer = loop.after(times.report, [this] { report(); });
        for (auto &[name, customer] : customers) {
            if (customer.terms) {
                reportOne(customer);
            }
        }
    }

    void reportOne(limited_customer &customer)
    {
        const auto now = loop.now();
        const auto keepers = chooseKeepers(stableHash(customer.terms->customer.value), view->members, 1);
        if (keepers.empty()) {
            return;
        }
        const auto demand = takeDemand(customer.gate, *customer.terms, now);
        customer.reportedAt = now;
        const auto message = makeReport(customer.book, customer.terms->customer, keepers.front()->id, demand, times, now);
        reports.add();
        if (keepers.front()->id == self) {
            handleReport(self, message);
        } else {
            send(keepers.front()->id, message);
        }
    }

    void handleReport(const daemon_id &from, const share_report &message)
    {
        const auto grant = grantLoan(pools[message.customer], from, message, times, loop.now());
        if (from == self) {
            take(self, grant);
        } else {
            send(from, grant);
        }
    }

    void take(const daemon_id &from, const share_grant &grant)
    {
        const auto found = customers.find(grant.customer);
        if (found != customers.end()) {
            applyGrant(found->second.book, grant, from, loop.now());
            admitHeld(found->second);
        }
    }

    reactor &loop;
    daemon_id self;
    send_function send;
    monotonic_time startedAt;
    metric_counter held;
    metric_counter refusedRate;
    metric_counter refusedOpen;
    metric_counter reports;
    share_times times;
    std::shared_ptr<const fleet_view> view = std::make_shared<const fleet_view>();
    std::vector<std::pair<monotonic_time, std::size_t>> sizes;
    std::map<customer_id, limited_customer> customers;
    std::map<customer_id, share_pool> pools;
    timer_id reportTimer = 0;
    timer_id retryTimer = 0;
};

contract_limits::contract_limits(reactor &loop, daemon_id self, send_function send, metrics &metricRegistry)
    : m_implementation(std::make_unique<implementation>(loop, std::move(self), std::move(send), metricRegistry))
{
}

contract_limits::~contract_limits()
{
    m_implementation->loop.cancelTimer(m_implementation->reportTimer);
    m_implementation->loop.cancelTimer(m_implementation->retryTimer);
}

void contract_limits::setView(std::shared_ptr<const fleet_view> view)
{
    m_implementation->view = std::move(view);
    m_implementation->applyView();
}

bool contract_limits::homeSharesUsable() const
{
    return m_implementation->loop.now() >= m_implementation->startedAt + m_implementation->times.deposit;
}

void contract_limits::admit(const std::shared_ptr<const contract> &terms, milliseconds wait, admission_callback done)
{
    m_implementation->admit(terms, wait, std::move(done));
}

void contract_limits::release(const customer_id &customer)
{
    const auto found = m_implementation->customers.find(customer);
    if (found != m_implementation->customers.end()) {
        daisystile::release(found->second.gate);
        m_implementation->admitHeld(found->second);
    }
}

void contract_limits::receive(const daemon_id &from, const share_report &report)
{
    if (m_implementation->view->config->contracts.contains(report.customer)) {
        m_implementation->handleReport(from, report);
    }
}

void contract_limits::receive(const daemon_id &from, const share_grant &grant)
{
    m_implementation->take(from, grant);
}

} // namespace daisystile
