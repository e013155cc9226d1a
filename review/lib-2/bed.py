"""Test bed of the review's scripts: gateways of the deploy file before the project's stand-in of the platform.

The store, the members and the promotion service are those of soak/platform_standin.py. Every address is a loopback
address, ports are free ones, settings and logs go to a temporary folder. The bed ends the processes that it started.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "soak"))
from platform_standin import Group, Store, serve_http  # noqa: E402

SERVICE = "pairing-core-1"
# Figures of the deployment hamsukhan-pairing, smallest machine.
MEMORY_MB = 390
FD_LIMIT = 6300
BOUNDS = {"seed_lag_s": 3, "address_reuse_s": 2, "stable_window_ms": 4000, "acknowledge_ms": 5000, "catch_up_s": 4,
          "drain_ms": 7000, "grace_s": 6, "loss_slack_ms": 200, "config_propagation_ms": 3000,
          "rollback_slack_ms": 250, "outer_bound_ms": 12000, "recovery_s": 12, "fencing_required": True,
          "thaw_ms": 300}


class CannotRun(Exception):
    """The case could not be run."""


_given_ports = set()
_port_choice = random.SystemRandom()  # scripts seed the module's own generator


def free_port():
    """Returns a free port below the ephemeral ones, which outgoing connections may take at any moment."""
    while True:
        port = _port_choice.randint(10000, 17900)
        with socket.socket() as it:
            try:
                it.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            return port


def gateway_command():
    """Returns the command of the role `gateway` in the deploy file."""
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if line.startswith("run = "):
            words = json.loads(line.split("=", 1)[1]).split()
            words[0] = str(ROOT / words[0])
            if not os.access(words[0], os.X_OK):
                raise CannotRun(f"{words[0]} is missing; run the build of deploy/system.toml")
            return words
    raise CannotRun("deploy/system.toml names no program")


class Record:
    """The file record.txt of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


