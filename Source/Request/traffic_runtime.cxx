#include "traffic_runtime.h"

#include "burn_service.h"
#include "callers_api.h"
#include "coordinator.h"
#include "execute_service.h"

#include <thread>

namespace daisystile {

static constexpr milliseconds drainCheckInterval {20};

struct traffic_runtime::implementation
{
    implementation(const daemon_settings &daemonSettings, const peer_identity &identity, const view_publisher &publisher, metrics &registry)
        : settings(daemonSettings),
          self(identity),
          views(publisher),
          network(loop,
              {identity, daemonSettings.peerKey},
              {[this](const peer_identity &from, peer_message message) { receive(from, std::move(message)); },
                  [this](const peer_loss &loss) {
                      queries.peerLost(loss);
                      burn.peerLost(loss);
                      executes.peerLost(loss);
                  }}),
          owner(
              loop,
              daemonSettings.ownership,
              [this](const daemon_id &to, shard_answer answer) { deliver(to, std::move(answer)); },
              [this](server_idle idle) { serverIdle(std::move(idle)); }),
          queries(loop,
              {identity.id, identity.incarnationNumber},
              transport(),
              {daemonSettings.hedging, daemonSettings.ownership, daemonSettings.trials},
              registry),
          limits(loop, identity.id, transport().send, registry),
          platformHttp(loop),
          platform(platformHttp, {daemonSettings.platform, daemonSettings.domain}),
          runner(loop, runnerCallbacks()),
          executes(loop, platform, identity, executeTransport()),
          burn(loop, identity.id, [this](const daemon_id &to, const peer_message &message) { return network.send(to, message); }),
          callers(loop, services(), registry),
          metricRegistry(registry)
    {
        if (settings.recordTrace) {
            owner.slots().recordTraces();
        }
    }

    coordinator::transport transport()
    {
        coordinator::transport out;
        out.send = [this](const daemon_id &to, const peer_message &message) {
            return network.send(to, message);
        };
        out.searchHere = [this](const search_batch &batch) {
            owner.search(self.id, batch);
        };
        out.cancelHere = [this](const cancel_batch &batch) {
            owner.cancel(batch);
        };
        return out;
    }

    execute_runner::callbacks runnerCallbacks()
    {
        execute_runner::callbacks notify;
        notify.answer = [this](const daemon_id &to, execute_answer answer) {
            deliver(to, std::move(answer));
        };
        notify.enter = [this](slot_request request) {
            owner.slots().enter(std::move(request));
        };
        notify.leave = [this](slot_ticket_id ticket, request_end end) {
            owner.slots().leave(ticket, end);
        };
        return notify;
    }

    execute_service::transport executeTransport()
    {
        execute_service::transport out;
        out.send = [this](const daemon_id &to, const peer_message &message) {
            return network.send(to, message);
        };
        out.runHere = [this](execute_request request) {
            runner.run(self.id, std::move(request));
        };
        return out;
    }

    bool ownDomainOut() const
    {
        const auto view = views.current();
        const auto found = view->config->domains.find(settings.domain);
        return found != view->config->domains.end() && found->second.out;
    }

    callers_api::services services()
    {
        callers_api::services uses;
        uses.search = [this](search_request request, search_callback done) {
            return queries.search(std::move(request), std::move(done));
        };
        uses.execute = [this](execute_submission submission, http_responder respond) {
            executes.submit(std::move(submission), std::move(respond));
        };
        uses.accepting = [this] {
            return !draining && views.current()->ready && limits.homeSharesUsable() && !ownDomainOut();
        };
        uses.metricsText = [this] {
            return metricRegistry.text();
        };
        uses.ended = [this](const completed_request &request, const contract &terms) {
            burn.recordRequest(request, terms);
        };
        uses.admit = [this](const std::shared_ptr<const contract> &terms, milliseconds wait, admission_callback done) {
            limits.admit(terms, wait, std::move(done));
        };
        uses.release = [this](const customer_id &customer) {
            limits.release(customer);
        };
        return uses;
    }

    void receive(const peer_identity &from, peer_message message)
    {
        std::visit([&](auto &content) { dispatch(from, content); }, message);
    }

    void dispatch(const peer_identity &from, const search_batch &batch)
    {
        owner.search(from.id, batch);
    }

    void dispatch(const peer_identity &, const cancel_batch &batch)
    {
        owner.cancel(batch);
    }

    void dispatch(const peer_identity &, shard_answer &answer)
    {
        queries.receive(std::move(answer));
    }

    void dispatch(const peer_identity &from, const burn_request &request)
    {
        burn.receive(from.id, request);
    }

    void dispatch(const peer_identity &from, const burn_reply &reply)
    {
        burn.receive(from.id, reply);
    }

    void dispatch(const peer_identity &from, execute_request &request)
    {
        if (request.server.value.empty()) {
            executes.receive(from.id, request);
        } else {
            runner.run(from.id, std::move(request));
        }
    }

    void dispatch(const peer_identity &, const execute_answer &answer)
    {
        executes.receive(answer);
    }

    void dispatch(const peer_identity &from, const guard_question &question)
    {
        queries.guard().receive(from.id, question);
    }

    void dispatch(const peer_identity &, const guard_answer &answer)
    {
        queries.guard().receive(answer);
    }

    void dispatch(const peer_identity &, const quarantine_notice &notice)
    {
        queries.guard().receive(notice);
    }

    void dispatch(const peer_identity &from, const share_report &report)
    {
        limits.receive(from.id, report);
    }

    void dispatch(const peer_identity &from, const share_grant &grant)
    {
        limits.receive(from.id, grant);
    }

