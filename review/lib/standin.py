"""Stand-ins on loopback for the review's scripts: the platform's store, its promotion service, the members of one
database group, and the processes of the gateway.

Everything follows the users' pages (PROTOCOL.md, DEPLOY.md). Each event goes into the record, one line each, with the
seconds since the start.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

# A script ends before the limit of 120 s.
LONGEST_S = 105
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **fields):
        if self.file.closed:
            return
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


def is_free(port):
    with socket.socket() as it:
        try:
            it.bind(("127.0.0.1", port))
            return True
        except OSError:
            return False


def take_free_ports(count, in_a_row=False):
    """Returns ports on 127.0.0.1 that nothing listens on, below those that outgoing connections get."""
    while True:
        first = random.randrange(12000, 30000)
        ports = range(first, first + count) if in_a_row else random.sample(range(12000, 30000), count)
        if all(is_free(it) for it in ports):
            return list(ports)


async def serve_http(handler, reader, writer):
    """Answers the requests of one connection. `handler` returns (status, body), or None to close without an answer."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            method, target, _ = head[0].split(" ")
            headers = {k.lower(): v.strip() for k, v in (it.split(":", 1) for it in head[1:] if it)}
            raw = await reader.readexactly(int(headers.get("content-length", 0)))
            parsed = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
            answer = await handler(method, parsed.path, query, json.loads(raw) if raw else {}, headers)
            if answer is None:
                break
            status, body = answer
            text = json.dumps(body).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
                         .encode() + text)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


