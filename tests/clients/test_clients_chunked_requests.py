"""Clients whose chunked bodies carry long extensions and trailers, and are not finished."""
from crowd import CrowdTest, format_request, send_all
import report

EXTENSION_BYTES = 8 * 1024
CHUNKS = 4
TRAILER_BYTES = 70 * 1024


class ChunkedRequestsTest(CrowdTest):
    def test_chunked_requests(self):
        chunked = format_request("/one/x", "POST", "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n")
        chunk = b"1;" + b"e" * EXTENSION_BYTES + b"\r\nx\r\n"
        trailers = b"0\r\n" + b"a:b\r\n" * (TRAILER_BYTES // 5)
        for connection in self.open_crowd(400):
            send_all(connection, chunked + chunk * CHUNKS + trailers, timeout_s=0.5)
        self.check_crowd()


if __name__ == "__main__":
    report.main()
