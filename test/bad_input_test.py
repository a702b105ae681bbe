"""Bad settings, documents and command lines get a clear error and the
documented exit code; a port in use is named."""

import json
import subprocess
import unittest

from harness.case import DeploymentCase
from harness.processes import free_endpoint

EXIT_BAD_INPUT = 2
EXIT_STORE_UNAVAILABLE = 5


class BadInput(DeploymentCase):
    def run_words(self, *words):
        return subprocess.run(
            [str(self.deployment.tool), *map(str, words)],
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
        self.assert_refused(self.run_words(), "no command")
        self.assert_refused(
            self.run_words("statsu"), "did you mean status?"
        )
        self.assert_refused(
            self.run_words("status", "--admn=1.2.3.4:1"), "--admin"
        )
        self.assertEqual(self.run_words("--help").returncode, 0)
        self.assertEqual(self.run_words("agent", "--help").returncode, 0)

    def test_an_unknown_mechanism_is_named_with_those_known(self):
        for role in ("balancer", "agent"):
            self.assert_refused(
                self.run_words("platform", role, "--without=urgancy"),
                '"urgancy" is no mechanism',
                "urgency",
            )
        self.assert_refused(
            self.run_words("platform", "agent", "--log_lines_per_event=many"),
            "--log_lines_per_event",
        )

    def test_every_error_of_a_settings_file_at_once(self):
        path = self.write(
            "bad.json",
            {
                "name": "Not A Name",
                "data_center": "cairo-1",
                "listen": {"data": "127.0.0.1:99999"},
            },
        )
        done = self.run_words("balancer", f"--settings={path}")
        self.assert_refused(
            done, "Not A Name", "data_center", "data_centre", "99999"
        )

    def test_document_errors(self):
        path = self.write("bad.json", {"name": "stock", "slots": "many"})
        done = self.run_words("service", "put", path, "--store=127.0.0.1:1")
        self.assert_refused(done, "slots", "many", "address")

    def test_unreachable_store(self):
        document = self.deployment.services[0].document_path
        done = self.run_words(
            "service",
            "put",
            document,
            f"--store={free_endpoint()}",
            "--timeout_ms=500",
        )
        self.assertEqual(done.returncode, EXIT_STORE_UNAVAILABLE, done.stderr)

    def test_port_in_use(self):
        self.deployment.start()
        taken = self.deployment.balancers[0]
        name = taken.name
        settings = json.loads((self.deployment.work / f"{name}.json").read_text())
        path = self.write("second.json", {**settings, "name": "second"})
        done = self.run_words("balancer", f"--settings={path}")
        self.assertNotEqual(done.returncode, 0)
        self.assertIn("address_in_use", done.stdout + done.stderr)


if __name__ == "__main__":
    unittest.main()
