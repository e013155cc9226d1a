"""Tests failures of whole processes with the built programs.

Usage: process_test.py BUILD TEST...
"""
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
        self.assertTrue(self.deployment.wait_until_served(), "the deployment does not serve requests")
        self.database = self.deployment.manifest["databases"][0]["name"]

    def assert_writes_consistent(self, writers, minimum_acknowledged):
        lost, duplicated = writers.find_lost_and_duplicated()
        self.assertEqual(lost, [])
        self.assertEqual(duplicated, [])
        self.assertGreaterEqual(writers.count_acknowledged(), minimum_acknowledged)

    def wait_for(self, condition, timeout, message):
        deadline = time.time() + timeout
        while not condition():
            self.assertLess(time.time(), deadline, message)
            time.sleep(0.1)

    def test_rolling_replacement(self):
        """No request fails while all instances are replaced one after the other under load."""
        with ConcurrentWriters(self.deployment) as writers:
            for n in range(INSTANCES):
                writers.unavailable_instances.add(n)
                process = self.deployment.proxies[n]
                process.terminate()
                self.assertEqual(process.wait(timeout=12), 0)
                self.deployment.start_proxy(n)
                self.wait_for(lambda n=n: self.deployment.status(n).get("manifest_version") == 1, 5,
                              "no manifest after the restart")
                writers.unavailable_instances.discard(n)
        self.assertEqual(writers.not_acknowledged, [])
        self.assert_writes_consistent(writers, INSTANCES)

    def test_kill_during_writes(self):
        """No acknowledged write is lost and none is duplicated when an owner is killed (SIGKILL) during writes."""
        with ConcurrentWriters(self.deployment) as writers:
            time.sleep(1)
            owner = self.deployment.find_owner(self.database)
            writers.unavailable_instances.add(owner)
            self.deployment.proxies[owner].kill()
            self.deployment.proxies[owner].wait()
            time.sleep(LEASE_S + 4)
            self.assertIsNotNone(self.deployment.find_owner(self.database))
        self.assert_writes_consistent(writers, 1)

    def test_frozen_owner(self):
        """An owner that is stopped (SIGSTOP) past its lease and continued acknowledges no write that its successor lacks."""
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
        self.assert_writes_consistent(writers, 1)
        answer = self.deployment.request(owner, self.deployment.write_kind, "awake", "--put", "awake=1")
        self.assertEqual(answer["status"], "ok")

    def test_primary_killed(self):
        """Writes continue within 10 s after the primary is killed; none that is acknowledged is lost, none is duplicated."""
        primary = self.deployment.manifest["databases"][0]["members"][0]["name"]
        with ConcurrentWriters(self.deployment) as writers:
            time.sleep(1)
            self.deployment.control_database(self.database, "kill", "--member", primary)
            time.sleep(4)
            self.deployment.control_database(self.database, "revive", "--member", primary)
            time.sleep(1)
        self.assertLess(writers.slowest_write_s, 10)
        self.assert_writes_consistent(writers, 1)

    def test_store_down(self):
        """Writes continue while the store is down for 10 s, beyond the lease, as every member confirms the primary."""
        with ConcurrentWriters(self.deployment) as writers:
            time.sleep(1)
            self.deployment.control_store("down")
            time.sleep(LEASE_S + 1)
            count_before = writers.count_acknowledged()
            time.sleep(7)
            count_during = writers.count_acknowledged() - count_before
            self.deployment.control_store("up")
            time.sleep(4)
        self.assertGreater(count_during, 0)
        self.assert_writes_consistent(writers, 1)
        answer = self.deployment.request(0, self.deployment.write_kind, "after", "--put", "after=1")
        self.assertEqual(answer["status"], "ok")


if __name__ == "__main__":
    BUILD = sys.argv.pop(1)
    unittest.main(verbosity=2)
