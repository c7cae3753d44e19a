"""Runs a fleet of real processes on 127.0.0.1: the stand-ins, the daemons and the operator tool."""

import contextlib
import hashlib
import http.client
import json
import os
import select
import shutil
import signal
import subprocess
import tempfile
import time

OPERATOR_TOKEN = "operator-token-of-a-local-fleet"
PEER_KEY = "peer-key-of-a-local-fleet"
READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 20
FORCE_TIMEOUT_S = 5


def digest(token):
    return hashlib.sha256(token.encode()).hexdigest()


def call(address, method, path, body=None, headers=None, timeout=10):
    """Makes one HTTP call; returns (status, parsed body)."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    with contextlib.closing(connection):
        text = body if isinstance(body, str) or body is None else json.dumps(body)
        connection.request(method, path, text, headers or {})
        answer = connection.getresponse()
        data = answer.read().decode()
        try:
            return answer.status, json.loads(data) if data else None
        except json.JSONDecodeError:
            return answer.status, data


class Process:
    """A child process that prints "ready name=value ..." when it accepts requests."""

    def __init__(self, command, log_path):
        self.log_path = log_path
        with open(log_path, "ab") as log:
            self.popen = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log, stdin=subprocess.DEVNULL, start_new_session=True)
        self.addresses = self._wait_ready()

    def _wait_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        text = b""
        handle = self.popen.stdout.fileno()
        while time.monotonic() < deadline:
            if not select.select([handle], [], [], 0.2)[0]:
                continue
            data = os.read(handle, 4096)
            if not data:
                break
            text += data
            for line in text.decode().splitlines(keepends=True):
                if line.startswith("ready") and line.endswith("\n"):
                    return dict(word.split("=", 1) for word in line.split()[1:])
        self.stop(force=True)
        with open(self.log_path, errors="replace") as log:
            raise RuntimeError(f"{self.popen.args[0]} did not become ready:\n{log.read()[-2000:]}")

    @property
    def pid(self):
        return self.popen.pid

    def cpu_seconds(self):
        """Returns the user and system CPU time used so far."""
        with open(f"/proc/{self.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self):
        with open(f"/proc/{self.pid}/statm") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def stop(self, force=False):
        self.signal(signal.SIGKILL if force else signal.SIGTERM)
        try:
            return self.popen.wait(FORCE_TIMEOUT_S if force else STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
            return None


class Fleet:
    """Starts processes on free ports; stop() stops every process that the fleet started."""

    def __init__(self, binaries):
        self.binaries = binaries
        self.scratch = tempfile.mkdtemp(prefix="daisystile-")
        self.platform = None
        self.backends = {}
        self.daemons = {}
        self.settings = {}
        self._started = []

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stop()

    def program(self, name):
        return os.path.join(self.binaries, name)

    def _start(self, command, name):
        process = Process(command, os.path.join(self.scratch, name + ".log"))
        self._started.append(process)
        return process

    def start_platform(self):
        self.platform = self._start([self.program("platform-standin")], "platform")

    def start_backends(self, domain, seed=1):
        """Starts one stand-in process for all backend servers of a failure domain."""
        self.backends[domain] = self._start([self.program("backend-server-standin"), "--seed", str(seed)], "backends-" + domain)

    def backend_control(self, domain):
        return self.backends[domain].addresses["control"]

    def create_service(self, service):
        """Starts the servers of a service made by query_service() or execute_service(); returns its catalogue text."""
        text = {key: service[key] for key in ("name", "kind", "snapshot", "map_version", "shards") if key in service}
        text["servers"] = []
        for domain in self.backends:
            specs = [spec for spec in service["specs"] if spec["domain"] == domain]
            if not specs:
                continue
            status, created = call(self.backend_control(domain), "POST", "/servers", specs)
            if status != 200:
                raise RuntimeError(f"could not create backend servers: {created}")
            by_id = {entry["id"]: entry["address"] for entry in created}
            text["servers"] += [
                {
                    "id": spec["id"],
                    "failure_domain": domain,
                    "address": by_id[spec["id"]],
                    "slots": spec["slots"],
                    "connections": spec["connections"],
                }
                for spec in specs
            ]
        return text

    def start_daemon(self, name, domain, region, **extra):
        lines = {
            "id": name,
            "failure_domain": domain,
            "region": region,
            "callers": "127.0.0.1:0",
            "operators": "127.0.0.1:0",
            "traffic": "127.0.0.1:0",
            "control": "127.0.0.1:0",
            "platform": self.platform.addresses["http"],
            "peer_key": PEER_KEY,
            "operator_token_digest": digest(OPERATOR_TOKEN),
            **extra,
        }
        path = os.path.join(self.scratch, name + ".toml")
        with open(path, "w") as settings:
            settings.writelines(f"{key} = {json.dumps(value)}\n" for key, value in lines.items())
        self.settings[name] = (domain, region, extra)
        daemon = self._start([self.program("daisystiled"), "--config", path], name)
        self.daemons[name] = daemon
        self.register(name, domain, region)
        return daemon

    def register(self, name, domain, region):
        """Registers the daemon's host in the host list of the platform."""
        addresses = self.daemons[name].addresses
        host = {"domain": domain, "region": region, "traffic": addresses["traffic"], "control": addresses["control"], "state": "live"}
        call(self.platform.addresses["control"], "PUT", "/hosts/" + name, host)

    def stop_daemon(self, name, force=False):
        daemon = self.daemons.pop(name)
        code = daemon.stop(force)
        call(self.platform.addresses["control"], "DELETE", "/hosts/" + name)
        return code

    def callers(self):
        return [daemon.addresses["callers"] for daemon in self.daemons.values()]

    def operators(self, name=None):
        daemon = self.daemons[name] if name else next(iter(self.daemons.values()))
        return daemon.addresses["operators"]

    def tool(self, *arguments, via=None, check=True, timeout=60):
        """Runs the operator tool; returns the completed process."""
        environment = dict(os.environ, DAISYSTILE_DAEMON=self.operators(via), DAISYSTILE_TOKEN=OPERATOR_TOKEN, DAISYSTILE_OPERATOR="local")
        done = subprocess.run(
            [self.program("daisystile"), *arguments], env=environment, capture_output=True, text=True, timeout=timeout, stdin=subprocess.DEVNULL
        )
        if check and done.returncode != 0:
            raise RuntimeError(f"daisystile {' '.join(arguments)} exited with status {done.returncode}: {done.stdout}{done.stderr}")
        return done

    def write(self, name, text):
        path = os.path.join(self.scratch, name)
        with open(path, "w") as file:
            file.write(text if isinstance(text, str) else json.dumps(text))
        return path

    def wait(self, condition, what, timeout=30):
        deadline = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > deadline:
                raise RuntimeError(f"timed out after {timeout} s waiting for {what}")
            time.sleep(0.05)

    def seed_config(self, domains="", services=(), contracts=()):
        """Writes an initial configuration to an empty platform, in the form that an accepted change has."""
        objects = [("domains", "fleet", domains)] if domains else []
        objects += [("service", text["name"], json.dumps(text)) for text in services]
        objects += [("contract", customer, text) for customer, text in contracts]
        entries = []
        for number, (kind, name, text) in enumerate(objects, 1):
            folder = {"domains": "domains", "service": "services", "contract": "contracts"}[kind]
            record = {"kind": kind, "name": name, "version": 1, "change_id": "first", "previous": "", "operator": "local", "at": 0, "text": text}
            call(self.platform.addresses["control"], "PUT", f"/control/objects/catalog/{folder}/{name}/first", record)
            entries.append({"kind": kind, "name": name, "version": 1, "change_id": "first", "number": number})
        call(self.platform.addresses["control"], "PUT", "/control/objects/catalog/head", {"number": len(objects), "entries": entries})

    def wait_all_ready(self, timeout=30):
        def ready():
            return all(call(address, "GET", "/healthz/ready")[0] == 200 for address in self.callers())

        self.wait(ready, "every daemon to be ready", timeout)

    def cpu_seconds(self):
        """Returns the CPU time used so far by all running daemons."""
        return sum(daemon.cpu_seconds() for daemon in self.daemons.values())

    def set_faults(self, faults, **selector):
        """Sets faults on the selected servers, services or failure domains, in every stand-in process."""
        for backend in self.backends.values():
            call(backend.addresses["control"], "POST", "/control/faults", {"set": faults, **selector})

    def records(self):
        """Returns (records by backend server, number of starts by idempotency key)."""
        servers, executions = {}, {}
        for backend in self.backends.values():
            _, body = call(backend.addresses["control"], "GET", "/control/records")
            servers.update(body["servers"])
            for key, execution in body["executions"].items():
                executions[key] = executions.get(key, 0) + execution["started"]
        return servers, executions

    def run_load(self, plan, timeout=300):
        """Runs daisystile-load; returns its results, parsed from JSON."""
        path = self.write("plan.json", plan)
        done = subprocess.run([self.program("daisystile-load"), "--plan", path, "--format", "json"], capture_output=True, text=True, timeout=timeout)
        if done.returncode != 0:
            raise RuntimeError(f"daisystile-load exited with status {done.returncode}: {done.stderr}")
        return json.loads(done.stdout)

    def metrics(self, name):
        """Returns the samples of the daemon's /metrics, by name with labels."""
        _, text = call(self.daemons[name].addresses["callers"], "GET", "/metrics")
        samples = {}
        for line in str(text).splitlines():
            if line and not line.startswith("#"):
                key, value = line.rsplit(" ", 1)
                samples[key] = float(value)
        return samples

    def release(self):
        """Gives up ownership of the running processes, so that stop() leaves them running; returns them."""
        running = [process for process in self._started if process.popen.poll() is None]
        self._started.clear()
        self.scratch = None
        return running

    def stop(self):
        for process in reversed(self._started):
            if process.popen.poll() is None:
                process.stop()
        self._started.clear()
        if self.scratch:
            shutil.rmtree(self.scratch, ignore_errors=True)


