"""Stand-ins for the tests of clients: a configuration store and searchers.

All run on one asyncio loop in a thread of their own and listen on 127.0.0.1. A searcher answers the
target ".../bytes-N" with N bytes; a target with "/hold" is answered only when the searcher is told to
release it.
"""
import asyncio
import base64
import json
import re
import threading
import time
import urllib.parse

CLOSED = (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError)
STREAM_LIMIT = 1 << 20
SEARCHERS_PER_SERVICE = 4
SLOTS = 1000
RECORD = bytes(range(16))


async def read_message(reader):
    """Reads a request; (request line, headers by lower-case name)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    length = int(headers.get("content-length", "0"))
    if length > 0:
        await reader.readexactly(length)
    return lines[0], headers


def format_head(status, length, fields=()):
    head = "HTTP/1.1 %s X\r\n" % status
    for name, value in fields:
        head += "%s: %s\r\n" % (name, value)
    return (head + "Content-Length: %d\r\n\r\n" % length).encode("latin-1")


class Store:
    """Answers lists and watches of the entries that were put before a gateway started."""

    def __init__(self):
        self.entries = {}
        self.port = 0

    async def open(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=STREAM_LIMIT)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key, document):
        self.entries[key] = base64.b64encode(json.dumps(document).encode()).decode()

    def _list(self, prefix):
        items = [{"privateKey": key, "value": value, "revision": 1, "made": 1, "lease": 0}
                 for key, value in sorted(self.entries.items()) if key.startswith(prefix)]
        return {"items": items, "more": False, "at": 1}

    async def _serve(self, reader, writer):
        try:
            while True:
                line, _ = await read_message(reader)
                url = urllib.parse.urlsplit(line.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if url.path == "/api/kv-watch":
                    await asyncio.sleep(int(query["waitMs"]) / 1000)
                    document = {"events": [], "at": 1}
                else:
                    document = self._list(query.get("pathPrefix", ""))
                body = json.dumps(document).encode()
                writer.write(format_head(200, len(body), [("Content-Type", "application/json")]) + body)
                await writer.drain()
        except CLOSED:
            pass
        finally:
            writer.close()


class Searcher:
    def __init__(self, ident, service, owner):
        self.ident, self.service, self.owner = ident, service, owner
        self.port = 0

    async def open(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024,
                                            limit=STREAM_LIMIT)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self):
        return {"service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": "z1",
                "version": "v1", "slots": SLOTS, "state": "ready", "warmupLeftMs": 0,
                "callSeq": 1, "born": int(time.time() * 1000)}

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_message(reader)
                self.owner.runs += 1
                if "/hold" in line:
                    await self.owner.released.wait()
                size = re.search(r"/bytes-(\d+)", line)
                body = RECORD * (int(size.group(1)) // len(RECORD)) if size else RECORD
                status = re.search(r"/status-(\d+)", line)
                ident = headers.get("x-request-id", "")
                fields = [("X-Request-Id", ident),
                          ("X-Server-Stamp", "%s.%d.%s" % (self.ident, self.owner.runs, ident))]
                writer.write(format_head(status.group(1) if status else "200", len(body), fields))
                writer.write(b"" if line.startswith("HEAD ") else body)
                await writer.drain()
        except CLOSED:
            pass
        finally:
            writer.close()


def _route(name, **fields):
    return {"name": name, "host": "h.example", "pathPrefix": "/%s/" % name, "routeType": "idempotent",
            "timeoutMs": 30000, "targetLatencyMs": 20000, "priority": 1, "maxAttempts": 2, **fields}


CONFIG = {
    "version": 1,
    "routes": [
        _route("one", service="a"),
        _route("once", service="a", routeType="non_idempotent", maxAttempts=1),
        _route("gather", gather=["a", "b"], topK=50000, minCoverage=1.0),
    ],
    "services": [{"name": "a", "maxConnections": 20000}, {"name": "b", "maxConnections": 20000}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 30000,
               "idleTimeoutMs": 60000},
}


class Backends:
    """The store and the searchers of services `a` and `b`."""

    def __init__(self):
        self.store = Store()
        self.runs = 0  # requests that the searchers began
        self.searchers = [Searcher("i-%s%d" % (service, i), service, self)
                          for service in "ab" for i in range(SEARCHERS_PER_SERVICE)]
        self.loop = asyncio.new_event_loop()
        self.released = asyncio.Event()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        asyncio.run_coroutine_threadsafe(self._open(), self.loop).result()

    async def _open(self):
        await self.store.open()
        self.store.put("op/config", CONFIG)
        for searcher in self.searchers:
            await searcher.open()
            self.store.put("servers/" + searcher.ident, searcher.entry())

    def release(self):
        """Lets the searchers answer the held targets."""
        self.loop.call_soon_threadsafe(self.released.set)
