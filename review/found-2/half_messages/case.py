#!/usr/bin/env python3
"""A crowd of clients stops half-way in messages of legal size. The gateway grows over the memory of its machine."""
import asyncio
import os
import pathlib
import signal
import sys

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent / "lib-2"))
from bed import MEMORY_MB, Bed, Client, main  # noqa: E402

CROWD = 450  # connections; the machine has 6,300 descriptors
SENT_BYTES = 1_000_000  # of each message, which may have 1 MiB
CHECK_S = 0.05


async def enforce_memory(bed, gateway, peak):
    """The platform: kills a process that exceeds the memory of its machine. Keeps the largest size in `peak`."""
    while True:
        size = gateway.resident_mb()
        peak[0] = max(peak[0], size)
        if size > MEMORY_MB and gateway.running():
            bed.record.say(f"{gateway.name} holds {size:.0f} MB, over its {MEMORY_MB} MB, and is killed")
            os.kill(gateway.process.pid, signal.SIGKILL)
            return
        await asyncio.sleep(CHECK_S)


async def run(trouble):
    bed = Bed(FOLDER, gateways=1, connections=16)
    peak = [0]
    streams = []
    try:
        await bed.start()
        gateway = bed.gateways[0]
        platform = asyncio.create_task(enforce_memory(bed, gateway, peak))
        ordinary = Client(bed, gateway, "primary")
        await ordinary.open()
        await ordinary.ask("WRITE a before")
        try:
            for n in range(CROWD):
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.front)
                streams.append(writer)
                writer.write(b"START db-primary crowd\r\n")
                await asyncio.wait_for(reader.readuntil(b"\r\n"), 2)
                data = b"a" * (SENT_BYTES if trouble else 20)
                writer.write(b"QUERY m%d WRITE k %b" % (n, data) + (b"" if trouble else b"\r\n"))
                await writer.drain()
                if not trouble:
                    await asyncio.wait_for(reader.readuntil(b"READY"), 5)
                if n % 50 == 49:
                    bed.record(f"{n + 1} clients, the gateway holds {gateway.resident_mb():.0f} MB")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError) as ex:
            bed.record(f"client {len(streams)} of the crowd: {type(ex).__name__}")
        await asyncio.sleep(1)
        lost = ""
        try:
            await ordinary.ask("WRITE a after")
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError) as ex:
            lost = f"; the ordinary client's WRITE got no answer ({type(ex).__name__})"
            bed.record("the ordinary client's WRITE got no answer")
        platform.cancel()
    finally:
        for it in streams:
            it.transport.abort()
        await bed.stop()
    bed.record.say(f"{len(streams)} clients, at most {peak[0]:.0f} MB")
    return f"Fault: {peak[0]:.0f} MB, over {MEMORY_MB} MB{lost}" if peak[0] > MEMORY_MB else None


main(FOLDER, run)
