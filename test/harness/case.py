"""Base class of the tests with real processes."""

import os
import tempfile
import unittest
from pathlib import Path

from harness.deployment import Deployment
from harness.report import Report

ROOT = Path(__file__).resolve().parent.parent.parent
CALLER_END_WAIT_S = 90.0
LOGGED_LINES = 400


class DeploymentCase(unittest.TestCase):
    """Prepares one deployment per test. Subclasses set its folder."""

    folder = "examples/egyptian"

    def setUp(self):
        self.binaries = Path(os.environ["GUAVASTAIR_BINARIES"])
        self.scratch = tempfile.TemporaryDirectory(prefix="guavastair-test-")
        self.deployment = Deployment(
            ROOT / self.folder, self.binaries, self.scratch.name
        )
        self.report = Report(self.deployment.description["name"])
        self.addCleanup(self._clean_up)

    def _clean_up(self):
        self.deployment.stop()
        if self._failed():
            self._print_logs()
        self.scratch.cleanup()

    def _failed(self):
        result = self._outcome.result
        problems = result.failures + result.errors
        return any(test is self for test, _ in problems)

    def _print_logs(self):
        """Prints the end of each process's log, because a failure may not be
        reproducible."""
        for process in self.deployment.group.started:
            lines = process.log_text().splitlines()[-LOGGED_LINES:]
            print(f"--- {process.name} (exit {process.handle.poll()})")
            print("\n".join(lines))

    def finish_callers(self, callers):
        """Waits for the callers, adds their results and the servers' to the
        report, and prints it."""
        for caller in callers:
            summary, code = caller.summary(CALLER_END_WAIT_S)
            self.report.add_caller(caller, summary, code)
        self.report.add_servers(self.deployment)
        self.report.add_open_flows(self.deployment)
        self.report.print()
        return self.report
