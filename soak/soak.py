#!/usr/bin/env python3
"""Soak test: runs real gateways on loopback, injects faults from outside and checks every promise to clients.

Usage: soak/soak.py --seed 7 --seconds 20      (soak/README.md lists the options and the checks)
"""
import argparse
import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

from platform_standin import Group, Store, serve_http

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Errors that promise that the statement, or the transaction of the COMMIT, had no effect.
NOT_RUN_ERRORS = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"}
MAX_STALENESS_S = 1.5  # of reads on the routes "bounded" and "own"
SERVICE = "svc1"
CONFIG_PROPAGATION_S = 3  # longest time until a change of the routes is in force
STOP_GRACE_S = 6  # time that a gateway gets for a planned stop
# A statement that is sent while the gateway closes the idle session may be lost, so a planned stop may end the
# connection up to this long after the send.
IDLE_CLOSE_RACE_S = 0.2
FIRST_EPHEMERAL_PORT = 30000


class FaultProxy:
    """Loopback proxy in front of one port: delays data, holds it back in one or both directions, resets connections."""

    def __init__(self, port):
        self.port = port
        self.mode = "clear"  # clear, slow, silent (holds back both directions), to_server_cut or to_client_cut (one)
        self.writers = set()
        self.listen_port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.listen_port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, server_writer}
        await asyncio.gather(self.forward(reader, server_writer, "to_server_cut"),
                             self.forward(server_reader, writer, "to_client_cut"))
        self.writers -= {writer, server_writer}

    async def forward(self, reader, writer, cut_mode):
        """Copies one direction; holds data back while the mode is "silent" or `cut_mode`."""
        try:
            while data := await reader.read(65536):
                while self.mode in ("silent", cut_mode):
                    await asyncio.sleep(0.02)
                if self.mode == "slow":
                    await asyncio.sleep(0.03)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.transport.abort() if writer.transport else None

    def reset_connections(self):
        for it in list(self.writers):
            it.transport.abort()


class Gateway:
    """One gateway process, with its settings and log file."""

    def __init__(self, number, test_bed, binary):
        self.number, self.test_bed, self.binary = number, test_bed, binary
        base = test_bed.base_port + number * 10
        self.ports = {"front": base, "ready": base + 1, "peer": base + 2, "metrics": base + 3}
        self.process = None
        self.stopping = False
        self.log = open(test_bed.folder / f"gateway-{number}.log", "ab")
        settings = {"node_name": f"gw-{number}", "zone": f"z{number % 3}", "ip_address": "127.0.0.1",
                    "listen_addresses": {"front": f"127.0.0.1:{base}", "ready": f"127.0.0.1:{base + 1}"},
                    "internal_ports": [base + 2, base + 3], "bounds": {
                        "grace_s": STOP_GRACE_S, "drain_ms": 7000,
                        "fencing_required": not test_bed.options.unfenced},
                    "platform": {"address": f"127.0.0.1:{test_bed.store_proxies[number].listen_port}",
                                 "ttl_minimum_ms": 1000},
                    "cloud": {"address": f"127.0.0.1:{test_bed.cloud_port}"}}
        self.settings = test_bed.folder / f"gateway-{number}.json"
        self.settings.write_text(json.dumps(settings))

    async def start(self):
        self.stopping = False
        self.process = await asyncio.create_subprocess_exec(self.binary, "--settings", str(self.settings),
                                                            stdout=self.log, stderr=self.log)

    def send_signal(self, signal_number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, signal_number)

    async def restart_with_signal(self, signal_number):
        """Sends a signal that ends the process, waits until it has ended and starts a new one."""
        self.stopping = signal_number == signal.SIGTERM
        process = self.process
        self.send_signal(signal_number)
        try:
            await asyncio.wait_for(process.wait(), STOP_GRACE_S + 1)
        except asyncio.TimeoutError:
            self.test_bed.violations.append(
                f"gateway {self.number} did not end within {STOP_GRACE_S + 1} s of signal {signal_number}")
            process.kill()
            await process.wait()
        if signal_number == signal.SIGTERM and process.returncode != 0:
            self.test_bed.violations.append(
                f"gateway {self.number} ended with exit code {process.returncode}, not 0, after SIGTERM")
        await self.start()


