"""Failures of whole processes, driven through the built binaries. Usage: process_test.py BUILD TEST..."""
import pathlib
import signal
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent / "tools"))
from deployment import INSTANCES, Deployment  # noqa: E402
from load import ConcurrentWriters  # noqa: E402

BUILD = None
PORT_OFFSET = 16800
LEASE_S = 2.0


class ProcessTest(unittest.TestCase):
    def setUp(self):
        self.log = open(pathlib.Path(BUILD) / f"{self.id().split('.')[-1]}.log", "w")
        self.deployment = Deployment("hamsukhan", self.log, BUILD, PORT_OFFSET)
        self.addCleanup(self.log.close)
        self.addCleanup(self.deployment.stop_all)
        self.deployment.start_all()
        self.assertTrue(self.deployment.wait_until_served(), "the deployment does not serve")
        self.database = self.deployment.manifest["databases"][0]["name"]

    def check_writes(self, writers, at_least):
        lost, doubled = writers.find_lost_and_duplicated()
        self.assertEqual(lost, [])
        self.assertEqual(doubled, [])
        self.assertGreaterEqual(writers.count_acknowledged(), at_least)

    def wait_for(self, condition, timeout, what):
        deadline = time.time() + timeout
        while not condition():
            self.assertLess(time.time(), deadline, what)
            time.sleep(0.1)

    def test_rolling_replacement(self):
        """All instances are replaced one after the other under load; no request fails."""
        with ConcurrentWriters(self.deployment) as writers:
            for n in range(INSTANCES):
                writers.unavailable_instances.add(n)
                process = self.deployment.proxies[n]
                process.terminate()
                self.assertEqual(process.wait(timeout=12), 0)
                self.deployment.start_proxy(n)
                self.wait_for(lambda n=n: self.deployment.status(n).get("manifest_version") == 1, 5, "no manifest")
                writers.unavailable_instances.discard(n)
        self.assertEqual(writers.not_ok, [])
        self.check_writes(writers, INSTANCES)

    def test_kill_during_writes(self):
        """An owner is killed (-9) during writes; nothing acknowledged is lost, nothing is doubled."""
        with ConcurrentWriters(self.deployment) as writers:
            time.sleep(1)
            owner = self.deployment.find_owner(self.database)
            writers.unavailable_instances.add(owner)
            self.deployment.proxies[owner].kill()
            self.deployment.proxies[owner].wait()
            time.sleep(LEASE_S + 4)
            self.assertIsNotNone(self.deployment.find_owner(self.database))
        self.check_writes(writers, 1)

    def test_frozen_owner(self):
        """An owner is frozen past its lease and wakes; it acknowledges nothing that its successor does not have."""
        with ConcurrentWriters(self.deployment) as writers:
            time.sleep(1)
            owner = self.deployment.find_owner(self.database)
            process = self.deployment.proxies[owner]
            process.send_signal(signal.SIGSTOP)
            try:
                time.sleep(LEASE_S + 3)
            finally:
                process.send_signal(signal.SIGCONT)
            time.sleep(1)
        self.check_writes(writers, 1)
        answer = self.deployment.request(owner, self.deployment.write_kind, "awake", "--put", "awake=1")
        self.assertEqual(answer["status"], "ok")

    def test_primary_killed(self):
        """The primary is killed; writes go on within 10 s, nothing acknowledged is lost, nothing is doubled."""
        primary = self.deployment.manifest["databases"][0]["members"][0]["name"]
        with ConcurrentWriters(self.deployment) as writers:
            time.sleep(1)
            self.deployment.control_database(self.database, "kill", "--member", primary)
            time.sleep(4)
            self.deployment.control_database(self.database, "revive", "--member", primary)
            time.sleep(1)
        self.assertLess(writers.slowest_write_s, 10)
        self.check_writes(writers, 1)

    def test_store_down(self):
        """The store is down for 10 s; writes go on by confirmation of every member."""
        with ConcurrentWriters(self.deployment) as writers:
            time.sleep(1)
            self.deployment.control_store("down")
            time.sleep(LEASE_S + 1)
            began = writers.count_acknowledged()
            time.sleep(7)
            during = writers.count_acknowledged() - began
            self.deployment.control_store("up")
            time.sleep(4)
        self.assertGreater(during, 0)
        self.check_writes(writers, 1)
        answer = self.deployment.request(0, self.deployment.write_kind, "after", "--put", "after=1")
        self.assertEqual(answer["status"], "ok")


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
