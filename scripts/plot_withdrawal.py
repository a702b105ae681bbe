"""Withdraws and returns a data centre under load and plots requests per second
by data centre, latency and success rate over time.

    scripts/plot_withdrawal.py DEPLOYMENT BINARIES OUTPUT.svg

Needs gnuplot. The samples are written to OUTPUT.csv.
"""

import argparse
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test"))

from harness.deployment import Deployment  # noqa: E402

RUN_S = 40
WITHDRAW_AT_S = 10
RETURN_AT_S = 22
PROBE = {"mode": "content", "connections": 4, "content_size": 2000}

PLOT = """
set terminal svg size 900,700 font "sans,13" background "white"
set output "{picture}"
set datafile separator ","
set key outside right top
set xrange [0:{run}]
set multiplot layout 3,1 title "{title}"
set arrow 1 from {withdraw}, graph 0 to {withdraw}, graph 1 nohead dt 2
set arrow 2 from {back}, graph 0 to {back}, graph 1 nohead dt 2
set ylabel "requests/s"
plot {rates}
set ylabel "p99 in ms"
set yrange [0:*]
plot "{csv}" using 1:{p99} with linespoints title "p99 of probe callers"
set ylabel "share answered"
set yrange [0:1.05]
set xlabel "seconds; dashed: withdrawn, returned"
plot "{csv}" using 1:{share} with linespoints title "done / requests"
unset multiplot
"""


@dataclass
class Sample:
    at_s: float
    rates: list
    p99_ms: float = 0.0
    share: float = 0.0


class Sampler:
    """Takes samples from server counters and from a short-lived caller."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.service = deployment.services[0]
        self.centres = [
            c["name"] for c in deployment.description["data_centres"]
        ]
        self.previous = self.totals()

    def totals(self):
        found = dict.fromkeys(self.centres, 0)
        for agent in self.deployment.agents:
            counters = self.deployment.server_counters(agent.details["server"])
            if counters is not None:
                centre = agent.details["data_centre"]
                found[centre] += counters["requests"]
        return found

    def take(self, at_s):
        probe = self.deployment.start_caller(
            self.service, PROBE, 0.8, timeout_ms=3000
        )
        summary, _ = probe.summary(20.0)
        now = self.totals()
        rates = [now[c] - self.previous[c] for c in self.centres]
        self.previous = now
        share = summary["done"] / max(1, summary["requests"])
        return Sample(at_s, rates, summary["p99_ms"], share)


def measure(deployment):
    deployment.start()
    callers = deployment.start_callers(RUN_S)
    centre = deployment.description["data_centres"][2]["name"]
    changes = [
        threading.Timer(
            at, deployment.run_tool, ("data-centre", verb, centre)
        )
        for at, verb in [(WITHDRAW_AT_S, "withdraw"), (RETURN_AT_S, "return")]
    ]
    for change in changes:
        change.start()
    sampler = Sampler(deployment)
    start = time.monotonic()
    samples = []
    while time.monotonic() - start < RUN_S - 2:
        begun = time.monotonic()
        samples.append(sampler.take(begun - start))
        time.sleep(max(0.0, 1.0 - (time.monotonic() - begun)))
    for caller in callers:
        caller.summary(60.0)
    return sampler.centres, samples


def draw(centres, samples, picture, title):
    csv = picture.with_suffix(".csv")
    rows = [",".join(["second", *centres, "p99_ms", "share_answered"])]
    for s in samples:
        values = [s.at_s, *s.rates, s.p99_ms, s.share]
        rows.append(",".join(f"{v:.3f}" for v in values))
    csv.write_text("\n".join(rows) + "\n")
    rates = ", ".join(
        f'"{csv}" using 1:{i + 2} with lines lw 2 title "{name}"'
        for i, name in enumerate(centres)
    )
    plot = PLOT.format(
        picture=picture,
        run=RUN_S,
        title=title,
        withdraw=WITHDRAW_AT_S,
        back=RETURN_AT_S,
        rates=rates,
        csv=csv,
        p99=len(centres) + 2,
        share=len(centres) + 3,
    )
    subprocess.run(["gnuplot"], input=plot, text=True, check=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", type=Path)
    parser.add_argument("binaries", type=Path)
    parser.add_argument("picture", type=Path)
    options = parser.parse_args()
    work = Path(tempfile.mkdtemp(prefix="guavastair-plot-"))
    deployment = Deployment(options.deployment, options.binaries, work)
    try:
        centres, samples = measure(deployment)
    finally:
        deployment.stop()
    name = deployment.description["name"]
    draw(
        centres,
        samples,
        options.picture,
        f"{name}: a data centre is withdrawn and returned"
    )


if __name__ == "__main__":
    main()
