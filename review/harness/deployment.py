"""Starts daemons with the command of the deploy file, on loopback addresses, with settings made from the project's template."""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from . import wire
from .store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_S = 20
PORTS = (20000, 32000)

BOUNDS = {
    "grace_s": 6,
    "config_apply_ms": 3000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 56,
    "warmup_overage": 1.5,
    "warmup_slack": 5,
}


class CannotRun(Exception):
    """The case couldn't run: a program is missing or didn't become ready."""


def free_port():
    """A port below those that the system gives to outgoing connections, which could take it before the daemon does."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


def render(template, fields):
    """Fills in {{a.b}}; what has no value leaves nothing."""

    def value(match):
        found = fields
        for word in match.group(1).split("."):
            found = found.get(word, "") if isinstance(found, dict) else ""
        if isinstance(found, bool):
            return "true" if found else "false"
        return str(found)

    return re.sub(r"\{\{([a-z0-9_.]+)\}\}", value, template)


class Daemon:
    def __init__(self, deployment, name, zone):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.clients = ("127.0.0.1", free_port())
        self.readiness = ("127.0.0.1", free_port())
        self.ports = (free_port(), free_port())
        self.cpu_share = 0.25
        self.process = None
        self.log = deployment.folder / f"{name}.log"

    def settings(self):
        address = self.deployment.store_address
        fields = {
            "node_name": self.name,
            "zone": self.zone,
            "region": "home",
            "ip": "127.0.0.1",
            "bind_addrs": {"frontend": f"127.0.0.1:{self.clients[1]}", "readiness": f"127.0.0.1:{self.readiness[1]}"},
            "internal_port_range": {"0": self.ports[0], "1": self.ports[1]},
            "limits": {"cpu_share": self.cpu_share, "memory_mb": self.deployment.memory_mb},
            "platform": {"address": f"{address[0]}:{address[1]}"},
            "bootstrap": self.deployment.bootstrap,
            "bounds": self.deployment.bounds,
        }
        return render(self.deployment.template, fields)

    def start(self):
        path = self.deployment.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["DAISYSTILE_NODE_FILE"] = str(path)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.deployment.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def alive(self):
        return self.process.poll() is None

    async def ready(self):
        try:
            answer = await wire.call(self.readiness, wire.request("GET", "/v1/readyz", "daemon"), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        return answer is not None and answer.status == 200

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Deployment:
    """The store, the backends and the daemons of one run; stop() ends all of them."""

    def __init__(self, daemons=2, zones=("east",), memory_mb=260, cpu_shares=(), **bounds):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["daemon"]
        self.command = role["run"].split(" ")
        self.template = (ROOT / role["template"]).read_text()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is missing; run the build of the deploy file")
        self.bounds = {**BOUNDS, **bounds}
        self.memory_mb = memory_mb
        self.bootstrap = True
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="daisystile-case-"))
        self.store = Store()
        self.store_address = None
        self.backends = []
        self.daemons = []
        self.layout = [(f"edge-{zones[i % len(zones)]}-{i}", zones[i % len(zones)]) for i in range(daemons)]
        self.cpu_shares = dict(zip((name for name, _ in self.layout), cpu_shares))
        self.version = 0

    async def start(self, configuration, backends):
        self.store_address = (await self.store.start())[:2]
        await self.configure(configuration)
        for backend in backends:
            await backend.start()
            self.backends.append(backend)
        for name, zone in self.layout:
            daemon = Daemon(self, name, zone)
            daemon.cpu_share = self.cpu_shares.get(name, daemon.cpu_share)
            daemon.start()
            self.daemons.append(daemon)
        until = time.monotonic() + READY_S
        for daemon in self.daemons:
            while not await daemon.ready():
                if time.monotonic() > until or not daemon.alive():
                    raise CannotRun(f"{daemon.name} did not become ready")
                await asyncio.sleep(0.05)
        self.bootstrap = False

    async def configure(self, configuration):
        """The operator writes a configuration; returns when the store has confirmed it."""
        self.version += 3
        await self.store.put("config", "main", {"version": self.version, **configuration})
        return time.monotonic()

    async def stop(self):
        for daemon in self.daemons:
            daemon.end()
        for backend in self.backends:
            await backend.stop()
        await self.store.stop()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def route(name, service, **more):
    return {
        "name": name,
        "hostname": "desk.example",
        "path_prefix": f"/{name}/",
        "route_type": "idempotent",
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **more,
    }


def service(name, **more):
    return {
        "name": name,
        "health_check_path": "/healthz",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 3.0,
        "warmup_per_s": 0.0,
        **more,
    }
