"""A load run: starts worker processes, joins their rows in one table, and decides whether the run is valid.

Each worker draws the whole stream from the seed and sends its own part of the stream. Workers report rows
during the run. If a worker dies, only the requests without a row are missing; they are recorded as unsent.
"""

from __future__ import annotations

import gc
from collections.abc import Sequence
from multiprocessing.connection import Connection, wait
from multiprocessing.process import BaseProcess
from typing import Any, NamedTuple

from spindlerelay.testbed.load_generation import outcomes, sender
from spindlerelay.testbed.load_generation.echo_fleet import (
    START_TIMEOUT_S,
    EchoFleet,
    spawn_context,
    wait_until_reachable,
)
from spindlerelay.testbed.load_generation.errors import StartError, StreamSizeError
from spindlerelay.testbed.load_generation.outcomes import Rows, SendDelay
from spindlerelay.testbed.load_generation.sender import ClockReport, Target
from spindlerelay.testbed.load_generation.stream import Stream
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.models.balancer import BALANCER_PROFILES, BalancerProfile
from spindlerelay.testbed.models.traffic import Request
from spindlerelay.testbed.servers import echo_node
from spindlerelay.transport.system import monotonic_ms

# Bound of the p99 send delay of a valid run: a quarter of the smallest latency that is measured at a node.
SEND_DELAY_BOUND_MS = 5.0
MAX_RUN_S = 3600.0
START_LEAD_MS = 250.0  # time from the readiness of the last worker to the first request
LOOP_LEAD_MS = 2.0  # time from the first turn of a sender to the first request
# A worker is given up at this time after the last arrival plus the longest deadline.
RESULT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
SEED_STRIDE = 1000  # offset between the worker seeds of two consecutive stream seeds


class LoadSpec(NamedTuple):
    """The load of one run.

    If ``users`` is above 0, the run is a closed loop with that number of users. ``kill_worker`` is the index
    of a worker to kill and the time of the kill in ms from the start.
    """

    stream: Stream
    targets: tuple[Target, ...]
    balancers: tuple[tuple[BalancerProfile, float], ...] = ((BALANCER_PROFILES["steady"], 1.0),)
    workers: int = 1
    users: int = 0
    send_delay_bound_ms: float = SEND_DELAY_BOUND_MS
    kill_worker: tuple[int, float] | None = None


class LoadResult(NamedTuple):
    """The result of a load run; ``digest`` is the digest of the stream."""

    rows: Rows
    send_delay: SendDelay
    lost_workers: int
    clock_reports: tuple[ClockReport, ...]
    digest: str

    def void_reasons(self) -> list[str]:
        """Return the reasons why the run is void; the list is empty for a valid run."""
        reasons = self.send_delay.void_reasons()
        if self.lost_workers:
            reasons.append(f"{self.lost_workers} of the workers died in the run")
        return reasons

    def notes(self) -> list[str]:
        """Return remarks that do not make the run void."""
        steps = sum(report.clock_steps for report in self.clock_reports)
        if not steps:
            return []
        max_step_ms = max(report.max_step_ms for report in self.clock_reports)
        note = f"the system's clock was set {steps} times, by up to {max_step_ms:.0f} ms"
        return [f"{note}; latencies use the monotonic clock"]


class _Worker(NamedTuple):
    process: BaseProcess
    pipe: Connection


class _WorkerResults(NamedTuple):
    rows: list[Rows]
    clock_reports: list[ClockReport]
    lost: int


def run_worker(spec: LoadSpec, number: int, pipe: Connection) -> None:
    """Run one worker; the entry point of its process."""
    requests = spec.stream.draw_requests()[number :: spec.workers]
    loop = sender.create_loop()
    seed = spec.stream.seed * SEED_STRIDE + number
    request_sender = sender.Sender(
        loop, requests, spec.targets, spec.balancers, pipe.send_bytes, seed, spec.users
    )
    pipe.send(len(requests))
    started: float = pipe.recv()
    gc.collect()
    gc.freeze()
    # A run is bounded, and a collection over the objects of all requests takes longer than a tick.
    gc.disable()
    loop.timers.schedule(started - LOOP_LEAD_MS, lambda: request_sender.begin(started))
    loop.run(lambda: None)
    pipe.send_bytes(b"")
    pipe.send(request_sender.clock_report())
    pipe.close()


