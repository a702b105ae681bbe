"""Runs platform balancers and agents as processes against stand-ins of the
platform's services."""

import signal
import time
import unittest

from harness.platform_fleet import DRAWINGS, PORTAL, PlatformCase
from harness.processes import wait_until

# The platform's bounds on the time until a changed configuration is in force,
# and until service resumes after all processes were killed.
APPLY_BOUND_S = 3.0
RECOVERY_BOUND_S = 12.0


class Flows(PlatformCase):
    def test_flows_survive_restarts_of_balancers_and_agents(self):
        self.start_all()
        self.wait_ready()
        flows = self.open_flows(12) + self.open_flows(4, DRAWINGS)
        self.assert_all_answer(flows, "first")
        self.balancers[0].kill()
        self.assert_all_answer(flows, "without-a-balancer")
        self.balancers[0].start()
        for vm in self.agents:
            vm.kill()
            vm.start()
        # The servers still hold the flows.
        self.assert_all_answer(flows, "with-new-agents")
        self.assertFalse(any(flow.was_reset for flow in flows))

    def test_flows_of_a_restarted_server_are_reset(self):
        self.start_all()
        self.wait_ready()
        flows = self.open_flows(6, DRAWINGS)
        self.assert_all_answer(flows, "first")
        agent = next(vm for vm in self.agents if vm.service == "drawings")
        self.servers.pop(agent.name).stop()
        time.sleep(0.5)
        self.start_server(agent)
        for flow in flows:
            self.assertIsNone(self.caller.send_request(flow, "lost", 5.0))
            self.assertTrue(flow.was_reset)
        self.open_flows(1, DRAWINGS)

    def test_draining_server_gets_no_opening_after_confirmation(self):
        self.start_all()
        self.wait_ready()
        flows = self.open_flows(6)
        agent = next(vm for vm in self.agents if vm.service == "portal")
        server = self.servers[agent.name]
        server.draining = True
        wait_until(
            lambda: any(state == "draining" for _, state in server.confirmed),
            5.0,
            "draining confirmed",
        )
        confirmed = next(t for t, state in server.confirmed if state != "ready")
        self.open_flows(20)
        late = [at for at in server.openings if at > confirmed + 0.05]
        self.assertEqual(late, [])
        self.assert_all_answer(flows, "on-the-old-flows")


class Recovery(PlatformCase):
    def test_service_recovers_after_all_processes_are_killed(self):
        self.start_all()
        self.wait_ready()
        self.open_flows(2)
        for vm in self.balancers + self.agents:
            vm.kill()
        for vm in self.balancers + self.agents:
            vm.start()
        for target in (PORTAL, DRAWINGS):
            flow, took_s = self.caller.open_with_retries(
                target, RECOVERY_BOUND_S
            )
            self.assertIsNotNone(flow)
            print(f"first flow to {target} after {took_s:.2f} s")


