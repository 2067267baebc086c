"""Starts a small deployment of separate processes on loopback addresses: the project's own nodes, with the command and the settings
templates of the deploy file, and the stand-ins of the platform's store and of the engines."""
import asyncio
import base64
import ctypes
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

import http1

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
STANDINS = os.path.dirname(os.path.abspath(__file__))
ZONES = ["zone-a", "zone-b", "zone-c"]
GRACE_S = 8
# A script may run for 120 seconds.
MAX_RUN_S = 110
CALLER_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, METRICS_PORT, ENGINE_PORT, STORE_PORT = 8144, 8140, 8146, 7660, 9464, 8587, 8142

LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


def are_free(host, ports):
    for port in ports:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    return False
    return True


def fill_in(template, fields):
    """Substitutes the plain placeholders of a settings template."""
    def value(match):
        found = fields
        for key in match.group(1).split("."):
            found = found[int(key)] if isinstance(found, list) else found[key]
        return str(found)
    return re.sub(r"\{\{([A-Za-z0-9.]+)\}\}", value, template)


def end_with_parent():
    """Has the kernel kill the new process when the script ends, however that happens."""
    PR_SET_PDEATHSIG = 1
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    def __init__(self, arguments, log, environment=None):
        self.arguments, self.log, self.environment = arguments, log, environment
        self.child = None

    def start(self):
        with open(self.log, "ab") as output:
            self.child = subprocess.Popen(self.arguments, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=output, stderr=output,
                                          env=self.environment or dict(os.environ), preexec_fn=end_with_parent)

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.child:
            self.child.wait()

    def has_ended(self):
        return self.child is None or self.child.poll() is not None