class TestBed:
    """The stand-ins, the gateways and a record of every statement that clients sent."""

    def __init__(self, options, seed, folder):
        self.options, self.seed, self.folder = options, seed, folder
        self.random = random.Random(seed)
        self.base_port = options.base_port + (seed % 20) * 100
        self.store = Store()
        self.store_modes = {}
        self.cloud_mode = "up"
        self.group = Group(SERVICE, ["i-1", "i-2", "i-3"], 4 * options.gateways, not options.unfenced, 1 + seed % 4)
        self.group.synchronous = options.synchronous
        self.violations = []
        # Statement id: (text, session values, route, send time of the statement or of its BEGIN, session,
        # text of the executed prepared statement or None).
        self.sent_statements = {}
        self.acknowledged_writes = []  # (statement id, time of the answer, session)
        self.refused_statements = set()  # ids of statements that must have no effect
        self.cut_statements = []  # (statement id, gateway number, seconds from the send to the end of the connection)
        self.success_count = 0
        self.deadline = 0
        self.planned_only = options.planned_only
        self.restarting_around_promotion = False

    async def start(self):
        self.member_proxies = {}
        for name, member in self.group.members.items():
            server = await asyncio.start_server(member.serve, "127.0.0.1", 0, limit=1 << 21)
            member.port = server.sockets[0].getsockname()[1]
            self.member_proxies[name] = FaultProxy(member.port)
            await self.member_proxies[name].start()
        self.store_proxies = []
        for number in range(self.options.gateways):
            server = await asyncio.start_server(
                lambda r, w, n=number: serve_http(self.handle_store_request,
                                                  lambda: self.store_modes.get(n, "up"), r, w,
                                                  lambda: {"Store-Era": self.store.era}),
                "127.0.0.1", 0)
            self.store_proxies.append(FaultProxy(server.sockets[0].getsockname()[1]))
            await self.store_proxies[-1].start()
        cloud = await asyncio.start_server(
            lambda r, w: serve_http(self.handle_promotion_request, lambda: self.cloud_mode, r, w), "127.0.0.1", 0)
        self.cloud_port = cloud.sockets[0].getsockname()[1]
        self.publish_config(1)
        self.tasks = [asyncio.create_task(it) for it in (self.store.expire_leases(), self.store.take_copies(), self.publish_members(), self.group.replicate())]
        self.gateways = [Gateway(n, self, self.options.binary) for n in range(self.options.gateways)]
        await asyncio.gather(*(it.start() for it in self.gateways))

    def publish_config(self, version):
        """Puts routes, limits and services into the store; every version has another timeout."""
        routes = [{"name": kind, "host": f"db-{kind}", "kind": kind, "timeout_ms": 800 + version, "priority": 1,
                   "target_latency_ms": 200, "service": SERVICE, "staleness_limit_ms": int(MAX_STALENESS_S * 1000)}
                  for kind in ("primary", "bounded", "own")]
        self.store.put("op/config", json.dumps(
            {"version": version, "routes": routes, "limits": {"transaction_idle_ms": 3000},
             "services": [{"name": SERVICE, "connection_limit": self.group.connections, "synchronous_replicas": int(self.options.synchronous)}]}))
        self.version = version

    async def publish_members(self):
        """Refreshes the store entry of every member that is up, every 0.6 s."""
        sequence = 0
        while True:
            sequence += 1
            for name, member in self.group.members.items():
                if member.up:
                    self.store.put(f"servers/{name}", json.dumps(
                        {"service": SERVICE, "address": f"127.0.0.1:{self.member_proxies[name].listen_port}",
                         "zone": f"z{int(name[-1]) - 1}", "version": "v1", "slots": 4, "state": "ready",
                         "cold_remaining_ms": 0, "sequence": sequence, "born": 1,
                         "database_role": "primary" if self.group.primary == name else "replica"}))
            await asyncio.sleep(0.6)

    async def handle_store_request(self, method, path, query, body, _headers):
        return await self.store.handle_request(method, path, query, body)

    async def handle_promotion_request(self, _method, _path, _query, body, headers):
        return await self.group.handle_promotion(body, headers)

    # ------------------------------------------------------------- faults

    async def run_faults(self):
        """Starts a random fault every 0.2 to 1.4 s; faults may overlap. The last 4 s have no new ones."""
        planned = [self.stop_gateway, self.publish_new_version, self.drop_watch_history]
        unplanned = [self.kill_gateway, self.pause_gateway, self.crash_member, self.disturb_member_link,
                     self.disturb_member_link, self.reset_member_connections, self.disturb_store,
                     self.disturb_promotion_calls, self.lose_member_answers, self.slow_replication]
        if self.options.restores:
            unplanned += [self.restore_store] * 4
        if self.options.promotion_restarts:
            unplanned += [self.restart_around_promotion] * 6
        if self.options.synchronous:
            unplanned += [self.restart_around_promotion] * 4 + [self.change_receive_lags] * 4
        if self.options.refusals:
            unplanned += [self.refuse_statements] * 6
        if self.options.malformed_items:
            planned += [self.write_malformed_items] * 2
        running = set()
        while time.monotonic() < self.deadline - 4:
            await asyncio.sleep(self.random.uniform(0.2, 1.4))
            fault = self.random.choice(planned if self.planned_only else planned + unplanned)
            running.add(asyncio.create_task(fault()))
        await asyncio.gather(*running)

    def choose_gateway(self):
        """Returns a random running gateway, or any if none runs."""
        return self.random.choice([it for it in self.gateways if it.process.returncode is None] or self.gateways)

    async def stop_gateway(self, gateway=None):
        gateway = gateway or self.choose_gateway()
        if not gateway.stopping:
            await gateway.restart_with_signal(signal.SIGTERM)

    async def kill_gateway(self, gateway=None):
        gateway = gateway or self.choose_gateway()
        if not gateway.stopping:
            await gateway.restart_with_signal(signal.SIGKILL)

    async def pause_gateway(self, gateway=None):
        gateway = gateway or self.choose_gateway()
        gateway.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        gateway.send_signal(signal.SIGCONT)

    async def crash_member(self):
        """Crashes a member for a while, unless another one is down."""
        member = self.group.members[self.random.choice(list(self.group.members))]
        if sum(it.up for it in self.group.members.values()) < 3 or not self.may_stop(member):
            return
        member.crash()
        await asyncio.sleep(self.random.uniform(0.3, 3))
        member.up = True

    def may_stop(self, member):
        """Whether a member may be stopped. A restart ends a pause, and the member then acknowledges commits by itself."""
        return not (self.group.synchronous and member.paused)

    async def change_receive_lags(self):
        for it in self.group.members.values():
            it.receive_lag_s = self.random.uniform(0.001, 0.12)

    async def restart_around_promotion(self):
        """Crashes the primary; while its promotion is prepared, ordered or late, restarts the holder and members."""
        members = list(self.group.members.values())
        if self.restarting_around_promotion or not all(it.up for it in members):
            return
        self.restarting_around_promotion = True
        self.cloud_mode = self.random.choice(["late", "late", "up"])
        primary = self.group.members.get(self.group.primary) or members[0]
        primary.crash()
        before = len(self.group.fence_holders)
        until = time.monotonic() + 2.5
        while (time.monotonic() < until and len(self.group.fence_holders) == before
               and not (any(it.paused for it in members) and self.random.random() < 0.05)):
            await asyncio.sleep(0.005)
        holder = self.find_holder()
        restart = asyncio.create_task(self.random.choice(
            [self.kill_gateway, self.pause_gateway, self.stop_gateway])(holder)) if self.random.random() < 0.7 else None
        await asyncio.sleep(self.random.uniform(0, 1.5))
        primary.up = True
        for it in members:
            if it is not primary and self.random.random() < 0.5 and self.may_stop(it):
                it.crash()
                await asyncio.sleep(self.random.uniform(0.05, 0.5))
                it.up = True
        if restart:
            await restart
        await asyncio.sleep(self.random.uniform(0, 2))
        self.cloud_mode = "up"
        self.restarting_around_promotion = False

    def find_holder(self):
        """Returns the gateway that holds the promotion duty, any other one if that is not known."""
        item = self.store.items.get(f"kingcuplock/owner/{SERVICE}")
        try:
            name = json.loads(base64.b64decode(item["value"]))["owner"] if item else ""
        except (ValueError, KeyError, TypeError):
            name = ""
        return next((it for it in self.gateways if name == f"gw-{it.number}"), self.choose_gateway())

    async def write_malformed_items(self):
        """Writes items that can't be used under the keys that the gateways read, as another writer might."""
        deep = "[" * 150_000
        texts = ["", "\x00\x01", "5", "[]", "{}", deep, '{"service":' + deep + "]" * 150_000 + "}"]
        entry = {"service": SERVICE, "address": "127.0.0.1:9", "zone": "z0", "version": "v1", "slots": 4,
                 "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1, "database_role": "replica"}
        owner = {"epoch": 3, "owner": "gw-9", "lease": 7, "term": 2, "name": "gw-9", "host": "no address", "port": 7}
        values = [1e300, -1, 2**63, 2**80, 99999, "127.0.0.1:99999", "127.0.0.1:0", "a b\r\nBYE", "x" * 100_000, None, [],
               {"a": [[[]]]}, 1.5, True]
        for base in (entry, owner):
            texts += [json.dumps({**base, field: self.random.choice(values)}) for field in base]
        for prefix in ("servers/", "kingcuplock/lease/", "kingcuplock/owner/"):
            for text in self.random.sample(texts, 6):
                self.store.put(prefix + self.random.choice(["bad", "7", "a b", "x" * 150]), text)
        if self.random.random() < 0.3:
            self.store.put(f"kingcuplock/owner/{SERVICE}", self.random.choice(texts))
        if self.random.random() < 0.5:
            self.store.put(f"servers/{self.random.choice(list(self.group.members))}", self.random.choice(texts))

    async def disturb_member_link(self):
        proxy = self.random.choice(list(self.member_proxies.values()))
        proxy.mode = self.random.choice(["slow", "silent", "to_server_cut", "to_client_cut"])
        await asyncio.sleep(self.random.uniform(0.2, 2))
        proxy.mode = "clear"

    async def reset_member_connections(self):
        self.random.choice(list(self.member_proxies.values())).reset_connections()

    async def disturb_store(self):
        numbers = self.random.sample(range(len(self.gateways)), self.random.randint(1, len(self.gateways)))
        for it in numbers:
            self.store_modes[it] = self.random.choice(["refusing", "silent", "slow", "lossy"])
        await asyncio.sleep(self.random.uniform(0.5, 3))
        for it in numbers:
            self.store_modes[it] = "up"

    async def restore_store(self):
        """Takes the store away and back from an older copy. The operator writes again what it lost; so do the members."""
        numbers = range(len(self.gateways))
        for it in numbers:
            self.store_modes[it] = self.random.choice(["refusing", "silent"])
        await asyncio.sleep(self.random.choice([0, self.random.uniform(0, 1.5)]))
        self.store.restore(self.random.uniform(0.3, 10))
        for it in numbers:
            self.store_modes[it] = "up"
        await asyncio.sleep(self.random.uniform(0, 1.5))
        self.publish_config(self.version)

    async def disturb_promotion_calls(self):
        self.cloud_mode = self.random.choice(["refusing", "lossy", "silent"])
        await asyncio.sleep(self.random.uniform(0.3, 1.5))
        self.cloud_mode = "up"

    async def lose_member_answers(self):
        self.group.members[self.random.choice(list(self.group.members))].answers_to_lose = self.random.randint(1, 3)

    async def refuse_statements(self):
        """Lets a member refuse a share of its statements of any kind, as if it were overloaded."""
        member = self.group.members[self.random.choice([self.group.primary, *self.group.members]) or "i-1"]
        member.refused_share = self.random.uniform(0.05, 0.5)
        await asyncio.sleep(self.random.uniform(0.5, 3))
        member.refused_share = 0.0

    async def slow_replication(self):
        member = self.group.members[self.random.choice(list(self.group.members))]
        member.lag_factor = 40.0
        await asyncio.sleep(self.random.uniform(0.5, 3))
        member.lag_factor = 1.0

    async def publish_new_version(self):
        self.publish_config(self.version + self.random.randint(1, 3))

    async def drop_watch_history(self):
        self.store.drop_watch_history()

    # ------------------------------------------------------------- checks

    async def check_newest_version(self):
        """Checks that the newest routes come into force on every gateway in time. Nothing may be disturbed meanwhile."""
        until = time.monotonic() + CONFIG_PROPAGATION_S
        while True:
            versions = {it.number: await read_routes_version(it.ports["metrics"]) for it in self.gateways}
            if set(versions.values()) == {self.version}:
                return
            if time.monotonic() > until:
                self.violations.append(f"version {self.version} of the routes is not in force after "
                                       f"{CONFIG_PROPAGATION_S} s; versions by gateway: {versions}")
                return
            await asyncio.sleep(0.2)

    def check_processes(self):
        """Checks that no gateway has ended by itself."""
        self.violations += [f"gateway {it.number} ended by itself with exit code {it.process.returncode}"
                            for it in self.gateways if it.process.returncode is not None]

    def check_promises(self):
        """Compares what members executed and committed with what clients were told. Returns all violations."""
        committed = {}
        for count, (_, _, writes) in enumerate(self.group.log):
            for it in writes:
                if it in committed:
                    self.violations.append(f"{it} was committed twice")
                committed[it] = count
        for it in self.refused_statements & committed.keys():
            self.violations.append(f"{it} was committed though it was refused or rolled back")
        for execution in self.group.executions:
            self.check_execution(execution, committed)
        if self.planned_only:
            ran = {it["id"] for it in self.group.executions}
            self.violations += [f"{it} ({self.sent_statements[it][0]}) was cut by gateway {number} in a planned stop "
                                f"{after:.3f} s after its send, {'run' if it in ran else 'not run'} by a member"
                                for it, number, after in self.cut_statements if it in ran or after > IDLE_CLOSE_RACE_S]
        acknowledged = {it[0] for it in self.acknowledged_writes}
        self.violations += [f"{it} was acknowledged by a primary that had been replaced"
                            for it in self.group.stray_writes if it in acknowledged]
        if self.group.synchronous:
            self.violations += [f"{it} was acknowledged, and a promoted member lacked it"
                                for _, _, writes in self.group.discarded_commits for it in writes if it in acknowledged]
        self.violations += self.group.violations
        return self.violations

    def check_execution(self, execution, committed):
        """Checks one execution at a member: its text, its session values and, for a read, the writes it must see.

        `committed` maps the id of each committed write to its index in the log.
        """
        if execution["id"] not in self.sent_statements:
            self.violations.append(f"{execution['id']} ran, but no client sent it")
            return
        text, values, route, began, session, shape = self.sent_statements[execution["id"]]
        if shape is None and execution["text"] != text:
            self.violations.append(f"{execution['id']} ran with text {execution['text']}, not {text}")
        if shape is not None and execution["shape"] != shape:
            self.violations.append(f"{execution['id']} ran prepared statement {execution['shape']}, not {shape}")
        if execution["values"] != values:
            self.violations.append(f"{execution['id']} ran with session values {execution['values']}, not {values}")
        if execution["commits"] or execution["writes"]:
            return
        for write, acknowledged_at, writer in self.acknowledged_writes:
            own_write = route == "own" and writer == session
            visible_since = began - (0 if route == "primary" or own_write else MAX_STALENESS_S)
            if acknowledged_at < visible_since and committed.get(write, -1) >= execution["applied"]:
                self.violations.append(f"{execution['id']} at {execution['member']} does not see {write}, "
                                       f"which its route {route} promises")


class Client:
    """Runs one session after another; each sends operations with random pauses and checks the answers."""

    def __init__(self, number, test_bed):
        self.number, self.test_bed = number, test_bed
        self.random = random.Random(test_bed.seed * 1000 + number)
        self.statement_count = 0
        self.session_number = 0

    async def run(self):
        while time.monotonic() < self.test_bed.deadline:
            try:
                await self.run_session()
            except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)

    async def run_session(self):
        gateway = self.test_bed.gateways[(self.number + self.session_number) % len(self.test_bed.gateways)]
        self.session_number += 1
        self.route = self.random.choice(["primary", "bounded", "own", "own"])
        self.values, self.shapes = {}, {}
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports["front"], limit=1 << 21)
        try:
            writer.write(f"START db-{self.route} u{self.number}\r\n".encode())
            if not (await asyncio.wait_for(reader.readuntil(b"\r\n"), 2)).startswith(b"READY"):
                await asyncio.sleep(0.1)
                return
            is_busy = self.test_bed.options.busy and self.number % 2 == 0
            for _ in range(10**6 if is_busy else self.random.randint(1, 60)):
                if time.monotonic() > self.test_bed.deadline:
                    return
                if not await self.run_operation(reader, writer, gateway):
                    return
                if not is_busy:
                    await asyncio.sleep(self.random.uniform(0.002, 0.05))
        finally:
            writer.close()

    async def run_operation(self, reader, writer, gateway):
        """Runs one random operation. Returns whether the session goes on."""
        kind = self.random.random()
        if kind < 0.05:
            self.values["zone"] = str(self.random.randint(1, 4))
            return (await self.send_statement(reader, writer, gateway, "SET zone " + self.values["zone"]))[0] == "DONE"
        if kind < 0.1:
            self.shapes["s1"] = f"q{self.random.randint(1, 5)}"
            return (await self.send_statement(reader, writer, gateway,
                                              "PREPARE s1 READ " + self.shapes["s1"]))[0] == "DONE"
        if kind < 0.3:
            return await self.run_transaction(reader, writer, gateway)
        if kind < 0.4 and "s1" in self.shapes:
            word, _ = await self.send_statement(reader, writer, gateway, "EXECUTE s1 a", shape=self.shapes["s1"])
        elif kind < 0.55 and self.route != "bounded":
            word, statement = await self.send_statement(reader, writer, gateway, f"WRITE k{self.number} data")
            if word == "DONE":
                self.test_bed.acknowledged_writes.append(
                    (statement, time.monotonic(), (self.number, self.session_number)))
        else:
            word, _ = await self.send_statement(reader, writer, gateway, f"READ k{self.random.randint(0, 30)}")
        return True

    async def run_transaction(self, reader, writer, gateway):
        """Runs one random transaction. Returns whether the session goes on."""
        began = time.monotonic()
        read_only = self.route == "bounded" or self.random.random() < 0.3
        writes = []
        word, _ = await self.send_statement(reader, writer, gateway, "BEGIN READ" if read_only else "BEGIN")
        for _ in range(self.random.randint(1, 4)):
            write = not read_only and self.random.random() < 0.5
            text = f"WRITE t{self.number} x" if write else "READ a"
            word, statement = await self.send_statement(reader, writer, gateway, text, began=began)
            writes += [statement] if write else []
            if word != "DONE":
                self.test_bed.refused_statements |= set(writes)
                await self.send_statement(reader, writer, gateway, "ROLLBACK")
                return True
            await asyncio.sleep(self.random.uniform(0, 0.02))
        if self.random.random() < 0.1:
            self.test_bed.refused_statements |= set(writes)
            return False  # closes the session within the transaction
        if self.random.random() < 0.2:
            self.test_bed.refused_statements |= set(writes)
            await self.send_statement(reader, writer, gateway, "ROLLBACK")
            return True
        word, _ = await self.send_statement(reader, writer, gateway, "COMMIT", began=began)
        if word == "DONE":
            now = time.monotonic()
            self.test_bed.acknowledged_writes += [(it, now, (self.number, self.session_number)) for it in writes]
        elif word in NOT_RUN_ERRORS:
            self.test_bed.refused_statements |= set(writes)
        return True

    async def send_statement(self, reader, writer, gateway, text, began=None, shape=None):
        """Sends one statement and checks its answer. Returns "DONE" or the error's code, and the statement's id.

        `began` is the start of its transaction; `shape` is what the statement that it executes was prepared with.
        """
        self.statement_count += 1
        statement = f"c{self.number}x{self.statement_count}"
        if reader.at_eof():
            raise ConnectionError("closed between operations")
        now = time.monotonic()
        self.test_bed.sent_statements[statement] = (text, dict(self.values), self.route, began or now,
                                                    (self.number, self.session_number), shape)
        writer.write(f"QUERY {statement} {text}\r\n".encode())
        rows, word, detail = [], "", ""
        try:
            while True:
                line = (await asyncio.wait_for(reader.readuntil(b"\r\n"), 5)).decode()[:-2]
                first, _, rest = line.partition(" ")
                if first == "ROW":
                    rows.append(rest)
                elif first == "DONE":
                    word, detail = "DONE", rest
                elif first == "ERROR":
                    word, _, detail = rest.partition(" ")
                elif first == "READY":
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            self.test_bed.cut_statements.append((statement, gateway.number, time.monotonic() - now))
            raise
        except asyncio.TimeoutError:
            self.test_bed.violations.append(f"{statement} ({text}) got no complete answer within 5 s")
            raise
        self.check_answer(statement, text, rows, word, detail)
        return word, statement

    def check_answer(self, statement, text, rows, word, detail):
        verb = text.split(" ")[0]
        if word == "DONE":
            self.test_bed.success_count += 1
        elif word in NOT_RUN_ERRORS:
            self.test_bed.refused_statements.add(statement)
        if word == "DONE" and verb in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            if detail not in self.test_bed.group.signatures.get(statement, ()):
                self.test_bed.violations.append(
                    f"{statement} succeeded with signature {detail}, which no member gave to it")
            expected_rows = [f"{statement}-row"] if verb in ("READ", "EXECUTE") else []
            if rows != expected_rows:
                self.test_bed.violations.append(f"{statement} returned rows {rows}, not {expected_rows}")


