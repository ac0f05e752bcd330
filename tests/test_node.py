"""The program as a process, spoken to over real sockets by scripted peers: each rule and failure."""

from __future__ import annotations

import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgpack
import pytest

from tests.peers import SETTINGS, TIMEOUT_S, Balancer, Interpreter, Program, Store, port

CROWD = 400  # clients connected at once
A, B, C = (f"{n:016x}" for n in (0xA1, 0xB2, 0xC3))


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Program]:
    with Program(tmp_path) as program:
        program.interpreter.expect("CONNECT", "0")
        yield program


def test_a_request_runs_calls_the_store_and_is_served_unchanged(node: Program) -> None:
    balancer, body, result = node.balancer(), bytes(range(256)), b"\r\nVALUE 1\r\n\x00\xff"
    asked = balancer.send_request(A, body=body)
    assert node.interpreter.expect("APPLY", A)[2:] == [b"preview", b"256", body]
    node.interpreter.note("AWAIT", A, b"SELECT\r\n1")
    call = node.store.expect("CALL", A)
    assert 0 < int(call[2]) <= 4500 and call[4] == b"SELECT\r\n1"
    node.store.send(f"{A} OK", b"row\r\n")
    assert node.interpreter.expect("RESOLVE", A)[-1] == b"row\r\n"
    node.interpreter.value(A, result)
    assert balancer.response(asked) == result


def test_a_withdrawn_request_is_answered_at_once_and_its_run_and_call_are_stopped(tmp_path: Path) -> None:
    """Withdrawals were passed over: runs and calls went on for callers that had left."""
    family = SETTINGS["family-info"] | {"halt": "drop", "hangup-seen": True, "n-cores": 1}
    with Program(tmp_path, settings=SETTINGS | {"family-info": family}) as node:
        node.interpreter.expect("CONNECT", "0")
        balancer = node.balancer()
        running = balancer.send_request(A)
        node.interpreter.expect("APPLY", A)
        held = balancer.send_request(B)
        balancer.withdraw(held)
        balancer.withdraw(running)
        balancer.withdraw(99)
        assert [balancer.response(held), balancer.response(running)] == ["Withdrawn", "Withdrawn"]
        node.interpreter.expect("BREAK", A)
        node.interpreter.value(A, end="broken_off")
        calling = balancer.send_request(C)
        node.interpreter.expect("APPLY", C)
        node.interpreter.note("AWAIT", C, b"SELECT")
        node.store.expect("CALL", C)
        balancer.withdraw(calling)
        assert balancer.response(calling) == "Withdrawn"
        node.store.expect("DROP", C)
        node.interpreter.value(C, end="broken_off")
        asked = balancer.send_request(A[::-1])
        node.interpreter.expect("APPLY", A[::-1])  # the core is free
        node.interpreter.value(A[::-1], b"done")
        assert balancer.response(asked) == b"done"


def test_health_and_announcements_are_told(node: Program) -> None:
    balancer = node.balancer()
    assert balancer.response(balancer.call("ping", [{}])) is True
    assert node.discovery.recv(100) == b"announce n3 true"
    assert node.discovery.recv(100) == b"announce n3 true"


def test_commands_wait_for_the_banner_of_an_interpreter_that_comes_up_late(tmp_path: Path) -> None:
    """What was written ahead of the banner was dropped, and the link hung for good."""
    with Program(tmp_path, late=True) as node:
        node.interpreter.expect("CONNECT", "0")
        time.sleep(0.3)
        node.interpreter.greet()
        balancer = node.balancer()
        asked = balancer.send_request(A)
        node.interpreter.expect("APPLY", A)
        node.interpreter.value(A, b"done")
        assert balancer.response(asked) == b"done"


def test_lost_a_request_that_nobody_finishes_is_answered_when_due(node: Program) -> None:
    balancer = node.balancer()
    asked = balancer.send_request(A, "order", ttl="400")
    node.interpreter.expect("APPLY", A)
    began = time.time()
    assert balancer.response(asked) == "Failed"
    assert time.time() - began < 5.0  # not the wait of the test, but the request's own end


