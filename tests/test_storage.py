"""Persistence across restarts: truncated and damaged files, kills between any two steps, and failing disks.

Both on the files themselves and on whole nodes that are killed.
"""

from __future__ import annotations

import contextlib
import json
import resource
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any

import pytest

from spindlerelay import api
from spindlerelay.admission.class_statistics import STORED_ORDER
from spindlerelay.admission.controller import AdmissionController
from spindlerelay.backends.interpreter_protocol import CommandRejected
from spindlerelay.node.idempotency import IdempotencyTable
from spindlerelay.storage import journal_directory, learned_state_decay, records, settings_fingerprint
from spindlerelay.storage.journal_directory import JournalDirectory
from spindlerelay.storage.learned_state_decay import DiscardReason
from spindlerelay.storage.persistence import Options, PersistenceFeature, WriteState
from spindlerelay.storage.records import FileKind, RecordKind, UnusableStorageError
from spindlerelay.storage.replayed_state import ReplayedState
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.system import unix_time_ms
from tests.driver import KEYED, PLAIN, settings
from tests.peers import ROOT, OperatedProgram
from tests.test_guards import NodeBench

A, B = f"{0xA1:016x}", f"{0xB2:016x}"
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
LATER = 4e12  # Unix ms, far ahead
ENTRIES = [
    (RecordKind.RUNS_STARTED, [["a", 1, LATER]]),
    (RecordKind.RUNS_STARTED, [["b", 2, LATER], ["c", 3, LATER]]),
    (RecordKind.RESULTS, [["a", b"made"]]),
]


def encoded_file(entries: Sequence[tuple[int, Any]], version: int = records.LAYOUT_VERSION) -> bytes:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(records, "LAYOUT_VERSION", version)
        data = records.encode_header(FileKind.JOURNAL, "n3", 7, 1000.0)
    for kind, body in entries:
        data += records.encode_record(kind, body, 7, len(data))
    return data


def replayed(entries: list[records.Record]) -> ReplayedState:
    state = ReplayedState()
    for record in entries:
        state.add(record)
    return state


def test_reads_all_complete_records_of_a_file_truncated_at_any_byte() -> None:
    data, ends = encoded_file(ENTRIES), [len(encoded_file(ENTRIES[:count])) for count in range(4)]
    for size in range(len(data) + 1):
        reading = records.decode_file(data[:size], "n3")
        assert len(reading.records) == sum(end <= size for end in ends[1:]) and not reading.damaged_records
        assert bool(reading.torn_bytes) == (size not in ends and size > 0)


def test_skips_records_damaged_by_a_flipped_bit_and_never_returns_them() -> None:
    data, start = encoded_file(ENTRIES), len(encoded_file(ENTRIES[:1]))
    for place in range(len(data)):
        damaged_data = bytearray(data)
        damaged_data[place] ^= 0x10
        with contextlib.suppress(UnusableStorageError):
            reading = records.decode_file(bytes(damaged_data), "n3")
            assert len(reading.records) < 3
            assert all((each.kind, each.body) in ENTRIES for each in reading.records)
            assert reading.damaged_records or reading.torn_bytes
            assert place < start or reading.records[0].body == ENTRIES[0][1]
    middle = bytearray(data)
    middle[start + 20] ^= 1
    reading = records.decode_file(bytes(middle), "n3")
    assert (len(reading.records), reading.damaged_records) == (2, 1)


def test_ignores_stale_record_of_an_older_generation_at_the_same_offset() -> None:
    old = records.encode_record(RecordKind.RUNS_STARTED, [["x", 1, LATER]], 6, records.HEADER_LAYOUT.size)
    assert records.decode_file(encoded_file([]) + old, "n3").records == []


def test_refuses_files_of_newer_layout_or_other_node_and_migrates_older_layout() -> None:
    with pytest.raises(UnusableStorageError, match="newer version .layout 3.*start that version"):
        records.decode_file(encoded_file(ENTRIES, version=3), "n3")
    with pytest.raises(UnusableStorageError, match="another node"):
        records.decode_file(encoded_file(ENTRIES), "n4")
    old = replayed(
        records.decode_file(
            encoded_file([(RecordKind.RUNS_STARTED, [["a", LATER]])], version=1), "n3"
        ).records
    )
    assert (
        old.completed_requests["a"].content_hash,
        old.completed_requests["a"].bound_until_ms,
        old.malformed_records,
    ) == (0, LATER, 0)


