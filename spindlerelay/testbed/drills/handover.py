"""The drill of a new version under load: two processes of one node on one inherited listening socket.

An old process serves keyed orders and previews; a new one starts on the same descriptor with its own
interpreter and management address; once it is ready, the old one gets SIGTERM. Then every order that was
served is sent again, as a balancer's retry, to whichever process the kernel gives it.

The claims, from the responses on the sockets and from what both stand-in interpreters ran:

1. both processes end with status 0, the old one well before its kill;
2. every request sent gets one response, and no connection ends with a request unanswered;
3. no order runs twice across the two processes, and none that ran is answered 'Busy';
4. every call to /control/ready is answered within 1 s, and the new process says ready.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from spindlerelay.testbed.cluster.node_log import internal_errors
from spindlerelay.testbed.models.machine import MachineSpec
from spindlerelay.testbed.models.traffic import CLASSES, node_settings
from spindlerelay.testbed.servers.counting_interpreter import (
    RESPONSE_TIMEOUT_S,
    CountingInterpreter,
    RecordingClient,
)

CORES_EACH = 2.0
NODES = 2  # the two processes; the drill knows no other number
RUNS = 1
ORDERS = 60  # before the handover, and as many previews
KILL_S = 3.7  # the platform's kill after SIGTERM: the longest deadline, 3 s at most, and 0.7 s
READY_TIMEOUT_S = 1.0
READY_POLL_S = 0.05


def poll_ready(management: str) -> tuple[bool, float]:
    """Return whether the process says that it is ready, and the seconds that the response took."""
    started_s = time.monotonic()
    host, _, port = management.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), READY_TIMEOUT_S) as sock:
            sock.sendall(b"GET /control/ready HTTP/1.1\r\nHost: drill\r\n\r\n")
            sock.settimeout(READY_TIMEOUT_S)
            ready = sock.recv(200).split(b" ")[1:2] == [b"200"]
    except (OSError, IndexError):
        return False, time.monotonic() - started_s
    return ready, time.monotonic() - started_s


def free_address() -> str:
    """Return a loopback address with a port that was free a moment ago."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return f"127.0.0.1:{probe.getsockname()[1]}"


def start_node(
    folder: Path, name: str, listener: socket.socket, interpreter: str, management: str
) -> subprocess.Popen[bytes]:
    """Start a node process on an inherited listening socket."""
    announce = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    announce.bind(("127.0.0.1", 0))
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{listener.getsockname()[1]}",
        "vm": interpreter,
        "store": free_address(),
        "announce": f"127.0.0.1:{announce.getsockname()[1]}",
        "seed": "1",
        "stop_ms": 6000,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": node_settings(MachineSpec(), 1, 1, 100.0, 10, CLASSES),
        "management": management,
    }
    path = folder / f"{name}.json"
    path.write_text(json.dumps(config))
    env = os.environ | {
        "LB_CONFIG": str(path),
        "LB_ACCEPT_FD": str(listener.fileno()),
        "TMPDIR": str(folder),
    }
    with (folder / f"{name}.log").open("wb") as log:
        return subprocess.Popen(
            [sys.executable, "-m", "spindlerelay"], env=env, stderr=log, pass_fds=(listener.fileno(),)
        )


def wait_until_ready(management: str, response_times_s: list[float]) -> bool:
    """Poll until the process is ready, and return whether it became so in time."""
    end_s = time.monotonic() + RESPONSE_TIMEOUT_S
    while time.monotonic() < end_s:
        ready, response_s = poll_ready(management)
        response_times_s.append(response_s)
        if ready:
            return True
        time.sleep(READY_POLL_S)
    return False


def plan(seed: int, runs: int, nodes: int, wide: bool) -> list[int]:  # noqa: ARG001 - a hook
    """Return the seeds of the runs."""
    return [seed + number for number in range(runs)]


def run(seed: int) -> dict[str, Any]:
    """Return the figures of one handover."""
    with tempfile.TemporaryDirectory() as folder:
        return _play(Path(folder), seed)


