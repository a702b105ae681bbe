"""Stand-ins for the users' platform on loopback: the metadata store, backend
servers and callers.

They implement only the protocols that the platform's pages publish. Each VM has
its own loopback address and its own address of the store, so that faults of the
store can be set per VM.
"""

import base64
import http.client
import json
import socket
import struct
import sys
import threading
import time
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

SYN, ACK, FIN, RST, RETURNED = 16, 64, 8, 4, 128

# Checksum, source port and address, destination port and address, payload
# length, echo, sequence, acknowledgement, flags, padding.
HEADER = struct.Struct("<IHIHIHIIIBB")

RETRY_INTERVAL_S = 0.2
HANDSHAKE_TIMEOUT_S = 1.4


def to_number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


@dataclass
class Packet:
    source: tuple
    target: tuple
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    data: bytes = b""
    checksum: int = 1

    def encode(self):
        head = HEADER.pack(
            self.checksum,
            self.source[1],
            self.source[0],
            self.target[1],
            self.target[0],
            len(self.data),
            0,
            self.sequence,
            self.acknowledged,
            self.flags,
            0,
        )
        return head + self.data


def decode(raw):
    f = HEADER.unpack_from(raw)
    return Packet(
        (f[2], f[1]), (f[4], f[3]), f[9], f[7], f[8], raw[HEADER.size :], f[0]
    )


# ------------------------------------------------------------------ store


@dataclass
class StoreFaults:
    """Faults of the store's service to one VM."""

    rejects_calls: bool = False
    # Writes get no response and take effect after this delay.
    write_delay_s: float = 0.0