MALFORMED: dict[str, tuple[int, Any]] = {
    "runs are no list": (RecordKind.RUNS_STARTED, 7),
    "run without a time": (RecordKind.RUNS_STARTED, [[1]]),
    "run with a text as hash": (RecordKind.RUNS_STARTED, [["a", "x", []]]),
    "result without bytes": (RecordKind.RESULTS, [["a"]]),
    "voids are no list": (RecordKind.RUNS_VOIDED, None),
    "learned state is no map": (RecordKind.LEARNED_STATE, 7),
    "unknown kind": (99, []),
}


@pytest.mark.parametrize("record", MALFORMED.values(), ids=MALFORMED)
def test_counts_malformed_record_without_raising(record: tuple[int, Any]) -> None:
    assert replayed(records.decode_file(encoded_file([record]), "n3").records).malformed_records == 1


def test_counts_every_malformed_record_of_a_file() -> None:
    data = encoded_file(list(MALFORMED.values()))
    assert replayed(records.decode_file(data, "n3").records).malformed_records == len(MALFORMED)


def test_binding_ends_with_its_window_and_is_cut_to_one_window_after_clock_went_back() -> None:
    state = replayed(
        [
            records.Record(
                RecordKind.RUNS_STARTED, [["past", 1, 100.0], ["now", 1, 60_000.0], ["ahead", 1, 9e9]]
            )
        ]
    )
    bound, beyond_window = state.bound_requests(50_000.0, 20_000.0)
    assert {key: kept.bound_until_ms for key, kept in bound.items()} == {"now": 60_000.0, "ahead": 70_000.0}
    assert beyond_window == 1


@pytest.fixture
def store(tmp_path: Path) -> Iterator[JournalDirectory]:
    made = JournalDirectory(str(tmp_path), "n3")
    made.begin_generation(1000.0)
    yield made
    made.close()


def loaded(store: JournalDirectory) -> ReplayedState:
    return JournalDirectory(store.path, store.name, lock=False).load()[0]


def test_a_compaction_stopped_after_any_step_loses_nothing_told_before_or_meanwhile(tmp_path: Path) -> None:
    for stop in range(12):
        store = JournalDirectory(str(tmp_path / str(stop)), "n3", "power")
        store.begin_generation(1000.0)
        store.append([(RecordKind.RUNS_STARTED, [[f"k{i}", i + 1, LATER] for i in range(500)])], True)
        store.append([(RecordKind.RESULTS, [["k7", b"made"]])], False)
        state, expected_keys = loaded(store), {f"k{i}" for i in range(500)}
        snapshot = journal_directory.snapshot_records(
            list(state.completed_requests), state.completed_requests.get, lambda: {"at": 1.0}, 1 << 20
        )
        for step, _ in enumerate(store.compact(snapshot, 2000.0)):
            store.append([(RecordKind.RUNS_STARTED, [[f"m{step}", 1, LATER]])], False)
            expected_keys.add(f"m{step}")
            if step == stop:
                break
        found = loaded(store)
        assert (
            set(found.completed_requests) == expected_keys
            and found.completed_requests["k7"].result == b"made"
        )
        store.close()
    assert len(store.files()) == 2  # the last one ended: one snapshot, one journal


def test_directory_admits_one_process_and_each_start_begins_its_own_journal(store: JournalDirectory) -> None:
    with pytest.raises(UnusableStorageError, match="another process"):
        JournalDirectory(store.path, "n3")
    store.append([(RecordKind.RUNS_STARTED, [["a", 1, LATER]])], True)
    assert store.journal_fd >= 0
    with open(store.path + "/journal-0000000000000001", "ab") as file:
        file.write(b"torn")
    store.close()
    again = JournalDirectory(store.path, "n3")
    state, found = again.load()
    again.begin_generation(2000.0)
    again.append([(RecordKind.RUNS_STARTED, [["b", 1, LATER]])], True)
    assert found.torn_bytes == 4 and set(loaded(again).completed_requests) == {"a", "b"}
    again.close()


@pytest.mark.parametrize(
    ("age_ms", "minimum", "maximum"),
    [
        (0.0, 1.0, 1.0),
        (10_000.0, 0.9, 0.99),
        (120_000.0, 0.5, 0.5),
        (86_400_000.0, 0.0, 0.0),
        (-1.0, 0.0, 0.0),
        (float("nan"), 0.0, 0.0),
    ],
)
def test_weight_of_learned_state_decays_with_age(age_ms: float, minimum: float, maximum: float) -> None:
    assert minimum <= learned_state_decay.weight(age_ms) <= maximum