    // Configuration messages are sent only over the control thread's links.
    void dispatch(const peer_identity &from, const config_pull &)
    {
        logMisroutedMessage(from);
    }

    void dispatch(const peer_identity &from, const config_update &)
    {
        logMisroutedMessage(from);
    }

    static void logMisroutedMessage(const peer_identity &from)
    {
        DAISYSTILE_LOG(WARNING, "traffic") << "Ignored a configuration message that belongs to a control link." << field("peer", from.id.value);
    }

    void deliver(const daemon_id &to, shard_answer answer)
    {
        if (to == self.id) {
            queries.receive(std::move(answer));
        } else {
            network.send(to, std::move(answer));
        }
    }

    void deliver(const daemon_id &to, execute_answer answer)
    {
        if (to == self.id) {
            executes.receive(answer);
        } else {
            network.send(to, std::move(answer));
        }
    }

    void applyView()
    {
        const auto view = views.current();
        std::vector<peer_address> peers;
        for (const auto &peer : view->members) {
            if (peer.id != self.id) {
                peers.push_back({peer.id, peer.traffic});
            }
        }
        network.setPeers(peers);
        owner.setView(view);
        const auto owners = std::make_shared<const owner_map>(view);
        queries.setView(view, owners);
        executes.setView(view, owners);
        limits.setView(view);
        callers.setView(view);
        burn.setView(view);
    }

    void checkDrained(const std::function<void()> &drained)
    {
        const bool callersDone = queries.openQueries() == 0 && server->openRequests() == 0;
        if (callersDone && owner.openAttempts() == 0 && runner.openRequests() == 0) {
            executes.leave();
        }
        if (callersDone && owner.openAttempts() == 0 && runner.openRequests() == 0 && executes.idle()) {
            drained();
            return;
        }
        loop.after(drainCheckInterval, [this, drained] { checkDrained(drained); });
    }

    daemon_settings settings;
    peer_identity self;
    const view_publisher &views;
    reactor loop;
    peer_network network;
    server_owner owner;
    coordinator queries;
    contract_limits limits;
    http_client platformHttp;
    platform_client platform;
    execute_runner runner;
    execute_service executes;
    burn_service burn;
    callers_api callers;
    metrics &metricRegistry;
    std::unique_ptr<http_server> server;
    std::function<void(server_idle)> serverIdle;
    bool draining = false;
    std::thread thread;
};

traffic_runtime::traffic_runtime(const daemon_settings &settings, const peer_identity &self, const view_publisher &views, metrics &registry)
    : m_implementation(std::make_unique<implementation>(settings, self, views, registry))
{
}

traffic_runtime::~traffic_runtime()
{
    stop();
}

bool traffic_runtime::opened() const
{
    return m_implementation->loop.opened();
}

leaf::result<std::optional<traffic_runtime::addresses>> traffic_runtime::listen()
{
    auto &self = *m_implementation;
    ip_address traffic;
    const auto openTraffic = [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(traffic, self.network.listen(self.settings.traffic));
        return {};
    };
    BOOST_LEAF_AUTO(trafficOpen, openBeforeRunning("traffic", self.settings.traffic, openTraffic));
    if (!trafficOpen) {
        return std::optional<addresses>();
    }
    const auto handler = [&self](http_request request, http_responder respond) {
        self.callers.handle(std::move(request), std::move(respond));
    };
    const auto openCallers = [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(self.server, http_server::listen(self.loop, self.settings.callers, handler));
        return {};
    };
    BOOST_LEAF_AUTO(callersOpen, openBeforeRunning("callers", self.settings.callers, openCallers));
    return callersOpen ? std::optional(addresses {self.server->address(), traffic}) : std::nullopt;
}

void traffic_runtime::start(std::function<void(server_idle)> serverIdle)
{
    m_implementation->serverIdle = std::move(serverIdle);
    m_implementation->thread = std::thread([this] { m_implementation->loop.run(); });
}

void traffic_runtime::viewChanged()
{
    m_implementation->loop.post([this] { m_implementation->applyView(); });
}

void traffic_runtime::listQuarantined(std::function<void(std::vector<quarantined_request>)> done)
{
    m_implementation->loop.post([this, done = std::move(done)] { done(m_implementation->queries.guard().quarantined()); });
}

void traffic_runtime::liftQuarantine(service_name service, fingerprint request)
{
    m_implementation->loop.post([this, service = std::move(service), request] { m_implementation->queries.guard().lift(service, request); });
}

void traffic_runtime::gateTrace(backend_server_id server, std::function<void(std::optional<std::string>)> done)
{
    m_implementation->loop.post([this, server = std::move(server), done = std::move(done)] { done(m_implementation->owner.slots().traceOf(server)); });
}

void traffic_runtime::reportBurn(std::function<void(burn_report)> done)
{
    m_implementation->loop.post([this, done = std::move(done)] { m_implementation->burn.report(done); });
}

void traffic_runtime::leaseChanged(const lease_change &change)
{
    m_implementation->loop.post([this, change] { m_implementation->owner.change(change); });
}

void traffic_runtime::drain(std::function<void()> drained)
{
    m_implementation->loop.post([this, drained = std::move(drained)] {
        m_implementation->draining = true;
        m_implementation->server->stopListening();
        m_implementation->checkDrained(drained);
    });
}

void traffic_runtime::stop()
{
    if (!m_implementation->thread.joinable()) {
        return;
    }
    m_implementation->loop.stop();
    m_implementation->thread.join();
}

} // namespace daisystile
