"""Changes to a deployment while callers use it."""

import json
import signal
import time

IN_FORCE_BOUND_S = 6.0


class EventPlan:
    """Kills a balancer and adds one, drains an agent and adds an agent with its
    backend server, and changes a document. Spreads the steps over the run."""

    def __init__(self, deployment, report):
        self.deployment = deployment
        self.report = report

    def run(self, seconds):
        steps = [
            self.kill_balancer,
            self.join_balancer,
            self.drain_agent,
            self.join_pair,
            self.change_document,
        ]
        start = time.monotonic()
        for index, step in enumerate(steps):
            at = start + seconds * 0.8 * (index + 1) / (len(steps) + 1)
            time.sleep(max(0.0, at - time.monotonic()))
            step()

    def kill_balancer(self):
        victim = self.deployment.balancers[0]
        victim.send(signal.SIGKILL)
        victim.wait(5)
        self.deployment.update_fabric_balancers()
        self.report.note(f"killed {victim.name}")

    def join_balancer(self):
        count = len(self.deployment.balancers)
        added = self.deployment.start_balancer(f"balancer-{count + 1}")
        self.report.note(f"started {added.name}")

    def drain_agent(self):
        """Starts a planned stop. The agent exits once its flows have ended."""
        agent = self.deployment.agents[0]
        agent.send(signal.SIGTERM)
        self.report.note(f"draining {agent.name}")

    def join_pair(self):
        service = self.deployment.services[0]
        index = service.description["servers"]
        added = self.deployment.start_pair(service, index)
        self.report.note(f"started {added.name} with its backend server")

    def change_document(self):
        """Measures the time from the acceptance of a document until it is in
        force everywhere."""
        deployment = self.deployment
        service = deployment.services[0]
        limit = service.document["max_connections"] + 1
        done = deployment.put_changed(service, max_connections=limit)
        revision = json.loads(done.stdout)["revision"]
        elapsed_s = deployment.wait_in_force(revision, 30.0)
        self.report.add(
            "accepted document in force everywhere",
            elapsed_s,
            "s",
            bound=IN_FORCE_BOUND_S,
        )
