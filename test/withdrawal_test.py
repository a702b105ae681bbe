"""A data centre is withdrawn and returned under load."""

import time
import unittest

from harness.case import DeploymentCase
from harness.processes import wait_until

RUN_S = 20.0
WITHDRAWAL_BOUND_S = 3.0
SUCCESS_BOUND = 0.99


class Withdrawal(DeploymentCase):
    folder = "examples/thai"

    def setUp(self):
        super().setUp()
        self.centre = self.deployment.description["data_centres"][2]["name"]

    def agents_inside(self):
        return [
            a
            for a in self.deployment.agents
            if a.details["data_centre"] == self.centre
        ]

    def frames_inside(self):
        return sum(
            self.deployment.metric(a, "guavastair_frames_received_total")
            for a in self.agents_inside()
        )

    def check_no_packets(self):
        """Checks that no frame arrives in the data centre once
        WITHDRAWAL_BOUND_S has passed."""
        time.sleep(WITHDRAWAL_BOUND_S)
        before = self.frames_inside()
        time.sleep(2.0)
        self.assertEqual(self.frames_inside() - before, 0)

    def check_service(self):
        for caller in self.report.callers:
            counts = caller.counts
            share = counts["done"] / max(1, counts["requests"])
            self.assertGreaterEqual(share, SUCCESS_BOUND, caller)
            self.assertEqual(counts["wrong_bytes"], 0)
        for server in self.report.servers:
            self.assertEqual(server.orders_doubled, 0)

    def test_withdraw_and_return(self):
        self.deployment.start()
        callers = self.deployment.start_callers(RUN_S)
        time.sleep(4.0)
        self.deployment.run_tool("data-centre", "withdraw", self.centre)
        self.check_no_packets()
        frames_while_withdrawn = self.frames_inside()
        self.deployment.run_tool("data-centre", "return", self.centre)
        wait_until(
            lambda: self.frames_inside() > frames_while_withdrawn,
            15.0,
            "packets after the return",
        )
        self.finish_callers(callers)
        self.check_service()

    def test_store_outage_right_after_withdrawal(self):
        self.deployment.start()
        callers = self.deployment.start_callers(RUN_S)
        time.sleep(4.0)
        self.deployment.run_tool("data-centre", "withdraw", self.centre)
        time.sleep(0.2)
        self.deployment.set_store_faults(outage=True)
        self.check_no_packets()
        self.finish_callers(callers)
        self.check_service()


if __name__ == "__main__":
    unittest.main()
