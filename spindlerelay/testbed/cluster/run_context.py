"""Objects that the nodes and balancers of one process share."""

from __future__ import annotations

import random
from typing import NamedTuple

from spindlerelay.testbed.cluster.spec import ClusterSpec
from spindlerelay.testbed.cluster.workspace import Workspace
from spindlerelay.testbed.models import traffic
from spindlerelay.transport.event_loop import EventLoop


class RunContext(NamedTuple):
    """The shared objects of one process of a run.

    Attributes:
        loop: the event loop.
        workspace: starts node processes and allocates ports.
        spec: the specification of the run.
        requests: the request stream of the whole run.
        rng: the only random generator of the process.
    """

    loop: EventLoop
    workspace: Workspace
    spec: ClusterSpec
    requests: list[traffic.Request]
    rng: random.Random
