"""The operators' days on real sockets: the management address, the figures, settings at SIGHUP, and a new
version on the inherited listening socket."""

from __future__ import annotations

import json
import socket
import time
from pathlib import Path

from spindlerelay.frontends.management_server import ManagementServer
from spindlerelay.node.metrics import NodeMetrics
from spindlerelay.testbed.cluster.node_log import internal_errors
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.internal_errors import ErrorPlace
from tests.peers import SETTINGS, TIMEOUT_S, Balancer, Program, listener, port

A, B = (f"{n:016x}" for n in (0xA1, 0xB2))


def http(address: str, text: bytes) -> tuple[int, bytes]:
    """Status and body of one call; 0 where the connection ended with no answer."""
    host, _, number = address.rpartition(":")
    with socket.create_connection((host, int(number)), TIMEOUT_S) as sock:
        sock.sendall(text)
        data = b""
        while chunk := sock.recv(65536):
            data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    return (int(head.split()[1]) if head else 0), body


def free_address() -> str:
    probe = listener()
    address = port(probe)
    probe.close()
    return address


def test_management_tells_readiness_and_figures_and_turns_away_what_is_not_a_call(tmp_path: Path) -> None:
    management = free_address()
    with Program(tmp_path, management=management) as node:
        node.interpreter.expect("CONNECT", "0")
        silent = socket.create_connection(("127.0.0.1", int(management.rpartition(":")[2])), TIMEOUT_S)
        began = time.monotonic()
        assert http(management, b"GET /control/ready HTTP/1.1\r\nHost: n\r\n\r\n") == (200, b"ready\n")
        assert time.monotonic() - began < 1.0  # a caller that says nothing blocks nobody
        balancer = node.balancer()
        asked = balancer.send_request(A)
        node.interpreter.expect("APPLY", A)
        node.interpreter.value(A, b"done")
        assert balancer.response(asked) == b"done"
        status, body = http(management, b"GET /control/counters HTTP/1.1\r\n\r\n")
        lines = body.decode().splitlines()
        assert status == 200 and "lb.results.preview.succeeded:1|c" in lines and "lb.forwards:1|c" in lines
        assert "lb.outstanding:0|g" in lines
        assert http(management, b"GET /control/nothing HTTP/1.1\r\n\r\n")[0] == 404
        assert http(management, b"POST /control/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n")[0] == 405
        assert http(management, b"\x16\x03\x01 not http\r\n\r\n")[0] == 400
        silent.settimeout(TIMEOUT_S)
        assert silent.recv(10) == b""  # closed by the node, well before the caller's 4 s
        assert time.monotonic() - began < 3.0


def test_a_file_turned_down_at_sighup_is_counted_and_the_old_settings_stay(tmp_path: Path) -> None:
    management = free_address()
    with Program(tmp_path, management=management) as node:
        node.interpreter.expect("CONNECT", "0")
        node.reload("{")
        node.wait_for_log("configuration not applied")
        node.reload()
        node.wait_for_log("configuration reloaded")
        lines = http(management, b"GET /control/counters HTTP/1.1\r\n\r\n")[1].decode().splitlines()
        assert "lb.sighup_rejected:1|c" in lines and "lb.sighup_applied:1|c" in lines


def test_a_new_process_takes_the_inherited_socket_and_the_old_one_hands_over(tmp_path: Path) -> None:
    """The second process could not bind the address that the platform held, and ended with status 2."""
    shared = listener()
    fd, address = shared.fileno(), port(shared)
    env = {"LB_ACCEPT_FD": str(fd), "TMPDIR": str(tmp_path)}
    for folder in ("old", "new"):
        (tmp_path / folder).mkdir()
    with Program(tmp_path / "old", env=env, fds=(fd,), listen=address) as old:
        old.interpreter.expect("CONNECT", "0")
        first = Balancer(address)
        asked = first.send_request(A, "order")
        old.interpreter.expect("APPLY", A)
        with Program(tmp_path / "new", env=env, fds=(fd,), listen=address) as new:
            new.interpreter.expect("CONNECT", "0")
            old.terminate()
            old.wait_for_log("handing over")
            old.interpreter.value(A, b"charged")
            assert first.read() == [2, "goaway", []]
            assert first.response(asked) == b"charged"
            assert old.process.wait(TIMEOUT_S) == 0
            again = Balancer(address)  # only the new process takes connections now
            retry = again.send_request(B, "order", rep="1")  # another try of the same keyed request
            assert again.response(retry) == "Failed"  # not run a second time, nor said never to have run
            assert [b"APPLY"] not in [words[:1] for words in list(new.interpreter.seen.queue)]


