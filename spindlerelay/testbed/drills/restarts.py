"""The drill of what outlives a process: writers and whole nodes killed with SIGKILL at random moments.

A writer records keys in a folder, compacting all the while, and acknowledges each key through a pipe once it
is on record; then it dies. A node with ``[storage]`` serves orders; after the restart their balancer sends
again all that was not answered and a part of what was. Runs are counted at an interpreter that outlives the
node. Claims:

1. after no kill does a file load with a damaged or malformed record;
2. no key is lost that a writer has acknowledged;
3. no order runs twice, and none is answered 'Busy' after it ran.
"""

from __future__ import annotations

import json
import os
import random
import signal
import statistics
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

from spindlerelay.storage import journal_directory, records
from spindlerelay.storage.journal_directory import JournalDirectory
from spindlerelay.testbed.cluster.node_log import internal_errors
from spindlerelay.testbed.cluster.workspace import free_port
from spindlerelay.testbed.models.machine import MachineSpec
from spindlerelay.testbed.models.traffic import CLASSES, node_settings
from spindlerelay.testbed.servers.counting_interpreter import (
    RESPONSE_TIMEOUT_S,
    CountingInterpreter,
    RecordingClient,
)

CORES_EACH = 1.0
NODES = 5  # batches of nodes, side by side
RUNS = 1
KILLS = 1000  # of writers
NODE_KILLS = 50
WRITER_BATCHES = 8
KILLS_PER_FOLDER = 20
MAX_WRITER_LIFE_S = 0.012  # from within its start to some hundred keys
COMPACTION_BYTES = 8_000  # small, so that many kills fall into a compaction
EXPIRES_MS = 4e12  # of the writers' keys: never during the drill
RESULT_INTERVAL = 3  # one key in so many gets a result
ACKNOWLEDGEMENT = struct.Struct("<I")
SERVING_RANGE_S = (0.1, 0.4)  # how long a node serves before it is killed
ORDERS_PER_S = 250.0
MAX_RUN_S = 0.03
MAX_REPEATED_ANSWERED = 20
START_POLL_S = 0.01
LOG_TAIL_CHARS = 400


class Job(NamedTuple):
    """A batch of kills; ``kind`` is ``writer`` or ``node``."""

    kind: str
    seed: int
    kills: int


def plan(seed: int, runs: int, nodes: int, wide: bool, kills: int = KILLS) -> list[Job]:  # noqa: ARG001 - a hook
    """Return the batches of ``kills`` writers and ``NODE_KILLS`` nodes of each run."""
    jobs = []
    for number in range(runs):
        first_seed = seed + 1000 * number
        jobs += [Job("node", first_seed + i, part) for i, part in enumerate(_parts(NODE_KILLS, nodes))]
        jobs += [
            Job("writer", first_seed + 100 + i, part) for i, part in enumerate(_parts(kills, WRITER_BATCHES))
        ]
    return jobs