def query_service(name, domains, shards, slots, connections, latency_ms, sigma=0.3, replicas=3):
    """Describes a query service that places the replicas of each shard in different failure domains."""
    snapshot = "snapshot-1"
    specs, placements = [], []
    for shard in range(shards):
        ids = [f"{name}-{shard}-{replica}" for replica in range(replicas)]
        placements.append({"replicas": ids})
        for replica, server in enumerate(ids):
            specs.append(
                {
                    "id": server,
                    "service": name,
                    "domain": domains[replica % len(domains)],
                    "kind": "query",
                    "slots": slots,
                    "connections": connections,
                    "latencyMs": latency_ms,
                    "latencySigma": sigma,
                    "snapshots": [snapshot],
                    "mapVersion": 1,
                    "shards": [shard],
                }
            )
    return {"name": name, "kind": "query", "snapshot": snapshot, "map_version": 1, "shards": placements, "specs": specs}


def execute_service(name, domains, servers, slots, connections, latency_ms, sigma=0.3):
    specs = [
        {
            "id": f"{name}-{i}",
            "service": name,
            "domain": domains[i % len(domains)],
            "kind": "execute",
            "slots": slots,
            "connections": connections,
            "latencyMs": latency_ms,
            "latencySigma": sigma,
        }
        for i in range(servers)
    ]
    return {"name": name, "kind": "execute", "specs": specs}


def contract(customer, token, services, rate, burst=None, concurrency=100000, wait_ms=1000, urgency="interactive", **extra):
    """Returns a contract in the TOML form that operators write."""
    terms = {
        "customer": customer,
        "token_digests": [digest(token)],
        "services": services,
        "urgency": urgency,
        "rate_per_second": rate,
        "burst": burst or rate,
        "concurrency": concurrency,
        "wait_ms": wait_ms,
        **extra,
    }
    return "".join(f"{key} = {json.dumps(value)}\n" for key, value in terms.items())


def domains_text(domains, region):
    return "".join(f"[[domains]]\nname = {json.dumps(name)}\nregion = {json.dumps(region)}\nout = false\n" for name in domains)
