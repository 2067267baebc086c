"""Starts the project's own programs with the command and the settings templates of the deploy file, and speaks to them as callers do."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

import http1

Repository = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
Program = os.path.join("target", "bin", "anvilyard-node")
Host = "ficu95.example"


class CannotRun(Exception):
    """The case could not be played."""


def freePort(ip):
    """A port that is free for TCP and UDP."""
    for _ in range(50):
        with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
            stream.bind((ip, 0))
            port = stream.getsockname()[1]
            try:
                datagram.bind((ip, port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


class Node:
    """One process of the project, an entry or a runner."""

    def __init__(self, fleet, name, role, zone, number):
        self.name = name
        self.fleet = fleet
        self.ip = f"127.{fleet.net[0]}.{fleet.net[1]}.{number}"
        self.peers = freePort(self.ip)
        self.front = freePort(self.ip)
        self.ready = freePort(self.ip)
        self.process = None
        values = {
            "nodeName": name,
            "zone": zone,
            "ip": self.ip,
            "listen.frontend": f"{self.ip}:{self.front}",
            "listen.ready": f"{self.ip}:{self.ready}",
            "portRange.0": str(self.peers),
            "platform.address": f"{fleet.storeIp}:{fleet.storePort}",
            "bounds.graceS": "8",
        }
        template = open(os.path.join(Repository, "deploy", f"{role}.yaml.in")).read()
        self.settings = os.path.join(fleet.folder, f"{name}.yaml")
        with open(self.settings, "w") as file:
            file.write(re.sub(r"\{\{([^}]*)\}\}", lambda match: values[match.group(1)], template))
        self.log = os.path.join(fleet.folder, f"{name}.log")

    async def start(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(Repository, Program),
                cwd=Repository,
                env={"PATH": os.environ.get("PATH", ""), "ANVILYARD_CONFIG": self.settings},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.fleet.note("start", node=self.name)

    async def kill(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.fleet.note("kill", node=self.name)

    async def isReady(self):
        answer = await http1.call(self.ip, self.ready, "GET", "/api/readyz", [("Host", "ready")], timeout=1)
        return answer is not None and answer[0] == 200


class Fleet:
    def __init__(self, folder):
        self.startedAt = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.net = (random.randint(64, 126), random.randint(1, 254))
        self.storeIp = f"127.{self.net[0]}.{self.net[1]}.250"
        self.storePort = freePort(self.storeIp)
        self.nodes = []

    def now(self):
        return time.monotonic() - self.startedAt

    def note(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(f"{self.now():8.3f} {what} {text}\n")
        self.record.flush()

    def add(self, name, role, zone="zone-a"):
        node = Node(self, name, role, zone, len(self.nodes) + 1)
        self.nodes.append(node)
        return node

    async def waitUntilReady(self, entries, timeout=15):
        until = self.now() + timeout
        for entry in entries:
            while not await entry.isReady():
                if self.now() > until:
                    raise CannotRun(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)

    async def end(self):
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.send_signal(signal.SIGKILL)
                await node.process.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # What callers of batch jobs do, each call on a new connection.

    async def submit(self, entry, job, items, prefix="/pule252/", tries=8):
        """`items`: list of (id, tokens). Returns whether the job was accepted."""
        body = json.dumps(
            {
                "items": [
                    {
                        "id": item,
                        "path": f"{prefix}{item[:4]}/{item}",
                        "headers": {
                            "Anvilyard-Model": "m",
                            "Anvilyard-Token-Usage": "250,200",
                            "Anvilyard-Prompt-Prefix": f"{job}:100,{item}:150",
                        },
                        "body": base64.b64encode(item.encode()).decode(),
                        "tokens": tokens,
                    }
                    for item, tokens in items
                ]
            }
        ).encode()
        for _ in range(tries):
            answer = await http1.call(
                entry.ip,
                entry.front,
                "POST",
                f"{prefix}{job}",
                [("Host", Host), ("Anvilyard-Attempt-Id", job), ("Content-Type", "application/json")],
                body,
            )
            self.note("submitted", job=job, items=len(items), status=answer[0] if answer else "none")
            if answer and answer[0] == 202:
                return True
            await asyncio.sleep(0.5)
        return False

    async def results(self, entry, job):
        """Returns the listed results {item: (state, output)} of a job, or None without an answer."""
        found = {}
        after = 0
        while True:
            answer = await http1.call(entry.ip, entry.front, "GET", f"/api/lots/{job}?after={after}", [("Host", Host)])
            if answer is None or answer[0] != 200:
                self.note("read", job=job, after=after, status=answer[0] if answer else "none")
                return None
            page = json.loads(answer[2])
            for result in page["results"]:
                found[result["id"]] = (result["state"], result.get("output", ""))
            if not page["results"] or page["nextToken"] >= page["total"]:
                return found
            after = page["nextToken"]


def newId():
    return f"{random.getrandbits(64):016x}"


def desiredState(attempts=3, queueTtlS=60, cap=1900000, services=("dele69a",)):
    """A desired state with one batch route and one route of streams, with the figures of the site's sheet."""
    model = services[0]
    return {
        "version": 7,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 10000},
        "services": [{"name": name, "healthPath": "/healthz", "maxConns": 310} for name in services],
        "routes": [
            {
                "name": "history-report",
                "host": Host,
                "pathPrefix": "/pule252/",
                "kind": "batch",
                "service": model,
                "timeoutMs": 15000,
                "sloMs": 400,
                "attempts": attempts,
                "priority": 2,
                "cap": cap,
                "completionTargetMs": 18000,
                "queueTtlS": queueTtlS,
                "sessionAffinity": True,
                "resumable": True,
            },
            {
                "name": "fault-summary",
                "host": Host,
                "pathPrefix": "/lohu930/",
                "kind": "streaming",
                "service": model,
                "timeoutMs": 5000,
                "sloMs": 300,
                "attempts": 2,
                "priority": 0,
                "gapAimMs": 600,
                "sessionAffinity": True,
                "resumable": True,
            },
        ],
    }


def play(folder, case, limit=112):
    """Runs `case(fleet, isTroubled)`, which returns whether the rule held, and exits as the issue asks."""
    isTroubled = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # Tasks of the stand-ins' connections are cancelled at the end.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        if not os.path.exists(os.path.join(Repository, Program)):
            raise CannotRun(f"{Program} is not built")
        fleet = Fleet(folder)
        fleet.note("case", trouble=int(isTroubled))
        try:
            return await asyncio.wait_for(case(fleet, isTroubled), limit)
        finally:
            await fleet.end()

    try:
        held = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print("could not run:", repr(error))
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