def test_a_request_read_past_its_due_time_gets_the_modules_refusal_and_advice(node: Program) -> None:
    """On a jammed machine the guard of the due time came first, and no advice went out."""
    balancer = node.balancer()
    balancer.send_request(A, recv=str(int(time.time() * 1000) - 3000), ttl="2000")
    assert balancer.read()[2][0] == "Busy"
    assert "deadline passed without a response" not in node.log.read_text()


def test_lost_a_broken_interpreter_link_is_replayed_without_gap_or_double(node: Program) -> None:
    balancer = node.balancer()
    first, second = balancer.send_request(A), balancer.send_request(B)
    node.interpreter.expect("APPLY", A), node.interpreter.expect("APPLY", B)
    node.interpreter.value(A, b"one")
    assert balancer.response(first) == b"one"
    node.interpreter.value(B, b"two", quiet=True)
    node.interpreter.cut()
    assert balancer.response(second) == b"two"
    assert node.interpreter.expect("CONNECT")[1] == b"1"
    third = balancer.send_request(C)
    node.interpreter.expect("APPLY", C)  # and nothing that had run is applied again
    node.interpreter.value(C, b"three")
    assert balancer.response(third) == b"three"


def test_lost_a_command_that_a_breaking_link_swallowed_is_sent_again_and_one_that_was_read_is_not(
    node: Program,
) -> None:
    balancer = node.balancer()
    first = balancer.send_request(A)
    node.interpreter.expect("APPLY", A)
    time.sleep(0.3)  # some alarms, whose gauges prove that the command was read
    node.interpreter.running = False  # from here on it reads nothing
    second = balancer.send_request(B)
    time.sleep(0.1)
    node.interpreter.running = True
    node.interpreter.cut()
    node.interpreter.expect("CONNECT", "0")
    node.interpreter.expect("APPLY", B)
    node.interpreter.value(A, b"one")
    node.interpreter.value(B, b"two")
    assert [balancer.response(first), balancer.response(second)] == [b"one", b"two"]
    assert node.interpreter.seen.empty()


def test_duplicate_a_repeat_gets_the_result_of_the_try_that_ran_and_a_failed_one_fails(node: Program) -> None:
    balancer = node.balancer()
    first, second = balancer.send_request(A, "order"), balancer.send_request(B, "order", rep="1")
    node.interpreter.expect("APPLY", A)
    node.interpreter.value(A, b"receipt")
    assert [balancer.response(first), balancer.response(second)] == [b"receipt", b"receipt"]
    assert balancer.response(balancer.send_request(C, "order", rep="1")) == b"receipt"
    other = "f" * 32
    lost = balancer.send_request("00000000000000d4", "order", dedupe=other)
    node.interpreter.expect("APPLY", "00000000000000d4")
    node.interpreter.value("00000000000000d4", end="fault")
    assert balancer.response(lost) == "Failed"
    assert (
        balancer.response(balancer.send_request("00000000000000e5", "order", dedupe=other, rep="1"))
        == "Failed"
    )
    assert node.interpreter.seen.empty()


def test_drain_says_goodbye_answers_everything_and_ends_in_time(node: Program) -> None:
    balancer = node.balancer()
    running = balancer.send_request(A)
    node.interpreter.expect("APPLY", A)
    node.terminate()
    assert balancer.read() == [2, "goaway", []]
    while node.discovery.recv(100) != b"announce n3 false":
        pass
    assert node.balancer().read() == [2, "goaway", []]
    node.interpreter.value(A, b"last")
    assert balancer.response(running) == b"last"
    assert node.process.wait(20) == 0
    assert "drained: all requests have their responses" in node.log.read_text()


