#!/usr/bin/env python3
"""The settings name another address of the promotion service while an order is in flight. No order is sent any more."""
import asyncio
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent / "lib-2"))
from bed import Bed, Client, main  # noqa: E402

ANSWER_S = 0.25  # the platform is slow: 50 times its usual 4 to 5 ms
RECOVERY_S = 12  # bound recovery_s
LOOK_S = 10  # for which requests are counted after that


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
    bed = Bed(FOLDER, gateways=3)
    calls = []

    async def promotion(method, path, query, body, headers):
        """The first address. The platform is slow and refuses the first order; with the trouble, the holder's settings
        change while that order waits for its answer."""
        calls.append(body)
        if len(calls) > 1:
            return await bed.handle_promotion(method, path, query, body, headers)
        holder = headers["duty-holder"]
        bed.record(f"promotion call: {body['identifier']} fence {headers['fencing-token']} of {holder}; 503 in "
                   f"{ANSWER_S} s, nothing is done")
        if trouble:
            it = next(it for it in bed.gateways if it.name == holder)
            it.cloud_port = second_port
            it.write_settings()
            it.signal(signal.SIGHUP)
            bed.record(f"the settings of {holder} name the second address of the platform, SIGHUP is sent to it")
        await asyncio.sleep(ANSWER_S)
        return 503, {}

    try:
        second_port = await bed.serve(bed.handle_promotion, lambda: "up")
        await bed.start(promotion=promotion)
        sent, served = await count_served(bed, time.monotonic() + 3)
        bed.record.say(f"before: {served} of {sent} writes served")
        before = served * 4 >= sent
        bed.group.members["i-1"].crash()
        bed.record("the primary i-1 crashes")
        await asyncio.sleep(RECOVERY_S)
        sent, served = await count_served(bed, time.monotonic() + LOOK_S)
        bed.record.say(f"later than {RECOVERY_S} s after it: {served} of {sent} writes served; primary {bed.group.primary}")
        for it in bed.gateways:
            for line in it.log_path.read_text().splitlines():
                if any(f" event={n} " in line for n in (730, 731, 732, 742)):
                    bed.record(f"{it.name}: {line}")
    finally:
        await bed.stop()
    return f"RECOVER: {served} of {sent} writes served" if before and served * 4 < sent else None


main(FOLDER, run)
