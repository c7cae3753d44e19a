"""A route is added whose target latency is below what its backends need; after some thirty answers it is refused for good."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import case, wire  # noqa: E402
from harness.backend import Backend  # noqa: E402
from harness.deployment import LIMITS, Deployment, route, service  # noqa: E402

DAEMONS = 2
PER_SECOND = 20
CALM_S = 4.0
APPLIED_S = 4.0
LENGTH_S = 30.0
WORK_S = 0.25
TARGET_MS = 500
TARGET_BELOW_WORK_MS = 200
DEADLINE_MS = 4000


def configuration(routes):
    return {"routes": routes, "services": [service("logbook")], "limits": LIMITS}


async def ask(daemon, name, number, served, record):
    headers = [("Request-Id", f"{name}{number}"), ("Deadline-Ms", DEADLINE_MS)]
    sent = time.monotonic()
    try:
        answer = await wire.call(daemon.clients, wire.request("GET", f"/{name}/{number}", "desk.example", headers), DEADLINE_MS / 1000)
        outcome = answer.status if answer else "closed"
    except (asyncio.TimeoutError, OSError) as error:
        outcome = type(error).__name__
    served[name].append(outcome == 200)
    record.line(f"{name}{number} to {daemon.name}: {outcome}", sent)


async def play(record):
    first = route("first", "logbook", target_latency_ms=TARGET_MS)
    later = route("later", "logbook", target_latency_ms=TARGET_BELOW_WORK_MS if case.trouble() else TARGET_MS)
    deployment = Deployment(daemons=DAEMONS)
    # 40 slots for 10 requests at a time.
    backends = [Backend(deployment.store, f"i-{n}", "logbook", "east", capacity=10, work_s=WORK_S) for n in range(4)]
    served, asks = {"first": [], "later": []}, []
    try:
        await deployment.start(configuration([first]), backends)
        await asyncio.sleep(CALM_S)
        await deployment.configure(configuration([first, later]))
        record.say(f"a route is added, target latency {later['target_latency_ms']} ms, work {WORK_S * 1000:.0f} ms")
        await asyncio.sleep(APPLIED_S)
        began = time.monotonic()
        for number in range(int(PER_SECOND * LENGTH_S)):
            await asyncio.sleep(max(0.0, began + number / PER_SECOND - time.monotonic()))
            name = "first" if number // DAEMONS % 2 else "later"
            asks.append(asyncio.create_task(ask(deployment.daemons[number % DAEMONS], name, number, served, record)))
        await asyncio.gather(*asks)
    finally:
        await deployment.stop()
    shares = {name: sum(each) / len(each) for name, each in served.items()}
    counts = {name: f"{sum(each)} of {len(each)}" for name, each in served.items()}
    record.say(f"served: {counts}")
    return shares["later"] * 4 >= shares["first"]


case.main(__file__, play)
