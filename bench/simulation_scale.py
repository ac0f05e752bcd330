"""How fast the simulation plays a fleet, and what a request costs there as the fleet grows.

    python -m bench.simulation_scale [--sizes 22,200] [--seconds 8] [--rate 170]

``--rate`` requests a second belong to the first size and grow with the others. One core, one process.
"""

from __future__ import annotations

import statistics
import time
from typing import NamedTuple

import click
from loguru import logger

from spindlerelay.testbed.cluster.cluster import Cluster
from spindlerelay.testbed.cluster.spec import ClusterSpec, fleet
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.models.balancer import BalancerProfile
from spindlerelay.testbed.models.traffic import Phase
from spindlerelay.testbed.simulation.virtual_network import START_MS, VirtualNetwork
from spindlerelay.testbed.simulation.virtual_workspace import VirtualWorkspace

WARM_UP_MS = 4000.0


class Run(NamedTuple):
    """The figures of one run."""

    speed: float  # virtual s over CPU s
    cpu_ms_per_request: float
    requests: int
    summary: str


def play(count: int, load: float, seconds: float) -> Run:
    """Play a fleet at a fraction of its capacity for some seconds of virtual time."""
    network = VirtualNetwork(1)
    spec = ClusterSpec(
        seed=1,
        nodes=fleet(count, WARM_UP_MS),
        phases=(Phase(seconds * 1000.0, load, load),),
        balancers=(BalancerProfile(), BalancerProfile("least"), BalancerProfile(honours_backpressure=False)),
    )
    cluster = Cluster(spec, workspace=VirtualWorkspace(network))
    started_s = time.process_time()
    cluster.run()
    cpu_s = time.process_time() - started_s
    virtual_s = (network.now_ms - START_MS) / 1000.0
    broken = sum(cluster.checker.counts.values())
    summary = f"{virtual_s:.1f} virtual s, worth {cluster.tally.value_fraction():.3f}, rules broken {broken}"
    requests = len(cluster.requests)
    return Run(virtual_s / cpu_s, cpu_s / requests * 1000.0, requests, summary)


@click.command()
@click.option("--sizes", default="22,200")
@click.option("--seconds", default=8.0, type=click.FloatRange(1, 600))
@click.option("--rate", default=170.0, help="Requests a second to the first size.")
@click.option("--repeats", default=3, type=click.IntRange(1, 50), help="Of all sizes in turn; medians count.")
def main(sizes: str, seconds: float, rate: float, repeats: int) -> None:
    """Print, for each size, virtual over real time and CPU a request."""
    logger.remove()
    counts = [int(size) for size in sizes.split(",")]
    runs_by_size: dict[int, list[Run]] = {count: [] for count in counts}
    for _ in range(repeats):
        for count in counts:
            load = rate * count / counts[0] / traffic.fleet_capacity_per_s(list(fleet(count, WARM_UP_MS)))
            runs_by_size[count].append(play(count, load, seconds))
    base_ms = statistics.median(run.cpu_ms_per_request for run in runs_by_size[counts[0]])
    for count, runs in runs_by_size.items():
        speed = statistics.median(run.speed for run in runs)
        cpu_ms = statistics.median(run.cpu_ms_per_request for run in runs)
        head = f"{count:5} nodes, {runs[0].requests} requests"
        cost = f"{cpu_ms:.2f} ms a request ({cpu_ms / base_ms:.2f} of the first)"
        print(f"{head}: {speed:.1f} times real time, {cost}, {runs[0].summary}")


if __name__ == "__main__":
    main()
