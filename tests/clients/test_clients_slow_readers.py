"""Clients that read a long answer a few bytes at a time."""
import time

from crowd import MEGABYTE, CrowdTest, format_request, send_all
import report

ROUNDS = 60
BYTES_PER_ROUND = 512
PAUSE_S = 0.1


def read_some(connection):
    try:
        connection.recv(BYTES_PER_ROUND)
    except OSError:
        pass  # nothing has come, or the gateway has closed the connection


class SlowReadersTest(CrowdTest):
    def test_slow_readers(self):
        for connection in self.open_crowd(120):
            send_all(connection, format_request("/one/bytes-%d" % MEGABYTE))
        for _ in range(ROUNDS):
            for connection in self.connections:
                read_some(connection)
            self.gateway.observe()
            time.sleep(PAUSE_S)
        self.check_crowd()


if __name__ == "__main__":
    report.main()
