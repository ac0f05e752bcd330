"""The idempotency table: linking, reservations, runs, results and expiry."""

from __future__ import annotations

from spindlerelay.node.idempotency import IdempotencyTable


def test_repeats_link_within_a_batch_without_keep_and_past_it_only_with() -> None:
    table = IdempotencyTable()
    assert [table.link("k", 1, 0.0, 0.0), table.link("k", 2, 0.0, 0.0)] == [0, 1]
    table.end_batch()
    assert table.link("k", 3, 5.0, 5.0) == 0
    table.reserve(3, "k", 100.0)
    table.end_batch()
    assert table.link("k", 4, 99.0, 150.0) == 3  # it reached the machine in time, however late it is read
    table.evict(3)
    assert table.link("k", 5, 99.0, 150.0) == 0


def test_a_try_that_ran_binds_its_window_whatever_the_module_forgets() -> None:
    table = IdempotencyTable()
    table.link("k", 1, 0.0, 0.0)
    assert not table.may_run(1, "k")  # not kept: repeats would not know of it
    table.reserve(1, "k", 1000.0)
    assert table.may_run(1, "k")
    table.record_run(1, 14841.0)
    table.end_batch()
    table.evict(1)
    assert table.finish(1, b"receipt") == []
    assert table.link("k", 2, 14800.0, 14800.0) == 1
    assert not table.may_run(2, "k")
    table.expire(20000.0)
    record = table.coalesce(1, 2)
    assert record and record.result == b"receipt"
    assert table.link("k", 3, 14842.0, 14842.0) == 0  # past the window it is a new request


def test_followers_share_the_end_and_an_evicted_result_never_lets_a_try_run_again() -> None:
    table = IdempotencyTable()
    table.max_result_bytes = 10
    for rid, key in ((1, "a"), (2, "b")):
        table.link(key, rid, 0.0, 0.0)
        table.reserve(rid, key, 1000.0)
        table.record_run(rid, 1000.0)
    table.end_batch()
    table.coalesce(1, 11)
    table.coalesce(1, 12)
    table.detach(1, 11)
    assert table.finish(1, b"123456") == [12]
    table.finish(2, b"abcdef")
    assert table.result_bytes == 6
    record = table.coalesce(1, 13)
    assert record and record.finished and record.result is None and not table.may_run(13, "a")
    table.expire(10_000.0)
    assert len(table) == 0 and table.result_bytes == 0


def test_records_end_by_themselves_once_over_and_sizes_follow_the_memory() -> None:
    table = IdempotencyTable(32.0)
    assert (
        table.max_result_bytes == 1 << 20
        and table.max_records == 8000
        and IdempotencyTable(64.0).max_result_bytes == 8 << 20
    )
    table.link("k", 1, 0.0, 0.0, 7)
    table.reserve(1, "k", 1000.0, 7)
    table.record_run(1, 1000.0)
    table.end_batch()
    assert table.matches("k", 7) and not table.matches("k", 8) and table.matches("other", 8)
    table.expire(50_000.0)
    assert len(table) == 1  # still at work
    table.finish(1, b"late")
    table.expire(50_500.0)
    table.expire(51_000.0)
    assert len(table) == 0 and not table._expiration_heap


def test_superseded_runs_of_a_key_are_one_record_that_expires() -> None:
    table = IdempotencyTable()
    for number, received_at_ms in enumerate((0.0, 1001.0, 2002.0), start=1):
        assert table.link("k", number, received_at_ms, received_at_ms) == 0
        table.reserve(number, "k", received_at_ms + 1000.0)
        assert table.may_run(number, "k", received_at_ms)
        table.record_run(number, received_at_ms + 1000.0)
        table.finish(number, b"result")
        table.end_batch()
    assert len(table) == 2
    assert table.link("k", 4, 900.0, 2100.0) == table.link("k", 5, 2001.0, 2100.0) == 2
    assert table.link("k", 6, 2100.0, 2100.0) == 3
    assert not table.may_run(4, "k", 900.0)
    table.expire(2001.0 + table.retention_ms)
    assert len(table) == 1
    table.expire(3002.0 + table.retention_ms)
    assert len(table) == 0 and table.result_bytes == 0


def test_keys_that_are_reserved_and_evicted_at_once_leave_nothing_behind() -> None:
    """Each left an entry until the end of its window: a flood under new keys took 4.5 MB a second."""
    table = IdempotencyTable()
    for number in range(1, 20_000):
        table.link(f"k{number}", number, 0.0, 0.0)
        table.reserve(number, f"k{number}", 15_000.0)
        table.end_batch()
        if number % 1000:
            table.evict(number)
    assert len(table) == 19
    assert len(table._expiration_heap) < 200
    table.expire(30_000.0)
    assert len(table) == 0


def test_a_full_table_enters_nothing_more() -> None:
    table = IdempotencyTable()
    table.max_records = 1
    for rid, key in ((1, "a"), (2, "b")):
        table.link(key, rid, 0.0, 0.0)
        table.reserve(rid, key, 1000.0)
    assert table.may_run(1, "a") != table.may_run(2, "b")
