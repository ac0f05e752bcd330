"""A new version takes over, and an order that ran in the old process comes again late in its window.

The old process ran the order. The new one has all its cores in use for part of a second when the order comes
again, so it holds the try; the claim of the old process expires meanwhile.
"""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from standins.interpreter import Interpreter
from standins.peers import SETTINGS, Balancer, Node, Store, announce_service, config
from standins.record import Record, Try, now_ms
from standins.verdict import exit_with

CORES = SETTINGS["family-info"]["n-cores"]
WINDOW_MS = SETTINGS["classes"][2]["key-ttl-ms"]
ORDER_MS = [350.0, 350.0]  # 250 to 420 ms of work on a core of speed 0.6, with one call of the store between
OTHER_MS = [700.0]
FIRST_TRIES = 3
BETWEEN_MS = 1500.0
AHEAD_OF_END_MS = 350.0  # the order comes again so long before its window ends
WARM_UP_RUNS = 8
FIRST_TTL_MS = 600.0  # the balancer of a first try waits less than the run takes, so its client asks again
KILL_MS = 3700.0  # after SIGTERM, as the page on days says: the longest deadline, 3 s at most, and 0.7 s


def plan(one: Try) -> list[float]:
    """Return the parts of a run."""
    return ORDER_MS if one.cls == "order" else OTHER_MS


async def sleep_until(at_ms: float) -> None:
    """Sleep until a Unix time."""
    await asyncio.sleep(max(0.0, at_ms - now_ms()) / 1000.0)


async def play(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Play the case and return the rules broken."""
    interpreters = [Interpreter(record, name, CORES, plan) for name in ("old", "new")]
    for interpreter in interpreters:
        await interpreter.start()
    store = Store()
    await store.start()
    nodes: list[Node] = []
    with announce_service() as announce, socket.create_server(("127.0.0.1", 0), backlog=1024) as listener:
        listen = f"127.0.0.1:{listener.getsockname()[1]}"
        balancer = Balancer(record, 1, listen, seed=7)

        def over(one: Try) -> None:
            for each in interpreters:
                each.request_over(one.call)

        balancer.on_answer = over
        try:
            for name, interpreter in zip(("old", "new"), interpreters, strict=True):
                settings = config(listen, interpreter.address, store.address, announce, "8c1f30d27a5be964")
                if name == "old":
                    nodes.append(Node(folder, name, settings, listener))
                    await nodes[0].wait_ready()
                    firsts = await first_tries(balancer)
                elif trouble:
                    await hand_over(record, folder, nodes, settings, listener)
            await warm_up(balancer)
            for number, first in enumerate(firsts):
                await second_try(record, balancer, number, first)
            await asyncio.sleep(5.2)
        finally:
            for node in nodes:
                node.end()
                record.note(f"{node.name} ended; its log:")
                record.lines += node.log.read_text(errors="replace").splitlines()
    return record.broken + record.runs_twice(WINDOW_MS)


async def first_tries(balancer: Balancer) -> list[Try]:
    """Send the orders for the first time, one after the other."""
    tries = []
    for number in range(FIRST_TRIES):
        key = f"{0x5C0F6E1A2B3D4C59A8B7C6D5E4F30211 + number:032x}"
        body = b"order %d" % number
        label = f"first try of order {number}"
        tries.append(await balancer.send("order", label, key, body, ttl_ms=FIRST_TTL_MS))
        await asyncio.sleep(BETWEEN_MS / 1000.0)
    return tries


async def hand_over(
    record: Record, folder: Path, nodes: list[Node], settings: dict[str, object], listener: socket.socket
) -> None:
    """Start the new process beside the old one, and tell the old one to go when the new one is ready."""
    record.note("the new process starts")
    nodes.append(Node(folder, "new", settings, listener))
    await nodes[1].wait_ready()
    record.note("the new process is ready: SIGTERM to the old one")
    nodes[0].terminate()
    end_ms = now_ms() + KILL_MS
    while nodes[0].process.poll() is None and now_ms() < end_ms:
        await asyncio.sleep(0.02)
    record.note(f"the old process has ended with status {nodes[0].process.poll()}")


async def warm_up(balancer: Balancer) -> None:
    """Let the process that serves now learn how long runs take."""
    for _ in range(WARM_UP_RUNS):
        await balancer.send("proof", "other request")
        await asyncio.sleep(0.4)


async def second_try(record: Record, balancer: Balancer, number: int, first: Try) -> None:
    """Send an order again inside its window, just after as many other requests as there are cores."""
    again_ms = first.recv_ms + WINDOW_MS - AHEAD_OF_END_MS
    await sleep_until(again_ms - 30.0)
    for _ in range(CORES):
        await balancer.send("proof", "other request")
    await sleep_until(again_ms)
    one = await balancer.send("order", f"second try of order {number}", first.key, first.body, rep=True)
    record.note(
        f"order {number} came again {one.recv_ms - first.recv_ms:.0f} ms after its first try, "
        f"{WINDOW_MS - one.recv_ms + first.recv_ms:.0f} ms before its window ends"
    )


exit_with(Path(__file__).parent, play)
