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
SEND_INTERVAL_S = 0.08
CLOSE_INTERVAL_S = 0.02  # of the requests that come about the end of the grace
HELD, BROKEN, NOT_RUN = 0, 1, 2


def terminate_is_blocked(pid: int) -> bool:
    """Return whether the process keeps SIGTERM pending, as the node does from its first line on."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    except OSError:
        return False
    blocked = next(line.split()[1] for line in status.splitlines() if line.startswith("SigBlk"))
    return bool(int(blocked, 16) >> (signal.SIGTERM - 1) & 1)


async def wait_for_notice_time(node: Node, trouble: bool) -> bool:
    """Wait until the notice is due: during the start, or without the trouble after it."""
    if not trouble:
        return await node.wait_ready()
    assert node.process is not None
    end = time.time() + 20.0
    while time.time() < end and node.running():
        if terminate_is_blocked(node.process.pid):
            return True
        await asyncio.sleep(0.001)
    return False


async def play(record: Record, folder: Path, trouble: bool) -> int:
    """Play the case and return the status of the script."""
    requests: dict[str, Request] = {}
    # A run takes 0.7 s in all: 0.42 s of work at 0.6 of the speed, and its call in the middle.
    interpreter = Interpreter(requests, record, lambda _: [0.35, 0.33])
    store = Store(record)
    announce = AnnounceService(record)
    for peer in (interpreter, store, announce):
        await peer.start()
    node = Node(folder, configuration("n1", interpreter.port, store.port, announce.port, STOP_MS), record)
    await node.start()
    try:
        if not await wait_for_notice_time(node, trouble):
            print("the node did not start")
            return NOT_RUN
        node.send_signal(signal.SIGTERM)
        notice_at = time.time()
        balancer = Balancer(requests, record, node.port)
        sends = set[asyncio.Task[Request]]()
        # The list names the node since its interpreter is up; balancers learn late that it leaves.
        while time.time() < notice_at + 3.0 and node.running():
            if time.time() > notice_at + 1.5:
                key = os.urandom(16).hex()
                sends.add(asyncio.create_task(balancer.send("order", 4900, key)))
            near_cutoff = 2.4 < time.time() - notice_at < 2.9
            await asyncio.sleep(CLOSE_INTERVAL_S if near_cutoff else SEND_INTERVAL_S)
        while node.running() and time.time() < notice_at + STOP_MS / 1000.0:
            await asyncio.sleep(0.002)
        node.send_signal(signal.SIGKILL)  # no effect on a process that has ended
        assert node.process is not None
        status = await node.process.wait()
        record.add("exit", status=status)
        await asyncio.wait(sends, timeout=2.0)
    finally:
        node.send_signal(signal.SIGKILL)
    return judge(list(requests.values()), notice_at)


def judge(requests: list[Request], notice_at: float) -> int:
    """Apply the rule: nothing that came past the grace is run, and all that ran is answered."""
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
