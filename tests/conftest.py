"""Passes over the tests of ``KNOWN-RED.txt``, and over no other; one of them that passes fails the suite."""

from __future__ import annotations

import pytest
from _pytest.terminal import TerminalReporter

from tests import known_red


def _listed(config: pytest.Config) -> list[known_red.KnownRed]:
    path = config.rootpath / known_red.FILE
    try:
        return known_red.read(path.read_text()) if path.exists() else []
    except known_red.BadListError as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)  # before others deselect: a name must match whatever is asked for by -k
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    reds, tests = _listed(config), [item.nodeid for item in items]
    if lost := known_red.unmatched(reds, tests, config.args == config.getini("testpaths")):
        raise pytest.UsageError(f"{known_red.FILE}: no such test: {', '.join(lost)}")
    for red in reds:
        for item in items:
            if known_red.matching(red, [item.nodeid]):
                item.add_marker(pytest.mark.xfail(reason=f"{red.cause}, issue {red.issue}", strict=True))


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    for red in _listed(config):
        terminalreporter.write_line(f"known red: {red.test}: {red.cause}, issue {red.issue}")
