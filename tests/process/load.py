"""Concurrent writers against a deployment, and the check that their writes are present exactly once."""
import collections
import random
import threading
import time

from deployment import INSTANCES


class ConcurrentWriters:
    """Threads that append to one row of each database through any instance that accepts a connection.

    Appends make faults visible: a lost write is a missing part, a duplicated one a part that occurs twice. A write whose
    connection was refused was not sent and is repeated under the same id; any other answer counts.
    """

    def __init__(self, deployment, threads=3):
        self.deployment = deployment
        self.databases = [it["name"] for it in deployment.manifest["databases"]]
        self.unavailable_instances = set()
        self.lock = threading.Lock()
        self.acknowledged = collections.defaultdict(set)
        self.not_acknowledged = []
        self.slowest_write_s = 0.0
        self.running = True
        self.threads = [threading.Thread(target=self.write_until_stopped, args=(n,)) for n in range(threads)]

    def __enter__(self):
        for it in self.threads:
            it.start()
        return self

    def __exit__(self, *_):
        self.running = False
        for it in self.threads:
            it.join()

    def write_until_stopped(self, writer):
        random_source = random.Random(writer)
        number = 0
        while self.running:
            number += 1
            database = self.databases[number % len(self.databases)]
            self.write(random_source, database, f"p{writer}-{number}")

    def write(self, random_source, database, part):
        started_at = time.time()
        while True:
            instance = random_source.choice([n for n in range(INSTANCES) if n not in self.unavailable_instances])
            answer = self.deployment.request(instance, self.deployment.write_kind, part, "--append", f"log={part}",
                                             database=database, patience=4000)
            # A load balancer would choose another instance when a connection is refused; the request was not sent.
            if not (answer["status"] == "error" and "cannot connect" in answer["message"]):
                break
        with self.lock:
            self.slowest_write_s = max(self.slowest_write_s, time.time() - started_at)
            if answer["status"] == "ok":
                self.acknowledged[database].add(part)
            else:
                self.not_acknowledged.append((part, answer))

    def find_lost_and_duplicated(self):
        """Reads every row back. Returns the acknowledged parts that are missing and the parts that occur more than once."""
        lost, duplicated = [], []
        for database in self.databases:
            answer = self.deployment.request(self.first_available_instance(), self.deployment.write_kind,
                                             f"verify-{database}", "--get", "log", database=database)
            parts = answer["results"][0].get("value", "").split(",")
            occurrences = collections.Counter(parts)
            lost += [it for it in self.acknowledged[database] if occurrences[it] == 0]
            duplicated += [it for it, n in occurrences.items() if n > 1]
        return lost, duplicated

    def first_available_instance(self):
        return next(n for n in range(INSTANCES) if n not in self.unavailable_instances)

    def count_acknowledged(self):
        return sum(len(it) for it in self.acknowledged.values())