def test_counters_render_each_class_and_gauge() -> None:
    counters = NodeMetrics()
    counters.count_response("order", 1)
    counters.forwards = 3
    lines = counters.lines(2).decode().splitlines()
    assert lines[:3] == [
        "lb.results.order.succeeded:0|c",
        "lb.results.order.declined:1|c",
        "lb.results.order.aborted:0|c",
    ]
    assert "lb.forwards:3|c" in lines and lines[-1] == "lb.outstanding:2|g"


def test_the_management_address_is_read_from_the_file_or_the_environment(tmp_path: Path) -> None:
    from spindlerelay.config.platform import ConfigError, read_config

    path = tmp_path / "c.json"
    base = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "vm": "127.0.0.1:2",
        "store": "127.0.0.1:3",
        "announce": "127.0.0.1:4",
        "settings": SETTINGS,
    }
    path.write_text(json.dumps(base))
    env = {"LB_CONFIG": str(path), "LB_MANAGEMENT": "127.0.0.1:9", "LB_ACCEPT_FD": "4"}
    config = read_config(env)
    assert config.management == ("127.0.0.1", 9) and config.accept_fd == 4
    try:
        read_config(env | {"LB_ACCEPT_FD": "four"})
    except ConfigError as error:
        assert "LB_ACCEPT_FD" in str(error) and "whole number" in str(error)
    else:
        raise AssertionError("a descriptor that is no number was taken")


def test_classes_added_and_dropped_at_sighup_are_taken_and_open_requests_keep_theirs(tmp_path: Path) -> None:
    """A class added by SIGHUP was unknown until a restart: every request of it failed."""
    with Program(tmp_path) as node:
        node.interpreter.expect("CONNECT", "0")
        balancer = node.balancer()
        open_preview = balancer.send_request(A)
        node.interpreter.expect("APPLY", A)
        extra = {"name": "poster", "deadline-ms": 4000.0, "goal-time-ms": 1000.0, "effect": "free"}
        classes = [SETTINGS["classes"][1], extra]
        node.reload(settings=SETTINGS | {"classes": classes})
        node.wait_for_log("classes are order poster")
        asked = balancer.send_request(B, "poster")
        assert node.interpreter.expect("APPLY", B)[2] == b"poster"
        node.interpreter.value(B, b"poster done")
        node.interpreter.value(A, b"page done")
        answers = {balancer.read()[1]: None for _ in range(2)}
        assert set(answers) == {open_preview, asked}
        assert str(balancer.response(balancer.send_request("c" * 16))).startswith("BadRequest")  # dropped


def test_a_flood_of_calls_to_the_management_address_is_answered_each() -> None:
    """Those past the most held were closed for newer ones before they had been read."""
    loop = EventLoop()
    management = ManagementServer(loop, ("127.0.0.1", 0), lambda: True, lambda: b"lb.outstanding:0|g\n")
    callers = [socket.create_connection(management.listener.sock.getsockname()) for _ in range(60)]
    for caller in callers:
        caller.sendall(b"GET /control/ready HTTP/1.1\r\n\r\n")
    loop.call_later(0.0, lambda: None)
    for _ in range(10):
        loop.call_later(0.0, lambda: None)
        loop.run_once(lambda: None)
    for caller in callers:
        caller.settimeout(TIMEOUT_S)
        assert caller.recv(4096).startswith(b"HTTP/1.1 200")


def test_internal_errors_are_counted_by_place_and_published(tmp_path: Path) -> None:
    """They were only logged: a handler of last resort hid what broke behind it."""
    loop = EventLoop()

    def fault() -> None:
        raise RuntimeError("scripted fault")

    assert not loop.call_guarded(fault, ErrorPlace.TIMER) and not loop.call_guarded(fault, ErrorPlace.TIMER)
    assert loop.call_guarded(lambda: None, ErrorPlace.SOCKET)
    lines = NodeMetrics().lines(0, loop.internal_errors.counts).decode().splitlines()
    assert [line for line in lines if "internal" in line] == ["spindlerelay_internal_errors_total.timer:2|c"]
    assert b"internal" not in NodeMetrics().lines(0, EventLoop().internal_errors.counts)


def test_log_of_a_node_shows_its_internal_errors(tmp_path: Path) -> None:
    log = tmp_path / "log"
    assert internal_errors(log) == []
    log.write_text("INFO n1 listens on\nERROR a fault in the program: KeyError(2)\nWARNING run refused: x\n")
    assert internal_errors(log) == ["ERROR a fault in the program: KeyError(2)"]
