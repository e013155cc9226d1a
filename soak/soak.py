#!/usr/bin/env python3
"""Fault soak: real gateways on loopback, faults from outside, promises checked while it runs."""
import argparse
import asyncio
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
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"}
MAX_AGE_S = 1.5
SERVICE = "svc1"
STOP_S = 6
LOSS_SLACK_S = 0.2  # a request that crosses the close of its idle session may be lost
FIRST_EPHEMERAL_PORT = 30000


class Faults:
    """Loopback proxy before one address: delays, silences, cuts one way, resets."""

    def __init__(self, port):
        self.port = port
        self.mode = "clear"  # clear, slow, silent, to_server_cut, to_client_cut
        self.writers = set()
        self.listen_port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.listen_port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer, "to_server_cut"), self.pump(far_reader, writer, "to_client_cut"))
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, cut):
        try:
            while data := await reader.read(65536):
                while self.mode in ("silent", cut):
                    await asyncio.sleep(0.02)
                if self.mode == "slow":
                    await asyncio.sleep(0.03)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.transport.abort() if writer.transport else None

    def reset(self):
        for it in list(self.writers):
            it.transport.abort()


class Gateway:
    """One gateway process."""

    def __init__(self, number, world, binary):
        self.number, self.world, self.binary = number, world, binary
        base = world.base_port + number * 10
        self.ports = {"front": base, "ready": base + 1, "peer": base + 2, "metrics": base + 3}
        self.process = None
        self.stopping = False
        self.log = open(world.folder / f"gateway-{number}.log", "ab")
        settings = {"node_name": f"gw-{number}", "zone": f"z{number % 3}", "ip_address": "127.0.0.1",
                    "listen_addresses": {"front": f"127.0.0.1:{base}", "ready": f"127.0.0.1:{base + 1}"},
                    "internal_ports": [base + 2, base + 3], "bounds": {"grace_s": STOP_S, "drain_ms": 7000, "fencing_required": not world.options.unfenced},
                    "platform": {"address": f"127.0.0.1:{world.store_proxies[number].listen_port}",
                                 "ttl_minimum_ms": 1000},
                    "cloud": {"address": f"127.0.0.1:{world.cloud_port}"}}
        self.settings = world.folder / f"gateway-{number}.json"
        self.settings.write_text(json.dumps(settings))

    async def start(self):
        self.stopping = False
        self.process = await asyncio.create_subprocess_exec(self.binary, "--settings", str(self.settings),
                                                            stdout=self.log, stderr=self.log)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def restart_after(self, number):
        """Sends a signal that ends the process, waits for its end and starts it again."""
        self.stopping = number == signal.SIGTERM
        process = self.process
        self.signal(number)
        try:
            await asyncio.wait_for(process.wait(), STOP_S + 1)
        except asyncio.TimeoutError:
            self.world.broken.append(f"gateway {self.number} did not end {STOP_S + 1} s after a signal {number}")
            process.kill()
            await process.wait()
        if number == signal.SIGTERM and process.returncode != 0:
            self.world.broken.append(f"gateway {self.number} ended with {process.returncode} after SIGTERM")
        await self.start()