def test_learned_state_is_restored_decayed_bounded_and_only_under_same_settings() -> None:
    config = settings(PLAIN, KEYED, cores=2)
    learner, restarted = AdmissionController(config, 1), AdmissionController(config, 1)
    learner.concurrency.value = 900.0
    learner.classes[1].run_count = 10.0
    learner.classes[1].run_total_ms = 2500.0
    fingerprint = settings_fingerprint.fingerprint(config, "core")
    record = learned_state_decay.to_record(learner.learned_state(), 1000.0, fingerprint)

    def restored(now: float = 1000.0, **changed: Any) -> Any:
        return learned_state_decay.from_record(record | changed, now, fingerprint, config, len(STORED_ORDER))

    assert restored().concurrency_limit == 16.0  # 2 cores, at most 8 a core
    assert restored(121_000.0).concurrency_limit == 9.0
    restarted.restore(restored(11_000.0))
    assert restarted.classes[1].run_total_ms / restarted.classes[1].run_count == pytest.approx(250.0)
    assert [restored(1e9), restored(0.0), restored(of="x")] == [
        DiscardReason.TOO_OLD,
        DiscardReason.FROM_THE_FUTURE,
        DiscardReason.OTHER_SETTINGS,
    ]
    bad: list[dict[str, Any]] = [{"limit": "x"}, {"limit": float("nan")}, {"figures": []}, {"asked": [-1.0]}]
    assert [restored(**each) for each in bad] == [DiscardReason.MALFORMED] * 4
    assert (
        settings_fingerprint.fingerprint(config, "other")
        != fingerprint
        != settings_fingerprint.fingerprint(settings(PLAIN, cores=2), "core")
    )


def persistence_in(
    path: Path, repeats: IdempotencyTable, learner: AdmissionController | None = None
) -> PersistenceFeature:
    options = Options(1 << 20, 1 << 20)
    return PersistenceFeature(
        EventLoop(), JournalDirectory(str(path), "n3"), options, settings(KEYED), repeats, learner
    )


@contextlib.contextmanager
def full_disk(room: int) -> Iterator[None]:
    """Files of this process may not grow past ``room`` bytes: a write stops half way, the next one fails."""
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (room, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))


def test_no_record_is_lost_to_a_full_disk_once_there_is_space_again(tmp_path: Path) -> None:
    repeats, soon = IdempotencyTable(), unix_time_ms() + 9000.0
    kept = persistence_in(tmp_path, repeats)

    def ran(key: str) -> None:
        rid = len(repeats) + 1
        repeats.link(key, rid, 0.0, 0.0, rid)
        repeats.reserve(rid, key, soon)
        repeats.record_run(rid, soon)
        kept.record_run(key, rid, soon)
        kept.commit()

    ran("before")
    good = kept.directory.journal_bytes
    with full_disk(good + 10):
        ran("torn")
        assert kept.write_state is WriteState.FAILED
        assert (tmp_path / "journal-0000000000000001").stat().st_size == good
        ran("missed")
        with full_disk(10):
            kept._begin_compaction()
            assert kept.write_state is WriteState.FAILED  # still no room, not even for a header
    kept._begin_compaction()
    ran("meanwhile")
    while kept._compaction_steps is not None:
        kept._continue_compaction()
    assert kept.write_state is not WriteState.FAILED
    assert set(loaded(kept.directory).completed_requests) == {"before", "torn", "missed", "meanwhile"}
    kept.close()


def test_run_is_recorded_before_its_command_is_sent_and_voided_when_it_never_ran(tmp_path: Path) -> None:
    bench = NodeBench()
    bench.node.persistence = kept = persistence_in(tmp_path, bench.node.idempotency)
    rid = bench.admit(A, 1)
    bench.execute(api.CacheResult(rid, 9000.0), api.Run(rid))  # nothing is sent before the end of the turn
    assert set(loaded(kept.directory).completed_requests) == {"d" * 32}
    bench.node.on_interpreter_notice(CommandRejected("APPLY", A))
    bench.execute()
    assert not loaded(kept.directory).completed_requests
    kept.close()


def test_restores_newest_of_a_hundred_thousand_keys_within_table_capacity(tmp_path: Path) -> None:
    store, soon = JournalDirectory(str(tmp_path), "n3"), unix_time_ms() + 9000.0
    store.begin_generation(unix_time_ms())
    for start in range(0, 100_000, 1000):
        keys = [[f"{i:032x}", 1, soon + i / 1000.0] for i in range(start, start + 1000)]
        store.append([(RecordKind.RUNS_STARTED, keys)], False)
    store.close()
    repeats = IdempotencyTable(32.0)
    kept = persistence_in(tmp_path, repeats)
    assert len(repeats) == repeats.max_records == 8000
    assert repeats.find_run(f"{99_999:032x}") and not repeats.find_run(f"{0:032x}")
    kept.close()


