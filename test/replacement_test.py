"""Replaces every balancer, then every agent of a service, one by one under
load. Pauses an agent and resumes it."""

import signal
import time
import unittest

from harness.case import DeploymentCase
from harness.processes import wait_until

RUN_S = 30.0
DRAIN_WAIT_S = 25.0


class RollingReplacement(DeploymentCase):
    folder = "examples/thai"

    def replace_balancer(self, number):
        """Replaces the oldest balancer by one with a new name."""
        old = self.deployment.balancers[0]
        self.deployment.start_balancer(f"balancer-new-{number + 1}")
        self.deployment.wait_ready()
        # The fabric must stop using the old balancer before it exits.
        self.deployment.balancers.remove(old)
        self.deployment.update_fabric_balancers()
        self.assertEqual(old.stop(), 0)

    def replace_agent(self, service, agent, index):
        """Replaces `agent` by a new agent and backend server with index
        `index`."""
        self.deployment.start_pair(service, index)
        self.deployment.wait_ready()
        self.deployment.agents.remove(agent)
        self.assertEqual(agent.stop(DRAIN_WAIT_S), 0)

    def test_no_request_is_interrupted(self):
        self.deployment.start()
        callers = self.deployment.start_callers(RUN_S)
        time.sleep(1.0)
        for number in range(self.deployment.description["balancers"]):
            self.replace_balancer(number)
            self.report.note(f"replaced balancer {number + 1}")
        drawings = self.deployment.services[1]
        old = [
            a
            for a in self.deployment.agents
            if a.details["service"] == drawings.name
        ]
        for index, agent in enumerate(old, start=len(old)):
            self.replace_agent(drawings, agent, index)
            self.report.note(f"replaced {agent.name}")
        self.assertEqual(self.finish_callers(callers).problems(), [])


class Pause(DeploymentCase):
    def test_paused_agent_resumes(self):
        self.deployment.start()
        run_s = 14.0
        callers = self.deployment.start_callers(run_s)
        time.sleep(2.0)
        paused = self.deployment.agents[0]
        paused.send(signal.SIGSTOP)
        watcher = self.deployment.balancers[0]
        elapsed_s = wait_until(
            lambda: paused.name not in self.deployment.ready_agents(watcher),
            10.0,
            "paused agent detected",
        )
        self.report.add("paused agent out of use", elapsed_s, "s", bound=3.0)
        time.sleep(1.0)
        paused.send(signal.SIGCONT)
        wait_until(
            lambda: paused.name in self.deployment.ready_agents(watcher),
            10.0,
            "resumed agent back in use",
        )
        report = self.finish_callers(callers)
        for caller in report.callers:
            self.assertEqual(caller.counts["wrong_bytes"], 0)
        for server in report.servers:
            self.assertEqual(server.orders_doubled, 0)
        self.assertTrue(all(f.is_within_bound() for f in report.figures))


if __name__ == "__main__":
    unittest.main()
