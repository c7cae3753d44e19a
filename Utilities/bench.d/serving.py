"""Serving under faults at the sizes of Sfax: stragglers, a cold failure domain, snapshot and shard map changes, a noisy neighbour."""

import threading
import time

import sizes
import thin
from local_fleet import Fleet, call, contract, query_service

DAEMONS = 8
SERVICE = "marshal-desk"
SHARDS = 10
SERVER_LATENCY_MS = 5
RATE = 400
STRAGGLER_FACTOR = 20
STRAGGLER_EVERY = 10
P99_RATIO_BOUND = 2
EXTRA_LOAD_BOUND = 0.05
COVERAGE_BOUND = 0.999
WARM_UP_MS = 5000
TRAFFIC_RECOVERY_S = 30
NEIGHBOUR_RATIO_BOUND = 1.1


def services():
    return {SERVICE: query_service(SERVICE, sizes.SFAX["domains"], SHARDS, 3, 30, SERVER_LATENCY_MS, 0.3)}


def start(fleet, **settings):
    texts = thin.start(fleet, DAEMONS, services(), **settings)
    thin.wait_serving(fleet, SERVICE)
    return texts


def run_phase(fleet, duration, streams, **plan):
    """Runs a load; returns its results and the number of requests that each backend server received."""
    before = fleet.records()[0]
    figures = fleet.run_load({"seed": 1, "threads": 2, "duration": duration, "targets": fleet.callers(), "streams": streams, **plan})
    after = fleet.records()[0]
    return figures, {server: after[server]["received"] - before[server]["received"] for server in after}


def extra_load(figures, received):
    queries = figures["phases"]["all"]["queries"]
    answered = queries["outcomes"]["complete"] + queries["outcomes"]["partial"]
    return sum(received.values()) / max(answered * SHARDS, 1) - 1


def straggler_run(binaries, duration, **settings):
    stragglers = [f"{SERVICE}-{i // 3}-{i % 3}" for i in range(0, 3 * SHARDS, STRAGGLER_EVERY)]
    with Fleet(binaries) as fleet:
        start(fleet, **settings)
        run_phase(fleet, 2, [thin.query_stream(RATE, SERVICE)])
        clean, clean_received = run_phase(fleet, duration, [thin.query_stream(RATE, SERVICE)])
        fleet.set_faults({"straggler": STRAGGLER_FACTOR}, servers=stragglers)
        slow, slow_received = run_phase(fleet, duration, [thin.query_stream(RATE, SERVICE)])
    return {
        "clean": clean["phases"]["all"]["queries"],
        "clean_extra_load": extra_load(clean, clean_received),
        "stragglers": slow["phases"]["all"]["queries"],
        "stragglers_extra_load": extra_load(slow, slow_received),
    }


def straggler_checks(binaries, quick, checks):
    duration = 4 if quick else 20
    raw = {"quantile": straggler_run(binaries, duration, hedging="quantile"), "none": straggler_run(binaries, duration, hedging="none")}
    if not quick:
        raw["fixed_delay"] = straggler_run(binaries, duration, hedging="fixed_delay")
        raw["quantile_with_suppression"] = straggler_run(binaries, duration, hedging="quantile_with_suppression")
        raw["every_daemon"] = straggler_run(binaries, duration, ownership="every_daemon")

    def ratio(run):
        return run["stragglers"]["latency_ms"]["p99"] / run["clean"]["latency_ms"]["p99"]

    hedged, plain = raw["quantile"], raw["none"]
    checks.at_most("serving.stragglers_p99_ratio", ratio(hedged), P99_RATIO_BOUND, "times fault-free", ratio(plain))
    checks.at_most("serving.stragglers_extra_load", hedged["stragglers_extra_load"], EXTRA_LOAD_BOUND, "share", plain["stragglers_extra_load"])
    checks.at_least("serving.stragglers_coverage", hedged["stragglers"]["coverage"], COVERAGE_BOUND, "share", plain["stragglers"]["coverage"])
    for name in sorted(set(raw) - {"quantile", "none"}):
        checks.report(f"serving.stragglers_p99_ratio.{name}", ratio(raw[name]), "times fault-free", ratio(plain))
        checks.report(f"serving.stragglers_extra_load.{name}", raw[name]["stragglers_extra_load"], "share", plain["stragglers_extra_load"])
    return raw


def share_of(received, domain, servers):
    total = sum(received.values())
    return sum(count for server, count in received.items() if servers[server]["domain"] == domain) / max(total, 1)


def cold_run(binaries, quick, **settings):
    domain = sizes.SFAX["domains"][0]
    with Fleet(binaries) as fleet:
        start(fleet, **settings)
        fleet.set_faults({"warm_up_ms": WARM_UP_MS})
        run_phase(fleet, 2, [thin.query_stream(RATE, SERVICE)])
        fleet.set_faults({"crash": True}, domains=[domain])
        began = time.monotonic()
        figures, _ = run_phase(fleet, 8 if quick else 20, [thin.query_stream(RATE, SERVICE)], interval=1)
        recovered_after_s, share = None, None
        while not quick and time.monotonic() - began < WARM_UP_MS / 1000 + TRAFFIC_RECOVERY_S:
            _, received = run_phase(fleet, 2, [thin.query_stream(RATE, SERVICE)])
            share = share_of(received, domain, fleet.records()[0])
            if share >= 0.9 / len(sizes.SFAX["domains"]):
                recovered_after_s = time.monotonic() - began
                break
        servers = fleet.records()[0]
    return {
        "load": figures["phases"]["all"]["queries"],
        "intervals": [{**interval["streams"]["queries"], "from": interval["from"]} for interval in figures["intervals"]],
        "over_capacity": sum(server["over_capacity_while_cold"] for server in servers.values()),
        "most_running_cold": max(server["most_running_cold"] for server in servers.values()),
        "back_after_s": recovered_after_s,
        "last_share": share,
    }


