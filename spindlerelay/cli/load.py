"""The command ``load``: sends open-loop load and reports outcomes.

Latencies count from the time at which a request should have been sent, to avoid coordinated omission.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
from rich.box import SIMPLE
from rich.console import Console
from rich.table import Table

from spindlerelay.cli import CommandError, combine_errors
from spindlerelay.config.operator import parse_address, parse_duration
from spindlerelay.process.logging import log_to_stderr
from spindlerelay.testbed import baseline_policies
from spindlerelay.testbed.cluster.workspace import free_port
from spindlerelay.testbed.load_generation import arrival_process, load_run, outcomes, trace_replay
from spindlerelay.testbed.load_generation.load_run import LoadResult, LoadSpec
from spindlerelay.testbed.load_generation.sender import Target
from spindlerelay.testbed.load_generation.stream import Stream
from spindlerelay.testbed.models import fault_script, traffic
from spindlerelay.testbed.models.balancer import BALANCER_PROFILES, parse_profile_mix
from spindlerelay.testbed.models.fault_script import FaultEvent
from spindlerelay.testbed.scripted_run import Emulation, Recording, emulate, stream_of
from spindlerelay.testbed.servers.echo_node import PlannedStall

CLASS_COLUMNS = (
    "asked",
    "in_aim",
    "late",
    "refused",
    "failed",
    "lost",
    "worth",
    "p50_ms",
    "p99_ms",
    "p99_9_ms",
)


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """The options of the command, under the names of its parameters. Rates are in requests per second."""

    targets: tuple[str, ...]
    emulator: int | None
    echo: int | None
    rate: float
    to_rate: float
    share: float
    seconds: float
    arrivals: str
    curve: str
    seed: int
    workers: int
    habits: str
    users: int
    stalls: tuple[str, ...]
    troubles: tuple[str, ...]
    drawn: int
    policy: str
    late_bound: float
    replay: str | None
    speed: float
    retries: bool
    capture: str | None
    path: str | None
    record: str | None


def _parse_stall(text: str) -> PlannedStall:
    """Return the stall of a text such as ``2s@4s``, which lasts 2 s and begins at 4 s."""
    duration, _, begin = text.partition("@")
    try:
        return PlannedStall(parse_duration(begin), parse_duration(duration))
    except ValueError:
        raise CommandError(f"--stall {text}: expected a length and a time, such as 2s@4s") from None


def _parse_event(text: str) -> FaultEvent:
    """Return the fault of a text such as ``crash:2@5s+3s``: kind, node, begin and length.

    The node and the length are optional.
    """
    head, _, times = text.partition("@")
    kind, _, node = head.partition(":")
    begin, _, duration = times.partition("+")
    try:
        return FaultEvent(
            kind,
            parse_duration(begin),
            parse_duration(duration) if duration else 2000.0,
            int(node) if node else 0,
        )
    except ValueError:
        raise CommandError(
            f"--trouble {text}: expected KIND:NODE@BEGIN+LENGTH, such as crash:2@5s+3s"
        ) from None


def _parse_target(number: int, text: str) -> Target:
    try:
        return Target(f"n{number + 1}", parse_address(text))
    except ValueError as error:
        raise CommandError(f"--target {text}: expected {error}") from None


@click.command()
@click.option("--target", "targets", multiple=True, help="ADDRESS:PORT of a node; may be repeated.")
@click.option("--emulator", type=click.IntRange(1, 64), help="Send to an emulated fleet of this many nodes.")
@click.option(
    "--echo", type=click.IntRange(1, 16), help="Send to this many echo servers, which answer at once."
)
@click.option("--rate", default=0.0, help="Requests per second; with --emulator, --load may replace it.")
@click.option(
    "--to-rate", default=0.0, help="Final rate of a ramp, highest rate of a staircase, or rate of a burst."
)
@click.option(
    "--load", "share", default=0.7, show_default=True, help="Load as a fraction of the emulated capacity."
)
@click.option("--seconds", default=10.0, show_default=True, type=click.FloatRange(0.5, load_run.MAX_RUN_S))
@click.option("--arrivals", default="poisson", show_default=True, type=click.Choice(arrival_process.SPACINGS))
@click.option("--curve", default="steady", show_default=True, type=click.Choice(arrival_process.CURVES))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(1))
@click.option("--workers", default=1, show_default=True, type=click.IntRange(1, 64))
@click.option(
    "--habits",
    default="steady",
    show_default=True,
    help=f"Shares of balancer profiles, such as storm:0.3,steady:0.7; known: {', '.join(BALANCER_PROFILES)}.",
)
@click.option(
    "--users",
    default=0,
    type=click.IntRange(0, 10_000),
    help="Number of users in a closed loop; 0 for an open loop.",
)
@click.option("--stall", "stalls", multiple=True, help="LENGTH@BEGIN of a stall of the echo servers.")
@click.option(
    "--trouble", "troubles", multiple=True, help="KIND:NODE@BEGIN+LENGTH of a fault in the emulated fleet."
)
@click.option(
    "--drawn", default=0, type=click.IntRange(0, 20), help="Number of additional faults drawn from the seed."
)
@click.option("--policy", default="module", show_default=True, help="Admission policy of the emulated nodes.")
@click.option(
    "--late-bound",
    default=load_run.SEND_DELAY_BOUND_MS,
    show_default=True,
    help="Largest p99 of the sender's delay in ms; the run is void above it.",
)
@click.option("--replay", type=click.Path(), help="Trace to replay instead of drawn arrivals.")
@click.option("--speed", default=1.0, type=click.FloatRange(0.01, 100.0), help="Speed of the replay.")
@click.option("--retries", is_flag=True, help="Also replay requests that are marked as retries.")
@click.option(
    "--capture", type=click.Path(dir_okay=False), help="Write the arrivals to this file as a trace."
)
@click.option("--json", "path", type=click.Path(dir_okay=False), help="Write the figures to this file.")
@click.option(
    "--record", type=click.Path(dir_okay=False), help="Write all outcomes to this file, for 'report'."
)
def load(**parameters: Any) -> int:
    """Send open-loop load; exit status 1 if the run is void or a rule was violated."""
    options = LoadOptions(**parameters)
    log_to_stderr(level="ERROR")
    if sum(map(bool, (options.targets, options.emulator, options.echo))) != 1:
        raise CommandError("give one of --target, --emulator and --echo as the receiver of the load")
    try:
        recording = _play_on_emulator(options) if options.emulator else _play_on_targets(options)
    except trace_replay.TraceError as error:
        raise combine_errors(error.lines) from None
    except (ValueError, RuntimeError) as error:
        raise CommandError(str(error)) from None
    return _print_result(recording, options)


def _stream(options: LoadOptions, rate: float, to_rate: float) -> Stream:
    rate_curve = arrival_process.curve(options.curve, rate, to_rate or rate, options.seconds * 1000.0)
    return Stream(
        options.seed, options.arrivals, rate_curve, options.replay or "", options.speed, options.retries
    )


def _play_on_targets(options: LoadOptions) -> Recording:
    if not options.replay and options.rate <= 0.0:
        raise CommandError("--rate: a number of requests a second above 0 is needed")
    if options.troubles or options.drawn or options.policy != "module":
        raise CommandError("--trouble, --drawn and --policy need --emulator")
    if options.stalls and not options.echo:
        raise CommandError("--stall needs --echo")
    stream = _stream(options, options.rate, options.to_rate)
    targets = tuple(_parse_target(number, text) for number, text in enumerate(options.targets))
    spec = LoadSpec(
        stream, targets, parse_profile_mix(options.habits), options.workers, options.users, options.late_bound
    )
    if options.echo:
        ports = [free_port() for _ in range(options.echo)]
        result = load_run.play_with_echo_nodes(
            spec, options.echo, [_parse_stall(text) for text in options.stalls], ports
        )
    else:
        result = load_run.play(spec)
    _write_capture(options, stream)
    return to_recording(spec, result)


def to_recording(spec: LoadSpec, result: LoadResult) -> Recording:
    """Return the recording of a load run, for reports."""
    send_delay = result.send_delay
    summary = {
        "seed": spec.stream.seed,
        "workers": spec.workers,
        "users": spec.users,
        "intended": send_delay.intended,
        "sent": send_delay.sent,
        "late_p99_ms": round(send_delay.p99_ms, 3),
        "late_most_ms": round(send_delay.max_ms, 2),
        "faults": result.void_reasons(),
        "notes": result.notes(),
        "digest": result.digest,
        "lost_workers": result.lost_workers,
        "clock_steps": sum(report.clock_steps for report in result.clock_reports),
        "departments": list(traffic.TENANT_NAMES),
        "rules": {},
    }
    return Recording(result.rows, summary)


def _play_on_emulator(options: LoadOptions) -> Recording:
    seconds = options.seconds
    nodes = options.emulator or 0
    events = [_parse_event(text) for text in options.troubles]
    events += fault_script.draw_events(options.seed, options.drawn, nodes, seconds * 1000.0)
    for event, text in zip(events, options.troubles, strict=False):
        if errors := fault_script.validation_errors(event, nodes, seconds * 1000.0):
            raise CommandError(f"--trouble {text}: {errors[0]}")
    if options.workers != 1 or options.users:
        raise CommandError(
            "--workers and --users do not apply to --emulator, which sends open-loop load from one process"
        )
    if not baseline_policies.is_known(options.policy):
        raise CommandError(f"--policy {options.policy}: expected one of {', '.join(baseline_policies.NAMES)}")
    stream = None
    if options.rate > 0.0 or options.replay:
        stream = _stream(options, options.rate, options.to_rate)
    spec = Emulation(
        options.seed,
        nodes,
        seconds,
        options.share,
        0.0,
        options.arrivals,
        options.curve,
        options.habits,
        options.policy,
        tuple(events),
        any(event.kind == "catalogue" for event in events),
        stream=stream,
    )
    if options.capture:
        _write_capture(options, stream_of(spec))
    return emulate(spec)


def _write_capture(options: LoadOptions, stream: Stream) -> None:
    if options.capture:
        Path(options.capture).write_bytes(stream.to_trace(stream.draw_requests()))


def flat_figures(recording: Recording) -> dict[str, Any]:
    """Return the figures of a run under the flat keys of the published JSON."""
    summary = recording.details
    rows = recording.rows
    tenant_names = list(traffic.TENANT_NAMES)
    figures: dict[str, Any] = {
        "worth": round(outcomes.goodput(rows, traffic.CLASSES), 5),
        "sent_ratio": round(summary["sent"] / max(1, summary["intended"]), 6),
        "void": bool(recording.void_reasons()),
        "rules_broken": sum(summary["rules"].values()),
    }
    keys = ("intended", "sent", "late_p99_ms", "late_most_ms", "digest", "lost_workers", "clock_steps")
    figures |= {key: summary[key] for key in keys if key in summary}
    for grouping in ("class", "department", "outcome"):
        for row in outcomes.table(rows, traffic.CLASSES, tenant_names, grouping):
            if grouping == "class" or row[grouping] != "all":
                figures |= {f"{row[grouping]}_{key}": value for key, value in row.items() if key != grouping}
    figures |= {
        f"reason_{reason.replace(' ', '_')}": count for reason, count in outcomes.count_reasons(rows).items()
    }
    return figures


def _cell(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def _print_result(recording: Recording, options: LoadOptions) -> int:
    console = Console()
    summary = recording.details
    tenant_names = list(traffic.TENANT_NAMES)
    for grouping in ("class", "outcome"):
        table = Table(title=f"by {grouping}", box=SIMPLE, pad_edge=False)
        table.add_column(grouping)
        columns = (
            CLASS_COLUMNS if grouping == "class" else ("asked", "p50_ms", "p90_ms", "p99_ms", "p99_9_ms")
        )
        for column in columns:
            table.add_column(column.removesuffix("_ms").replace("_", " "), justify="right", no_wrap=True)
        for row in outcomes.table(recording.rows, traffic.CLASSES, tenant_names, grouping):
            if row["asked"]:
                table.add_row(str(row[grouping]), *(_cell(row.get(column, "")) for column in columns))
        console.print(table)
    lateness = f"p99 {summary['late_p99_ms']} ms, at most {summary['late_most_ms']} ms late"
    console.print(
        f"{summary['sent']} of {summary['intended']} sent, {lateness}; arrivals {summary['digest']}"
    )
    for note in summary.get("notes", []):
        console.print(f"note: {note}")
    for reason in recording.void_reasons():
        console.print(f"VOID: {reason}")
    for violation in summary.get("broken", []):
        console.print(f"rule violated: {violation}")
    if options.path:
        Path(options.path).write_text(json.dumps(flat_figures(recording), indent=1) + "\n")
    if options.record:
        Path(options.record).write_bytes(recording.to_bytes())
    return 1 if recording.void_reasons() or summary["rules"] else 0
