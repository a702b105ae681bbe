"""Starts, monitors and stops the processes of one deployment on loopback.

Processes are stopped only through the handles that they were started with.
"""

import json
import os
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

LOOPBACK = "127.0.0.1"
STOP_WAIT_S = 20.0


_given_ports = set()


def _is_free(port, kind):
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


def free_port():
    """A loopback port that is free for UDP and TCP. Never returns the same port
    twice."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            probe.bind((LOOPBACK, 0))
            port = probe.getsockname()[1]
        if port in _given_ports or not _is_free(port, socket.SOCK_DGRAM):
            continue
        _given_ports.add(port)
        return port


def free_endpoint():
    """A loopback endpoint with a port from free_port()."""
    return f"{LOOPBACK}:{free_port()}"


def wait_until(condition, timeout_s, what):
    """Polls `condition` until it is true. Returns the seconds that it took;
    raises TimeoutError after `timeout_s`."""
    start = time.monotonic()
    while True:
        if condition():
            return time.monotonic() - start
        if time.monotonic() - start > timeout_s:
            raise TimeoutError(f"{what}: not within {timeout_s:g} s")
        time.sleep(0.02)


def fetch(endpoint, path, timeout_s=2.0):
    """Body of the response to a GET; None if the request fails."""
    try:
        url = f"http://{endpoint}{path}"
        with urllib.request.urlopen(url, timeout=timeout_s) as answer:
            return answer.read().decode()
    except (urllib.error.URLError, OSError):
        return None


def fetch_json(endpoint, path, timeout_s=2.0):
    body = fetch(endpoint, path, timeout_s)
    return None if body is None else json.loads(body)


@dataclass
class Process:
    """A started process with its log file."""

    name: str
    handle: subprocess.Popen
    log: Path
    admin: str = ""
    details: dict = field(default_factory=dict)

    def alive(self):
        return self.handle.poll() is None

    def send(self, signal_number):
        if self.alive():
            self.handle.send_signal(signal_number)

    def wait(self, timeout_s):
        return self.handle.wait(timeout_s)

    def stop(self, timeout_s=STOP_WAIT_S):
        """Requests a planned stop and waits. Returns the exit code."""
        self.send(signal.SIGTERM)
        return self.wait(timeout_s)

    def kill(self):
        self.send(signal.SIGKILL)
        self.handle.wait(STOP_WAIT_S)

    def log_text(self):
        return self.log.read_text(errors="replace")


class ProcessGroup:
    """The processes started by one run."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.started = []

    def start(self, name, arguments, admin="", environment=None, **details):
        log = self.folder / f"{name}.log"
        with open(log, "wb") as out:
            handle = subprocess.Popen(
                [str(x) for x in arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "ASAN_OPTIONS": "detect_leaks=0",
                    **(environment or {}),
                },
            )
        process = Process(name, handle, log, admin, details)
        self.started.append(process)
        return process

    def stop_all(self):
        """Stops all running processes: SIGTERM first, SIGKILL after
        STOP_WAIT_S."""
        for process in reversed(self.started):
            # A paused process cannot react to SIGTERM.
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        end = time.monotonic() + STOP_WAIT_S
        for process in reversed(self.started):
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
