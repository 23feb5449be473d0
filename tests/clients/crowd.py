"""A gateway process with small limits, and the clients that press it.

Nothing here depends on the speed of the machine: the tests check that the process lives, that its peak
memory and its open descriptors are within the limits of its machine, and that an ordinary request is
answered. Bytes in the queues of its sockets, unread or not yet taken by the other side, count as its
memory. A wait only gives the process time to take what was sent.
"""
import os
import random
import resource
import socket
import struct
import subprocess
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "bench"))
import standins

PROGRAM = os.path.join(os.environ.get("BUILD", "build"), "tealspar")
# The machine of the process under test.
MEMORY_MB = 64
DESCRIPTORS = 4100
# Descriptors of the machine that are kept for files.
FILE_DESCRIPTORS = 200
MEGABYTE = 1 << 20
# State of a listening socket in /proc/net/tcp.
TCP_LISTEN = "0A"
RECEIVE_BUFFER_BYTES = 4096
ORDINARY_TRIES = 20
ORDINARY_TIMEOUT_S = 5
READY_TIMEOUT_S = 20
SETTLE_STEP_S = 0.25
SETTLE_STEPS = 4
SETTLE_TIMEOUT_S = 20
SETTINGS = """name: g1
zone: z1
dialect: platform
callers: 127.0.0.1:%d
ready: 127.0.0.1:%d
metrics: 127.0.0.1:%d
store: 127.0.0.1:%d
zones: [{zone: z1, region: r1}]
retry_ratio: 0.2
retry_slack: 50
log_format: json
"""
LIMIT_SETTINGS = "memory_mb: %d\ndescriptors_max: %d\n"


def free_port():
    """A free port below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


def format_request(target, method="GET", fields="", body=b""):
    format_request.count += 1
    head = ("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r%d\r\nX-Deadline-Ms: 30000\r\n%s\r\n"
            % (method, target, format_request.count, fields))
    return head.encode() + body


format_request.count = 0


def send_part(connection, data):
    """Sends what the connection takes without waiting; False if it is closed or full."""
    try:
        return connection.send(data) == len(data)
    except OSError:
        return False


def send_all(connection, data, timeout_s=2):
    """Sends all bytes; False if the connection is closed, or full for `timeout_s`."""
    connection.settimeout(timeout_s)
    try:
        connection.sendall(data)
        return True
    except OSError:
        return False
    finally:
        connection.setblocking(False)


def read_response(connection, timeout_s=ORDINARY_TIMEOUT_S):
    """Reads a response with a length; (status, body), or (0, b"") if it doesn't come whole."""
    connection.settimeout(timeout_s)
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            piece = connection.recv(65536)
            if not piece:
                return 0, b""
            data += piece
        head, _, first = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        body = bytearray(first)
        while len(body) < length:
            piece = connection.recv(262144)
            if not piece:
                return 0, b""
            body += piece
        return int(head.split(b" ")[1]), bytes(body)
    except OSError:
        return 0, b""
    finally:
        connection.setblocking(False)


