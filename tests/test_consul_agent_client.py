"""The link to the agent over real sockets: an agent that fails in every way costs the node nothing."""

from __future__ import annotations

import resource
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
from loguru import logger

from spindlerelay.consul import api_codec, endpoint_watcher
from spindlerelay.consul.registration import RegistrationState
from spindlerelay.consul.registration_events import Operation
from spindlerelay.node.health import NodeStatus
from spindlerelay.transport.connection import Connection
from spindlerelay.transport.http_client import (
    HttpClient,
    HttpFailure,
    HttpRequest,
    HttpResponse,
    encode_request,
)
from spindlerelay.transport.listener import Listener
from tests.agents import Site


@pytest.fixture
def lines() -> Iterator[list[str]]:
    kept: list[str] = []
    sink = logger.add(lambda message: kept.append(str(message)), format="{level} {message}", level="INFO")
    yield kept
    logger.remove(sink)


def test_registers_as_critical_then_follows_node_health() -> None:
    site = Site()
    fake, agent = site.node()
    site.until(lambda: site.states() == ["critical", "passing"])
    fake.told = NodeStatus(started=True, rejected_count=1)
    site.until(lambda: site.states()[-1] == "critical")
    assert site.model.checks["service:n1"].output.startswith("full: turning requests away")
    assert agent.registration.state is RegistrationState.SATURATED


def test_registers_once_an_unreachable_agent_comes_up() -> None:
    site = Site(up=False)
    _, agent = site.node()
    site.spin(300)
    assert agent.registration.failures >= 1
    site.server.listen()
    site.until(lambda: site.states()[-1:] == ["passing"])


def test_registers_again_after_the_agent_lost_its_state() -> None:
    site = Site()
    site.node()
    site.until(lambda: site.states()[-1:] == ["passing"])
    site.model.reset()
    site.until(lambda: site.states()[-3:] == ["absent", "critical", "passing"])


@pytest.mark.parametrize(
    "fault", ["denied", "busy", "no_leader", "half", "garbage", "huge", "slow", "silent"]
)
def test_failing_agent_costs_one_log_line_and_no_memory_until_it_recovers(
    fault: str, lines: list[str]
) -> None:
    site = Site()
    site.model.fault = fault
    _, agent = site.node(ttl_ms=8000.0 if fault == "huge" else 1200.0)  # 60 MB take the stand-in a while
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    site.until(lambda: agent.registration.failures >= (1 if fault == "denied" else 3))
    held = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    # The stand-in itself builds 60 MB for 'huge' and lets its socket buffer grow; the link keeps 256 KiB.
    assert held < (400_000 if fault == "huge" else 20_000)
    assert len(agent._client._response_body) <= 256 << 10
    kinds = [line.split(": ")[2] for line in lines if "failed" in line]
    assert kinds and len(kinds) == len(set(kinds))  # a line a kind, however often it fails
    site.model.fault = ""
    agent.reload()
    site.until(lambda: site.states()[-1:] == ["passing"])


def test_shutdown_deregisters_for_good() -> None:
    site = Site()
    _, agent = site.node()
    site.until(lambda: site.states()[-1:] == ["passing"])
    agent.start_shutdown()
    site.until(lambda: agent.registration.state is RegistrationState.DEREGISTERED)
    site.spin(100)
    assert site.states()[-1] == "absent"


def test_shutdown_during_a_registration_leaves_no_service_behind() -> None:
    """The agent carries the registration out and answers late, after the node has given it up."""
    site = Site()
    _, agent = site.node()
    site.until(lambda: agent.registration.pending_operation is Operation.READ)
    site.until(lambda: agent.registration.pending_operation is Operation.REGISTER)
    site.model.fault = "slow"
    agent.start_shutdown()
    site.spin(200)
    site.model.fault = ""
    site.until(lambda: agent.registration.state is RegistrationState.DEREGISTERED)
    site.spin(100)
    assert "n1" not in site.model.services


def test_uses_token_replaced_at_sighup_and_never_logs_it(tmp_path: Path, lines: list[str]) -> None:
    site, path = Site(token="right-7f"), tmp_path / "token"
    path.write_text("wrong-3c\n")
    _, agent = site.node(token_file=str(path))
    site.until(lambda: agent.registration.failures == 1)
    path.write_text("two words")
    agent.reload()
    assert agent.token == "wrong-3c"
    path.write_text("right-7f\n")
    agent.reload()
    site.until(lambda: site.states()[-1:] == ["passing"])
    assert not [line for line in lines if "right-7f" in line or "wrong-3c" in line]


