"""The state that the parts of a node share. No behaviour: each part documents what it changes."""

from __future__ import annotations

from dataclasses import dataclass, field

from spindlerelay import api
from spindlerelay.node.backend_links import BackendLinks
from spindlerelay.node.duplicate_run_guard import DuplicateRunGuard
from spindlerelay.node.frontend import FrontEnd
from spindlerelay.node.metrics import NodeMetrics
from spindlerelay.node.protocols import AdmissionPolicy, RejectionGate
from spindlerelay.node.request import RequestTable
from spindlerelay.transport.event_loop import EventLoop


@dataclass(slots=True, eq=False)
class NodeContext:
    """Shared by reference; ``node.Node`` makes it."""

    loop: EventLoop
    settings: api.Settings
    admission: AdmissionPolicy
    duplicates: DuplicateRunGuard
    requests: RequestTable = field(default_factory=RequestTable)
    backends: BackendLinks = field(default_factory=BackendLinks)
    metrics: NodeMetrics = field(default_factory=NodeMetrics)
    front_ends: list[FrontEnd] = field(default_factory=list)
    pending_events: list[api.Event] = field(default_factory=list)  # for the next step; emptied in place
    started: bool = False  # the interpreter has been reached since the start
    rejection_gate: RejectionGate | None = None
    rejected_count: int = 0  # since the start, without those rejected while draining
