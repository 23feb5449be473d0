"""A short seeded soak: real gateways under random faults, no promise broken. The long one is run by hand, docs/SOAK.md."""
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
# Faults, recovery, stops; a soak that hangs is a failure too.
MOST_S = 180


class SoakTest(unittest.TestCase):
    def test_soak_breaks_no_promise(self):
        with tempfile.TemporaryDirectory() as directory:
            command = [
                os.path.join(BUILD, "tealspar-lab"), "soak", "--seconds", str(SECONDS), "--seed", str(SEED),
                "--program", os.path.join(BUILD, "tealspar"), "--skewed-program", os.path.join(BUILD, "tealspar_skewed"),
                "--directory", directory,
            ]
            run = subprocess.run(command, capture_output=True, text=True, timeout=MOST_S, check=False)
            print(run.stdout, run.stderr)
            self.assertEqual(run.returncode, 0)
            outcome = json.loads(run.stdout.strip().splitlines()[-1])
            self.assertEqual(outcome["promises_broken"], 0)
            self.assertGreater(outcome["ok"], 0)
            self.assertGreater(outcome["faults"], 0)


if __name__ == "__main__":
    report.main()
