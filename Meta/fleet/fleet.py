"""A complete fleet on loopback: fake platform, fake engines, instances with entry, batch and agent, and rules in force."""

import json
import os
import secrets
import subprocess

from processes import Process, fetch, free_address, wait_until
from settings import write_settings

IN_FORCE_SECONDS = 30


class Fleet:
    def __init__(self, site, build_folder, folder, engine_options=(), record=False, settings=None, rules=None):
        self.site = site
        self.bin = os.path.join(build_folder, "bin")
        self.folder = folder
        self.engine_options = list(engine_options)
        self.record = record
        # Rules file that replaces the site's.
        self.rules = rules or site.rules
        # Settings that override the defaults, as {PROGRAM: {SECTION: {KEY: VALUE}}}.
        self.settings = settings or {}
        self.platform = None
        self.engines = []
        self.instances = []
        self.processes = []
        os.makedirs(self.logs, exist_ok=True)
        self.key_file = os.path.join(folder, "fleet.key")
        with open(self.key_file, "w", encoding="utf-8", opener=lambda path, flags: os.open(path, flags, 0o600)) as key:
            key.write(secrets.token_hex(16) + "\n")

    @property
    def logs(self):
        return os.path.join(self.folder, "logs")

    def start(self, instances, external_engines=()):
        self.start_platform()
        if external_engines:
            self.use_external_engines(external_engines)
        for pool in self.site.pools:
            if not any(engine["pool"] == pool.name for engine in self.engines):
                self.start_engines(pool)
        self.allocate_instances(instances)
        self.publish_endpoints()
        self.apply_rules(self.rules)
        self.start_instances()
        self.wait_in_force()

    def spawn(self, name, program, *arguments):
        process = Process(name, [os.path.join(self.bin, program), *arguments], self.logs)
        self.processes.append(process)
        return process

    def start_platform(self):
        process = self.spawn("platform", "anvilyard-fake-platform")
        self.platform = process.first_line()["platform"]

    def use_external_engines(self, addresses):
        pool = self.site.pools[0]
        for number, address in enumerate(addresses, 1):
            self.engines.append({"id": f"{pool.name}-{number}", "pool": pool.name, "address": address, "pid": None})

    def start_engines(self, pool):
        started = []
        for number in range(1, pool.servers + 1):
            name = f"{pool.name}-{number}"
            arguments = ["--kind", pool.kind, *self.engine_options]
            if pool.models:
                arguments += ["--models", pool.models]
            if self.record:
                arguments += ["--record", self.record_file(name)]
            started.append((name, self.spawn(name, "anvilyard-fake-engine", *arguments)))
        for name, process in started:
            self.engines.append({"id": name, "pool": pool.name, "address": process.first_line()["listen"], "pid": process.pid})

    def record_file(self, engine):
        return os.path.join(self.folder, f"{engine}.records.jsonl")

    def allocate_instances(self, count):
        for number in range(1, count + 1):
            centres = self.site.data_centres
            self.instances.append(
                {
                    "id": f"instance-{number}",
                    "data_centre": centres[(number - 1) % len(centres)],
                    "entry": free_address(),
                    "entry_peer": free_address(),
                    "batch_peer": free_address(),
                    "agent": free_address(),
                    "admins": {program: free_address() for program in ("agent", "entry", "batch")},
                    "pids": {},
                }
            )

    def publish_endpoints(self):
        """Registers all servers and instances in the endpoint lists of the fake platform."""
        centres = self.site.data_centres
        services = {"anvilyard": []}
        for number, engine in enumerate(self.engines):
            endpoints = services.setdefault(engine["pool"], [])
            endpoints.append({"id": engine["id"], "address": engine["address"], "zone": centres[number % len(centres)]})
        for instance in self.instances:
            services["anvilyard"].append({"id": instance["id"], "address": instance["agent"], "zone": instance["data_centre"]})
        body = json.dumps([{"service": service, "endpoints": endpoints} for service, endpoints in services.items()]).encode()
        status, response = fetch(self.platform, "/control/slices", body, "PUT")
        if status != 200:
            raise RuntimeError(f"the platform refused the endpoints: {status} {response.decode()}")

    def control(self, *arguments):
        """Runs anvilyardctl against the fleet's platform and returns its exit code and output."""
        command = [os.path.join(self.bin, "anvilyardctl"), *arguments, "--platform", self.platform]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        return completed.returncode, completed.stdout + completed.stderr

    def apply_rules(self, file):
        code, output = self.control("apply", file)
        if code != 0:
            raise RuntimeError(f"anvilyardctl apply {file} exited with code {code}: {output}")

    def start_instances(self):
        started = []
        for instance in self.instances:
            for program in ("agent", "entry", "batch"):
                file = write_settings(self, instance, program)
                process = self.spawn(f"{instance['id']}-{program}", f"anvilyard-{program}", "--config", file)
                instance["pids"][program] = process.pid
                started.append((process, instance["admins"][program]))
        for process, admin in started:
            process.wait_ready(admin)

    def wait_in_force(self):
        """Waits until every entry serves the online service, which shows that the rules are in force."""
        key = next(iter(self.site.keys.values()))
        body = json.dumps({"model": self.site.online_service, "prompt": "ready?", "max_tokens": 1}).encode()
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        for instance in self.instances:
            wait_until(
                lambda entry=instance["entry"]: fetch(entry, "/v1/completions", body, "POST", headers)[0] == 200,
                IN_FORCE_SECONDS,
                f"the rules to be in force at {instance['id']}",
            )

    def describe(self):
        instances = [{**instance, "admin": instance["admins"]["entry"]} for instance in self.instances]
        return {
            "platform": self.platform,
            "instances": instances,
            "engines": self.engines,
            "keys": self.site.keys,
            "logs": self.logs,
        }

    def stop(self):
        """Gracefully stops instances, then engines, then the platform. Returns the exit codes of failed processes by name."""
        groups = [
            [process for process in self.processes if process.name.startswith("instance-")],
            [process for process in self.processes if not process.name.startswith("instance-") and process.name != "platform"],
            [process for process in self.processes if process.name == "platform"],
        ]
        failures = {}
        for group in groups:
            for process in group:
                process.ask_to_stop()
            for process in group:
                code = process.wait_stopped()
                if code != 0:
                    failures[process.name] = code
        return failures
