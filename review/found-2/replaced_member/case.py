#!/usr/bin/env python3
"""With a synchronous replica: after a replica was replaced, the holder waits for one report too many, and the next loss
of a primary is never mended."""
import asyncio
import pathlib
import sys
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent / "lib-2"))
from bed import Bed, Client, main  # noqa: E402
from sync_group import SyncGroup, SyncMember  # noqa: E402

DRAIN_S = 7  # bound drain_ms
RECOVERY_S = 12  # bound recovery_s


async def count_served(bed, until):
    """Sends writes to all gateways in turn; returns how many were sent and served."""
    sent = served = 0
    while time.monotonic() < until:
        for it in bed.gateways:
            client = Client(bed, it, "primary")
            try:
                if await client.open():
                    sent += 1
                    served += (await client.ask("WRITE a x"))[0] == "DONE"
                client.close()
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                sent += 1
        await asyncio.sleep(0.2)
    return sent, served


async def run(trouble):
    bed = Bed(FOLDER, gateways=2, make_group=SyncGroup, synchronous_replicas=1)
    group = bed.group
    try:
        bed.tasks.append(asyncio.create_task(group.replicate()))
        await bed.start()
        sent, served = await count_served(bed, time.monotonic() + 2)
        bed.record.say(f"before: {served} of {sent} writes served")
        before = served * 4 >= sent
        if trouble:
            added = SyncMember("i-4", group)
            added.received_count = len(group.log)
            server = await asyncio.start_server(added.serve, "127.0.0.1", 0, limit=1 << 22)
            added.port = server.sockets[0].getsockname()[1]
            group.members["i-4"] = added
            bed.record("i-4 starts, to take the place of the replica i-2")
        await asyncio.sleep(DRAIN_S)
        if trouble:
            group.members.pop("i-2").crash()
            bed.store.remove("servers/i-2")
            bed.record("i-2 has left")
        await asyncio.sleep(DRAIN_S)
        group.members["i-1"].crash()
        bed.record("the primary i-1 is lost for good")
        await asyncio.sleep(RECOVERY_S)
        sent, served = await count_served(bed, time.monotonic() + 8)
        bed.record.say(f"later than {RECOVERY_S} s after it: {served} of {sent} writes served; primary {group.primary}")
    finally:
        await bed.stop()
    return f"{served} of {sent} writes served after the loss of a primary" if before and served * 4 < sent else None


main(FOLDER, run)
