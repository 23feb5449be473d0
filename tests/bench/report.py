"""Runs the tests of one module and reports them as cmocka does, so that tests/run counts them."""
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
    """The `main` of a test module."""
    runner = unittest.TextTestRunner(stream=sys.stdout, resultclass=_Result, verbosity=0)
    unittest.main(module="__main__", testRunner=runner)
