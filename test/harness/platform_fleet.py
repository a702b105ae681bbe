"""A small fleet of platform balancers and agents on loopback, as real
processes."""

import json
import os
import re
import tempfile
import unittest
from pathlib import Path

from harness.platform_standins import BackendServer, Caller, Store
from harness.processes import ProcessGroup, fetch, free_port, wait_until

CALLER_ADDRESS = "127.30.0.1"
PORTAL = ("198.18.0.1", 443)
DRAWINGS = ("198.18.0.1", 8443)
READY_WAIT_S = 20.0
FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


class Vm:
    """A VM of the fleet: its settings file and its process."""

    def __init__(self, fleet, name, role, data_centre, address, service=None):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.data_centre = data_centre
        self.address = address
        self.service = service
        self.process = None
        self.store_address = f"127.21.{address.split('.', 2)[2]}"
        self.file = fleet.folder / f"{name}.toml"
        self.log_parts = 0
        fleet.store.serve(name, self.store_address, fleet.ports["store"])
        self.write_settings()

    def at(self, port):
        return (self.address, self.fleet.ports[port])

    def write_settings(self, heartbeat_ms=400):
        ports = self.fleet.ports
        seeds = json.dumps(
            [f"{a}:{ports['control']}" for a in self.fleet.seed_addresses]
        )
        lines = [
            f'nodeName = "{self.name}"',
            f'ip = "{self.address}"',
            f'zone = "{self.data_centre}"',
            f"portRange = [{ports['peers']}, {ports['peers'] + 15}]",
            f"seeds = {seeds}",
            f"heartbeatMs = {heartbeat_ms}",
        ]
        if self.service is not None:
            lines += [
                f'app = "{self.address}:{ports["app"]}"',
                f'backend = "{self.service}"',
            ]
        lines.append("[listen]")
        names = ["packets", "readiness", "control"]
        if self.service is not None:
            names.append("outbound")
        lines += [f'{n} = "{self.address}:{ports[n]}"' for n in names]
        lines += [
            "[limits]",
            "memoryMb = 128",
            "[bounds]",
            "graceS = 6",
            "flowTtlS = 60",
            "warmupFactor = 1.5",
            "warmupSlack = 5",
            "[platform]",
            f'address = "{self.store_address}:{ports["store"]}"',
        ]
        self.file.write_text("\n".join(lines) + "\n")

    def start(self):
        self.log_parts += 1
        self.process = self.fleet.group.start(
            f"{self.name}-{self.log_parts}",
            [self.fleet.tool, "platform", self.role],
            environment={"GUAVASTAIR_CONFIG": str(self.file)},
        )

    def kill(self):
        self.process.kill()

    def is_ready(self):
        address = f"{self.address}:{self.fleet.ports['readiness']}"
        return fetch(address, "/api/readyz", 1.0) is not None

    def metric(self, name):
        """Sum of a metric over its labels."""
        address = f"{self.address}:{self.fleet.ports['readiness']}"
        page = fetch(address, "/metrics") or ""
        return sum(
            float(line.rsplit(" ", 1)[1])
            for line in page.splitlines()
            if line.split("{")[0].split(" ")[0] == name
        )

    def events(self, name):
        """Fields of all log lines with that event, over all runs of the
        process."""
        found = []
        for part in range(1, self.log_parts + 1):
            log = self.fleet.group.folder / f"{self.name}-{part}.log"
            for line in log.read_text(errors="replace").splitlines():
                fields = {k: v.strip('"') for k, v in FIELD.findall(line)}
                if fields.get("event") == name:
                    found.append(fields)
        return found


