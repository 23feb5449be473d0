"""Clients that read nothing, and backends whose long answers wait for them, on a larger machine."""
from crowd import MEGABYTE, CrowdTest, format_request, read_response, send_all
import report

CALM_ANSWERS = 40


class WaitingAnswersTest(CrowdTest):
    memory_mb = 260

    def test_waiting_answers(self):
        # lets the kernel adapt the buffers of kept connections to long answers
        for connection in self.open_crowd(CALM_ANSWERS):
            send_all(connection, format_request("/one/bytes-%d" % MEGABYTE))
            read_response(connection)
        for _ in range(3):
            for connection in self.open_crowd(500):
                send_all(connection, format_request("/one/bytes-%d" % MEGABYTE))
            self.gateway.observe()
        self.check_crowd()


if __name__ == "__main__":
    report.main()
