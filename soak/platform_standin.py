"""Stand-in of the platform on loopback: key-value store, members of one group, promotion calls.

Every run at a member is recorded, so that the clients' answers can be held against it.
"""
import asyncio
import base64
import json
import random
import time
import urllib.parse

APPLY_LAG_S = 0.03
# Time after which a replaced primary learns of its successor.
LEARNS_S = 1.0
PROMOTION_S = 0.5
LEASE_TICK_S = 0.05


class Store:
    """Key-value store with revisions, leases and watches."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.last_lease = 100
        self.changed = asyncio.Event()
        self.mode = "up"  # up, refusing, silent, lossy

    def put(self, key, value, lease=0):
        self.revision += 1
        made = self.items[key]["created_revision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value.encode()).decode(), "revision": self.revision,
                           "created_revision": made, "lease": lease}
        self.record(dict(self.items[key]))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.record({"key": key, "revision": self.revision, "removed": True})

    def record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        self.history = [{"key": "-", "revision": self.revision, "removed": True, "gap": True}]

    async def run_leases(self):
        while True:
            await asyncio.sleep(LEASE_TICK_S)
            now = time.monotonic()
            for lease in [it for it, (_, until) in self.leases.items() if until < now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [it["key"] for it in self.items.values() if it["lease"] == lease]:
            self.remove(key)

    async def handle(self, method, path, query, body):
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
            return self.transact(body)
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
        after = int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            gap = [it for it in self.history if it.get("gap")]
            if gap and after < gap[0]["revision"]:
                return 410, {}
            events = [it for it in self.history if it["revision"] > after and it["key"].startswith(query["prefix"])
                      and not it.get("gap")]
            if events or time.monotonic() >= until:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for it in body["expect"]:
            held = self.items.get(it["key"], {}).get("revision", 0)
            if held != it["revision"]:
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
    """Logs and leads of the members of one service."""

    def __init__(self, name, members, connections, fenced):
        self.name = name
        self.fenced = fenced
        self.connections = connections
        self.members = {it: Member(it, self) for it in members}
        self.primary = members[0]
        self.term = 1
        self.log = []  # (place, time, [(write id, item, data)])
        self.cut = []  # commits that promotions cut off
        self.runs = []
        self.fences = {}
        self.highest_fence = 0
        self.broken = []
        self.strays = []  # writes that a replaced primary took
        self.signatures = {}

    def place(self, count):
        return self.log[count - 1][0] if count else (1, 0)

    def applied(self, member):
        if member.name == self.primary:
            return len(self.log)
        if member.goes_on():
            return min(member.count, len(self.log))
        now = time.monotonic()
        while member.count < len(self.log) and self.log[member.count][1] + APPLY_LAG_S * member.lag < now:
            member.count += 1
        return member.count

    def commit(self, member, writes):
        if member.goes_on():
            self.strays += writes
            member.own_number += 1
            return
        place = (self.term, (self.log[-1][0][1] if self.log else 0) + 1)
        self.log.append((place, time.monotonic(), writes))

    def take_over(self, member):
        target = self.members[member]
        if not target.up or member == self.primary:
            return
        kept = len(self.log) if not target.deaf else self.applied(target)
        before = self.members.get(self.primary)
        if not self.fenced and before is not None and before.up:
            before.goes_on_until = time.monotonic() + LEARNS_S
            before.own_term, before.own_number, before.count = self.term, self.log[-1][0][1] if self.log else 0, kept
        self.cut += self.log[kept:]
        self.log = self.log[:kept]
        self.term += 1
        self.primary = member
        target.goes_on_until = 0
        for it in self.members.values():
            it.count = min(it.count, kept)
            it.paused = 0

    async def order(self, body, headers):
        fence, holder = int(headers["fencing-token"]), headers["duty-holder"]
        if self.fences.setdefault(fence, holder) != holder:
            self.broken.append(f"fencing token {fence} used by {self.fences[fence]} and {holder}")
        if fence < self.highest_fence:
            if not self.fenced:
                self.broken.append(f"fencing token {fence} of {holder} after {self.highest_fence}")
            return 409, {}
        self.highest_fence = fence
        member = body["identifier"]
        if member not in self.members or not self.members[member].up:
            return 409, {}
        asyncio.get_running_loop().call_later(PROMOTION_S, self.take_over, member)
        return 200, {}


class Session:
    """One connection to a member."""

    def __init__(self):
        self.values = {}
        self.prepared = {}
        self.state = "I"
        self.read_only = False
        self.term = 0
        self.writes = []


class Member:
    """One member: its address, its part of the log, its sessions."""

    def __init__(self, name, group):
        self.name = name
        self.group = group
        self.up = True
        self.deaf = False
        self.lag = 1.0
        self.count = 0
        self.lose = 0
        self.paused = 0
        self.goes_on_until = 0  # a replaced primary that does not know it
        self.own_term = self.own_number = 0
        self.work_s = 0.002
        self.open = 0
        self.writers = set()
        self.port = 0

    def goes_on(self):
        return self.up and time.monotonic() < self.goes_on_until

    def leads(self):
        return self.group.primary == self.name or self.goes_on()

    def term(self):
        return self.own_term if self.goes_on() else self.group.term

    def demote(self, term):
        if self.goes_on() and self.own_term < term:
            self.goes_on_until = 0
        elif self.group.primary == self.name and self.group.term < term:
            self.group.primary = ""
            self.count = len(self.group.log)

    def crash(self):
        self.up = False
        self.paused = self.goes_on_until = 0
        for it in list(self.writers):
            it.transport.abort()

    async def serve(self, reader, writer):
        if not self.up:
            writer.transport.abort()
            return
        self.writers.add(writer)
        self.open += 1
        try:
            await self.converse(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.open -= 1
            self.writers.discard(writer)
            writer.close()

    async def converse(self, reader, writer):
        hello = (await reader.readuntil(b"\r\n")).decode().split()
        if hello[:2] != ["START", self.group.name] or hello[3:] != [self.name]:
            writer.write(b"ERROR WRONGNODE -\r\n")
            return
        if self.open > self.group.connections:
            writer.write(b"ERROR TOOMANY -\r\n")
            return
        session = Session()
        writer.write(f"READY I {self.position()}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            _, statement, text = line.split(" ", 2)
            lines, slow = self.run(session, statement, text)
            if slow:
                await asyncio.sleep(self.work_s * random.uniform(0.5, 2))
                if self.lose > 0:
                    self.lose -= 1
                    continue
            out = "".join(it + "\r\n" for it in lines)
            writer.write((out + f"READY {session.state} {self.position()}\r\n").encode())
            await writer.drain()

    def position(self):
        if self.goes_on():
            return f"{self.own_term}.{self.own_number}"
        term, number = self.group.place(self.group.applied(self))
        return f"{term}.{number}"

    def fail(self, session, word):
        if session.state == "T":
            session.state = "E"
        return [f"ERROR {word} {self.name}"], False

    def holds(self, place):
        term, number = map(int, place.split("."))
        return number == 0 or any(it[0] == (term, number) for it in self.group.log[:self.group.applied(self)])

    def run(self, session, statement, text):
        words = text.split(" ")
        if words[0] == "AFTER":
            if not self.holds(words[1]):
                return self.fail(session, "LAGGING")
            words = words[2:]
        text = " ".join(words)
        leads = self.leads()
        verb = words[0]
        if verb == "BEGIN":
            session.read_only = words[1:] == ["READ"]
            if not session.read_only and not leads:
                return self.fail(session, "READONLY")
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
            elif verb != "STATUS":
                self.paused = int(words[1]) if verb == "PAUSE" else 0
            role = "primary" if self.leads() else "replica"
            return [f"ROW {role} {self.term()} {self.position()} {self.paused} 1 1 {self.open}", "DONE -"], False
        else:
            return self.run_data(session, statement, text, words, leads)
        return ["DONE -"], False

    def run_data(self, session, statement, text, words, leads):
        if session.state == "E":
            return self.fail(session, "MALFORMED")
        verb, shape, writes = words[0], "", words[0] == "WRITE"
        if verb == "EXECUTE":
            if words[1] not in session.prepared:
                return self.fail(session, "NOSTMT")
            access, shape = session.prepared[words[1]]
            writes = access == "WRITE"
        commits = verb == "COMMIT"
        lost = (session.state == "T" and not session.read_only and (not leads or session.term != self.term())
                and not (commits and not session.writes))
        if lost or (writes and (not leads or session.read_only)):
            return self.fail(session, "READONLY")
        self.group.runs.append({"id": statement, "member": self.name, "text": text, "values": dict(session.values),
                                "shape": shape, "applied": self.group.applied(self), "commits": commits,
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


async def serve_http(handler, mode, reader, writer):
    """Answers requests on one connection; `mode()` says how the service behaves."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            method, target, _ = head[0].split(" ")
            headers = {k.lower(): v.strip() for k, v in (it.split(":", 1) for it in head[1:] if it)}
            raw = await reader.readexactly(int(headers.get("content-length", 0)))
            parsed = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
            how = mode()
            if how == "silent":
                await asyncio.sleep(3)
                break
            if how == "slow":
                await asyncio.sleep(0.3)
            if how == "refusing":
                status, body = 503, {}
            else:
                status, body = await handler(method, parsed.path, query, json.loads(raw) if raw else {}, headers)
            if how == "lossy" and method != "GET" and random.random() < 0.4:
                break
            text = json.dumps(body).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
                         .encode() + text)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        writer.close()
