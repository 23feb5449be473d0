"""Stand-ins and helpers for the review's scripts.

The stand-ins follow PROTOCOL.md: a metadata store that can only be read, searchers, clients on
kept connections, and a TCP proxy. Everything runs in one asyncio loop on loopback addresses; the
gateways are separate processes, started with the command of deploy/system.toml.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not run; says nothing about the rule."""


def free_port(ip="127.0.0.1"):
    """A free port below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
                return port
            except OSError:
                pass


class Record:
    """record.txt: one line an event, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


# -- HTTP

async def read_message(reader):
    """Reads a message with a length, in chunks, or without a body; (first line, headers, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif int(headers.get("content-length", "0")) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def response(status, headers, body=b""):
    head = "HTTP/1.1 %d X\r\n" % status
    for name, value in headers.items():
        head += "%s: %s\r\n" % (name, value)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


CLOSED = (ConnectionError, asyncio.IncompleteReadError, OSError)
ENDED = (*CLOSED, asyncio.CancelledError)  # also when the case is over


# -- The platform's metadata store

class Store:
    """Linearizable reads and watches; reads with stale=1 are `lag_s` old."""
    PAGE = 50

    def __init__(self, record):
        self.record = record
        self.log = [(0.0, 1, "", None)]  # (time, revision, key, value)
        self.changed = asyncio.Condition()
        self.lag_s = 0.0

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def revision(self):
        return self.log[-1][1]

    async def put(self, key, value):
        """The return is the acknowledgement."""
        text = None if value is None else json.dumps(value)
        self.log.append((time.monotonic(), self.revision() + 1, key, text))
        self.record.add("store acknowledged revision=%d key=%s" % (self.revision(), key))
        async with self.changed:
            self.changed.notify_all()

    @staticmethod
    def item(row):
        _, revision, key, value = row
        if value is None:
            return {"privateKey": key, "revision": revision, "gone": True}
        encoded = base64.b64encode(value.encode()).decode()
        return {"privateKey": key, "value": encoded, "revision": revision, "made": revision,
                "lease": 0}

    def answer_range(self, query):
        until = time.monotonic() - (self.lag_s if query.get("stale") == "1" else 0)
        rows = [row for row in self.log if row[0] <= until]
        state = {}
        for row in rows:
            state[row[2]] = row
        prefix, after = query.get("pathPrefix", ""), query.get("after", "")
        keys = sorted(k for k in state
                      if k and state[k][3] is not None and k.startswith(prefix) and k > after)
        return {"items": [self.item(state[k]) for k in keys[:self.PAGE]],
                "more": len(keys) > self.PAGE, "at": rows[-1][1]}

    async def answer_watch(self, query):
        prefix, after = query.get("pathPrefix", ""), int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000

        def events():
            return [self.item(r) for r in self.log if r[1] > after and r[2].startswith(prefix)]
        async with self.changed:
            while not events() and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
        return {"events": events(), "at": self.revision()}

    async def serve(self, reader, writer):
        try:
            while True:
                line, _, _ = await read_message(reader)
                url = urllib.parse.urlsplit(line.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if url.path == "/api/kv-range":
                    document = self.answer_range(query)
                elif url.path == "/api/kv-watch":
                    document = await self.answer_watch(query)
                else:
                    writer.write(response(404, {}))
                    continue
                body = json.dumps(document).encode()
                writer.write(response(200, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except ENDED:
            pass
        finally:
            writer.close()


# -- Searchers

class Searcher:
    def __init__(self, record, ident, service, zone, slots=4, queue=16, work_s=0.02):
        self.record, self.id, self.service, self.zone = record, ident, service, zone
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.held = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = []  # (time, request id, finished)
        self.state = "ready"
        self.born = int(time.time() * 1000)

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {"service": self.service, "address": "127.0.0.1:%d" % self.port,
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                "warmupLeftMs": 0, "callSeq": 1, "born": self.born}

    def make_body(self, ident):
        return os.urandom(16 * 4)

    async def work(self, ident, line, headers, body):
        async with self.free:
            run = [self.record.now(), ident, False]
            self.runs.append(run)
            self.record.add("searcher %s runs %s" % (self.id, ident))
            await asyncio.sleep(self.work_s)
            run[2] = True
        stamp = "%s.%d.%s" % (self.id, len(self.runs), ident)
        return response(200, {"X-Request-Id": ident, "X-Server-Stamp": stamp},
                        self.make_body(ident))

    async def answer(self, line, headers, body):
        ident = headers.get("x-request-id", "")
        expected = headers.get("x-expected-instance", self.id)
        if expected != self.id:
            return response(421, {"X-Request-Id": ident, "X-Instance-Id": self.id})
        if self.held >= self.slots + self.queue:
            return response(503, {"X-Request-Id": ident, "X-Not-Executed": "1"})
        self.held += 1
        try:
            return await self.work(ident, line, headers, body)
        finally:
            self.held -= 1

    async def serve(self, reader, writer):
        """One request at a time; a request is dropped when its connection closes."""
        try:
            while True:
                line, headers, body = await read_message(reader)
                work = asyncio.ensure_future(self.answer(line, headers, body))
                watch = asyncio.ensure_future(self.wait_for_end(reader))
                await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
                watch.cancel()
                if not work.done():
                    work.cancel()
                    self.record.add("searcher %s dropped %s: its connection ended" %
                                    (self.id, headers.get("x-request-id")))
                    return
                writer.write(work.result())
                await writer.drain()
        except ENDED:
            pass
        finally:
            writer.close()

    @staticmethod
    async def wait_for_end(reader):
        while not reader.at_eof():
            await asyncio.sleep(0.02)


# -- Proxy

class Proxy:
    """A TCP proxy; a connection in `silent` drops all further bytes and stays open."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.links = []

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def pump(self, link, reader, writer, is_request):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if is_request:
                    link["request"] = data[:200]
                if not link["silent"]:
                    writer.write(data)
                    await writer.drain()
        except ENDED:
            pass
        link["open"] = False
        writer.close()

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except CLOSED:
            writer.close()
            return
        link = {"silent": False, "open": True, "request": b""}
        self.links.append(link)
        try:
            await asyncio.gather(self.pump(link, reader, far_writer, True),
                                 self.pump(link, far_reader, writer, False))
        except asyncio.CancelledError:
            pass


