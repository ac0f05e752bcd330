"""The load generator on real sockets: stalls, its own lateness, and lost workers show in the result."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import numpy as np
import pytest

from spindlerelay.testbed.cluster.workspace import free_port
from spindlerelay.testbed.load_generation import arrival_process, load_run, outcomes, sender
from spindlerelay.testbed.load_generation.load_run import LoadSpec
from spindlerelay.testbed.load_generation.sender import Sender, Target
from spindlerelay.testbed.load_generation.stream import Stream
from spindlerelay.testbed.models.balancer import BALANCER_PROFILES
from spindlerelay.testbed.servers.balancer_protocols import MessagePackRpc, ReceivedMessage
from spindlerelay.testbed.servers.echo_node import EchoNode, PlannedStall
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.listener import Listener
from spindlerelay.transport.system import monotonic_ms, unix_time_ms

LOOSE_MS = 1000.0  # of lateness: a busy machine is no fault of these tests


def spec(rate: float, seconds: float) -> LoadSpec:
    stream = Stream(1, "paced", arrival_process.curve("steady", rate, 0.0, seconds * 1000.0))
    return LoadSpec(stream, (), send_delay_bound_ms=LOOSE_MS)


def echoed(of: LoadSpec, *stalls: PlannedStall) -> load_run.LoadResult:
    return load_run.play_with_echo_nodes(of, 1, stalls, [free_port()])


def test_stall_shows_in_percentiles_as_computed_from_schedule() -> None:
    """A closed loop sends nothing while it waits, and shows one request in a thousand."""
    stall = PlannedStall(1500.0, 2000.0)
    result = echoed(spec(200.0, 5.0), stall)
    at = result.rows["at_ms"]
    waited = np.where((at >= stall.at_ms) & (at < 3500.0), 3500.0 - at, 0.0)
    found = outcomes.percentiles(result.rows["took_us"])
    for name, share in (("p90_ms", 90.0), ("p99_ms", 99.0), ("p99_9_ms", 99.9)):
        assert found[name] == pytest.approx(float(np.percentile(waited, share)), rel=0.05, abs=40.0)
    assert result.send_delay.sent_fraction == 1.0 and len(result.rows) == 1000 and not result.void_reasons()
    closed = outcomes.percentiles(echoed(spec(200.0, 5.0)._replace(users=2), stall).rows["took_us"])
    assert closed["p99_ms"] < 500.0 < found["p99_ms"]


def test_reports_that_generator_is_too_slow() -> None:
    result = echoed(spec(200_000.0, 0.15)._replace(send_delay_bound_ms=load_run.SEND_DELAY_BOUND_MS))
    assert result.send_delay.sent == 30_000 and result.send_delay.p99_ms > load_run.SEND_DELAY_BOUND_MS
    assert any("the sender was late" in fault for fault in result.void_reasons())


def test_reports_requests_of_killed_worker_as_unsent() -> None:
    result = echoed(spec(200.0, 3.0)._replace(workers=2, kill_worker=(1, 1500.0)))
    assert result.lost_workers == 1 and len(result.rows) == 600
    unsent = result.rows[result.rows["end"] == outcomes.ENDS.index("unsent")]
    assert 100 < len(unsent) < 220 and set(unsent["number"] % 2) == {1}
    assert outcomes.count_reasons(unsent) == {"worker lost": len(unsent)}
    assert (
        any("never sent" in fault for fault in result.void_reasons()) and "died" in result.void_reasons()[-1]
    )


def test_workers_together_send_the_same_stream_as_one_worker() -> None:
    one, two = (echoed(spec(300.0, 1.0)._replace(workers=workers)) for workers in (1, 3))
    assert one.digest == two.digest and one.send_delay.sent_fraction == two.send_delay.sent_fraction == 1.0
    for column in ("at_ms", "number", "cls", "department"):
        assert one.rows[column].tolist() == two.rows[column].tolist()


def test_rejects_empty_or_too_long_stream_before_sending() -> None:
    with pytest.raises(ValueError, match="lower rate or a shorter run"):
        load_run.play(spec(1e6, 60.0))
    with pytest.raises(ValueError, match="no request in the whole stream"):
        load_run.play(spec(0.1, 1.0))


@contextmanager
def sending(
    wall: object, *, dialect: object = MessagePackRpc
) -> Iterator[tuple[EventLoop, Sender, bytearray]]:
    """A sender and an echo stand-in on one loop."""
    loop, rows = sender.create_loop(), bytearray()
    port = free_port()
    echo = EchoNode.__new__(EchoNode)
    echo.loop, echo.clients = loop, []
    listener = Listener(loop, ("127.0.0.1", port), echo._accept)
    orders = spec(200.0, 1.0).stream.draw_requests()
    made = Sender(
        loop,
        orders,
        (Target("n1", ("127.0.0.1", port)),),
        ((BALANCER_PROFILES["once"], 1.0),),
        rows.extend,
        wall_clock=wall,  # type: ignore[arg-type]
        protocol=dialect,  # type: ignore[arg-type]
    )
    yield loop, made, rows
    listener.close()
    for peer in echo.clients:
        peer.connection.close()


def test_reports_step_of_system_clock_and_keeps_it_out_of_latencies() -> None:
    began = monotonic_ms()

    def wall() -> float:
        return unix_time_ms() - (3_600_000.0 if monotonic_ms() - began > 500.0 else 0.0)

    with sending(wall) as (loop, made, rows):
        made.begin(monotonic_ms())
        loop.run(lambda: None)
    found = outcomes.parse_rows(rows)
    assert len(found) == 200 and outcomes.percentiles(found["took_us"])["p99_9_ms"] < 1000.0
    told = made.clock_report()
    assert told.clock_steps == 1 and told.max_step_ms == pytest.approx(3_600_000.0, abs=100.0)
    result = load_run.LoadResult(found, outcomes.send_delay_of(found, 200, LOOSE_MS), 0, (told,), "")
    assert not result.void_reasons() and "clock was set 1 times" in result.notes()[0]


class Garbled:
    """A dialect whose peer does not speak it."""

    def request(self, number: int, method: str, fields: dict[str, str], body: bytes) -> bytes:
        return MessagePackRpc().request(number, method, fields, body)

    def feed(self, data: bytes) -> list[ReceivedMessage]:
        raise ValueError("not an answer")


def test_malformed_answer_closes_connection_and_every_request_ends() -> None:
    with sending(unix_time_ms, dialect=Garbled) as (loop, made, rows):
        made.begin(monotonic_ms())
        loop.run(lambda: None)
    found = outcomes.parse_rows(rows)
    assert len(found) == 200 and outcomes.count_reasons(found) == {"broken": 200}


@pytest.mark.parametrize(
    "data", [b"\x94\x01\x01\xc0\xc0", b"\x93\x01\x01\xc0", b"\x07", b"\x94\x01\x01\x91\x01\xc0"]
)
def test_malformed_answer_raises_value_error(data: bytes) -> None:
    with pytest.raises(ValueError, match="malformed response"):
        MessagePackRpc().feed(data)
