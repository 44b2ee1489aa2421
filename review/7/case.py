"""A client resumes a kept turn after its host was killed; the next turn must be given the whole of it."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from bench2 import *  # noqa: E402,F403

FOLDER = os.path.dirname(os.path.abspath(__file__))
EVENTS = 8
PROGRAMS = 4


def data(program, i):
    return b"%s-word-%d" % (program.encode(), i)


async def scenario(temp, record, hosts):
    bodies = {}

    async def engine(server, request, writer):
        """Runs a turn: 8 events, 0.15 s apart; goes on at Last-Event-Id, as engines of resumable streams do."""
        id = request.headers["celerygw-attempt-id"]
        bodies[id] = request.body
        first = int(request.headers.get("last-event-id", "0")) + 1
        record.line("%s runs at %s from event %d with body %r" % (id, server.id, first, request.body))
        writer.write(head(request, chunked=True))
        for i in range(first, EVENTS + 1):
            event = b"id: %d\ndata: %s\n\n" % (i, data(request.headers["celerygw-program-id"], i))
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.15)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    store = Store()
    await store.start()
    servers = [Server("i-llm-%d" % i, "llm", engine) for i in range(3)]
    for s in servers:
        await s.start()
    store.put("op", "config", configuration(
        3, [route("chat", "/chat/", "streaming", "llm", 4000, 200, attempts=2, retain=True, resumable=True)], [engine_service("llm")]))
    beats = asyncio.create_task(heartbeats(store, servers))
    for i in (1, 2):
        host = Host(temp, i, store.port)
        hosts.append(host)
        host.start()
    for host in hosts:
        if not await host.wait_ready():
            return 2
    await asyncio.sleep(5)

    async def turn(host, program, id, text, headers=None):
        h = {"Celerygw-Program-Id": program, "Celerygw-Session-Id": "s-" + program, "Celerygw-Program-Deadline-Ms": "20000",
             "Celerygw-Token-Budget": "1000", "Celerygw-Model": "m", "Celerygw-Token-Usage": "300,40"}
        h.update(headers or {})
        record.line("%s sent to %s with %s" % (id, host.name, headers or {}))
        answer = await call(host, request_bytes("POST", "/chat/" + program, id, h, text, 4000))
        record.line("%s answered: %s" % (id, answer))
        return answer

    async def program(n):
        """One turn, taken up again at the other host if its channel breaks, and a second turn that continues from it."""
        name = "p%d" % n
        first = name + "-a"
        answer = await turn(hosts[0], name, first, b"first question,")
        got = answer.body
        if not answer.complete:
            last = got.count(b"\n\n")
            resumed = name + "-b"
            answer = await turn(hosts[1], name, resumed, b"first question,", {"Last-Event-Id": str(last), "Resumes": first})
            got += answer.body
            first = resumed
        if not answer.complete or got.count(b"\n\n") != EVENTS:
            record.line("%s: the first turn was not answered whole" % name)
            return None
        second = await turn(hosts[1], name, name + "-c", b"second question", {"Celerygw-Previous-Turn": first})
        if not second.complete:
            record.line("%s: the second turn was not answered whole" % name)
            return None
        expected = b"first question," + b"".join(data(name, i) + b"\n" for i in range(1, EVENTS + 1)) + b"second question"
        held = bodies[name + "-c"] == expected
        record.line("%s: the second turn was given %s: %r" % (name, "the whole history" if held else "NOT the whole history", bodies[name + "-c"]))
        return held

    tasks = [asyncio.create_task(program(n)) for n in range(PROGRAMS)]
    await asyncio.sleep(0.6)
    if TROUBLE:
        record.line("%s is killed" % hosts[0].name)
        hosts[0].kill()
    results = [await t for t in tasks]
    beats.cancel()
    print(results)
    if False in results:
        return 1
    return 0 if True in results else 2


main(FOLDER, scenario)
