#include "burn_service.h"

namespace daisystile {

static constexpr seconds replyTimeout {3};

static wall_seconds wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<wall_seconds>(std::chrono::duration_cast<seconds>(sinceEpoch).count());
}

namespace {

struct open_report
{
    burn_collection collection;
    timer_id timer = 0;
    std::function<void(burn_report)> done;
};

} // namespace

struct burn_service::implementation
{
    implementation(reactor &eventLoop, daemon_id id, send_function sendMessage)
        : loop(eventLoop),
          self(std::move(id)),
          send(std::move(sendMessage))
    {
    }

    ~implementation()
    {
        for (const auto &[number, report] : reports) {
            loop.cancelTimer(report.timer);
        }
    }

    void ask(std::uint64_t number, open_report &report, const std::set<daemon_id> &others)
    {
        for (const auto &other : others) {
            if (!send(other, burn_request {number})) {
                report.collection.give(other);
            }
        }
        for (const auto &part : recorder.reply(number, wallNow())) {
            report.collection.take(self, part);
        }
    }

    void finishIfComplete(std::uint64_t number)
    {
        const auto found = reports.find(number);
        if (found != reports.end() && found->second.collection.complete()) {
            finish(number);
        }
    }

    void finish(std::uint64_t number)
    {
        auto node = reports.extract(number);
        loop.cancelTimer(node.mapped().timer);
        node.mapped().done(node.mapped().collection.report(view->config->contracts, wallNow()));
    }

    reactor &loop;
    daemon_id self;
    send_function send;
    burn_recorder recorder;
    std::shared_ptr<const fleet_view> view = std::make_shared<const fleet_view>();
    std::map<std::uint64_t, open_report> reports;
    std::uint64_t lastNumber = 0;
};

burn_service::burn_service(reactor &loop, daemon_id self, send_function send)
    : m_implementation(std::make_unique<implementation>(loop, std::move(self), std::move(send)))
{
}

burn_service::~burn_service() = default;

void burn_service::setView(std::shared_ptr<const fleet_view> view)
{
    m_implementation->recorder.noteDomains(view->config->domains, wallNow());
    m_implementation->view = std::move(view);
}

void burn_service::ended(const ended_request &request, const contract &terms)
{
    m_implementation->recorder.record(request, terms.objective, wallNow());
}

void burn_service::receive(const daemon_id &from, const burn_request &request)
{
    for (auto &part : m_implementation->recorder.reply(request.number, wallNow())) {
        m_implementation->send(from, std::move(part));
    }
}

void burn_service::receive(const daemon_id &from, const burn_reply &reply)
{
    const auto found = m_implementation->reports.find(reply.number);
    if (found != m_implementation->reports.end()) {
        found->second.collection.take(from, reply);
        m_implementation->finishIfComplete(reply.number);
    }
}

void burn_service::peerLost(const peer_loss &loss)
{
    std::vector<std::uint64_t> numbers;
    for (auto &[number, report] : m_implementation->reports) {
        report.collection.give(loss.id);
        numbers.push_back(number);
    }
    for (const auto number : numbers) {
        m_implementation->finishIfComplete(number);
    }
}

void burn_service::report(std::function<void(burn_report)> done)
{
    auto &my = *m_implementation;
    const auto number = ++my.lastNumber;
    std::set<daemon_id> others;
    for (const auto &other : my.view->members) {
        if (other.id != my.self) {
            others.insert(other.id);
        }
    }
    auto asked = others;
    asked.insert(my.self);
    auto &report = my.reports.emplace(number, open_report {burn_collection(number, std::move(asked)), 0, std::move(done)}).first->second;
    report.timer = my.loop.after(replyTimeout, [this, number] { m_implementation->finish(number); });
    my.ask(number, report, others);
    my.finishIfComplete(number);
}

} // namespace daisystile
