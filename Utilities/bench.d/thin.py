"""End-to-end benchmark at the sizes of Sfax: rate, latency, daemon CPU per shard request, latency added to that of the servers."""

import socket
import statistics
import time

import sizes
from local_fleet import Fleet, call, contract, domains_text

DAEMONS = 8
SHARDS = 10
# The benchmark uses this latency without variance, so that any further latency is that of the daemons.
SERVER_LATENCY_MS = 5
FULL_RATE = 1000
CPU_BOUND_US = 40
ADDED_BOUND_MS = 2
TOKEN = "marshals-token"


def start(fleet, daemons=DAEMONS, services=None, **settings):
    """Starts the stand-ins and daemons and configures failure domains, the catalogue and one contract for all services."""
    services = services or sizes.sfax_services(SERVER_LATENCY_MS, 0)
    domains = sizes.SFAX["domains"]
    fleet.start_platform()
    for seed, domain in enumerate(domains):
        fleet.start_backends(domain, seed + 1)
    texts = {name: fleet.create_service(service) for name, service in services.items()}
    for i in range(daemons):
        fleet.start_daemon(f"entry-{i}", domains[i % len(domains)], sizes.SFAX["region"], **settings)
    fleet.seed_config(domains_text(domains, sizes.SFAX["region"]), texts.values(), [("marshals", contract("marshals", TOKEN, list(services), 100000))])
    fleet.wait_all_ready()
    return texts


def wait_serving(fleet, service="marshal-desk", timeout=30):
    """Waits until each daemon answers with full coverage; servers start cold and warm up slowly."""
    def serving():
        for address in fleet.callers():
            status, body = call(address, "POST", f"/v1/services/{service}/query", {"query": "warm"}, {"Authorization": "Bearer " + TOKEN})
            if status != 200 or body["coverage"]["covered"] != body["coverage"]["shards"]:
                return False
        return True

    fleet.wait(serving, "full coverage from each daemon", timeout)


def query_stream(rate, service="marshal-desk", **extra):
    return {"name": "queries", "token": TOKEN, "service": service, "rate": rate, "body": '{"query":"roster {n}"}', "timeout": 1.5, **extra}


def received(fleet):
    return sum(server["received"] for server in fleet.records()[0].values())


def load(fleet, rate, duration, warm_up):
    """Sends queries at a rate; returns (results of the measured phase, CPU time of all daemons in µs per request to a server)."""
    plan = {
        "seed": 1,
        "threads": 2,
        "duration": warm_up + duration,
        "targets": fleet.callers(),
        "streams": [query_stream(rate)],
        "phases": [{"name": "measured", "from": warm_up, "to": warm_up + duration}],
    }
    cpu = fleet.cpu_seconds()
    requests = received(fleet)
    figures = fleet.run_load(plan)
    cpu = fleet.cpu_seconds() - cpu
    requests = received(fleet) - requests
    return figures["phases"]["measured"]["queries"], cpu * 1e6 / max(requests, 1)


def server_p50_ms(service_text, count=100):
    """Measures the median response time of one idle backend server over a persistent connection."""
    host, port = service_text["servers"][0]["address"].split(":")
    request = b"POST /shards/0/search HTTP/1.1\r\nHost: x\r\nSnapshot: snapshot-1\r\nContent-Length: 2\r\n\r\n{}"
    times = []
    with socket.create_connection((host, int(port))) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(count):
            began = time.perf_counter()
            connection.sendall(request)
            connection.recv(65536)
            times.append((time.perf_counter() - began) * 1000)
    return statistics.median(times)


def measure(fleet, quick):
    duration, warm_up = (5, 2) if quick else (20, 5)
    full, cpu = load(fleet, FULL_RATE, duration, warm_up)
    half, cpu_half = load(fleet, FULL_RATE / 2, duration, warm_up)
    return {"full": full, "half": half, "cpu_us": cpu, "cpu_half_us": cpu_half}


def run(binaries, quick, checks):
    with Fleet(binaries) as fleet:
        texts = start(fleet)
        wait_serving(fleet)
        server_median_ms = server_p50_ms(texts["marshal-desk"])
        raw = measure(fleet, quick)
    full, half = raw["full"], raw["half"]
    raw["server_p50_ms"] = server_median_ms
    checks.at_least("thin.complete_queries_per_s", full["outcomes"]["complete"] / full["sent"] * full["sent_per_s"], 0.99 * FULL_RATE, "1/s")
    for percentile in ("p50", "p99", "p999"):
        checks.report(f"thin.{percentile}", full["latency_ms"][percentile], "ms", server_median_ms)
    checks.report("thin.send_lag_p99", full["send_lag_ms"]["p99"], "ms")
    checks.at_most("thin.cpu_per_shard_request", raw["cpu_us"], CPU_BOUND_US, "us")
    checks.at_most("thin.added_p50_at_half_load", half["latency_ms"]["p50"] - server_median_ms, ADDED_BOUND_MS, "ms", server_median_ms)
    return raw
