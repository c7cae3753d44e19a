"""The operator lifts the only quota while its tenant presses: requests that wait for a token are never answered."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import case, wire  # noqa: E402
from harness.backend import Backend  # noqa: E402
from harness.deployment import LIMITS, Deployment, route, service  # noqa: E402

DAEMONS = 3
QUOTA_PER_S = 32
# The largest dose of hot_tenant on the site.
PER_SECOND = QUOTA_PER_S * 7.5
PRESS_S = 6.0
LIFT_AT_S = 3.0
TIMEOUT_MS = 2000
SLACK_S = 0.5
DEADLINE_MS = 5000
CONTACT_S = 5.0
KEY = "key-of-desk"


def configuration(rate):
    tenant = {"name": "desk", "api_keys": [KEY], "priority": 1}
    if rate:
        tenant.update(rate_per_s=rate, burst=10)
    return {
        "routes": [route("note", "logbook", timeout_ms=TIMEOUT_MS)],
        "services": [service("logbook")],
        "tenants": [tenant],
        "limits": LIMITS,
    }


async def ask(daemon, number, outcomes, record):
    headers = [("Request-Id", f"q{number}"), ("Deadline-Ms", DEADLINE_MS), ("Authorization", f"Bearer {KEY}")]
    sent = time.monotonic()
    try:
        answer = await wire.call(daemon.clients, wire.request("GET", "/note/1", "desk.example", headers), DEADLINE_MS / 1000)
        outcome = str(answer.status) if answer else "closed"
    except asyncio.TimeoutError:
        outcome = "no answer"
    except OSError as error:
        outcome = f"failed {error}"
    took = time.monotonic() - sent
    outcomes.append((sent, outcome, took))
    record.line(f"q{number} to {daemon.name}: {outcome} after {took * 1000:.0f} ms", sent)


async def play(record):
    # 48 slots of 20 ms each: room for ten times the traffic.
    deployment = Deployment(daemons=DAEMONS, quota_window_s=5, quota_overage=0.1, quota_slack=20, revoke_ms=5000)
    backends = [Backend(deployment.store, f"i-{n}", "logbook", "east", capacity=12) for n in range(4)]
    try:
        await deployment.start(configuration(QUOTA_PER_S), backends)
        await asyncio.sleep(CONTACT_S)
        outcomes, asks = [], []
        began = time.monotonic()
        lifted = None
        for number in range(int(PER_SECOND * PRESS_S)):
            await asyncio.sleep(max(0.0, began + number / PER_SECOND - time.monotonic()))
            if lifted is None and time.monotonic() - began > LIFT_AT_S:
                lifted = await deployment.configure(configuration(0 if case.trouble() else QUOTA_PER_S))
                record.say("configuration confirmed: " + ("no quota" if case.trouble() else "the same quota"))
            asks.append(asyncio.create_task(ask(deployment.daemons[number % DAEMONS], number, outcomes, record)))
        await asyncio.gather(*asks)
        if not all(daemon.alive() for daemon in deployment.daemons):
            record.say("a daemon has ended")
    finally:
        await deployment.stop()
    return judge(record, outcomes)


def judge(record, outcomes):
    counts = {}
    for _, outcome, _ in outcomes:
        counts[outcome] = counts.get(outcome, 0) + 1
    record.say(f"outcomes: {counts}")
    # A request that is unanswered at the route's timeout, and half a second later.
    long = [took for _, _, took in outcomes if took > TIMEOUT_MS / 1000]
    unanswered = [took for took in long if took > TIMEOUT_MS / 1000 + SLACK_S]
    record.say(f"unanswered at the timeout: {len(long)}, and half a second later: {len(unanswered)}")
    return not (len(unanswered) >= 8 and len(unanswered) * 2 > len(long))


case.main(__file__, play)
