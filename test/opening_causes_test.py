"""scripts/opening_causes.py classifies the outcome of each opening."""

import unittest

from harness.log_scripts import run_on_log

LINES = """\
time_ms=1000 level=info node=b event=dispatch caller=1.1.1.1:1 service=9.9.9.9:1 outcome=send basis=opening
time_ms=1001 level=info node=a event=flow caller=1.1.1.1:1 service=9.9.9.9:1 outcome=deliver basis=opened gate=open
time_ms=1010 level=info node=b event=dispatch caller=1.1.1.1:2 service=9.9.9.9:1 outcome=send basis=opening
time_ms=1011 level=info node=a event=flow caller=1.1.1.1:2 service=9.9.9.9:1 outcome=pass_on basis=passed gate=busy
time_ms=1012 level=info node=c event=flow caller=1.1.1.1:2 service=9.9.9.9:1 outcome=deliver basis=opened gate=open
time_ms=1013 level=info node=a event=flow caller=1.1.1.1:3 service=9.9.9.9:1 outcome=reset basis=turned_away gate=full
time_ms=1014 level=info node=b event=dispatch caller=1.1.1.1:4 service=9.9.9.9:1 outcome=hold basis=starting
time_ms=1015 level=info node=b event=dispatch caller=1.1.1.1:5 service=9.9.9.9:1 outcome=send basis=opening
time_ms=1016 level=info node=b event=lines_left_out count=7
"""


class OpeningCauses(unittest.TestCase):
    def run_on(self, text, *arguments):
        return run_on_log("opening_causes.py", text, *arguments)

    def test_each_fate_is_counted_once(self):
        done = self.run_on(LINES, "--step", "1")
        self.assertEqual(done.returncode, 0, done.stderr)
        for fate in (
            "taken at once 1",
            "taken after passing 1",
            "rejected, no room 1",
            "waits for knowledge, then lost 1",
            "no answer 1",
        ):
            self.assertIn(fate, done.stdout)
        self.assertIn("lines left out: 7", done.stderr)

    def test_log_without_openings_is_an_error(self):
        done = self.run_on("time_ms=1 level=info node=b event=started\n")
        self.assertEqual(done.returncode, 1)
        self.assertIn("no openings", done.stderr)


if __name__ == "__main__":
    unittest.main()
