"""The links to the interpreters break from time to time, while runs call the store.

A preview calls the store twice. A link breaks just after the interpreter has read the reply to the first
call; the node has no proof of that yet, so it sends the reply again on the next link.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Callable
from pathlib import Path

from standins.interpreter import Interpreter
from standins.peers import SETTINGS, Balancer, Node, Store, announce_service, config, free_address
from standins.record import Record, Try
from standins.verdict import exit_with

NODES = 4
CORES = SETTINGS["family-info"]["n-cores"]
PLAY_S = 90.0
RATE_PER_S = 14.0  # at each node: about two thirds of what its cores can do
SHARES = {"preview": 0.35, "proof": 0.33, "order": 0.32}
WORK_MS = {"preview": 240.0, "proof": 340.0, "order": 340.0}
CALLS = {"preview": 2, "proof": 0, "order": 1}
SPEED = 1.1  # of a core of a new-six
WORK_SIGMA = 0.5  # of the logarithm of the work
PIECE_SHARE = 0.3  # share of the notices that arrive in two pieces
PIECE_GAP_MS = 20.0  # longest time between the two pieces
BREAK_INTERVAL_S = 3.0  # shortest time between two breaks of one link
SEED = int(os.environ.get("SEED", "1"))


class Breaker:
    """Breaks one node's link, just after a preview was given the reply to its first call."""

    def __init__(self, record: Record, interpreter: Interpreter) -> None:
        self.record = record
        self.interpreter = interpreter
        self.breaks = 0
        self._next_s = asyncio.get_running_loop().time() + BREAK_INTERVAL_S
        interpreter.on_resolved = self._resolved

    def _resolved(self, call: str, number: int) -> None:
        loop = asyncio.get_running_loop()
        if number == 1 and CALLS[self.record.tries[call].cls] > 1 and loop.time() >= self._next_s:
            self._next_s = loop.time() + BREAK_INTERVAL_S
            self.breaks += 1
            self.record.note(f"{self.interpreter.name}: the link breaks, after RESOLVE {call}")
            self.interpreter.break_link()


def planner(rng: random.Random) -> Callable[[Try], list[float]]:
    """Return what plans the parts of a run by its class; the calls divide it evenly."""

    def plan(one: Try) -> list[float]:
        parts = CALLS[one.cls] + 1
        work_ms = WORK_MS[one.cls] * rng.lognormvariate(-(WORK_SIGMA**2) / 2, WORK_SIGMA) / SPEED
        return [work_ms / parts] * parts

    return plan


async def play(record: Record, folder: Path, trouble: bool) -> list[str]:
    """Play the case and return the rules broken."""
    store = Store()
    await store.start()
    interpreters: list[Interpreter] = []
    nodes: list[Node] = []
    breakers: list[Breaker] = []
    loads = []
    with announce_service() as announce:
        try:
            for number in range(NODES):
                rng = random.Random(SEED * 100 + number)
                interpreter = Interpreter(
                    record,
                    f"interpreter {number}",
                    CORES,
                    planner(rng),
                    piece_share=PIECE_SHARE,
                    piece_gap_ms=PIECE_GAP_MS,
                    seed=SEED * 100 + number,
                )
                await interpreter.start()
                interpreters.append(interpreter)
                listen = free_address()
                file = config(listen, interpreter.address, store.address, announce, f"1f{number}")
                nodes.append(Node(folder, f"n{number}", file))
                await nodes[-1].wait_ready()
                loads.append(load(record, interpreter, listen, rng, number))
                if trouble:
                    breakers.append(Breaker(record, interpreter))
            await asyncio.gather(*loads)
        finally:
            for node in nodes:
                node.end()
                record.note(f"{node.name} ended; its log:")
                record.lines += node.log.read_text(errors="replace").splitlines()
    breaks = sum(breaker.breaks for breaker in breakers)
    record.note(f"{breaks} breaks of {NODES} links, {len(record.runs)} runs, {len(record.tries)} tries")
    return record.broken + [
        describe(record, *item) for each in interpreters for item in each.wrong_replies.items()
    ]


def describe(record: Record, call: str, text: str) -> str:
    """Return what a run was given in the place of its reply, and what its balancer got."""
    one = record.tries[call]
    answer = f"{one.answers[0][1]} {one.answers[0][2].decode()!r}" if one.answers else "not at all"
    return f"lost: {one.label} {call}: {text}; its balancer was answered: {answer}"


async def load(
    record: Record, interpreter: Interpreter, listen: str, rng: random.Random, number: int
) -> None:
    """Send requests that do not wait for answers, from three balancers, to one node."""
    balancers = [Balancer(record, each, listen, SEED * 100 + number * 10 + each) for each in (1, 2, 3)]
    for balancer in balancers:
        balancer.on_answer = lambda one: interpreter.request_over(one.call)
    loop = asyncio.get_running_loop()
    end_s = loop.time() + PLAY_S
    while loop.time() < end_s:
        await asyncio.sleep(rng.expovariate(RATE_PER_S))
        cls = rng.choices(list(SHARES), list(SHARES.values()))[0]
        key = f"{rng.getrandbits(128):032x}" if cls == "order" else ""
        await rng.choice(balancers).send(cls, cls, key)
    await asyncio.sleep(5.2)


exit_with(Path(__file__).parent, play)
