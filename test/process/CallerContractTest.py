"""The callers' contract on a real router: every misuse has a stated answer."""
import json
import pathlib
import socket
import sys
import time
import unittest

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import fleet as fleet_module  # noqa: E402


class CallerContract(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = fleet_module.Fleet(
            routers=1, engines=1, engine_flags=["--token_ms=50"],
            router_flags=["--max_connections=20", "--read_timeout_ms=500",
                          "--max_body_bytes=4096"])
        cls.fleet.start()
        cls.fleet.ctl("topup", "khan", "1000000", "--operation=t")

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def raw(self, data, finish=True):
        with socket.create_connection(
                ("127.0.0.1", self.fleet.callers[0]), 30) as connection:
            connection.sendall(data)
            text = b""
            while finish:
                piece = connection.recv(65536)
                text += piece
                if not piece or b"\r\n\r\n{" in text and b"}}" in text:
                    break
            return text.decode()

    def refused(self, answer, status, reason):
        self.assertIn(f"HTTP/1.1 {status} ", answer)
        self.assertIn("Bronzeward-Outcome: not-run", answer)
        self.assertIn(f"Bronzeward-Reason: {reason}", answer)

    def test_long_headers(self):
        self.refused(self.raw(b"GET / HTTP/1.1\r\nX: " + b"a" * 40000 +
                              b"\r\n\r\n"), 431, "headers-too-large")

    def test_long_body(self):
        self.refused(self.raw(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 9000\r\n\r\n" + b"a" * 9000), 413, "too-large")

    def test_slow_sender(self):
        self.refused(self.raw(b"POST /v1/chat/completions HTT"), 408,
                     "slow-request")

    def test_broken_request(self):
        self.refused(self.raw(b"\x01\x02 nonsense\r\n\r\n"), 400,
                     "invalid-request")

    def test_body_that_its_method_forbids(self):
        self.refused(self.raw(b"TRACE /ledger/x HTTP/1.1\r\nHost: x\r\n"
                              b"Content-Length: 6\r\n\r\nnobody"),
                     400, "invalid-request")

    def test_wrong_key_unknown_model_and_bad_json(self):
        self.refused(self.raw(b"POST /v1/chat/completions HTTP/1.1\r\n"
                              b"Host: x\r\nContent-Length: 2\r\n\r\n{}"),
                     401, "wrong-key")
        reply = self.fleet.complete(0, "x", stream=False)
        self.assertTrue(reply.whole)
        bad = fleet_module.Stream(
            self.fleet.callers[0], "POST", "/v1/chat/completions",
            {"Authorization": "Bearer khan-key"}, "{").finish()
        self.assertEqual((bad.status, bad.reason), (400, "invalid-request"))
        error = json.loads(bad.body)["error"]
        self.assertEqual(error["outcome"], "not-run")
        self.assertIs(error["retry"], False)

    def test_caller_that_disconnects_cancels_its_work(self):
        def cancelled():
            return json.loads(self.fleet.get(
                self.fleet.engines[0], "/load").body)["cancelled"]
        before = cancelled()
        stream = self.fleet.open(0, "going away", key="gone-1", tokens=64)
        stream.read_until("word2 ")
        stream.response.close()
        stream.connection.close()
        fleet_module.wait_until("the engine's work is cancelled",
                                lambda: cancelled() > before)
        fleet_module.wait_until(
            "what was made is billed",
            lambda: any(bill["key"] == "gone-1" for bill in
                        self.fleet.accounts()["khan"]["bills"]))

    def test_request_sent_while_the_one_ahead_is_answered(self):
        def message(key, tokens):
            body = json.dumps({
                "model": "draft-large", "stream": False, "max_tokens": tokens,
                "messages": [{"role": "user", "content": key}]})
            return ("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                    "Authorization: Bearer khan-key\r\n"
                    f"Idempotency-Key: {key}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n{body}").encode()
        with socket.create_connection(
                ("127.0.0.1", self.fleet.callers[0]), 10) as connection:
            connection.sendall(message("ahead-1", 16))
            time.sleep(0.3)
            connection.sendall(message("early-1", 2))
            text = b""
            while text.count(b'"finish_reason"') < 2:
                piece = connection.recv(65536)
                self.assertTrue(piece, f"closed after {text!r}")
                text += piece
        self.assertEqual(text.count(b"HTTP/1.1 200 "), 2)

    def test_caller_that_leaves_behind_an_early_request(self):
        def load():
            return json.loads(self.fleet.get(
                self.fleet.engines[0], "/load").body)
        before = load()["cancelled"]
        stream = self.fleet.open(0, "leaving early", key="gone-2", tokens=64)
        stream.read_until("word2 ")
        stream.connection.sock.sendall(b"POST /early HTTP/1.1\r\n")
        time.sleep(0.2)
        stream.response.close()
        stream.connection.close()
        fleet_module.wait_until("the engine's work is cancelled",
                                lambda: load()["cancelled"] > before)

    def test_too_many_connections(self):
        held = [socket.create_connection(
            ("127.0.0.1", self.fleet.callers[0]), 30) for _ in range(20)]
        try:
            answer = self.raw(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            self.refused(answer, 503, "too-many-connections")
        finally:
            for connection in held:
                connection.close()
        fleet_module.wait_until(
            "connections are free again",
            lambda: self.fleet.complete(0, "after").whole)


if __name__ == "__main__":
    unittest.main()
