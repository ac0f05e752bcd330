"""Virtual time: the network keeps what TCP keeps, a seed is one run, and planted faults are found."""

from __future__ import annotations

import errno
import os
import random
import subprocess
import sys
from collections.abc import Callable

import pytest

from spindlerelay.node.run_tracker import RunTracker
from spindlerelay.storage.persistence import PersistenceFeature
from spindlerelay.testbed.fault_injection.fault_schedule import Fault
from spindlerelay.testbed.models.disk import SimulatedDisk
from spindlerelay.testbed.simulation import fault_schedule, scenario_player
from spindlerelay.testbed.simulation.virtual_clock import HangError
from spindlerelay.testbed.simulation.virtual_machine import VirtualMachine
from spindlerelay.testbed.simulation.virtual_network import (
    Direction,
    LinkImpairment,
    NetworkCondition,
    VirtualNetwork,
)
from spindlerelay.transport.connection import Connection, connect
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener
from tests.peers import ROOT
from tests.plants import PLANTS, violations

# The first seed that finds each planted fault, as ``python -m tests.plants`` reports. Played without the
# fault, they are the corpus; a seed that finds a real fault joins them, with a line on what it was.
FOUND_BY = {
    "no_guard_of_duplicates": 13,
    "drain_grace_misread": 48,
    "lost_command_not_sent_again": 16,
    "leaves_before_the_last_answers": 3,
    "result_of_another_run": 0,
    "body_stripped_on_its_way": 0,
    "half_a_frame_forgotten": 19,
    "no_answer_when_due": 0,
    "refused_after_it_ran": 0,
    "fault_as_a_connection_ends": 8,
}
CORPUS = [
    *sorted(set(FOUND_BY.values())),
    2705,  # a clock set ahead before SIGTERM: a request past the grace was run, as its recv looked older
]


class ConnectedMachines:
    """Two machines, ``client`` and ``server``, with a listener on the server and what it has received."""

    def __init__(self, seed: int = 1, condition: NetworkCondition | None = None) -> None:
        self.network = VirtualNetwork(seed, condition)
        self.client = VirtualMachine(self.network, "near")
        self.server = VirtualMachine(self.network, "far")
        self.loops = {each: EventLoop(system=each) for each in (self.client, self.server)}
        self.received = bytearray()
        self.server_closed = list[bool]()
        self.accepted = list[Connection]()
        self.listener = Listener(self.loops[self.server], ("127.0.0.1", 0), self._accept)
        for machine, loop in self.loops.items():
            machine.run(_turn_of(loop))

    @property
    def port(self) -> int:
        return int(self.listener.sock.getsockname()[1])

    def _accept(self, sock: object) -> None:
        loop = self.loops[self.server]
        self.accepted.append(Connection(loop, sock, self.received.extend, self.server_closed.append))

    def connect(self, closed: list[bool], data: bytes = b"") -> Connection:
        """Connect and send; ``closed`` gets whether the connection had opened once it closes."""
        connection = connect(
            self.loops[self.client],
            self.listener.sock.getsockname(),
            lambda _: None,
            closed.append,
            lambda: connection.write(data),
        )
        self.client.wake()
        return connection

    def run_for(self, duration_ms: float = 200.0) -> None:
        end_ms = self.network.now_ms + duration_ms
        self.network.schedule(end_ms, lambda: None)
        self.network.run_while_not(lambda: self.network.now_ms >= end_ms)


def _turn_of(loop: EventLoop) -> Callable[[], float | None]:
    def turn() -> float | None:
        loop.run_once(lambda: None)
        return loop.timers.next_due_ms()

    return turn


@pytest.fixture
def machines() -> ConnectedMachines:
    return ConnectedMachines()


# Network


@pytest.mark.parametrize("seed", range(5))
def test_stream_arrives_complete_and_in_order_when_fragmented(seed: int) -> None:
    machines = ConnectedMachines(seed, NetworkCondition(0.1, 8.0, 0.95))
    data = os.urandom(200_000)
    machines.connect([], data)
    machines.run_for(3000.0)
    assert bytes(machines.received) == data