# -- Gateways

class Gateway:
    BOUNDS = """drain_ms: 3000
grace_ms: 6000
retry_ratio: 0.2
retry_window_ms: 10000
retry_slack: 52
heartbeat_ms: 1200
quota_window_ms: 5000
quota_overrun: 0.25
quota_slack: 20
revoke_ms: 5000
log_format: json
log_level: info
"""

    def __init__(self, folder, name, zone, zones, store_port):
        self.name, self.zone, self.zones, self.store_port = name, zone, zones, store_port
        self.peers_ip = "127.0.0.1"  # where it listens for peers, and from where it calls them
        self.advertised = None       # address under which peers reach it, if not `peers`
        self.front, self.ready, self.peers, self.metrics = (free_port() for _ in range(4))
        self.settings = os.path.join(folder, name + ".yaml")
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None

    def write_settings(self, seeds):
        """As deploy/gateway.yaml is rendered for a small deployment."""
        zones = ",".join("{zone: %s, region: %s }" % pair for pair in self.zones.items())
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("name: %s\nzone: %s\ndialect: platform\n" % (self.name, self.zone))
            file.write("callers: 127.0.0.1:%d\nready: 127.0.0.1:%d\npeers: %s:%d\n" %
                       (self.front, self.ready, self.peers_ip, self.peers))
            if self.advertised is not None:
                file.write("advertised: %s\n" % self.advertised)
            file.write("seeds: [%s]\n" % ",".join("'%s'" % seed for seed in seeds))
            file.write("store: 127.0.0.1:%d\nzones: [%s]\n" % (self.store_port, zones))
            file.write(self.BOUNDS + "metrics: 127.0.0.1:%d\n" % self.metrics)

    def start(self):
        program = os.path.join(ROOT, "target", "tealspar")
        if not os.path.exists(program):
            raise NotRun("target/tealspar is missing: run review/build.sh")
        env = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/"), "LANG": "C",
               "TEALSPAR_CONFIG": self.settings}
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen([program, "gateway"], cwd=ROOT, env=env, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: r\r\n\r\n")
            line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return " 200 " in line
        except (*CLOSED, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=10):
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise NotRun("%s did not become ready" % self.name)
            await asyncio.sleep(0.05)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


# -- Clients

class Client:
    """A client on a kept connection; every request carries its own id."""
    count = 0

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.reader = self.writer = self.key = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    async def request(self, path, host, deadline_ms, method="GET", body=b"", ident=None):
        """(id, status, headers, body); the status is 0 if the connection ended without an answer."""
        Client.count += 1
        ident = ident or "%08x%08x" % (Client.count, os.getpid())
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n" % (
            method, path, host, ident, deadline_ms)
        if self.key is not None:
            head += "Authorization: Bearer %s\r\n" % self.key
        if body:
            head += "Content-Length: %d\r\n" % len(body)
        self.record.add("client sends %s to port %d: %s %s" % (ident, self.port, method, path))
        try:
            if self.writer is None:
                await self.connect()
            self.writer.write(head.encode() + b"\r\n" + body)
            line, headers, answer = await asyncio.wait_for(read_message(self.reader),
                                                           deadline_ms / 1000 + 2)
        except (*CLOSED, asyncio.TimeoutError) as error:
            self.record.add("client got no answer to %s: %s" % (ident, type(error).__name__))
            self.close()
            return ident, 0, {}, b""
        status = int(line.split(" ")[1])
        self.record.add("client got %d for %s" % (status, ident))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return ident, status, headers, answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# -- Configurations and cases

LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
          "idleTimeoutMs": 15000}


def route(name, prefix, service, **fields):
    entry = {"name": name, "host": "hufi27.example", "pathPrefix": prefix,
             "routeType": "idempotent", "timeoutMs": 15000, "targetLatencyMs": 1000,
             "priority": 2, "service": service, "maxAttempts": 2}
    entry.update(fields)
    return {key: value for key, value in entry.items() if value is not None}


def config(version, routes, services, **fields):
    entry = {"version": version, "routes": routes,
             "services": [{"name": name, "healthPath": "/health", "maxConnections": 96,
                           "protocol": "h1", "tls": False} for name in services],
             "limits": dict(LIMITS)}
    entry.update(fields)
    return entry


class Case:
    """Runs `play(case)`, which returns whether the rule held, and cleans up."""
    LIMIT_S = 115

    def __init__(self, folder):
        self.folder = folder
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.gateways = []
        self.temp = tempfile.mkdtemp(prefix="tealspar-review-")

    def add_gateway(self, name, zone, zones, store_port):
        gateway = Gateway(self.temp, name, zone, zones, store_port)
        self.gateways.append(gateway)
        return gateway

    async def start_gateways(self):
        seeds = [gateway.advertised or "127.0.0.1:%d" % gateway.peers
                 for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write_settings(seeds)
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def run(self, play):
        return await asyncio.wait_for(play(self), self.LIMIT_S)

    def main(self, play):
        status = NOT_RUN
        loop = asyncio.new_event_loop()
        loop.set_exception_handler(lambda *_: None)  # of connections that end with the case
        try:
            status = HELD if loop.run_until_complete(self.run(play)) else BROKEN
        except Exception as error:  # a fault of the script says nothing about the rule
            self.record.add("the case could not run: %s %s" % (type(error).__name__, error))
        finally:
            for gateway in self.gateways:
                gateway.end()
            keep = os.environ.get("KEEP")
            if not keep:
                shutil.rmtree(self.temp, ignore_errors=True)
            self.record.add("exit %d%s" % (status, " logs in " + self.temp if keep else ""))
        os._exit(status)  # without waiting for the stand-ins' open connections
