"""The specification of a cluster run, which is the same for one process and for several."""

from __future__ import annotations

from typing import NamedTuple

from spindlerelay.testbed.fault_injection.fault_schedule import Fault
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.models.balancer import BalancerProfile
from spindlerelay.testbed.models.dependency_faults import DependencyFault
from spindlerelay.testbed.models.dependents import EmulatedDependency
from spindlerelay.testbed.models.machine import MachineSpec
from spindlerelay.testbed.models.store import StoreSpec

TICK_MS = 5.0  # interval between ticks of the models
MAX_TICK_DELAY_MS = 15.0  # longer delays of a tick are excluded from the nodes' time limits
START_TIMEOUT_MS = 15_000.0  # timeout for the start of all nodes of a cluster in one process
SERVICE = "render"
LOOPBACK = ("127.0.0.1", 0)
MEMBER_PORT = 7400  # first UDP port for membership datagrams
PROXIED_PORT_OFFSET = 100  # distance from the port of a proxy to the port of the node behind it
MEMBERS_PER_PORT = 250  # number of nodes on one port of a loopback network
NETWORKS = 62_000  # number of distinct loopback networks for runs

STORE_LOAD_MARGIN = 1.2  # the store is sized for this multiple of the calls of a fleet at capacity
STORE_SLOT_MARGIN = 1.5  # number of slots over the mean number of busy slots at that load
MIN_STORE_SLOTS = 3


class ClusterSpec(NamedTuple):
    """The specification of one cluster run.

    Attributes:
        seed: seed of the run's random generators.
        nodes: machine of each node.
        phases: phases of the load over time.
        balancers: profile of each balancer.
        uses_catalogue: whether every node registers with the Consul catalogue.
        without_operator_config: names of the nodes that get no operator's file.
        endpoint_source: source of the endpoint list, ``announce`` or ``catalogue``.
        check_ttl_ms: TTL of the nodes' Consul checks.
        stop_timeout_ms: time that a node has to shut down after SIGTERM.
        cold_start: whether machines start cold.
        dependencies: the dependencies of the nodes; empty for a single store.
        dependency_faults: faults of dependencies, with the name of the dependency.
        classes: the request classes.
        launcher: module that starts a node process, and its arguments.
        balancer_weights: relative share of requests of each balancer; equal shares if empty.
        requests: the request stream; empty for a stream drawn from the seed and the phases.
        working_tree: working tree of another revision whose nodes are started; empty for this one.
        operator_config: TOML text in every node's operator's file; ``{name}`` is replaced by the node's name.
        faults: faults that the shards of a cluster in several processes inject.
        synchronized_start: whether all interpreters come up at the same time; only in a cluster in several
            processes.
        uses_membership: whether nodes exchange gossip; the record of a cluster in several processes then has
            the membership views from the nodes' logs.
        uses_load_weights: whether nodes with membership set their load weights by it.
        network_number: number of the loopback network of the nodes' membership addresses, which is set at the
            start of a run so that concurrent runs have different addresses.
    """

    seed: int = 1
    nodes: tuple[MachineSpec, ...] = ()
    phases: tuple[traffic.Phase, ...] = ()
    balancers: tuple[BalancerProfile, ...] = (
        BalancerProfile(),
        BalancerProfile("least"),
        BalancerProfile("round", honours_backpressure=False),
    )
    uses_catalogue: bool = False
    without_operator_config: frozenset[str] = frozenset()
    endpoint_source: str = "announce"
    check_ttl_ms: int = 3000
    stop_timeout_ms: float = 4000.0
    cold_start: bool = False
    dependencies: tuple[EmulatedDependency, ...] = ()
    dependency_faults: tuple[tuple[str, DependencyFault], ...] = ()
    classes: tuple[traffic.ClassSpec, ...] = traffic.CLASSES
    launcher: tuple[str, ...] = ("spindlerelay",)
    balancer_weights: tuple[float, ...] = ()
    requests: tuple[traffic.Request, ...] = ()
    working_tree: str = ""
    operator_config: str = ""
    faults: tuple[Fault, ...] = ()
    synchronized_start: bool = False
    uses_membership: bool = False
    uses_load_weights: bool = True
    network_number: int = 0

    def draw_requests(self) -> list[traffic.Request]:
        """Return the request stream of the run, which is the same in every process."""
        return list(
            self.requests
            or traffic.draw_requests(self.seed, self.phases, self.capacity_per_s(), self.classes)
        )

    def capacity_per_s(self) -> float:
        """Return the fleet's capacity in requests per second."""
        return traffic.fleet_capacity_per_s(list(self.nodes))

    def member_address(self, number: int) -> tuple[str, int]:
        """Return the loopback address on which a node receives membership datagrams."""
        network = self.network_number % NETWORKS
        host = f"127.{1 + network % MEMBERS_PER_PORT}.{network // MEMBERS_PER_PORT}"
        return f"{host}.{1 + number % MEMBERS_PER_PORT}", MEMBER_PORT + number // MEMBERS_PER_PORT

    def node_names(self) -> list[str]:
        """Return the names of the nodes."""
        return [f"n{number + 1}" for number in range(len(self.nodes))]

    def length_ms(self, requests: list[traffic.Request]) -> float:
        """Return the duration of the request stream."""
        return max(
            sum(phase.length_ms for phase in self.phases), requests[-1].arrival_ms if requests else 0.0
        )

    def store_spec(self) -> StoreSpec:
        """Return the specification of the shared store, with slots for a fleet at capacity and a margin."""
        calls = self.capacity_per_s() * STORE_LOAD_MARGIN * StoreSpec().call_ms / 1000.0
        return StoreSpec(slots=max(MIN_STORE_SLOTS, round(calls * STORE_SLOT_MARGIN)))


def fleet(count: int, warm_up_ms: float) -> tuple[MachineSpec, ...]:
    """Return machines in the proportion of the production fleet: two old-six to one new-six."""
    new = MachineSpec("new-six", speed=1.3, cold_speed_fraction=0.3, warm_up_ms=warm_up_ms)
    old = MachineSpec("old-six", speed=0.72, cold_speed_fraction=0.28, warm_up_ms=warm_up_ms)
    return tuple(new if number % 3 == 2 else old for number in range(count))


def small_fleet(count: int, warm_up_ms: float) -> tuple[MachineSpec, ...]:
    """Return the machines of ``fleet`` with two cores each, so that one computer can emulate hundreds."""
    return tuple(
        machine._replace(kind=machine.kind.replace("six", "two"), cores=2, memory_kb=machine.memory_kb / 3.0)
        for machine in fleet(count, warm_up_ms)
    )
