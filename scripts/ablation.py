#!/usr/bin/env python3
"""Plays days with each mechanism of the platform's roles disabled in turn.

    scripts/ablation.py --bench FLEETBENCH --days SITE:DAY,... --program FILE \\
        [--seeds 1,2,3] [--without NAME,...] [--jobs N] [--page FILE]

--program is a built binary. For each mechanism the script creates a folder
whose deploy file starts that binary with --without=NAME. The days are played
there without a build and without the cost of processor time. Prints a Markdown
table of the differences from the same days and seeds with all mechanisms
enabled. A positive value means that the system is worth more without the
mechanism.
"""

import argparse
import re
import shutil
import sys
import tempfile
from pathlib import Path

import compare_policies as compare

ALL_ON = "all on"


def known_mechanisms(source):
    """The names in the table of lib/ablation."""
    text = (source / "lib/ablation/mechanisms.cpp").read_text()
    table = re.search(r"names\{(.*?)\};", text, re.S)
    return re.findall(r'"(\w+)"', table.group(1))


def make_folder(root, source, program, name):
    """Creates a minimal checkout that runs `program` without mechanism `name`,
    or with all of them if `name` is ALL_ON."""
    folder = root / name.replace(" ", "_")
    (folder / "target").mkdir(parents=True)
    (folder / "deploy").mkdir()
    shutil.copy(program, folder / "target/guavastair")
    deploy = (source / "deploy/system.toml").read_text()
    deploy = re.sub(r"^build = .*$", 'build = "true"', deploy, flags=re.M)
    deploy = re.sub(r"^packages = .*$", "packages = []", deploy, flags=re.M)
    if name != ALL_ON:
        deploy = re.sub(r'^(run = ".*)"$', rf'\1 --without={name}"', deploy,
                        flags=re.M)
    (folder / "deploy/system.toml").write_text(deploy)
    return folder


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--days", required=True)
    parser.add_argument("--program", required=True)
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--without")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--page")
    parser.add_argument("--journal", help="folder for the plays' entries")
    options = parser.parse_args()
    options.cpu = False
    options.why = "trial: ablation"

    source = Path(__file__).resolve().parent.parent
    known = known_mechanisms(source)
    names = options.without.split(",") if options.without else known
    unknown = [name for name in names if name not in known]
    if unknown:
        parser.error(f"--without: unknown mechanism '{unknown[0]}'")
    try:
        days = compare.read_days(options.days)
        seeds = [int(each) for each in options.seeds.split(",")]
    except (ValueError, OSError) as problem:
        parser.error(str(problem))

    with tempfile.TemporaryDirectory() as root:
        folders = {
            name: make_folder(Path(root), source, options.program, name)
            for name in [ALL_ON, *names]
        }
        plays = compare.play_all(options, folders, days, seeds)
        if options.journal:
            for folder in folders.values():
                for entry in (folder / "journal").glob("*.json"):
                    shutil.copy(entry, options.journal)
    table = render(names, days, seeds, plays)
    print(table)
    if options.page:
        Path(options.page).write_text(table)


def render(names, days, seeds, plays):
    sites = list(dict.fromkeys(site for site, _ in days))
    titles = [Path(site).stem for site in sites]
    lines = [
        "| without | " + " | ".join(titles) + " | unserved | rules broken |",
        "| --- |" + " --- |" * (len(sites) + 2),
    ]
    for name in names:
        cells = []
        unserved = rules = 0
        for site in sites:
            keys = [
                (site, day, seed)
                for each, day in days
                if each == site
                for seed in seeds
                if (name, site, day, seed) in plays
                and (ALL_ON, site, day, seed) in plays
            ]
            if not keys:
                cells.append("not played")
                continue
            pairs = [(plays[(name, *key)], plays[(ALL_ON, *key)])
                     for key in keys]
            mean, error = compare.mean_and_error(
                [off["worth"] - on["worth"] for off, on in pairs])
            cells.append(f"{mean:+.4f} ± {error:.4f}")
            unserved += sum(off["unserved"] - on["unserved"]
                            for off, on in pairs)
            rules += sum(off["rules"] for off, _ in pairs)
        lines.append(f"| {name} | " + " | ".join(cells)
                     + f" | {unserved:+d} | {rules} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.exit(main())