def test_drain_refuses_what_came_past_the_grace(tmp_path: Path) -> None:
    with Program(tmp_path, stop_ms=9000) as node:
        node.interpreter.expect("CONNECT")
        balancer = node.balancer()
        held = balancer.send_request(A, "order", ttl="5000")
        node.interpreter.expect("APPLY", A)
        node.terminate()
        assert balancer.read() == [2, "goaway", []]
        asked = balancer.send_request(B, recv=str(int(time.time() * 1000) + 2600))
        assert balancer.response(asked) == "Busy"
        node.interpreter.value(A, b"ran")
        assert balancer.response(held) == b"ran"
        assert node.interpreter.seen.empty() and node.process.wait(20) == 0


def test_drain_answers_whatever_still_got_a_connection(node: Program) -> None:
    """Balancers learn late: the end must not reset a connection whose request was just written."""
    node.terminate()
    answered = 0
    while True:
        try:
            balancer = node.balancer()
        except ConnectionRefusedError:
            break
        balancer.send_request(f"{answered + 1:016x}", recv=str(int(time.time() * 1000) + 4000))
        while (message := balancer.read()) == [2, "goaway", []]:
            pass
        assert message and message[2][0] == "Busy"
        answered += 1
        time.sleep(0.02)
    assert answered > 10 and node.process.wait(20) == 0


def test_fall_over_runs_stay_under_the_crowd_and_the_rest_is_told_when_to_come_back(node: Program) -> None:
    balancers = [node.balancer() for _ in range(4)]
    for index in range(120):
        balancers[index % 4].send_request(f"{index + 1:016x}", ttl="3000")
    applied, refused = 0, []
    for balancer in balancers:
        for _ in range(30):
            error = balancer.read()[2]
            assert error and error[0] in ("Busy", "Failed")
            refused += [error[1]] if error[0] == "Busy" else []
    while not node.interpreter.seen.empty():
        applied += node.interpreter.seen.get()[0] == b"APPLY"
    assert 0 < applied <= 8 * 2
    assert refused and all(int(fields["pushback"]) > 0 for fields in refused if "pushback" in fields)


OUTCOMES = [("BUSY", 2), ("VOID", 2), ("ERR", 1), ("LATE", 1)]


@pytest.mark.parametrize(("word", "calls"), OUTCOMES)
def test_a_call_is_made_again_only_where_its_end_proves_that_it_never_ran(
    node: Program, word: str, calls: int
) -> None:
    balancer = node.balancer()
    asked = balancer.send_request(A, "order")
    node.interpreter.expect("APPLY", A)
    node.interpreter.note("AWAIT", A, b"q")
    node.store.expect("CALL", A)
    node.store.send(f"{A} {word}")
    if calls == 2:
        node.store.expect("CALL", A)
        node.store.send(f"{A} OK", b"r")
        node.interpreter.expect("RESOLVE", A)
        node.interpreter.value(A, b"fine")
    assert balancer.response(asked) == (b"fine" if calls == 2 else "Failed")


def test_a_store_connection_that_breaks_proves_nothing_but_a_preview_may_call_again(node: Program) -> None:
    balancer = node.balancer()
    asked = balancer.send_request(A)
    node.interpreter.expect("APPLY", A)
    node.interpreter.note("AWAIT", A, b"q")
    node.store.expect("CALL", A)
    node.store.cut()
    node.store.expect("CALL", A)
    node.store.send(f"{A} OK", b"r")
    node.interpreter.expect("RESOLVE", A)
    node.interpreter.value(A, b"fine")
    assert balancer.response(asked) == b"fine"


def test_a_call_that_a_refused_connection_proves_unmade_is_made_when_the_store_is_back(node: Program) -> None:
    node.store.close()
    balancer = node.balancer()
    asked = balancer.send_request(A, "order")
    node.interpreter.expect("APPLY", A)
    node.interpreter.note("AWAIT", A, b"q")
    node.wait_for_log("store refused a connection")
    node.store.listen()
    assert node.store.expect("CALL", A)[-1] == b"q"
    node.store.send(f"{A} OK", b"r")
    node.interpreter.expect("RESOLVE", A)
    node.interpreter.value(A, b"fine")
    assert balancer.response(asked) == b"fine"


