"""Invalid settings, documents and command lines fail with an error that names
the cause and with the documented exit code. So does a port in use."""

import json
import subprocess
import unittest

from harness.case import DeploymentCase
from harness.processes import free_endpoint

EXIT_BAD_INPUT = 2
EXIT_STORE_UNAVAILABLE = 5


class BadInput(DeploymentCase):
    def run_command(self, *arguments):
        return subprocess.run(
            [str(self.deployment.tool), *map(str, arguments)],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def assert_refused(self, done, *texts):
        self.assertEqual(done.returncode, EXIT_BAD_INPUT, done.stderr)
        for text in texts:
            self.assertIn(text, done.stderr)

    def write(self, name, content):
        self.deployment.work.mkdir(parents=True, exist_ok=True)
        path = self.deployment.work / name
        path.write_text(json.dumps(content))
        return path

    def test_command_line(self):
        self.assert_refused(self.run_command(), "no command")
        self.assert_refused(
            self.run_command("statsu"), "did you mean status?"
        )
        self.assert_refused(
            self.run_command("status", "--admn=1.2.3.4:1"), "--admin"
        )
        self.assertEqual(self.run_command("--help").returncode, 0)
        self.assertEqual(self.run_command("agent", "--help").returncode, 0)

    def test_unknown_mechanism_error_lists_valid_names(self):
        for role in ("balancer", "agent"):
            self.assert_refused(
                self.run_command("platform", role, "--without=urgancy"),
                '"urgancy" is no mechanism',
                "urgency",
            )
        self.assert_refused(
            self.run_command(
                "platform", "agent", "--log_lines_per_event=many"
            ),
            "--log_lines_per_event",
        )

    def test_all_errors_of_a_settings_file_are_reported(self):
        path = self.write(
            "bad.json",
            {
                "name": "Not A Name",
                "data_center": "cairo-1",
                "listen": {"data": "127.0.0.1:99999"},
            },
        )
        done = self.run_command("balancer", f"--settings={path}")
        self.assert_refused(
            done, "Not A Name", "data_center", "data_centre", "99999"
        )

    def test_document_errors(self):
        path = self.write("bad.json", {"name": "stock", "slots": "many"})
        done = self.run_command("service", "put", path, "--store=127.0.0.1:1")
        self.assert_refused(done, "slots", "many", "address")

    def test_unreachable_store(self):
        document = self.deployment.services[0].document_path
        done = self.run_command(
            "service",
            "put",
            document,
            f"--store={free_endpoint()}",
            "--timeout_ms=500",
        )
        self.assertEqual(done.returncode, EXIT_STORE_UNAVAILABLE, done.stderr)

    def test_port_in_use(self):
        self.deployment.start()
        running = self.deployment.balancers[0]
        name = running.name
        settings = json.loads(
            (self.deployment.work / f"{name}.json").read_text()
        )
        path = self.write("second.json", {**settings, "name": "second"})
        done = self.run_command("balancer", f"--settings={path}")
        self.assertNotEqual(done.returncode, 0)
        self.assertIn("address_in_use", done.stdout + done.stderr)


if __name__ == "__main__":
    unittest.main()
