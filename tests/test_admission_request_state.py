"""The phases of a request, over streams of events of a modelled server."""

from __future__ import annotations

import pytest

from spindlerelay import api
from spindlerelay.admission.request_state import PHASE_TRANSITIONS, Phase, RequestState, RequestTable
from tests.driver import PLAIN
from tests.golden import decisions


def test_requests_change_phase_only_as_the_transition_table_lists(monkeypatch: pytest.MonkeyPatch) -> None:
    set_phase = RequestTable.set_phase
    seen: set[tuple[Phase, Phase]] = set()

    def recorded(self: RequestTable, request: RequestState, phase: Phase) -> None:
        seen.add((request.phase, phase))
        set_phase(self, request, phase)

    monkeypatch.setattr(RequestTable, "set_phase", recorded)
    for name in ("dependencies", "calls_fail", "retries", "keys"):
        decisions.stream(name)
    assert seen == {(phase, after) for phase, possible in PHASE_TRANSITIONS.items() for after in possible}


def test_requests_that_are_over_leave_nothing_behind_until_their_deadline() -> None:
    """Under a flood that was rejected, the heap grew by an entry a request for the length of a deadline."""
    table, popped = RequestTable(), list[int]()
    for number in range(20_000):
        event = api.RequestReceived(number, 0, remaining_ms=5000.0 - number % 7)
        request = RequestState.from_event(event, PLAIN, 0.0)
        table.add(request)
        if number % 1000:
            table.remove(request)
    assert len(table.by_id) == 20
    assert len(table._expirations) < 200
    while (expired := table.pop_expired(5000.0)) is not None:
        popped.append(expired.id)
        table.remove(expired)
    assert sorted(popped) == list(range(0, 20_000, 1000))
