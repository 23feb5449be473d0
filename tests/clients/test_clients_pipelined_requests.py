"""Clients that send further requests behind one that a backend works on."""
from crowd import CrowdTest, format_request, send_all
import report

PIPELINED_BYTES = 60 * 1024


class PipelinedRequestsTest(CrowdTest):
    def test_pipelined_requests(self):
        further = format_request("/one/bytes-16")
        data = format_request("/one/hold") + further * (PIPELINED_BYTES // len(further))
        for connection in self.open_crowd(900):
            send_all(connection, data, timeout_s=0.2)
        self.gateway.settle()
        self.backends.release()
        self.check_crowd()


if __name__ == "__main__":
    report.main()