def play(spec: LoadSpec, started_at: Any = None) -> LoadResult:
    """Play a run to its end.

    The shared value ``started_at`` is set to the start of the run in ms of the monotonic clock; echo nodes
    schedule their stalls by it.

    Raises:
        StartError: a worker does not start in time.
        StreamSizeError: the stream is empty or too long.
        TraceError: the trace of the stream cannot be replayed.
    """
    requests = spec.stream.draw_requests()
    if not requests:
        raise StreamSizeError("no request in the whole stream; a higher rate or a longer run is needed")
    workers: list[_Worker] = []
    try:
        for number in range(spec.workers):
            workers.append(_start_worker(spec, number))
        for worker in workers:
            _wait_until_ready(worker)
        started = monotonic_ms() + START_LEAD_MS
        if started_at is not None:
            started_at.value = started
        for worker in workers:
            worker.pipe.send(started)
        results = _collect_results(spec, workers, started, _timeout_ms(requests))
    finally:
        for worker in workers:
            worker.process.kill()
            worker.process.join()
            worker.pipe.close()
    rows = _add_unsent_rows(outcomes.join_rows(results.rows), requests)
    send_delay = outcomes.send_delay_of(rows, len(requests), spec.send_delay_bound_ms)
    return LoadResult(
        rows, send_delay, results.lost, tuple(results.clock_reports), spec.stream.digest(requests)
    )


def _start_worker(spec: LoadSpec, number: int) -> _Worker:
    parent_pipe, worker_pipe = spawn_context.Pipe()
    process = spawn_context.Process(target=run_worker, args=(spec, number, worker_pipe), daemon=True)
    process.start()
    worker_pipe.close()
    return _Worker(process, parent_pipe)


def _wait_until_ready(worker: _Worker) -> None:
    try:
        if worker.pipe.poll(START_TIMEOUT_S):
            worker.pipe.recv()
            return
    except EOFError:
        pass
    raise StartError("a worker")


def _timeout_ms(requests: Sequence[Request]) -> float:
    longest_deadline_ms = max(request.cls.deadline_ms for request in requests)
    return requests[-1].arrival_ms + longest_deadline_ms + RESULT_TIMEOUT_S * 1000.0


def _add_unsent_rows(rows: Rows, requests: Sequence[Request]) -> Rows:
    """Add a row for every request without a row; its worker was lost."""
    schedule = [
        (request.arrival_ms, traffic.CLASS_INDEX[request.cls.name], traffic.TENANT_INDEX[request.tenant])
        for request in requests
    ]
    return outcomes.join_rows([rows, outcomes.unsent_rows(rows, schedule)])


def _collect_results(
    spec: LoadSpec, workers: list[_Worker], started: float, timeout_ms: float
) -> _WorkerResults:
    """Collect rows until every worker has finished, died, or exceeded the timeout."""
    data = {worker.pipe: bytearray() for worker in workers}
    open_pipes = list(data)
    clock_reports = list[ClockReport]()
    lost = 0
    pending_kill = spec.kill_worker
    while open_pipes:
        now = monotonic_ms() - started
        if now > timeout_ms:
            lost += len(open_pipes)
            break
        if pending_kill and now >= pending_kill[1]:
            workers[pending_kill[0]].process.kill()
            pending_kill = None
        for pipe in wait(open_pipes, timeout=POLL_INTERVAL_S):
            assert isinstance(pipe, Connection)
            try:
                rows = pipe.recv_bytes()
                if rows:
                    data[pipe] += rows
                    continue
                clock_reports.append(pipe.recv())
            except (EOFError, OSError):
                lost += 1
            open_pipes.remove(pipe)
    return _WorkerResults(
        [outcomes.parse_rows(packed_rows) for packed_rows in data.values()], clock_reports, lost
    )


def play_with_echo_nodes(
    spec: LoadSpec, count: int, stalls: Sequence[echo_node.PlannedStall], ports: Sequence[int]
) -> LoadResult:
    """Play a run against ``count`` echo nodes, which are started for the run on the given ports.

    Raises:
        StartError: a worker or an echo node does not start in time.
        StreamSizeError: the stream is empty or too long.
        TraceError: the trace of the stream cannot be replayed.
    """
    fleet = EchoFleet(count, stalls, ports)
    try:
        wait_until_reachable(fleet.targets)
        return play(spec._replace(targets=fleet.targets), fleet.started_at)
    finally:
        fleet.close()
