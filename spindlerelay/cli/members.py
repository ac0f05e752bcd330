"""The command ``members``: prints a node's view of the cluster, read from its management address."""

from __future__ import annotations

import urllib.error
import urllib.request
from typing import Any

import click
import ujson

from spindlerelay.cli import CommandError
from spindlerelay.config.operator import parse_address as parse_management_address

TIMEOUT_S = 3.0
COLUMNS = ("name", "status", "state", "busy", "power", "weight", "site", "version", "age_ms", "address")


def fetch_json(address: str, path: str) -> Any:
    """Return the JSON that a node serves at a path of its management address.

    Raises:
        CommandError: The address is invalid, or the node sends no valid JSON.
    """
    try:
        host, port = parse_management_address(address)
    except ValueError as error:
        raise CommandError(f"{address}: not a management address; expected {error}") from None
    try:
        with urllib.request.urlopen(f"http://{host}:{port}{path}", timeout=TIMEOUT_S) as response:
            return ujson.loads(response.read())
    except urllib.error.HTTPError as error:
        detail = error.read().decode("utf-8", "replace").strip()
        hint = "check that the operator's file enables the feature"
        raise CommandError(f"{address}: {path}: {error.code}: {detail}; {hint}") from None
    except (OSError, ValueError) as error:
        raise CommandError(f"{address}: {path}: no readable response: {error}") from None


@click.command()
@click.argument("where", metavar="HOST:PORT")
@click.option("--json", "as_json", is_flag=True, help="Print JSON, with the figures of the node itself.")
def members(where: str, as_json: bool) -> int:
    """Print the cluster members as seen by the node with the management address HOST:PORT."""
    view = fetch_json(where, "/control/members")
    if as_json:
        click.echo(ujson.dumps(view, indent=1, escape_forward_slashes=False))
        return 0
    rows = [COLUMNS, *([str(row[key]) for key in COLUMNS] for row in view["members"])]
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    for row in rows:
        click.echo("  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip())
    alive_count = sum(row["status"] == "alive" for row in view["members"])
    summary = f"{alive_count} of {len(view['members'])} other nodes alive"
    click.echo(f"{view['name']}: {summary}, own weight {view['weight']}")
    return 0
