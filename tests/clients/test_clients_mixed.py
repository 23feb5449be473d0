"""Several kinds of clients together, in series that overlap, drawn from a seed."""
import os
import random

from crowd import MEGABYTE, CrowdTest, format_request, send_all
import report

SEED = int(os.environ.get("CROWD_SEED", "7501"))
WAVES = 12
WAVE_CLIENTS = 40


def draw_request(rng):
    """What one client sends; none of them reads its answer."""
    kind = rng.randrange(7)
    if kind == 0:
        return format_request("/one/bytes-%d" % rng.randrange(MEGABYTE))
    if kind == 1:
        return format_request("/gather/bytes-%d" % rng.randrange(MEGABYTE))
    if kind == 2:
        length = rng.randrange(1, 256 * 1024)
        return format_request("/one/x", "POST", "Content-Length: %d\r\n" % length, b"x" * rng.randrange(length))
    if kind == 3:
        return format_request("/one/x", fields="X-Filler: %s\r\n" % ("y" * rng.randrange(12 * 1024)))[:-2]
    if kind == 4:
        further = format_request("/one/bytes-%d" % rng.randrange(4096))
        return format_request("/one/hold") + further * rng.randrange(300)
    if kind == 5:
        return format_request("/once/bytes-%d" % rng.randrange(MEGABYTE), "HEAD" if rng.random() < 0.3 else "GET")
    return b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * rng.randrange(2000)


class MixedTest(CrowdTest):
    def test_mixed(self):
        rng = random.Random(SEED)
        print("seed %d" % SEED)
        for wave in range(WAVES):
            for connection in self.open_crowd(WAVE_CLIENTS):
                send_all(connection, draw_request(rng), timeout_s=0.2)
            self.leave(rng)
            if wave == WAVES // 2:
                self.backends.release()
        self.check_crowd()

    def leave(self, rng):
        """A part of the clients leaves."""
        kept = []
        for connection in self.connections:
            if rng.random() < 0.1:
                connection.close()
            else:
                kept.append(connection)
        self.connections = kept


if __name__ == "__main__":
    report.main()