def test_a_call_whose_time_is_up_is_given_up_with_its_connection(node: Program) -> None:
    balancer = node.balancer()
    asked = balancer.send_request(A, ttl="800")
    node.interpreter.expect("APPLY", A)
    node.interpreter.note("AWAIT", A, b"q")
    node.store.expect("CALL", A)
    assert node.interpreter.expect("STUB", A)[2] == b"1"
    assert node.store.seen.get(timeout=TIMEOUT_S) == []  # the end of the connection
    node.interpreter.value(A, b"poorer")
    assert balancer.response(asked) == b"poorer"
    assert node.interpreter.seen.empty()


def test_a_command_that_the_interpreter_refuses_ends_its_request_only(node: Program) -> None:
    balancer = node.balancer()
    first, second = balancer.send_request(A), balancer.send_request(B)
    node.interpreter.expect("APPLY", A), node.interpreter.expect("APPLY", B)
    node.interpreter.send(f"ERROR APPLY {A}")
    assert balancer.response(first) == "Failed"
    node.interpreter.value(B, b"fine")
    assert balancer.response(second) == b"fine"


def test_malformed_lines_of_peers_cost_their_link_only(node: Program) -> None:
    balancer = node.balancer()
    first = balancer.send_request(A)
    node.interpreter.expect("APPLY", A)
    node.interpreter.note("AWAIT", A, b"q")
    node.store.expect("CALL", A)
    node.store.send("\x00 what is this")
    node.store.expect("CALL", A)
    node.store.send(f"{A} OK", b"r")
    node.interpreter.expect("RESOLVE", A)
    node.interpreter.send("VALUE one two")
    node.interpreter.expect("CONNECT", "1")
    node.interpreter.value(A, b"fine")
    assert balancer.response(first) == b"fine"


def test_a_spoilt_reply_costs_its_own_call_and_a_good_one_ahead_of_it_counts(node: Program) -> None:
    balancer, asked = node.balancer(), list[int]()
    for call in (A, B):
        asked.append(balancer.send_request(call, "order", dedupe=call * 2))
        node.interpreter.expect("APPLY", call)
        node.interpreter.note("AWAIT", call, call.encode())
        node.store.expect("CALL", call)
    for number, spoilt in enumerate((b"\x00 what is this", b"x" * 2000, f"{A} OK 3000000000".encode())):
        call = f"{number:016x}"
        lost = balancer.send_request(call, "order", dedupe=call * 2)
        node.interpreter.expect("APPLY", call)
        node.interpreter.note("AWAIT", call, b"q")
        node.store.expect("CALL", call)
        node.store.send(spoilt)  # on the channel of this call, which is the newest
        assert balancer.response(lost) == "Failed"
    node.store.socks[1].sendall(f"{C} OK 1\r\nu\r\n{B} OK 1\r\nb\r\n\xff\r\n".encode())
    assert node.interpreter.expect("RESOLVE", B)[-1] == b"b"
    node.store.socks[0].sendall(f"{A} OK 1\r\na\r\n{A} OK 1\r\nz\r\n".encode())
    assert node.interpreter.expect("RESOLVE", A)[-1] == b"a"
    node.interpreter.value(A, b"one")
    node.interpreter.value(B, b"two")
    assert [balancer.response(asked[0]), balancer.response(asked[1])] == [b"one", b"two"]


def test_a_second_copy_of_a_reply_does_not_answer_a_later_call_of_the_same_request(node: Program) -> None:
    balancer = node.balancer()
    asked = balancer.send_request(A)
    node.interpreter.expect("APPLY", A)
    for body in (b"first", b"second"):
        node.interpreter.note("AWAIT", A, body)
        node.store.expect("CALL", A)
        if body == b"second":
            node.store.socks[0].sendall(f"{A} OK 5\r\nfirst\r\n".encode())
            time.sleep(0.1)
        node.store.send(f"{A} OK", body)
        assert node.interpreter.expect("RESOLVE", A)[-1] == body
    node.interpreter.value(A, b"done")
    assert balancer.response(asked) == b"done"


