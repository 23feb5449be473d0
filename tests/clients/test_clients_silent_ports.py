"""More silent connections than the process has descriptors, to all of its ports."""
from crowd import CrowdTest
import report


class SilentPortsTest(CrowdTest):
    descriptors = 600

    def test_silent_ports(self):
        for port in (self.gateway.ready, self.gateway.metrics, self.gateway.callers):
            self.open_crowd(300, port)
        self.check_crowd()


if __name__ == "__main__":
    report.main()
