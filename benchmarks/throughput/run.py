#!/usr/bin/env python3
"""Measures one proxy on one core: statements/s, added latency, memory of idle clients, start to first answer.

Usage: benchmarks/throughput/run.py [--base-port N] [--seconds N] [--core N] [--clients N ...]

Needs a build in build/. Prints lines of text and a Markdown table.
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


def make_manifest(port):
    """Returns a manifest of one database, whose members listen on the three ports after `port`."""
    members = [{"name": f"bench-{n}", "host": "127.0.0.1", "port": port + n} for n in (1, 2, 3)]
    kinds = [{"name": "write", "access": "write"}, {"name": "fresh", "access": "read", "max_age_ms": 0},
             {"name": "stale", "access": "read", "max_age_ms": 5000}]
    return {"version": 1, "deployment": "bench", "databases": [
        {"name": "bench", "members": members, "slots": 64, "connections": 128, "kinds": kinds}]}


def cpu_seconds(pid):
    """Returns the processor time that a process has used, in user and system mode."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_kb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])


class ThroughputBenchmark:
    """The stand-ins, one proxy and the measurements. Ports: base_port, base_port + 1 and base_port + 10 to + 13."""

    def __init__(self, options):
        self.options, self.processes = options, []
        self.store_port, self.proxy_port, self.database_port = (
            options.base_port, options.base_port + 1, options.base_port + 10)
        self.scratch = pathlib.Path(tempfile.mkdtemp())

    def start(self, *command, **popen_arguments):
        self.processes.append(subprocess.Popen(list(map(str, command)), stderr=subprocess.DEVNULL, **popen_arguments))
        return self.processes[-1]

    def start_database(self):
        """Starts the stand-ins for the store and the database and publishes the manifest."""
        self.start(BUILD / "standin/store/kingcuplock-standin-store", "--port", self.store_port)
        self.start(BUILD / "standin/database/kingcuplock-standin-database", "--name", "bench",
                   "--port", self.database_port, "--slots", 64, "--connections", 4000,
                   "--opening-ms", 0, "--service-ms", 0)
        time.sleep(0.5)
        path = self.scratch / "manifest.json"
        path.write_text(json.dumps(make_manifest(self.database_port)))
        subprocess.run([BUILD / "programs/kingcuplock-publish", "publish", "--store", f"127.0.0.1:{self.store_port}",
                        "--deployment", "bench", "--manifest", path, "--expect-version", "0"], check=True,
                       stdout=subprocess.DEVNULL)

    def start_proxy(self):
        """Returns the process and the time in s until a write was answered, 20 s or more if none was."""
        path = self.scratch / "proxy.json"
        path.write_text(json.dumps({"instance": "bench-proxy", "deployment": "bench", "data_centre": "dc",
                                    "listen": {"host": "127.0.0.1", "port": self.proxy_port},
                                    "store": {"host": "127.0.0.1", "port": self.store_port}, "peers": []}))
        began = time.time()
        process = self.start("taskset", "-c", self.options.core,
                             BUILD / "programs/kingcuplock-proxy", "--settings", path)
        call = [BUILD / "programs/kingcuplock-call", "request", "--to", f"127.0.0.1:{self.proxy_port}",
                "--database", "bench", "--kind", "write", "--id", f"first-{began}", "--put", "row=value"]
        while subprocess.run(call, capture_output=True).returncode and time.time() - began < 20:
            time.sleep(0.01)
        return process, time.time() - began

    def run_client(self, port, clients, *arguments):
        """Returns the JSON result of the client program benchmarks/throughput."""
        out = subprocess.run([BUILD / "benchmarks/throughput", "--to", f"127.0.0.1:{port}", "--connections",
                              str(clients), "--seconds", str(self.options.seconds), *arguments],
                             capture_output=True, text=True, check=True).stdout
        return json.loads(out)

    def measure_idle_clients(self, pid, clients):
        """Returns the memory in KB before and with idle clients, and the CPU seconds per second with them."""
        before_kb = resident_kb(pid)
        client = self.start(BUILD / "benchmarks/throughput", "--to", f"127.0.0.1:{self.proxy_port}", "--connections",
                            clients, "--idle", "--seconds", 3, stdout=subprocess.PIPE, text=True)
        client.stdout.readline()
        time.sleep(0.5)
        cpu_s = cpu_seconds(pid)
        time.sleep(2)
        cpu_share, after_kb = (cpu_seconds(pid) - cpu_s) / 2, resident_kb(pid)
        client.wait(timeout=15)
        return before_kb, after_kb, cpu_share

    def run(self):
        self.start_database()
        for clients in IDLE_CLIENTS:
            process, start_s = self.start_proxy()
            print(f"start to first answer: {start_s * 1000:.0f} ms")
            before_kb, after_kb, cpu_share = self.measure_idle_clients(process.pid, clients)
            print(f"{clients} idle clients: {before_kb} KB before, {after_kb} KB with them, "
                  f"{(after_kb - before_kb) / 1024:.1f} MB more, {(after_kb - before_kb) / clients:.1f} KB each, "
                  f"{cpu_share * 1000:.0f} ms CPU a second")
            if clients != IDLE_CLIENTS[-1]:
                process.terminate()
                process.wait(timeout=15)
        print("\n| path | clients | in flight | statements/s | p50 us | p99 us | proxy CPU s per s | us CPU a statement |")
        print("| --- | --- | --- | --- | --- | --- | --- | --- |")
        for clients in self.options.clients:
            for kind in ("direct", "fresh", "stale"):
                arguments = ["--direct"] if kind == "direct" else ["--kind", kind]
                cpu_s = cpu_seconds(process.pid)
                result = self.run_client(self.database_port + 1 if kind == "direct" else self.proxy_port, clients,
                                         *arguments)
                cpu_s = (cpu_seconds(process.pid) - cpu_s) / self.options.seconds
                rate = result["statements_per_s"]
                cpu_us = "" if kind == "direct" else f"{cpu_s / max(rate, 1) * 1e6:.1f}"
                print(f"| {kind} | {clients} | {min(clients, 64)} | {rate} | {result['p50_us']} | {result['p99_us']} | "
                      f"{cpu_s:.2f} | {cpu_us} |", flush=True)

    def stop(self):
        for it in reversed(self.processes):
            if it.poll() is None:
                it.send_signal(signal.SIGTERM)
        for it in self.processes:
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
    bench = ThroughputBenchmark(parser.parse_args())
    try:
        bench.run()
    finally:
        bench.stop()


if __name__ == "__main__":
    main()