class World:
    """The stand-ins, the gateways and what is known of every statement."""

    def __init__(self, options, seed, folder):
        self.options, self.seed, self.folder = options, seed, folder
        self.random = random.Random(seed)
        self.base_port = options.base_port + (seed % 20) * 100
        self.store = Store()
        self.store_modes = {}
        self.cloud_mode = "up"
        self.group = Group(SERVICE, ["i-1", "i-2", "i-3"], 4 * options.gateways, not options.unfenced)
        self.broken = []
        self.sent = {}  # statement id: (text, values, route, first byte, session)
        self.told = []  # (write id, time told, session)
        self.refused = set()
        self.cut = []  # (statement, gateway, time from sending to the end of the connection)
        self.ok = 0
        self.deadline = 0
        self.planned_only = options.planned_only

    async def start(self):
        self.member_proxies = {}
        for name, member in self.group.members.items():
            server = await asyncio.start_server(member.serve, "127.0.0.1", 0, limit=1 << 21)
            member.port = server.sockets[0].getsockname()[1]
            self.member_proxies[name] = Faults(member.port)
            await self.member_proxies[name].start()
        self.store_proxies = []
        for number in range(self.options.gateways):
            server = await asyncio.start_server(
                lambda r, w, n=number: serve_http(self.on_store, lambda: self.store_modes.get(n, "up"), r, w),
                "127.0.0.1", 0)
            self.store_proxies.append(Faults(server.sockets[0].getsockname()[1]))
            await self.store_proxies[-1].start()
        cloud = await asyncio.start_server(
            lambda r, w: serve_http(self.on_cloud, lambda: self.cloud_mode, r, w), "127.0.0.1", 0)
        self.cloud_port = cloud.sockets[0].getsockname()[1]
        self.publish(1)
        self.tasks = [asyncio.create_task(it) for it in (self.store.run_leases(), self.run_beats())]
        self.gateways = [Gateway(n, self, self.options.binary) for n in range(self.options.gateways)]
        await asyncio.gather(*(it.start() for it in self.gateways))

    def publish(self, version):
        routes = [{"name": kind, "host": f"db-{kind}", "kind": kind, "timeout_ms": 800 + version, "priority": 1,
                   "target_latency_ms": 200, "service": SERVICE, "staleness_limit_ms": int(MAX_AGE_S * 1000)}
                  for kind in ("primary", "bounded", "own")]
        self.store.put("op/config", json.dumps(
            {"version": version, "routes": routes, "limits": {"transaction_idle_ms": 3000},
             "services": [{"name": SERVICE, "connection_limit": self.group.connections, "synchronous_replicas": 0}]}))
        self.version = version

    async def run_beats(self):
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

    async def on_store(self, method, path, query, body, _headers):
        return await self.store.handle(method, path, query, body)

    async def on_cloud(self, _method, _path, _query, body, headers):
        return await self.group.order(body, headers)

    # ------------------------------------------------------------- faults

    async def run_faults(self):
        planned = [self.term_gateway, self.new_version, self.forget_history]
        unplanned = [self.kill_gateway, self.pause_gateway, self.crash_member, self.member_link, self.member_link,
                     self.reset_member, self.store_trouble, self.cloud_trouble, self.lose_answers, self.lag_replica]
        running = set()
        while time.monotonic() < self.deadline - 4:
            await asyncio.sleep(self.random.uniform(0.2, 1.4))
            fault = self.random.choice(planned if self.planned_only else planned + unplanned)
            running.add(asyncio.create_task(fault()))
        await asyncio.gather(*running)

    def any_gateway(self):
        return self.random.choice([it for it in self.gateways if it.process.returncode is None] or self.gateways)

    async def term_gateway(self):
        gateway = self.any_gateway()
        if not gateway.stopping:
            await gateway.restart_after(signal.SIGTERM)

    async def kill_gateway(self):
        gateway = self.any_gateway()
        if not gateway.stopping:
            await gateway.restart_after(signal.SIGKILL)

    async def pause_gateway(self):
        gateway = self.any_gateway()
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        gateway.signal(signal.SIGCONT)

    async def crash_member(self):
        member = self.group.members[self.random.choice(list(self.group.members))]
        if sum(it.up for it in self.group.members.values()) < 3:
            return
        member.crash()
        await asyncio.sleep(self.random.uniform(0.3, 3))
        member.up = True

    async def member_link(self):
        proxy = self.random.choice(list(self.member_proxies.values()))
        proxy.mode = self.random.choice(["slow", "silent", "to_server_cut", "to_client_cut"])
        await asyncio.sleep(self.random.uniform(0.2, 2))
        proxy.mode = "clear"

    async def reset_member(self):
        self.random.choice(list(self.member_proxies.values())).reset()

    async def store_trouble(self):
        numbers = self.random.sample(range(len(self.gateways)), self.random.randint(1, len(self.gateways)))
        for it in numbers:
            self.store_modes[it] = self.random.choice(["refusing", "silent", "slow", "lossy"])
        await asyncio.sleep(self.random.uniform(0.5, 3))
        for it in numbers:
            self.store_modes[it] = "up"

    async def cloud_trouble(self):
        self.cloud_mode = self.random.choice(["refusing", "lossy", "silent"])
        await asyncio.sleep(self.random.uniform(0.3, 1.5))
        self.cloud_mode = "up"

    async def lose_answers(self):
        self.group.members[self.random.choice(list(self.group.members))].lose = self.random.randint(1, 3)

    async def lag_replica(self):
        member = self.group.members[self.random.choice(list(self.group.members))]
        member.lag = 40.0
        await asyncio.sleep(self.random.uniform(0.5, 3))
        member.lag = 1.0

    async def new_version(self):
        self.publish(self.version + self.random.randint(1, 3))

    async def forget_history(self):
        self.store.forget_history()

    # -------------------------------------------------------------- check

    def check(self):
        kept = {}
        for count, (_, _, writes) in enumerate(self.group.log):
            for it in writes:
                if it in kept:
                    self.broken.append(f"{it} is kept twice")
                kept[it] = count
        for it in self.refused & kept.keys():
            self.broken.append(f"{it} is kept though refused")
        for run in self.group.runs:
            self.check_run(run, kept)
        if self.planned_only:
            ran = {it["id"] for it in self.group.runs}
            self.broken += [f"{it} ({self.sent[it][0]}) was cut by gateway {number} in a planned stop after {after:.3f} s, "
                            f"{'run' if it in ran else 'not run'} by a member"
                            for it, number, after in self.cut if it in ran or after > LOSS_SLACK_S]
        told = {it[0] for it in self.told}
        self.broken += [f"{it} was acknowledged by a primary that was replaced" for it in self.group.strays if it in told]
        self.broken += self.group.broken
        return self.broken

    def check_run(self, run, kept):
        if run["id"] not in self.sent:
            self.broken.append(f"{run['id']} ran, nobody sent it")
            return
        text, values, route, began, session, shape = self.sent[run["id"]]
        if shape is None and run["text"] != text:
            self.broken.append(f"{run['id']} ran with another text: {run['text']}")
        if shape is not None and run["shape"] != shape:
            self.broken.append(f"{run['id']} ran shape {run['shape']}, not {shape}")
        if run["values"] != values:
            self.broken.append(f"{run['id']} ran with values {run['values']}, not {values}")
        if run["commits"] or run["writes"]:
            return
        for write, told, writer in self.told:
            own = route == "own" and writer == session
            limit = began - (0 if route == "primary" or own else MAX_AGE_S)
            if told < limit and kept.get(write, -1) >= run["applied"]:
                self.broken.append(f"{run['id']} at {run['member']} does not see {write}")


