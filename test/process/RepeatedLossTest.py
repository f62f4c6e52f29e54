"""Budget that is left after processes were lost again and again."""
import pathlib
import sys
import time
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))
from standins.platform import fleet  # noqa: E402

PREPAID = 2_000_000
TOKENS_IN = 40_000
MACHINES = 7
LOSSES = 4
# --joint_loss_part of what is unspent may be locked up; the rest, less a
# tenth for what first requests need, has to remain usable.
USABLE_PART = 0.55


class RepeatedLoss(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet(machines=MACHINES)
        self.addCleanup(self.fleet.stop)
        self.fleet.configure(
            [fleet.route("/chat/", "scribe", "streaming", attempts=1)],
            [fleet.service("scribe", 3)], prepaid=PREPAID)
        for _ in range(2):
            self.fleet.add_engine("scribe", events=2, event_gap_s=0.01)
        self.sent = 0

    def chat(self, machine):
        self.sent += 1
        return self.fleet.request(
            machine, "/chat/x", f"a{self.sent}", "POST", b"x" * 200,
            X_Model="m", X_Token_Count=f"{TOKENS_IN},6",
            X_Prompt_Prefix=f"{self.sent:08x}:{TOKENS_IN}")

    def restart_all(self):
        for machine in range(MACHINES):
            self.fleet.kill(machine)
        for machine in range(MACHINES):
            self.fleet.spawn(machine)
        for machine in range(MACHINES):
            self.fleet.await_ready(machine)
        # First grants are drawn once the list of members is known.
        time.sleep(4.0)

    def usable_part(self):
        """Spends what is left; returns its part of the prepaid amount."""
        served, refused = 0, 0
        while refused < 6:
            answer = self.chat(self.sent % MACHINES)
            if answer.status == 200:
                served, refused = served + 1, 0
            else:
                refused += 1
                time.sleep(0.3)
        part = served * TOKENS_IN / PREPAID
        print(f"usable part after {LOSSES} losses: {part:.2f}", flush=True)
        return part

    def test_repeated_loss_of_all_leaves_most_budget_usable(self):
        self.fleet.start()
        for _ in range(LOSSES):
            self.restart_all()
        self.assertGreaterEqual(self.usable_part(), USABLE_PART)


if __name__ == "__main__":
    unittest.main()
