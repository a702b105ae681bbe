"""A small deployment on loopback for the cases of this review: balancers and
agents as real processes, and stand-ins for the platform's store, its routers,
targets and clients.

The store is the project's own stand-in (test/harness/platform_standins.py).
Targets and clients are written here after PROTOCOL.md. Every machine has its
own loopback address; ports are the same on all machines.
"""

import json
import os
import queue
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "test"))

from harness.platform_standins import (  # noqa: E402
    ACK,
    FIN,
    RST,
    SYN,
    Packet,
    Store,
    decode,
    to_number,
)

BOUNCED = 128
HEARTBEAT_MS = 770
DRAIN_S = 3.0
CONTACT_S = 4.0
FLOW_TTL_S = 60
IDLE_TIMEOUT_S = 15.0
LONGEST_RUN_S = 115.0
CLIENT_ADDRESS = "127.30.0.1"
ROUTE = ("198.18.0.1", 443)
SERVICE = "portal"
RETRANSMIT_S = [0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6]
OPENING_COPIES_S = [0.2, 0.4, 0.8]


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    while True:
        with socket.socket() as tcp, socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        ) as udp:
            tcp.bind(("127.0.0.1", 0))
            try:
                udp.bind(tcp.getsockname())
            except OSError:
                continue
            return tcp.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt of a case."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.start:8.3f} s  {text}"
            self.file.write(line + "\n")
            self.file.flush()


class Machine:
    """A machine of the deployment with its settings file and process."""

    def __init__(self, fleet, name, role, zone, address):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.zone = zone
        self.address = address
        self.process = None
        self.starts = 0
        self.settings = fleet.folder / f"{name}.toml"
        store_address = f"127.21.{address.split('.', 2)[2]}"
        fleet.store.serve(name, store_address, fleet.ports["store"])
        self.settings.write_text(self._settings_text(store_address))

    def at(self, port):
        return (self.address, self.fleet.ports[port])

    def _settings_text(self, store_address):
        ports = self.fleet.ports
        is_agent = self.role == "agent"
        listen = ["packets", "readiness", "control"]
        listen += ["outbound"] if is_agent else []
        seeds = ", ".join(f'"{a}:{ports["control"]}"' for a in self.fleet.seeds)
        lines = [
            f'nodeName = "{self.name}"',
            f'role = "{self.role}"',
            f'machineClass = "{"side" if is_agent else "front"}"',
            f'ip = "{self.address}"',
            f'zone = "{self.zone}"',
            'region = "r"',
            f"portRange = [{ports['peers']}, {ports['peers'] + 15}]",
            f"seeds = [{seeds}]",
            "bootstrap = true",
            f"heartbeatMs = {HEARTBEAT_MS}",
            'hash = "steady"',
            'forwarding = "agent"',
        ]
        if is_agent:
            lines += [
                f'app = "{self.address}:{ports["app"]}"',
                f'backend = "{SERVICE}"',
            ]
        lines += ["[listen]"]
        lines += [f'{n} = "{self.address}:{ports[n]}"' for n in listen]
        lines += [
            "[limits]",
            "memoryMb = 128",
            "[bounds]",
            "contactMs = 4000",
            "drainMs = 3000",
            "graceS = 6",
            "applyMs = 3000",
            "evacuateMs = 5000",
            "warmupFactor = 1.5",
            "warmupSlack = 5",
            "reorderMs = 2000",
            f"flowTtlS = {FLOW_TTL_S}",
            "[platform]",
            f'address = "{store_address}:{ports["store"]}"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "historyS = 20",
            "valueBytes = 1048576",
            "ttlMinMs = 1000",
        ]
        return "\n".join(lines) + "\n"

    def start(self):
        self.starts += 1
        log = open(self.fleet.folder / f"{self.name}-{self.starts}.log", "wb")
        self.process = subprocess.Popen(
            [str(ROOT / "target/guavastair"), "platform", self.role],
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "GUAVASTAIR_CONFIG": str(self.settings),
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def wait_end(self):
        self.process.wait(timeout=10)

    def is_ready(self):
        try:
            with socket.create_connection(self.at("readiness"), 0.5) as link:
                link.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return link.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def log_lines(self, *words):
        found = []
        for part in range(1, self.starts + 1):
            log = self.fleet.folder / f"{self.name}-{part}.log"
            for line in log.read_text(errors="replace").splitlines():
                if any(f"event={word} " in line for word in words):
                    found.append(line)
        return found


class Fleet:
    """Balancers and agents; one service and one route."""

    def __init__(self, case_folder, agents=4, balancers=2):
        self.record = Record(case_folder)
        self.scratch = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.scratch.name)
        self.ports = {
            name: free_port()
            for name in (
                "packets", "readiness", "control", "outbound", "app", "store",
                "peers",
            )
        }
        self.store = Store()
        self.seeds = [f"127.20.{z}.1" for z in range(1, balancers + 1)]
        self.balancers = [
            Machine(self, f"front-{z}", "balancer", f"z{z}", f"127.20.{z}.1")
            for z in range(1, balancers + 1)
        ]
        self.agents = [
            Machine(
                self, f"side-{i}", "agent", f"z{i % balancers + 1}",
                f"127.20.{i % balancers + 1}.{101 + i}",
            )
            for i in range(agents)
        ]
        self.targets = []
        self.client = Client(self)
        route = {
            "name": "r1", "host": ROUTE[0], "prefix": f"/{ROUTE[1]}/",
            "type": "non_idempotent", "timeoutMs": 2000, "sloMs": 250,
            "priority": 0, "backend": SERVICE, "maxAttempts": 2,
        }
        backend = {
            "name": SERVICE, "healthPath": "/healthz", "maxConns": 2000,
            "protocol": "h1", "tls": False, "warmupS": 2.0, "warmupPerS": 0.0,
        }
        self.store.put("op/config", json.dumps({
            "version": 7, "routes": [route], "backends": [backend],
            "limits": {"idleTimeoutMs": int(IDLE_TIMEOUT_S * 1000)},
        }))

    def start(self):
        for machine in self.balancers + self.agents:
            machine.start()
        for machine in self.agents:
            self.targets.append(Target(self, machine))
        self.wait(lambda: all(b.is_ready() for b in self.balancers),
                  "balancers ready")
        self.wait(lambda: all(t.confirmed for t in self.targets),
                  "status reports confirmed")
        time.sleep(2.0)

    @staticmethod
    def wait(condition, what, limit_s=20.0):
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(what)
            time.sleep(0.02)

    def router(self, source):
        """The balancer that the platform's routers choose for a flow."""
        hashed = zlib.crc32(repr((source, ROUTE)).encode())
        return self.balancers[hashed % len(self.balancers)].at("packets")

    def close(self):
        for target in self.targets:
            target.stop()
        for machine in self.balancers + self.agents:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        self.client.close()
        self.store.close()
        self.scratch.cleanup()


