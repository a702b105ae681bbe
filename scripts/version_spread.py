#!/usr/bin/env python3
"""Shows how each version of the configuration reached the processes.

    scripts/version_spread.py LOG... [--over MS] [--details]

LOG holds log lines of balancers and agents, each with the time and the node in
front, as `fleetbench run --log all` prints them. For each version the table has
the time at which the first process had it, how many processes learned it from
the store and from peers, and the delays of the median and of the last process.
A process that skips a version has it once it has a later one; one that starts
later is counted from its last start on. --over lists every process that was
more than MS later than the first, with its decisions in between; --details
lists all of them for every process.

Exit status: 0, or 1 if a process went back to an older version.
"""

import argparse
import collections
import math
import re
import statistics
import sys

PAIR = re.compile(r"(\w+)=(\"[^\"]*\"|\S*)")
LINE = re.compile(r"^\s*(-?\d+\.\d+)\s+(\S+)\s+time_ms=\d+ (.*)$")

# Events that show what a process knew about versions, and from whom.
DECISIONS = ("view_changed", "newer_configuration", "view_fetched",
             "view_fetch_failed", "configuration_refused", "store_lost",
             "store_regained", "history_lost", "resumed", "started")


def read_events(paths):
    """(time in s, node, fields) of each line about versions, by time."""
    rows = []
    for path in paths:
        with open(path, errors="replace") as file:
            for text in file:
                match = LINE.match(text)
                if not match:
                    continue
                fields = dict(PAIR.findall(match.group(3)))
                if fields.get("event") in DECISIONS:
                    rows.append((float(match.group(1)), match.group(2),
                                 fields))
    rows.sort(key=lambda row: row[0])
    return rows


class Process:
    """The versions of one process, from its last start on."""

    def __init__(self, started):
        self.started = started
        self.history = []

    def version(self):
        return self.history[-1][1] if self.history else None

    def time_of(self, version):
        """When this process had `version` or a later one, and from whom."""
        for time, has, source in self.history:
            if has >= version:
                return time, source
        return None


def collect(rows):
    """The processes of all nodes, the first time of each version, and the
    number of returns to an older version."""
    processes = collections.defaultdict(list)
    first = {}
    regressions = 0
    for time, node, fields in rows:
        if fields["event"] == "started":
            processes[node].append(Process(time))
        if fields["event"] != "view_changed" or not processes[node]:
            continue
        process = processes[node][-1]
        version = int(fields["version"])
        if process.version() is not None and version < process.version():
            regressions += 1
            print(f"{time:.3f} {node} went back from {process.version()} "
                  f"to {version}")
        if fields["outcome"] == "replaced" and version != process.version():
            process.history.append((time, version, fields["source"]))
            first.setdefault(version, time)
    return processes, first, regressions


def delays_of(version, since, processes):
    """(delay in ms, node, source or None) of the processes of all nodes."""
    result = []
    for node, runs in processes.items():
        run = runs[-1]
        reached = run.time_of(version)
        if reached is None:
            result.append((None, node, None))
            continue
        time, source = reached
        begin = max(since, run.started)
        result.append((max(time - begin, 0.0) * 1000, node, source))
    return result


def print_decisions(rows, node, begin, end):
    for time, where, fields in rows:
        if where == node and begin <= time <= end:
            text = " ".join(f"{key}={value}" for key, value in fields.items()
                            if key not in ("level", "node"))
            print(f"      {time:.3f} {text}")


def main():
    parser = argparse.ArgumentParser(
        description=__doc__.splitlines()[0],
        formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+", metavar="LOG")
    parser.add_argument("--over", type=float, metavar="MS", default=math.inf)
    parser.add_argument("--details", dest="over", action="store_const",
                        const=-math.inf)
    arguments = parser.parse_args()
    rows = read_events(arguments.logs)
    processes, first, regressions = collect(rows)
    print("version  first_s  store  peers  never  median_ms  last_ms  last")
    for version, since in sorted(first.items()):
        delays = delays_of(version, since, processes)
        reached = sorted((each for each in delays if each[0] is not None),
                         key=lambda each: each[0])
        if not reached:
            continue
        never = [node for delay, node, _ in delays if delay is None]
        from_store = sum(1 for each in reached if each[2] == "store")
        median = statistics.median(each[0] for each in reached)
        print(f"{version:7} {since:8.3f} {from_store:6} "
              f"{len(reached) - from_store:6} {len(never):6} {median:10.0f} "
              f"{reached[-1][0]:8.0f}  {reached[-1][1]}")
        for delay, node, source in reached:
            if delay > arguments.over:
                print(f"    {node} after {delay:.0f} ms from {source}")
                print_decisions(rows, node, since - 0.001,
                                since + delay / 1000 + 0.001)
    return 1 if regressions else 0


if __name__ == "__main__":
    sys.exit(main())
