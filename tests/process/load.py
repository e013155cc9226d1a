"""Writers against a deployment and the check of what they wrote."""
import collections
import random
import threading
import time

from deployment import INSTANCES


class ConcurrentWriters:
    """Threads that append to one row of each database through any instance that accepts a connection.

    An append shows a lost write as a missing part and a doubled one as a part that stands twice. A write that is not
    answered for sure is sent again under the same id.
    """

    def __init__(self, deployment, threads=3):
        self.deployment = deployment
        self.databases = [it["name"] for it in deployment.manifest["databases"]]
        self.unavailable_instances = set()
        self.lock = threading.Lock()
        self.acknowledged = collections.defaultdict(set)
        self.not_ok = []
        self.slowest_write_s = 0.0
        self.running = True
        self.threads = [threading.Thread(target=self.run, args=(n,)) for n in range(threads)]

    def __enter__(self):
        for it in self.threads:
            it.start()
        return self

    def __exit__(self, *_):
        self.running = False
        for it in self.threads:
            it.join()

    def run(self, writer):
        choice = random.Random(writer)
        number = 0
        while self.running:
            number += 1
            database = self.databases[number % len(self.databases)]
            self.write(choice, database, f"p{writer}-{number}")

    def write(self, choice, database, part):
        began = time.time()
        while True:
            instance = choice.choice([n for n in range(INSTANCES) if n not in self.unavailable_instances])
            answer = self.deployment.request(instance, self.deployment.write_kind, part, "--append", f"log={part}",
                                             database=database, patience=4000)
            # A refused connection is the balancer's matter: the request was not sent.
            if not (answer["status"] == "error" and "cannot connect" in answer["message"]):
                break
        with self.lock:
            self.slowest_write_s = max(self.slowest_write_s, time.time() - began)
            if answer["status"] == "ok":
                self.acknowledged[database].add(part)
            else:
                self.not_ok.append((part, answer))

    def find_lost_and_duplicated(self):
        """Reads every row back. Returns the acknowledged writes that are not there and the parts that stand twice."""
        lost, doubled = [], []
        for database in self.databases:
            answer = self.deployment.request(self.first_available_instance(), self.deployment.write_kind, f"verify-{database}", "--get", "log",
                                             database=database)
            parts = answer["results"][0].get("value", "").split(",")
            counts = collections.Counter(parts)
            lost += [it for it in self.acknowledged[database] if counts[it] == 0]
            doubled += [it for it, n in counts.items() if n > 1]
        return lost, doubled

    def first_available_instance(self):
        return next(n for n in range(INSTANCES) if n not in self.unavailable_instances)

    def count_acknowledged(self):
        return sum(len(it) for it in self.acknowledged.values())
