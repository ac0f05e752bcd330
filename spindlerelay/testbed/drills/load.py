"""The drill of the load generator: what would falsify its figures, planted one by one.

Claims:

1. a stall of 2 s shows in p90, p99 and p99.9 within 2% of what the schedule says, and a closed loop hides it;
2. one worker sends 4,000 requests a second with a lateness p99 under 5 ms, all of them;
3. a generator that cannot keep its rate says so, and its run is void;
4. a worker that is killed during a run is reported, with every request that it did not send;
5. a system clock set during a run is reported, and is in no latency;
6. a seed is one stream, byte for byte, whoever sends it and however often;
7. a trace cut off in its last line is read up to there, and says so;
8. 22 nodes on this machine's cores are sent to in time, by a testbed that breaks no rule.

``--wide`` adds four workers at four times the rate.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from spindlerelay.testbed.cluster.workspace import free_port
from spindlerelay.testbed.load_generation import arrival_process, echo_fleet, outcomes, sender, trace_replay
from spindlerelay.testbed.load_generation import load_run as loads
from spindlerelay.testbed.load_generation.load_run import LoadResult, LoadSpec
from spindlerelay.testbed.load_generation.sender import Sender
from spindlerelay.testbed.load_generation.stream import Stream
from spindlerelay.testbed.models.balancer import BALANCER_PROFILES
from spindlerelay.testbed.scripted_run import Emulation, emulate
from spindlerelay.testbed.servers.echo_node import PlannedStall
from spindlerelay.transport.system import monotonic_ms, unix_time_ms

CORES_EACH = 4.0  # a timed part must not run beside more than one other
NODES = 22
RUNS = 1
STALL = PlannedStall(3000.0, 2000.0)
STALL_RATE_PER_S = 250.0
STALL_RUN_S = 8.0
SPEED_PER_S = 4200.0
SPEED_RUN_S = 4.0
MIN_SPEED_PER_S = 4000
MIN_SPEED_OF_FOUR_WORKERS_PER_S = 3.2 * 4000
OVERLOAD_PER_S = 200_000.0
RELAXED_LATENESS_MS = 250.0  # of parts that are not about lateness
CLOCK_STEP_MS = 5000.0
CLOCK_STEP_AT_MS = 1000.0
CLOSED_LOOP_USERS = 4
KILL_WORKER = (1, 1000.0)  # its number, and when in ms
FLEET_RUN_S = 10.0
FLEET_LOAD = 0.9
FLEET_BALANCERS = "storm:0.3,steady:0.4,copies:0.3"


class Job(NamedTuple):
    """One part of the drill."""

    part: str
    seed: int
    nodes: int


PARTS = ("fleet", "stall", "closed", "speed", "too_fast", "killed", "clock", "stream")
WIDE_PARTS = ("four",)


def plan(seed: int, runs: int, nodes: int, wide: bool) -> list[Job]:
    """Return a job for each part and seed."""
    parts = PARTS + (WIDE_PARTS if wide else ())
    return [Job(part, seed + number, nodes) for number in range(runs) for part in parts]


def _steady_stream(seed: int, rate_per_s: float, seconds: float, spacing: str = "paced") -> Stream:
    return Stream(seed, spacing, arrival_process.curve("steady", rate_per_s, 0.0, seconds * 1000.0))


def _run_with_echo(spec: LoadSpec, *stalls: PlannedStall, count: int = 1) -> LoadResult:
    return loads.play_with_echo_nodes(spec, count, stalls, [free_port() for _ in range(count)])


def run_stall(job: Job) -> dict[str, Any]:
    """Compare the percentiles of a run through a stall with those that the schedule gives."""
    stream = _steady_stream(job.seed, STALL_RATE_PER_S, STALL_RUN_S)
    result = _run_with_echo(LoadSpec(stream, (), send_delay_bound_ms=RELAXED_LATENESS_MS), STALL)
    at_ms = result.rows["at_ms"]
    stall_end_ms = STALL.at_ms + STALL.duration_ms
    waited_ms = np.where((at_ms >= STALL.at_ms) & (at_ms < stall_end_ms), stall_end_ms - at_ms, 0.0)
    measured = outcomes.percentiles(result.rows["took_us"])
    computed = outcomes.percentiles(waited_ms * 1000.0 // 1)
    figures: dict[str, Any] = {"stall_void": len(result.void_reasons())}
    for name in ("p90_ms", "p99_ms", "p99_9_ms"):
        figures[f"stall_{name}"] = round(measured[name], 1)
        figures[f"stall_computed_{name}"] = round(computed[name], 1)
        relative_error = abs(measured[name] / computed[name] - 1.0)
        figures[f"stall_off_{name.removesuffix('_ms')}"] = round(relative_error, 4)
    return figures


def run_closed(job: Job) -> dict[str, Any]:
    """Measure the same stall with a closed loop, which hides it."""
    stream = _steady_stream(job.seed, STALL_RATE_PER_S, STALL_RUN_S)
    spec = LoadSpec(stream, (), send_delay_bound_ms=RELAXED_LATENESS_MS, users=CLOSED_LOOP_USERS)
    measured = outcomes.percentiles(_run_with_echo(spec, STALL).rows["took_us"])
    return {f"closed_{name}": round(measured[name], 1) for name in ("p90_ms", "p99_ms", "p99_9_ms")}


def _measure_speed(job: Job, workers: int, prefix: str) -> dict[str, Any]:
    stream = _steady_stream(job.seed, SPEED_PER_S * workers, SPEED_RUN_S, "poisson")
    lateness = _run_with_echo(LoadSpec(stream, (), workers=workers), count=workers).send_delay
    return {
        f"{prefix}_per_s": round(lateness.sent / SPEED_RUN_S),
        f"{prefix}_late_p99_ms": round(lateness.p99_ms, 2),
        f"{prefix}_sent_ratio": round(lateness.sent_fraction, 6),
    }


def run_speed(job: Job) -> dict[str, Any]:
    """Measure rate and lateness of one worker."""
    return _measure_speed(job, 1, "one")


def run_four(job: Job) -> dict[str, Any]:
    """Measure rate and lateness of four workers."""
    return _measure_speed(job, 4, "four")


def run_too_fast(job: Job) -> dict[str, Any]:
    """Ask for a rate that one worker cannot send."""
    result = _run_with_echo(LoadSpec(_steady_stream(job.seed, OVERLOAD_PER_S, 0.15), ()))
    return {
        "too_fast_confessed": int(bool(result.void_reasons())),
        "too_fast_late_p99_ms": round(result.send_delay.p99_ms, 1),
    }


def run_killed(job: Job) -> dict[str, Any]:
    """Kill one of two workers during the run."""
    stream = _steady_stream(job.seed, 400.0, 2.0)
    spec = LoadSpec(stream, (), workers=2, send_delay_bound_ms=RELAXED_LATENESS_MS, kill_worker=KILL_WORKER)
    result = _run_with_echo(spec)
    unsent = int((result.rows["end"] == outcomes.ENDS.index("unsent")).sum())
    lateness = result.send_delay
    all_accounted = len(result.rows) == lateness.intended and unsent == lateness.intended - lateness.sent
    return {
        "killed_workers_told": result.lost_workers,
        "killed_unsent_told": unsent,
        "killed_all_accounted": int(all_accounted),
        "killed_void": int(bool(result.void_reasons())),
    }


def run_clock(job: Job) -> dict[str, Any]:
    """Set the wall clock ahead during the run."""
    fleet = echo_fleet.EchoFleet(1, (), [free_port()])
    started_ms = monotonic_ms()
    rows = bytearray()
    try:
        echo_fleet.wait_until_reachable(fleet.targets)
        loop = sender.create_loop()
        sending = Sender(
            loop,
            _steady_stream(job.seed, 300.0, 2.0).draw_requests(),
            fleet.targets,
            ((BALANCER_PROFILES["once"], 1.0),),
            rows.extend,
            wall_clock=lambda: unix_time_ms()
            + (CLOCK_STEP_MS if monotonic_ms() - started_ms > CLOCK_STEP_AT_MS else 0.0),
        )
        started_ms = monotonic_ms()
        sending.begin(started_ms)
        loop.run(lambda: None)
    finally:
        fleet.close()
    max_latency_ms = float(outcomes.parse_rows(rows)["took_us"].max()) / 1000.0
    return {
        "clock_steps_told": sending.clock_report().clock_steps,
        "clock_step_ms": round(sending.clock_report().max_step_ms),
        "clock_worst_latency_ms": round(max_latency_ms, 1),
    }


def run_stream(job: Job) -> dict[str, Any]:
    """Draw a stream twice, write it, cut it, and send it by one worker and by three."""
    stream = _steady_stream(job.seed, 500.0, 1.0, "bursty")
    one, two = (stream.to_trace(stream.draw_requests()) for _ in range(2))
    results = [
        _run_with_echo(LoadSpec(stream, (), workers=workers, send_delay_bound_ms=RELAXED_LATENESS_MS))
        for workers in (1, 3)
    ]
    columns = [
        [result.rows[column].tolist() for column in ("at_ms", "number", "cls", "department")]
        for result in results
    ]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "cut.jsonl"
        path.write_bytes(one[: -len(one.splitlines()[-1]) - 20])
        trace = trace_replay.read_trace(str(path))
    return {
        "stream_same": int(one == two and columns[0] == columns[1]),
        "stream_digests": len({result.digest for result in results}),
        "trace_lines_lost": one.count(b"\n") - 2 - len(trace.records),
        "trace_cut_told": int(bool(trace.truncation)),
    }


def run_fleet(job: Job) -> dict[str, Any]:
    """Send to a whole fleet of the testbed."""
    emulation = Emulation(job.seed, job.nodes, FLEET_RUN_S, FLEET_LOAD, balancers=FLEET_BALANCERS)
    result = emulate(emulation)
    report = result.details
    return {
        "fleet_nodes": job.nodes,
        "fleet_per_s": round(len(result.rows) / FLEET_RUN_S, 1),
        "fleet_late_p99_ms": report["late_p99_ms"],
        "fleet_sent_ratio": round(report["sent"] / report["intended"], 6),
        "fleet_rules_broken": sum(report["rules"].values()),
        "fleet_void": len(result.void_reasons()),
    }


_RUN_PART: dict[str, Callable[[Job], dict[str, Any]]] = {
    "fleet": run_fleet,
    "stall": run_stall,
    "closed": run_closed,
    "speed": run_speed,
    "four": run_four,
    "too_fast": run_too_fast,
    "killed": run_killed,
    "clock": run_clock,
    "stream": run_stream,
}


def run(job: Job) -> dict[str, Any]:
    """Return the figures of one part."""
    return _RUN_PART[job.part](job)


def merge(runs: list[dict[str, Any]]) -> dict[str, Any]:
    """Return flat figures; of several seeds the worst of each."""
    merged: dict[str, Any] = {}
    for figures in runs:
        for key, value in figures.items():
            worse = min if key.endswith(LOWER_IS_WORSE) else max
            merged[key] = worse(merged.get(key, value), value)
    return merged


LOWER_IS_WORSE = ("_ratio", "_told", "_confessed", "_same", "_accounted", "_per_s", "killed_void")
REQUIRED = {
    "one_sent_ratio": 1.0,
    "four_sent_ratio": 1.0,
    "fleet_sent_ratio": 1.0,
    "too_fast_confessed": 1,
    "killed_workers_told": 1,
    "killed_all_accounted": 1,
    "killed_void": 1,
    "clock_steps_told": 1,
    "stream_same": 1,
    "stream_digests": 1,
    "trace_lines_lost": 1,
    "trace_cut_told": 1,
    "fleet_rules_broken": 0,
    "fleet_void": 0,
    "stall_void": 0,
}
MAXIMUM = {
    "stall_off_p90": 0.02,
    "stall_off_p99": 0.02,
    "stall_off_p99_9": 0.02,
    "one_late_p99_ms": 5.0,
    "four_late_p99_ms": 5.0,
    "clock_worst_latency_ms": 1000.0,
}


def failed(figures: dict[str, Any]) -> list[str]:
    """Return the claims that do not hold, in words."""
    claims = [
        f"{key} is {figures[key]}, not {value}"
        for key, value in REQUIRED.items()
        if key in figures and figures[key] != value
    ]
    claims += [
        f"{key} is {figures[key]}, over {maximum}"
        for key, maximum in MAXIMUM.items()
        if figures.get(key, 0) > maximum
    ]
    if figures["one_per_s"] < MIN_SPEED_PER_S:
        claims.append(f"one_per_s is {figures['one_per_s']}, under {MIN_SPEED_PER_S}")
    if "four_per_s" in figures and figures["four_per_s"] < MIN_SPEED_OF_FOUR_WORKERS_PER_S:
        claims.append(f"four_per_s is {figures['four_per_s']}, under {MIN_SPEED_OF_FOUR_WORKERS_PER_S:.0f}")
    if figures["closed_p99_ms"] >= figures["stall_p99_ms"] / 2:
        claims.append(f"closed_p99_ms is {figures['closed_p99_ms']}: a closed loop should hide the stall")
    return claims
