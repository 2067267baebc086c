"""Stand-in for the platform's metadata store: objects by kind and name, conditional changes, watches, lapsing server entries.

usage: store.py ADDRESS
POST /control with {"mode": "serving" | "silent" | "reset" | "busy"} sets how it treats all calls but those of the operator, who is named in
a header.
"""
import asyncio
import json
import sys
import time
import urllib.parse

import http1

HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3
MAX_ITEMS = 500
MAX_LIST_BYTES = 1024 * 1024


class Store:
    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.mode = "serving"
        self.beats = {}

    def of_kind(self, kind):
        return self.objects.setdefault(kind, {})

    async def record(self, kind, item, deleted=False):
        self.history.append((self.revision, kind, json.loads(json.dumps(item)), deleted))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, kind, name, field, value, body):
        known = self.of_kind(kind).get(name)
        if known is None:
            return 404, {}
        expected = (body.get("metadata") or {}).get("revision")
        if expected is not None and expected != known["metadata"]["revision"]:
            return 409, known
        if known.get(field) == value:
            return 200, known
        self.revision += 1
        known[field] = value
        known["metadata"]["revision"] = self.revision
        await self.record(kind, known)
        return 200, known

    async def create(self, kind, name, spec):
        if name in self.of_kind(kind):
            return 409, self.of_kind(kind)[name]
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision, "createRevision": self.revision, "finalizers": [],
                             "deleting": False}, "spec": spec, "status": None}
        self.of_kind(kind)[name] = item
        await self.record(kind, item)
        return 201, item

    async def delete(self, kind, name):
        item = self.of_kind(kind).pop(name, None)
        if item is None:
            return 404, {}
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        await self.record(kind, item, True)
        return 200, item

    def list(self, kind, after):
        items, size = [], 0
        names = sorted(name for name in self.of_kind(kind) if name > after)
        for name in names:
            item = self.of_kind(kind)[name]
            size += len(json.dumps(item))
            if items and (len(items) == MAX_ITEMS or size > MAX_LIST_BYTES):
                break
            items.append(item)
        return {"items": items, "more": len(items) < len(names), "at": self.revision}

    async def watch(self, kind, since, wait_s):
        until = time.monotonic() + wait_s
        while True:
            events = [{"object": item, "deleted": deleted} for revision, known, item, deleted in self.history
                      if known == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def lapse(self):
        """Removes the entries of servers that have been silent. While the store is away, nothing lapses."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            if self.mode != "serving":
                self.beats = {name: now for name in self.beats}
            for name, at in list(self.beats.items()):
                if now - at > HEARTBEAT_S * MISSED_HEARTBEATS:
                    del self.beats[name]
                    await self.delete("servers", name)

    async def handle(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        path = [urllib.parse.unquote(part) for part in parts.path.split("/")[1:]]
        query = dict(urllib.parse.parse_qsl(parts.query))
        content = json.loads(body) if body else {}
        if path[0] == "control":
            self.mode = content["mode"]
            return 200, {}
        kind = path[2]
        name = path[3] if len(path) > 3 else None
        if kind == "servers" and name and http1.header(headers, "beat"):
            self.beats[name] = time.monotonic()
        if method == "GET" and name is None:
            if "watch" in query:
                return 200, await self.watch(kind, int(query["watch"]), float(query.get("waitMs", 0)) / 1000)
            return 200, self.list(kind, query.get("after", ""))
        if method == "GET":
            item = self.of_kind(kind).get(name)
            return (200, item) if item else (404, {})
        if method == "POST":
            return await self.create(kind, content["metadata"]["name"], content.get("spec"))
        if method == "DELETE":
            return await self.delete(kind, name)
        if len(path) > 4 and path[4] == "status":
            return await self.put(kind, name, "status", content.get("status"), content)
        return await self.put(kind, name, "spec", content.get("spec"), content)

    async def stay_silent(self):
        while self.mode == "silent":
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await http1.read_head(reader)
                body = await http1.read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                is_node = http1.header(headers, "from") != "operator"
                if is_node and self.mode == "silent":
                    await self.stay_silent()
                    writer.transport.abort()
                    return
                if is_node and self.mode == "reset":
                    writer.transport.abort()
                    return
                if is_node and self.mode == "busy":
                    writer.write(http1.response_bytes(503, [], b"{}"))
                    continue
                try:
                    status, answer = await self.handle(method, target, headers, body)
                except ValueError as error:
                    # The body is not JSON, or not UTF-8.
                    status, answer = 400, {"error": str(error)}
                if is_node and self.mode == "silent":
                    await self.stay_silent()
                    writer.transport.abort()
                    return
                if is_node and self.mode != "serving":
                    # A watch that was waiting is cut off.
                    writer.transport.abort()
                    return
                writer.write(http1.response_bytes(status, [("Content-Type", "application/json")], json.dumps(answer).encode()))
                await writer.drain()
        except (http1.Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def main():
    host, port = sys.argv[1].rsplit(":", 1)
    store = Store()
    server = await asyncio.start_server(store.serve, host, int(port), limit=16 * 1024 * 1024)
    async with server:
        await asyncio.gather(server.serve_forever(), store.lapse())


asyncio.run(main())
