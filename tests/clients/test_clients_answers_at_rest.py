"""Clients that read a long answer whole and then rest."""
from crowd import MEGABYTE, CrowdTest, format_request, read_response, send_all
import report


class AnswersAtRestTest(CrowdTest):
    def test_answers_at_rest(self):
        for connection in self.open_crowd(120):
            send_all(connection, format_request("/one/bytes-%d" % MEGABYTE))
            read_response(connection)
        self.check_crowd()


if __name__ == "__main__":
    report.main()
