"""A small deployment of the platform on loopback for the cases of the review.

The programs under test are real processes, started with the commands of
deploy/system.toml. The store and the VMs come from test/harness. The backend
servers, the clients and the router are written here after PROTOCOL.md: a
server answers each request once, returns packets of flows that it does not
hold, and sends status reports; a client sends copies of its opening packet
after 200 and 600 ms and retransmits requests after 200 ms, doubling; the
router hashes "steady" over the balancers in rotation and polls readiness
twice a second.
"""

import http.client
import hashlib
import json
import os
import random
import shutil
import socket
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test"))
sys.dont_write_bytecode = True

from harness.platform_fleet import Vm  # noqa: E402
from harness.platform_standins import (  # noqa: E402
    ACK,
    FIN,
    RETURNED,
    RST,
    SYN,
    Packet,
    Store,
    decode,
    to_number,
)
from harness.processes import ProcessGroup, fetch, free_port  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOLD, BROKEN, NOT_RUN = 0, 1, 2
RESET_REACH = 76_800


class Record:
    """record.txt: what was sent, answered and run, in seconds from start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


class Server:
    """A backend server beside an agent."""

    def __init__(self, fleet, vm, slots=5, work_s=0.02, heartbeat_s=0.77,
                 warm_up_s=0.0, cold_rate=None):
        self.fleet, self.vm, self.slots = fleet, vm, slots
        self.work_s, self.heartbeat_s = work_s, heartbeat_s
        self.cold_rate = cold_rate
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born_ms = int(time.time() * 1000)
        self.born = time.monotonic()
        self.warm_at = self.born + warm_up_s
        self.flows = {}
        self.openings = []  # (arrived, key)
        self.foreign = []  # (arrived, key, flags, size)
        self.arrivals = []  # (arrived, key) of packets of flows held here
        self.runs = []
        self.next_start = 0.0
        self.sequence = 0
        self.draining = False
        self.running = True
        self.lock = threading.Lock()
        address, ports = vm.address, fleet.ports
        self.outbound = (address, ports["outbound"])
        self.control = (address, ports["control"])
        self.packets = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.packets.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.packets.bind((address, ports["app"]))
        self.packets.settimeout(0.1)
        self.health = socket.create_server((address, ports["app"]), backlog=64)
        self.health.settimeout(0.1)
        fleet.servers[vm.name] = self
        fleet.record(f"server {vm.name} {self.id} of {vm.service} starts")
        for work in (self._receive, self._accept, self._beat):
            threading.Thread(target=work, daemon=True).start()

    def stop(self):
        self.running = False
        time.sleep(0.15)
        self.packets.close()
        self.health.close()

    def _send(self, packet):
        try:
            self.packets.sendto(packet.encode(), self.outbound)
        except OSError:
            pass

    def _receive(self):
        while self.running:
            try:
                raw, _ = self.packets.recvfrom(2048)
            except TimeoutError:
                continue
            except ConnectionRefusedError:
                continue
            except OSError:
                return
            with self.lock:
                self._take(decode(raw), raw)

    def _take(self, packet, raw):
        key = (packet.source, packet.target)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = {"isn": random.getrandbits(32), "open": None,
                        "next": (packet.sequence + 1) & 0xFFFFFFFF,
                        "answers": {}}
                self.flows[key] = flow
                self.openings.append((time.monotonic(), key))
            self._send(Packet(packet.target, packet.source, SYN | ACK,
                              flow["isn"], flow["next"]))
            return
        acked = flow is not None and (
            (packet.acknowledged - flow["isn"] - 1) & 0xFFFFFFFF) < (1 << 24)
        if flow is None or not acked:
            self.foreign.append(
                (time.monotonic(), key, packet.flags, len(packet.data)))
            back = bytearray(raw)
            back[30] |= RETURNED
            back[31] = 0
            self.packets.sendto(bytes(back), self.outbound)
            return
        if flow["open"] is None:
            flow["open"] = time.monotonic()
        self.arrivals.append((time.monotonic(), key))
        if packet.flags & (RST | FIN):
            self.flows.pop(key, None)
            if packet.flags & FIN:
                self._send(Packet(packet.target, packet.source, FIN | ACK,
                                  packet.acknowledged,
                                  (packet.sequence + 1) & 0xFFFFFFFF))
            return
        if not packet.data:
            return
        known = flow["answers"].get(packet.sequence)
        if known is not None:
            if known != "running":
                self._send(known)
            return
        flow["answers"][packet.sequence] = "running"
        self.runs.append((time.monotonic(), packet.data.decode()))
        self.fleet.record(f"run {packet.data.decode()} at {self.vm.name}")
        now = time.monotonic()
        wait = self.work_s
        if self.cold_rate and now < self.warm_at:
            # A cold server bears cold_rate requests a second, one by one.
            self.next_start = max(self.next_start, now) + 1 / self.cold_rate
            wait = self.next_start - now
        threading.Timer(wait, self._answer, [key, packet]).start()

    def _answer(self, key, packet):
        with self.lock:
            flow = self.flows.get(key)
            if flow is None or not self.running:
                return
            answer = Packet(packet.target, packet.source, ACK,
                            packet.acknowledged,
                            (packet.sequence + len(packet.data)) & 0xFFFFFFFF,
                            packet.data + b" by " + self.id.encode())
            flow["answers"][packet.sequence] = answer
            self._send(answer)

    def _accept(self):
        while self.running:
            try:
                link, _ = self.health.accept()
                link.close()
            except TimeoutError:
                continue
            except OSError:
                return

    def _beat(self):
        while self.running:
            self.sequence += 1
            left = max(0.0, self.warm_at - time.monotonic())
            state = "draining" if self.draining else "ready"
            body = {"backend": self.vm.service,
                    "address": f"{self.vm.address}:{self.fleet.ports['app']}",
                    "zone": self.vm.data_centre, "version": "v1",
                    "capacity": self.slots, "state": state,
                    "warmupLeftMs": round(left * 1000),
                    "seq": self.sequence, "born": self.born_ms}
            self._call("heartbeat", json.dumps(body))
            time.sleep(self.heartbeat_s)

    def _call(self, verb, body):
        try:
            link = http.client.HTTPConnection(*self.control, timeout=1)
            link.request("POST", f"/api/instances/{self.id}/{verb}", body,
                         {"Content-Type": "application/json"})
            status = link.getresponse().status
            link.close()
            return status == 200
        except (OSError, http.client.HTTPException):
            return False


class Router:
    """The platform's router: polls readiness, hashes steady."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.rotation = []
        self.misses = {}
        self.running = True
        for vm in fleet.balancers:
            threading.Thread(target=self._poll, args=[vm], daemon=True).start()

    def _poll(self, vm):
        while self.running:
            began = time.monotonic()
            if vm.process is not None and vm.is_ready():
                self.misses[vm.name] = 0
                if vm not in self.rotation:
                    self.rotation.append(vm)
                    self.fleet.record(f"{vm.name} in rotation")
            else:
                self.misses[vm.name] = self.misses.get(vm.name, 0) + 1
                if self.misses[vm.name] >= 2 and vm in self.rotation:
                    self.rotation.remove(vm)
                    self.fleet.record(f"{vm.name} out of rotation")
            time.sleep(max(0.0, 0.5 - (time.monotonic() - began)))

    def __call__(self, source):
        best = None
        for vm in list(self.rotation):
            rank = hashlib.sha1(f"{source}{vm.name}".encode()).digest()
            if best is None or rank > best[0]:
                best = (rank, vm)
        return None if best is None else best[1].at("packets")