class Store:
    """The platform's store: keys with revisions, watches, transactions and leases."""

    ANSWER_S = 0.004

    def __init__(self):
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.last_lease = 1, 100
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created_revision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "created_revision": created, "lease": lease}
        self._add_event(dict(self.items[key]))

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._add_event({"key": key, "revision": self.revision, "removed": True})

    def _add_event(self, event):
        self.history.append((time.monotonic(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [it for it, (_, until) in self.leases.items() if until < now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [it["key"] for it in self.items.values() if it["lease"] == lease]:
            self.remove(key)

    async def handle(self, method, path, query, body, _headers):
        await asyncio.sleep(self.ANSWER_S)
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/api/kv-range":
            items = [it for key, it in sorted(self.items.items())
                     if key.startswith(query.get("prefix", "")) and key > query.get("after", "")]
            return 200, {"items": items[:500], "has_more": len(items) > 500, "at": self.revision}
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._transact(body)
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
            self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {"error": "unknown path"}

    async def _watch(self, query):
        after, until = int(query["after"]), time.monotonic() + min(int(query["wait_ms"]), 30000) / 1000
        while True:
            events = [it for _, it in self.history if it["revision"] > after and it["key"].startswith(query["prefix"])]
            if events or time.monotonic() >= until:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), max(until - time.monotonic(), 0))
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        for it in body.get("expect", []):
            if self.items.get(it["key"], {}).get("revision", 0) != it["revision"]:
                return 412, {"items": [self.items[k["key"]] for k in body["expect"] if k["key"] in self.items]}
        for it in body.get("writes", []):
            if it.get("lease") and it["lease"] not in self.leases:
                return 404, {}
        for it in body.get("writes", []):
            self.put(it["key"], base64.b64decode(it["value"]), it.get("lease", 0))
        for key in body.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Session:
    """State of one connection to a member."""

    def __init__(self):
        self.values, self.prepared = {}, {}
        self.state, self.read_only, self.term, self.writes = "I", False, 0, []


class Member:
    """One member: its own log, its role and its sessions."""

    STATUS_S = 0.0005

    def __init__(self, name, zone, group):
        self.name, self.zone, self.group = name, zone, group
        self.port = take_free_ports(1)[0]
        self.up, self.server, self.writers = False, None, set()
        self.log = [(group.term, 1)]  # (term, number)
        self.term, self.leads, self.paused = group.term, False, 0
        self.busy, self.waiting, self.slot_free = 0, 0, asyncio.Condition()
        self.connections = 0
        self.born = 0
        self.sequence = 0
        self.work_s = lambda: random.uniform(0.002, 0.01)
        self.status_s = self.STATUS_S
        self.stale_until = None  # when a replaced primary learns of its successor
        self.light = asyncio.Event()  # not set while the member is dark: silent, though its connections stay open
        self.light.set()

    async def start(self):
        self.up, self.born = True, int(time.time() * 1000)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 21)
        self.publish()

    async def crash(self):
        """The process ends at once. Its log stays."""
        self.up, self.paused = False, 0
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()
        self.group.record.note("member-crashes", member=self.name)

    async def restart(self):
        """Comes back with its log, as replica if another member was promoted."""
        if self.group.primary is not self:
            self._follow()
        await self.start()
        self.group.record.note("member-back", member=self.name, role=self.role(), term=self.term)

    def go_dark(self):
        self.light.clear()
        self.group.record.note("member-dark", member=self.name)

    def end_dark(self):
        if self.group.primary is not self and self.leads:
            self.lose_lead()
        self.light.set()
        self.publish()
        self.group.record.note("member-back", member=self.name, role=self.role(), term=self.term)

    def is_alive(self):
        return self.up and self.light.is_set()

    def role(self):
        return "primary" if self.leads else "replica"

    def position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}"

    def publish(self):
        """Writes the member's entry to the store, as at each ping and each change of role."""
        self.sequence += 1
        self.group.store.put(f"servers/{self.name}", json.dumps({
            "service": self.group.name, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
            "slots": self.group.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": self.sequence,
            "born": self.born, "database_role": self.role()}).encode())

    def _follow(self):
        """Becomes a replica of the group's primary and discards what that one lacks."""
        self.leads, self.stale_until, self.term = False, None, self.group.term
        known = set(self.group.primary.log)
        while self.log[-1] not in known:
            self.log.pop()

    def lose_lead(self):
        self._follow()
        self.group.record.note("member-now-replica", member=self.name, term=self.term)
        if self.up:
            self.publish()

    def demote(self, term):
        if self.leads and self.term < term:
            if self.group.primary is self:
                self.leads = False
                self.group.record.note("member-demoted", member=self.name, term=term)
                self.publish()
            else:
                self.lose_lead()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.connections += 1
        try:
            await self._serve_session(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()

    async def _take_slot(self):
        """Waits for a slot; returns False if the queue is full."""
        if self.waiting >= self.group.queue:
            return False
        async with self.slot_free:
            self.waiting += 1
            await self.slot_free.wait_for(lambda: self.busy < self.group.slots)
            self.waiting -= 1
            self.busy += 1
        return True

    async def _free_slot(self):
        async with self.slot_free:
            self.busy -= 1
            self.slot_free.notify()

    async def _serve_session(self, reader, writer):
        opening = (await reader.readuntil(b"\r\n")).decode().split()
        if opening[:2] != ["START", self.group.name] or opening[3:] not in ([], [self.name]):
            writer.write(b"ERROR WRONGNODE -\r\n")
            await writer.drain()
            return
        if self.connections > self.group.connection_limit:
            writer.write(b"ERROR TOOMANY -\r\n")
            await writer.drain()
            return
        await asyncio.sleep(self.group.handshake_s)
        await self.light.wait()
        session = Session()
        writer.write(f"READY I {self.position()}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            await self.light.wait()
            _, statement, text = line.split(" ", 2)
            lines = await self._run(session, statement, text)
            out = "".join(it + "\r\n" for it in lines) + f"READY {session.state} {self.position()}\r\n"
            writer.write(out.encode())
            await writer.drain()

    def _fail(self, session, code):
        if session.state == "T":
            session.state = "E"
        return [f"ERROR {code} {self.name}"]

    async def _run(self, session, statement, text):
        words = text.split(" ")
        after = None
        if words[0] == "AFTER":
            after = tuple(int(it) for it in words[1].split("."))
            words = words[2:]
        verb = words[0]
        if verb == "ROLLBACK":
            session.state, session.writes = "I", []
            return ["DONE -"]
        if session.state == "E":
            return self._fail(session, "MALFORMED")
        if verb == "SET":
            session.values[words[1]] = " ".join(words[2:])
            return ["DONE -"]
        if verb == "PREPARE":
            session.prepared[words[1]] = words[2]
            return ["DONE -"]
        if verb == "DEALLOCATE":
            session.prepared.pop(words[1], None)
            return ["DONE -"]
        if verb == "RESET":
            session.values, session.prepared = {}, {}
            return ["DONE -"]
        if verb == "RESUME":
            self.paused = 0
            return self._status()
        if verb == "PAUSE":
            self.group.on_pause(self)
            takes = not self.leads and int(words[1]) > self.term
            if takes:
                self.paused = int(words[1])
            self.group.record.note("pause", member=self.name, term=words[1], newest_term=self.term,
                                   position=self.position(), effect="paused" if takes else "none")
            return self._status()
        if verb == "DEMOTE":
            self.demote(int(words[1]))
            return self._status()
        if verb == "BEGIN":
            session.read_only = words[1:] == ["READ"]
            if after and after not in self.log:
                return self._fail(session, "LAGGING")
            if not session.read_only and not self.leads:
                return self._fail(session, "READONLY")
            session.state, session.term, session.writes = "T", self.term, []
            return ["DONE -"]
        if verb != "STATUS":
            self.group.arrivals.setdefault(statement, self.group.record.now())
            self.group.record.note("at-member", member=self.name, id=statement)
        if not await self._take_slot():
            return self._fail(session, "BUSY")
        try:
            if verb == "STATUS":
                await asyncio.sleep(self.status_s)
                return self._status()
            await asyncio.sleep(self.work_s())
            await self.light.wait()
            return self._run_data(session, statement, words, after)
        finally:
            await self._free_slot()

    def _status(self):
        return [f"ROW {self.role()} {self.term} {self.position()} {self.paused} 0 {self.busy} {self.connections}",
                "DONE -"]

    def _run_data(self, session, statement, words, after):
        if after and after not in self.log:
            return self._fail(session, "LAGGING")
        verb = words[0]
        writes = verb == "WRITE"
        if verb == "EXECUTE":
            if words[1] not in session.prepared:
                return self._fail(session, "NOSTMT")
            writes = session.prepared[words[1]] == "WRITE"
        commits = verb == "COMMIT"
        lost = (session.state == "T" and not session.read_only and (not self.leads or session.term != self.term)
                and not (commits and not session.writes))
        if lost or (writes and (not self.leads or session.read_only)):
            return self._fail(session, "READONLY")
        self.group.note_run(self, statement, words)
        mac = f"{random.getrandbits(48):x}"
        self.group.macs.setdefault(statement, set()).add(mac)
        if writes and session.state == "T":
            session.writes.append(statement)
        elif writes:
            self._commit([statement])
        elif commits:
            session.state = "I"
            if session.writes:
                self._commit(session.writes)
            session.writes = []
        rows = [] if writes or commits else [f"ROW {statement}-row"]
        return rows + [f"DONE {mac}"]

    def _commit(self, writes):
        self.log.append((self.term, self.log[-1][1] + 1))
        self.group.note_commit(self, writes)


class Group:
    """The members of one service, the replication between them and the platform's promotions."""

    def __init__(self, name, store, record, *, fenced, slots=5, queue=40, connection_limit=34, handshake_s=0.012,
                 lag_s=0.06, promote_s=0.6, synchronous_replicas=0):
        self.name, self.store, self.record, self.fenced = name, store, record, fenced
        self.slots, self.queue, self.connection_limit = slots, queue, connection_limit
        self.handshake_s, self.lag_s, self.promote_s = handshake_s, lag_s, promote_s
        self.synchronous_replicas = synchronous_replicas
        self.term = 3
        self.members, self.primary = {}, None
        self.macs = {}  # statement: MACs that members gave for it
        self.arrivals = {}  # statement: when it first reached a member
        self.runs = {}  # statement: [(time, member)]
        self.commits = []  # (time, member, term, [statement], number)
        self.promotions = []  # (time it took effect, member, old primary, term)
        self.highest_fence = 0
        self.fences = []  # (time, holder, fence, member, executed)
        # Called for each promotion call with (holder, fence, member); returns None, or the seconds after which the
        # call, which gets no answer, is carried out.
        self.delay_order = lambda holder, fence, member: None
        self.on_pause = lambda member: None  # called for each PAUSE that a member receives

    def add_member(self, name, zone):
        self.members[name] = Member(name, zone, self)
        if self.primary is None:
            self.primary = self.members[name]
            self.primary.leads = True

    def note_run(self, member, statement, words):
        self.runs.setdefault(statement, []).append((self.record.now(), member.name))
        self.record.note("run", member=member.name, id=statement, text="_".join(words[:2]))

    def note_commit(self, member, writes):
        self.commits.append((self.record.now(), member.name, member.term, list(writes), member.log[-1][1]))
        self.record.note("commit", member=member.name, term=member.term, number=member.log[-1][1],
                         ids=",".join(writes))

    async def replicate(self):
        """Copies the primary's log to the replicas, `lag_s` late."""
        seen = []  # (time, log length) of the primary
        primary = None
        while True:
            await asyncio.sleep(0.01)
            if self.primary is not primary:
                primary, seen = self.primary, []
            if primary is None or not primary.is_alive():
                continue
            now = time.monotonic()
            seen.append((now, len(primary.log)))
            due = [it for it in seen if it[0] <= now - self.lag_s]
            seen = seen[len(due) - 1:] if due else seen
            if not due:
                continue
            for it in self.members.values():
                if it is not primary and it.is_alive() and not it.leads and not it.paused and len(it.log) < due[-1][1]:
                    it.term = self.term
                    it.log = primary.log[:due[-1][1]]

    async def keep_registered(self):
        """Refreshes the members' entries every 1.2 s and removes those that were silent for three pings."""
        last_up = {}
        while True:
            for it in self.members.values():
                if it.is_alive():
                    last_up[it.name] = time.monotonic()
                    it.publish()
                elif time.monotonic() - last_up.get(it.name, 0) > 3.6:
                    self.store.remove(f"servers/{it.name}")
            await asyncio.sleep(1.2)

    async def handle_cloud(self, method, path, _query, body, headers):
        if (method, path) != ("POST", "/promotion"):
            return 404, {}
        holder, fence, name = headers["duty-holder"], int(headers["fencing-token"]), body["identifier"]
        late = self.delay_order(holder, fence, name)
        self.record.note("promotion-call", holder=holder, fence=fence, member=name,
                         late=f"{late:.1f}s" if late else "no")
        if late:
            asyncio.get_running_loop().call_later(late, self._carry_out, holder, fence, name)
            await asyncio.sleep(30)
            return None
        return self._carry_out(holder, fence, name)

    def _carry_out(self, holder, fence, name):
        refused = (self.fenced and fence < self.highest_fence) or not self.members[name].up
        self.fences.append((self.record.now(), holder, fence, name, not refused))
        self.record.note("promotion-carried-out", holder=holder, fence=fence, member=name, refused=refused)
        self.highest_fence = max(self.highest_fence, fence)
        if refused:
            return 409, {}
        asyncio.get_running_loop().call_later(self.promote_s, self._promote, name)
        return 200, {}

    def _promote(self, name):
        target, old = self.members[name], self.primary
        if target is old or not target.up:
            return
        self.term += 1
        self.primary = target
        target.leads, target.term, target.paused, target.stale_until = True, self.term, 0, None
        self.promotions.append((self.record.now(), name, old.name, self.term))
        self.record.note("promoted", member=name, term=self.term, old=old.name, position=target.position())
        for it in self.members.values():
            if it in (target, old):
                continue
            it.paused = 0
            if it.up:
                it._follow()
        if not old.up or not old.leads:
            if old.up:
                old._follow()
        elif self.fenced:
            old.lose_lead()
        else:
            # It goes on until DEMOTE, or a second after it can reach the new primary.
            asyncio.get_running_loop().call_later(1.0, lambda: old.leads and self.primary is not old and old.up
                                                  and old.lose_lead())
        target.publish()


class Gateway:
    """One process of the gateway, on a machine of its own as far as its settings tell."""

    def __init__(self, name, zone, folder, record, *, fenced, store_port, cloud_port, grace_s=6, zones=()):
        self.name, self.record, self.folder = name, record, folder
        front, ready, inner, _ = take_free_ports(4, in_a_row=True)
        self.front, self.ready = front, ready
        self.process = None
        self.settings = folder / f"{name}.json"
        self.settings.write_text(json.dumps({
            "node_name": name, "role": "gateway", "machine_class": "front", "serves": ["front"],
            "ip_address": "127.0.0.1", "zone": zone, "region": "region-1",
            "zones": {it: "region-1" for it in zones or [zone]},
            "listen_addresses": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "internal_ports": [inner, inner + 1], "seed_nodes": [], "first_start": False, "loss_counted": False,
            "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": 520, "fd_limit": 8400, "link_mbps": 2000.0,
                       "disk_mb": 0},
            "data_directory": None, "discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"seed_lag_s": 3, "address_reuse_s": 2, "stable_window_ms": 4000, "acknowledge_ms": 5000,
                       "catch_up_s": 4, "drain_ms": 7000, "grace_s": grace_s, "loss_slack_ms": 200,
                       "config_propagation_ms": 3000, "rollback_slack_ms": 250, "outer_bound_ms": 12000,
                       "recovery_s": 12, "fencing_required": fenced, "thaw_ms": 300},
            "platform": {"address": f"127.0.0.1:{store_port}", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": 1048576, "ttl_minimum_ms": 1000},
            "cloud": {"address": f"127.0.0.1:{cloud_port}", "rate_per_s": 50.0, "duties": ["promotion"],
                      "duty_per_s": 50.0}}))
        self.in_rotation = False
        self._misses = 0

    async def start(self):
        """Starts the process with the command of the deploy file, in the repository's root."""
        log = open(self.folder / f"{self.name}.log", "ab")
        env = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            "target/programs/kingcuplock-gateway", cwd=ROOT, stdout=log, stderr=log,
            env={**env, "KINGCUPLOCK_CONFIG": str(self.settings)})
        log.close()
        self.record.note("process-starts", node=self.name, pid=self.process.pid)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)
            self.record.note("signal", node=self.name, signal=signal.Signals(number).name)

    async def wait(self):
        code = await self.process.wait()
        self.record.note("process-ended", node=self.name, code=code)
        return code

    async def _ask_ready(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
        try:
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readuntil(b"\r\n")
        finally:
            writer.close()

    async def probe(self):
        """Asks once a second whether the process is ready, as the platform does; two misses end the rotation."""
        while True:
            ok = False
            try:
                ok = await asyncio.wait_for(self._ask_ready(), 0.9)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            self._misses = 0 if ok else self._misses + 1
            was, self.in_rotation = self.in_rotation, ok or (self.in_rotation and self._misses < 2)
            if was != self.in_rotation:
                self.record.note("rotation", node=self.name, takes_new_connections=self.in_rotation)
            await asyncio.sleep(1)


class Requester:
    """One session after another, each on a gateway in rotation."""

    def __init__(self, name, bed, database):
        self.name, self.bed, self.database = name, bed, database
        self.reader = self.writer = self.gateway = None
        self.count = 0

    async def open(self, gateway=None):
        choices = [gateway] if gateway else [it for it in self.bed.gateways if it.in_rotation]
        if not choices:
            return False
        self.gateway = random.choice(choices)
        try:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.gateway.front)
            self.writer.write(f"START {self.database} {self.name}\r\n".encode())
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2)).decode()
            if line.startswith("READY"):
                return True
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        self.close()
        return False

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, text, timeout=5):
        """Sends one statement. Returns (id, word): DONE, the error's code, "closed" or "silent"."""
        self.count += 1
        statement = f"{self.name}x{self.count}"
        sent = self.bed.record.now()
        self.bed.record.note("sent", id=statement, node=self.gateway.name, text=text.replace(" ", "_"))
        word = mac = ""
        try:
            self.writer.write(f"QUERY {statement} {text}\r\n".encode())
            while True:
                line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout)).decode()[:-2]
                first, _, rest = line.partition(" ")
                if first in ("DONE", "ERROR"):
                    word, mac = ("DONE", rest) if first == "DONE" else (rest.partition(" ")[0], "")
                elif first == "READY":
                    break
        except (OSError, asyncio.IncompleteReadError):
            word = "closed"
        except asyncio.TimeoutError:
            word = "silent"
        now = self.bed.record.now()
        self.bed.record.note("answered", id=statement, node=self.gateway.name, word=word, mac=mac)
        self.bed.answers.append({"id": statement, "text": text, "word": word, "sent": sent, "answered": now,
                                 "node": self.gateway.name, "mac": mac})
        if word in ("closed", "silent"):
            self.close()
        return statement, word


