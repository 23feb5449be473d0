"""Clients that send many tiny requests at once, none of which any route takes."""
from crowd import CrowdTest, send_all
import report

TINY_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
SENT_BYTES = 64 * 1024


class RefusedRequestsTest(CrowdTest):
    def test_refused_requests(self):
        for connection in self.open_crowd(80):
            send_all(connection, TINY_REQUEST * (SENT_BYTES // len(TINY_REQUEST)), timeout_s=0.5)
        self.check_crowd()


if __name__ == "__main__":
    report.main()
