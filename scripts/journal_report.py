#!/usr/bin/env python3
"""Renders the scores in the journal as tables and plots over commits.

    scripts/journal_report.py [--journal DIR] [--page FILE] [--images DIR]

Reads every complete entry of a score or a hunt. Writes one page of tables and,
for each deployment, a CSV file and an SVG plot of worth over scores.
"""

import argparse
import csv
import json
import subprocess
import sys
from pathlib import Path

PRICES_SHOWN = 4


def read_entries(folder):
    """Complete entries, oldest first. Malformed entries are skipped and named
    on standard error."""
    entries = []
    for path in sorted(Path(folder).glob("*.json")):
        try:
            entry = json.loads(path.read_text())
            is_complete = entry["ok"] and entry["days"]
        except (json.JSONDecodeError, KeyError, TypeError) as problem:
            print(f"{path}: left out: {problem!r}", file=sys.stderr)
            continue
        if is_complete:
            entries.append(entry)
    return entries


def scores_by_site(entries):
    sites = {}
    for entry in entries:
        if entry["cmd"] == "score" and entry.get("score") is not None:
            sites.setdefault(entry["site"], []).append(entry)
    return sites


def standard_days(entry):
    """Days that count for the score, by name. Freshly generated days do not
    count."""
    return {
        day["name"]: day
        for day in entry["days"]
        if not day["name"].startswith("fresh-")
    }


def broken_rules(entry):
    """Number of days that broke each rule."""
    counts = {}
    for day in entry["days"]:
        for rule, times in (day.get("rules") or {}).items():
            if times:
                counts[rule] = counts.get(rule, 0) + 1
    return counts


def format_rules(counts):
    if not counts:
        return "0"
    return ", ".join(f"{rule} {n}" for rule, n in sorted(counts.items()))


def score_table(entries):
    names = sorted(standard_days(entries[-1]))
    lines = [
        "| commit | score | gate | days with a broken rule | "
        + " | ".join(names)
        + " |",
        "| --- " * (4 + len(names)) + "|",
    ]
    for entry in entries:
        days = standard_days(entry)
        worth = [f"{days[n]['G']:.3f}" if n in days else "" for n in names]
        gate = "passed" if entry["figures"].get("gate") == 1.0 else "failed"
        lines.append(
            f"| {entry['head'][:7]}{'+' if entry['dirty'] else ''} "
            f"| {entry['score']:.3f} | {gate} "
            f"| {format_rules(broken_rules(entry))} | "
            + " | ".join(worth)
            + " |"
        )
    return lines


def price_table(entry):
    lines = ["| day | prices, highest first |", "| --- | --- |"]
    for name, day in sorted(standard_days(entry).items()):
        highest = sorted(day["prices"], key=lambda p: -p[2])[:PRICES_SHOWN]
        shown = ", ".join(f"{kind} {price:.4f}" for kind, _, price in highest)
        lines.append(f"| {name} | {shown} |")
    return lines


def hunt_table(entries):
    lines = [
        "| commit | deployment | days | days with a broken rule |",
        "| --- | --- | --- | --- |",
    ]
    for entry in entries:
        if entry["cmd"] != "hunt":
            continue
        site = entry.get("site") or Path(entry["argv"][0]).stem
        lines.append(
            f"| {entry['head'][:7]}{'+' if entry['dirty'] else ''} | {site} "
            f"| {len(entry['days'])} "
            f"| {format_rules(broken_rules(entry))} |"
        )
    return lines


def write_csv(path, entries):
    names = sorted(standard_days(entries[-1]))
    with open(path, "w", newline="") as out:
        table = csv.writer(out, lineterminator="\n")
        table.writerow(["number", "commit", "score", *names])
        for number, entry in enumerate(entries, start=1):
            days = standard_days(entry)
            worth = [days[n]["G"] if n in days else "" for n in names]
            table.writerow(
                [number, entry["head"][:7], entry["score"], *worth]
            )
    return 1 + len(names)


def plot(site, data, image, columns):
    """Plots the columns of `data` that follow the commit, over the scores."""
    commands = f"""
        set terminal svg size 720,400 font "sans,11"
        set output "{image}"
        set datafile separator ","
        set key outside right
        set title "{site}: worth of the standard days, and score"
        set xlabel "scores, oldest first"
        set yrange [0.5:1]
        set grid ytics
        plot for [i=3:{columns + 2}] "{data}" using 1:i with linespoints \\
            title columnheader(i)
    """
    subprocess.run(["gnuplot"], input=commands, text=True, check=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--journal", default="journal")
    parser.add_argument("--page", default="docs/JOURNAL.md")
    parser.add_argument("--images", default="docs/images")
    options = parser.parse_args()
    entries = read_entries(options.journal)
    page = [
        "# Scores and hunts",
        "",
        "Made by `scripts/journal_report.py` from `journal/`. A `+` marks a",
        "work tree with changes that were not committed.",
    ]
    for site, scored in sorted(scores_by_site(entries).items()):
        stem = Path(options.images) / f"journal-{site}"
        columns = write_csv(f"{stem}.csv", scored)
        plot(site, f"{stem}.csv", f"{stem}.svg", columns)
        page += ["", f"## {site}", "", *score_table(scored), ""]
        page += [f"![worth over scores](images/journal-{site}.svg)", ""]
        page += ["Prices of the last score:", "", *price_table(scored[-1])]
    page += ["", "## Hunts", "", *hunt_table(entries)]
    Path(options.page).write_text("\n".join(page) + "\n")


if __name__ == "__main__":
    main()