def cold_checks(binaries, quick, checks):
    raw = {"owner": cold_run(binaries, quick)}
    baseline = None
    if not quick:
        raw["every_daemon"] = cold_run(binaries, True, ownership="every_daemon")
        baseline = raw["every_daemon"]["over_capacity"]
    run = raw["owner"]
    checks.at_most("serving.cold_over_capacity", run["over_capacity"], 0, "requests", baseline)
    checks.at_least("serving.cold_coverage", run["load"]["coverage"], COVERAGE_BOUND, "share")
    if not quick:
        checks.at_most("serving.cold_back_to_share", run["back_after_s"], WARM_UP_MS / 1000 + TRAFFIC_RECOVERY_S, "s")
    return raw


class CatalogueChanges(threading.Thread):
    """Publishes new snapshots and shard maps while queries run.

    The servers load each version before the catalogue refers to it and drop it after the catalogue has moved on.
    """

    def __init__(self, fleet, text, period_s):
        super().__init__()
        self.fleet, self.text, self.period_s = fleet, text, period_s
        self.ended = threading.Event()
        self.made = 0

    def update_placement(self, body):
        for backend in self.fleet.backends.values():
            call(backend.addresses["control"], "POST", "/control/placement", {"services": [SERVICE], **body})

    def run(self):
        while not self.ended.wait(self.period_s):
            self.made += 1
            old, new = self.text["snapshot"], f"snapshot-{self.made + 1}"
            self.update_placement({"addSnapshots": [new]})
            self.text["snapshot"] = new
            if self.made % 2 == 0:
                self.move_shards()
            self.fleet.tool("service", "apply", self.fleet.write(f"{SERVICE}-{self.made}.json", self.text))
            self.update_placement({"dropSnapshots": [old]})

    def move_shards(self):
        """Rotates the shards under the next map version; servers keep the placement of the previous version."""
        self.text["map_version"] += 1
        self.text["shards"] = self.text["shards"][1:] + self.text["shards"][:1]
        for shard, placement in enumerate(self.text["shards"]):
            body = {"servers": placement["replicas"], "mapVersion": self.text["map_version"], "shards": [shard]}
            for backend in self.fleet.backends.values():
                call(backend.addresses["control"], "POST", "/control/placement", body)


def change_checks(binaries, quick, checks):
    queries = 1500 if quick else 10000
    with Fleet(binaries) as fleet:
        texts = start(fleet)
        fleet.set_faults({"late_ms": 60, "late_probability": 0.02, "foreign_probability": 0.01})
        changes = CatalogueChanges(fleet, texts[SERVICE], 0.7 if quick else 2)
        changes.start()
        figures, _ = run_phase(fleet, queries / RATE, [thin.query_stream(RATE, SERVICE, check_results=True)])
        changes.ended.set()
        changes.join()
    load = figures["phases"]["all"]["queries"]
    checks.at_most("serving.changes_false_results", load["false_results"], 0, "results of another query, shard or snapshot")
    checks.at_most("serving.changes_false_coverage", load["incoherent"], 0, "answers")
    checks.report("serving.changes_queries", load["sent"], "queries")
    checks.report("serving.changes_coverage", load["coverage"], "share")
    return {"load": load, "changes": changes.made}


def neighbour_checks(binaries, quick, checks):
    duration = 4 if quick else 15
    allowed = 100
    with Fleet(binaries) as fleet:
        start(fleet)
        fleet.tool("contract", "apply", fleet.write("greedy.toml", contract("greedy", "greedy-token", [SERVICE], allowed, urgency="normal")))
        fleet.wait_all_ready()
        quiet = thin.query_stream(RATE, SERVICE)
        greedy = {**thin.query_stream(10 * allowed, SERVICE), "name": "greedy", "token": "greedy-token"}
        run_phase(fleet, 2, [quiet])
        alone, _ = run_phase(fleet, duration, [quiet, {**greedy, "rate": allowed}])
        beside, _ = run_phase(fleet, duration, [quiet, greedy])
    alone, beside = alone["phases"]["all"], beside["phases"]["all"]
    ratio = beside["queries"]["latency_ms"]["p99"] / alone["queries"]["latency_ms"]["p99"]
    checks.at_most("serving.neighbour_p99_ratio", ratio, NEIGHBOUR_RATIO_BOUND, "times alone", alone["queries"]["latency_ms"]["p99"])
    served = beside["greedy"]["outcomes"]["complete"] / duration
    checks.at_most("serving.greedy_served_per_s", served, allowed * 1.1, "1/s", 10 * allowed)
    return {"alone": alone, "beside": beside}


SCENARIOS = {"stragglers": straggler_checks, "cold": cold_checks, "changes": change_checks, "neighbour": neighbour_checks}


def run(binaries, quick, checks):
    raw = {}
    for name, scenario in SCENARIOS.items():
        try:
            raw[name] = scenario(binaries, quick, checks)
        except RuntimeError as error:
            # A failed scenario must not discard the results of the others.
            raw[name] = {"error": str(error)}
            checks.at_most(f"serving.{name}_ran", None, 0, "errors")
    return raw