class PlatformCase(unittest.TestCase):
    """Prepares balancers and agents according to `layout`, which maps a data
    centre to its numbers of balancers, portal servers and drawings servers."""

    layout = {"a": (1, 2, 0), "b": (1, 1, 1)}

    def setUp(self):
        binaries = Path(os.environ["GUAVASTAIR_BINARIES"])
        self.tool = binaries / "tools/guavastair/guavastair"
        self.scratch = tempfile.TemporaryDirectory(prefix="guavastair-test-")
        self.folder = Path(self.scratch.name)
        self.group = ProcessGroup(self.folder / "logs")
        self.store = Store()
        self.ports = {}
        for name in (
            "packets",
            "readiness",
            "control",
            "outbound",
            "app",
            "store",
            "peers",
        ):
            self.ports[name] = free_port()
        self.balancers = []
        self.agents = []
        self.servers = {}
        self.seed_addresses = [
            f"127.20.{z}.1" for z in range(1, len(self.layout) + 1)
        ]
        self.caller = Caller(CALLER_ADDRESS, self.ports["packets"], self.route)
        self.addCleanup(self._clean_up)
        self.version = 0
        self.routes = {PORTAL: "portal", DRAWINGS: "drawings"}
        self.configure()
        self._create_vms()

    def _create_vms(self):
        for zone, (data_centre, counts) in enumerate(
            self.layout.items(), start=1
        ):
            balancers, portals, drawings = counts
            for i in range(1, balancers + 1):
                self.balancers.append(
                    Vm(
                        self,
                        f"balancer-{data_centre}-{i}",
                        "balancer",
                        data_centre,
                        f"127.20.{zone}.{i}",
                    )
                )
            services = ["portal"] * portals + ["drawings"] * drawings
            for i, service in enumerate(services, start=101):
                address = f"127.20.{zone}.{i}"
                name = f"agent-{data_centre}-{i}"
                vm = Vm(self, name, "agent", data_centre, address, service)
                self.agents.append(vm)

    def _clean_up(self):
        for server in self.servers.values():
            server.stop()
        self.group.stop_all()
        self.store.close()
        self.caller.close()
        result = self._outcome.result
        if any(t is self for t, _ in result.failures + result.errors):
            for process in self.group.started:
                lines = process.log_text().splitlines()[-25:]
                print(f"--- {process.name} (exit {process.handle.poll()})")
                print("\n".join(lines))
        self.scratch.cleanup()

    def configure(self):
        """Writes the next version of the configuration to the store."""
        self.version += 1
        routes = [
            {
                "name": f"r{i}",
                "host": address,
                "prefix": f"/{port}/",
                "type": "idempotent",
                "timeoutMs": 2000,
                "sloMs": 250,
                "priority": 0,
                "backend": service,
            }
            for i, ((address, port), service) in enumerate(self.routes.items())
        ]
        services = [
            {"name": n, "healthPath": "/health", "maxConns": 2000}
            for n in ("portal", "drawings")
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "backends": services,
            "limits": {"idleTimeoutMs": 15000},
        }
        self.store.put("op/config", json.dumps(document))

    def start_server(self, vm):
        self.servers[vm.name] = BackendServer(
            f"server-{vm.name}",
            vm.service,
            vm.address,
            self.ports,
            vm.data_centre,
        )

    def start_all(self):
        for vm in self.balancers + self.agents:
            vm.start()
        for vm in self.agents:
            self.start_server(vm)

    def wait_ready(self):
        wait_until(
            lambda: all(vm.is_ready() for vm in self.balancers),
            READY_WAIT_S,
            "balancers ready",
        )

    def wait_reported(self):
        """Waits until every agent has confirmed a report of its server."""
        wait_until(
            lambda: all(server.confirmed for server in self.servers.values()),
            READY_WAIT_S,
            "reports of all servers confirmed",
        )

    def route(self, source):
        """Address of the balancer for `source`, chosen by hash among the
        running balancers; None if there is none."""
        running = [vm for vm in self.balancers if vm.process.alive()]
        if not running:
            return None
        return running[hash(source) % len(running)].at("packets")

    def open_flows(self, count, target=PORTAL):
        flows = []
        for _ in range(count):
            flow, _ = self.caller.open_with_retries(target, 15.0)
            self.assertIsNotNone(flow, "no flow opened within 15 s")
            flows.append(flow)
        return flows

    def assert_all_answer(self, flows, text):
        for flow in flows:
            answer = self.caller.send_request(flow, text)
            self.assertIsNotNone(
                answer, f"{text}: no answer, reset: {flow.was_reset}"
            )
            self.assertEqual(len(flow.servers), 1)
