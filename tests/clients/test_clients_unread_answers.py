"""Clients that ask for long answers and read nothing."""
from crowd import MEGABYTE, CrowdTest, format_request, send_all
import report


class UnreadAnswersTest(CrowdTest):
    def test_unread_answers(self):
        for connection in self.open_crowd(120):
            send_all(connection, format_request("/one/bytes-%d" % MEGABYTE))
        self.check_crowd()


if __name__ == "__main__":
    report.main()
