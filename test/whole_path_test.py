"""Callers are served while a balancer is killed and another joins, an agent
drains, a backend server joins and a document changes."""

import unittest

from harness.case import DeploymentCase
from harness.events import EventPlan

RUN_S = 12.0


class ThaiWholePath(DeploymentCase):
    folder = "examples/thai"

    def test_callers_are_served_through_all_events(self):
        self.deployment.start()
        callers = self.deployment.start_callers(RUN_S)
        EventPlan(self.deployment, self.report).run(RUN_S)
        self.assertEqual(self.finish_callers(callers).problems(), [])


class EgyptianWholePath(ThaiWholePath):
    folder = "examples/egyptian"


if __name__ == "__main__":
    unittest.main()
