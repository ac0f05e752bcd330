"""Fault schedules, and the proxies that put faults on links between processes."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from spindlerelay.testbed.cluster.workspace import free_port
from spindlerelay.testbed.fault_injection import fault_schedule
from spindlerelay.testbed.fault_injection.fault_schedule import Fault, ScheduleError
from spindlerelay.testbed.fault_injection.link_direction import (
    ActiveConditions,
    ByteChannel,
    LinkCondition,
)
from spindlerelay.testbed.fault_injection.link_proxy import LinkProxies
from spindlerelay.testbed.fault_injection.stream_proxy import StreamProxy
from spindlerelay.transport.connection import Connection
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener

HERE = ("127.0.0.1", 0)

# The schedule


def test_rejects_malformed_schedule_with_one_line_error(tmp_path: Path) -> None:
    path = tmp_path / "faults.toml"

    def error_of(text: str) -> str:
        path.write_text(text)
        with pytest.raises(ScheduleError) as raised:
            fault_schedule.load_schedule(str(path), 4)
        assert "\n" not in str(raised.value)
        return str(raised.value).removeprefix(f"{path}: ")

    cut = '[[fault]]\nkind = "cut"\nlink = "store"\nsize = 500\n'
    assert error_of(cut + 'node = "n9"') == "fault 1: node: n9 stands there; the nodes are n1 to n4"
    assert error_of('[[fault]]\nkind = "bend"').startswith(
        "fault 1: kind: 'bend' stands there; expected one of"
    )
    assert error_of(cut + 'way = "up"').startswith(
        "fault 1: way: 'up' stands there; expected one of both, in"
    )
    assert error_of('[[fault]]\nkind = "cut"').startswith("fault 1: link: '' stands there")
    assert error_of(cut + "for = 3").startswith("fault 1: for: no such key; known: at_ms,")
    assert error_of(cut + "at_ms = true") == "fault 1: at_ms: True stands there; expected a number"
    assert error_of(cut + 'node = "x"') == "fault 1: node: 'x' stands there; expected a name like n3"
    assert error_of('[[fault]]\nkind = "slow"') == (
        "fault 1: for_ms: 0 stands there; expected a number above 0 for kind slow"
    )
    assert error_of("fault = 3").startswith("fault: expected tables")
    assert error_of("[[").startswith("not TOML: ")
    path.write_text(cut + 'at_ms = 900\nnode = "n2"\n[[fault]]\nkind = "kill"\nsize = 100')
    first, second = fault_schedule.load_schedule(str(path), 4)
    assert (first.kind, second) == ("kill", Fault(900.0, "cut", 1, 500.0, 0.0, "store", "both"))
    with pytest.raises(ScheduleError, match="No such file"):
        fault_schedule.load_schedule(str(tmp_path / "none"), 4)


def test_series_is_deterministic_and_affects_each_node_at_most_once() -> None:
    faults = fault_schedule.draw_series("all", 5, 200, 15_000.0)
    assert (
        faults
        == fault_schedule.draw_series("all", 5, 200, 15_000.0)
        != fault_schedule.draw_series("all", 6, 200, 15_000.0)
    )
    kinds = [fault.kind for fault in faults]
    assert (kinds.count("slow"), kinds.count("pause"), kinds.count("kill")) == (25, 10, 20)
    assert (kinds.count("cut"), kinds.count("late_list")) == (20, 1)
    hit = [fault.node for fault in faults if fault.kind != "late_list"]
    assert len(set(hit)) == len(hit)
    assert not fault_schedule.draw_series("none", 5, 200, 15_000.0)


# A byte channel


def test_overlapping_faults_on_one_link_end_independently() -> None:
    conditions = ActiveConditions()
    channel = ByteChannel(conditions, 0.0)
    conditions.begin(1, LinkCondition(blocked=True))
    conditions.begin(2, LinkCondition(delay_ms=100.0))
    assert channel.send(0.0, b"one") == b"" and channel.receive_due(50.0) == b""
    conditions.end(2)
    assert channel.receive_due(200.0) == b""  # the cut stays when the delay ends
    conditions.end(1)
    assert (
        channel.send(201.0, b"two") == b""
        and channel.receive_due(202.0) == b"onetwo"
        and channel.buffered_bytes == 0
    )
    assert channel.send(203.0, b"three") == b"three"


def test_bandwidth_limit_applies_narrowest_limit_and_keeps_order() -> None:
    conditions = ActiveConditions()
    channel = ByteChannel(conditions, 0.0)
    conditions.begin(1, LinkCondition(bytes_per_s=1000.0))
    conditions.begin(2, LinkCondition(bytes_per_s=500.0))
    sent = bytes(range(200))
    assert channel.send(0.0, sent[:120]) == b"" and channel.send(0.0, sent[120:]) == b""
    passed = [channel.receive_due(at) for at in (100.0, 200.0, 300.0, 1000.0)]
    assert [len(each) for each in passed] == [50, 50, 50, 50] and b"".join(passed) == sent


# Proxies on sockets


class ProxyEnds:
    """Both ends of a stream proxy: a server that records what it reads, and clients."""

    def __init__(self, inward: bool = False) -> None:
        self.loop, self.received, self.accepted = EventLoop(), bytearray(), list[Connection]()
        self.closed = 0
        self.server = Listener(self.loop, HERE, self._accept)
        self.proxy = StreamProxy(
            self.loop, ("127.0.0.1", free_port()), self.server.sock.getsockname(), inward
        )

    def _accept(self, sock: socket.socket) -> None:
        self.accepted.append(Connection(self.loop, sock, self.received.extend, self._ended))

    def _ended(self, opened: bool) -> None:
        self.closed += 1

    def client(self) -> socket.socket:
        client = socket.create_connection(self.proxy.address, 5.0)
        self.turn()
        return client

    def turn(self, ms: float = 60.0) -> None:
        end = self.loop.now() + ms
        while self.loop.now() < end:
            self.loop.call_later(5.0, lambda: None)
            self.loop.run_once(lambda: None)
            self.proxy.tick(self.loop.now())


def test_reset_closes_connection_inside_a_frame() -> None:
    ends = ProxyEnds()
    client = ends.client()
    ends.proxy.reset(3.0)
    client.sendall(b"frame")
    ends.turn()
    assert bytes(ends.received) == b"fra" and ends.closed == 1
    with pytest.raises(ConnectionResetError):
        client.recv(1)


def test_cut_delays_bytes_without_loss_or_reordering() -> None:
    ends = ProxyEnds()
    client = ends.client()
    ends.proxy.outward_conditions.begin(1, LinkCondition(blocked=True))
    client.sendall(b"one")
    ends.turn()
    assert not ends.received
    client.sendall(b"two")
    ends.proxy.outward_conditions.end(1)
    ends.turn()
    assert bytes(ends.received) == b"onetwo"
    ends.accepted[0].write(b"back")
    ends.turn()
    assert client.recv(10) == b"back"


def test_half_open_end_learns_of_closed_peer_only_when_fault_ends() -> None:
    ends = ProxyEnds()
    client = ends.client()
    ends.proxy.half_open("out")  # the node is who dialled: it stays
    ends.turn()
    assert ends.closed == 1
    client.sendall(b"into nothing")
    client.settimeout(0.1)
    ends.turn()
    with pytest.raises(TimeoutError):
        client.recv(1)
    ends.proxy.close_half_open()
    ends.turn()
    client.settimeout(5.0)
    with pytest.raises(ConnectionResetError):
        client.recv(1)


def test_refusing_proxy_resets_new_and_present_connections() -> None:
    ends = ProxyEnds()
    first = ends.client()
    ends.proxy.refuse(True)
    second = ends.client()
    for client in (first, second):
        with pytest.raises(ConnectionResetError):
            client.recv(1)
    ends.proxy.refuse(False)
    ends.client().sendall(b"again")
    ends.turn()
    assert bytes(ends.received) == b"again" and len(ends.proxy.refused_at) == 1


def test_close_of_one_end_closes_other_after_delivery() -> None:
    ends = ProxyEnds()
    client = ends.client()
    ends.proxy.outward_conditions.begin(1, LinkCondition(delay_ms=40.0))
    client.sendall(b"last words")
    client.close()
    ends.turn(200.0)
    assert bytes(ends.received) == b"last words" and ends.closed == 1 and not ends.proxy.connections


def test_cut_or_lossy_link_drops_datagrams() -> None:
    loop, sink = EventLoop(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind(HERE)
    sink.settimeout(0.2)
    proxies = LinkProxies(loop, free_port)
    assert proxies.address("n1", "announce", sink.getsockname()) == sink.getsockname()
    proxies.set_proxied_links(frozenset({("n1", "announce")}))
    address = proxies.address("n1", "announce", sink.getsockname())

    def send(data: bytes) -> None:
        sink.sendto(data, address)
        for _ in range(10):
            loop.call_later(5.0, lambda: None)
            loop.run_once(lambda: None)

    for index, fault in enumerate(
        (Fault(0.0, "cut", 0, 100.0, link="announce"), Fault(0.0, "drop", 0, 1.0, 100.0, link="announce"))
    ):
        number = proxies.begin_fault("n1", fault)
        send(b"gone")
        proxies.end_fault(number)
        send(b"heard %d" % index)
        assert sink.recv(20) == b"heard %d" % index
    proxies.close()