def test_a_store_connection_that_lay_idle_is_not_used_again(node: Program) -> None:
    """The store had forgotten some after 100 ms, and reset them at the next call: that lost orders."""
    balancer = node.balancer()
    for number, call in enumerate((A, B)):
        balancer.send_request(call, "order", dedupe=call * 2)
        node.interpreter.expect("APPLY", call)
        node.interpreter.note("AWAIT", call, b"q")
        node.store.expect("CALL", call)
        assert node.store.links == number + 1
        node.store.send(f"{call} OK", b"r")
        node.interpreter.expect("RESOLVE", call)
        time.sleep(0.1)


def test_a_reply_that_stops_half_way_is_spoilt_long_before_the_end_of_its_call(node: Program) -> None:
    balancer = node.balancer()
    asked = balancer.send_request(A)
    node.interpreter.expect("APPLY", A)
    node.interpreter.note("AWAIT", A, b"q")
    node.store.expect("CALL", A)
    node.store.send(f"{A} OK 100")
    node.store.expect("CALL", A)
    node.store.send(f"{A} OK", b"r")
    node.interpreter.expect("RESOLVE", A)
    assert "stopped half way" in node.log.read_text()
    node.interpreter.value(A, b"fine")
    assert balancer.response(asked) == b"fine"


def test_an_interpreter_link_that_falls_silent_is_made_again(node: Program) -> None:
    node.interpreter.running = False  # takes the next link, too, and says nothing
    node.interpreter.expect("CONNECT", "0")
    node.interpreter.running = True
    node.interpreter.cut()
    node.interpreter.expect("CONNECT", "0")
    balancer = node.balancer()
    asked = balancer.send_request(A)
    node.interpreter.expect("APPLY", A)
    node.interpreter.value(A, b"done")
    assert balancer.response(asked) == b"done"


BROKEN = [
    b"\xc1",
    b"\x94\x01\x07\xc0\xc0",
    b"\x93\x00\x01\x02",
    b"GET /",
    b"\x94\x00\x01\xa4ping\x91" + b"\xdb\x7f",
]


@pytest.mark.parametrize("data", BROKEN)
def test_an_unreadable_stream_ends_intake_but_what_was_read_is_answered(node: Program, data: bytes) -> None:
    bad, good = node.balancer(), node.balancer()
    asked = bad.send_request(A)
    node.interpreter.expect("APPLY", A)
    bad.sock.sendall(data)
    bad.sock.sendall(b"\x00" * 20_000)
    time.sleep(0.1)
    node.interpreter.value(A, b"owed")
    assert bad.response(asked) == b"owed"
    assert bad.read() is None
    assert good.response(good.call("ping", [{}])) is True
    assert node.log.read_text().count("bad input from a balancer") == 1


BAD_FIELDS: list[dict[str, str | None]] = [
    {"call": "xyz"},
    {"recv": "-1"},
    {"ttl": None},
    {"org": "nobody"},
    {"heap": "nan"},
    {"heap": "0"},
    {"crit": "1.5"},
    {"cls": "order", "dedupe": None},
    {"src": "four"},
    {"cls": "poster"},
    {"ttl": "60000"},
    {"recv": str(int(time.time() * 1000) + 3_600_000)},
]


def test_a_readable_request_with_bad_fields_gets_an_error_and_the_connection_stays(node: Program) -> None:
    balancer = node.balancer()
    for index, fields in enumerate(BAD_FIELDS):
        sent = dict(fields)
        call, cls = sent.pop("call", f"{index + 1:016x}"), sent.pop("cls", "preview")
        asked = balancer.send_request(str(call), str(cls), b"page", **sent)
        assert str(balancer.response(asked)).startswith("BadRequest")
    assert str(balancer.response(balancer.call("reboot", []))).startswith("BadRequest")
    assert balancer.response(balancer.call("ping", [{}])) is True


