"""Short soak test with a fixed seed: real gateways under random faults must break no guarantee.

The long soak is started by hand, see docs/SOAK.md.
"""
import json
import os
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "bench"))
import report

BUILD = os.environ.get("BUILD", "build")
SEED = 9600
SECONDS = 30
# Covers faults, recovery and shutdown; a soak that hangs fails.
TIMEOUT_S = 180


class SoakTest(unittest.TestCase):
    def test_soak_breaks_no_promise(self):
        with tempfile.TemporaryDirectory() as directory:
            command = [
                os.path.join(BUILD, "tealspar-lab"), "soak", "--seconds", str(SECONDS), "--seed", str(SEED),
                "--program", os.path.join(BUILD, "tealspar"), "--skewed-program", os.path.join(BUILD, "tealspar_skewed"),
                "--directory", directory,
            ]
            run = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
            print(run.stdout, run.stderr)
            self.assertEqual(run.returncode, 0)
            outcome = json.loads(run.stdout.strip().splitlines()[-1])
            self.assertEqual(outcome["promises_broken"], 0)
            self.assertGreater(outcome["ok"], 0)
            self.assertGreater(outcome["faults"], 0)


if __name__ == "__main__":
    report.main()
