"""Tests scripts/journal_report.py on a small synthetic journal."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

SCRIPT = Path(__file__).resolve().parent.parent / "scripts/journal_report.py"


def day(name, worth, rules=None):
    return {
        "name": name,
        "slot": "quiet",
        "G": worth,
        "rules": rules or {},
        "prices": [["calls", 10.0, 0.002], ["machines", 99.0, 0.03]],
    }


def entry(number, command, days, **more):
    return {
        "ok": True,
        "cmd": command,
        "site": "north" if command == "score" else None,
        "argv": [".../north.toml"],
        "head": f"{number}" * 40,
        "dirty": number == 2,
        "score": 0.5 + number / 10,
        "figures": {"gate": 1.0 if number > 1 else 0.0},
        "days": days,
        **more,
    }


class JournalReport(unittest.TestCase):
    def setUp(self):
        self.scratch = tempfile.TemporaryDirectory()
        self.addCleanup(self.scratch.cleanup)
        self.folder = Path(self.scratch.name)
        self.journal = self.folder / "journal"
        self.journal.mkdir()

    def write(self, name, content):
        (self.journal / name).write_text(content)

    def report(self):
        run = subprocess.run(
            [
                sys.executable,
                SCRIPT,
                f"--journal={self.journal}",
                f"--page={self.folder / 'page.md'}",
                f"--images={self.folder}",
            ],
            capture_output=True,
            text=True,
            check=True,
        )
        return (self.folder / "page.md").read_text(), run.stderr

    def test_scores_hunts_and_unreadable_entries(self):
        first = entry(1, "score", [day("a", 0.8, {"FLOW": 2})])
        second = entry(2, "score", [day("a", 0.9), day("fresh-1", 0.1)])
        hunt = entry(3, "hunt", [day("m", 0.7, {"FLOW": 1}), day("n", 0.7)])
        self.write("1.json", json.dumps(first))
        self.write("2.json", json.dumps(second))
        self.write("3.json", json.dumps(hunt))
        self.write("4.json", json.dumps({**second, "ok": False}))
        self.write("5.json", "{ not JSON")
        page, problems = self.report()
        self.assertIn("| 1111111 | 0.600 | failed | FLOW 1 | 0.800 |", page)
        self.assertIn("| 2222222+ | 0.700 | passed | 0 | 0.900 |", page)
        self.assertIn("| a | machines 0.0300, calls 0.0020 |", page)
        self.assertIn("| 3333333 | north | 2 | FLOW 1 |", page)
        self.assertNotIn("fresh-1", page)
        self.assertEqual(problems.count("left out"), 1)
        self.assertIn("5.json", problems)
        rows = (self.folder / "journal-north.csv").read_text().splitlines()
        self.assertEqual(rows[0], "number,commit,score,a")
        self.assertEqual(rows[2], "2,2222222,0.7,0.9")
        self.assertIn("<svg", (self.folder / "journal-north.svg").read_text())


if __name__ == "__main__":
    unittest.main()
