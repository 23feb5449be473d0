"""Clients that send all but the end of a long body, or of a long head."""
from crowd import CrowdTest, format_request, send_all
import report

BODY_BYTES = 256 * 1024
BODY_SENT = 250 * 1024
HEAD_SENT = 12 * 1024


class UnfinishedRequestsTest(CrowdTest):
    def test_unfinished_requests(self):
        body = format_request("/one/x", "POST", "Content-Length: %d\r\n" % BODY_BYTES, b"x" * BODY_SENT)
        for connection in self.open_crowd(400):
            send_all(connection, body)
        head = format_request("/one/x", fields="X-Filler: %s\r\n" % ("y" * HEAD_SENT))[:-2]
        for connection in self.open_crowd(200):
            send_all(connection, head)
        self.check_crowd()


if __name__ == "__main__":
    report.main()
