"""Stand-in for the platform on loopback: key-value store, members of one group and promotion calls.

Records every statement that a member executes, so that the soak can compare the clients' answers with it.
"""
import asyncio
import base64
import json
import random
import time
import urllib.parse

REPLICATION_LAG_S = 0.03  # time until a replica applies a commit, before lag_factor
RECEIVE_CHECK_INTERVAL_S = 0.001
# Time for which a replaced primary still serves, because it does not know of its successor yet.
DEMOTION_DELAY_S = 1.0
PROMOTION_DELAY_S = 0.5  # from an accepted promotion call to the new primary
LEASE_CHECK_INTERVAL_S = 0.05
COPY_INTERVAL_S = 0.25  # time between two copies of the store
MAX_COPIES = 48


class Store:
    """Key-value store with revisions, leases and watches. It can be restored from an older copy of its data."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.last_lease = 100
        self.changed = asyncio.Event()
        self.mode = "up"
        self.era = 1
        self.copies = []  # (time, items, leases, revision, last lease), oldest first

    async def take_copies(self):
        while True:
            self.copies = self.copies[1 - MAX_COPIES:] + [
                (time.monotonic(), dict(self.items), dict(self.leases), self.revision, self.last_lease)]
            await asyncio.sleep(COPY_INTERVAL_S)

    def restore(self, age_s):
        """Goes back to the newest copy that is `age_s` old, or the oldest. Revisions and lease ids are given out again."""
        now = time.monotonic()
        while len(self.copies) > 1 and now - self.copies[-1][0] < age_s:
            self.copies.pop()
        taken, items, leases, self.revision, self.last_lease = self.copies[-1]
        self.items = dict(items)
        self.leases = {it: (ttl, until + now - taken) for it, (ttl, until) in leases.items()}
        self.era += 1
        self.drop_watch_history()
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created_revision = self.items[key]["created_revision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value.encode()).decode(), "revision": self.revision,
                           "created_revision": created_revision, "lease": lease}
        self.add_event(dict(self.items[key]))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.add_event({"key": key, "revision": self.revision, "removed": True})

    def add_event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_watch_history(self):
        """Forgets all events, so that watches from an older revision get 410."""
        self.history = [{"key": "-", "revision": self.revision, "removed": True, "gap": True}]

    async def expire_leases(self):
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            now = time.monotonic()
            for lease in [it for it, (_, until) in self.leases.items() if until < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [it["key"] for it in self.items.values() if it["lease"] == lease]:
            self.remove(key)

    async def handle_request(self, method, path, query, body):
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/api/kv-range":
            items = [it for key, it in sorted(self.items.items())
                     if key.startswith(query.get("prefix", "")) and key > query.get("after", "")]
            return 200, {"items": items[:50], "has_more": len(items) > 50, "at": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            return self.run_transaction(body)
        if path == "/api/kv-lease":
            self.last_lease += 1
            ttl = max(body["ttl_ms"], 1000)
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/api/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {"error": "unknown path"}

    async def watch(self, query):
        """Long poll: answers once there are events after a revision, or when the wait is over."""
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            gap = [it for it in self.history if it.get("gap")]
            if (gap and after < gap[0]["revision"]) or after > self.revision:
                return 410, {}
            events = [it for it in self.history if it["revision"] > after and it["key"].startswith(query["prefix"])
                      and not it.get("gap")]
            if events or time.monotonic() >= until:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass

    def run_transaction(self, body):
        """Applies all writes and deletes if every expected revision is current, else answers 412 with the items."""
        for it in body["expect"]:
            current_revision = self.items.get(it["key"], {}).get("revision", 0)
            if current_revision != it["revision"]:
                return 412, {"items": [self.items[k["key"]] for k in body["expect"] if k["key"] in self.items]}
        for it in body["writes"]:
            if it.get("lease") and it["lease"] not in self.leases:
                return 404, {}
        for it in body["writes"]:
            self.put(it["key"], base64.b64decode(it["value"]).decode(), it.get("lease", 0))
        for key in body.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Group:
    """The members of one service, their shared log and the promotion of a primary.

    `fenced`: whether a replaced primary stops at once. If not, it serves for DEMOTION_DELAY_S longer, and a promotion
    call with a lower fencing token than an earlier one is a violation; with fencing it is only refused.
    `first_term`: term of the first primary.
    """

    def __init__(self, name, members, connections, fenced, first_term):
        self.name = name
        self.fenced = fenced
        self.connections = connections
        self.members = {it: Member(it, self) for it in members}
        self.primary = members[0]
        self.first_term = self.term = first_term
        self.log = []  # (position, time, [statement id of each write])
        self.discarded_commits = []  # entries of the log that a promoted member did not have
        self.executions = []
        self.synchronous = False  # whether a commit is acknowledged only once a replica has received it
        self.fence_holders = {}  # fencing token: its first holder
        self.highest_fence = 0
        self.violations = []
        self.stray_writes = []  # ids of writes that a replaced primary accepted
        self.signatures = {}  # statement id: signatures of its executions

    def position_at(self, count):
        """Returns the position of the log's first `count` entries."""
        return self.log[count - 1][0] if count else (self.first_term, 0)

    def count_applied(self, member):
        """Returns how many entries of the log the member has applied by now."""
        if member.name == self.primary:
            return len(self.log)
        if member.is_stale_primary():
            return min(member.applied_count, len(self.log))
        now = time.monotonic()
        newest = member.received_count if self.synchronous else len(self.log)
        while (member.applied_count < newest
               and self.log[member.applied_count][1] + REPLICATION_LAG_S * member.lag_factor < now):
            member.applied_count += 1
        return member.applied_count

    async def replicate(self):
        """Lets the replicas receive the log, each with its own lag; needed if the group is synchronous."""
        while True:
            primary, now = self.members.get(self.primary), time.monotonic()
            for it in self.members.values():
                if it is primary:
                    it.received_count = len(self.log)
                while (primary and primary.up and it.up and not it.paused and it.received_count < len(self.log)
                       and self.log[it.received_count][1] + it.receive_lag_s < now):
                    it.received_count += 1
            await asyncio.sleep(RECEIVE_CHECK_INTERVAL_S)

    async def await_replica(self, term, count):
        """Returns whether the first `count` entries of the log, the last of `term`, may be acknowledged."""
        while self.synchronous and not any(
                it.received_count >= count for name, it in self.members.items() if name != self.primary):
            await asyncio.sleep(RECEIVE_CHECK_INTERVAL_S)
            if self.term != term:
                return False
        return self.term == term

    def commit(self, member, writes):
        if member.is_stale_primary():
            self.stray_writes += writes
            member.stale_number += 1
            return
        position = (self.term, (self.log[-1][0][1] if self.log else 0) + 1)
        self.log.append((position, time.monotonic(), writes))

    def promote(self, name):
        """Makes a member the primary of a new term. Unfenced, the old primary serves for a while longer."""
        target = self.members[name]
        if not target.up or name == self.primary:
            return
        kept = len(self.log) if not target.replication_blocked else self.count_applied(target)
        if self.synchronous:
            kept = target.received_count
        old_primary = self.members.get(self.primary)
        if not self.fenced and old_primary is not None and old_primary.up:
            old_primary.stale_primary_until = time.monotonic() + DEMOTION_DELAY_S
            old_primary.stale_term, old_primary.stale_number, old_primary.applied_count = (
                self.term, self.log[-1][0][1] if self.log else 0, kept)
        self.discarded_commits += self.log[kept:]
        self.log = self.log[:kept]
        self.term += 1
        self.primary = name
        target.stale_primary_until = 0
        for it in self.members.values():
            it.applied_count = min(it.applied_count, kept)
            it.received_count = min(it.received_count, kept)
            it.paused = 0

    async def handle_promotion(self, body, headers):
        """Schedules a promotion, or refuses it with 409 if its fencing token is too low or the member is down."""
        fence, holder = int(headers["fencing-token"]), headers["duty-holder"]
        if self.fence_holders.setdefault(fence, holder) != holder:
            self.violations.append(f"fencing token {fence} was used by both {self.fence_holders[fence]} and {holder}")
        if fence < self.highest_fence and self.fenced:
            return 409, {}
        if fence < self.highest_fence and "carried-out-late" not in headers:
            self.violations.append(
                f"fencing token {fence} of {holder} was used after the higher token {self.highest_fence}")
        self.highest_fence = max(fence, self.highest_fence)
        member = body["identifier"]
        if member not in self.members or not self.members[member].up:
            return 409, {}
        asyncio.get_running_loop().call_later(PROMOTION_DELAY_S, self.promote, member)
        return 200, {}


