"""Runs one deployment of the examples on loopback: the stand-ins of store and databases, and the proxies.

Used by tools/demo and the tests in tests/process. Stops only what it started.
"""
import json
import pathlib
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
INSTANCES = 5
# Per deployment: time in ms to open a database connection, write kind, read kind with a maximum age.
DEPLOYMENTS = {"hamsukhan": (12, "book", "list-partners"), "siam": (30, "order", "stock-view")}


def shift_ports(value, offset):
    """Returns a copy of a JSON value in which every port is raised by `offset`."""
    if isinstance(value, list):
        return [shift_ports(it, offset) for it in value]
    if isinstance(value, dict):
        return {key: it + offset if key == "port" else shift_ports(it, offset) for key, it in value.items()}
    return value


class Deployment:
    """One deployment. Ports are those of the examples plus `port_offset`, so that several deployments can run at once."""

    def __init__(self, name, log, build=BUILD, port_offset=0):
        self.name = name
        self.build = pathlib.Path(build)
        self.opening_ms, self.write_kind, self.read_kind = DEPLOYMENTS[name]
        self.scratch = tempfile.TemporaryDirectory()
        self.log = log
        self.started = []
        self.proxies = {}
        self.manifest = shift_ports(self.read_example("manifest.json"), port_offset)
        self.settings = [shift_ports(self.read_example(f"proxy-{n + 1}.json"), port_offset) for n in range(INSTANCES)]
        self.store = f"127.0.0.1:{self.settings[0]['store']['port']}"

    def read_example(self, file):
        return json.loads((ROOT / "examples" / self.name / file).read_text())

    def write_file(self, file, value):
        path = pathlib.Path(self.scratch.name) / file
        path.write_text(json.dumps(value))
        return path

    # Processes.

    def start(self, program, *arguments):
        process = subprocess.Popen([self.build / program, *map(str, arguments)], stdout=self.log, stderr=self.log)
        self.started.append(process)
        return process

    def start_proxy(self, n):
        path = self.write_file(f"proxy-{n + 1}.json", self.settings[n])
        self.proxies[n] = self.start("programs/kingcuplock-proxy", "--settings", path)
        return self.proxies[n]

    def start_all(self):
        self.start("standin/store/kingcuplock-standin-store", "--port", self.store.split(":")[1])
        for database in self.manifest["databases"]:
            self.start("standin/database/kingcuplock-standin-database", "--name", database["name"], "--port",
                       database["members"][0]["port"] - 1, "--slots", database["slots"], "--connections",
                       database["connections"], "--opening-ms", self.opening_ms)
        time.sleep(0.3)
        for n in range(INSTANCES):
            self.start_proxy(n)
        published = self.publish(self.manifest, 0)
        if published.returncode != 0:
            raise RuntimeError(f"kingcuplock-publish failed: {published.stdout}{published.stderr}")

    def stop_all(self):
        """Stops all processes. Returns whether each of them ended in time after SIGTERM."""
        # The proxies stop first: their planned stop needs the store and the databases.
        proxies = list(self.proxies.values())
        others = [it for it in self.started if it not in proxies]
        in_time = [self.stop_processes(group) for group in (proxies, others)]
        self.scratch.cleanup()
        return all(in_time)

    @staticmethod
    def stop_processes(processes, timeout=15):
        in_time = True
        for process in processes:
            if process.poll() is None:
                process.terminate()
        for process in processes:
            try:
                process.wait(timeout=timeout)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                in_time = False
        return in_time

    # Commands.

    def publish(self, manifest, expect_version):
        path = self.write_file("manifest.json", manifest)
        return subprocess.run([self.build / "programs/kingcuplock-publish", "publish", "--store", self.store, "--deployment",
                               self.name, "--manifest", path, "--expect-version", str(expect_version)],
                              capture_output=True, text=True)

    def call(self, *arguments):
        completed = subprocess.run([self.build / "programs/kingcuplock-call", *map(str, arguments)], capture_output=True, text=True)
        if not completed.stdout:
            return {"status": "error", "message": completed.stderr.strip()}
        return json.loads(completed.stdout)

    def address(self, n):
        return f"127.0.0.1:{self.settings[n % INSTANCES]['listen']['port']}"

    def request(self, n, kind, request_id, *arguments, database=None, patience=10000):
        database = database or self.manifest["databases"][0]["name"]
        return self.call("request", "--to", self.address(n), "--database", database, "--kind", kind, "--id", request_id,
                         "--patience-ms", patience, *arguments)

    def status(self, n):
        return self.call("status", "--to", self.address(n))

    def control_store(self, action, *arguments):
        return self.call("control", action, "--to", self.store, *arguments)

    def control_database(self, database, action, *arguments):
        config = next(it for it in self.manifest["databases"] if it["name"] == database)
        address = f"127.0.0.1:{config['members'][0]['port'] - 1}"
        return self.call("control", action, "--to", address, *arguments)

    def find_owner(self, database):
        """Returns the index of the instance that serves as owner, or None."""
        for n in self.proxies:
            for it in self.status(n).get("databases", []):
                if it["database"] == database and it.get("phase") == "serving":
                    return n
        return None

    def wait_until_served(self, timeout=15):
        """Waits until a write to each database through instance 0 is answered ok. Returns whether this happened in time."""
        deadline = time.time() + timeout
        for database in self.manifest["databases"]:
            n = 0
            while self.request(0, self.write_kind, f"ready-{database['name']}-{n}", "--put", "ready=1",
                               database=database["name"])["status"] != "ok":
                n += 1
                if time.time() > deadline:
                    return False
                time.sleep(0.1)
        return True
