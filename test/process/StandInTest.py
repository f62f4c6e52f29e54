"""The stand-ins keep to the published protocols that the product meets."""
import base64
import json
import pathlib
import sys
import time
import unittest

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import fleet as fleet_module  # noqa: E402


def encoded(text):
    return base64.b64encode(text.encode()).decode()


class StandIn(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = fleet_module.Fleet(
            routers=0, engines=2, engine_flags=["--checks_fencing=false"])
        cls.fleet.start()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def post(self, port, path, body):
        return fleet_module.Stream(port, "POST", path, {},
                                   json.dumps(body))

    def put(self, key, value, revision):
        reply = self.post(self.fleet.control_store, "/v3/kv/txn", {
            "compare": [{"key": encoded(key), "target": "MOD",
                         "result": "EQUAL", "mod_revision": str(revision)}],
            "success": [{"request_put": {"key": encoded(key),
                                         "value": encoded(value)}}]}).finish()
        return json.loads(reply.body)

    def test_compare_and_swap_and_watch(self):
        watch = self.post(self.fleet.control_store, "/v3/watch", {
            "create_request": {"key": encoded("w/"),
                               "range_end": encoded("w0")}})
        self.assertTrue(watch.read_until("created"))
        first = self.put("w/a", "one", 0)
        self.assertTrue(first["succeeded"])
        self.assertFalse(self.put("w/a", "two", 0)["succeeded"])
        self.assertTrue(watch.read_until(encoded("one")))
        self.assertNotIn(encoded("two"), watch.text)

    def test_lease_lapses(self):
        lease = json.loads(self.post(
            self.fleet.control_store, "/v3/lease/grant",
            {"TTL": "1"}).finish().body)["ID"]
        alive = json.loads(self.post(
            self.fleet.control_store, "/v3/lease/keepalive",
            {"ID": lease}).finish().body)
        self.assertIn("TTL", alive["result"])

        def lapsed():
            # Asking extends the lease, so that each look waits it out.
            time.sleep(1.5)
            return "TTL" not in json.loads(self.post(
                self.fleet.control_store, "/v3/lease/keepalive",
                {"ID": lease}).finish().body)["result"]
        fleet_module.wait_until("the lease lapses", lapsed)

    def test_orders_without_fencing_are_taken_and_counted(self):
        port = self.fleet.engines[0]
        for number in (5, 4):
            self.assertEqual(self.post(port, "/orders", {
                "fencing": number, "load": "m"}).finish().status, 200)
        load = json.loads(self.fleet.get(port, "/load").body)
        self.assertEqual((load["orders"], load["orders_out_of_order"]),
                         (2, 1))

    def test_orders_with_fencing_refuse_old_numbers(self):
        port = fleet_module.free_ports(1)[0]
        self.fleet.spawn("fenced", "bronzeward-standin-engine",
                         f"--listen=127.0.0.1:{port}")
        fleet_module.wait_until("the engine answers",
                                lambda: self.fleet.get(port, "/load").status)
        statuses = [self.post(port, "/orders", {
            "fencing": number, "load": "m"}).finish().status
            for number in (5, 4, 6)]
        self.assertEqual(statuses, [200, 409, 200])


if __name__ == "__main__":
    unittest.main()