class Kept(OperatedProgram):
    """A node whose folder outlives it."""

    def __init__(self, path: Path, more: str = "") -> None:
        super().__init__(path, f'[storage]\npath = "kept"\n{more}')

    def show(self, verb: str = "show") -> Any:
        place = str(self.path.parent / "kept")
        command = [sys.executable, "-m", "spindlerelay", "state", verb, place, "--node", "n3", "--json"]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        return json.loads(done.stdout) if not done.returncode else done.stderr


@pytest.mark.parametrize("durability", ["process", "power"])
def test_an_order_never_runs_again_after_kill_9_and_gets_its_result_or_that_it_is_unknown(
    tmp_path: Path, durability: str
) -> None:
    more = f'durability = "{durability}"\n'
    with Kept(tmp_path, more) as node:
        balancer = node.balancer()
        done = balancer.send_request(A, "order")
        node.interpreter.expect("CONNECT")
        node.interpreter.expect("APPLY", A)
        node.interpreter.value(A, b"receipt")
        assert balancer.response(done) == b"receipt"
        balancer.send_request(B, "order", dedupe=KEY[::-1])
        node.interpreter.expect("APPLY", B)
    with Kept(tmp_path, more) as node:  # the first was killed
        assert "2 keyed requests restored, 1 with a result" in node.log.read_text()
        balancer = node.balancer()
        assert balancer.response(balancer.send_request("c" * 16, "order", rep="1")) == b"receipt"
        assert (
            balancer.response(balancer.send_request("d" * 16, "order", rep="1", dedupe=KEY[::-1]))
            == "OutcomeUnknown"
        )
        asked = balancer.send_request("e" * 16, "order", body=b"other")
        assert balancer.response(asked).startswith("BadRequest")
        node.interpreter.expect("CONNECT")
        assert node.interpreter.seen.empty()  # no APPLY
        assert node.show()["orders bound"] == 2
        assert "another process" in node.show("compact")
    before = node.show("verify")
    assert node.show("compact")["orders"] == 2 and node.show("verify") != before
    damaged = next((tmp_path / "kept").glob("snapshot-*"))
    data = bytearray(damaged.read_bytes())
    data[60] ^= 1
    damaged.write_bytes(bytes(data))
    assert node.show("verify") == ""  # status 1, and the table on standard output


def test_node_with_full_disk_serves_logs_and_shuts_down_cleanly(tmp_path: Path) -> None:
    with Kept(tmp_path) as node:
        node.interpreter.expect("CONNECT")
        resource.prlimit(node.process.pid, resource.RLIMIT_FSIZE, (4096, 4096))
        balancer = node.balancer()
        for number in range(12):
            call = f"{number + 1:016x}"
            asked = balancer.send_request(call, "order", dedupe=f"{number:032x}")
            node.interpreter.expect("APPLY", call)
            node.interpreter.value(call, b"x" * 1000)
            assert balancer.response(asked) == b"x" * 1000
        node.wait_for_log("storage: write failed, the node goes on serving")
        node.terminate()
        assert node.process.wait(20) == 0


def test_start_fails_with_one_line_when_directory_is_unusable(tmp_path: Path) -> None:
    def refused(path: str) -> str:
        node = OperatedProgram.__new__(OperatedProgram)
        with contextlib.suppress(AssertionError):
            node.__init__(tmp_path, f'[storage]\npath = "{path}"\n')  # type: ignore[misc]
            node.__enter__()
        node.process.wait(20)
        node.__exit__(None, None, None)
        assert node.process.returncode == 2
        return node.log.read_text()

    told = refused("/proc/nowhere")
    assert "storage.path: /proc/nowhere" in told and "may write to" in told
    with contextlib.closing(JournalDirectory(str(tmp_path / "kept"), "n3")):
        assert "in use by another process" in refused("kept")
    other = JournalDirectory(str(tmp_path / "other"), "n4")
    other.begin_generation(time.time() * 1000.0)
    other.close()
    assert "written by another node" in refused("other")


def test_platform_start_does_not_import_persistence() -> None:
    code = "import sys, spindlerelay.__main__; print([m for m in sys.modules if 'relay.storage.' in m])"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "['spindlerelay.storage.idempotency_claims']"
