"""The primary and the holder of the promotion duty go down together; the restarted holder freezes after its order.

Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
"""
import asyncio
import base64
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standin import Requester, run_script  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOLDER_DOWN_S = 0.5
HOLDER_FROZEN_S = 4.0
# The primary is back this long after the holder has begun to prepare a promotion. It may be up to about 0.35 s.
PRIMARY_BACK_S = 0.1


async def write_on(bed, name):
    """Sends one write after the other, on a new session after each close."""
    requester = Requester(name, bed, "db-primary")
    while True:
        if requester.writer is None and not await requester.open():
            await asyncio.sleep(0.1)
            continue
        await requester.ask(f"WRITE k{random.randint(0, 99)} v{requester.count}")
        await asyncio.sleep(random.uniform(0.03, 0.07))


def find_holder(bed):
    """Returns the process that is named in the newest of the system's own items that has no lease."""
    own = [it for key, it in bed.store.items.items() if not key.startswith(("op/", "servers/")) and not it["lease"]]
    newest = base64.b64decode(max(own, key=lambda it: it["revision"])["value"]).decode()
    return next(it for it in bed.gateways if it.name in newest)


async def run(bed):
    await bed.start([bed.route("primary")])
    if not await bed.wait_until_ready():
        return 2
    for n in range(6):
        bed.spawn(write_on(bed, f"u{n}"))
    await asyncio.sleep(8)
    if TROUBLE:
        preparing, ordered = asyncio.Event(), asyncio.Event()
        primary, gateway = bed.group.primary, find_holder(bed)

        def freeze_holder(*_):
            if not ordered.is_set():
                ordered.set()
                gateway.signal(signal.SIGSTOP)

        bed.group.delay_order = freeze_holder
        bed.group.on_pause = lambda _: preparing.set()
        gateway.signal(signal.SIGKILL)
        await gateway.wait()
        await primary.crash()
        await asyncio.sleep(HOLDER_DOWN_S)
        await gateway.start()
        await asyncio.wait_for(preparing.wait(), 12)
        await asyncio.sleep(PRIMARY_BACK_S)
        await primary.restart()
        await asyncio.wait_for(ordered.wait(), 5)
        await asyncio.sleep(HOLDER_FROZEN_S)
        gateway.signal(signal.SIGCONT)
    await asyncio.sleep(5)
    return judge(bed)


def judge(bed):
    """Looks for writes that a replaced primary committed and that were acknowledged to their requester (rule ONE)."""
    acknowledged = {it["id"]: it for it in bed.answers if it["word"] == "DONE"}
    print(f"{len(bed.answers)} answers, {len(acknowledged)} writes acknowledged, "
          f"promotions {[(round(t, 1), new) for t, new, _, _ in bed.group.promotions]}")
    if len(acknowledged) < 200:
        return 2
    broken = []
    for effect, _, old, term in bed.group.promotions:
        for time, member, commit_term, writes, number in bed.group.commits:
            # No link was touched, and the frozen process sends nothing; what was on its way isn't counted.
            if member == old and commit_term < term and time > effect + 0.1:
                broken += [(it, time - effect, member) for it in writes if it in acknowledged]
    for it, after, member in broken:
        bed.record.note("BROKEN", id=it, member=member, after_promotion_s=f"{after:.3f}")
    if broken:
        print(f"ONE is broken: {len(broken)} writes were committed at the old primary {broken[0][1]:.2f} to "
              f"{broken[-1][1]:.2f} s after a promotion had taken effect, and acknowledged")
    return 1 if broken else 0


if __name__ == "__main__":
    run_script(run, HERE / "record.txt", fenced=False)
