"""Case 9: a repeat that a slow node reads late. See claim.txt; run by run.sh."""

from __future__ import annotations

import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2.peers import Record
from standins_2.simulator import Machine, Try

FOLDER = Path(__file__).resolve().parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
WINDOW_MS = 14841.0
RATE_PER_S = 12.0  # 170 requests a second over 14 nodes
SLOW_FROM_S = 4.0
SLOW_S = 28.0
SLOW_FACTOR = 9.9
END_S = 45.0
LIST_DELAY_MS = 2000.0  # the list follows the health a second or two late
AGAIN_SHARE = 0.3  # of the orders come again within the window
AGAIN_MS = (9000.0, 14500.0)  # so long after their first try
HEEDING = 0.8  # share of the balancers that heed the level
ORDER = 2
CLASSES = (  # share, mean work in ms, time that the client waits in ms, calls
    (0.35, 240.0, 3600.0, 1),
    (0.33, 330.0, 4900.0, 0),
    (0.32, 330.0, 4900.0, 1),
)
ORDER_TRY_MS = 1600.0  # a balancer waits so long for a try of an order, then tries again here
SETTINGS = """
classes.count=3
classes.0.deadline-ms=3600.0
classes.0.effect=free
classes.0.goal-time-ms=1400.0
classes.0.name=preview
classes.0.value=1.0
classes.1.deadline-ms=4900.0
classes.1.effect=free
classes.1.goal-time-ms=1900.0
classes.1.late-share=0.2
classes.1.name=proof
classes.1.value=2.0
classes.2.deadline-ms=4900.0
classes.2.effect=guarded
classes.2.goal-time-ms=1900.0
classes.2.key-ttl-ms=14841.0
classes.2.late-share=0.2
classes.2.name=order
classes.2.value=5.0
clients.marks-retry=true
family-info.below=common
family-info.caller-idle-ms=30000.0
family-info.callers=3
family-info.calls-out=4.58
family-info.calls-over-ms=5000.0
family-info.class-calls=true,false,true
family-info.class-skip-worth=0.5,0.0,0.0
family-info.cold=false
family-info.halt=none
family-info.heap-kb=13740.0
family-info.heard-for-ms=1000.0
family-info.key-kb=53.88
family-info.linger-ms=200.0
family-info.meters=cpu_busy,runnable,mem_used,sockets
family-info.n-cores=6
family-info.passes-deadline=true
family-info.readiness=true
family-info.run-mem-factor=8.0
family-info.say=min_rank
obligations.answer-slack-ms=60.0
obligations.cold-share=0.28
obligations.drain-grace-ms=2500.0
obligations.fall-ms=1500.0
obligations.fall-multiple=8.0
obligations.ramp-time-ms=17000.0
policy-limits.max-retry-after-ms=1000.0
policy-limits.retry-after=true
resolution-ms=5.0
servers=12
tenants.count=1
tenants.0.fraction=1.0
tenants.0.name=acqua
tenants.0.quota-per-s=168.0
"""


class Callers:
    """The balancers: first tries at a steady rate, and further tries of orders at the same node."""

    def __init__(self, machine: Machine, seed: int) -> None:
        self.machine = machine
        self.random = random.Random(seed)
        self.next_at = machine.now()
        self.keys = 0
        self.waiting: list[Try] = []
        self.unlisted_at: float | None = None
        self.again: list[tuple[float, int, float]] = []  # time, key and rank

    def step(self) -> None:
        """Send what is due, and try orders again that got no answer in the time of their try."""
        now = self.machine.now()
        if self.machine.healthy:
            self.unlisted_at = None
        elif self.unlisted_at is None:
            self.unlisted_at = now + LIST_DELAY_MS
        while self.next_at <= now:
            self.next_at += self.random.expovariate(RATE_PER_S) * 1000.0
            self._send_first(now)
        for request in list(self.waiting):
            if request.answer:
                self.waiting.remove(request)
            elif now >= request.arrived + request.budget_ms:
                self.waiting.remove(request)
                if request.client_until - now > 50.0:
                    self._send(now, request.class_index, request.key, request.rank, request.client_until)
        for again_at, key, rank in list(self.again):
            if now >= again_at:
                self.again.remove((again_at, key, rank))
                self._send(now, ORDER, key, rank, now + CLASSES[ORDER][2])

    def _send_first(self, now: float) -> None:
        class_index = self.random.choices(range(3), [spec[0] for spec in CLASSES])[0]
        rank = (class_index + self.random.random()) / 3.0
        listed = self.unlisted_at is None or now < self.unlisted_at
        heeds = self.random.random() < HEEDING
        if listed and (rank >= self.machine.min_rank or not heeds):
            self.keys += 1
            self._send(now, class_index, self.keys, rank, now + CLASSES[class_index][2])
            if class_index == ORDER and self.random.random() < AGAIN_SHARE:
                self.again.append((now + self.random.uniform(*AGAIN_MS), self.keys, rank))

    def _send(self, now: float, class_index: int, key: int, rank: float, until: float) -> None:
        left = until - now
        budget = min(left, ORDER_TRY_MS) if class_index == ORDER else left
        work = self.random.lognormvariate(0.0, 0.6) * CLASSES[class_index][1] / 1.2
        calls = CLASSES[class_index][3]
        kb = self.random.uniform(11.0, 62.0)
        request = Try(0, class_index, key, rank, budget, until, kb, work, calls, now)
        self.machine.arrive(request)
        if class_index == ORDER:
            self.waiting.append(request)


def main() -> int:
    """Play the case and return the status of the script."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(FOLDER)
    machine = Machine(SETTINGS, record, ORDER, WINDOW_MS)
    try:
        callers = Callers(machine, 7)
        start = time.monotonic()
        while (since := time.monotonic() - start) < END_S:
            slow = trouble and SLOW_FROM_S <= since < SLOW_FROM_S + SLOW_S
            machine.slow_factor = SLOW_FACTOR if slow else 1.0
            callers.step()
            machine.step()
            time.sleep(0.005)
    except ChildProcessError as error:
        print(error)
        return NOT_RUN
    finally:
        machine.adapter.close()
    for line in machine.broken:
        print(line)
    tries = machine.tries.values()
    lays = sorted(request.read_at - request.arrived for request in tries if request.read_at)
    ran = sum(bool(request.started) for request in tries)
    print(f"{len(tries)} tries, {ran} run, the latest read {lays[-1]:.0f} ms after it came")
    print(f"{len(machine.broken)} times broken")
    return BROKEN if machine.broken else HELD


if __name__ == "__main__":
    sys.exit(main())
