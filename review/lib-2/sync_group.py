"""Members of a service with `synchronous_replicas` 1, on top of soak/platform_standin.py.

A commit that writes reaches each replica after its lag, and is answered once one replica has received it. PAUSE stops
a replica from receiving until RESUME, a promotion or its restart. A promoted member leads the next term with what it
had received; a primary that crashed comes back with its log, as a replica if another was promoted meanwhile.
"""
import asyncio
import random
import time

from platform_standin import Group, Member

PROMOTE_S = 1.0  # the sheet of hamsukhan-pairing: 1,000 ms a promote
LAG_MEAN_S, LAG_MOST_S = 0.020, 0.120  # replicas 20 ms behind, 120 ms at most


class SyncMember(Member):
    def __init__(self, name, group):
        super().__init__(name, group)
        self.received_count = 0  # entries of the group's log that it has
        self.next_at = None  # when it receives the next one

    def count_applied(self):
        return len(self.group.log) if self.group.primary == self.name else self.received_count

    def receive(self, now):
        """Takes the entries whose lag is over. Nothing arrives while it or the primary is down, or it is paused."""
        primary = self.group.members.get(self.group.primary)
        if not self.up or self.paused or self.name == self.group.primary or primary is None or not primary.up:
            self.next_at = None
            return
        while self.received_count < len(self.group.log):
            if self.next_at is None:
                sent = max(self.group.log[self.received_count][1], self.linked_since)
                lag = min(random.expovariate(1 / LAG_MEAN_S), LAG_MOST_S)
                self.next_at = max(sent + lag, self.last_at)
            if self.next_at > now:
                return
            self.last_at, self.next_at = self.next_at, None
            self.received_count += 1

    linked_since = last_at = 0.0

    def pause(self, term):
        super().pause(term)
        if self.paused:
            self.next_at = None

    async def serve_session(self, reader, writer):
        """As the base class, but the answer to a commit that writes waits until one replica has received it."""
        opening = (await reader.readuntil(b"\r\n")).decode().split()
        if opening[:2] != ["START", self.group.name] or opening[3:] != [self.name]:
            writer.write(b"ERROR WRONGNODE -\r\n")
            return
        if self.open_connections > self.group.connections:
            writer.write(b"ERROR TOOMANY -\r\n")
            return
        session = self.group.new_session()
        writer.write(f"READY I {self.position()}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            _, statement, text = line.split(" ", 2)
            before, term = len(self.group.log), self.group.term
            lines, takes_time = self.run_statement(session, statement, text)
            mine = len(self.group.log) if len(self.group.log) > before else 0
            if takes_time:
                await asyncio.sleep(self.service_time_s * random.uniform(0.5, 2))
            while mine:
                if self.group.term != term:
                    lines = [f"ERROR UNKNOWN {self.name}"]  # it lost the lead before the commit was acknowledged
                    break
                if self.group.is_replicated(mine):
                    break
                await asyncio.sleep(0.001)
            out = "".join(it + "\r\n" for it in lines)
            writer.write((out + f"READY {session.state} {self.position()}\r\n").encode())
            await writer.drain()


class SyncGroup(Group):
    """A group whose replicas each have their own part of the log. `promotions` lists what each promotion dropped."""

    def __init__(self, name, members, connections, record):
        super().__init__(name, members, connections, True, 1)
        self.members = {it: SyncMember(it, self) for it in members}
        self.record = record
        self.promotions = []

    def new_session(self):
        from platform_standin import Session
        return Session()

    def count_applied(self, member):
        return member.count_applied()

    def is_replicated(self, count):
        return any(it.received_count >= count for it in self.members.values() if it.name != self.primary)

    async def replicate(self):
        while True:
            now = time.monotonic()
            for it in self.members.values():
                it.receive(now)
            await asyncio.sleep(0.001)

    def promote(self, name):
        target = self.members[name]
        if not target.up or name == self.primary:
            self.record(f"the promotion of {name} changes nothing")
            return
        kept = target.received_count
        dropped = self.log[kept:]
        self.log = self.log[:kept]
        old, self.primary = self.primary, name
        self.term += 1
        for it in self.members.values():
            it.received_count = min(it.received_count, kept)
            it.paused, it.next_at = 0, None
        self.promotions.append((time.monotonic(), name, dropped))
        self.record(f"{name} leads term {self.term} with {kept} commits, {old} had {kept + len(dropped)}")

    async def handle_promotion(self, body, headers):
        """Schedules a promotion, or refuses it with 409 if its fence is too low or the member is down."""
        fence, member = int(headers["fencing-token"]), body["identifier"]
        if fence < self.highest_fence or member not in self.members or not self.members[member].up:
            return 409, {}
        self.highest_fence = fence
        if member != self.primary:
            asyncio.get_running_loop().call_later(PROMOTE_S, self.promote, member)
        return 200, {}
