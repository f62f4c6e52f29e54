"""Faults on real processes: cuts, lost replies, racing operators, a wrong
setting. The promises are read from the store's and the upstreams' records."""
import pathlib
import subprocess
import sys
import threading
import unittest

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import fleet as fleet_module  # noqa: E402


class FleetFault(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = fleet_module.Fleet()
        cls.fleet.start()
        cls.fleet.ctl("topup", "khan", "10000000", "--operation=t")
        for index in range(3):
            cls.fleet.complete(index, "warm")

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def tearDown(self):
        self.fleet.faults(outage=0, delay_ms=0, lose=0)
        for index in range(3):
            self.fleet.cut_peers(index, False)
        self.assertEqual(
            self.fleet.ctl("account", "--verify", check=False).returncode, 0)
        for key, count in self.fleet.executions().items():
            self.assertEqual(count, 1, f"key {key} ran {count} times")
        self.fleet.wait_ready()

    def billed(self, key):
        return sum(bill["key"] == key for bill in
                   self.fleet.accounts()["khan"]["bills"])

    def test_replies_lost_after_effect(self):
        self.fleet.faults(lose=3)
        replies = [self.fleet.call(n % 3, f"lost-{n}") for n in range(6)]
        for number, reply in enumerate(replies):
            if reply.whole:
                self.assertEqual(self.billed(f"lost-{number}"), 1)
            elif reply.outcome == "not-run":
                self.assertNotIn(f"lost-{number}", self.fleet.executions())

    def test_slow_store(self):
        self.fleet.faults(delay_ms=300)
        reply = self.fleet.complete(0, "slow store", key="slow-1")
        self.assertTrue(reply.whole)
        self.fleet.faults(delay_ms=0)
        fleet_module.wait_until("the bill is durable",
                                lambda: self.billed("slow-1") == 1)

    def test_cut_from_store_and_peers_goes_unready(self):
        self.fleet.faults(port=self.fleet.store_ports[0], outage=1)
        for index in range(3):
            self.fleet.cut_peers(index, True)
        fleet_module.wait_until(
            "the cut router is not ready",
            lambda: self.fleet.get(self.fleet.operators[0],
                                   "/readyz").status == 503)
        reply = self.fleet.call(0, "cut-1")
        self.assertEqual(reply.outcome, "not-run")
        elsewhere = self.fleet.call(1, "cut-1")
        self.assertTrue(elsewhere.whole)

    def test_racing_operators(self):
        path = self.fleet.work / "race.toml"
        path.write_text(self.fleet.text() + "# an edit\n")
        version = str(self.fleet.status(1)["configuration_version"])
        codes = []

        def apply(name):
            codes.append(self.fleet.ctl(
                "apply", str(path), "--expect_version=" + version,
                "--operator_name=" + name, check=False).returncode)
        workers = [threading.Thread(target=apply, args=(n,))
                   for n in ("anna", "bela")]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
        self.assertEqual(sorted(codes), [0, 3])
        wanted = int(version) + 1
        for index in range(3):
            fleet_module.wait_until(
                "the change is in force",
                lambda i=index: self.fleet.status(i)[
                    "configuration_version"] == wanted)

    def test_configuration_with_the_store_away_right_after(self):
        path = self.fleet.work / "away.toml"
        path.write_text(self.fleet.text() + "# while the store is away\n")
        wanted = self.fleet.status(0)["configuration_version"] + 1
        for port in self.fleet.store_ports:
            self.fleet.faults(port=port, outage=1)
        self.fleet.ctl("apply", str(path))
        for index in range(3):
            fleet_module.wait_until(
                "the change is in force without the store",
                lambda i=index: self.fleet.status(i)[
                    "configuration_version"] >= wanted)

    def test_wrong_settings(self):
        for flags, named in [(["--instance=a b"], "--instance"),
                             (["--instance=a", "--failure_domain=d",
                               "--listen=here"], "--listen"),
                             (["--instance=a", "--failure_domain=d",
                               "--store_timeout_ms=1"],
                              "--store_timeout_ms")]:
            run = subprocess.run([str(self.fleet.bin / "bronzeward"), *flags],
                                 capture_output=True, text=True)
            self.assertEqual(run.returncode, 2)
            self.assertIn(named, run.stderr)
            self.assertIn("allowed", run.stderr)
            self.assertEqual(run.stderr.count("\n"), 1)


if __name__ == "__main__":
    unittest.main()
