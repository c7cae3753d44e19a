"""Stand-in for the platform's metadata store: objects by kind and name, one revision counter, watches, an era."""

import asyncio
import copy
import json
import urllib.parse

from . import wire

PAGE = 500
HISTORY = 5000


class Store:
    def __init__(self):
        self.era = 1
        self.revision = 100
        self.objects = {}  # (kind, name) -> object
        self.history = []  # (revision, kind, event)
        self.history_from = 0
        self.changed = asyncio.Condition()
        self.away = False
        self.writers = set()
        self.server = None
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        return self.server.sockets[0].getsockname()

    async def stop(self):
        self.server.close()

    # What operators and backends do.

    async def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known["meta"]["revision"]
        self.revision += 1
        created = known["meta"]["create_rev"] if known else self.revision
        meta = {"name": name, "revision": self.revision, "create_rev": created, "finalizers": [], "deleting": False}
        status = known["status"] if known else None
        stored = {"meta": meta, "spec": spec, "status": status}
        self.objects[(kind, name)] = stored
        await self._record(kind, {"removed": False, "object": stored})
        return self.revision

    async def remove(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known is not None:
            self.revision += 1
            gone = {**known, "meta": {**known["meta"], "revision": self.revision}}
            await self._record(kind, {"removed": True, "object": gone})

    async def _record(self, kind, event):
        self.history.append((self.revision, kind, event))
        del self.history[:-HISTORY]
        async with self.changed:
            self.changed.notify_all()

    # A drill: the store is away for a moment and comes back from a copy.

    def copy(self):
        return self.revision, copy.deepcopy(self.objects)

    async def restore(self, copied, away_s):
        self.away = True
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.revision, self.objects = copied[0], copy.deepcopy(copied[1])
        self.history = []
        self.era += 1
        self.away = False

    # What daemons call.

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.away:
                message = await wire.read_message(reader)
                if message is None or self.away:
                    return
                self.calls += 1
                status, body = await self._answer(message)
                headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
                writer.write(wire.response(status, "Answer", headers, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, message):
        path, _, query = message.target.partition("?")
        words = [urllib.parse.unquote(word) for word in path.split("/")[1:]]
        values = dict(urllib.parse.parse_qsl(query))
        if len(words) < 3 or words[:2] != ["v1", "objects"]:
            return 404, {}
        kind, rest = words[2], words[3:]
        if not rest:
            if message.method == "POST":
                return await self._create(kind, json.loads(message.body))
            if "watch" in values:
                return await self._watch(kind, int(values["watch"]), int(values.get("wait_ms", 0)))
            return self._list(kind, values.get("after", ""))
        known = self.objects.get((kind, rest[0]))
        if known is None:
            return 404, {}
        if message.method == "GET":
            return 200, known
        given = json.loads(message.body) if message.body else {}
        revision = values.get("revision", given.get("meta", {}).get("revision"))
        if revision is not None and int(revision) != known["meta"]["revision"]:
            return 409, known
        if message.method == "DELETE":
            await self.remove(kind, rest[0])
            return 200, known
        if len(rest) == 2:
            self.revision += 1
            known["status"] = given.get("status")
            known["meta"] = {**known["meta"], "revision": self.revision}
            await self._record(kind, {"removed": False, "object": known})
        else:
            await self.put(kind, rest[0], given.get("spec"))
        return 200, self.objects[(kind, rest[0])]

    async def _create(self, kind, given):
        name = given["meta"]["name"]
        if (kind, name) in self.objects:
            return 409, self.objects[(kind, name)]
        await self.put(kind, name, given.get("spec"))
        return 201, self.objects[(kind, name)]

    def _list(self, kind, after):
        names = sorted(name for each, name in self.objects if each == kind and name > after)
        items = [self.objects[(kind, name)] for name in names[:PAGE]]
        return 200, {"items": items, "has_more": len(names) > PAGE, "current_rev": self.revision}

    async def _watch(self, kind, after, wait_ms):
        if after > self.revision:
            return 410, {}
        if self.history and after < self.history[0][0] - 1 and len(self.history) == HISTORY:
            return 410, {}

        def events():
            return [event for revision, each, event in self.history if each == kind and revision > after]

        try:
            async with self.changed:
                await asyncio.wait_for(self.changed.wait_for(events), wait_ms / 1000)
        except asyncio.TimeoutError:
            pass
        return 200, {"events": events(), "current_rev": self.revision}
