"""The configuration files of a node process: the platform's JSON and the operator's TOML.

The addresses in the files lead through fault-injection proxies where a link has one. The seed of each process
is drawn from the run's random generator, in the order in which processes start.
"""

from __future__ import annotations

import random
from typing import Any, NamedTuple

from spindlerelay.testbed.cluster.spec import PROXIED_PORT_OFFSET, SERVICE, ClusterSpec
from spindlerelay.testbed.fault_injection.fault_schedule import MEMBERSHIP_LINK
from spindlerelay.testbed.fault_injection.link_proxy import LinkProxies
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.models.machine import MachineSpec

SEED_COUNT = 3  # the first nodes of the cluster are the gossip seeds of every node

Address = tuple[str, int]


class PeerAddresses(NamedTuple):
    """Addresses of the services that all nodes share.

    Attributes:
        store: address of the store.
        announce: address of the announce service.
        agent: address of the Consul agent; None without a catalogue.
        dependents: name and address of each dependency.
    """

    store: Address
    announce: Address
    agent: Address | None = None
    dependents: tuple[tuple[str, Address], ...] = ()


class NodeIdentity(NamedTuple):
    """Values of a node that enter its configuration; the addresses are those behind any proxies."""

    name: str
    machine: MachineSpec
    listen: Address
    interpreter: Address


def _host_and_port(address: Address) -> str:
    return "{}:{}".format(*address)


class NodeConfiguration:
    """Creates the configuration of the nodes of a cluster."""

    def __init__(
        self, spec: ClusterSpec, peers: PeerAddresses, proxies: LinkProxies, rng: random.Random
    ) -> None:
        self._spec = spec
        self._peers = peers
        self._proxies = proxies
        self._rng = rng
        self._capacity = spec.capacity_per_s()
        self._numbers = {name: number for number, name in enumerate(spec.node_names())}

    def balancer_address(self, node: NodeIdentity) -> Address:
        """Return the address that balancers connect to: that of the node or of a proxy."""
        return self._proxies.address(node.name, "balancers", node.listen)

    def platform_config(self, node: NodeIdentity) -> dict[str, Any]:
        """Return the platform's configuration object for a new process of the node."""
        settings = traffic.node_settings(
            node.machine,
            len(self._spec.nodes),
            len(self._spec.balancers),
            self._capacity,
            self._spec.store_spec().slots,
            self._spec.classes,
        )
        interpreter = self._proxies.address(node.name, "interpreter", node.interpreter)
        store = self._proxies.address(node.name, "store", self._peers.store)
        announce = self._proxies.address(node.name, "announce", self._peers.announce)
        return {
            "name": node.name,
            "listen": _host_and_port(node.listen),
            "vm": _host_and_port(interpreter),
            "store": _host_and_port(store),
            "announce": _host_and_port(announce),
            "seed": f"{self._rng.getrandbits(64):016x}",
            "stop_ms": self._spec.stop_timeout_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
            "settings": settings,
        }

    def operator_config(self, node: NodeIdentity) -> str:
        """Return the operator's TOML for the node; empty if the node has no operator's file."""
        if node.name in self._spec.without_operator_config:
            return ""
        text = self._spec.operator_config.replace("{name}", node.name)
        if self._spec.uses_membership:
            text += self._membership_table(node)
        addresses = dict(self._peers.dependents)
        for dependency in self._spec.dependencies:
            address = _host_and_port(addresses[dependency.name])
            text += (
                f'[[dependency]]\nname = "{dependency.name}"\naddress = "{address}"\n{dependency.toml_keys}\n'
            )
        if self._spec.dependencies:
            text = '[metrics]\nevery = "1s"\n' + text
        if self._peers.agent:
            text += f'[consul]\naddress = "{_host_and_port(self._peers.agent)}"\nservice = "{SERVICE}"\n'
            text += f'ttl_ms = {self._spec.check_ttl_ms}\n[consul.meta]\nkind = "{node.machine.kind}"\n'
        return text

    def _membership_table(self, node: NodeIdentity) -> str:
        """Return the ``[log]`` and ``[membership]`` tables.

        The node listens on its public address. Where the membership link has a proxy, the proxy listens on
        the public address and the node on a higher port.
        """
        member_address = self._spec.member_address
        public_address = listen = member_address(self._numbers[node.name])
        if (node.name, MEMBERSHIP_LINK) in self._proxies.proxied_links:
            listen = public_address[0], public_address[1] + PROXIED_PORT_OFFSET
            self._proxies.address(node.name, MEMBERSHIP_LINK, listen, public_address)
        seeds = [member_address(number) for number in range(min(SEED_COUNT, len(self._spec.nodes)))]
        values = {
            "listen": _host_and_port(listen),
            "advertise": _host_and_port(public_address),
            "cluster": "stage",
        }
        lines = [f'{key} = "{value}"' for key, value in values.items()]
        lines.append("seeds = [{}]".format(", ".join(f'"{_host_and_port(seed)}"' for seed in seeds)))
        lines.append(f"weigh = {str(self._spec.uses_load_weights).lower()}")
        return '[log]\nlevel = "DEBUG"\n[membership]\n' + "\n".join(lines) + "\n"