class Target:
    """A backend target beside an agent, as PROTOCOL.md describes it."""

    def __init__(self, fleet, machine, name=None, capacity=20,
                 idle_discard_s=None, clock_ahead_ms=0):
        self.fleet = fleet
        self.machine = machine
        self.name = name or f"i-{random.getrandbits(32):08x}"
        self.capacity = capacity
        self.idle_discard_s = idle_discard_s
        self.born = int(time.time() * 1000) + clock_ahead_ms
        self.state = "ready"
        self.reports = 0
        self.confirmed = []
        self.flows = {}
        self.ended = set()
        self.openings = []
        self.runs = []
        self.running = True
        self.lock = threading.Lock()
        self.report_now = threading.Event()
        self.packets = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.packets.bind(machine.at("app"))
        self.packets.settimeout(0.1)
        self.health = socket.create_server(machine.at("app"), backlog=64)
        self.health.settimeout(0.1)
        fleet.record(f"target {self.name} starts on {machine.name}, born "
                     f"{self.born}")
        self.threads = [
            threading.Thread(target=work, daemon=True)
            for work in (self._receive, self._report, self._answer_health)
        ]
        for thread in self.threads:
            thread.start()

    def stop(self):
        if not self.running:
            return
        self.running = False
        self.report_now.set()
        for thread in self.threads:
            thread.join(2.0)
        self.packets.close()
        self.health.close()
        self.fleet.record(f"target {self.name} born {self.born} ends")

    def _answer_health(self):
        while self.running:
            try:
                link, _ = self.health.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            with link:
                link.settimeout(0.2)
                try:
                    if link.recv(1024):
                        status = "200 OK" if self.state == "ready" else "503 X"
                        link.sendall(f"HTTP/1.1 {status}\r\nContent-Length: 0"
                                     "\r\nConnection: close\r\n\r\n".encode())
                except OSError:
                    pass

    def report_body(self):
        return {
            "backend": SERVICE,
            "address": "%s:%d" % self.machine.at("app"),
            "zone": self.machine.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "warmupLeftMs": 0,
            "seq": self.reports,
            "born": self.born,
        }

    def _report(self):
        while self.running:
            self.reports += 1
            body = self.report_body()
            status = call(self.machine, self.name, "heartbeat", body)
            if status == 200:
                self.confirmed.append((time.monotonic(), body["state"]))
            self.report_now.wait(HEARTBEAT_MS / 1000)
            self.report_now.clear()

    def set_state(self, state):
        self.state = state
        self.report_now.set()

    def _send(self, packet):
        self.packets.sendto(packet.encode(), self.machine.at("outbound"))

    def _receive(self):
        while self.running:
            try:
                raw, _ = self.packets.recvfrom(2048)
            except TimeoutError:
                self._discard_idle()
                continue
            except OSError:
                return
            self._discard_idle()
            with self.lock:
                self._on_packet(decode(raw), raw)

    def _discard_idle(self):
        """A flow idle for idleTimeoutMs may be discarded (PROTOCOL.md)."""
        if self.idle_discard_s is None:
            return
        limit = time.monotonic() - self.idle_discard_s
        for key in [k for k, f in self.flows.items() if f["used"] < limit]:
            del self.flows[key]
            self.fleet.record(f"target {self.name} discards flow {key[1]}, "
                              f"idle for {self.idle_discard_s:g} s")

    def _on_packet(self, packet, raw):
        key = packet.source
        now = time.monotonic()
        if packet.flags & SYN:
            if key not in self.flows:
                self.flows[key] = {
                    "sequence": random.getrandbits(32),
                    "expected": (packet.sequence + 1) & 0xFFFFFFFF,
                    "open": False, "answer": None, "used": now,
                }
                self.openings.append(now)
            flow = self.flows[key]
            self._send(Packet(packet.target, key, SYN | ACK, flow["sequence"],
                              flow["expected"]))
            return
        if key in self.ended:
            answer = ACK if packet.flags & FIN else RST
            self._send(Packet(packet.target, key, answer, 0, 0))
            return
        if key not in self.flows:
            returned = bytearray(raw)
            returned[30] |= BOUNCED
            returned[31] = 0
            self.packets.sendto(bytes(returned), self.machine.at("outbound"))
            return
        flow = self.flows[key]
        flow["used"] = now
        if not flow["open"]:
            flow["open"] = True
            flow["sequence"] = (flow["sequence"] + 1) & 0xFFFFFFFF
        if packet.flags & RST:
            del self.flows[key]
            self.ended.add(key)
            return
        if packet.data and packet.sequence == flow["expected"]:
            text = packet.data.decode()
            self.runs.append((now, text))
            self.fleet.record(f"target {self.name} runs {text} of flow "
                              f"{key[1]}")
            flow["expected"] += len(packet.data)
            data = packet.data + b" by " + self.name.encode()
            flow["answer"] = Packet(packet.target, key, ACK, flow["sequence"],
                                    flow["expected"], data)
            flow["sequence"] = (flow["sequence"] + len(data)) & 0xFFFFFFFF
        if packet.data and flow["answer"] is not None:
            self._send(flow["answer"])
        if packet.flags & FIN:
            self._send(Packet(packet.target, key, FIN | ACK, flow["sequence"],
                              flow["expected"] + 1))
            del self.flows[key]
            self.ended.add(key)