def _parts(total: int, count: int) -> list[int]:
    """Split a total into equal parts, without empty ones."""
    return [part for i in range(count) if (part := total // count + (i < total % count))]


def run(job: Job) -> dict[str, Any]:
    """Return the figures of a batch."""
    with tempfile.TemporaryDirectory(prefix="restarts-") as folder:
        kill_batch = _kill_writers if job.kind == "writer" else _kill_nodes
        return kill_batch(Path(folder), random.Random(job.seed), job.kills)


# Writers


def _write_until_killed(path: str, pipe: int) -> None:
    """Append one record a turn, and take steps of a compaction between them."""
    journal = JournalDirectory(path, "n1")
    state, _ = journal.load()
    journal.begin_generation(1000.0)
    journal.remove_incomplete_snapshots()
    number = len(state.completed_requests)
    compaction = None
    while True:
        key = f"{number:032x}"
        journal.append([(records.RecordKind.RUNS_STARTED, [[key, number + 1, EXPIRES_MS]])], True)
        os.write(pipe, ACKNOWLEDGEMENT.pack(number))
        if number % RESULT_INTERVAL == 0:
            journal.append([(records.RecordKind.RESULTS, [[key, key.encode()]])], False)
        if compaction is None and journal.journal_bytes > COMPACTION_BYTES:
            current, _ = JournalDirectory(path, "n1", lock=False).load()
            bodies = journal_directory.snapshot_records(
                list(current.completed_requests), current.completed_requests.get, lambda: {"at": 1.0}, 1 << 30
            )
            compaction = journal.compact(bodies, 1000.0)
        if compaction is not None and next(compaction, 0) == 0:
            compaction = None
        number += 1


def _run_writer(path: str, life_s: float) -> list[int]:
    """Run one writer until its kill and return the numbers of the keys that it acknowledged."""
    read_end, write_end = os.pipe()
    try:
        pid = _fork_writer(path, read_end, write_end)
        time.sleep(life_s)
        os.kill(pid, signal.SIGKILL)
        status = os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1])
        if status != -signal.SIGKILL:
            raise RuntimeError(f"a writer ended by itself with {status}")
        data = b""
        while chunk := os.read(read_end, 1 << 16):
            data += chunk
    finally:
        os.close(read_end)
    complete = data[: len(data) // ACKNOWLEDGEMENT.size * ACKNOWLEDGEMENT.size]
    return [number for (number,) in ACKNOWLEDGEMENT.iter_unpack(complete)]


def _fork_writer(path: str, read_end: int, write_end: int) -> int:
    """Return the writer's process id; closes the parent's write end."""
    pid = os.fork()
    if pid == 0:
        try:
            os.close(read_end)
            _write_until_killed(path, write_end)
        finally:
            os._exit(3)  # a writer ends by its kill alone
    os.close(write_end)
    return pid


def _kill_writers(folder: Path, rng: random.Random, kills: int) -> dict[str, Any]:
    corrupt_loads = 0
    lost_keys = 0
    acknowledged_before = 0
    acknowledged = set[int]()  # in the current folder
    for kill in range(kills):
        path = folder / str(kill // KILLS_PER_FOLDER)
        if kill % KILLS_PER_FOLDER == 0:
            path.mkdir()
            acknowledged_before += len(acknowledged)
            acknowledged = set()
        acknowledged.update(_run_writer(str(path), rng.uniform(0.0, MAX_WRITER_LIFE_S)))
        state, report = JournalDirectory(str(path), "n1", lock=False).load()
        wrong = any(
            completed.content_hash != int(key, 16) + 1 or completed.result not in (None, key.encode())
            for key, completed in state.completed_requests.items()
        )
        corrupt_loads += bool(report.damaged_records or report.malformed_records or wrong)
        lost_keys += sum(f"{number:032x}" not in state.completed_requests for number in acknowledged)
    return {
        "kills": kills,
        "acknowledged": acknowledged_before + len(acknowledged),
        "corrupt_loads": corrupt_loads,
        "lost_keys": lost_keys,
    }


# Nodes


class StartedNode(NamedTuple):
    """A node that has answered its first health check."""

    process: subprocess.Popen[bytes]
    client: RecordingClient
    recovery_s: float  # from the start to the first response


def _start_node(folder: Path, port: int, interpreter: str) -> StartedNode:
    """Start the node and wait for its first response to a health check."""
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "vm": interpreter,
        "store": "127.0.0.1:9",
        "announce": "127.0.0.1:9",
        "seed": "1",
        "stop_ms": 4000,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": node_settings(MachineSpec(memory_kb=1e6), 1, 1, 4.0 * ORDERS_PER_S, 10, CLASSES),
    }
    path = folder / "n1.json"
    operator = folder / "n1.toml"
    path.write_text(json.dumps(config))
    operator.write_text('[storage]\npath = "kept"\ncompact_mb = 0.05\n')
    command = [sys.executable, "-m", "spindlerelay", "run", "--operator", str(operator)]
    started_s = time.monotonic()
    with (folder / "log").open("ab") as log:
        process = subprocess.Popen(command, env=os.environ | {"LB_CONFIG": str(path)}, stderr=log)
    while True:
        try:
            client = RecordingClient(("127.0.0.1", port))
            client.send_ping()
            client.wait_for_responses()
            return StartedNode(process, client, time.monotonic() - started_s)
        except OSError as error:
            if time.monotonic() - started_s > RESPONSE_TIMEOUT_S or process.poll() is not None:
                log_tail = (folder / "log").read_text()[-LOG_TAIL_CHARS:]
                raise RuntimeError(f"the node did not come up: {log_tail}") from error
            time.sleep(START_POLL_S)


class _Orders:
    """The orders of one node through its restarts, as their balancer sees them."""

    def __init__(self, rng: random.Random) -> None:
        self.count = 0
        self.unanswered = dict[str, bytes]()  # bodies by key
        self.answered = dict[str, bytes]()
        self.repeats = 0
        self.rejected_after_run = 0
        self.outcome_unknown = 0
        self._rng = rng

    def repeat(self, client: RecordingClient) -> dict[int, str]:
        """Send again what is unanswered and a part of the rest; return keys by message number."""
        sample = self._rng.sample(sorted(self.answered), min(MAX_REPEATED_ANSWERED, len(self.answered)))
        sent = {
            client.send_request(
                "order", self.unanswered.get(key) or self.answered[key], key, is_retry=True
            ): key
            for key in [*self.unanswered, *sample]
        }
        self.repeats += len(sent)
        return sent

    def send_new(self, client: RecordingClient, sent: dict[int, str], duration_s: float) -> None:
        """Send new orders for a while, or until the connection ends."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            self.count += 1
            key = f"{self.count:032x}"
            body = b"order %d" % self.count
            self.unanswered[key] = body
            try:
                sent[client.send_request("order", body, key)] = key
            except OSError:
                break
            time.sleep(1.0 / ORDERS_PER_S)

    def take_answers(
        self, client: RecordingClient, sent: dict[int, str], interpreter: CountingInterpreter
    ) -> None:
        """Count the responses that came before the connection ended."""
        for message, key in sent.items():
            answer = client.responses.get(message)
            if answer is None:
                continue
            body = self.unanswered.get(key) or self.answered[key]
            self.rejected_after_run += answer == "Busy" and interpreter.runs[("order", body)] > 0
            self.outcome_unknown += answer == "OutcomeUnknown"
            if answer != "Busy":
                self.answered[key] = self.unanswered.pop(key, body)


def _kill_nodes(folder: Path, rng: random.Random, kills: int) -> dict[str, Any]:
    interpreter = CountingInterpreter(MAX_RUN_S)
    port = free_port()
    orders = _Orders(rng)
    recovery_ms = list[float]()
    for incarnation in range(kills + 1):
        process, client, recovery_s = _start_node(folder, port, interpreter.address)
        if incarnation:
            recovery_ms.append(recovery_s * 1000.0)
        sent = orders.repeat(client)
        serving_s = rng.uniform(*SERVING_RANGE_S)
        if incarnation < kills:
            orders.send_new(client, sent, serving_s)
            process.kill()
        else:
            client.wait_for_responses()
            process.send_signal(signal.SIGTERM)
        process.wait(RESPONSE_TIMEOUT_S)
        client.disconnected.wait(RESPONSE_TIMEOUT_S)
        orders.take_answers(client, sent, interpreter)
        client.sock.close()
    interpreter.close()
    return {
        "node_kills": kills,
        "orders": orders.count,
        "repeats": orders.repeats,
        "ran_twice": sum(count > 1 for count in interpreter.runs.values()),
        "refused_after_run": orders.rejected_after_run,
        "outcome_unknown": orders.outcome_unknown,
        "unanswered": len(orders.unanswered),
        "internal_errors": len(internal_errors(folder / "log")),
        "recovery": recovery_ms,
    }


def merge(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return flat figures of all batches: sums, and the median and the longest recovery."""
    figures: dict[str, Any] = {}
    for result in results:
        for key, value in result.items():
            figures[key] = figures[key] + value if key in figures else value
    recovery_ms = figures.pop("recovery", [])
    figures["recovery_ms"] = round(statistics.median(recovery_ms), 1) if recovery_ms else 0.0
    figures["recovery_most_ms"] = round(max(recovery_ms, default=0.0), 1)
    return figures


def failed(figures: dict[str, Any]) -> list[str]:
    """Return the claims that do not hold, in words."""
    claims = {
        "corrupt_loads": "after no kill does a file load with a damaged or senseless record",
        "lost_keys": "no key is lost that a writer had told of",
        "ran_twice": "no order runs twice",
        "refused_after_run": "no order is answered 'Busy' after it ran",
        "internal_errors": "no node logs an internal error",
    }
    return [f"{claim}: {figures[key]}" for key, claim in claims.items() if figures.get(key)]
