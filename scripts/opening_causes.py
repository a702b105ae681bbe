#!/usr/bin/env python3
"""Counts the outcomes of callers' openings over time, from the processes' logs.

    scripts/opening_causes.py LOG... [--from S] [--to S] [--step S]
        [--csv FILE] [--svg FILE]

LOG holds log lines of balancers and agents, optionally prefixed with a time and
a node. Run the processes with --log_lines_per_event=1000000; otherwise lines of
the busiest seconds are missing. The number of missing lines is reported. An
opening is identified by the caller's address and port, so each attempt of a
request is one opening. Times are the prefixed ones or, without them, seconds
from the start of the log.
"""

import argparse
import collections
import csv
import re
import sys

PAIR = re.compile(r"(\w+)=(\S*)")
PREFIX = re.compile(r"^\s*(-?\d+\.\d+)\s+\S+\s+time_ms=")
STAMP = re.compile(r"time_ms=(\d+)")

# Outcomes of an opening, best first, with their colours in the plot.
FATES = {
    "taken at once": "#3a7d44",
    "taken after passing": "#8fc98b",
    "taken as a late copy": "#c6d98b",
    "waits for knowledge, then lost": "#9aa5b1",
    "dropped, starting": "#5b6770",
    "rejected, no room": "#d1495b",
    "rejected, no candidate": "#8d2f3c",
    "rejected, other reason": "#e0a458",
    "no answer": "#3b3b58",
}


def read_lines(paths, notes):
    """(time in s, fields) of each line about a flow, ordered by time. Counts
    missing lines in `notes`."""
    rows = []
    start_ms = None
    for path in paths:
        with open(path, errors="replace") as file:
            for text in file:
                stamp = STAMP.search(text)
                if not stamp:
                    continue
                prefix = PREFIX.match(text)
                if start_ms is None:
                    start_ms = int(stamp.group(1))
                time = (float(prefix.group(1)) if prefix
                        else (int(stamp.group(1)) - start_ms) / 1000)
                fields = dict(PAIR.findall(text))
                if fields.get("event") == "lines_left_out":
                    notes["lines left out"] += int(fields.get("count", 1))
                if fields.get("event") in ("flow", "dispatch"):
                    rows.append((time, fields))
    rows.sort(key=lambda row: row[0])
    return rows


class Opening:
    """The outcome of one opening, updated with each log line."""

    def __init__(self, time):
        self.first = time
        self.passes = 0
        self.is_late_copy = False
        self.waited = False
        self.fate = "no answer"
        self.done = False

    def end(self, fate):
        if not self.done:
            self.fate = fate
            self.done = True

    def on_dispatch(self, fields):
        outcome, basis = fields.get("outcome"), fields.get("basis")
        if outcome == "hold":
            self.waited = True
            self.fate = "waits for knowledge, then lost"
        elif outcome == "drop":
            self.fate = "dropped, starting"
        elif outcome == "reset" and basis == "no_candidate":
            self.end("rejected, no candidate")
        elif outcome == "reset":
            self.end("rejected, other reason")
        elif basis == "repeated_opening":
            self.is_late_copy = True

    def on_flow(self, fields):
        outcome, basis = fields.get("outcome"), fields.get("basis")
        if basis == "opened":
            if self.is_late_copy:
                self.end("taken as a late copy")
            else:
                self.end("taken after passing" if self.passes
                         else "taken at once")
        elif outcome == "pass_on":
            self.passes += 1
        elif outcome == "reset" and basis == "turned_away":
            self.end("rejected, no room" if fields.get("gate") == "full"
                     else "rejected, other reason")
        elif outcome == "drop":
            self.fate = "dropped, starting"


def is_about_opening(fields):
    if fields["event"] == "flow":
        return fields.get("basis") in ("opened", "passed", "turned_away",
                                       "starting", "table_full")
    return fields.get("basis") in ("opening", "repeated_opening", "no_route",
                                   "no_configuration", "no_candidate",
                                   "starting")


def collect(rows):
    openings = {}
    for time, fields in rows:
        if not is_about_opening(fields):
            continue
        key = (fields.get("caller"), fields.get("service"))
        each = openings.setdefault(key, Opening(time))
        if fields["event"] == "dispatch":
            each.on_dispatch(fields)
        else:
            each.on_flow(fields)
    return openings


def count(openings, begin, end, step):
    table = collections.defaultdict(collections.Counter)
    for each in openings.values():
        if begin <= each.first < end:
            slot = begin + int((each.first - begin) / step) * step
            table[round(slot, 3)][each.fate] += 1
    return dict(sorted(table.items()))


def write_svg(path, table, step):
    width, height, left = 900, 320, 50
    highest = max((sum(c.values()) for c in table.values()), default=1)
    begin, end = min(table), max(table) + step
    scale = (width - left - 10) / (end - begin)
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
             f'height="{height + 60}" font-family="sans-serif" '
             'font-size="11">']
    for slot, counts in table.items():
        y = height
        for fate, colour in FATES.items():
            tall = counts[fate] / highest * (height - 20)
            y -= tall
            parts.append(
                f'<rect x="{left + (slot - begin) * scale:.1f}" y="{y:.1f}" '
                f'width="{step * scale - 1:.1f}" height="{tall:.1f}" '
                f'fill="{colour}"/>')
        parts.append(f'<text x="{left + (slot - begin) * scale:.1f}" '
                     f'y="{height + 12}">{slot:g}</text>')
    for i, (fate, colour) in enumerate(FATES.items()):
        x, y = left + (i % 4) * 210, height + 26 + (i // 4) * 13
        parts.append(f'<rect x="{x}" y="{y - 8}" width="9" height="9" '
                     f'fill="{colour}"/><text x="{x + 13}" y="{y}">{fate}'
                     "</text>")
    parts.append(f'<text x="2" y="14">{highest} / {step:g} s</text></svg>')
    with open(path, "w") as file:
        file.write("\n".join(parts) + "\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("logs", nargs="+", metavar="LOG")
    parser.add_argument("--from", dest="begin", type=float, default=0.0)
    parser.add_argument("--to", dest="end", type=float, default=1e9)
    parser.add_argument("--step", type=float, default=0.2)
    parser.add_argument("--csv")
    parser.add_argument("--svg")
    options = parser.parse_args()
    notes = collections.Counter()
    rows = read_lines(options.logs, notes)
    table = count(collect(rows), options.begin, options.end, options.step)
    for note, times in notes.items():
        print(f"{note}: {times}", file=sys.stderr)
    if not table:
        print("no openings in that time", file=sys.stderr)
        return 1
    for slot, counts in table.items():
        cells = ", ".join(f"{fate} {counts[fate]}" for fate in FATES
                          if counts[fate])
        print(f"{slot:8.2f}  {cells}")
    if options.csv:
        with open(options.csv, "w", newline="") as file:
            writer = csv.writer(file)
            writer.writerow(["second", *FATES])
            for slot, counts in table.items():
                writer.writerow([slot, *(counts[fate] for fate in FATES)])
    if options.svg:
        write_svg(options.svg, table, options.step)
    return 0


if __name__ == "__main__":
    sys.exit(main())