def call(machine, name, verb, body):
    """Makes a call to a machine's control address. Returns the status of the
    answer, or None without one within a second."""
    raw = json.dumps(body).encode() if isinstance(body, dict) else body
    head = (f"POST /api/instances/{name}/{verb} HTTP/1.1\r\nHost: x\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(raw)}\r\nConnection: close\r\n\r\n")
    try:
        with socket.create_connection(machine.at("control"), 1.0) as link:
            link.settimeout(1.0)
            link.sendall(head.encode() + raw)
            return int(link.recv(4096).split(b" ")[1])
    except (OSError, IndexError, ValueError):
        return None


class Flow:
    def __init__(self, source):
        self.source = source
        self.target = (to_number(ROUTE[0]), ROUTE[1])
        self.sequence = 1000
        self.acknowledged = 0
        self.server = None
        self.inbox = queue.Queue()
        # When the client got a reset that the target didn't send.
        self.system_reset_at = None
        self.target_reset_at = None

    @property
    def port(self):
        return self.source[1]


class Client:
    """Opens flows and sends requests on them, as PROTOCOL.md describes it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((CLIENT_ADDRESS, fleet.ports["packets"]))
        self.socket.settimeout(0.1)
        self.next_port = 20000
        self.flows = {}
        self.running = True
        self.lock = threading.Lock()
        self.thread = threading.Thread(target=self._receive, daemon=True)
        self.thread.start()

    def close(self):
        self.running = False
        self.thread.join(2.0)
        self.socket.close()

    def _receive(self):
        while self.running:
            try:
                raw, _ = self.socket.recvfrom(2048)
            except TimeoutError:
                continue
            except OSError:
                return
            packet = decode(raw)
            flow = self.flows.get(packet.target)
            if flow is None:
                continue
            if packet.flags & RST and packet.checksum == 0:
                if flow.system_reset_at is None:
                    flow.system_reset_at = time.monotonic()
                    state = flow.server or "that never opened"
                    self.fleet.record(
                        f"client gets a reset of the system's own on flow "
                        f"{flow.port} ({state})")
            elif packet.flags & RST:
                flow.target_reset_at = time.monotonic()
            flow.inbox.put(packet)

    def _send(self, flow, flags, data=b"", copies=0):
        syn = bool(flags & SYN)
        packet = Packet(
            flow.source, flow.target, flags,
            999 if syn else flow.sequence,
            copies if syn else flow.acknowledged, data)
        self.socket.sendto(packet.encode(), self.fleet.router(flow.source))

    def _await(self, flow, is_expected, until):
        while True:
            left = until - time.monotonic()
            if left <= 0:
                return None
            try:
                packet = flow.inbox.get(timeout=left)
            except queue.Empty:
                return None
            if packet.flags & RST or is_expected(packet):
                return packet

    def open(self):
        """Opens a flow; None if its handshake fails."""
        with self.lock:
            self.next_port += 1
            flow = Flow((to_number(CLIENT_ADDRESS), self.next_port))
            self.flows[flow.source] = flow
        for copies, wait_s in enumerate(OPENING_COPIES_S):
            self._send(flow, SYN, copies=copies)
            answer = self._await(
                flow, lambda p: p.flags & SYN and p.flags & ACK,
                time.monotonic() + wait_s)
            if answer is not None and answer.flags & RST:
                return None
            if answer is not None:
                flow.acknowledged = (answer.sequence + 1) & 0xFFFFFFFF
                return flow
        return None

    def open_and_ask(self, text, tries=5):
        """Opens a flow with up to `tries` attempts and sends one request."""
        for _ in range(tries):
            flow = self.open()
            if flow is None:
                time.sleep(0.1)
                continue
            return flow, self.ask(flow, text)
        return None, None

    def ask(self, flow, text, deadline_s=5.0):
        """Sends a request. Returns the name of the target that answered it,
        "reset" or "no answer"."""
        end = time.monotonic() + deadline_s
        data = text.encode()
        for wait_s in RETRANSMIT_S:
            if flow.system_reset_at or flow.target_reset_at:
                return "reset"
            self._send(flow, ACK, data)
            answer = self._await(
                flow, lambda p: p.data.startswith(data + b" by "),
                min(end, time.monotonic() + wait_s))
            if answer is not None and answer.flags & RST:
                return "reset"
            if answer is not None:
                flow.sequence += len(data)
                flow.acknowledged = answer.sequence + len(answer.data)
                flow.server = answer.data[len(data) + 4:].decode()
                return flow.server
            if time.monotonic() >= end:
                break
        return "no answer"


def run_case(folder, body, **fleet_options):
    """Runs `body(fleet)`, which returns whether the rule was broken, and ends
    with the exit code that the review asks for."""
    fleet = Fleet(folder, **fleet_options)

    def give_up():
        fleet.record("longer than the longest run: given up")
        for machine in fleet.balancers + fleet.agents:
            if machine.process is not None:
                machine.process.kill()
        os._exit(2)

    watchdog = threading.Timer(LONGEST_RUN_S, give_up)
    watchdog.daemon = True
    watchdog.start()
    code = 2
    try:
        fleet.record(f"TROUBLE={1 if trouble() else 0}")
        fleet.start()
        code = 1 if body(fleet) else 0
    except Exception as problem:  # pylint: disable=broad-except
        fleet.record(f"the case could not run: {problem!r}")
    finally:
        fleet.close()
    fleet.record({0: "held", 1: "broken", 2: "could not run"}[code])
    watchdog.cancel()
    sys.exit(code)


def terminate(machine):
    """Planned stop: SIGTERM, as the platform sends it."""
    machine.signal(signal.SIGTERM)
    machine.wait_end()