class ClientFlow:
    def __init__(self, client, target):
        self.client = client
        self.source = (client.number, client.next_port())
        self.target = (to_number(target[0]), target[1])
        self.next = 0
        self.acknowledged = 0
        self.is_open = False
        self.reset_at = None
        self.inbox = []
        self.ready = threading.Condition()
        client.flows[self.source] = self

    @property
    def key(self):
        return (self.source, self.target)

    def _send(self, flags, sequence, acknowledged, data=b""):
        to = self.client.fleet.router(self.source)
        if to is not None:
            packet = Packet(self.source, self.target, flags, sequence,
                            acknowledged, data)
            self.client.socket.sendto(packet.encode(), to)

    def take(self, packet):
        with self.ready:
            self.inbox.append(packet)
            self.ready.notify_all()

    def _wait(self, until, wanted):
        """Waits for a packet that `wanted` accepts; "reset" or None."""
        with self.ready:
            while True:
                while self.inbox:
                    packet = self.inbox.pop(0)
                    if packet.flags & RST:
                        gap = (packet.sequence - self.acknowledged) & 0xFFFFFFFF
                        near = min(gap, (1 << 32) - gap) <= RESET_REACH
                        if not self.is_open or near:
                            self.reset_at = time.monotonic()
                            return "reset"
                        continue
                    if wanted(packet):
                        return packet
                left = until - time.monotonic()
                if left <= 0:
                    return None
                self.ready.wait(left)

    def open(self):
        """Opens the flow. Returns "open", "reset" or "timeout"."""
        isn = random.getrandbits(32)
        began = time.monotonic()
        self.opened_at = began
        for copy, end in enumerate((0.2, 0.6, 1.4)):
            self._send(SYN, isn, copy)
            got = self._wait(
                began + end, lambda p: p.flags & SYN and p.flags & ACK)
            if got == "reset":
                return "reset"
            if got is not None:
                self.next = (isn + 1) & 0xFFFFFFFF
                self.acknowledged = (got.sequence + 1) & 0xFFFFFFFF
                self.is_open = True
                self._send(ACK, self.next, self.acknowledged)
                return "open"
        return "timeout"

    def request(self, text, deadline_s):
        """Sends a request. Returns the answer's text, "reset" or None."""
        data = text.encode()
        end = time.monotonic() + deadline_s
        pause = 0.2
        while time.monotonic() < end:
            self._send(ACK, self.next, self.acknowledged, data)
            got = self._wait(min(end, time.monotonic() + pause),
                             lambda p: p.data.startswith(data + b" by "))
            pause = min(pause * 2, 1.6)
            if got == "reset":
                return "reset"
            if got is not None:
                self.next = (self.next + len(data)) & 0xFFFFFFFF
                self.acknowledged = (
                    got.sequence + len(got.data)) & 0xFFFFFFFF
                return got.data.decode()
        return None

    def close(self):
        if self.is_open and self.reset_at is None:
            self._send(FIN | ACK, self.next, self.acknowledged)
        self.client.flows.pop(self.source, None)


