"""Signals of the process, and configuration that is reloaded."""

from __future__ import annotations

import os
import re
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from spindlerelay.process.signals import SignalDispatcher
from spindlerelay.transport.event_loop import EventLoop
from tests.node_harness import CALL_IDS
from tests.peers import TIMEOUT_S, Program
from tests.peers import Interpreter as InterpreterPeer

STOP_MS = 2000
SLOW_START_S = 1.0  # from the notice to the end of the start
SIGNAL_INTERVAL_S = 0.0005  # a fraction of what the interpreter takes to end


class ScriptedStart(Program):
    """The program, started by a script that interferes with its start."""

    def __init__(self, folder: Path, script: str, **more: Any) -> None:
        self.script = script
        super().__init__(folder, **more)

    def command(self) -> list[str]:
        return [sys.executable, "-c", self.script]


@pytest.mark.parametrize("file", ["good", "wrong", "quiet"])
def test_sighup_and_sigterm_in_one_instant_are_both_heard_and_what_is_open_is_answered(
    tmp_path: Path, file: str
) -> None:
    """A configuration that is a pipe held the process for ever, and with it the notice to leave."""
    call = next(CALL_IDS)
    with Program(tmp_path) as node:
        node.interpreter.expect("CONNECT", "0")
        balancer = node.balancer()
        asked = balancer.send_request(call)
        node.interpreter.expect("APPLY", call)
        node.process.send_signal(signal.SIGSTOP)
        os.waitpid(node.process.pid, os.WUNTRACED)
        if file == "quiet":
            node.path.unlink()
            os.mkfifo(node.path)
        elif file == "wrong":
            node.path.write_text("{")
        node.process.send_signal(signal.SIGHUP)
        node.terminate()
        node.process.send_signal(signal.SIGCONT)
        assert balancer.read() == [2, "goaway", []]
        node.wait_for_log("configuration reloaded" if file == "good" else "configuration not applied")
        node.interpreter.value(call, b"done")
        assert balancer.response(asked) == b"done" and balancer.read() is None
        assert node.process.wait(TIMEOUT_S) == 0


def test_a_reload_during_a_drain_moves_the_links_and_the_drain_goes_on(tmp_path: Path) -> None:
    call = next(CALL_IDS)
    with Program(tmp_path) as node:
        node.interpreter.expect("CONNECT", "0")
        balancer = node.balancer()
        asked = balancer.send_request(call)
        node.interpreter.expect("APPLY", call)
        node.terminate()
        assert balancer.read() == [2, "goaway", []]
        newer = InterpreterPeer()
        node.reload(vm=newer.address)
        newer.expect("CONNECT", "0")
        newer.value(call, b"done")
        assert balancer.response(asked) == b"done"
        assert node.process.wait(TIMEOUT_S) == 0
        newer.close()


def test_a_notice_to_leave_that_comes_before_there_is_a_handler_is_carried_out(tmp_path: Path) -> None:
    """The process ended by the signal, with no drain and another status."""
    script = (
        "import os, runpy, signal\n"
        "from spindlerelay.config import platform\n"
        "read = platform.read_config\n"
        "platform.read_config = lambda environ: (os.kill(os.getpid(), signal.SIGTERM), read(environ))[1]\n"
        "runpy.run_module('spindlerelay', run_name='__main__')\n"
    )

    node = ScriptedStart(tmp_path, script)
    try:
        assert node.process.wait(TIMEOUT_S) == 0
        assert "drained: all requests have their responses" in node.log.read_text()
    finally:
        node.__exit__(None, None, None)


@pytest.mark.parametrize("handover", [False, True], ids=["alone", "in a handover"])
def test_a_notice_that_comes_during_the_start_counts_from_when_it_came(
    tmp_path: Path, handover: bool
) -> None:
    """It counted from the end of the start: orders past the grace ran, and some met the SIGKILL."""
    script = (
        "import os, runpy, signal, time\n"
        "from spindlerelay.config import platform\n"
        "read = platform.read_config\n"
        "def slow_read(environ):\n"
        "    os.kill(os.getpid(), signal.SIGTERM)\n"
        f"    time.sleep({SLOW_START_S})\n"
        "    return read(environ)\n"
        "platform.read_config = slow_read\n"
        "runpy.run_module('spindlerelay', run_name='__main__')\n"
    )

    with socket.create_server(("127.0.0.1", 0)) as listening:
        fd = listening.fileno()
        env = {"LB_ACCEPT_FD": str(fd)} if handover else {}
        node = ScriptedStart(tmp_path, script, env=env, fds=(fd,) if handover else (), stop_ms=STOP_MS)
        try:
            assert node.process.wait(TIMEOUT_S) == 0
            remaining = re.search(r"stop in (\d+) ms", node.log.read_text())
            assert remaining and float(remaining[1]) <= STOP_MS - SLOW_START_S * 1000.0
        finally:
            node.__exit__(None, None, None)


def test_a_signal_has_the_time_of_its_delivery_however_late_the_turn_that_handles_it() -> None:
    """A notice in a long turn counted from the end of that turn."""
    now_ms, came_at_ms = [1000.0], list[float]()
    loop, before = EventLoop(lambda: now_ms[0]), signal.getsignal(signal.SIGUSR1)
    try:
        SignalDispatcher(loop, {signal.SIGUSR1: came_at_ms.append})
        os.kill(os.getpid(), signal.SIGUSR1)
        now_ms[0] = 1400.0
        loop.run_once(lambda: None)
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, before)
    assert came_at_ms == [1000.0]


def test_a_fault_at_one_signal_costs_no_other_that_came_with_it() -> None:
    loop, heard = EventLoop(), list[int]()
    one, other = signal.SIGUSR1, signal.SIGUSR2
    before = {number: signal.getsignal(number) for number in (one, other)}

    def fault(_came_at_ms: float) -> None:
        raise RuntimeError("scripted fault")

    try:
        signals = SignalDispatcher(loop, {one: fault, other: lambda _came_at_ms: heard.append(other)})
        signals.waker.send(bytes([one, other]))  # as the interpreter does for signals that come together
        loop.run_once(lambda: None)
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in before.items():
            signal.signal(number, handler)
    assert heard == [other]


def test_further_notices_to_stop_up_to_the_end_do_not_change_the_status(tmp_path: Path) -> None:
    """The interpreter restores the default handlers as it ends: a second SIGTERM then killed the process."""
    with Program(tmp_path, stop_ms=600) as node:
        node.interpreter.expect("CONNECT", "0")
        while node.process.poll() is None:
            node.terminate()
            time.sleep(SIGNAL_INTERVAL_S)
        assert node.process.returncode == 0
