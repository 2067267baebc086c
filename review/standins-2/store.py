"""A stand-in of the platform's metadata store, by PROTOCOL.md ("The platform's metadata store")."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

import http1


class Store:
    def __init__(self):
        self.kinds = {}
        self.revision = 100
        self.events = []
        self.changed = asyncio.Event()
        self.calls = 0
        # Called with each object that is created by a call: kind, name, spec.
        self.onCreated = None
        # While it is silent, calls are neither carried out nor answered, and their connections return nothing further.
        self.isSilent = False
        # Returns how many seconds to wait before a call is carried out; 0 by default.
        self.delayOf = lambda method, kind: 0.004

    def _note(self, kind, item, isDeleted):
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        self.events.append((self.revision, kind, json.loads(json.dumps(item)), isDeleted))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, kind, name, spec):
        """A change by the operator or by a server."""
        items = self.kinds.setdefault(kind, {})
        if name in items:
            if items[name]["spec"] == spec:
                return
            items[name]["spec"] = spec
        else:
            items[name] = {
                "metadata": {"name": name, "createRevision": self.revision + 1, "finalizers": [], "deleting": False},
                "spec": spec,
                "status": None,
            }
        self._note(kind, items[name], False)

    def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self._note(kind, item, True)

    async def start(self, ip, port):
        self.server = await http1.serve(ip, port, self._handle)

    async def _handle(self, connection, request):
        answer = None if self.isSilent else await self._answer(request)
        if answer is None or self.isSilent:
            # The connection stays open until the caller gives it up.
            await connection.reader.read()
            raise ConnectionError("the answer is lost")
        status, body = answer
        await connection.respond(status, [("Content-Type", "application/json")], json.dumps(body).encode())

    async def _answer(self, request):
        self.calls += 1
        parts = urlsplit(request.target)
        path = [unquote(part) for part in parts.path.split("/") if part]
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if path[:2] != ["api", "objects"] or len(path) < 3:
            return 404, {}
        kind = path[2]
        if "watch" not in query:
            await asyncio.sleep(self.delayOf(request.method, kind))
        items = self.kinds.setdefault(kind, {})
        if len(path) == 3:
            if request.method == "POST":
                return self._create(kind, items, json.loads(request.body))
            if "watch" in query:
                return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", "0")) / 1000)
            return self._list(items, query.get("after", ""))
        name = path[3]
        item = items.get(name)
        if item is None:
            return 404, {}
        if request.method == "GET":
            return 200, item
        sent = json.loads(request.body) if request.body else {}
        expected = sent.get("metadata", {}).get("revision", query.get("revision"))
        if expected is not None and int(expected) != item["metadata"]["revision"]:
            return 409, item
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        field = "status" if path[4:] == ["status"] else "spec"
        if item[field] != sent.get(field):
            item[field] = sent.get(field)
            self._note(kind, item, False)
        return 200, item

    def _create(self, kind, items, sent):
        name = sent["metadata"]["name"]
        if name in items:
            return 409, items[name]
        self.put(kind, name, sent.get("spec"))
        if self.onCreated is not None:
            self.onCreated(kind, name, sent.get("spec"))
        return 201, items[name]

    def _list(self, items, after):
        names = sorted(name for name in items if name > after)
        page = names[:500]
        return 200, {"items": [items[name] for name in page], "more": len(names) > len(page), "at": self.revision}

    async def _watch(self, kind, since, wait):
        until = asyncio.get_running_loop().time() + wait
        while True:
            found = [(item, isDeleted) for revision, of, item, isDeleted in self.events if of == kind and revision > since]
            left = until - asyncio.get_running_loop().time()
            if found or left <= 0:
                events = [{"object": item, "deleted": isDeleted} for item, isDeleted in found]
                return 200, {"events": events, "at": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
