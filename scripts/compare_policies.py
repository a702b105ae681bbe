#!/usr/bin/env python3
"""Plays the same days on several variants of the code and compares them.

    scripts/compare_policies.py --bench FLEETBENCH --days SITE:DAY,... \\
        --seeds 1,2,3 NAME=CHECKOUT NAME=CHECKOUT... [--jobs N] [--why TEXT]

The first variant is the baseline. A DAY is the name of a standard day, `all`
for all standard days of the site, or a file. Each pair is the same day and seed
on two variants, played without the cost of processor time unless --cpu is
given. Prints the mean difference and its standard error for each day and over
all pairs. --csv FILE writes the result of every play.
"""

import argparse
import csv
import json
import math
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

# Time-out of one play; every day takes far less.
PLAY_LIMIT_S = 900


def read_days(text):
    """The (site file, day) pairs of --days."""
    days = []
    for part in text.split(","):
        site, _, day = part.rpartition(":")
        if not site:
            raise ValueError(f"--days: '{part}' is not SITE:DAY")
        if day != "all":
            days.append((site, day))
            continue
        standard = tomllib.loads(Path(site).read_text())["day"]
        days.extend((site, each["name"]) for each in standard)
    return days


def read_variants(texts):
    variants = {}
    for text in texts:
        name, separator, checkout = text.partition("=")
        if not separator or not (Path(checkout) / "deploy").is_dir():
            raise ValueError(f"'{text}' is not NAME=CHECKOUT")
        variants[name] = checkout
    if len(variants) < 2:
        raise ValueError("at least two variants are required")
    return variants


def play(bench, checkout, site, day, seed, options):
    """The report of one play; None if the play failed."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [bench, "run", site, day, "--seed", str(seed)]
        command += ["--report", str(report), "--jobs", "1"]
        command += ["--why", options.why]
        if not options.cpu:
            command.append("--no-cpu")
        done = subprocess.run(
            command,
            cwd=checkout,
            capture_output=True,
            text=True,
            timeout=PLAY_LIMIT_S,
        )
        if done.returncode != 0 or not report.exists():
            print(f"not played: {command}: {done.stdout[-400:]}{done.stderr}",
                  file=sys.stderr)
            return None
        return json.loads(report.read_text())


def play_all(options, checkouts, days, seeds):
    """The figures by (name, site, day, seed) of all successful plays."""
    tasks = [
        (name, site, day, seed)
        for site, day in days
        for seed in seeds
        for name in checkouts
    ]
    with ThreadPoolExecutor(options.jobs) as pool:
        reports = pool.map(
            lambda task: play(options.bench, checkouts[task[0]], *task[1:],
                              options),
            tasks,
        )
        return {
            task: figures(report)
            for task, report in zip(tasks, reports)
            if report is not None
        }


def figures(report):
    totals = report["all"]
    return {
        "worth": report["G"],
        "in_aim": totals["in_aim"] / max(totals["n"], 1),
        "unserved": totals["refused"] + totals["failed"],
        "rules": sum(report["breaks"].values()),
    }


def mean_and_error(values):
    """Mean and its standard error."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, 0.0
    spread = sum((each - mean) ** 2 for each in values) / (len(values) - 1)
    return mean, math.sqrt(spread / len(values))


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("variants", nargs="+", metavar="NAME=CHECKOUT")
    parser.add_argument("--bench", required=True)
    parser.add_argument("--days", required=True)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--why", default="comparison of policies")
    parser.add_argument("--cpu", action="store_true")
    parser.add_argument("--csv")
    options = parser.parse_args()
    try:
        variants = read_variants(options.variants)
        days = read_days(options.days)
        seeds = [int(each) for each in options.seeds.split(",")]
    except (ValueError, OSError) as problem:
        parser.error(str(problem))

    for checkout in variants.values():
        subprocess.run([options.bench, "build"], cwd=checkout, check=True,
                       capture_output=True)
    plays = play_all(options, variants, days, seeds)
    print_table(variants, days, seeds, plays)
    if options.csv:
        write_csv(options.csv, plays)


def print_table(variants, days, seeds, plays):
    base, *others = variants
    differences = {name: [] for name in others}
    for site, day in days:
        row = f"{Path(site).stem:20} {Path(day).stem:12}"
        for name in variants:
            found = [
                plays[(name, site, day, seed)]
                for seed in seeds
                if (name, site, day, seed) in plays
            ]
            if not found:
                row += f"  {name} not played"
                continue
            mean = sum(each["worth"] for each in found) / len(found)
            unserved = sum(each["unserved"] for each in found) / len(found)
            rules = sum(each["rules"] for each in found)
            row += f"  {name} {mean:.3f} ({unserved:.0f} unserved"
            row += f", {rules} RULES)" if rules else ")"
            if name == base:
                continue
            pairs = [
                plays[(name, site, day, seed)]["worth"]
                - plays[(base, site, day, seed)]["worth"]
                for seed in seeds
                if (name, site, day, seed) in plays
                and (base, site, day, seed) in plays
            ]
            if pairs:
                change, error = mean_and_error(pairs)
                differences[name] += pairs
                row += f" {change:+.3f}±{error:.3f}"
        print(row)
    for name, pairs in differences.items():
        if pairs:
            change, error = mean_and_error(pairs)
            print(f"{name} against {base}: {change:+.4f} ± {error:.4f} "
                  f"over {len(pairs)} pairs")


def write_csv(path, plays):
    with open(path, "w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(
            ["variant", "site", "day", "seed", "worth", "in_aim", "unserved",
             "rules"]
        )
        for (name, site, day, seed), each in plays.items():
            writer.writerow(
                [name, Path(site).stem, Path(day).stem, seed, each["worth"],
                 each["in_aim"], each["unserved"], each["rules"]]
            )


if __name__ == "__main__":
    main()
