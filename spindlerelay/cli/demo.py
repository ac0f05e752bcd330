"""The command ``demo``: a small fleet of real nodes on the emulator, with a burst, a crash and a restart."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from rich.box import SIMPLE
from rich.console import Console
from rich.live import Live
from rich.table import Table

from spindlerelay.process.logging import log_to_stderr
from spindlerelay.testbed.cluster.cluster import Cluster
from spindlerelay.testbed.cluster.spec import ClusterSpec, fleet
from spindlerelay.testbed.models.balancer import BalancerProfile
from spindlerelay.testbed.models.traffic import Phase
from spindlerelay.testbed.scenario import Scenario
from spindlerelay.testbed.tally import COLUMNS

WARM_UP_MS = 6000.0  # shorter than in production, to fit a demonstration of 20 s
BASE_LOAD = 0.55  # as a fraction of the capacity
BURST_LOAD = 0.9  # as a fraction of the capacity
BALANCERS = (
    BalancerProfile(),
    BalancerProfile("least"),
    BalancerProfile("round", honours_backpressure=False),
    BalancerProfile("least", attempt_timeout_ms=900.0),
)
REFRESH_INTERVAL_MS = 250.0
DOWNTIME_FRACTION = 0.15  # time between crash and restart, as a fraction of the run


def demo_spec(seed: int, seconds: float, nodes: int) -> ClusterSpec:
    """Return the specification of a cluster with a base load and one burst after the first quarter."""
    quarter_ms = seconds * 1000.0 / 4
    phases = (
        Phase(quarter_ms, BASE_LOAD, BASE_LOAD),
        Phase(quarter_ms / 2, BURST_LOAD, BURST_LOAD),
        Phase(quarter_ms * 2.5, BASE_LOAD, BASE_LOAD),
    )
    return ClusterSpec(seed=seed, nodes=fleet(nodes, WARM_UP_MS), phases=phases, balancers=BALANCERS)


class DemoScenario(Scenario):
    """Crashes and restarts one node, and refreshes the view on the terminal."""

    def __init__(self, seconds: float, nodes: int, refresh_view: Callable[[Cluster, float], None]) -> None:
        super().__init__()
        self.kill_at_ms = seconds * 500.0
        self.restart_at_ms = seconds * (500.0 + 1000.0 * DOWNTIME_FRACTION)
        self.killed_node = f"n{min(2, nodes)}"
        self.refresh_view = refresh_view
        self.next_refresh_at_ms = 0.0

    def tick(self, at: float) -> None:
        """Crash and restart the node at the planned times, and refresh the view."""
        self.crash(self.cluster.hosts[self.killed_node], at, self.kill_at_ms, self.restart_at_ms)
        if at >= self.next_refresh_at_ms:
            self.next_refresh_at_ms = at + REFRESH_INTERVAL_MS
            self.refresh_view(self.cluster, at)


def outcome_table(cluster: Cluster, title: str) -> Table:
    """Return the outcomes by class as a table for the terminal."""
    table = Table(title=title, box=SIMPLE, pad_edge=False)
    for column in COLUMNS:
        heading = column.removesuffix("_ms").replace("_", " ")
        table.add_column(heading, justify="left" if column == "class" else "right", no_wrap=True)
    for row in cluster.tally.table():
        table.add_row(*(str(row[column]) for column in COLUMNS))
    return table


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the request stream.")
@click.option(
    "--seconds",
    default=20.0,
    show_default=True,
    type=click.FloatRange(4, 600),
    help="Length of the request stream.",
)
@click.option(
    "--nodes", default=3, show_default=True, type=click.IntRange(2, 22), help="Number of render nodes."
)
@click.option("--json", "path", type=click.Path(dir_okay=False), help="Also write the result to this file.")
def demo(seed: int, seconds: float, nodes: int, path: str | None) -> int:
    """Run a small fleet on the emulator; exit status 1 if a rule was violated."""
    log_to_stderr(level="ERROR")
    console = Console()
    with Live(console=console, refresh_per_second=4, transient=True) as live:

        def refresh_view(cluster: Cluster, at: float) -> None:
            if console.is_terminal:
                live.update(
                    outcome_table(
                        cluster, f"{at / 1000:.0f} of {seconds:.0f} s, {cluster.open_requests} open"
                    )
                )

        cluster = (scenario := DemoScenario(seconds, nodes, refresh_view)).play(
            demo_spec(seed, seconds, nodes)
        )
    console.print(
        outcome_table(cluster, f"{nodes} nodes, {cluster.capacity:.0f} requests/s at capacity, seed {seed}")
    )
    result = result_figures(cluster)
    console.print(
        f"{'; '.join(scenario.done)}. Worth {result['worth']:.3f}; rules violated: {result['rules_broken']}"
    )
    for violation in cluster.checker.violations[:10]:
        console.print(f"  {violation.rule} at {violation.node}: {violation.detail}")
    if path:
        Path(path).write_text(json.dumps(result, indent=1) + "\n")
    return 1 if result["rules_broken"] else 0


def result_figures(cluster: Cluster) -> dict[str, Any]:
    """Return the published figures under flat keys, and the table of classes."""
    return {
        "seed": cluster.spec.seed,
        "nodes": len(cluster.hosts),
        "capacity_per_s": round(cluster.capacity, 1),
        "asked": sum(row.requests for row in cluster.tally.rows_by_class.values()),
        "worth": round(cluster.tally.value_fraction(), 4),
        "rules_broken": sum(cluster.checker.counts.values()),
        "late_sending_ms": round(cluster.max_send_delay_ms, 1),
        "classes": cluster.tally.table(),
    }
