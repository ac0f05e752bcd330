"""State shared by the components of a node. It has no behaviour; each component documents what it changes."""

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
    """The state of one node. ``node.Node`` creates it and passes it by reference to its components."""

    loop: EventLoop
    settings: api.Settings
    admission: AdmissionPolicy
    duplicates: DuplicateRunGuard
    requests: RequestTable = field(default_factory=RequestTable)
    backends: BackendLinks = field(default_factory=BackendLinks)
    metrics: NodeMetrics = field(default_factory=NodeMetrics)
    front_ends: list[FrontEnd] = field(default_factory=list)
    # Events for the controller's next step. The list is cleared in place.
    pending_events: list[api.Event] = field(default_factory=list)
    started: bool = False  # whether the interpreter has been reached since the process started
    rejection_gate: RejectionGate | None = None
    rejected_count: int = 0  # rejections since the process started, not counting those while it drains