class Client:
    """One client address; its flows run in threads of the caller."""

    def __init__(self, fleet, address):
        self.fleet = fleet
        self.number = to_number(address)
        self.port = 20_000
        self.lock = threading.Lock()
        self.flows = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.socket.bind((address, fleet.ports["packets"]))
        self.socket.settimeout(0.2)
        self.running = True
        threading.Thread(target=self._receive, daemon=True).start()

    def next_port(self):
        with self.lock:
            self.port += 1
            return self.port

    def _receive(self):
        while self.running:
            try:
                packet = decode(self.socket.recv(2048))
            except TimeoutError:
                continue
            except OSError:
                return
            flow = self.flows.get(packet.target)
            if flow is not None and packet.source == flow.target:
                flow.take(packet)


class Fleet:
    """`layout` maps a data centre to (balancers, [service of each agent])."""

    def __init__(self, folder, layout, services, routes):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="guavastair-review-"))
        self.group = ProcessGroup(self.folder / "logs")
        self.tool = ROOT / "target" / "guavastair"
        self.store = Store()
        self.ports = {n: free_port() for n in (
            "packets", "readiness", "control", "outbound", "app", "store",
            "peers")}
        self.balancers, self.agents, self.servers = [], [], {}
        self.seed_addresses = [f"127.20.{z}.1"
                               for z in range(1, len(layout) + 1)][:3]
        self.services, self.routes, self.version = services, routes, 0
        self.configure()
        for zone, (name, (balancers, agents)) in enumerate(
                layout.items(), start=1):
            for i in range(1, balancers + 1):
                self.balancers.append(Vm(self, f"front-{name}-{i}", "balancer",
                                         name, f"127.20.{zone}.{i}"))
            for i, service in enumerate(agents, start=101):
                self.agents.append(Vm(self, f"side-{name}-{i}", "agent", name,
                                      f"127.20.{zone}.{i}", service))
        self.clients = [Client(self, f"127.30.0.{i}") for i in (1, 2, 3)]
        self.router = Router(self)

    def vm(self, name):
        return next(v for v in self.balancers + self.agents if v.name == name)

    def configure(self):
        self.version += 1
        routes = [{"name": f"r{i}", "host": a, "prefix": f"/{p}/",
                   "type": kind, "timeoutMs": 2000, "sloMs": 250,
                   "priority": 1, "backend": service, "maxAttempts": 2}
                  for i, ((a, p), (service, kind)) in enumerate(
                      self.routes.items())]
        self.store.put("op/config", json.dumps({
            "version": self.version, "routes": routes,
            "backends": self.services, "limits": {"idleTimeoutMs": 15000}}))

    def start(self, vm):
        self.record(f"start {vm.name}")
        vm.start()

    def wait_ready(self, limit_s=20.0):
        end = time.monotonic() + limit_s
        while len(self.router.rotation) < sum(
                v.process is not None for v in self.balancers):
            if time.monotonic() > end:
                raise TimeoutError("balancers not ready")
            time.sleep(0.05)

    def close(self):
        self.router.running = False
        for server in list(self.servers.values()):
            server.stop()
        self.group.stop_all()
        self.store.close()
        for client in self.clients:
            client.running = False
            client.socket.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder / "logs", os.environ["KEEP_LOGS"],
                            dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, *fleet_arguments):
    """Runs `case(fleet)`, which returns HOLD or BROKEN."""
    folder = Path(sys.argv[0]).resolve().parent
    try:
        fleet = Fleet(folder, *fleet_arguments)
    except Exception as problem:  # the case could not run
        print(f"cannot run: {problem!r}", file=sys.stderr)
        os._exit(NOT_RUN)
    code = NOT_RUN
    try:
        code = case(fleet)
    except Exception as problem:
        fleet.record(f"cannot run: {problem!r}")
        print(f"cannot run: {problem!r}", file=sys.stderr)
    finally:
        fleet.close()
    fleet.record(f"exit {code}")
    sys.stdout.flush()
    os._exit(code)