def _play(folder: Path, seed: int) -> dict[str, Any]:
    listener = socket.create_server(("127.0.0.1", 0))
    address = listener.getsockname()
    interpreters = (CountingInterpreter(), CountingInterpreter())
    managements = (free_address(), free_address())
    response_times_s = list[float]()
    old = start_node(folder, "old", listener, interpreters[0].address, managements[0])
    new: subprocess.Popen[bytes] | None = None
    try:
        old_ready = wait_until_ready(managements[0], response_times_s)
        before = RecordingClient(address)
        orders = _serve_orders(before, seed)
        new = start_node(folder, "new", listener, interpreters[1].address, managements[1])
        new_ready = wait_until_ready(managements[1], response_times_s)
        old.send_signal(signal.SIGTERM)
        terminated_s = time.monotonic()
        before.wait_for_responses()
        after = RecordingClient(address)  # the old process accepts no connection after SIGTERM
        retries = {after.send_request("order", body, key, is_retry=True): body for key, body in orders}
        after.wait_for_responses()
        old_status = old.wait(RESPONSE_TIMEOUT_S)
        drain_s = time.monotonic() - terminated_s
        response_times_s.append(poll_ready(managements[1])[1])
    finally:
        for process in (old, new):
            if process and process.poll() is None:
                process.send_signal(signal.SIGTERM)
                process.wait(RESPONSE_TIMEOUT_S)
    return {
        "ready": old_ready and new_ready,
        "old status": old_status,
        "new status": new.returncode if new else -1,
        "old left s": round(drain_s, 2),
        "sent": before.last_number + after.last_number,
        "unanswered": before.last_number - len(before.responses) + after.last_number - len(after.responses),
        **_runs_of_orders(interpreters, after, retries),
        "internal errors": sum(len(internal_errors(folder / f"{name}.log")) for name in ("old", "new")),
        "slowest ready s": round(max(response_times_s), 3),
    }


def _serve_orders(client: RecordingClient, seed: int) -> list[tuple[str, bytes]]:
    """Send keyed orders and as many previews; return the orders' keys and bodies."""
    orders = [(f"{seed:08x}{n:024x}", f"order {seed} {n}".encode()) for n in range(ORDERS)]
    for key, body in orders:
        client.send_request("order", body, key)
        client.send_request("preview", b"page %d" % len(client.responses))
    return orders


def _runs_of_orders(
    interpreters: tuple[CountingInterpreter, ...], client: RecordingClient, retries: dict[int, bytes]
) -> dict[str, int]:
    """Return how many orders ran twice, and how many retries were rejected although their order ran."""
    runs = sum((interpreter.runs for interpreter in interpreters), Counter[tuple[str, bytes]]())
    executed = {body for (cls, body), count in runs.items() if cls == "order"}
    return {
        "orders run twice": sum(count > 1 for (cls, _), count in runs.items() if cls == "order"),
        "busy after a run": sum(
            client.responses.get(number) == "Busy" and body in executed for number, body in retries.items()
        ),
    }


def merge(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return flat figures: those of each run, with its number."""
    figures: dict[str, Any] = {"runs": len(results)}
    for number, result in enumerate(results, 1):
        figures |= {f"{key} ({number})": value for key, value in result.items()}
    return figures


def failed(figures: dict[str, Any]) -> list[str]:
    """Return the claims that do not hold, in words."""
    claims = []
    for number in range(1, figures["runs"] + 1):
        suffix = f" ({number})"
        of_run = {key.removesuffix(suffix): value for key, value in figures.items() if key.endswith(suffix)}
        if of_run["old status"] != 0 or of_run["new status"] != 0 or of_run["old left s"] >= KILL_S:
            claims.append(f"run {number}: both processes end with status 0, the old one before its kill")
        if of_run["internal errors"]:
            claims.append(f"run {number}: no process logs an internal error")
        if of_run["unanswered"]:
            claims.append(f"run {number}: every request sent gets one answer")
        if of_run["orders run twice"] or of_run["busy after a run"]:
            claims.append(f"run {number}: no order runs twice, none that ran is answered Busy")
        if not of_run["ready"] or of_run["slowest ready s"] >= READY_TIMEOUT_S:
            claims.append(f"run {number}: /control/ready answers within 1 s, and both processes say ready")
    return claims
