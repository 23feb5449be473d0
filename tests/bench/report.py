"""Runs the unittest tests of one module with output in cmocka's format, which tests/run counts."""
import sys
import unittest


class _Result(unittest.TextTestResult):
    def addSuccess(self, test):
        super().addSuccess(test)
        print(f"[       OK ] {test.id().rsplit('.', 1)[-1]}", flush=True)

    def _report_failed(self, test):
        print(f"[  FAILED  ] {test.id().rsplit('.', 1)[-1]}", flush=True)

    def addFailure(self, test, err):
        super().addFailure(test, err)
        self._report_failed(test)

    def addError(self, test, err):
        super().addError(test, err)
        self._report_failed(test)


def main():
    """Entry point of a test module."""
    runner = unittest.TextTestRunner(stream=sys.stdout, resultclass=_Result, verbosity=0)
    unittest.main(module="__main__", testRunner=runner)
