"""The command ``simulate``: runs a simulation from one seed and prints its last events and violations."""

from __future__ import annotations

import click


@click.command()
@click.argument("seed", type=click.IntRange(0))
@click.option("--shrink", is_flag=True, help="Remove faults as long as the violation remains.")
@click.option(
    "--events", default=40, show_default=True, type=click.IntRange(0), help="Number of last events to print."
)
def simulate(seed: int, shrink: bool, events: int) -> int:
    """Simulate SEED in virtual time; exit status 1 if a rule is violated.

    The same seed gives the same run.
    """
    from spindlerelay.testbed.simulation import fault_schedule, scenario_player

    schedule = fault_schedule.draw(seed)
    if shrink:
        schedule = scenario_player.shrink(schedule)
    result = scenario_player.play(schedule)
    click.echo(f"seed {seed}: {schedule.summary()}")
    duration = f"{result.virtual_s:.1f} s in {result.cpu_s:.1f}"
    click.echo(
        f"{result.requests} requests, worth {result.weighted_success_ratio:.3f}, "
        f"{duration}, digest {result.digest}"
    )
    for line in result.recent_events[-events:] if events else ():
        click.echo(line)
    for violation in result.violations:
        click.echo(f"violation: {violation}")
    return 1 if result.violations else 0
