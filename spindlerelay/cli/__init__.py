"""The command line, with one module per command. The platform's start loads none of them."""

from __future__ import annotations

import importlib
import sys

import click

COMMANDS = {
    "run": "run one render node",
    "check": "check configuration files without starting anything",
    "demo": "run a small fleet on the emulator",
    "load": "send open-loop load to nodes, an emulated fleet or echo servers",
    "trace": "import, check and describe request traces",
    "experiment": "run a matrix of variants and compare them in pairs",
    "report": "write an HTML report of a recorded run or an experiment",
    "simulate": "simulate a fleet from one seed in virtual time, and reproduce violations",
    "members": "show a node's view of the cluster members",
    "state": "show, verify or compact the stored state of a node",
    "drill": "inject a failure on the emulator and check the claims about it",
}


class LazyGroup(click.Group):
    """Loads the module of a command only when the command is called; ``check`` needs no testbed."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Load the module of a command and return the command; None if the name is unknown."""
        if cmd_name not in COMMANDS:
            return None
        command = getattr(importlib.import_module(f"spindlerelay.cli.{cmd_name}"), cmd_name)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the one-line descriptions of all commands without loading their modules."""
        with formatter.section("Commands"):
            formatter.write_dl(list(COMMANDS.items()))


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
def group() -> None:
    """Render node and testbed.

    Without a command, ``python -m spindlerelay`` starts a node as the platform does.
    """


def combine_errors(lines: list[str]) -> CommandError:
    """Return one error that prints all errors of a file, one per line."""
    return CommandError("\nspindlerelay: ".join(lines))


class CommandError(click.ClickException):
    """An error that ends the command with exit status 2; the message names the problem and the remedy."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        """Print the error to standard error."""
        click.echo(f"spindlerelay: {self.message}", err=True)


def main() -> int:
    """Run the command line and return the exit status.

    The status is 0 for success, 1 for a failed claim, a violated rule or a void run, 2 for invalid input, and
    130 after an interrupt.
    """
    try:
        status = group.main(prog_name="spindlerelay", standalone_mode=False)
        return status if isinstance(status, int) else 0
    except click.UsageError as error:
        command_path = error.ctx.command_path if error.ctx else "spindlerelay"
        click.echo(f"spindlerelay: {error.format_message()} (see '{command_path} --help')", err=True)
    except click.ClickException as error:
        error.show()
    except click.Abort:
        click.echo("spindlerelay: stopped", err=True)
        return 130
    return 2


if __name__ == "__main__":
    sys.exit(main())
