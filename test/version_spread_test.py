"""scripts/version_spread.py shows how versions reached the processes."""

import unittest

from harness.log_scripts import run_on_log

LINES = """\
 -1.000 a time_ms=1 level=info node=a event=started role=balancer
 -1.000 b time_ms=1 level=info node=b event=started role=agent
 -0.500 a time_ms=2 level=info node=a event=view_changed source=store outcome=replaced version=3
 -0.500 b time_ms=2 level=info node=b event=view_changed source=store outcome=replaced version=3
  2.000 a time_ms=3 level=info node=a event=view_changed source=store outcome=replaced version=7
  2.100 b time_ms=4 level=info node=b event=newer_configuration peer=1.1.1.1:1 revision=9
  2.400 b time_ms=5 level=info node=b event=view_changed source=1.1.1.1:1 outcome=replaced version=7
"""


class VersionSpread(unittest.TestCase):
    def run_on(self, text, *arguments):
        return run_on_log("version_spread.py", text, *arguments)

    def test_source_and_delay_of_the_last_process_are_shown(self):
        done = self.run_on(LINES, "--over", "300")
        self.assertEqual(done.returncode, 0, done.stderr)
        row = next(
            line.split() for line in done.stdout.splitlines()
            if line.split()[0] == "7"
        )
        self.assertEqual(row[2:5], ["1", "1", "0"])
        self.assertEqual(row[6:], ["400", "b"])
        self.assertIn("b after 400 ms from 1.1.1.1:1", done.stdout)
        self.assertIn("event=newer_configuration", done.stdout)

    def test_return_to_an_older_version_fails(self):
        older = LINES.replace("  2.400 b time_ms=5", "  2.400 a time_ms=5")
        older = older.replace("1.1.1.1:1 outcome=replaced version=7",
                              "1.1.1.1:1 outcome=replaced version=5")
        done = self.run_on(older)
        self.assertEqual(done.returncode, 1, done.stderr)
        self.assertIn("a went back from 7 to 5", done.stdout)


if __name__ == "__main__":
    unittest.main()
