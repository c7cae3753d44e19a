"""A small deployment on loopback: the daemons as the deploy file starts them, and stand-ins for store, servers and clients.

Everything but the daemons runs on one asyncio loop. The stand-ins follow PROTOCOL.md; what a case does beyond that is
switched on by the case itself.
"""

import asyncio
import collections
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "search.example"
ports_in_use = set()
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


def trouble():
    """False if the case is to run without its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    """A port that no connection takes as its own: below the range of those, and not handed out before."""
    lowest = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    while True:
        port = random.randrange(max(lowest // 2, 1024), lowest)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports_in_use:
            ports_in_use.add(port)
            return port


# Settings file, from the template of the deploy file.

def look_up(fields, name):
    value = fields
    for key in name.split("."):
        if isinstance(value, list) and key.isdigit() and int(key) < len(value):
            value = value[int(key)]
        elif isinstance(value, dict) and key in value:
            value = value[key]
        else:
            return None
    return value


def fill(template, fields):
    def section(match):
        value = look_up(fields, match[1])
        if value is None or value is False:
            return ""
        text = json.dumps(value) if isinstance(value, (dict, list)) else str(value)
        return match[2].replace("{{.}}", text)

    def value(match):
        found = look_up(fields, match[1])
        if match[2]:
            return json.dumps(found)
        if found is None:
            return ""
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        name = sys.argv[1] if len(sys.argv) > 1 else "record.txt"
        self.file = open(Path(folder) / name, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self.add(text)
        self.file.flush()
        print(f"{self.now():8.3f} {text}", flush=True)


# HTTP on asyncio streams.

class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name):
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_message(reader, is_response=False):
    """None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
        message = Message(lines[0], headers, b"")
        length = int(message.header("Content-Length") or 0)
        if length:
            message.body = await reader.readexactly(length)
        return message
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store. Specs are kept as JSON text, as they were written."""

    PAGE = 500

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()
        # None, "busy" (503) or "silent".
        self.outage = None
        # Called with method and key of a write; a number of seconds means: not answered, and done that much later.
        self.lose_write = lambda method, key: None

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def text(self, kind, name):
        revision, spec = self.objects[kind, name]
        return '{"meta":{"name":%s,"revision":%d,"finalizers":[],"deleting":false},"spec":%s,"status":null}' % (json.dumps(name), revision, spec)

    async def put(self, kind, name, spec):
        """Writes an object; spec is a value or, if it is a str, JSON text."""
        text = spec if isinstance(spec, str) else json.dumps(spec)
        if (kind, name) in self.objects and self.objects[kind, name][1] == text:
            return
        self.revision += 1
        self.objects[kind, name] = (self.revision, text)
        self.events.append((self.revision, kind, '{"removed":false,"object":%s}' % self.text(kind, name)))
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, kind, name):
        if (kind, name) not in self.objects:
            return
        self.revision += 1
        self.objects[kind, name] = (self.revision, self.objects[kind, name][1])
        self.events.append((self.revision, kind, '{"removed":true,"object":%s}' % self.text(kind, name)))
        del self.objects[kind, name]
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self.answer(message)
                if answer is None:
                    # Nothing more is answered on a connection on which an answer was lost.
                    await reader.read()
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, message):
        method, target, _ = message.first.split(" ")
        path, _, query = target.partition("?")
        options = dict(part.split("=", 1) for part in query.split("&") if part)
        parts = path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if self.outage == "busy":
            return response(503)
        if self.outage == "silent":
            return None
        if method == "GET":
            if name is not None:
                return self.json(200, self.text(kind, name)) if (kind, name) in self.objects else response(404)
            return await self.watch(kind, options) if "watch" in options else self.list(kind, options)
        if method == "POST":
            name = json.loads(message.body)["meta"]["name"]
        delay = self.lose_write(method, f"{kind}/{name}")
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, lambda: asyncio.ensure_future(self.write(method, kind, name, message, options)))
            return None
        return await self.write(method, kind, name, message, options)

    async def write(self, method, kind, name, message, options):
        known = self.objects.get((kind, name))
        if method == "POST":
            if known:
                return self.json(409, self.text(kind, name))
        elif not known:
            return response(404)
        body = json.loads(message.body) if message.body else {}
        condition = options.get("revision") or body.get("meta", {}).get("revision")
        if method != "POST" and condition is not None and int(condition) != known[0]:
            return self.json(409, self.text(kind, name))
        if method == "DELETE":
            await self.remove(kind, name)
            return response(200, b"{}")
        await self.put(kind, name, body["spec"] if not isinstance(body["spec"], str) else json.dumps(body["spec"]))
        return self.json(200, self.text(kind, name))

    @staticmethod
    def json(status, text):
        return response(status, text.encode(), [("Content-Type", "application/json")])

    def list(self, kind, options):
        names = sorted(name for of, name in self.objects if of == kind and name > options.get("after", ""))
        page = names[: self.PAGE]
        items = ",".join(self.text(kind, name) for name in page)
        more = "true" if len(page) < len(names) else "false"
        return self.json(200, '{"items":[%s],"has_more":%s,"current_rev":%d}' % (items, more, self.revision))

    async def watch(self, kind, options):
        after = int(options["watch"])
        ends = time.monotonic() + int(options.get("wait_ms", 20000)) / 1000

        def found():
            return [text for revision, of, text in self.events if of == kind and revision > after]

        async with self.changed:
            while not found() and self.outage is None and (left := ends - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if self.outage is not None:
            return response(503) if self.outage == "busy" else None
        return self.json(200, '{"events":[%s],"current_rev":%d}' % (",".join(found()), self.revision))

    async def set_outage(self, outage):
        self.outage = outage
        self.record.say(f"store: {'down, ' + outage if outage else 'serves'}")
        async with self.changed:
            self.changed.notify_all()


class Server:
    """A backend server: runs `capacity` requests at a time and queues a few more."""

    number = 0

    def __init__(self, deployment, service, zone, capacity=4, work_s=0.02, body=b"0123456789abcdef"):
        Server.number += 1
        self.deployment, self.service, self.zone, self.capacity, self.work_s, self.body = deployment, service, zone, capacity, work_s, body
        self.id = f"i-{Server.number:04x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        self.arrivals = []
        self.working = 0
        self.queue = 8
        self.extra_headers = []
        # Called when a request starts to run; may be a coroutine that ends the server.
        self.on_run = None
        self.entry = {}
        self.ended = False

    async def open(self):
        self.slots = asyncio.Semaphore(self.capacity)
        self.connections = set()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    async def register(self, **changes):
        self.sequence += 1
        self.entry.update(changes)
        entry = {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1", "capacity": self.capacity, "state": "ready",
                 "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born}
        await self.deployment.store.put("servers", self.id, entry | self.entry)

    def end(self):
        """The process ends: all connections are lost and new ones are refused."""
        self.ended = True
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self.answer(message)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, message):
        record = self.deployment.record
        method, target, _ = message.first.split(" ")
        request = message.header("Request-Id")
        if target == "/healthz":
            return response(200, b"", [("Instance-Id", self.id)])
        echo = [("Request-Id", request)] if request else []
        wanted = message.header("Expect-Instance")
        if wanted is not None and wanted != self.id:
            return response(421, b"", [("Instance-Id", self.id)] + echo)
        now = time.monotonic()
        self.arrivals.append((self.deployment.sent_at.get(request, now), now))
        if request is None or self.working >= self.capacity + self.queue:
            return response(503, b"", [("Not-Executed", "1")] + echo)
        self.working += 1
        try:
            async with self.slots:
                self.runs.append((time.monotonic(), request))
                record.add(f"server {self.id} of {self.service}: runs {request} {method} {target}")
                if self.on_run is not None:
                    await self.on_run(self, message)
                await asyncio.sleep(self.work_s)
                self.deployment.stamps += 1
                stamp = f"{self.id}.{self.deployment.stamps:x}.{request}"
                return response(200, self.body, echo + [("Server-Stamp", stamp)] + list(self.extra_headers))
        finally:
            self.working -= 1


class Daemon:
    """One machine with one daemon process."""

    def __init__(self, deployment, number, zone, settings):
        self.deployment, self.zone = deployment, zone
        self.name = f"edge-{zone}-{number}"
        self.port, self.ready_port = free_port(), free_port()
        peers, queries = free_port(), free_port()
        fields = {"node_name": self.name, "zone": zone, "region": "sfax", "ip": "127.0.0.1", "bootstrap": True,
                  "bind_addrs": {"frontend": f"127.0.0.1:{self.port}", "readiness": f"127.0.0.1:{self.ready_port}"},
                  "internal_port_range": [peers, queries], "limits": {"cpu_share": 0.25}, "platform": {"address": deployment.store.address},
                  "bounds": {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56, "warmup_overage": 1.5, "warmup_slack": 5}}
        fields.update(settings)
        self.fields = fields
        self.file = deployment.folder / f"{self.name}.toml"
        self.log = deployment.folder / f"{self.name}.log"
        self.process = None
        self.starts = 0

    def start(self):
        role = self.deployment.role
        self.file.write_text(fill((ROOT / role["template"]).read_text(), self.fields))
        self.fields["bootstrap"] = False
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["DAISYSTILE_NODE_FILE"] = str(self.file)
        self.starts += 1
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        self.deployment.record.say(f"platform: starts {self.name}, process {self.process.pid}")

    def kill(self):
        self.deployment.record.say(f"platform: kills {self.name}")
        self.process.kill()
        self.process.wait()

    def terminate(self):
        self.deployment.record.say(f"platform: SIGTERM to {self.name}")
        self.process.send_signal(signal.SIGTERM)

    def running(self):
        return self.process is not None and self.process.poll() is None

    async def ready(self):
        try:
            answer = await asyncio.wait_for(exchange(self.ready_port, b"GET /v1/readyz HTTP/1.1\r\nHost: edge\r\nConnection: close\r\n\r\n"), 1)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False


async def exchange(port, request):
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
    try:
        writer.write(request)
        return await read_message(reader)
    finally:
        writer.close()


class Deployment:
    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.role = tomllib.load(file)["roles"]["daemon"]
        self.store = Store(self.record)
        self.daemons, self.servers = [], []
        self.stamps = 0
        self.requests = 0
        # Status, or "lost", of each request that a client sent, by id.
        self.answers = {}
        self.sent_at = {}

    async def add_server(self, service, zone, register=True, **options):
        server = Server(self, service, zone, **options)
        await server.open()
        self.servers.append(server)
        if register:
            await server.register()
        return server

    def add_daemon(self, zone, **settings):
        self.daemons.append(Daemon(self, len(self.daemons) + 1, zone, settings))
        return self.daemons[-1]

    async def configure(self, version, routes, services, **limits):
        terms = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        spec = {"version": version, "routes": routes, "services": services, "limits": terms | limits}
        await self.store.put("config", "main", spec)
        self.record.say(f"operator: version {version} is accepted")

    async def until_ready(self, daemons=None, timeout=20):
        ends = time.monotonic() + timeout
        for daemon in daemons or self.daemons:
            while not await daemon.ready():
                if time.monotonic() > ends:
                    raise CannotRun(f"{daemon.name} isn't ready")
                await asyncio.sleep(0.1)
        self.record.say("all daemons are ready")

    async def request(self, daemon, path, method="GET", deadline_ms=2000, body=b"", name="", connection=None):
        """One client attempt on a new connection. Returns status and message; status "lost" if the connection ended."""
        self.requests += 1
        identity = f"{name}{self.requests:06x}"
        self.sent_at[identity] = time.monotonic()
        self.record.add(f"client: sends {identity} {method} {path} to {daemon.name}")
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {identity}\r\nDeadline-Ms: {deadline_ms}\r\nConnection: close\r\n"
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        status, answer = "lost", None
        try:
            answer = await asyncio.wait_for(exchange(daemon.port, head.encode() + b"\r\n" + body), deadline_ms / 1000)
            status = answer.status if answer is not None else "lost"
        except asyncio.TimeoutError:
            status = "late"
        except OSError:
            status = "refused"
        self.answers[identity] = status
        self.record.add(f"client: {identity} is answered {status}")
        return identity, status, answer

    async def load(self, seconds, per_second, daemons, path, **options):
        """An open load, spread evenly over the daemons; returns the results when all requests have ended."""
        tasks, ends, sent = [], time.monotonic() + seconds, 0
        start = time.monotonic()
        while time.monotonic() < ends:
            tasks.append(asyncio.ensure_future(self.request(daemons[sent % len(daemons)], path, **options)))
            sent += 1
            await asyncio.sleep(max(0.0, start + sent / per_second - time.monotonic()))
        return await asyncio.gather(*tasks)

    def runs_of(self, identity):
        return sum(1 for server in self.servers for _, request in server.runs if request == identity)

    def stop(self):
        for daemon in self.daemons:
            if daemon.running():
                daemon.process.kill()
                daemon.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def most_in_a_second(requests):
    """The largest number of requests, as (sent by the client, arrived), that were sent and arrived inside one second."""
    return max((sum(1 for sent, arrived in requests if start <= sent and arrived < start + 1) for start, _ in requests), default=0)


def crash_above(limit):
    """For Server.on_run: a cold server crashes when it gets more requests in one second than this."""
    async def check(server, _):
        now = time.monotonic()
        if server.entry.get("warmup_left_ms") and not server.ended and sum(1 for _, at in server.arrivals if now - at < 1) > limit:
            server.deployment.record.say(f"cold server {server.id} crashes")
            server.end()
    return check


class CannotRun(Exception):
    pass


def route(prefix, kind="idempotent", **more):
    return {"name": "r" + prefix.strip("/"), "hostname": HOST, "path_prefix": prefix, "route_type": kind, "timeout_ms": 5000, "target_latency_ms": 500, "priority": 1,
            "max_attempts": 2} | more


def service(name, **more):
    return {"name": name, "health_check_path": "/healthz", "max_connections": 110, "warmup_s": 3.0, "warmup_per_s": 0.0} | more


def main(case_folder, play):
    """Runs a case: play(deployment) returns a list of the ways in which the rule was broken."""
    async def run():
        deployment = Deployment(case_folder)
        try:
            if not (ROOT / deployment.role["run"].split()[0]).exists():
                raise CannotRun(f"{deployment.role['run'].split()[0]} isn't built")
            await deployment.store.open()
            broken = await play(deployment)
            counts = collections.Counter(map(str, deployment.answers.values()))
            deployment.record.say("answers: " + ", ".join(f"{status} x {count}" for status, count in sorted(counts.items())))
            for line in broken:
                deployment.record.say("BROKEN " + line)
            deployment.record.say("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except CannotRun as error:
            deployment.record.say(f"can't run: {error}")
            return 2
        finally:
            deployment.stop()

    code = 2
    try:
        code = asyncio.run(run())
    except (OSError, KeyError, AssertionError) as error:
        print(f"can't run: {error!r}")
    sys.exit(code)
