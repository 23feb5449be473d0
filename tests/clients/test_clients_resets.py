"""Clients that reset their connections amid long answers, in series."""
from crowd import MEGABYTE, CrowdTest, format_request, send_all
import report

SERIES = 5


class ResetsTest(CrowdTest):
    def test_resets(self):
        for _ in range(SERIES):
            for connection in self.open_crowd(150):
                send_all(connection, format_request("/one/bytes-%d" % MEGABYTE))
            self.gateway.observe()
            self.reset_crowd()
        self.check_crowd()


if __name__ == "__main__":
    report.main()
