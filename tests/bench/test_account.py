"""bench/platform/account attributes the loss of a day to the causes in its log lines."""
import json
import os
import subprocess
import sys
import tempfile
import unittest

import report

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SITE = """
[[day]]
name = "d"
classes = [
  { name = "lookup", aim_ms = 150.0, worth = 2, late_worth = 0.1 },
]
"""
TABLE = """
class                asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
lookup                  10       8      1       1      0        0  0.700    100.0    200.0

from second          asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
0                        6       5      1       0      0        0  0.700    100.0    200.0
2                        4       3      0       1      0        0  0.700    100.0    200.0
"""


class AccountTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def run_script(self, lines):
        site = os.path.join(self.folder, "site.toml")
        output = os.path.join(self.folder, "output")
        with open(site, "w", encoding="utf-8") as file:
            file.write(SITE)
        with open(output, "w", encoding="utf-8") as file:
            file.writelines(f"  {at:.4f} front-1 {json.dumps(event)}\n" for at, event in lines)
            file.write(TABLE)
        done = subprocess.run([sys.executable, os.path.join(ROOT, "bench", "platform", "account"),
                               site, "d", output], capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, 0, done.stderr)
        return done.stdout

    @staticmethod
    def end(request, event, **fields):
        return {"event": event, "request": request, "aim_ms": 150, "parts": 10, "sends": 12,
                "error": "none", "status": 200, **fields}

    def test_late_request_is_attributed_to_its_parts(self):
        text = self.run_script([
            (0.1, {"event": "part_sent_again", "request": "a", "service": "s1", "reason": "overdue"}),
            (0.1, {"event": "part_denied", "request": "a", "service": "s2", "reason": "budget"}),
            (0.3, self.end("a", "request_done", after_ms=300, **{"in": 10})),
        ])
        # a late request loses 2 x (1 - 0.1), half of it attributed to each of the two parts
        self.assertIn("     0.9  15.0%  extra send denied by the budget", text)
        self.assertIn("     0.9  15.0%  late, its second send too", text)

    def test_missing_part_reduces_credit_by_the_square(self):
        text = self.run_script([
            (2.1, {"event": "part_failed", "request": "b", "service": "s1", "reason": "io"}),
            (2.1, {"event": "part_lost", "request": "b", "service": "s1", "reason": "no_send_left"}),
            (2.2, self.end("b", "request_partial", after_ms=100, **{"in": 9})),
        ])
        self.assertIn("     0.4   6.3%  answer lost", text)  # 2 x (1 - 0.9^2) of 6.0

    def test_loss_without_log_lines_is_reported(self):
        text = self.run_script([])
        self.assertIn("6.0 by the bench's table, 0.0 in the logs", text)
        self.assertIn("     6.0  100.0%  no line of its end", text)

    def test_truncated_lines_are_skipped(self):
        text = self.run_script([(0.1, self.end("c", "request_done", after_ms=10, **{"in": 10}))])
        with open(os.path.join(self.folder, "output"), "a", encoding="utf-8") as file:
            file.write('  0.2 front-1 {"event":"request_done","request":"d","af\n')
        self.assertIn("0.0 in the logs", text)


if __name__ == "__main__":
    report.main()
