"""Runs one deployment under load while its processes change, and reports.

    scripts/demo.py DEPLOYMENT BINARIES [--seconds N] [--json FILE]

DEPLOYMENT is a folder such as examples/thai, BINARIES a build folder. Exits
with 1 if a flow broke, a byte was wrong, a request was lost or run twice, or a
bound was exceeded.
"""

import argparse
import json
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test"))

from harness.deployment import Deployment  # noqa: E402
from harness.events import EventPlan  # noqa: E402
from harness.report import Report  # noqa: E402

CALLER_END_WAIT_S = 60.0


def run(deployment, seconds):
    """Runs the event plan under load. Returns the report."""
    report = Report(deployment.description["name"])
    report.add("every agent ready", deployment.wait_ready(), "s")
    callers = deployment.start_callers(seconds)
    plan = EventPlan(deployment, report)
    plan.run(seconds)
    for caller in callers:
        summary, code = caller.summary(CALLER_END_WAIT_S)
        report.add_caller(caller, summary, code)
    report.add_servers(deployment)
    report.add_open_flows(deployment)
    return report


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", type=Path)
    parser.add_argument("binaries", type=Path)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--json", type=Path)
    parser.add_argument("--work", type=Path)
    options = parser.parse_args()
    work = options.work or Path(tempfile.mkdtemp(prefix="guavastair-demo-"))
    deployment = Deployment(options.deployment, options.binaries, work)
    try:
        deployment.start()
        report = run(deployment, options.seconds)
    finally:
        deployment.stop()
    report.print()
    if options.json:
        options.json.write_text(json.dumps(report.as_dict(), indent=2))
    return 0 if report.passed() else 1


if __name__ == "__main__":
    sys.exit(main())