class Client:
    """One session after another, operations with pauses between them."""

    def __init__(self, number, world):
        self.number, self.world = number, world
        self.random = random.Random(world.seed * 1000 + number)
        self.count = 0
        self.session = 0

    async def run(self):
        while time.monotonic() < self.world.deadline:
            try:
                await self.run_session()
            except (ConnectionError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)

    async def run_session(self):
        gateway = self.world.gateways[(self.number + self.session) % len(self.world.gateways)]
        self.session += 1
        self.route = self.random.choice(["primary", "bounded", "own", "own"])
        self.values, self.shapes = {}, {}
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports["front"], limit=1 << 21)
        try:
            writer.write(f"START db-{self.route} u{self.number}\r\n".encode())
            if not (await asyncio.wait_for(reader.readuntil(b"\r\n"), 2)).startswith(b"READY"):
                await asyncio.sleep(0.1)
                return
            for _ in range(self.random.randint(1, 60)):
                if time.monotonic() > self.world.deadline:
                    return
                if not await self.operate(reader, writer, gateway):
                    return
                await asyncio.sleep(self.random.uniform(0.002, 0.05))
        finally:
            writer.close()

    async def operate(self, reader, writer, gateway):
        kind = self.random.random()
        if kind < 0.05:
            self.values["zone"] = str(self.random.randint(1, 4))
            return (await self.say(reader, writer, gateway, "SET zone " + self.values["zone"]))[0] == "DONE"
        if kind < 0.1:
            self.shapes["s1"] = f"q{self.random.randint(1, 5)}"
            return (await self.say(reader, writer, gateway, "PREPARE s1 READ " + self.shapes["s1"]))[0] == "DONE"
        if kind < 0.3:
            return await self.transact(reader, writer, gateway)
        if kind < 0.4 and "s1" in self.shapes:
            word, _ = await self.say(reader, writer, gateway, "EXECUTE s1 a", shape=self.shapes["s1"])
        elif kind < 0.55 and self.route != "bounded":
            word, statement = await self.say(reader, writer, gateway, f"WRITE k{self.number} data")
            if word == "DONE":
                self.world.told.append((statement, time.monotonic(), (self.number, self.session)))
        else:
            word, _ = await self.say(reader, writer, gateway, f"READ k{self.random.randint(0, 30)}")
        return True

    async def transact(self, reader, writer, gateway):
        began = time.monotonic()
        read_only = self.route == "bounded" or self.random.random() < 0.3
        writes = []
        word, _ = await self.say(reader, writer, gateway, "BEGIN READ" if read_only else "BEGIN")
        for _ in range(self.random.randint(1, 4)):
            write = not read_only and self.random.random() < 0.5
            text = f"WRITE t{self.number} x" if write else "READ a"
            word, statement = await self.say(reader, writer, gateway, text, began=began)
            writes += [statement] if write else []
            if word != "DONE":
                self.world.refused |= set(writes)
                await self.say(reader, writer, gateway, "ROLLBACK")
                return True
            await asyncio.sleep(self.random.uniform(0, 0.02))
        if self.random.random() < 0.1:
            self.world.refused |= set(writes)
            return False  # leaves within the transaction
        if self.random.random() < 0.2:
            self.world.refused |= set(writes)
            await self.say(reader, writer, gateway, "ROLLBACK")
            return True
        word, _ = await self.say(reader, writer, gateway, "COMMIT", began=began)
        if word == "DONE":
            now = time.monotonic()
            self.world.told += [(it, now, (self.number, self.session)) for it in writes]
        elif word in PROMISES:
            self.world.refused |= set(writes)
        return True

    async def say(self, reader, writer, gateway, text, began=None, shape=None):
        self.count += 1
        statement = f"c{self.number}x{self.count}"
        if reader.at_eof():
            raise ConnectionError("closed between operations")
        now = time.monotonic()
        self.world.sent[statement] = (text, dict(self.values), self.route, began or now, (self.number, self.session),
                                      shape)
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
            self.world.cut.append((statement, gateway.number, time.monotonic() - now))
            raise
        except asyncio.TimeoutError:
            self.world.broken.append(f"{statement} ({text}) had no answer within 5 s")
            raise
        self.judge(statement, text, rows, word, detail)
        return word, statement

    def judge(self, statement, text, rows, word, detail):
        verb = text.split(" ")[0]
        if word == "DONE":
            self.world.ok += 1
        elif word in PROMISES:
            self.world.refused.add(statement)
        if word == "DONE" and verb in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            if detail not in self.world.group.signatures.get(statement, ()):
                self.world.broken.append(f"{statement} succeeded with a signature that is not its member's: {detail}")
            wanted = [f"{statement}-row"] if verb in ("READ", "EXECUTE") else []
            if rows != wanted:
                self.world.broken.append(f"{statement} has rows {rows}, not {wanted}")


