#!/usr/bin/env python3
"""A primary fails part of its requests while its health is good. A SET among them fails, and the write behind it runs."""
import asyncio
import pathlib
import random
import sys
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from bed import Bed, CannotRun, Client, main  # noqa: E402
from platform_standin import Member  # noqa: E402

SECONDS = 6.5  # srv_grey: for_s 6.5 in the site files
FAILED_SHARE = 0.4  # srv_grey: x (.4), how busy
SESSIONS = 10


class GreyMember(Member):
    """A member that refuses a share of its requests with BUSY, which means that they did not run; its health is good."""

    failed_share = 0.0
    failed_sets = 0

    def run_statement(self, session, statement, text):
        verb = text.split(" ")[2 if text.startswith("AFTER ") else 0]
        if verb in ("SET", "PREPARE", "RESET", "READ", "WRITE", "EXECUTE") and random.random() < self.failed_share:
            self.failed_sets += verb == "SET"
            return self.fail_statement(session, "BUSY")
        return super().run_statement(session, statement, text)


async def use_session(bed, gateway, number, until, sent):
    """One requester: sets a value and writes, again and again. `sent` maps each id to the values acknowledged then."""
    while time.monotonic() < until:
        client = Client(bed, gateway, "own")
        values = {}
        try:
            if not await client.open():
                continue
            for n in range(40):
                if time.monotonic() > until:
                    break
                values = {"zone": f"s{number}v{n}"}
                if (await client.ask(f"SET zone {values['zone']}"))[0] != "DONE":
                    break
                for _ in range(3):
                    sent[f"c{client.number}x{client.statements + 1}"] = dict(values)
                    await client.ask(f"WRITE k{number} data")
                    await asyncio.sleep(0.01)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            bed.record(f"client {client.number} lost its connection")
        finally:
            client.close()


async def run(trouble):
    random.seed(5)
    bed = Bed(FOLDER, gateways=2, member_class=GreyMember)
    sent = {}
    try:
        await bed.start()
        if trouble:
            bed.group.members["i-1"].failed_share = FAILED_SHARE
            bed.record(f"primary i-1 refuses {FAILED_SHARE} of its requests from now on")
        until = time.monotonic() + SECONDS
        await asyncio.gather(*(use_session(bed, bed.gateways[n % 2], n, until, sent) for n in range(SESSIONS)))
    finally:
        await bed.stop()
    wrong, checked = [], 0
    committed = {it for _, _, writes in bed.group.log for it in writes}
    for it in bed.group.executions:
        if it["id"] in sent:
            checked += 1
            if it["values"] != sent[it["id"]]:
                wrong.append(it)
                bed.record(f"{it['id']} ran at {it['member']} with session values {it['values']}, acknowledged were "
                           f"{sent[it['id']]}; {'committed' if it['id'] in committed else 'not committed'}")
    bed.record.say(f"{checked} statements ran, {bed.group.members['i-1'].failed_sets} SETs were refused by the member, "
                   f"{len(wrong)} statements ran with other session values than their requester's")
    if checked < 100:
        raise CannotRun("too few statements ran")
    return f"PINNED: {len(wrong)} statements ran with wrong session values" if wrong else None


main(FOLDER, run)
