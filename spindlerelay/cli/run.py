"""The command ``run``: runs one render node with the optional features of the operator's file."""

from __future__ import annotations

import click

from spindlerelay.process.operator_features import run_node


@click.command()
@click.option(
    "--operator",
    "path",
    type=click.Path(),
    help="The operator's TOML file; without it every optional feature is off.",
)
@click.option(
    "--log-format",
    type=click.Choice(["text", "json"]),
    help="Log format; overrides format in [log] of the operator's file.",
)
def run(path: str | None, log_format: str | None) -> int:
    """Run one render node; the environment variable LB_CONFIG names the platform's JSON file."""
    return run_node(path, log_format)
