#!/usr/bin/env python3
"""Finds out from the processes' logs what became of a caller's flow.

    scripts/trace_flow.py ADDRESS:PORT LOG...

Follows the steps of docs/OPERATIONS.md: prints every line about the flow in
the order of time, the lines that explain them, and the cause.
"""

import argparse
import re
import sys
from dataclasses import dataclass
from pathlib import Path

FIELD = re.compile(r'([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)')

# What the basis of a balancer's or an agent's refusal means.
REFUSALS = {
    "no_route": "no route leads from the address that the caller asked for",
    "no_candidate": "no agent of the service took openings",
    "nowhere": "every agent ruled the flow out: its server has restarted or "
    "forgotten it",
    "turned_away": "no candidate took the opening",
    "lost_with_server": "the server that held the flow is another one now",
    "returned_by_server": "the server does not know the flow",
}


@dataclass
class Line:
    text: str
    fields: dict

    @property
    def time_ms(self):
        return int(self.fields["time_ms"])

    def get(self, name):
        return self.fields.get(name, "")


def read_lines(paths):
    """The lines of all logs in the order of time; others are left out."""
    lines = []
    for path in paths:
        for text in Path(path).read_text(errors="replace").splitlines():
            fields = {k: v.strip('"') for k, v in FIELD.findall(text)}
            if fields.get("time_ms", "").isdigit() and "event" in fields:
                lines.append(Line(text, fields))
    return sorted(lines, key=lambda line: line.time_ms)


def last_before(lines, time_ms, **wanted):
    """The last line up to `time_ms` with those fields, or None."""
    found = None
    for line in lines:
        if line.time_ms <= time_ms and all(
            line.get(k) == v for k, v in wanted.items()
        ):
            found = line
    return found


def owner_of(about):
    """The node of the agent at which the flow last opened, or None."""
    for line in reversed(about):
        if line.get("event") == "flow" and line.get("basis") in (
            "opened",
            "repeated_opening",
        ):
            return line
    return None


def explain_refusal(lines, refusal):
    """Lines behind a refusal, and the cause in words."""
    basis = refusal.get("basis")
    cause = REFUSALS.get(basis, f"basis {basis}")
    support = []
    if basis in ("no_route", "no_candidate"):
        support.append(
            last_before(
                lines,
                refusal.time_ms,
                event="view_changed",
                node=refusal.get("node"),
            )
        )
    if refusal.get("gate") not in ("", "open"):
        cause += (
            f"; the gate of {refusal.get('node')} was {refusal.get('gate')}"
            f" with {refusal.get('in_progress')} requests in progress"
        )
    if basis in ("lost_with_server", "returned_by_server", "turned_away"):
        support.append(
            last_before(
                lines,
                refusal.time_ms,
                event="server_condition",
                node=refusal.get("node"),
            )
        )
    return [line for line in support if line is not None], cause


def explain_loss(lines, opened):
    """Lines after the opening that tell that its owner lost the flow."""
    node = opened.get("node")
    for line in lines:
        if line.time_ms < opened.time_ms:
            continue
        if line.get("event") == "flows_lost" and line.get("node") == node:
            beliefs = [
                last_before(lines, line.time_ms, event=event, node=node)
                for event in ("server_condition", "server_restarted")
            ]
            support = [x for x in (*beliefs, line) if x is not None]
            return support, (
                f"the server beside {node} lost its flows: "
                f"{line.get('cause')}"
            )
    started = [
        line
        for line in lines
        if line.get("event") in ("resumed", "started")
        and line.get("node") == node
        and line.time_ms > opened.time_ms
    ]
    if started:
        return started, f"{node} restarted or stood still after the opening"
    return [], None


def trace(lines, caller):
    """Lines about the flow, lines behind them, and the cause."""
    about = [line for line in lines if line.get("caller") == caller]
    if not about:
        return [], [], "no line names this caller: the packet reached nobody"
    opened = owner_of(about)
    if opened is not None:
        support, cause = explain_loss(lines, opened)
        if cause is not None:
            return about, support, cause
    refusals = [line for line in about if line.get("outcome") == "reset"]
    if refusals:
        support, cause = explain_refusal(lines, refusals[-1])
        return about, support, cause
    if about[-1].get("basis") == "searching":
        return about, [], "the owner of the flow was not found"
    if opened is not None:
        return about, [], f"the flow opened at {opened.get('node')}"
    return about, [], f"last seen with basis {about[-1].get('basis')}"


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("caller", help="the caller's ADDRESS:PORT")
    parser.add_argument("log", nargs="+", help="log file of a process")
    options = parser.parse_args()
    about, support, cause = trace(read_lines(options.log), options.caller)
    for title, group in (("flow", about), ("behind it", support)):
        for line in group:
            print(f"{title}: {line.text}")
    print(f"cause: {cause}")
    return 0 if about else 1


if __name__ == "__main__":
    sys.exit(main())
