"""LOST: a request on a kept connection is cut by the planned stop of its gateway."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import harness  # noqa: E402

ZONES = {"hall-centru": "brasov", "hall-sacele": "sacele"}
GRACE_S = 6.0            # graceS of the deployment
LAST_EXCUSED_S = 3.0     # requests sent later than this after SIGTERM are not excused
SEND_AT_S = (3.10, 3.15, 3.20, 3.25, 3.30, 3.35)
WORK_S = 1.2             # below the longest work of `invoice-fetch` in the site file
CLIENTS = len(SEND_AT_S)


async def play(case):
    record = case.record
    store = harness.Store(record)
    await store.open()
    searcher = harness.Searcher(record, "i-1", "tuition", "hall-centru", slots=2, work_s=0.05)
    await searcher.open()
    await store.put("servers/i-1", searcher.entry())
    await store.put("op/config", harness.config(
        7, [harness.route("invoice-fetch", "/goka902/", "tuition")], ["tuition"]))
    stopped = case.add_gateway("front-1", "hall-centru", ZONES, store.port)
    case.add_gateway("front-2", "hall-sacele", ZONES, store.port)
    await case.start_gateways()
    await asyncio.sleep(6)  # past the gateway's startup and the clients' usual traffic

    # Each client has a kept connection, on which a request was served before.
    clients = [harness.Client(record, stopped.front) for _ in range(CLIENTS)]
    for client in clients:
        _, status, _, _ = await client.request("/goka902/2f", "hufi27.example", 15000)
        if status != 200:
            raise harness.NotRun("warm-up request got %d" % status)

    searcher.work_s = WORK_S
    loop = asyncio.get_running_loop()
    begun = loop.time()
    if case.has_trouble:
        record.add("SIGTERM to front-1")
        stopped.signal(signal.SIGTERM)

    async def late_request(client, at_s):
        await asyncio.sleep(begun + at_s - loop.time())
        ident, status, _, _ = await client.request("/goka902/2f", "hufi27.example", 15000)
        return ident, status, loop.time() - begun

    results = await asyncio.gather(*map(late_request, clients, SEND_AT_S))
    runs = {run[1] for run in searcher.runs}
    lost = [r for r in results if r[1] == 0 and r[0] in runs and r[2] < GRACE_S + 1]
    for ident, status, ended_s in lost:
        record.add("LOST %s: run by the searcher, connection ended without an answer %.2f s after "
                   "SIGTERM" % (ident, ended_s))
    record.add("sent %d, answered %d, lost %d" %
               (len(results), sum(r[1] != 0 for r in results), len(lost)))
    return not lost


harness.Case(FOLDER).main(play)
