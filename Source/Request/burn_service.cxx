#include "burn_service.h"

namespace daisystile {

static constexpr seconds replyTimeout {3};

static wall_seconds wallNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<wall_seconds>(std::chrono::duration_cast<seconds>(sinceEpoch).count());
}

namespace {

struct pending_report
{
    burn_reply_collector collection;
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
        for (const auto &[number, report] : pendingReports) {
            loop.cancelTimer(report.timer);
        }
    }

    void requestReplies(std::uint64_t number, pending_report &report, const std::set<daemon_id> &others)
    {
        for (const auto &other : others) {
            if (!send(other, burn_request {number})) {
                report.collection.markUnreachable(other);
            }
        }
        for (const auto &part : recorder.reply(number, wallNow())) {
            report.collection.addReply(self, part);
        }
    }

    void finishIfComplete(std::uint64_t number)
    {
        const auto found = pendingReports.find(number);
        if (found != pendingReports.end() && found->second.collection.complete()) {
            finish(number);
        }
    }

    void finish(std::uint64_t number)
    {
        auto node = pendingReports.extract(number);
        loop.cancelTimer(node.mapped().timer);
        node.mapped().done(node.mapped().collection.report(view->config->contracts, wallNow()));
    }

    reactor &loop;
    daemon_id self;
    send_function send;
    burn_recorder recorder;
    std::shared_ptr<const fleet_view> view = std::make_shared<const fleet_view>();
    std::map<std::uint64_t, pending_report> pendingReports;
    std::uint64_t lastNumber = 0;
};

burn_service::burn_service(reactor &loop, daemon_id self, send_function send)
    : m_implementation(std::make_unique<implementation>(loop, std::move(self), std::move(send)))
{
}

burn_service::~burn_service() = default;

void burn_service::setView(std::shared_ptr<const fleet_view> view)
{
    m_implementation->recorder.recordDomainStates(view->config->domains, wallNow());
    m_implementation->view = std::move(view);
}

void burn_service::recordRequest(const completed_request &request, const contract &terms)
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
    const auto found = m_implementation->pendingReports.find(reply.number);
    if (found != m_implementation->pendingReports.end()) {
        found->second.collection.addReply(from, reply);
        m_implementation->finishIfComplete(reply.number);
    }
}

void burn_service::peerLost(const peer_loss &loss)
{
    std::vector<std::uint64_t> numbers;
    for (auto &[number, report] : m_implementation->pendingReports) {
        report.collection.markUnreachable(loss.id);
        numbers.push_back(number);
    }
    for (const auto number : numbers) {
        m_implementation->finishIfComplete(number);
    }
}

void burn_service::report(std::function<void(burn_report)> done)
{
    auto &service = *m_implementation;
    const auto number = ++service.lastNumber;
    std::set<daemon_id> others;
    for (const auto &other : service.view->members) {
        if (other.id != service.self) {
            others.insert(other.id);
        }
    }
    auto asked = others;
    asked.insert(service.self);
    auto &report = service.pendingReports.emplace(number, pending_report {burn_reply_collector(number, std::move(asked)), 0, std::move(done)}).first->second;
    report.timer = service.loop.after(replyTimeout, [this, number] { m_implementation->finish(number); });
    service.requestReplies(number, report, others);
    service.finishIfComplete(number);
}

} // namespace daisystile