class Gateway:
    """A gateway process on a machine with the given memory and descriptors."""

    def __init__(self, backends, folder, memory_mb, descriptors):
        self.memory_mb, self.descriptors = memory_mb, descriptors
        self.callers, self.ready, self.metrics = free_port(), free_port(), free_port()
        settings = os.path.join(folder, "gateway.yaml")
        text = SETTINGS % (self.callers, self.ready, self.metrics, backends.store.port)
        self._write(settings, text + LIMIT_SETTINGS % (memory_mb, descriptors))
        if not self._is_accepted(settings):
            self._write(settings, text)  # a program without such limits is measured without them
        self.log_path = os.path.join(folder, "gateway.log")
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen([PROGRAM, "gateway", "-s", settings], stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL, preexec_fn=self._limit)
        self.descriptors_seen = 0
        self.queued_kb_seen = 0

    @staticmethod
    def _write(path, text):
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)

    @staticmethod
    def _is_accepted(settings):
        command = [PROGRAM, "gateway", "-s", settings, "--check"]
        return subprocess.run(command, capture_output=True, check=False).returncode == 0

    def _limit(self):
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    def is_alive(self):
        return self.process.poll() is None

    def peak_kb(self):
        """Peak of the resident memory; 0 once the process has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1])
        except OSError:
            pass
        return 0

    def _socket_inodes(self):
        """Inodes of the open sockets; also counts the descriptors."""
        folder = "/proc/%d/fd" % self.process.pid
        inodes = set()
        try:
            names = os.listdir(folder)
            for name in names:
                target = os.readlink(os.path.join(folder, name))
                if target.startswith("socket:["):
                    inodes.add(target[len("socket:["):-1])
        except OSError:
            return inodes  # the process has ended, or a descriptor was just closed
        self.descriptors_seen = max(self.descriptors_seen, len(names))
        return inodes

    def observe(self):
        """Notes the open descriptors and the bytes in the queues of their sockets."""
        inodes = self._socket_inodes()
        queued = 0
        with open("/proc/net/tcp", encoding="utf-8") as file:
            next(file)
            for line in file:
                columns = line.split()
                if columns[9] in inodes and columns[3] != TCP_LISTEN:
                    sent, received = columns[4].split(":")
                    queued += int(sent, 16) + int(received, 16)
        self.queued_kb_seen = max(self.queued_kb_seen, queued // 1024)
        return len(inodes), queued

    def connect(self, port=None, receive_bytes=RECEIVE_BUFFER_BYTES):
        """A non-blocking connection, or None if none comes up."""
        connection = socket.socket()
        if receive_bytes:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        connection.settimeout(1)
        try:
            connection.connect(("127.0.0.1", port or self.callers))
        except OSError:
            connection.close()
            return None
        connection.setblocking(False)
        return connection

    def connect_many(self, count, port=None):
        opened = [self.connect(port) for _ in range(count)]
        self.observe()
        return [connection for connection in opened if connection is not None]

    def fetch(self, request, port=None):
        """(status, body) of a request on a connection of its own that reads at once."""
        connection = self.connect(port, receive_bytes=0)
        if connection is None:
            return 0, b""
        send_all(connection, request)
        response = read_response(connection)
        connection.close()
        return response

    def settle(self):
        """Returns once the process has taken what was sent: its memory and descriptors rest."""
        until = time.monotonic() + SETTLE_TIMEOUT_S
        seen, steps = None, 0
        while steps < SETTLE_STEPS and time.monotonic() < until and self.is_alive():
            state = (self.peak_kb(), self.observe())
            steps = steps + 1 if state == seen else 0
            seen = state
            time.sleep(SETTLE_STEP_S)

    def end(self):
        if self.is_alive():
            self.process.kill()
        self.process.wait()


class CrowdTest(unittest.TestCase):
    """A test with a gateway and its backends; checks the limits when the crowd is there."""
    memory_mb = MEMORY_MB
    descriptors = DESCRIPTORS

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.backends = standins.Backends()
        self.gateway = Gateway(self.backends, folder.name, self.memory_mb, self.descriptors)
        self.addCleanup(self.gateway.end)
        self.connections = []
        self.addCleanup(self.close_crowd)
        self._wait_ready()

    def _wait_ready(self):
        until = time.monotonic() + READY_TIMEOUT_S
        ready = b"GET /api/readiness HTTP/1.1\r\nHost: r\r\n\r\n"
        while self.gateway.fetch(ready, self.gateway.ready)[0] != 200:
            self.assertTrue(self.gateway.is_alive() and time.monotonic() < until, "not ready")
            time.sleep(0.05)
        self.check_ordinary_request("before the crowd")

    def open_crowd(self, count, port=None):
        opened = self.gateway.connect_many(count, port)
        self.connections += opened
        return opened

    def close_crowd(self):
        for connection in self.connections:
            connection.close()
        self.connections = []

    def reset_crowd(self):
        """Closes all connections with a reset."""
        for connection in self.connections:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close_crowd()

    def check_ordinary_request(self, when):
        """Asks up to ORDINARY_TRIES times, as a caller that honours Retry-After would."""
        seen = []
        for _ in range(ORDINARY_TRIES):
            status, body = self.gateway.fetch(format_request("/one/bytes-64"))
            if status == 200:
                self.assertEqual(len(body), 64)
                return
            seen.append(status)
            time.sleep(0.1)
        self.fail("no ordinary request was answered %s: %s" % (when, seen))

    def check_limits(self):
        """The process lives and is within its machine's memory and descriptors."""
        self.gateway.settle()
        self.assertTrue(self.gateway.is_alive(), "the process ended")
        peak_kb = self.gateway.peak_kb()
        queued_kb = self.gateway.queued_kb_seen
        print("peak %d kB and %d kB queued, of %d kB; %d descriptors of %d" %
              (peak_kb, queued_kb, self.memory_mb * 1024, self.gateway.descriptors_seen,
               self.descriptors - FILE_DESCRIPTORS), flush=True)
        self.assertLessEqual(peak_kb + queued_kb, self.memory_mb * 1024, "peak memory in kB")
        self.assertLessEqual(self.gateway.descriptors_seen, self.descriptors - FILE_DESCRIPTORS,
                             "open descriptors")

    def check_crowd(self):
        """All that must hold while the crowd is there, and after it has left."""
        self.gateway.settle()
        served = None
        try:
            self.check_ordinary_request("beside the crowd")
        except AssertionError as error:
            served = error
        self.check_limits()
        if served is not None:
            raise served
        self.close_crowd()
        self.check_ordinary_request("after the crowd")
        self.check_limits()
