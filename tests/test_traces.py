"""Traces: a replay reads what a capture writes, and errors name file and line."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from spindlerelay.node.frontend import IncomingRequest
from spindlerelay.observability import request_capture, trace_format
from spindlerelay.observability.trace_format import TraceRecord
from spindlerelay.testbed.load_generation import arrival_process, trace_replay
from spindlerelay.testbed.load_generation.stream import Stream
from spindlerelay.testbed.load_generation.trace_replay import TraceError
from spindlerelay.transport.event_loop import EventLoop
from tests.driver import KEYED, PLAIN, settings
from tests.peers import OperatedProgram

RECORDS = [
    TraceRecord(0.0, "preview", "acqua", 0.25, 30.0, 3600.0, 20, "ab" * 8),
    TraceRecord(12.5, "order", "tributi", 0.75, 41.5, 4900.0, 40, "cd" * 8, "0f" * 16),
    TraceRecord(80.0, "order", "tributi", 0.75, 41.5, 4820.0, 40, "cd" * 8, "0f" * 16, True),
]


def error_lines(path: Path, data: bytes, reader: Callable[[str], Any] = trace_replay.read_trace) -> list[str]:
    path.write_bytes(data)
    with pytest.raises(TraceError) as caught:
        reader(str(path))
    return caught.value.lines


def test_written_trace_is_read_unchanged(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl"
    path.write_bytes(trace_replay.encode_trace(RECORDS))
    found = trace_replay.read_trace(str(path))
    assert found.records == RECORDS and not found.truncation


def test_truncated_trace_is_read_up_to_its_last_complete_line(tmp_path: Path) -> None:
    path, whole = tmp_path / "t.jsonl", trace_replay.encode_trace(RECORDS)
    start = whole.index(b"\n", whole.index(b"tributi")) + 1  # of the third record
    for size in range(start, len(whole) - len(trace_format.encode_footer(3))):
        path.write_bytes(whole[:size])
        found = trace_replay.read_trace(str(path))
        assert (
            found.records == RECORDS[:2]
            and str(path) in found.truncation
            and "after 2 requests" in found.truncation
        )
        assert ("bytes into a line" in found.truncation) == (size > start)
    path.write_bytes(whole[: -len(trace_format.encode_footer(3))])
    assert (
        len(trace_replay.read_trace(str(path)).records) == 3
        and "cut off" in trace_replay.read_trace(str(path)).truncation
    )


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        (b'"version":1', b'"version":2', [":1:", "version 2", "reads version 1"]),
        (b'"format":"spindlerelay-trace"', b'"format":"x"', [":1:", "format should be", "trace import"]),
        (b'"at":12.5', b'"at":"soon"', [":3: at: 'soon'", "number"]),
        (b'"at":12.5', b'"at":-1', [":3: at: -1", "at least 0"]),
        (b'"rank":0.25', b'"rank":1.5', [":2: rank: 1.5", "under 1"]),
        (b'"class":"preview",', b"", [":2: class: missing"]),
        (b'"heap"', b'"hepa"', [":2: hepa: no such key", "heap"]),
        (b"abababababababab", b"the body", [":2: body", "form"]),
        (b'"bytes":20', b'"bytes":99999', [":2: bytes: 99999", "at most 2048"]),
        (b'{"at":12.5', b'"at":12.5', [":3: not JSON"]),
        (b'{"at":12.5', b'[{"at":12.5', [":3:"]),
        (b'"end":3', b'"end":4', ["3 records, 4 by its last line"]),
    ],
)
def test_error_names_line_and_expected_value(
    tmp_path: Path, old: bytes, new: bytes, words: list[str]
) -> None:
    told = "\n".join(
        error_lines(tmp_path / "t.jsonl", trace_replay.encode_trace(RECORDS).replace(old, new, 1))
    )
    assert "t.jsonl" in told and all(word in told for word in words), told


def test_reports_all_bad_lines_up_to_limit(tmp_path: Path) -> None:
    data = trace_format.encode_header() + b'{"at":1}\n' * 100
    assert len(error_lines(tmp_path / "t.jsonl", data)) == trace_replay.MAX_ERRORS


CSV = b"class,at,department,rank\npreview,100,acqua,0.5\norder,350.5,tributi,\n"


def test_imports_csv_and_json_lines_relative_to_first_request(tmp_path: Path) -> None:
    (tmp_path / "t.csv").write_bytes(CSV)
    (tmp_path / "t.jsonl").write_bytes(b'{"class":"order","at":350.5}\n\n{"class":"preview","at":100}\n')
    for name, form in (("t.csv", "csv"), ("t.jsonl", "jsonl")):
        found = trace_replay.import_trace(str(tmp_path / name), form).records
        assert [(record.class_name, record.at_ms) for record in found] == [("preview", 0.0), ("order", 250.5)]


@pytest.mark.parametrize(
    ("form", "data", "words"),
    [
        ("csv", b"when,what\n1,order\n", [":1: the header line should name", "at and class"]),
        ("csv", CSV.replace(b"350.5", b"late"), [":3: at: 'late'"]),
        ("csv", CSV.replace(b"tributi,", b"tributi,0.5,7"), [":3:", "past the last column"]),
        ("csv", CSV + b'order,"12', ["not CSV"]),
        ("csv", b"at,class\n", ["no request in it"]),
        ("csv", b"at,class\n1,\xff\n", ["UTF-8"]),
        ("jsonl", b'{"at":1,"class":"order"}\n{"at":\n', [":2: not JSON"]),
        ("jsonl", b'{"at":1,"class":"order"}\n7\n', [":2: '7' stands there"]),
        ("jsonl", b"", ["no request in it"]),
    ],
)
def test_import_error_names_line(tmp_path: Path, form: str, data: bytes, words: list[str]) -> None:
    told = "\n".join(error_lines(tmp_path / "x", data, lambda path: trace_replay.import_trace(path, form)))
    assert all(word in told for word in words), told


def test_replay_keeps_keys_and_equal_bodies_and_scales_times() -> None:
    found = trace_replay.Trace([*RECORDS, RECORDS[0]._replace(at_ms=100.0)])
    orders = trace_replay.replay(found, 2.0, 1)
    assert [(order.arrival_ms, order.cls.name, order.tenant) for order in orders] == [
        (0.0, "preview", "acqua"),
        (6.25, "order", "tributi"),
        (50.0, "preview", "acqua"),
    ]
    assert (
        orders[1].idempotency_key == "0f" * 16
        and len(orders[1].body) == 40
        and orders[0].body == orders[2].body
    )
    assert [order.number for order in orders] == [0, 1, 2]
    assert len(trace_replay.replay(found, 1.0, 1, retries=True)) == 4
    with pytest.raises(TraceError, match="'stamp' is not known here; known: preview"):
        trace_replay.replay(trace_replay.Trace([TraceRecord(0.0, "stamp")]), 1.0, 1)


def test_stream_written_as_trace_is_deterministic_and_replays_as_itself(tmp_path: Path) -> None:
    stream = Stream(5, "bursty", arrival_process.curve("burst", 50.0, 200.0, 3000.0))
    written, other = stream.to_trace(stream.draw_requests()), Stream(6, "bursty", stream.curve)
    assert written == stream.to_trace(stream.draw_requests()) != other.to_trace(other.draw_requests())
    path = tmp_path / "t.jsonl"
    path.write_bytes(written)
    again = Stream(5, trace=str(path)).draw_requests()
    assert [(o.cls, o.tenant) for o in again] == [(o.cls, o.tenant) for o in stream.draw_requests()]


# Capture on a node


def ask(number: int, cls: int = 0, **more: Any) -> IncomingRequest:
    return IncomingRequest(
        f"{number:016x}", cls, 1e12 + number * 10.0, 1e12 + 5000.0, b"body %d" % (number % 2), **more
    )


def captured(path: Path, most: int = 100, size: int = 100_000) -> request_capture.RequestCapture:
    named = settings(PLAIN._replace(name="preview"), KEYED._replace(name="order"))
    return request_capture.RequestCapture(
        EventLoop(), request_capture.Options(str(path), size, most), named, b"salt"
    )


def test_capture_contains_neither_bodies_nor_keys(tmp_path: Path) -> None:
    feature = captured(tmp_path / "t")
    for number in range(4):
        feature.observe(
            ask(number, number % 2, idempotency_key="7f" * 16 if number % 2 else "", queued_memory_kb=20.0)
        )
    feature.close()
    data, found = (tmp_path / "t").read_bytes(), trace_replay.read_trace(str(tmp_path / "t"))
    assert b"body" not in data.replace(b'"body":', b"") and b"7f7f" not in data
    assert [record.at_ms for record in found.records] == [0.0, 10.0, 20.0, 30.0] and not found.truncation
    assert found.records[0].body_digest == found.records[2].body_digest != found.records[1].body_digest
    assert found.records[1].key_digest == found.records[3].key_digest != ""


@pytest.mark.parametrize("bounds", [{"most": 5}, {"size": 700}])
def test_capture_stops_at_limit_and_counts_missed_requests(tmp_path: Path, bounds: dict[str, int]) -> None:
    feature = captured(tmp_path / "t", **bounds)
    for number in range(50):
        feature.observe(ask(number, queued_memory_kb=20.0))
    feature.close()
    found = trace_replay.read_trace(str(tmp_path / "t"))
    assert 0 < len(found.records) < 10 and found.missed_count == 50 - len(found.records)
    assert (tmp_path / "t").stat().st_size < 900


class Full:
    """A file on a disk that is full."""

    def write(self, data: bytes) -> int:
        raise OSError(28, "No space left on device")

    def close(self) -> None:
        pass


def test_full_disk_stops_capture_only(tmp_path: Path) -> None:
    feature = captured(tmp_path / "t")
    feature._file = Full()  # type: ignore[assignment]
    feature.observe(ask(1, queued_memory_kb=20.0))
    feature._write_periodically()
    assert not feature.enabled
    feature.observe(ask(2, queued_memory_kb=20.0))
    assert not feature._pending
    feature.close()


CAPTURE = '[capture]\npath = "out.jsonl"\n'


def test_node_captures_requests_and_never_overwrites_file(tmp_path: Path) -> None:
    with OperatedProgram(tmp_path, CAPTURE) as node:
        node.interpreter.expect("CONNECT", "0")
        balancer = node.balancer()
        asked = balancer.send_request("00000000000000a1")
        node.interpreter.expect("APPLY")
        node.interpreter.value("00000000000000a1", b"done")
        assert balancer.response(asked) == b"done"
        node.wait_for_log("capture: writing requests to")
        node.terminate()
        node.process.wait(20)
    found = trace_replay.read_trace(str(tmp_path / "out.jsonl"))
    assert [record.class_name for record in found.records] == ["preview"] and not found.truncation
    with (
        pytest.raises(AssertionError, match="out.jsonl exists; name a new file"),
        OperatedProgram(tmp_path, CAPTURE),
    ):
        pass
