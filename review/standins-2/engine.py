"""A stand-in of a model engine, by PROTOCOL.md ("Engines", "Batch jobs")."""

import asyncio
import time

import http1
from fleet import freePort


class Engine:
    """Runs each request as a stream of events. `planOf(request id, number of its run)` may give a run another end."""

    def __init__(self, fleet, store, name, number, service="dele69a", slots=8, zone="zone-a"):
        self.fleet = fleet
        self.store = store
        self.id = name
        self.service = service
        self.slots = slots
        self.zone = zone
        self.ip = f"127.{fleet.net[0]}.{fleet.net[1]}.{200 + number}"
        self.port = freePort(self.ip)
        self.born = int(time.time() * 1000)
        self.free = asyncio.Semaphore(slots)
        self.running = 0
        self.waiting = 0
        self.runs = {}
        self.runningIds = {}
        self.answers = 0
        self.events = 10
        self.gap = 0.05
        self.firstEventAfter = 0.05
        # (request id, run) -> None for a whole stream, or a dict with "end": "500" | "lost" and "after": seconds.
        self.planOf = lambda request, run: None
        # Seconds after which an idle connection is forgotten: whatever is sent on it next is reset. None: never.
        self.forgetsAfter = None
        # Whether a copy of the answer to this run comes again in place of the next answer on its connection.
        self.hasSurplus = lambda request, run: False
        self.resets = 0

    async def start(self):
        self.server = await http1.serve(self.ip, self.port, self._handle, self._onFirstByte)
        self.register()

    def register(self, state="ready"):
        self.store.put(
            "servers",
            self.id,
            {
                "service": self.service,
                "address": f"{self.ip}:{self.port}",
                "zone": self.zone,
                "version": "1.0",
                "slots": self.slots,
                "state": state,
                "warmupLeftMs": 0,
                "sequence": 1,
                "born": self.born,
                "phase": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
            },
        )

    def _onFirstByte(self, connection):
        if self.forgetsAfter is None or connection.restingSince is None:
            return True
        rested = asyncio.get_running_loop().time() - connection.restingSince
        if rested < self.forgetsAfter:
            return True
        self.resets += 1
        self.fleet.note("reset-of-idle-connection", server=self.id, rested_ms=int(rested * 1000))
        connection.reset()
        return False

    def _headers(self, request):
        return [
            ("Anvilyard-Attempt-Id", request),
            ("Anvilyard-Instance-Id", self.id),
            ("Anvilyard-Instance-Load", f"{self.running},{self.waiting},{self.slots}"),
            ("Anvilyard-Weight-Versions", "1"),
        ]

    async def _handle(self, connection, request):
        if connection.surplus is not None:
            # The surplus answer comes late, where the next answer is expected.
            surplus, connection.surplus = connection.surplus, None
            self.fleet.note("surplus-answer-sent", server=self.id)
            await connection.send(surplus)
        if request.target == "/healthz":
            return await connection.respond(200, self._headers("")[1:], b"")
        id = request.header("Anvilyard-Attempt-Id")
        if request.header("Anvilyard-Expect-Instance", self.id) != self.id:
            return await connection.respond(421, [("Anvilyard-Instance-Id", self.id)], b"")
        if not id:
            return await connection.respond(400, [("Anvilyard-Not-Executed", "1")], b"")
        if self.waiting >= 24:
            return await connection.respond(503, self._headers(id) + [("Anvilyard-Not-Executed", "1")], b"")
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            self.runningIds[id] = self.runningIds.get(id, 0) + 1
            try:
                await self._run(connection, request, id)
            finally:
                self.running -= 1
                self.runningIds[id] -= 1

    async def _run(self, connection, request, id):
        run = self.runs[id] = self.runs.get(id, 0) + 1
        last = int(request.header("Last-Event-Id", "0") or "0")
        self.fleet.note("runs", request=id, server=self.id, run=run, after_event=last)
        plan = self.planOf(id, run)
        if plan is not None:
            if not await self._work(connection, plan["after"]):
                return
            if plan["end"] == "lost":
                self.fleet.note("answer-lost", request=id, server=self.id, run=run)
                connection.reset()
                raise ConnectionError("the answer is lost")
            headers = self._headers(id) + [("Anvilyard-Response-Signature", f"{id}.{run}"), ("Content-Type", "text/plain")]
            self.answers += 1
            self.fleet.note("answers", request=id, server=self.id, run=run, status=500)
            await connection.respond(500, headers, b"failed")
            if self.hasSurplus(id, run):
                lines = ["HTTP/1.1 500 X"] + [f"{name}: {value}" for name, value in headers] + ["Content-Length: 6"]
                connection.surplus = ("\r\n".join(lines) + "\r\n\r\n").encode() + b"failed"
            return
        if not await self._work(connection, self.firstEventAfter):
            return
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in self._headers(id)]
        lines += [f"Anvilyard-Response-Signature: {id}.{run}", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        await connection.send(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(last + 1, self.events + 1):
            event = f"id: {number}\ndata: {id}-{number}\n\n".encode()
            await connection.send(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            if not await self._work(connection, self.gap):
                return
        await connection.send(b"0\r\n\r\n")
        self.answers += 1
        self.fleet.note("answers", request=id, server=self.id, run=run, status=200)

    async def _work(self, connection, seconds):
        """Returns whether the request goes on: it is dropped when its connection closes."""
        until = asyncio.get_running_loop().time() + seconds
        while True:
            if connection.isClosedByCaller():
                self.fleet.note("dropped", server=self.id)
                return False
            left = until - asyncio.get_running_loop().time()
            if left <= 0:
                return True
            await asyncio.sleep(min(left, 0.02))
