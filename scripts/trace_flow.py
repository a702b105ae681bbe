#!/usr/bin/env python3
"""Determines from the logs of all processes what happened to a caller's flow.

    scripts/trace_flow.py ADDRESS:PORT LOG...

Follows the steps of docs/OPERATIONS.md: prints all lines about the flow in the
order of time, the lines that explain them, and the cause.
"""

import argparse
import re
import sys
from dataclasses import dataclass
from pathlib import Path

FIELD = re.compile(r'([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)')

# Meaning of the `basis` field in a rejection by a balancer or an agent.
REFUSALS = {
    "no_route": "no route leads from the address that the caller requested",
    "no_candidate": "no agent of the service accepted openings",
    "nowhere": "every agent denied ownership of the flow: its server has "
    "restarted or lost its state",
    "turned_away": "no candidate took the opening",
    "lost_with_server": "the server that held the flow was replaced by a new "
    "instance",
    "returned_by_server": "the server has no state for the flow",
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
    """Log lines of all files in the order of time. Other text is skipped."""
    lines = []
    for path in paths:
        for text in Path(path).read_text(errors="replace").splitlines():
            fields = {k: v.strip('"') for k, v in FIELD.findall(text)}
            if fields.get("time_ms", "").isdigit() and "event" in fields:
                lines.append(Line(text, fields))
    return sorted(lines, key=lambda line: line.time_ms)


def last_before(lines, time_ms, **expected_fields):
    """The last line up to `time_ms` that has these fields, or None."""
    found = None
    for line in lines:
        if line.time_ms <= time_ms and all(
            line.get(k) == v for k, v in expected_fields.items()
        ):
            found = line
    return found


def last_opening(flow_lines):
    """The log line of the agent at which the flow last opened, or None."""
    for line in reversed(flow_lines):
        if line.get("event") == "flow" and line.get("basis") in (
            "opened",
            "repeated_opening",
        ):
            return line
    return None


def explain_refusal(lines, refusal):
    """Lines that explain a rejection, and its cause."""
    basis = refusal.get("basis")
    cause = REFUSALS.get(basis, f"basis {basis}")
    context_lines = []
    if basis in ("no_route", "no_candidate"):
        context_lines.append(
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
        context_lines.append(
            last_before(
                lines,
                refusal.time_ms,
                event="server_condition",
                node=refusal.get("node"),
            )
        )
    return [line for line in context_lines if line is not None], cause


def explain_loss(lines, opened):
    """Lines which show that the owner lost the flow after it opened, and the
    cause; the cause is None if there are none."""
    node = opened.get("node")
    for line in lines:
        if line.time_ms < opened.time_ms:
            continue
        if line.get("event") == "flows_lost" and line.get("node") == node:
            condition_lines = [
                last_before(lines, line.time_ms, event=event, node=node)
                for event in ("server_condition", "server_restarted")
            ]
            context_lines = [
                x for x in (*condition_lines, line) if x is not None
            ]
            return context_lines, (
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
        return started, f"{node} restarted or was paused after the opening"
    return [], None


def trace(lines, caller):
    """Lines about the flow, lines that explain them, and the cause."""
    flow_lines = [line for line in lines if line.get("caller") == caller]
    if not flow_lines:
        return [], [], "no line names this caller: no process got its packets"
    opened = last_opening(flow_lines)
    if opened is not None:
        context_lines, cause = explain_loss(lines, opened)
        if cause is not None:
            return flow_lines, context_lines, cause
    refusals = [line for line in flow_lines if line.get("outcome") == "reset"]
    if refusals:
        context_lines, cause = explain_refusal(lines, refusals[-1])
        return flow_lines, context_lines, cause
    if flow_lines[-1].get("basis") == "searching":
        return flow_lines, [], "the owner of the flow was not found"
    if opened is not None:
        return flow_lines, [], f"the flow opened at {opened.get('node')}"
    return flow_lines, [], f"last seen with basis {flow_lines[-1].get('basis')}"


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("caller", help="the caller's ADDRESS:PORT")
    parser.add_argument("log", nargs="+", help="log file of a process")
    options = parser.parse_args()
    flow_lines, context_lines, cause = trace(
        read_lines(options.log), options.caller
    )
    for title, group in (("flow", flow_lines), ("behind it", context_lines)):
        for line in group:
            print(f"{title}: {line.text}")
    print(f"cause: {cause}")
    return 0 if flow_lines else 1


if __name__ == "__main__":
    sys.exit(main())
