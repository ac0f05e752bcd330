"""Membership on sockets: between processes, and when a new process takes over an address."""

from __future__ import annotations

import socket
import subprocess
import time
from pathlib import Path
from typing import Any

import msgpack
import pytest
import ujson

from spindlerelay.membership.gossip_codec import encode
from spindlerelay.membership.messages import GossipUpdate, MemberStatus, Message, MessageKind
from spindlerelay.membership.udp_transport import GossipTransport, Options
from spindlerelay.node.health import NodeStatus
from spindlerelay.testbed.cluster.workspace import free_port
from spindlerelay.transport.event_loop import EventLoop
from tests.driver import PLAIN, settings
from tests.peers import TIMEOUT_S, OperatedProgram

GOSSIP = Message(MessageKind.GOSSIP, 1, "n0", GossipUpdate("n5", ("127.0.0.1", 7005), MemberStatus.ALIVE, 1))


def free_address() -> str:
    """Return an address whose port the kernel gives to no connection meanwhile."""
    return f"127.0.0.1:{free_port()}"


def get(address: str, path: str) -> Any:
    host, _, number = address.rpartition(":")
    with socket.create_connection((host, int(number)), TIMEOUT_S) as sock:
        sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        data = b""
        while part := sock.recv(65536):
            data += part
    head, _, body = data.partition(b"\r\n\r\n")
    return ujson.loads(body) if b" 200 " in head.split(b"\r\n")[0] else body


def wait_for(condition: Any) -> Any:
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        if result := condition():
            return result
        time.sleep(0.05)
    raise AssertionError("the condition was not met in time")


def test_processes_find_each_other_reject_foreign_datagrams_and_show_the_members_page(
    tmp_path: Path,
) -> None:
    addresses, management = [free_address(), free_address()], [free_address(), free_address()]
    nodes = []
    for number in range(2):
        folder = tmp_path / str(number)
        folder.mkdir()
        config = f'[membership]\nlisten = "{addresses[number]}"\nseeds = ["{addresses[0]}"]\n'
        config += 'cluster = "test"\nsite = "nord"\n'
        nodes.append(OperatedProgram(folder, config, name=f"m{number}", management=management[number]))

    def members_page() -> Any:
        return get(management[0], "/control/members")

    with nodes[0] as first, nodes[1] as second:
        alive = wait_for(lambda: [row for row in members_page()["members"] if row["status"] == "alive"])
        assert alive[0]["name"] == "m1" and alive[0]["site"] == "nord" and alive[0]["age_ms"] < 5000
        host, _, udp = addresses[0].rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            truncated = encode("test", GOSSIP)[:-3]
            for data in (b"\xc1", msgpack.packb([9]), encode("other", GOSSIP), truncated):
                sock.sendto(data, (host, int(udp)))
        rejected = wait_for(
            lambda: (counts := members_page()["refused"]) and sum(counts.values()) == 4 and counts
        )
        assert rejected == {"not MessagePack": 2, "another version": 1, "another cluster": 1}
        command = [*first.command()[:3], "members", management[0]]
        shown = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
        assert shown.returncode == 0 and "m1" in shown.stdout and "1 of 1 other nodes alive" in shown.stdout
        second.process.kill()
        wait_for(lambda: members_page()["members"][0]["status"] == "dead")
    bad = subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)
    assert bad.returncode == 2 and len(bad.stderr.splitlines()) == 1


class StubNode:
    """As much of a node as its membership needs."""

    def status(self) -> NodeStatus:
        return NodeStatus(True)

    def ready(self) -> bool:
        return True

    def add_published_load(self, share: float) -> None: ...


def test_new_process_binds_the_address_once_the_old_one_announces_its_departure() -> None:
    host, _, number = free_address().rpartition(":")
    options = Options((host, int(number)), (host, int(number)), (), "test")
    loop = EventLoop()

    def transport(retry_bind: bool) -> GossipTransport:
        return GossipTransport(loop, options, settings(PLAIN), StubNode(), "n1", "1", retry_bind)

    def bound_after_turn(started: GossipTransport) -> bool:
        loop.call_later(5.0, lambda: None)
        loop.run_once(lambda: None)
        return started._socket is not None

    old = transport(False)
    with pytest.raises(OSError):
        transport(False)
    new = transport(True)
    assert new.members_page() and new._socket is None
    old.start_shutdown()
    wait_for(lambda: bound_after_turn(new))
    new.close()
