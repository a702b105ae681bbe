"""Collects the results of a run and checks them."""

import time
from dataclasses import asdict, dataclass, field

COUNTS = [
    "flows_opened",
    "flows_refused",
    "flows_broken",
    "requests",
    "done",
    "refused",
    "unknown",
    "failed",
    "late",
    "lost",
    "wrong_bytes",
]
FLOWS_END_WAIT_S = 5.0
# Counts that must be zero: each one is a fault visible to callers.
FORBIDDEN = ["flows_broken", "failed", "lost", "wrong_bytes", "unknown"]


@dataclass
class Figure:
    name: str
    value: float
    unit: str
    bound: float | None = None

    def is_within_bound(self):
        return self.bound is None or self.value <= self.bound


@dataclass
class CallerResult:
    service: str
    mode: str
    counts: dict
    p50_ms: float
    p99_ms: float
    exit_code: int


@dataclass
class ServerResult:
    service: str
    name: str
    requests: int
    orders_doubled: int
    overloaded: int


@dataclass
class Report:
    deployment: str
    notes: list = field(default_factory=list)
    figures: list = field(default_factory=list)
    callers: list = field(default_factory=list)
    servers: list = field(default_factory=list)

    def note(self, text):
        self.notes.append(text)

    def add(self, name, value, unit, bound=None):
        self.figures.append(Figure(name, value, unit, bound))

    def add_caller(self, caller, summary, code):
        self.callers.append(
            CallerResult(
                caller.service.name,
                caller.mode,
                {name: summary[name] for name in COUNTS},
                summary["p50_ms"],
                summary["p99_ms"],
                code,
            )
        )

    def add_servers(self, deployment):
        for server in deployment.servers:
            counters = deployment.server_counters(server)
            if counters is None:
                continue
            self.servers.append(
                ServerResult(
                    server.details["service"],
                    server.name,
                    counters["requests"],
                    counters["orders_doubled"],
                    counters["overloaded"],
                )
            )

    def add_open_flows(self, deployment):
        """Adds the number of flows that stay open after the callers have
        ended; it must reach 0 within FLOWS_END_WAIT_S."""
        end = time.monotonic() + FLOWS_END_WAIT_S
        while deployment.open_flows() > 0 and time.monotonic() < end:
            time.sleep(0.2)
        left = deployment.open_flows()
        self.add("flows left after the callers' end", left, "flows", bound=0)

    def imbalance(self, service):
        """Maximum over mean of the requests per backend server of a service."""
        loads = [s.requests for s in self.servers if s.service == service]
        mean = sum(loads) / len(loads) if loads else 0
        return max(loads) / mean if mean else 0.0

    def problems(self):
        """Lists every violated requirement."""
        found = []
        for caller in self.callers:
            for name in FORBIDDEN:
                if caller.counts[name]:
                    found.append(
                        f"{caller.service} {caller.mode}: "
                        f"{name} {caller.counts[name]}"
                    )
            if caller.counts["done"] == 0:
                found.append(
                    f"{caller.service} {caller.mode}: no request completed"
                )
            if caller.exit_code != 0:
                found.append(
                    f"{caller.service} {caller.mode}: "
                    f"exit code {caller.exit_code}"
                )
        for server in self.servers:
            if server.orders_doubled:
                found.append(
                    f"{server.name}: duplicate orders {server.orders_doubled}"
                )
        for figure in self.figures:
            if not figure.is_within_bound():
                found.append(
                    f"{figure.name}: {figure.value:.2f} {figure.unit}, "
                    f"bound {figure.bound:g}"
                )
        return found

    def passed(self):
        return not self.problems()

    def as_dict(self):
        return {**asdict(self), "problems": self.problems()}

    def print(self):
        print(f"deployment {self.deployment}")
        for text in self.notes:
            print(f"  {text}")
        for figure in self.figures:
            print(f"  {figure.name}: {figure.value:.2f} {figure.unit}")
        for caller in self.callers:
            counts = " ".join(f"{k}={v}" for k, v in caller.counts.items())
            print(
                f"  callers {caller.service} {caller.mode}: {counts} "
                f"p50={caller.p50_ms:.1f}ms p99={caller.p99_ms:.1f}ms"
            )
        for service in sorted({s.service for s in self.servers}):
            loads = [s.requests for s in self.servers if s.service == service]
            print(
                f"  {service}: requests per backend server {loads}, "
                f"busiest over mean {self.imbalance(service):.2f}"
            )
        doubled = sum(s.orders_doubled for s in self.servers)
        print(f"  doubled requests: {doubled}")
        for problem in self.problems():
            print(f"  PROBLEM {problem}")
        print("  passed" if self.passed() else "  FAILED")
