"""The phases of a request, over streams of events of a modelled server."""

from __future__ import annotations

import pytest

from spindlerelay.admission.request_state import PHASE_TRANSITIONS, Phase, RequestState, RequestTable
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
