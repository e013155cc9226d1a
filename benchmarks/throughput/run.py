#!/usr/bin/env python3
"""One proxy on one core: statements/s, added latency, memory of idle clients, start to first answer.

Usage: benchmarks/throughput/run.py [--base-port N] [--seconds N] [--core N]. Needs a build. Prints Markdown.
"""
import argparse
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = ROOT / "build"
CLIENTS = (1, 64, 3200)
IDLE_CLIENTS = (200, 1000, 3200)


def manifest(port):
    members = [{"name": f"bench-{n}", "host": "127.0.0.1", "port": port + n} for n in (1, 2, 3)]
    kinds = [{"name": "write", "access": "write"}, {"name": "fresh", "access": "read", "max_age_ms": 0},
             {"name": "stale", "access": "read", "max_age_ms": 5000}]
    return {"version": 1, "deployment": "bench", "databases": [
        {"name": "bench", "members": members, "slots": 64, "connections": 128, "kinds": kinds}]}


def ticks(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])


class Bench:
    def __init__(self, options):
        self.options, self.started = options, []
        self.store, self.proxy, self.database = options.base_port, options.base_port + 1, options.base_port + 10
        self.scratch = pathlib.Path(tempfile.mkdtemp())

    def start(self, *command, **more):
        self.started.append(subprocess.Popen(list(map(str, command)), stderr=subprocess.DEVNULL, **more))
        return self.started[-1]

    def deploy(self):
        self.start(BUILD / "standin/store/kingcuplock-standin-store", "--port", self.store)
        self.start(BUILD / "standin/database/kingcuplock-standin-database", "--name", "bench", "--port", self.database,
                   "--slots", 64, "--connections", 4000, "--opening-ms", 0, "--service-ms", 0)
        time.sleep(0.5)
        path = self.scratch / "manifest.json"
        path.write_text(json.dumps(manifest(self.database)))
        subprocess.run([BUILD / "programs/kingcuplock-publish", "publish", "--store", f"127.0.0.1:{self.store}",
                        "--deployment", "bench", "--manifest", path, "--expect-version", "0"], check=True,
                       stdout=subprocess.DEVNULL)

    def start_proxy(self):
        path = self.scratch / "proxy.json"
        path.write_text(json.dumps({"instance": "bench-proxy", "deployment": "bench", "data_centre": "dc",
                                    "listen": {"host": "127.0.0.1", "port": self.proxy},
                                    "store": {"host": "127.0.0.1", "port": self.store}, "peers": []}))
        began = time.time()
        process = self.start("taskset", "-c", self.options.core, BUILD / "programs/kingcuplock-proxy", "--settings", path)
        call = [BUILD / "programs/kingcuplock-call", "request", "--to", f"127.0.0.1:{self.proxy}", "--database", "bench",
                "--kind", "write", "--id", f"first-{began}", "--put", "row=value"]
        while subprocess.run(call, capture_output=True).returncode and time.time() - began < 20:
            time.sleep(0.01)
        return process, time.time() - began

    def client(self, port, clients, *more):
        out = subprocess.run([BUILD / "benchmarks/throughput", "--to", f"127.0.0.1:{port}", "--connections",
                              str(clients), "--seconds", str(self.options.seconds), *more],
                             capture_output=True, text=True, check=True).stdout
        return json.loads(out)

    def idle_memory(self, pid, clients):
        before = resident_kb(pid)
        client = self.start(BUILD / "benchmarks/throughput", "--to", f"127.0.0.1:{self.proxy}", "--connections",
                            clients, "--idle", "--seconds", 3, stdout=subprocess.PIPE, text=True)
        client.stdout.readline()
        time.sleep(0.5)
        cpu = ticks(pid)
        time.sleep(2)
        used, after = (ticks(pid) - cpu) / 2, resident_kb(pid)
        client.wait(timeout=15)
        return before, after, used

    def run(self):
        self.deploy()
        for clients in IDLE_CLIENTS:
            process, first = self.start_proxy()
            print(f"start to first answer: {first * 1000:.0f} ms")
            before, after, used = self.idle_memory(process.pid, clients)
            print(f"{clients} idle clients: {before} KB before, {after} KB with them, {(after - before) / 1024:.1f} MB "
                  f"more, {(after - before) / clients:.1f} KB each, {used * 1000:.0f} ms CPU a second")
            if clients != IDLE_CLIENTS[-1]:
                process.terminate()
                process.wait(timeout=15)
        print("\n| path | clients | in flight | statements/s | p50 us | p99 us | proxy CPU s per s | us CPU a statement |")
        print("| --- | --- | --- | --- | --- | --- | --- | --- |")
        for clients in self.options.clients:
            for kind in ("direct", "fresh", "stale"):
                more = ["--direct"] if kind == "direct" else ["--kind", kind]
                cpu = ticks(process.pid)
                got = self.client(self.database + 1 if kind == "direct" else self.proxy, clients, *more)
                cpu = (ticks(process.pid) - cpu) / self.options.seconds
                rate = got["statements_per_s"]
                each = "" if kind == "direct" else f"{cpu / max(rate, 1) * 1e6:.1f}"
                print(f"| {kind} | {clients} | {min(clients, 64)} | {rate} | {got['p50_us']} | {got['p99_us']} | "
                      f"{cpu:.2f} | {each} |", flush=True)

    def stop(self):
        for it in reversed(self.started):
            if it.poll() is None:
                it.send_signal(signal.SIGTERM)
        for it in self.started:
            try:
                it.wait(timeout=15)
            except subprocess.TimeoutExpired:
                it.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--base-port", type=int, default=7700)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--core", type=int, default=0)
    parser.add_argument("--clients", type=int, nargs="+", default=CLIENTS)
    bench = Bench(parser.parse_args())
    try:
        bench.run()
    finally:
        bench.stop()


if __name__ == "__main__":
    main()
