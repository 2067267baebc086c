"""Starts the fleet's programs, waits until they are ready, and stops them gracefully."""

import json
import os
import random
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

READY_SECONDS = 20
STOP_SECONDS = 40


# Below the usual range of ephemeral ports: an outgoing connection could take such a port between the check and its use.
LISTENING_PORTS = range(15000, 32000)
allocated_ports = set()


def free_port():
    """Returns a port that was free when checked. It is chosen here because the processes of an instance need each other's addresses before
    they start."""
    while True:
        port = random.choice(LISTENING_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in allocated_ports:
            allocated_ports.add(port)
            return port


def free_address():
    return f"127.0.0.1:{free_port()}"


def fetch(address, path, body=None, method=None, headers=None, timeout=10):
    """Returns the status and body of a response. The status is 0 if the connection fails or times out."""
    request = urllib.request.Request(f"http://{address}{path}", data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except (OSError, TimeoutError):
        return 0, b""


def wait_until(condition, seconds, description, every=0.02):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(every)
    raise RuntimeError(f"timed out after {seconds} s waiting for {description}")


class Process:
    """A running program of the fleet, with its output in the log folder."""

    def __init__(self, name, command, log_folder):
        self.name = name
        self.log_file = os.path.join(log_folder, f"{name}.log")
        self.output_file = os.path.join(log_folder, f"{name}.out")
        with open(self.log_file, "ab") as log, open(self.output_file, "ab") as output:
            # A separate session keeps the terminal's interrupt from the program, so that the fleet can stop its programs in order.
            self.process = subprocess.Popen(command, stdout=output, stderr=log, stdin=subprocess.DEVNULL, start_new_session=True)
        self.stop_requested = False

    @property
    def pid(self):
        return self.process.pid

    def first_line(self):
        """Waits for and returns the JSON line that a fake engine or the fake platform prints when it is ready."""
        wait_until(lambda: self.has_line() or self.has_ended(), READY_SECONDS, f"{self.name}'s first line")
        if not self.has_line():
            raise RuntimeError(f"{self.name} exited with code {self.process.returncode}: {self.log_tail()}")
        with open(self.output_file, encoding="utf-8") as output:
            return json.loads(output.readline())

    def has_line(self):
        with open(self.output_file, "rb") as output:
            return output.readline().endswith(b"\n")

    def has_ended(self):
        return self.process.poll() is not None

    def wait_ready(self, admin):
        def is_ready():
            if self.has_ended():
                raise RuntimeError(f"{self.name} exited with code {self.process.returncode}: {self.log_tail()}")
            return fetch(admin, "/readyz", timeout=1)[0] == 200

        wait_until(is_ready, READY_SECONDS, f"{self.name} to be ready")

    def log_tail(self):
        with open(self.log_file, encoding="utf-8", errors="replace") as log:
            return log.read()[-2000:].strip()

    def ask_to_stop(self):
        if not self.has_ended():
            self.stop_requested = True
            self.process.send_signal(signal.SIGTERM)

    def wait_stopped(self):
        """Returns the exit code. A program that does not stop in time is killed, which returns -9."""
        try:
            return self.process.wait(timeout=STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()
