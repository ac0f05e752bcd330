"""Case 8: requests written slowly are lost after a partition. See claim.txt; run by run.sh."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2.network import Link, Network
from standins_2.peers import AnnounceService, Interpreter, Node, Record, Request, Store, configuration

FOLDER = Path(__file__).resolve().parent
SLOW_LINKS = 14  # lasting connections of the balancer whose requests are written slowly
SLOW_WRITE_S = 1.5  # of the 2 s in which some requests are written
NEAR_INTERVAL_S = 0.1  # between two requests of the other balancer
TTL_MS = {"preview": 3600, "order": 4900}
CUT_S = 8.0  # the partition, from the first request on
HEAL_S = 11.0
END_S = 18.0  # all requests are due by then
QUIET_S = 12.0  # no request is begun after that
STALL_S = 1.4  # what is whole so long after the cut was whole before the node could end the connection
ALLOWED_SHARE = 0.003  # "up to 3 in 1,000 requests may be without a final answer"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Play:
    """The course of the case: one node and two balancers, one of them behind a network that is cut."""

    def __init__(self, record: Record, folder: Path, trouble: bool) -> None:
        self.record = record
        self.folder = folder
        self.trouble = trouble
        self.requests: dict[str, Request] = {}
        self.random = random.Random(11)
        self.start = 0.0

    async def run(self) -> int:
        """Play the case and return the status of the script."""
        interpreter = Interpreter(self.requests, self.record, lambda _: [0.1, 0.1])
        store = Store(self.record)
        announce = AnnounceService(self.record)
        for peer in (interpreter, store, announce):
            await peer.start()
        config = configuration("n1", interpreter.port, store.port, announce.port, 3200)
        node = Node(self.folder, config, self.record)
        await node.start()
        try:
            if not await node.wait_ready():
                print("the node did not start")
                return NOT_RUN
            network = Network(node.port)
            await network.start()
            self.start = time.time()
            tasks = [asyncio.create_task(self.slow_client(network.port)) for _ in range(SLOW_LINKS)]
            tasks += [asyncio.create_task(self.near_client(node.port))]
            tasks += [asyncio.create_task(self.partition(network))]
            await asyncio.wait(tasks, timeout=END_S)
            await asyncio.sleep(max(0.0, self.start + END_S - time.time()))
            if not node.running():
                print("the node has ended")
                return BROKEN
            return self.judge()
        finally:
            node.send_signal(signal.SIGKILL)
            if node.process is not None:
                await node.process.wait()
            await asyncio.sleep(0.3)  # for the ends of all connections

    async def slow_client(self, port: int) -> None:
        """Send requests on one lasting connection, each when the one before is answered or due."""
        link = Link(self.requests, self.record, port, 1)
        await asyncio.sleep(self.random.uniform(0.0, 2.0))
        await link.send("preview", TTL_MS["preview"])  # the connection is no new one any more
        await asyncio.sleep(0.5)
        while time.time() < self.start + QUIET_S:
            class_name = self.random.choice(["preview", "order"])
            key = f"{self.random.getrandbits(128):032x}" if class_name == "order" else ""
            request = await link.send(class_name, TTL_MS[class_name], key, seconds=SLOW_WRITE_S)
            while not (request.answer or request.ended) and time.time() < request.due_at:
                await asyncio.sleep(0.01)
            await asyncio.sleep(self.random.uniform(0.0, 0.5))

    async def near_client(self, port: int) -> None:
        """Send requests of the other balancer at a steady rate."""
        link = Link(self.requests, self.record, port, 2)
        while time.time() < self.start + QUIET_S:
            await link.send("preview", TTL_MS["preview"])
            await asyncio.sleep(NEAR_INTERVAL_S)

    async def partition(self, network: Network) -> None:
        """Cut the network for a while."""
        await asyncio.sleep(CUT_S)
        if self.trouble:
            self.record.add("cut")
            network.cut()
            await asyncio.sleep(HEAL_S - CUT_S)
            network.heal()
            self.record.add("heal")

    def judge(self) -> int:
        """Apply the rule: what was written whole to a connection that the node accepted gets an answer."""
        cut_at = self.start + CUT_S
        whole = [request for request in self.requests.values() if request.written_at]
        if not any(request.answer == "served" for request in whole):
            print("no request was served: the case could not be played")
            return NOT_RUN
        lost = [request for request in whole if not request.answer]
        counted = [request for request in lost if not cut_at <= request.written_at - STALL_S]
        for request in counted:
            since = request.written_at - cut_at
            print(f"lost: {request.class_name} {request.call}, whole {since:.2f} s after the cut")
        share = len(counted) / len(whole)
        print(f"{len(whole)} requests, {len(lost)} without an answer, {len(counted)} of these counted")
        return BROKEN if share > ALLOWED_SHARE else HELD


def main() -> int:
    """Play the case in a temporary folder."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Play(Record(FOLDER), Path(folder), trouble).run())


if __name__ == "__main__":
    sys.exit(main())