class Session:
    """State of one connection to a member."""

    def __init__(self):
        self.values = {}
        self.prepared = {}
        self.state = "I"  # I: idle, T: in a transaction, E: in a failed transaction
        self.read_only = False
        self.term = 0
        self.writes = []  # statement ids of the open transaction's writes


class Member:
    """One member: its port, the part of the log that it has applied and its sessions."""

    def __init__(self, name, group):
        self.name = name
        self.group = group
        self.up = True
        self.replication_blocked = False
        self.lag_factor = 1.0  # multiple of REPLICATION_LAG_S
        self.applied_count = 0
        self.received_count = 0  # of a synchronous group
        self.receive_lag_s = 0.002
        self.answers_to_lose = 0
        self.refused_share = 0.0  # of its statements, of any kind; BUSY means that there was no run
        self.paused = 0
        self.stale_primary_until = 0  # until then it serves as primary though it was replaced
        self.stale_term = self.stale_number = 0
        self.service_time_s = 0.002
        self.open_connections = 0
        self.writers = set()
        self.port = 0

    def is_stale_primary(self):
        return self.up and time.monotonic() < self.stale_primary_until

    def is_primary(self):
        """Whether the member serves as primary, rightly or as a stale one."""
        return self.group.primary == self.name or self.is_stale_primary()

    def term(self):
        return self.stale_term if self.is_stale_primary() else self.group.term

    def demote(self, term):
        """Stops serving as primary of a term before `term`."""
        if self.is_stale_primary() and self.stale_term < term:
            self.stale_primary_until = 0
        elif self.group.primary == self.name and self.group.term < term:
            self.group.primary = ""
            self.applied_count = len(self.group.log)

    def pause(self, term):
        """Stops receiving ahead of a promotion. Without effect for a term that the member has reached."""
        if not self.is_primary() and term > self.term():
            self.paused = term

    def crash(self):
        self.up = False
        self.paused = self.stale_primary_until = 0
        for it in list(self.writers):
            it.transport.abort()

    async def serve(self, reader, writer):
        if not self.up:
            writer.transport.abort()
            return
        self.writers.add(writer)
        self.open_connections += 1
        try:
            await self.serve_session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.open_connections -= 1
            self.writers.discard(writer)
            writer.close()

    async def serve_session(self, reader, writer):
        """Answers the opening line and then statements, until the connection ends."""
        opening = (await reader.readuntil(b"\r\n")).decode().split()
        if opening[:2] != ["START", self.group.name] or opening[3:] != [self.name]:
            writer.write(b"ERROR WRONGNODE -\r\n")
            return
        if self.open_connections > self.group.connections:
            writer.write(b"ERROR TOOMANY -\r\n")
            return
        session = Session()
        writer.write(f"READY I {self.position()}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            _, statement, text = line.split(" ", 2)
            before, term = len(self.group.log), self.group.term
            lines, takes_time = self.run_statement(session, statement, text)
            after = len(self.group.log)
            if takes_time:
                await asyncio.sleep(self.service_time_s * random.uniform(0.5, 2))
                if self.answers_to_lose > 0:
                    self.answers_to_lose -= 1
                    continue
            if self.group.synchronous and after > before and not await self.group.await_replica(term, after):
                lines = [f"ERROR UNKNOWN {self.name}"]
            out = "".join(it + "\r\n" for it in lines)
            writer.write((out + f"READY {session.state} {self.position()}\r\n").encode())
            await writer.drain()

    def position(self):
        """Returns "TERM.NUMBER" of the last commit that the member has."""
        if self.is_stale_primary():
            return f"{self.stale_term}.{self.stale_number}"
        term, number = self.group.position_at(self.group.count_applied(self))
        return f"{term}.{number}"

    def fail_statement(self, session, word):
        """Returns the answer for an error, which also fails an open transaction."""
        if session.state == "T":
            session.state = "E"
        return [f"ERROR {word} {self.name}"], False

    def has_applied(self, position):
        """Whether the member has the commit at `position`, "TERM.NUMBER"; every member has number 0."""
        term, number = map(int, position.split("."))
        return number == 0 or any(it[0] == (term, number) for it in self.group.log[:self.group.count_applied(self)])

    def run_statement(self, session, statement, text):
        """Returns the lines of the answer, and whether it takes service time and may be lost."""
        if self.refused_share and random.random() < self.refused_share:
            return self.fail_statement(session, "BUSY")
        words = text.split(" ")
        if words[0] == "AFTER":
            if not self.has_applied(words[1]):
                return self.fail_statement(session, "LAGGING")
            words = words[2:]
        text = " ".join(words)
        is_primary = self.is_primary()
        verb = words[0]
        if verb == "BEGIN":
            session.read_only = words[1:] == ["READ"]
            if not session.read_only and not is_primary:
                return self.fail_statement(session, "READONLY")
            session.state, session.term, session.writes = "T", self.term(), []
        elif verb == "ROLLBACK":
            session.state, session.writes = "I", []
        elif verb == "SET":
            session.values[words[1]] = " ".join(words[2:])
        elif verb == "PREPARE":
            session.prepared[words[1]] = (words[2], words[3])
        elif verb == "RESET":
            session.values, session.prepared = {}, {}
        elif verb in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            if verb == "DEMOTE":
                self.demote(int(words[1]))
            elif verb == "PAUSE":
                self.pause(int(words[1]))
            elif verb == "RESUME":
                self.paused = 0
            role = "primary" if self.is_primary() else "replica"
            return [f"ROW {role} {self.term()} {self.position()} {self.paused} 1 1 {self.open_connections}",
                    "DONE -"], False
        else:
            return self.run_data_statement(session, statement, text, words, is_primary)
        return ["DONE -"], False

    def run_data_statement(self, session, statement, text, words, is_primary):
        """Runs a statement that reads, writes or commits, and records its execution."""
        if session.state == "E":
            return self.fail_statement(session, "MALFORMED")
        verb, shape, writes = words[0], "", words[0] == "WRITE"
        if verb == "EXECUTE":
            if words[1] not in session.prepared:
                return self.fail_statement(session, "NOSTMT")
            access, shape = session.prepared[words[1]]
            writes = access == "WRITE"
        commits = verb == "COMMIT"
        lost_transaction = (session.state == "T" and not session.read_only
                            and (not is_primary or session.term != self.term())
                            and not (commits and not session.writes))
        if lost_transaction or (writes and (not is_primary or session.read_only)):
            return self.fail_statement(session, "READONLY")
        self.group.executions.append({"id": statement, "member": self.name, "text": text,
                                      "values": dict(session.values), "shape": shape,
                                      "applied": self.group.count_applied(self), "commits": commits,
                                      "writes": writes})
        if writes and session.state == "T":
            session.writes.append(statement)
        elif writes:
            self.group.commit(self, [statement])
        elif commits:
            session.state = "I"
            if session.writes:
                self.group.commit(self, session.writes)
            session.writes = []
        signature = f"{self.name}.{random.getrandbits(40):x}"
        self.group.signatures.setdefault(statement, set()).add(signature)
        rows = [] if writes or commits else [f"ROW {statement}-row"]
        return rows + [f"DONE {signature}"], True


async def run_late(handler, method, path, query, body, headers):
    await asyncio.sleep(random.uniform(0.5, 4.5))
    await handler(method, path, query, body, {**headers, "carried-out-late": "yes"})


async def serve_http(handler, mode, reader, writer, extra_headers=dict):
    """Answers HTTP requests on one connection; `extra_headers()` returns further headers of an answer.

    `mode()` returns how the service behaves at each request: "up", "slow" (0.3 s late), "silent" (no answer),
    "refusing" (503), "lossy" (loses 40% of the answers to requests other than GET, after their effect) or "late" (no
    answer, and an effect 0.5 to 4.5 s later).
    """
    late = set()
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            method, target, _ = head[0].split(" ")
            headers = {k.lower(): v.strip() for k, v in (it.split(":", 1) for it in head[1:] if it)}
            raw = await reader.readexactly(int(headers.get("content-length", 0)))
            parsed = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
            behaviour = mode()
            if behaviour == "silent":
                await asyncio.sleep(3)
                break
            if behaviour == "late":
                late.add(asyncio.create_task(run_late(handler, method, parsed.path, query, json.loads(raw), headers)))
                await asyncio.sleep(3)
                break
            if behaviour == "slow":
                await asyncio.sleep(0.3)
            if behaviour == "refusing":
                status, body = 503, {}
            else:
                status, body = await handler(method, parsed.path, query, json.loads(raw) if raw else {}, headers)
            if behaviour == "lossy" and method != "GET" and random.random() < 0.4:
                break
            text = json.dumps(body).encode()
            extra = "".join(f"{name}: {value}\r\n" for name, value in extra_headers().items())
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{extra}"
                         f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        writer.close()