def memory_mb(world):
    total = 0
    for it in world.gateways:
        try:
            pages = int(pathlib.Path(f"/proc/{it.process.pid}/statm").read_text().split()[1])
            total += pages * os.sysconf("SC_PAGESIZE") / 2**20
        except OSError:
            pass
    return total


async def run_seed(options, seed):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    random.seed(seed)
    world = World(options, seed, folder)
    await world.start()
    await asyncio.sleep(1.5)
    world.deadline = time.monotonic() + options.seconds
    clients = [Client(n, world) for n in range(options.clients)]
    await asyncio.gather(world.run_faults(), *(it.run() for it in clients))
    most = memory_mb(world)
    for it in world.gateways:
        it.signal(signal.SIGKILL)
        await it.process.wait()
    for it in world.tasks:
        it.cancel()
    broken = world.check()
    if most > options.most_memory_mb:
        broken.append(f"gateways hold {most:.0f} MB, over {options.most_memory_mb}")
    if world.ok < options.clients * options.seconds:
        broken.append(f"only {world.ok} statements had success")
    print(f"seed {seed}: {world.ok} ok, {len(world.group.runs)} runs, {world.group.term - 1} promotions, "
          f"{len(world.group.cut)} commits cut off, {most:.0f} MB, {len(broken)} broken", flush=True)
    for it in broken[:8]:
        print(f"  {it}", flush=True)
    if broken:
        print(f"  logs: {folder}", flush=True)
    return not broken


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--from", dest="first", type=int, default=1)
    parser.add_argument("--to", type=int)
    parser.add_argument("--regressions", action="store_true", help="seeds of soak/regressions.txt")
    parser.add_argument("--seconds", type=int, default=12)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--planned-only", action="store_true", help="stops and changes only; nothing may be cut")
    parser.add_argument("--unfenced", action="store_true",
                        help="no fencing tokens are checked, and a replaced primary goes on for a second")
    parser.add_argument("--most-memory-mb", type=int, default=2000)
    parser.add_argument("--most-processes", type=int, default=50)
    parser.add_argument("--base-port", type=int, default=21000)
    parser.add_argument("--binary", default=str(ROOT / "build/programs/kingcuplock-gateway"))
    options = parser.parse_args()
    if options.base_port + 2000 > FIRST_EPHEMERAL_PORT:
        print(f"--base-port must leave 2,000 ports below {FIRST_EPHEMERAL_PORT}", file=sys.stderr)
        return 2
    if options.gateways > options.most_processes or not os.access(options.binary, os.X_OK):
        print("more gateways than --most-processes allows, or no gateway at --binary; build first", file=sys.stderr)
        return 2
    if options.regressions:
        lines = (ROOT / "soak/regressions.txt").read_text().splitlines()
        cases = [it.split(":")[0].split() for it in lines if it and not it.startswith("#")]
        seeds = [int(it[0]) for it in cases if ("--planned-only" in it) == options.planned_only]
    elif options.seed is not None:
        seeds = [options.seed]
    else:
        seeds = range(options.first, (options.to or options.first) + 1)
    good = [asyncio.run(run_seed(options, it)) for it in seeds]
    print(f"{sum(good)} of {len(good)} seeds kept every promise")
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