class Fleet:
    def __init__(self, record):
        self.folder = tempfile.mkdtemp(prefix="anvilyard-review-")
        self.record_file = open(record, "w", buffering=1)
        self.began = time.time()
        self.processes = []
        self.nodes, self.engines, self.engine_options = {}, {}, {}
        self.entries = {}
        while True:
            self.block = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
            if all(are_free(f"{self.block}.{host}", [STORE_PORT, CALLER_PORT, PEER_PORT, METRICS_PORT, ENGINE_PORT])
                   for host in range(1, 60)):
                break
        self.next_host = 1
        self.store = self.new_host() + f":{STORE_PORT}"
        self.engine_log = os.path.join(self.folder, "engines.jsonl")
        open(self.engine_log, "w").close()
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    def new_host(self):
        self.next_host += 1
        return f"{self.block}.{self.next_host}"

    def note(self, text):
        line = f"{time.time() - self.began:8.3f} s  {text}"
        self.record_file.write(line + "\n")

    def spawn(self, name, arguments, environment=None):
        process = Process(arguments, os.path.join(self.folder, name + ".log"), environment)
        process.start()
        self.processes.append(process)
        return process

    async def start_store(self, state):
        self.spawn("store", [sys.executable, "-B", os.path.join(STANDINS, "store.py"), self.store])
        for _ in range(100):
            if await self.operator("POST", "/api/objects/config", {"metadata": {"name": "main"}, "spec": state}):
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the store did not start")

    async def operator(self, method, target, content=None):
        body = json.dumps(content).encode() if content is not None else b""
        return await http1.call(self.store, method, target, [("Host", self.store), ("From", "operator")], body, 3.0)

    async def set_store(self, mode):
        await self.operator("POST", "/control", {"mode": mode})
        self.note(f"the platform's store is now: {mode}")

    def start_node(self, role, zone):
        """Starts a node with the command and the settings template of the deploy file."""
        number = len(self.nodes) + 1
        name = f"{role}-{ZONES[zone]}-{number}"
        host = self.new_host()
        fields = {
            "nodeName": name, "ip": host, "zone": ZONES[zone], "portRange": [PEER_PORT, PEER_PORT + 15],
            "listen": {"frontend": f"{host}:{CALLER_PORT}", "ready": f"{host}:{READY_PORT}", "control": f"{host}:{CONTROL_PORT}"},
            "platform": {"address": self.store}, "bounds": {"graceS": GRACE_S},
        }
        deployed = self.roles[role]
        with open(os.path.join(REPOSITORY, deployed["template"]), encoding="utf-8") as file:
            settings = fill_in(file.read(), fields)
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        command = deployed["run"].split(" ")
        command[0] = os.path.join(REPOSITORY, command[0])
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ} | {"ANVILYARD_CONFIG": path}
        self.nodes[name] = self.spawn(name, command, environment)
        if role == "entry":
            self.entries[name] = {"callers": f"{host}:{CALLER_PORT}", "ready": f"{host}:{READY_PORT}"}
        return name

    def start_engine(self, name, zone, **options):
        address = f"{self.new_host()}:{ENGINE_PORT}" if name not in self.engine_options else self.engine_options[name]["address"]
        options = self.engine_options.get(name, {}) | {"id": name, "address": address, "store": self.store, "zone": ZONES[zone],
                                                       "log": self.engine_log} | options
        self.engine_options[name] = options
        self.engines[name] = self.spawn("engine-" + name, [sys.executable, "-B", os.path.join(STANDINS, "engine.py"), json.dumps(options)])

    def crash_engine(self, name):
        self.engines[name].signal(signal.SIGUSR1)
        self.engines[name].child.wait()

    async def is_ready(self, entry):
        answer = await http1.call(self.entries[entry]["ready"], "GET", "/api/readyz", timeout=1.0)
        return answer is not None and answer[0] == 200

    async def wait_until_ready(self, limit_s=15):
        until = time.time() + limit_s
        while time.time() < until:
            if all([await self.is_ready(entry) for entry in self.entries]):
                return True
            await asyncio.sleep(0.1)
        return False

    def runs(self, **wanted):
        with open(self.engine_log, encoding="utf-8") as file:
            lines = [json.loads(line) for line in file if line.endswith("\n")]
        return [line for line in lines if all(line.get(key) == value for key, value in wanted.items())]

    async def submit(self, entry, host, path, job, items, timeout=5.0):
        body = json.dumps({"items": items}).encode()
        headers = [("Host", host), ("Anvilyard-Attempt-Id", job), ("Content-Type", "application/json")]
        return await http1.call(self.entries[entry]["callers"], "POST", path, headers, body, timeout)

    async def results(self, entry, host, job, after=0):
        answer = await http1.call(self.entries[entry]["callers"], "GET", f"/api/lots/{job}?after={after}", [("Host", host)], timeout=4.0)
        if answer is None or answer[0] != 200:
            return answer[0] if answer else None, None
        return 200, json.loads(answer[2])

    def end(self):
        """Ends all processes and adds what the engines saw to the record."""
        for process in self.processes:
            process.kill()
        self.record_file.write("\nwhat the engines saw (seconds since the start)\n")
        for line in self.runs():
            line["at"] = round(line["at"] - self.began, 3)
            self.record_file.write(json.dumps(line) + "\n")
        self.record_file.close()


def batch_item(name, path, prefix, body=b"text", tokens=300):
    return {"id": name, "path": path, "headers": {"Anvilyard-Model": "m", "Anvilyard-Token-Usage": "250,50",
                                                  "Anvilyard-Prompt-Prefix": prefix},
            "body": base64.b64encode(body).decode(), "tokens": tokens}


def run_case(case):
    """Runs the coroutine function with a new fleet. It returns a text if the rule was broken, an empty one if it held. Exits with 1, 0, or
    2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.modules["__main__"].__file__))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = None
    status = 2
    try:
        fleet = Fleet(os.path.join(folder, "record.txt"))
        fleet.note(f"TROUBLE={'1' if trouble else '0'}")
        broken = asyncio.run(asyncio.wait_for(case(fleet, trouble), MAX_RUN_S))
        status = 1 if broken else 0
        fleet.note(f"the rule was broken: {broken}" if broken else "the rule held")
        print(f"broken: {broken}" if broken else "held")
    except Exception as error:
        print(f"could not run: {error!r}")
        if fleet:
            fleet.note(f"the case could not run: {error!r}")
    if fleet:
        fleet.end()
        if os.environ.get("KEEP") == "1":
            print("logs:", fleet.folder)
        else:
            shutil.rmtree(fleet.folder, ignore_errors=True)
    sys.exit(status)