class Store:
    """The store's items, history and faults. Serves each VM at a separate
    address."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}
        self.revision = 1
        self.history = []
        self.oldest_watchable = 0
        self.faults = {}
        self.calls = {}
        self.servers = []

    def serve(self, vm, address, port):
        """Serves the VM named `vm` at `address`."""
        self.faults[vm] = StoreFaults()
        self.calls[vm] = {"read": 0, "write": 0}
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                store.handle(vm, self, b"")

            def do_POST(self):
                size = int(self.headers.get("Content-Length", 0))
                store.handle(vm, self, self.rfile.read(size))

        server = ThreadingHTTPServer((address, port), Handler)
        server.daemon_threads = True
        self.servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def close(self):
        for server in self.servers:
            server.shutdown()
            server.server_close()

    def put(self, key, value):
        """Writes an item as an operator would."""
        self.put_bytes(key, value.encode())

    def put_bytes(self, key, value):
        """Writes an item with any bytes as another writer would."""
        self._change([(key, value)], [])

    def delete(self, key):
        self._change([], [key])

    def compact_history(self):
        with self.changed:
            self.history = []
            self.oldest_watchable = self.revision

    def keys(self, prefix):
        with self.changed:
            return [k for k in self.items if k.startswith(prefix)]

    def _change(self, puts, deletes):
        with self.changed:
            for key, value in puts:
                self.revision += 1
                self.items[key] = (value, self.revision)
                self.history.append((self.revision, key, value))
            for key in deletes:
                if self.items.pop(key, None) is not None:
                    self.revision += 1
                    self.history.append((self.revision, key, None))
            self.changed.notify_all()
            return self.revision

    @staticmethod
    def _item(key, value, revision):
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": revision,
            "createRev": 1,
            "lease": 0,
        }

    def handle(self, vm, request, body):
        faults = self.faults[vm]
        parts = urlsplit(request.path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        writes = request.command == "POST"
        self.calls[vm]["write" if writes else "read"] += 1
        if faults.rejects_calls:
            self._answer(request, 503, {})
            return
        if writes and faults.write_delay_s > 0:
            threading.Timer(
                faults.write_delay_s, self._transact, [body]
            ).start()
            request.close_connection = True
            return
        if parts.path == "/api/kv-txn":
            status, answer = 200, {"rev": self._transact(body)}
        elif parts.path == "/api/kv-range":
            status, answer = 200, self._range(query)
        elif parts.path == "/api/kv-watch":
            status, answer = self._watch(query, faults)
        else:
            status, answer = 404, {}
        self._answer(request, status, answer)

    @staticmethod
    def _answer(request, status, answer):
        raw = json.dumps(answer).encode()
        try:
            request.send_response(status)
            request.send_header("Content-Type", "application/json")
            request.send_header("Content-Length", str(len(raw)))
            request.end_headers()
            request.wfile.write(raw)
        except OSError:
            request.close_connection = True

    def _transact(self, body):
        entries = json.loads(body)
        puts = [
            (p["key"], base64.b64decode(p["value"])) for p in entries["puts"]
        ]
        return self._change(puts, entries["delete"])

    def _range(self, query):
        with self.changed:
            found = [
                self._item(k, *self.items[k])
                for k in sorted(self.items)
                if k.startswith(query["prefix"]) and k > query.get("after", "")
            ]
            return {
                "items": found,
                "hasMore": False,
                "currentRev": self.revision,
            }

    def _watch(self, query, faults):
        after = int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        with self.changed:
            while True:
                if after < self.oldest_watchable:
                    return 410, {}
                events = [
                    (
                        self._item(k, v, r)
                        if v is not None
                        else {"key": k, "rev": r, "deleted": True}
                    )
                    for r, k, v in self.history
                    if r > after and k.startswith(query["prefix"])
                ]
                left = end - time.monotonic()
                if events or left <= 0 or faults.rejects_calls:
                    return 200, {
                        "events": events,
                        "currentRev": self.revision,
                    }
                self.changed.wait(min(left, 0.2))


# --------------------------------------------------------- backend server


class BackendServer:
    """A backend server that answers each request with its own name."""

    def __init__(self, name, service, address, ports, data_centre):
        self.name = name
        self.service = service
        self.address = address
        self.app = (address, ports["app"])
        self.outbound = (address, ports["outbound"])
        self.control = (address, ports["control"])
        self.data_centre = data_centre
        self.draining = False
        # A stalled server accepts requests but does not respond.
        self.stalled = False
        self.running = True
        self.flows = {}
        self.openings = []
        self.confirmed = []
        self.started_ms = int(time.time() * 1000)
        self.reports = 0
        self.packets = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.packets.bind(self.app)
        self.packets.settimeout(0.1)
        self.health = socket.create_server(self.app, backlog=16)
        self.health.settimeout(0.1)
        for work in (
            self._receive_packets,
            self._report_periodically,
            self._accept_health_checks
        ):
            threading.Thread(target=work, daemon=True).start()

    def stop(self):
        self.running = False
        time.sleep(0.15)
        self.packets.close()
        self.health.close()

    def _send(self, packet):
        self.packets.sendto(packet.encode(), self.outbound)

    def _receive_packets(self):
        while self.running:
            try:
                raw, _ = self.packets.recvfrom(2048)
            except TimeoutError:
                continue
            except OSError:
                return
            self._process_packet(decode(raw), raw)

    def _process_packet(self, packet, raw):
        key = packet.source
        if packet.flags & SYN:
            if key not in self.flows:
                self.flows[key] = {}
                self.openings.append(time.monotonic())
            self._send(
                Packet(
                    packet.target,
                    key,
                    SYN | ACK,
                    sequence=self.started_ms & 0xFFFF,
                    acknowledged=packet.sequence + 1,
                )
            )
            return
        if key not in self.flows:
            returned_packet = bytearray(raw)
            returned_packet[30] |= RETURNED
            returned_packet[31] = 0
            self.packets.sendto(bytes(returned_packet), self.outbound)
            return
        if packet.data and not self.stalled:
            self._send(
                Packet(
                    packet.target,
                    key,
                    ACK,
                    sequence=packet.acknowledged,
                    acknowledged=packet.sequence + len(packet.data),
                    data=packet.data + b" by " + self.name.encode(),
                )
            )

    def _accept_health_checks(self):
        while self.running:
            try:
                self.health.accept()[0].close()
            except TimeoutError:
                continue
            except OSError:
                return

    def _report_periodically(self):
        while self.running:
            self.report()
            time.sleep(0.25)

    def deregister(self):
        """Deregisters this server and stops it. Returns whether the call was
        confirmed."""
        self.running = False
        ok = self._call("deregister", "{}")
        self.stop()
        return ok

    def report(self):
        """Sends one status report. Returns whether it was confirmed."""
        self.reports += 1
        state = "draining" if self.draining else "ready"
        body = json.dumps(
            {
                "backend": self.service,
                "address": f"{self.app[0]}:{self.app[1]}",
                "zone": self.data_centre,
                "version": "v1",
                "capacity": 4,
                "state": state,
                "warmupLeftMs": 0,
                "seq": self.reports,
                "born": self.started_ms,
            }
        )
        ok = self._call("heartbeat", body)
        if ok:
            self.confirmed.append((time.monotonic(), state))
        return ok

    def _call(self, verb, body):
        path = f"/api/instances/{self.name}/{verb}"
        try:
            link = http.client.HTTPConnection(*self.control, timeout=1)
            link.request("POST", path, body)
            status = link.getresponse().status
            link.close()
        except (OSError, http.client.HTTPException) as problem:
            print(f"{self.name}: {verb} not confirmed: {problem!r}",
                  file=sys.stderr)
            return False
        if status != 200:
            print(f"{self.name}: {verb} not confirmed: status {status}",
                  file=sys.stderr)
        return status == 200


# ----------------------------------------------------------------- callers


@dataclass
class Flow:
    """State of a flow at the caller. `servers` holds the names of all servers
    that responded on it."""

    source: tuple
    target: tuple
    sequence: int
    acknowledged: int = 0
    servers: set = field(default_factory=set)
    was_reset: bool = False


class Caller:
    """Opens flows and sends requests on them, through the balancers that
    `router` returns."""

    def __init__(self, address, port, router):
        self.address = address
        self.router = router
        self.next_port = 20000
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, port))

    def close(self):
        self.socket.close()

    def _exchange(self, flow, packet, is_expected, timeout_s):
        """Retransmits `packet` until `is_expected` accepts a response. Returns
        None if the flow is reset or `timeout_s` passes."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            to = self.router(flow.source)
            if to is not None:
                self.socket.sendto(packet.encode(), to)
            retry_at = min(end, time.monotonic() + RETRY_INTERVAL_S)
            while time.monotonic() < retry_at:
                self.socket.settimeout(max(0.001, retry_at - time.monotonic()))
                try:
                    answer = decode(self.socket.recv(2048))
                except TimeoutError:
                    break
                if answer.target != flow.source:
                    continue
                if answer.flags & RST:
                    flow.was_reset = True
                    return None
                if is_expected(answer):
                    return answer
        return None

    def open(self, target, timeout_s=HANDSHAKE_TIMEOUT_S):
        """Opens a flow to `target`. Returns None if the handshake fails."""
        self.next_port += 1
        source = (to_number(self.address), self.next_port)
        flow = Flow(source, (to_number(target[0]), target[1]), 1000)
        first = Packet(source, flow.target, SYN, sequence=999)
        answer = self._exchange(
            flow, first, lambda a: a.flags & SYN and a.flags & ACK, timeout_s
        )
        if answer is None:
            return None
        flow.acknowledged = answer.sequence + 1
        return flow

    def open_with_retries(self, target, timeout_s):
        """Retries until a flow opens. Returns it, or None after `timeout_s`,
        and the seconds that it took."""
        start = time.monotonic()
        while time.monotonic() - start < timeout_s:
            flow = self.open(target)
            if flow is not None:
                return flow, time.monotonic() - start
            time.sleep(0.05)
        return None, timeout_s

    def send(self, flow, text):
        """Sends `text` as a request without waiting for the response."""
        to = self.router(flow.source)
        packet = Packet(
            flow.source,
            flow.target,
            ACK,
            flow.sequence,
            flow.acknowledged,
            text.encode(),
        )
        self.socket.sendto(packet.encode(), to)

    def send_request(self, flow, text, timeout_s=5.0):
        """Sends `text` as a request. Returns the name of the server that
        responded, or None on a reset or time-out."""
        data = text.encode()
        packet = Packet(
            flow.source,
            flow.target,
            ACK,
            flow.sequence,
            flow.acknowledged,
            data,
        )
        answer = self._exchange(
            flow,
            packet,
            lambda a: a.data.startswith(data + b" by "),
            timeout_s
        )
        if answer is None:
            return None
        flow.sequence += len(data)
        flow.acknowledged = answer.sequence + len(answer.data)
        server = answer.data[len(data) + 4 :].decode()
        flow.servers.add(server)
        return server