class Gateway:
    def __init__(self, number, bed):
        self.bed = bed
        self.name = f"front-{number}"
        self.front, self.ready, self.peer, self.metrics = (free_port() for _ in range(4))
        self.process = None
        self.settings_path = bed.folder / f"{self.name}.json"
        self.log_path = bed.folder / f"{self.name}.log"
        self.cloud_port = bed.cloud_port
        self.write_settings()

    def write_settings(self):
        zones = {f"z{n}": "r" for n in range(4)}
        self.settings_path.write_text(json.dumps({
            "node_name": self.name, "role": "gateway", "machine_class": "front", "serves": ["front"],
            "ip_address": "127.0.0.1", "zone": f"z{int(self.name[-1]) % 4}", "region": "r", "zones": zones,
            "listen_addresses": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "internal_ports": [self.peer, self.metrics], "seed_nodes": [], "first_start": True, "loss_counted": False,
            "limits": {"cpu_share": 0.38, "cores": 1, "memory_mb": MEMORY_MB, "fd_limit": FD_LIMIT,
                       "link_mbps": 1500.0, "disk_mb": 0},
            "data_directory": None, "discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": self.bed.bounds,
            "platform": {"address": f"127.0.0.1:{self.bed.store_port}", "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_minimum_ms": 1000},
            "cloud": {"address": f"127.0.0.1:{self.cloud_port}", "rate_per_s": 50.0, "duties": ["promotion"],
                      "duty_per_s": 50.0}}))

    async def start(self):
        env = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        env["KINGCUPLOCK_CONFIG"] = str(self.settings_path)
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*gateway_command(), cwd=ROOT, env=env, stdout=log,
                                                                stderr=log)

    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running():
            os.kill(self.process.pid, number)

    def resident_mb(self):
        """Returns the resident memory of the process, 0 if it has ended."""
        try:
            pages = int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
            return pages * os.sysconf("SC_PAGESIZE") / 2**20
        except (OSError, IndexError):
            return 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Bed:
    def __init__(self, case_folder, gateways=2, members=("i-1", "i-2", "i-3"), connections=16, bounds=None,
                 member_class=None, make_group=None, synchronous_replicas=0):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.store = Store()
        self.group = Group(SERVICE, list(members), connections, self.bounds["fencing_required"], 1)
        self.synchronous_replicas = synchronous_replicas
        if make_group:
            self.group = make_group(SERVICE, list(members), connections, self.record)
        if member_class:
            self.group.members = {it: member_class(it, self.group) for it in members}
        self.count = gateways
        self.tasks = []
        self.version = 0
        self.store_port = self.cloud_port = 0
        self.gateways = []
        self.down_since = {}

    async def start(self, promotion=None):
        """Starts everything. `promotion` answers the promotion calls instead of the stand-in's own handler."""
        for member in self.group.members.values():
            server = await asyncio.start_server(member.serve, "127.0.0.1", 0, limit=1 << 22)
            member.port = server.sockets[0].getsockname()[1]
        self.store_port = await self.serve(self.handle_store, lambda: "up")
        self.cloud_port = await self.serve(promotion or self.handle_promotion, lambda: "up")
        self.publish_config()
        self.tasks = [asyncio.create_task(it) for it in (self.store.expire_leases(), self.publish_members())]
        self.gateways = [Gateway(n, self) for n in range(self.count)]
        for it in self.gateways:
            await it.start()
        until = time.monotonic() + 15
        while not all([await it.is_ready() for it in self.gateways]):
            if time.monotonic() > until or not all(it.running() for it in self.gateways):
                raise CannotRun("a gateway did not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1)
        self.record("all gateways are ready")

    async def serve(self, handler, mode):
        server = await asyncio.start_server(lambda r, w: serve_http(handler, mode, r, w), "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def handle_store(self, method, path, query, body, _headers):
        return await self.store.handle_request(method, path, query, body)

    async def handle_promotion(self, _method, _path, _query, body, headers):
        status, answer = await self.group.handle_promotion(body, headers)
        self.record(f"promotion call: {body['identifier']} fence {headers['fencing-token']} of "
                    f"{headers['duty-holder']}, answered {status}")
        return status, answer

    def publish_config(self):
        """Puts the next version of the configuration into the store: one route of each kind."""
        self.version += 1
        routes = [{"name": kind, "host": f"db-{kind}", "kind": kind, "timeout_ms": 800, "priority": 1,
                   "target_latency_ms": 200, "service": SERVICE, "staleness_limit_ms": 1500}
                  for kind in ("primary", "bounded", "own")]
        self.store.put("op/config", json.dumps(
            {"version": self.version, "routes": routes, "limits": {"transaction_idle_ms": 3000},
             "services": [{"name": SERVICE, "connection_limit": self.group.connections,
                           "synchronous_replicas": self.synchronous_replicas}]}))

    async def publish_members(self):
        sequence = 0
        while True:
            sequence += 1
            for n, (name, member) in enumerate(self.group.members.items()):
                if member.up:
                    self.down_since.pop(name, None)
                    self.store.put(f"servers/{name}", json.dumps(
                        {"service": SERVICE, "address": f"127.0.0.1:{member.port}", "zone": f"z{n}", "version": "v1",
                         "slots": 2, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": 1,
                         "database_role": "primary" if self.group.primary == name else "replica"}))
                elif f"servers/{name}" in self.store.items and self.silent_for(name) > 3 * 1.2:
                    self.store.remove(f"servers/{name}")
            await asyncio.sleep(0.6)

    def silent_for(self, name):
        """Returns how long a member that is down has been seen down, in s."""
        return time.monotonic() - self.down_since.setdefault(name, time.monotonic())

    async def stop(self):
        for it in self.gateways:
            if it.running():
                it.signal(signal.SIGKILL)
                await it.process.wait()
        for it in self.tasks:
            it.cancel()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One session at one gateway."""

    count = 0

    def __init__(self, bed, gateway, route):
        Client.count += 1
        self.bed, self.gateway, self.route = bed, gateway, route
        self.number = Client.count
        self.statements = 0

    async def open(self, timeout=2):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.gateway.front, limit=1 << 22)
        self.writer.write(f"START db-{self.route} u{self.number}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout)
        return line.startswith(b"READY")

    def next_id(self):
        self.statements += 1
        return f"c{self.number}x{self.statements}"

    async def ask(self, text, timeout=5, quiet=False):
        """Sends one statement; returns (word, rows, detail). The word is DONE or the code of the error."""
        statement = self.next_id()
        if not quiet:
            self.bed.record(f"client {self.number} sends {statement} {text[:60]}")
        self.writer.write(f"QUERY {statement} {text}\r\n".encode())
        rows, word, detail = [], "", ""
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout)).decode()[:-2]
            first, _, rest = line.partition(" ")
            if first == "ROW":
                rows.append(rest)
            elif first == "DONE":
                word, detail = "DONE", rest
            elif first == "ERROR":
                word, _, detail = rest.partition(" ")
            elif first == "READY":
                break
        if not quiet:
            self.bed.record(f"client {self.number} gets {statement} {word} {detail[:80]}")
        return word, rows, detail

    def close(self):
        self.writer.close()


def main(case_folder, run):
    """Runs `run(trouble)`, which returns the broken rule's text or None, and exits with the case's code."""
    sys.unraisablehook = lambda _: None  # connections that are still open when the event loop ends
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(run(trouble), 115))
    except CannotRun as ex:
        print(f"cannot run: {ex}")
        sys.exit(2)
    except asyncio.TimeoutError:
        print("cannot run: over its time")
        sys.exit(2)
    except Exception as ex:  # a fault of the script must not pass for a broken rule
        print(f"cannot run: {type(ex).__name__}: {ex}")
        sys.exit(2)
    if broken:
        print(f"broken: {broken}")
        sys.exit(1)
    print("held")
    sys.exit(0)