def test_connection_is_reset_by_kill_and_refused_without_listener(machines: ConnectedMachines) -> None:
    closed = list[bool]()
    connection = machines.connect(closed, b"hello")
    machines.run_for()
    machines.server.end_process(kill=True)
    machines.run_for()
    assert closed == [True] and not connection.open  # reset
    machines.connect(closed)
    machines.run_for()
    assert closed == [True, False]  # refused


def test_listening_at_an_address_in_use_fails(machines: ConnectedMachines) -> None:
    with pytest.raises(OSError) as caught:
        machines.server.listening_socket(machines.listener.sock.getsockname())
    assert caught.value.errno == errno.EADDRINUSE


def test_blocked_data_arrives_after_the_block(machines: ConnectedMachines) -> None:
    connection = machines.connect([], b"one")
    machines.run_for()
    direction = Direction("near", "far", machines.port)
    machines.network.blocked_until_ms[direction] = machines.network.now_ms + 500.0
    connection.write(b"two")
    machines.client.wake()
    machines.run_for(400.0)
    assert bytes(machines.received) == b"one"
    machines.run_for(200.0)
    assert bytes(machines.received) == b"onetwo"


def test_paused_machine_reads_nothing_until_it_continues(machines: ConnectedMachines) -> None:
    connection = machines.connect([], b"onetwo")
    machines.run_for()
    machines.server.set_paused(True)
    connection.write(b"three")
    machines.client.wake()
    machines.run_for()
    assert bytes(machines.received) == b"onetwo"
    machines.server.set_paused(False)
    machines.run_for()
    assert bytes(machines.received) == b"onetwothree"


def test_event_loops_that_wake_themselves_for_ever_raise_hang_error() -> None:
    network = VirtualNetwork(1)
    machine = VirtualMachine(network, "mad")
    machine.run(lambda: machine.wake())
    with pytest.raises(HangError):
        network.run_while_not(lambda: False)


def test_network_without_scheduled_actions_raises_hang_error() -> None:
    with pytest.raises(HangError):
        VirtualNetwork(1).run_while_not(lambda: False)


def test_block_and_impairments_hold_for_one_direction(machines: ConnectedMachines) -> None:
    network = machines.network
    outward = Direction("near", "far", machines.port)
    inward = Direction("far", "near", machines.port)
    network.block(outward, network.now_ms + 500.0)
    network.block(outward, network.now_ms + 100.0)  # a second block that ends sooner
    assert network.arrival_ms(outward) >= network.now_ms + 500.0 > network.arrival_ms(inward)
    network.impair(inward, LinkImpairment(delay_ms=40.0, bytes_per_s=1000.0), 200.0)
    network.impair(inward, LinkImpairment(delay_ms=10.0), 100.0)
    assert network.arrival_ms(inward) >= network.now_ms + 50.0
    assert network.bytes_per_ms(inward) == 1.0 and network.bytes_per_ms(outward) == float("inf")


# Disk


def test_disk_keeps_synced_data_and_a_prefix_of_the_rest() -> None:
    disk = SimulatedDisk(random.Random(1))
    lock = disk.lock("/d", "/d/LOCK")
    with pytest.raises(BlockingIOError):
        disk.lock("/d", "/d/LOCK")
    fd = disk.create("/d/journal", True)
    disk.write(fd, memoryview(b"synced"))
    disk.sync(fd, True)
    disk.write(fd, memoryview(b" and not"))
    disk.is_full = True
    assert disk.write(fd, memoryview(b"1234")) == 2
    with pytest.raises(OSError, match="No space left"):
        disk.write(fd, memoryview(b"1"))
    disk.truncate(fd, len(b"synced and not"))
    disk.lose_power()
    assert b"synced and not".startswith(disk.read("/d/journal", 100)) and lock
    assert disk.read("/d/journal", 100).startswith(b"synced")
    disk.is_full, disk.ignores_sync = False, True
    fd = disk.create("/d/other", True)
    disk.write(fd, memoryview(b"x" * 1000))
    disk.sync(fd, False)
    disk.lose_power()
    assert disk.size("/d/other") < 1000 and disk.list_names("/d") == ["LOCK", "journal", "other"]
    disk.lock("/d", "/d/LOCK")


