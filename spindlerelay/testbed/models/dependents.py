"""Dependencies of the emulated fleet, and the calls that requests make to them.

A call is routed by the prefix of its body. Bodies repeat (tariff zones often, archive pages rarely), so that
a cached response can answer a later call. The module has no I/O and no clock.
"""

from __future__ import annotations

from typing import NamedTuple

from spindlerelay.testbed.models.store import StoreSpec
from spindlerelay.testbed.models.traffic import CLASSES, ClassSpec, Request

TARIFF_ZONES = 24
ARCHIVE_PAGES = 100_000
ARCHIVE, TARIFF = "archive", "tariff"
SLOTS_PER_NODE = 3  # slots of each dependency per node of the fleet
CALL_MS = 60.0
CALL_BUDGET = 4  # concurrent calls per node
# Classes whose responses show prices. An order is not among them: it was priced before it was placed.
PRICED_CLASSES = ("preview", "proof")
PARTIAL_RESPONSE_WEIGHT = 0.5  # partial response weight of a response without prices


class EmulatedDependency(NamedTuple):
    """One dependency: its model, and the keys of its ``[[dependency]]`` table except the name and address."""

    name: str
    spec: StoreSpec
    toml_keys: str


def classes_with_prices(priced: tuple[str, ...] = PRICED_CLASSES) -> tuple[ClassSpec, ...]:
    """Return the default classes, changed so that each priced class calls the tariff service first."""
    return tuple(
        cls._replace(mean_calls=max(1.0, cls.mean_calls), partial_response_weight=PARTIAL_RESPONSE_WEIGHT)
        if cls.name in priced
        else cls
        for cls in CLASSES
    )


def archive_and_tariff(
    nodes: int, priced: tuple[str, ...] = PRICED_CLASSES
) -> tuple[EmulatedDependency, ...]:
    """Return the archive, which every order needs, and the tariff service, sized for a fleet."""
    spec = StoreSpec(slots=SLOTS_PER_NODE * nodes, call_ms=CALL_MS)
    capacity = f"capacity = {spec.slots * spec.crash_multiple:.0f}"
    limits = f'budget = {CALL_BUDGET}\ntimeout = "2s"\n{capacity}\nfallback = ["skip"]\n'
    routes = [f'{{ class = "{name}", prefix = "tariff " }}' for name in priced]
    if "proof" in priced:  # a proof calls no other dependency, so its route needs no prefix
        routes.append('{ class = "proof" }')
    partial = ", ".join(f"{name} = {PARTIAL_RESPONSE_WEIGHT}" for name in priced)
    archive_routes = 'routes = [{ class = "order" }, { class = "preview" }]\n'
    return (
        EmulatedDependency(
            ARCHIVE,
            spec,
            f"{archive_routes}partial = {{ preview = {PARTIAL_RESPONSE_WEIGHT} }}\n" + limits,
        ),
        EmulatedDependency(
            TARIFF, spec, f"routes = [{', '.join(routes)}]\npartial = {{ {partial} }}\n" + limits
        ),
    )


def call_body(request: Request, number: int) -> bytes:
    """Return the body of a request's call ``number``, from 1; call 1 of a priced class is a tariff call."""
    if request.cls.name in PRICED_CLASSES and number == 1:
        return b"tariff zone %d" % (request.number % TARIFF_ZONES)
    return b"page %d of %d" % (number, request.number % ARCHIVE_PAGES)
