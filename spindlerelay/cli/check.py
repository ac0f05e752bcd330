"""The command ``check``: validates configuration files without starting a node."""

from __future__ import annotations

import click

from spindlerelay.config import operator as operators
from spindlerelay.config.platform import Config, ConfigError, read_file


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> int:
    """Check the operator's TOML files (*.toml) and the platform's JSON files, and print every error.

    If both kinds are given, the dependencies of each TOML file are also checked against the classes and
    shares of the first JSON file.
    """
    error_count = 0
    node_config: Config | None = None
    for path in sorted(files, key=lambda path: path.endswith(".toml")):
        try:
            if path.endswith(".toml"):
                operator = operators.read_operator_file(path)
                if node_config:
                    operators.check_node(path, operator, node_config.settings)
            else:
                config = read_file(path, {})
                node_config = node_config or config
            click.echo(f"{path}: good")
        except operators.OperatorError as error:
            error_count += len(error.lines)
            for line in error.lines:
                click.echo(line, err=True)
        except ConfigError as error:
            error_count += 1
            text = str(error)
            click.echo(text if text.startswith(path) else f"{path}: {text}", err=True)
    return 2 if error_count else 0