def test_two_nodes_with_one_id_keep_the_first_and_log_its_address(lines: list[str]) -> None:
    site = Site()
    _, first = site.node(port=4100, seed=1)
    site.until(lambda: site.states()[-1:] == ["passing"])
    _, second = site.node(port=4101, seed=2)
    site.until(lambda: second.registration.state is RegistrationState.CONFLICT)
    site.spin(2500)  # longer than the ttl: both have looked again
    assert site.model.services["n1"].port == 4100 and first.registration.state is RegistrationState.PASSING
    assert len([line for line in lines if line.startswith("ERROR") and "127.0.0.1:4100" in line]) == 1
    second.start_shutdown()
    site.spin(100)
    assert "n1" in site.model.services


def test_maintenance_mode_reaches_the_node_and_stays() -> None:
    site = Site()
    fake, _ = site.node()
    site.until(lambda: site.states()[-1:] == ["passing"])
    site.model.handle(site.model.now, "PUT", "/v1/agent/service/maintenance/n1", {"enable": "true"}, "", b"")
    site.until(lambda: fake.maintained == [True])
    site.spin(500)
    assert site.states()[-1] == "maintenance"
    site.model.handle(site.model.now, "PUT", "/v1/agent/service/maintenance/n1", {"enable": "false"}, "", b"")
    site.until(lambda: fake.maintained == [True, False] and site.states()[-1] == "passing")


def test_node_without_updates_turns_critical_after_the_ttl() -> None:
    site = Site()
    _, agent = site.node(ttl_ms=1000.0)
    site.until(lambda: site.states()[-1:] == ["passing"])
    agent._client.cancel()
    agent.registration.pending_operation = Operation.READ  # an ask that never ends: the process hangs
    site.until(lambda: site.states()[-1] == "critical")
    assert site.model.checks["service:n1"].output == "TTL expired" or not agent.registration.pending_operation


def test_watcher_reports_changes_and_keeps_endpoints_through_an_outage() -> None:
    site = Site()
    fake, _ = site.node()
    heard: list[tuple[api_codec.ServiceInstance, ...]] = []
    watcher = endpoint_watcher.Watcher(site.loop, site.server.address, "render", heard.append)
    site.until(lambda: bool(heard) and heard[-1][0].status == "passing" if heard and heard[-1] else False)
    fake.told = NodeStatus(started=True, self_ejected=True)
    site.until(lambda: heard[-1][0].status == "warning")
    site.server.stop()
    site.until(lambda: watcher.failure_count > 0)
    assert [node.id for node in watcher.endpoints.instances] == ["n1"]
    site.model.reset()  # it comes back knowing nothing, as after the loss of its data
    site.server.listen()
    site.until(lambda: site.states()[-1] == "warning")
    site.until(lambda: watcher.endpoints.index > 0)
    assert all(heard[1:])
    watcher.stop()


# The HTTP client by itself


def served(reply: bytes, most: int = 10_000, timeout_ms: float = 400.0) -> HttpResponse | HttpFailure:
    """What the client makes of a server that answers every request with these bytes and closes."""
    site, ended = Site(), list[HttpResponse | HttpFailure]()

    def accept(sock: socket.socket) -> None:
        link = Connection(site.loop, sock, lambda data: answer(link), lambda _: None)

    def answer(link: Connection) -> None:
        link.write(reply)
        link.end_output()

    listener = Listener(site.loop, ("127.0.0.1", 0), accept)
    client = HttpClient(site.loop, listener.sock.getsockname(), most)
    client.request(HttpRequest("GET", "/x"), timeout_ms, ended.append)
    site.until(lambda: bool(ended))
    listener.close()
    assert not client.busy
    return ended[0]


@pytest.mark.parametrize(
    ("reply", "kind"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe", "broken"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" + b"x" * 50000, "too_large"),
        (b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 5000 + b"\r\n", "too_large"),
        (b"\x00\xffnot http at all\r\n\r\n", "garbled"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n", "garbled"),
        (b"HTTP/1.1 20", "broken"),
    ],
)
def test_http_client_classifies_incomplete_responses(reply: bytes, kind: str) -> None:
    ended = served(reply)
    assert isinstance(ended, HttpFailure) and ended.kind == kind


def test_http_client_reads_chunked_responses() -> None:
    head = b"HTTP/1.1 429 Slow\r\nX-Consul-Index: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
    headers = {"x-consul-index": "7", "transfer-encoding": "chunked"}
    assert served(head + b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n") == HttpResponse(429, headers, b"hello")


def test_rejects_header_with_line_end() -> None:
    with pytest.raises(ValueError, match="line end"):
        encode_request(HttpRequest("GET", "/", (("X-Consul-Token", "a\r\nEvil: 1"),)), "h")