def total_memory_mb(test_bed):
    """Returns the resident memory of all gateways together."""
    total = 0
    for it in test_bed.gateways:
        try:
            pages = int(pathlib.Path(f"/proc/{it.process.pid}/statm").read_text().split()[1])
            total += pages * os.sysconf("SC_PAGESIZE") / 2**20
        except OSError:
            pass
    return total


async def read_routes_version(port):
    """Returns the version on a gateway's metrics page, None if it does not answer."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        text = (await asyncio.wait_for(reader.read(-1), 1)).decode()
        writer.close()
        return int(float(text.split('{what="routes_version"} ')[1].split()[0]))
    except (OSError, asyncio.TimeoutError, IndexError):
        return None


async def run_seed(options, seed):
    """Runs the soak once with this seed, prints its result and returns whether every promise was kept."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    random.seed(seed)
    test_bed = TestBed(options, seed, folder)
    await test_bed.start()
    await asyncio.sleep(1.5)
    test_bed.deadline = time.monotonic() + options.seconds
    clients = [Client(n, test_bed) for n in range(options.clients)]
    await asyncio.gather(test_bed.run_faults(), *(it.run() for it in clients))
    await test_bed.check_newest_version()
    test_bed.check_processes()
    memory_mb = total_memory_mb(test_bed)
    for it in test_bed.gateways:
        it.send_signal(signal.SIGKILL)
        await it.process.wait()
    for it in test_bed.tasks:
        it.cancel()
    violations = test_bed.check_promises()
    if memory_mb > options.most_memory_mb:
        violations.append(f"gateways hold {memory_mb:.0f} MB, over --most-memory-mb {options.most_memory_mb}")
    if test_bed.success_count < options.clients * options.seconds:
        violations.append(f"only {test_bed.success_count} statements succeeded; at least "
                          f"{options.clients * options.seconds} are expected (one per client and second)")
    print(f"seed {seed}: {test_bed.success_count} ok, {len(test_bed.group.executions)} runs, "
          f"{test_bed.group.term - test_bed.group.first_term} promotions, {len(test_bed.group.discarded_commits)} commits cut off, "
          f"{memory_mb:.0f} MB, {len(violations)} broken", flush=True)
    for it in violations[:8]:
        print(f"  {it}", flush=True)
    if violations:
        print(f"  logs: {folder}", flush=True)
    return not violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--from", dest="first", type=int, default=1)
    parser.add_argument("--to", type=int)
    parser.add_argument("--regressions", action="store_true", help="run the seeds listed in soak/regressions.txt")
    parser.add_argument("--seconds", type=int, default=12)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--planned-only", action="store_true",
                        help="inject planned stops and configuration changes only; no statement may be cut")
    parser.add_argument("--restores", action="store_true",
                        help="also restore the store from older copies, more often than any other fault")
    parser.add_argument("--promotion-restarts", action="store_true",
                        help="also restart the holder and members around promotions, more often than any other fault")
    parser.add_argument("--malformed-items", action="store_true",
                        help="also write items that can't be used under the keys that gateways read")
    parser.add_argument("--busy", action="store_true",
                        help="every other client sends one operation after the other, without a pause, on one session")
    parser.add_argument("--unfenced", action="store_true",
                        help="gateways require no fencing tokens; a replaced primary still serves for a second")
    parser.add_argument("--refusals", action="store_true",
                        help="members also refuse a share of their statements, of any kind, more often than any other fault")
    parser.add_argument("--synchronous", action="store_true",
                        help="members acknowledge a commit once a replica has received it; lags change, and the holder "
                             "and members restart around promotions; not with --unfenced")
    parser.add_argument("--most-memory-mb", type=int, default=2000)
    parser.add_argument("--most-processes", type=int, default=50)
    parser.add_argument("--base-port", type=int, default=21000)
    parser.add_argument("--binary", default=str(ROOT / "build/programs/kingcuplock-gateway"))
    options = parser.parse_args()
    if options.base_port + 2000 > FIRST_EPHEMERAL_PORT:
        print(f"--base-port {options.base_port} must leave 2,000 ports below {FIRST_EPHEMERAL_PORT}", file=sys.stderr)
        return 2
    if options.synchronous and options.unfenced:
        print("--synchronous can't be used with --unfenced; leave one of them out", file=sys.stderr)
        return 2
    if options.gateways > options.most_processes or not os.access(options.binary, os.X_OK):
        print(f"--gateways {options.gateways} is more than --most-processes {options.most_processes}, or --binary "
              f"{options.binary} is not executable; build it first", file=sys.stderr)
        return 2
    if options.regressions:
        lines = (ROOT / "soak/regressions.txt").read_text().splitlines()
        cases = [it.split(":")[0].split() for it in lines if it and not it.startswith("#")]
        seeds = [int(it[0]) for it in cases if ("--planned-only" in it) == options.planned_only]
    elif options.seed is not None:
        seeds = [options.seed]
    else:
        seeds = range(options.first, (options.to or options.first) + 1)
    passed = [asyncio.run(run_seed(options, it)) for it in seeds]
    print(f"{sum(passed)} of {len(passed)} seeds kept every promise")
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
