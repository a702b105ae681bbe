#!/usr/bin/env python3
"""Prints the names that leave the processes, one a line, sorted.

    scripts/external_names.py [--uses]

These are names that callers, backend servers, peers, stored data, settings,
operators or their tools see: string literals of the product and of the
stand-ins that have the form of a name, path or field, words quoted inside
longer literals, metric names, command-line flags, schema fields, keys of
deploy and example files. --uses prints the number of places of each name, to
compare two commits. Names of log events and log fields are left out if no
operators' page, script or test mentions them.
"""

import argparse
import collections
import re
import subprocess
import sys

LITERAL = re.compile(
    r'(?P<comment>//[^\n]*|/\*.*?\*/)'
    r'|R"(?P<delimiter>[^()\\\s]{0,16})\((?P<raw>.*?)\)(?P=delimiter)"'
    r"|'(?:[^'\\\n]|\\.)+'"
    r'|"(?P<text>(?:[^"\\\n]|\\.)*)"', re.S)
NAME = re.compile(r"[A-Za-z_/][\w\-./:]*")
QUOTED = re.compile(r'\\?"([A-Za-z_][\w\-]*)\\?"')
LOG_KEY = re.compile(r"\b([a-z]\w*)=")
METRIC = re.compile(r"guavastair_\w+")
FLAG = re.compile(r"ABSL_FLAG\(\s*[\w:]+,\s*(\w+)")
LOG_NAME = re.compile(r'(?:\.add\(|\bline \w+\(|\bline\()\s*"(\w+)"')
TOML_KEY = re.compile(r"^\s*(?:\[+([\w.]+)\]+|([\w]+)\s*=)", re.M)
JSON_KEY = re.compile(r'"([\w\-]+)"\s*:')
SCHEMA_NAME = re.compile(r"^\s*(?:struct|interface|enum)?\s*(\w+)\s*[@{:]", re.M)
SCRIPT_FLAG = re.compile(r'"(--[\w\-]+)"')


def tracked(*paths):
    listing = subprocess.run(("git", "ls-files") + paths, check=True,
                             capture_output=True, text=True)
    return listing.stdout.split()


def read(path):
    with open(path, errors="replace") as file:
        return file.read()


def literals(text):
    """Contents of the string literals, without lines that include files."""
    text = re.sub(r"^\s*#\s*include[^\n]*", "", text, flags=re.M)
    for match in LITERAL.finditer(text):
        if match.group("raw") is not None:
            yield match.group("raw")
        elif match.group("text") is not None:
            yield match.group("text")


def code_names(text):
    for value in literals(text):
        if NAME.fullmatch(value):
            yield value
        yield from METRIC.findall(value)
        yield from QUOTED.findall(value)
        yield from LOG_KEY.findall(value)
    yield from FLAG.findall(text)


def log_only_names(sources):
    """Names that are written to log lines alone and mentioned nowhere else."""
    logged = collections.Counter()
    everywhere = collections.Counter()
    for text in sources:
        logged.update(LOG_NAME.findall(text))
        everywhere.update(code_names(text))
    mentions = "\n".join(read(path) for path in tracked(
        "docs/OPERATIONS.md", "docs/operating", "scripts", "test", "unittests")
        if not path.endswith((".svg", ".csv", "external-names.txt")))
    return {name for name, uses in logged.items() if uses == everywhere[name]
            and not re.search(r"\b%s\b" % re.escape(name), mentions)}


def collect():
    uses = collections.Counter()
    sources = [read(path) for path in tracked(
        "include", "lib", "platform", "tools")
        if path.endswith((".cpp", ".hpp")) and ".capnp." not in path]
    for text in sources:
        uses.update(code_names(text))
    for name in log_only_names(sources):
        del uses[name]
    for path in tracked("lib/*.capnp"):
        text = re.sub(r"#[^\n]*", "", read(path))
        uses.update(SCHEMA_NAME.findall(text))
    for path in tracked("deploy/*.toml", "examples"):
        key = TOML_KEY if path.endswith(".toml") else JSON_KEY
        for found in key.findall(read(path)):
            uses.update([found] if isinstance(found, str)
                        else [part for part in found if part])
    for path in tracked("scripts/*.py", "test/*.py"):
        uses.update(SCRIPT_FLAG.findall(read(path)))
    return uses


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--uses", action="store_true")
    options = parser.parse_args()
    for name, count in sorted(collect().items()):
        print(f"{count} {name}" if options.uses else name)
    return 0


if __name__ == "__main__":
    sys.exit(main())