class Storage(PlatformCase):
    def test_configuration_reaches_processes_rejected_by_the_store(self):
        self.start_all()
        self.wait_ready()
        refused = [self.balancers[0], self.agents[0]]
        for vm in refused:
            self.store.faults[vm.name].rejects_calls = True
        added = ("198.18.0.2", 443)
        self.routes[added] = "portal"
        self.configure()
        time.sleep(APPLY_BOUND_S)
        # All further packets go through the balancer without store access.
        others = self.balancers[1:]
        for vm in others:
            vm.kill()
        for _ in range(10):
            flow = self.caller.open(added)
            self.assertIsNotNone(flow)
            self.assertIsNotNone(self.caller.send_request(flow, "new-route"))
        counts = [vm.metric("guavastair_configuration_version") for vm in refused]
        self.assertEqual(counts, [self.version] * len(refused))

    # Guards against an added route that is refused: agents that learn of a
    # configuration late must not overrule the balancer that has it.
    def test_agents_with_an_older_version_do_not_refuse_an_added_route(self):
        self.start_all()
        self.wait_ready()
        for vm in self.agents:
            self.store.faults[vm.name].rejects_calls = True
        added = ("198.18.0.2", 443)
        for number in range(5):
            self.routes[added] = "portal"
            self.configure()
            self.await_version(self.balancers)
            flow = self.caller.open(added)
            self.assertIsNotNone(flow, f"change {number}")
            self.assertIsNotNone(self.caller.send_request(flow, "new-route"))
            added = (added[0], added[1] + 1)

    def await_version(self, processes):
        def have_version():
            return all(
                vm.metric("guavastair_configuration_version") == self.version
                for vm in processes
            )

        wait_until(have_version, APPLY_BOUND_S, f"version {self.version}")

    def test_agent_serves_after_a_delayed_store_write(self):
        late = self.agents[0]
        self.store.faults[late.name].write_delay_s = 4.0
        self.start_all()
        self.wait_ready()
        wait_until(
            lambda: any(late.address in k for k in self.store.keys("agents/")),
            15.0,
            "late entry",
        )
        self.store.faults[late.name].write_delay_s = 0.0
        server = self.servers[late.name]
        end = time.monotonic() + 15.0
        while not server.openings and time.monotonic() < end:
            self.open_flows(1)
        self.assertNotEqual(server.openings, [])
        time.sleep(5.0)
        entries = [k for k in self.store.keys("agents/") if late.address in k]
        self.assertEqual(len(entries), 1)

    # Guards against processes that end, or no longer follow the store, for an
    # entry that another writer has left.
    def test_odd_entries_do_not_affect_the_others(self):
        self.start_all()
        self.wait_ready()
        processes = self.balancers + self.agents
        flows = self.open_flows(4)
        odd_values = (
            b"[" * 200_000 + b"]" * 200_000,
            b'{"port":' + b"9" * 400 + b"}",
            b'{"number":1e999}',
            b"\xff\xfe\x00" * 100,
            b"\x00" * 1_000_000,
            b"",
        )
        odd_names = (
            "10.0.0.1:99999", "10.0.0.1:0", "0.0.0.0:0", "x\x00y", "[" * 90,
            "\u00ff\u2028",
        )
        for prefix in ("agents/", "flows/", "servers/", "op/other/"):
            for name, value in zip(odd_names, odd_values):
                self.store.put_bytes(prefix + name, value)
        for vm in self.agents:
            self.store.put_bytes("flows/%s:%d" % vm.at("peers"), odd_values[0])
        added = ("198.18.0.2", 443)
        self.routes[added] = "portal"
        self.configure()
        flow, _ = self.caller.open_with_retries(added, APPLY_BOUND_S)
        self.assertIsNotNone(flow)
        self.assert_all_answer(flows, "beside-odd-entries")
        # A process that has ended or does not follow has no newer version.
        self.await_version(processes)

    def test_compacted_history_does_not_affect_callers(self):
        self.start_all()
        self.wait_ready()
        flows = self.open_flows(6)
        self.store.compact_history()
        added = ("198.18.0.2", 443)
        self.routes[added] = "drawings"
        self.configure()
        self.assert_all_answer(flows, "after-it")
        flow, _ = self.caller.open_with_retries(added, APPLY_BOUND_S)
        self.assertIsNotNone(flow)

    def test_store_calls_are_bounded(self):
        self.start_all()
        self.wait_ready()
        flows = self.open_flows(8)
        time.sleep(2.0)
        before = {vm: dict(c) for vm, c in self.store.calls.items()}
        span_s = 10.0
        self.assert_all_answer(flows, "at-rest")
        time.sleep(span_s)
        for vm, calls in self.store.calls.items():
            reads = calls["read"] - before[vm]["read"]
            writes = calls["write"] - before[vm]["write"]
            # Two watches of 1.5 s each, with some slack, and one write of the
            # flow list every 3 s.
            self.assertLessEqual(reads, 2 * span_s, vm)
            self.assertLessEqual(writes, span_s / 3 + 1, vm)


class Settings(PlatformCase):
    def test_settings_reload_keeps_flows(self):
        self.start_all()
        self.wait_ready()
        flows = self.open_flows(6)
        signalled, silent = self.agents[0], self.agents[1]
        signalled.write_settings(heartbeat_ms=700)
        signalled.process.send(signal.SIGHUP)
        silent.write_settings(heartbeat_ms=800)
        for vm, cause in ((signalled, "signal"), (silent, "file_changed")):
            wait_until(
                lambda vm=vm: vm.events("reload"), 10.0, f"{vm.name} reloads"
            )
            line = vm.events("reload")[0]
            self.assertEqual(line["cause"], cause)
            self.assertEqual(line["outcome"], "applied")
        signalled.file.write_text("nodeName = 7\n")
        signalled.process.send(signal.SIGHUP)
        wait_until(
            lambda: len(signalled.events("reload")) == 2, 10.0, "refusal"
        )
        refused = signalled.events("reload")[1]
        self.assertEqual(refused["outcome"], "refused")
        self.assertIn("nodeName", refused["why"])
        self.assert_all_answer(flows, "after-it")

    def test_planned_stop_is_in_time_and_removes_the_agent_entry(self):
        self.start_all()
        self.wait_ready()
        self.wait_reported()
        leaving = self.agents[0]
        self.assertTrue(self.servers.pop(leaving.name).deregister())
        leaving.process.send(signal.SIGTERM)
        self.assertEqual(leaving.process.wait(8.0), 0)
        self.assertEqual(
            [k for k in self.store.keys("agents/") if leaving.address in k], []
        )
        self.assertEqual(len(leaving.events("stopped")), 1)
        balancer = self.balancers[1]
        self.assertEqual(balancer.process.stop(8.0), 0)


if __name__ == "__main__":
    unittest.main()