# Seeds


def test_seed_gives_the_same_digest_in_other_processes_with_other_hashes() -> None:
    code = (
        "from spindlerelay.testbed.simulation import fault_schedule, scenario_player\n"
        "print(scenario_player.play(fault_schedule.draw(3)).digest)"
    )
    digests = {
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            env=os.environ | {"PYTHONHASHSEED": hash_seed},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for hash_seed in ("1", "2")
    }
    assert digests == {scenario_player.play(fault_schedule.draw(3)).digest + "\n"}


def test_schedules_force_every_pair_of_fault_and_state_in_turn() -> None:
    schedules = [fault_schedule.draw(seed) for seed in range(len(fault_schedule.FAULT_STATE_PAIRS))]
    forced = {
        kind
        for schedule, (kind, _) in zip(schedules, fault_schedule.FAULT_STATE_PAIRS, strict=True)
        for fault in schedule.faults
        if fault.kind == kind
    }
    assert forced == set(fault_schedule.FAULT_KINDS)
    assert schedules == [fault_schedule.draw(seed) for seed in range(len(fault_schedule.FAULT_STATE_PAIRS))]


@pytest.mark.parametrize("seed", CORPUS + list(range(200, 250)))
def test_corpus_and_fifty_seeds_violate_nothing(seed: int) -> None:
    assert scenario_player.play(fault_schedule.draw(seed)).violations == ()


@pytest.mark.parametrize("name", PLANTS)
def test_planted_fault_is_found_by_its_seed(name: str) -> None:
    assert violations(name, FOUND_BY[name])


def test_failing_schedule_shrinks_to_the_faults_that_it_needs(monkeypatch: pytest.MonkeyPatch) -> None:
    PLANTS["leaves_before_the_last_answers"](monkeypatch)
    schedule = fault_schedule.draw(FOUND_BY["leaves_before_the_last_answers"])
    shrunk = scenario_player.shrink(schedule)
    assert [fault.kind for fault in shrunk.faults] == ["replace"]
    assert scenario_player.play(shrunk).violations


@pytest.mark.parametrize("kind", ["power", "disk_full", "disk_lies", "agent_down", "half_open", "refuse"])
def test_seed_that_forces_a_kind_reaches_it_without_violation(kind: str) -> None:
    pairs = fault_schedule.FAULT_STATE_PAIRS
    seed = next(seed for seed in range(500) if pairs[seed % len(pairs)] == (kind, "well"))
    outcome = scenario_player.play(fault_schedule.draw(seed))
    assert not outcome.violations
    assert any(reached.startswith(f"{kind}/") for reached in outcome.reached)


def test_run_that_was_lost_with_a_connection_and_never_ended_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Such a run keeps its time, so the search for forgotten runs has to wait for that, and no longer."""
    monkeypatch.setattr(RunTracker, "_end_lost_run", lambda *_: None)
    pairs = fault_schedule.FAULT_STATE_PAIRS
    seed = next(seed for seed in range(500) if pairs[seed % len(pairs)] == ("half_open", "well"))
    outcome = scenario_player.play(fault_schedule.draw(seed))
    assert [violation.split(":")[0] for violation in outcome.violations] == ["forgotten"]


def test_order_runs_again_after_loss_of_power_only_without_its_record(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    schedule = fault_schedule.draw(0)._replace(
        load=0.6,
        cold_start=False,
        storage=True,
        catalogue=False,
        clock_skews_ms=(0.0, 0.0),
        node_count=2,
        balancer_names=("steady", "least"),
        faults=(Fault(2500.0, "power", 0, 300.0), Fault(4500.0, "repeat", 0, 40.0)),
    )
    assert not scenario_player.play(schedule).violations
    monkeypatch.setattr(PersistenceFeature, "record_run", lambda *_: None)
    assert any(text.startswith("duplicate: n1: ") for text in scenario_player.play(schedule).violations)