def test_whoever_never_ends_a_request_is_closed_soon_and_a_balancer_is_not(node: Program) -> None:
    good, silent, half, bad = (node.balancer() for _ in range(4))
    assert good.response(good.call("ping", [{}])) is True
    began = time.time()
    half.sock.sendall(b"\x94\x00\x01\xa4pi")
    for _ in range(20):
        bad.call("poster", [])
    assert [silent.read(), half.read()] == [None, None] and time.time() - began < 3.0
    messages = []
    while message := bad.read():
        messages.append(message)
    # All that it sent is answered, though it is asked to go: a balancer whose classes are newer than ours
    # lost the requests that it had sent before the connection went deaf.
    assert [message[0] for message in messages].count(1) == 20 and [2, "goaway", []] in messages
    assert good.response(good.call("ping", [{}])) is True


def test_more_than_32_open_requests_on_a_connection_are_errors_at_once(node: Program) -> None:
    balancer = node.balancer()
    for number in range(40):
        balancer.send_request(f"{number:016x}", ttl="4000")
    answers = [balancer.read() for _ in range(8)]
    assert sum("too many open" in str(answer[2]) for answer in answers) >= 1


def test_silent_connections_do_not_shut_a_balancer_out_and_idle_ones_are_asked_to_go(tmp_path: Path) -> None:
    with Program(tmp_path, limits={"sockets": 64, "memory_mb": 32}) as node:
        node.interpreter.expect("CONNECT")
        first = node.balancer()
        assert first.response(first.call("ping", [{}])) is True
        crowd = [node.balancer() for _ in range(80)]
        late = node.balancer()
        assert late.response(late.call("ping", [{}])) is True
        idle = [node.balancer() for _ in range(26)]
        for balancer in idle:
            assert balancer.response(balancer.call("ping", [{}])) is True
        assert first.read() == [2, "goaway", []]
        assert first.read() is None and crowd


def test_a_peer_that_does_not_read_neither_stalls_the_others_nor_grows_memory(node: Program) -> None:
    deaf, good = node.balancer(), node.balancer()
    assert good.response(good.call("ping", [{}])) is True
    deaf.sock.settimeout(0.5)
    ping = b"\x94\x00\x01\xa4ping\x91\x80" * 4000
    sent = 0
    try:
        while sent < 200 << 20:
            sent += deaf.sock.send(ping)
    except TimeoutError:
        pass
    assert sent < 100 << 20
    assert good.response(good.call("ping", [{}])) is True
    status = Path(f"/proc/{node.process.pid}/status").read_text()
    assert int(status.split("VmRSS:")[1].split()[0]) < 100_000


