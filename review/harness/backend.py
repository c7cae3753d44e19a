"""Stand-in for a backend: runs requests in a limited number of slots, registers in the store, may be cold."""

import asyncio
import itertools
import time

from . import wire

stamps = itertools.count(1)


class Backend:
    def __init__(self, store, identity, service, zone, capacity=4, work_s=0.02, heartbeat_s=1.2):
        self.store = store
        self.id = identity
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.work_s = work_s
        self.heartbeat_s = heartbeat_s
        self.address = None
        self.state = "ready"
        self.queue_length = 18
        self.cold_until = 0.0
        self.extra_headers = []
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []  # (monotonic time, Request-Id, Message)
        self.refusals = []
        self.server = None
        self.slots = None
        self.waiting = 0
        self.writers = set()
        self.beats = None

    def entry(self):
        left = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "warmup_left_ms": left,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def start(self):
        self.slots = asyncio.Semaphore(self.capacity)
        host, port = self.address or ("127.0.0.1", 0)
        self.server = await asyncio.start_server(self._serve, host, port, backlog=512)
        self.address = self.server.sockets[0].getsockname()[:2]
        await self.register()
        self.beats = asyncio.create_task(self._beat())

    async def register(self):
        self.sequence += 1
        await self.store.put("servers", self.id, self.entry())

    async def _beat(self):
        while True:
            await asyncio.sleep(self.heartbeat_s)
            await self.register()

    def crash(self):
        """The process ends: its connections are reset, its port refuses; the entry stays as it is."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        self.crash()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await wire.read_message(reader)
                if message is None:
                    return
                answer = await self.answer(message, writer)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def health(self):
        left = max(0, int((self.cold_until - time.monotonic()) * 1000))
        status = 200 if self.state == "ready" else 503
        headers = [("Instance-Id", self.id)] + ([("Warmup-Ms", left)] if left else [])
        return wire.response(status, "Health", headers)

    async def answer(self, message, writer):
        if message.target == "/healthz":
            return self.health()
        identity = message.header("request-id")
        if message.header("expect-instance", self.id) != self.id:
            self.refusals.append((time.monotonic(), identity, 421))
            return wire.response(421, "Misdirected Request", [("Instance-Id", self.id), ("Request-Id", identity)])
        if self.waiting >= self.queue_length:
            self.refusals.append((time.monotonic(), identity, 503))
            return wire.response(503, "Service Unavailable", [("Not-Executed", "1"), ("Request-Id", identity)])
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            return await self.run(message, writer, identity)
        finally:
            self.slots.release()

    async def run(self, message, writer, identity):
        self.runs.append((time.monotonic(), identity, message))
        await asyncio.sleep(self.work_s)
        stamp = f"{self.id}.{next(stamps)}"
        headers = [("Request-Id", identity), ("Server-Stamp", stamp)] + self.extra_headers
        return wire.response(200, "OK", headers, b"0123456789abcdef")
