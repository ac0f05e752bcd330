"""Case 7: a notice to leave that comes while the node starts. See claim.txt; run by run.sh."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2.peers import (
    AnnounceService,
    Balancer,
    Interpreter,
    Node,
    Record,
    Request,
    Store,
    configuration,
)

FOLDER = Path(__file__).resolve().parent
STOP_MS = 3200  # the platform's SIGKILL follows so long after the notice
GRACE_S = 2.5  # obligations.drain-grace-ms
TOLERANCE_S = 0.05  # "every time limit is 50 ms longer"
NODES = 20  # "twenty cold instances started at once on one machine"
NODES_ASKED = 4  # of these get orders
SEND_INTERVAL_S = 0.2
CLOSE_INTERVAL_S = 0.01  # of the requests that come just past the grace
HELD, BROKEN, NOT_RUN = 0, 1, 2


def terminate_is_blocked(pid: int) -> bool:
    """Return whether the process keeps SIGTERM pending, as the node does from its first line on."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return False
    blocked = next(line.split()[1] for line in status.splitlines() if line.startswith("SigBlk"))
    return bool(int(blocked, 16) >> (signal.SIGTERM - 1) & 1)


class Instance:
    """One of the nodes that are started at once, with its interpreter and the requests that it got."""

    def __init__(self, record: Record, folder: Path, number: int, store: Store, announce: int) -> None:
        self.requests: dict[str, Request] = {}
        # A run takes 0.7 s in all: 0.42 s of work at 0.6 of the speed, and its call in the middle.
        self.interpreter = Interpreter(self.requests, record, lambda _: [0.35, 0.33])
        self.record = record
        self.folder = folder
        self.name = f"n{number}"
        self.store = store
        self.announce = announce
        self.notice_at = 0.0
        self.node: Node | None = None

    async def start(self) -> None:
        """Start the interpreter, then the node."""
        await self.interpreter.start()
        config = configuration(
            self.name, self.interpreter.port, self.store.port, self.announce, stop_ms=STOP_MS
        )
        self.node = Node(self.folder, config, self.record)
        await self.node.start()

    def in_start(self) -> bool:
        """Return whether the process has begun and keeps the notice pending."""
        assert self.node is not None
        assert self.node.process is not None
        return terminate_is_blocked(self.node.process.pid)

    def notify(self) -> None:
        """Send the notice to leave."""
        assert self.node is not None
        self.node.send_signal(signal.SIGTERM)
        self.notice_at = time.time()

    async def send_orders(self) -> None:
        """Send orders as balancers do that learn late that the node leaves."""
        assert self.node is not None
        balancer = Balancer(self.requests, self.record, self.node.port)
        sends = set[asyncio.Task[Request]]()
        await asyncio.sleep(max(0.0, self.notice_at + 1.5 - time.time()))
        while time.time() < self.notice_at + 3.0 and self.node.running():
            sends.add(asyncio.create_task(balancer.send("order", 4900, os.urandom(16).hex())))
            since = time.time() - self.notice_at
            cutoff = GRACE_S + TOLERANCE_S
            past_cutoff = cutoff < since < cutoff + 0.15
            until_cutoff = cutoff + 0.005 - since if since < cutoff else SEND_INTERVAL_S
            await asyncio.sleep(CLOSE_INTERVAL_S if past_cutoff else min(SEND_INTERVAL_S, until_cutoff))
        if sends:
            await asyncio.wait(sends, timeout=2.0)

    async def stop(self) -> None:
        """Kill the node at its time, as the platform does; no effect on a process that has ended."""
        assert self.node is not None
        assert self.node.process is not None
        while self.node.running() and time.time() < self.notice_at + STOP_MS / 1000.0:
            await asyncio.sleep(0.002)
        self.node.send_signal(signal.SIGKILL)
        self.record.add("exit", node=self.name, status=await self.node.process.wait())


async def notify_in_start(instances: list[Instance]) -> bool:
    """Send each node its notice while it starts; return whether all got it."""
    waiting = list(instances)
    end = time.time() + 20.0
    while waiting and time.time() < end:
        for instance in list(waiting):
            if instance.in_start():
                instance.notify()
                waiting.remove(instance)
        await asyncio.sleep(0.001)
    return not waiting


async def notify_after_start(instances: list[Instance]) -> bool:
    """Send all nodes their notice once all answer a health check; return whether they did."""
    for instance in instances:
        if instance.node is None or not await instance.node.wait_ready():
            return False
    for instance in instances:
        instance.notify()
    return True


async def play(record: Record, folder: Path, trouble: bool) -> int:
    """Play the case and return the status of the script."""
    store = Store(record)
    announce = AnnounceService(record)
    await store.start()
    await announce.start()
    instances = [Instance(record, folder, number, store, announce.port) for number in range(1, NODES + 1)]
    try:
        await asyncio.gather(*(instance.start() for instance in instances))
        notify = notify_in_start if trouble else notify_after_start
        if not await notify(instances):
            print("a node did not start")
            return NOT_RUN
        asked = instances[:NODES_ASKED]
        await asyncio.gather(
            *(instance.send_orders() for instance in asked), *(instance.stop() for instance in instances)
        )
    finally:
        for instance in instances:
            if instance.node is not None and instance.node.process is not None:
                instance.node.send_signal(signal.SIGKILL)
                await instance.node.process.wait()
    results = [judge(list(instance.requests.values()), instance.notice_at) for instance in asked]
    return BROKEN if BROKEN in results else max(results)


def judge(requests: list[Request], notice_at: float) -> int:
    """Apply the rule to one node: nothing that came past the grace is run, and all that ran is answered."""
    ran = [request for request in requests if request.runs]
    if not ran:
        print("no request ran: the case could not be played")
        return NOT_RUN
    cutoff = notice_at + GRACE_S + TOLERANCE_S
    late = [request for request in ran if request.written_at > cutoff]
    lost = [request for request in ran if not request.answer]
    for request in late:
        print(f"run though it came {(request.written_at - notice_at) * 1000.0:.0f} ms after the notice")
    for request in lost:
        print(f"run, and unanswered when the process was killed: {request.call}")
    print(f"{len(requests)} requests sent, {len(ran)} run, {len(late)} of these too late, {len(lost)} lost")
    return BROKEN if late or lost else HELD


def main() -> int:
    """Play the case in a temporary folder."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(Record(FOLDER), Path(folder), trouble))


if __name__ == "__main__":
    sys.exit(main())