def test_sighup_moves_the_links_and_keeps_what_is_open_and_a_wrong_file_changes_nothing(
    node: Program,
) -> None:
    balancer = node.balancer()
    asked, other = balancer.send_request(A), balancer.send_request(B, "order")
    node.interpreter.expect("APPLY", A), node.interpreter.expect("APPLY", B)
    while not node.interpreter.last_gauges_tag.endswith(
        "-2"
    ):  # gauges after both: until they are read, both are told again
        assert node.process.poll() is None
        time.sleep(0.01)
    node.interpreter.note("AWAIT", A, b"q")
    node.store.expect("CALL", A)
    for number, wrong in enumerate(("{not json", '{"settings": {}}')):
        node.reload(wrong)
        node.wait_for_log("configuration not applied, the previous one stays in use", number + 1)
    vm, store, announce = Interpreter(), Store(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    announce.bind(("127.0.0.1", 0))
    announce.settimeout(TIMEOUT_S)
    vm.notices = node.interpreter.notices
    node.reload(vm=vm.address, store=store.address, announce=port(announce), seed="1")
    assert vm.expect("CONNECT")[1] == b"1"
    assert announce.recv(100) == b"announce n3 true"
    vm.note("AWAIT", B, b"w")
    assert store.expect("CALL", B)[-1] == b"w"  # new calls go to the new address
    node.store.send(f"{A} OK", b"r")  # one in hand ends where it was made
    assert vm.expect("RESOLVE", A)[-1] == b"r"
    store.send(f"{B} OK", b"x")
    assert vm.expect("RESOLVE", B)[-1] == b"x"
    vm.value(A, b"one")
    vm.value(B, b"two")
    assert [balancer.response(asked), balancer.response(other)] == [b"one", b"two"]
    log = node.log.read_text()
    assert f"store is {store.address}" in log and "seed needs a restart" in log
    assert node.process.poll() is None and vm.seen.empty() and node.interpreter.links == 1


def test_a_bad_configuration_ends_with_one_plain_line_and_status_2(tmp_path: Path) -> None:
    wrong: list[dict[str, Any]] = [{"settings": {"classes": []}}, {"vm": "nowhere"}, {"stop_ms": "soon"}]
    for config in wrong:
        program = Program(tmp_path, **config)
        assert program.process.wait(20) == 2
        assert len(program.log.read_text().splitlines()) == 1, program.log.read_text()


def test_what_came_while_the_process_was_stopped_is_read_before_any_timer_closes_its_connection(
    node: Program,
) -> None:
    """After SIGCONT a wait whose time is over ends with nothing, whatever is ready: a timer then took the
    connection for one that never asked, with the request unread on it."""
    balancer = node.balancer()
    time.sleep(0.2)  # it is accepted, and asks nothing yet
    node.process.send_signal(signal.SIGSTOP)
    time.sleep(0.1)
    asked = balancer.send_request(A, "order")
    time.sleep(1.6)  # longer than a connection may stay without a request
    node.process.send_signal(signal.SIGCONT)
    while node.interpreter.seen.get(timeout=TIMEOUT_S)[:2] != [b"APPLY", A.encode()]:
        pass  # the link, silent for as long, is made again
    node.interpreter.value(A, b"page")
    assert balancer.response(asked) == b"page"


PARTIAL_REQUESTS = {
    "half a large request": msgpack.packb([0, 2, "preview", [{"note": "x" * 5000}, b"page"]])[:4000],
    "very many short fields": b"\x94\x00\x02\xa7preview\x92" + (b"\xdc\x00\x40" + b"\x90" * 64) * 115,
}


@pytest.mark.parametrize("handover", [False, True], ids=["one process", "in a handover"])
@pytest.mark.parametrize("partial", PARTIAL_REQUESTS.values(), ids=PARTIAL_REQUESTS)
def test_hundreds_of_partial_requests_stay_within_the_memory_limit(
    tmp_path: Path, partial: bytes, handover: bool
) -> None:
    """Elsewhere a process passed its limit with hundreds of clients that stopped half way."""
    with socket.create_server(("127.0.0.1", 0), backlog=CROWD) as listening:
        fd = listening.fileno()
        env = {"LB_ACCEPT_FD": str(fd), "TMPDIR": str(tmp_path)} if handover else {}
        with Program(tmp_path, env=env, fds=(fd,) if handover else ()) as node:
            node.interpreter.expect("CONNECT", "0")
            address = f"127.0.0.1:{listening.getsockname()[1]}" if handover else node.address
            crowd = [Balancer(address) for _ in range(CROWD)]
            for client in crowd:
                client.call("ping", [{}])
                client.sock.sendall(partial)
            good = Balancer(address)
            assert good.response(good.call("ping", [{}])) is True
            if handover:
                node.terminate()
                assert good.read() == [2, "goaway", []]
            status = Path(f"/proc/{node.process.pid}/status").read_text()
    # Both processes of a handover share the limit.
    limit_kb = node.config["limits"]["memory_mb"] * 1024 // (2 if handover else 1)
    assert int(status.split("VmHWM:")[1].split()[0]) < limit_kb
