"""Fault-injection soak test: random faults on a fleet while flows are in use.

    GUAVASTAIR_BINARIES=build/asan python3 test/soak.py [--seconds 300] [--seed 1]

A seed determines the order of the faults. After each fault, every flow whose
server is running must get a response without a reset, and new flows must open.
"""

import argparse
import random
import sys
import time
import unittest

from harness.platform_fleet import DRAWINGS, PORTAL, PlatformCase

OPEN_WAIT_S = 12.0
ANSWER_WAIT_S = 8.0
OPTIONS = argparse.Namespace(seconds=300.0, seed=1)


class Soak(PlatformCase):
    layout = {"a": (2, 2, 1), "b": (1, 2, 1)}

    def kill_balancer(self, rng):
        vm = rng.choice(self.balancers)
        vm.kill()
        vm.start()
        return vm.name

    def stop_balancer(self, rng):
        vm = rng.choice(self.balancers)
        self.assertEqual(vm.process.stop(8.0), 0)
        vm.start()
        return vm.name

    def kill_agent(self, rng):
        vm = rng.choice(self.agents)
        vm.kill()
        vm.start()
        return vm.name

    def kill_all(self, _rng):
        for vm in self.balancers + self.agents:
            vm.kill()
        for vm in self.balancers + self.agents:
            vm.start()
        return "every process"

    def reject_store_calls(self, rng):
        vm = rng.choice(self.balancers + self.agents)
        self.store.faults[vm.name].rejects_calls = True
        time.sleep(2.0)
        self.store.faults[vm.name].rejects_calls = False
        return vm.name

    def delay_write(self, rng):
        vm = rng.choice(self.agents)
        self.store.faults[vm.name].write_delay_s = rng.uniform(1.0, 6.0)
        vm.kill()
        vm.start()
        time.sleep(2.0)
        self.store.faults[vm.name].write_delay_s = 0.0
        return vm.name

    def compact_history(self, _rng):
        self.store.compact_history()
        return "store"

    def change_configuration(self, rng):
        extra = ("198.18.0.3", 443)
        if self.routes.pop(extra, None) is None:
            self.routes[extra] = rng.choice(["portal", "drawings"])
        self.configure()
        return f"version {self.version}"

    def restart_server(self, rng):
        vm = rng.choice(self.agents)
        self.servers.pop(vm.name).stop()
        self.start_server(vm)
        # The flows of the old server are lost and their callers get a reset.
        lost_server = f"server-{vm.name}"
        self.flows = [f for f in self.flows if lost_server not in f.servers]
        return vm.name

    def renew_flows(self):
        for target in (PORTAL, DRAWINGS):
            flow, _ = self.caller.open_with_retries(target, OPEN_WAIT_S)
            self.assertIsNotNone(flow, f"no flow to {target} opened")
            self.flows.append(flow)
        # The number of ports and the lifetime of flows are bounded, so only
        # the 40 newest flows are kept.
        self.flows = self.flows[-40:]

    def check_flows(self, text):
        for flow in self.flows:
            answer = self.caller.send_request(flow, text, ANSWER_WAIT_S)
            self.assertIsNotNone(
                answer,
                f"{text}: port {flow.source[1]} of {flow.servers}: no answer, "
                f"reset: {flow.was_reset}",
            )
            self.assertEqual(len(flow.servers), 1)

    def test_soak(self):
        rng = random.Random(OPTIONS.seed)
        faults = [
            self.kill_balancer,
            self.stop_balancer,
            self.kill_agent,
            self.kill_all,
            self.reject_store_calls,
            self.delay_write,
            self.compact_history,
            self.change_configuration,
            self.restart_server,
        ]
        self.flows = []
        self.start_all()
        self.wait_ready()
        counts = {}
        end = time.monotonic() + OPTIONS.seconds
        number = 0
        while time.monotonic() < end:
            number += 1
            self.renew_flows()
            self.check_flows(f"before-{number}")
            fault = rng.choice(faults)
            target = fault(rng)
            counts[fault.__name__] = counts.get(fault.__name__, 0) + 1
            print(f"{number}: {fault.__name__} {target}", flush=True)
            self.check_flows(f"after-{number}")
        print(f"faults: {counts}; flows at the end: {len(self.flows)}")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=OPTIONS.seconds)
    parser.add_argument("--seed", type=int, default=OPTIONS.seed)
    parser.parse_args(namespace=OPTIONS)
    unittest.main(argv=sys.argv[:1])
