"""Settings change while hosts start again in a rolling restart: SIGHUP must not end them."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from bench2 import *  # noqa: E402,F403

FOLDER = os.path.dirname(os.path.abspath(__file__))
HOSTS = 3
ROUNDS = 3
AFTER_START_S = 0.2


async def scenario(temp, record, hosts):
    async def tool(server, request, writer):
        writer.write(head(request, length=2) + b"ok")
        await writer.drain()
        return True

    store = Store()
    await store.start()
    server = Server("i-app-1", "app", tool, slots=6)
    await server.start()
    store.put("op", "config", configuration(3, [route("page", "/page/", "safe", "app", 1500, 250, attempts=2)], [plain_service("app")]))
    beats = asyncio.create_task(heartbeats(store, [server]))
    for i in range(1, HOSTS + 1):
        host = Host(temp, i, store.port)
        hosts.append(host)
        host.start()
    for host in hosts:
        if not await host.wait_ready():
            return 2
    ends = {host.name: 0 for host in hosts}
    for _ in range(ROUNDS):
        for host in hosts:
            host.signal(signal.SIGTERM)
            while host.alive():
                await asyncio.sleep(0.02)
            record.line("%s has stopped as planned with %d" % (host.name, host.process.returncode))
            host.start()
            record.line("%s is started" % host.name)
            if TROUBLE:
                await asyncio.sleep(AFTER_START_S)
                host.write_settings()
                host.signal(signal.SIGHUP)
                record.line("%s gets SIGHUP: its settings file has changed" % host.name)
            if not await host.wait_ready(4):
                if host.alive():
                    return 2
                ends[host.name] += 1
                record.line("%s has ended by itself with %d" % (host.name, host.process.returncode))
                host.start()  # as the platform does after a short delay
                if not await host.wait_ready():
                    return 2
            answer = await call(host, request_bytes("GET", "/page/1", "page-%s-%d" % (host.name, ends[host.name]), deadline_ms=1500), 2)
            record.line("%s answers: %s" % (host.name, answer))
    beats.cancel()
    print(ends)
    record.line("ends by themselves: %s" % ends)
    return 1 if sum(n >= 3 for n in ends.values()) >= 2 else 0


main(FOLDER, scenario, 115)
