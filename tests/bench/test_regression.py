"""bench/platform/regression reads each site's bench from its page and fails if something is missing."""
import os
import subprocess
import sys
import tempfile
import unittest

import report

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SCRIPTS = os.path.join(ROOT, "bench", "platform")
SITE = "shifted/nimantran-tealspar-now-grown.toml"
PAGE = "From now on the bench is `../given/kit/more/system/more/bench-abc/bin/fleetbench`; it plays"
# Fake bench: prints its command line and the verdict given in the environment.
BENCH = "#!/bin/sh\necho \"$0 $*\"\necho \"$BENCH_VERDICT\"\n"


class RegressionTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.pages = os.path.join(folder.name, "system")
        self.write("shifted/LATER.md", PAGE)
        self.write(SITE, "")

    def write(self, name, text, mode=0o644):
        path = os.path.join(self.pages, name)
        os.makedirs(os.path.dirname(path), exist_ok=True)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        os.chmod(path, mode)

    def run_script(self, *arguments, verdict="GATE passed", bench=None):
        environment = dict(os.environ, TEALSPAR_PAGES=self.pages, BENCH_VERDICT=verdict)
        environment.pop("FLEETBENCH", None)  # may be set in the environment of the tests
        if bench is not None:
            environment["FLEETBENCH"] = bench
        return subprocess.run([sys.executable, os.path.join(SCRIPTS, "regression"), *arguments],
                              env=environment, capture_output=True, text=True, check=False)

    def test_bench_is_read_from_the_page_of_the_site(self):
        self.write("more/bench-abc/bin/fleetbench", BENCH, 0o755)
        done = self.run_script("--only", "shifted")
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn(f"more/bench-abc/bin/fleetbench score {self.pages}/{SITE}", done.stdout)
        self.assertIn("exit 0  GATE passed", done.stdout)

    def test_default_bench_if_the_page_of_the_site_names_none(self):
        self.write("shifted/LATER.md", "More machines.")
        self.write("BENCH.md", "# The bench\n\n`../given/kit/more/system/bin/fleetbench`, run in")
        self.write("bin/fleetbench", BENCH, 0o755)
        done = self.run_script("--only", "shifted", "--hunt", "8")
        self.assertIn(f"{self.pages}/bin/fleetbench hunt {self.pages}/{SITE} --days 8", done.stdout)

    def test_fleetbench_variable_overrides_the_page(self):
        self.write("more/bench-abc/bin/fleetbench", BENCH, 0o755)
        self.write("more/bench-new/bin/fleetbench", BENCH, 0o755)
        newer = os.path.join(self.pages, "more/bench-new/bin/fleetbench")
        done = self.run_script("--only", "shifted", bench=newer)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn(f"more/bench-new/bin/fleetbench score {self.pages}/{SITE}", done.stdout)

    def test_missing_bench_is_an_error(self):
        done = self.run_script("--only", "shifted")
        self.assertEqual(done.returncode, 2)
        self.assertIn("bench-abc/bin/fleetbench, which isn't there", done.stderr)

    def test_missing_site_is_an_error(self):
        os.remove(os.path.join(self.pages, SITE))
        done = self.run_script("--only", "shifted")
        self.assertEqual(done.returncode, 2)
        self.assertIn("no such site", done.stderr)

    def test_page_without_a_bench_is_an_error(self):
        self.write("shifted/LATER.md", "More machines.")
        done = self.run_script("--only", "shifted")
        self.assertEqual(done.returncode, 2)
        self.assertIn("no page names its bench", done.stderr)

    def test_run_without_a_verdict_is_an_error(self):
        self.write("more/bench-abc/bin/fleetbench", BENCH, 0o755)
        done = self.run_script("--only", "shifted", verdict="")
        self.assertEqual(done.returncode, 2)
        self.assertIn("NOT PLAYED", done.stdout)

    def test_failed_gate_sets_the_exit_code(self):
        self.write("more/bench-abc/bin/fleetbench", BENCH, 0o755)
        self.assertEqual(self.run_script("--only", "shifted", verdict="GATE failed").returncode, 1)

    def test_only_without_a_matching_site_is_an_error(self):
        done = self.run_script("--only", "nowhere")
        self.assertEqual(done.returncode, 2)
        self.assertIn("no site fits", done.stderr)


if __name__ == "__main__":
    report.main()