class Bed:
    """All stand-ins and processes of one script."""

    def __init__(self, record_path, folder, *, fenced, gateways=3, **group_options):
        self.record = Record(record_path)
        self.folder, self.fenced = pathlib.Path(folder), fenced
        self.store = Store()
        self.group = Group("svc1", self.store, self.record, fenced=fenced, **group_options)
        self.answers, self.gateways, self.tasks = [], [], []
        self.gateway_count = gateways
        self.version = 0

    def publish_config(self, routes):
        self.version += 1
        self.store.put("op/config", json.dumps({
            "version": self.version, "routes": routes, "limits": {"transaction_idle_ms": 3000},
            "services": [{"name": self.group.name, "connection_limit": self.group.connection_limit,
                          "synchronous_replicas": self.group.synchronous_replicas}]}).encode())
        self.record.note("config", version=self.version)

    def route(self, kind, *, timeout_ms=1000, target_ms=200, priority=1, staleness_ms=1500):
        return {"name": f"route-{kind}", "host": f"db-{kind}", "service": self.group.name, "kind": kind,
                "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": priority,
                "staleness_limit_ms": staleness_ms}

    def spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))
        return self.tasks[-1]

    async def start(self, routes):
        for n in range(3):
            self.group.add_member(f"i-{n + 1}a7f3c90", f"zone-{n + 1}")
        for it in self.group.members.values():
            await it.start()
        self.publish_config(routes)
        store = await asyncio.start_server(lambda r, w: serve_http(self.store.handle, r, w), "127.0.0.1", 0)
        cloud = await asyncio.start_server(lambda r, w: serve_http(self.group.handle_cloud, r, w), "127.0.0.1", 0)
        for it in (self.store.expire_leases(), self.group.replicate(), self.group.keep_registered()):
            self.spawn(it)
        zones = [f"zone-{n + 1}" for n in range(4)]
        for n in range(self.gateway_count):
            self.gateways.append(Gateway(
                f"front-zone-{n + 1}-1", zones[n % 4], self.folder, self.record, fenced=self.fenced, zones=zones,
                store_port=store.sockets[0].getsockname()[1], cloud_port=cloud.sockets[0].getsockname()[1]))
        for it in self.gateways:
            await it.start()
            self.spawn(it.probe())

    async def wait_until_ready(self, seconds=10):
        """Returns whether all gateways are in rotation in time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all(it.in_rotation for it in self.gateways):
                return True
            await asyncio.sleep(0.1)
        print("could not run: the gateways did not become ready")
        return False

    async def stop(self):
        """Ends all processes that were started."""
        for it in self.gateways:
            if it.process and it.process.returncode is None:
                it.process.kill()
                await it.process.wait()


def run_script(script, record_path, **bed_options):
    """Runs `script(bed)` and ends the process with its result: 0, 1 or 2."""
    async def run():
        with tempfile.TemporaryDirectory() as folder:
            bed = Bed(record_path, folder, **bed_options)
            try:
                return await asyncio.wait_for(script(bed), LONGEST_S)
            except Exception as ex:  # Anything unexpected must not look like a broken rule.
                print(f"could not run: {ex!r}")
                return 2
            finally:
                await bed.stop()
                bed.record.close()
                if os.environ.get("KEEP_LOGS"):
                    for it in pathlib.Path(folder).glob("*.log"):
                        (pathlib.Path(os.environ["KEEP_LOGS"]) / it.name).write_bytes(it.read_bytes())

    code = asyncio.new_event_loop().run_until_complete(run())
    sys.stdout.flush()
    # Connections of the stand-ins may still be open; nothing waits for them.
    os._exit(code)
