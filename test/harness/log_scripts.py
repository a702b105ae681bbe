"""Runs the scripts that read the processes' logs."""

import subprocess
import sys
import tempfile
from pathlib import Path

SCRIPTS = Path(__file__).resolve().parents[2] / "scripts"


def run_on_log(script, text, *arguments):
    """Runs `script` on a log that holds `text`. Returns the ended process."""
    with tempfile.TemporaryDirectory() as folder:
        log = Path(folder) / "log"
        log.write_text(text)
        return subprocess.run(
            [sys.executable, SCRIPTS / script, log, *arguments],
            capture_output=True,
            text=True,
            check=False,
        )
