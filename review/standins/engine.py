"""Stand-in for a model engine. It registers itself, answers POST requests with events, and crashes at SIGUSR1: its port is closed and its
channels break off.

usage: engine.py JSON, with id, address, store, service, version, zone, slots, log (a file), head_s (time from the head of an answer to
its first event), events, gap_s (time between two events) and start_s (time from the start of the process to its readiness). Optional:
fails, the number of runs that are answered with 500, by the id of the request; extra, the ids of requests whose 500 is sent a second time on
its channel, at the point where the next response is expected; spoil, the ids of requests of which the first run's last event is spoiled.
"""
import asyncio
import json
import os
import signal
import sys
import time

import http1

HEARTBEAT_S = 1.2
CLOSE_CHECK_S = 0.02
BORN = int(time.time() * 1000)


class Engine:
    def __init__(self, options):
        self.options = options
        self.running = 0
        self.waiting = []
        self.failed = {}
        self.spoil = list(options.get("spoil", []))
        self.log = open(options["log"], "a", buffering=1)

    def note(self, **fields):
        fields |= {"at": round(time.time(), 3), "engine": self.options["id"], "version": self.options["version"], "born": BORN}
        self.log.write(json.dumps(fields) + "\n")

    def spec(self, sequence):
        options = self.options
        return {"service": options["service"], "address": options["address"], "zone": options["zone"], "version": options["version"],
                "slots": options["slots"], "state": "ready", "warmupLeftMs": 0, "sequence": sequence, "born": BORN,
                "phase": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}

    async def register(self):
        store, name = self.options["store"], self.options["id"]
        headers = [("Host", store), ("From", name), ("Beat", "1")]
        sequence = 0
        is_registered = False
        while True:
            body = json.dumps({"metadata": {"name": name}, "spec": self.spec(sequence)}).encode()
            answer = await http1.call(store, "PUT", f"/api/objects/servers/{name}", headers, body, 2.0)
            if answer and answer[0] == 404:
                answer = await http1.call(store, "POST", "/api/objects/servers", headers, body, 2.0)
                # The entry counts from its first write on.
                await http1.call(store, "PUT", f"/api/objects/servers/{name}", headers, body, 2.0)
            if answer and not is_registered:
                is_registered = True
                self.note(event="registered")
            sequence += 1
            await asyncio.sleep(HEARTBEAT_S)

    async def take_slot(self):
        if self.running < self.options["slots"]:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn

    def free_slot(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    async def run(self, reader, writer, attempt, after):
        options = self.options
        head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                f"Anvilyard-Attempt-Id: {attempt}\r\nAnvilyard-Response-Signature: sig-{attempt}\r\n"
                f"Anvilyard-Weight-Versions: 1\r\nAnvilyard-Instance-Id: {options['id']}\r\n\r\n")
        writer.write(head.encode())
        await writer.drain()
        await asyncio.sleep(options["head_s"])
        for number in range(after + 1, options["events"] + 1):
            event = f"id: {number}\ndata: {options['version']}-{attempt}-{number}\n\n".encode()
            if number == options["events"] and attempt in self.spoil:
                self.spoil.remove(attempt)
                self.note(event="spoils", request=attempt)
                event = event.replace(b"data: ", b"data: \xff\xfe")
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(options["gap_s"])
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def exchange(self, reader, writer, extra):
        line, headers = await http1.read_head(reader)
        await http1.read_body(reader, headers)
        for answer, request in extra:
            writer.write(answer)
            self.note(event="extra answer", request=request, status=500)
        extra.clear()
        method, target, _ = line.split(" ", 2)
        attempt = http1.header(headers, "anvilyard-attempt-id")
        echo = [("Anvilyard-Instance-Id", self.options["id"])] + ([("Anvilyard-Attempt-Id", attempt)] if attempt else [])
        if method == "GET" and target == "/healthz":
            writer.write(http1.response_bytes(200, echo))
            return
        expected = http1.header(headers, "anvilyard-expect-instance")
        if expected not in (None, self.options["id"]):
            writer.write(http1.response_bytes(421, echo + [("Anvilyard-Not-Executed", "1")]))
            return
        after = int(http1.header(headers, "last-event-id") or 0)
        if self.failed.get(attempt, 0) < self.options.get("fails", {}).get(attempt, 0):
            self.failed[attempt] = self.failed.get(attempt, 0) + 1
            self.note(event="runs", request=attempt, target=target, after=after)
            answer = http1.response_bytes(500, echo + [("Anvilyard-Response-Signature", f"sig-{attempt}-500")], b"failed")
            writer.write(answer)
            self.note(event="fails", request=attempt, status=500)
            if attempt in self.options.get("extra", []):
                extra.append((answer, attempt))
            return
        # The request is dropped as soon as its channel closes.
        work = asyncio.ensure_future(self.serve_slot(reader, writer, attempt, target, after))
        while not work.done():
            await asyncio.wait({work}, timeout=CLOSE_CHECK_S)
            if not work.done() and (reader.at_eof() or reader.exception()):
                work.cancel()
                self.note(event="dropped", request=attempt)
                raise http1.Closed
        await work

    async def serve_slot(self, reader, writer, attempt, target, after):
        await self.take_slot()
        try:
            self.note(event="runs", request=attempt, target=target, after=after)
            await self.run(reader, writer, attempt, after)
            self.note(event="done", request=attempt)
        finally:
            self.free_slot()

    async def serve(self, reader, writer):
        try:
            extra = []
            while True:
                await self.exchange(reader, writer, extra)
        except (http1.Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def main():
    options = json.loads(sys.argv[1])
    await asyncio.sleep(options.get("start_s", 0))
    engine = Engine(options)
    host, port = options["address"].rsplit(":", 1)
    server = await asyncio.start_server(engine.serve, host, int(port))

    def crash():
        # The kernel would close the channels of a killed process some microseconds before its port.
        server.close()
        os._exit(1)

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, crash)
    engine.note(event="started")
    async with server:
        await asyncio.gather(server.serve_forever(), engine.register())


asyncio.run(main())
