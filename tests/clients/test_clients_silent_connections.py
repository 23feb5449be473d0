"""More silent connections than the process has descriptors."""
from crowd import CrowdTest
import report


class SilentConnectionsTest(CrowdTest):
    descriptors = 600

    def test_silent_connections(self):
        self.open_crowd(700)
        self.check_crowd()


if __name__ == "__main__":
    report.main()
