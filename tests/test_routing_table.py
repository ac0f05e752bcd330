"""Checks of the operator's table of dependencies."""

from __future__ import annotations

import pytest

from spindlerelay.dependencies.routing_table import (
    DependencySpec,
    Route,
    RoutingTable,
    validate_for_node,
    validate_table,
)
from tests.scheduler_driver import ARCHIVE, PLAIN, SETTINGS, TARIFF


def with_tariff(tariff: DependencySpec) -> RoutingTable:
    return RoutingTable((ARCHIVE, tariff))


@pytest.mark.parametrize(
    ("bad", "key", "words"),
    [
        (with_tariff(TARIFF._replace(name="archive")), "dependency.1.name", "duplicate name 'archive'"),
        (with_tariff(TARIFF._replace(name="skip")), "dependency.1.name", "reserved word of fallback"),
        (
            with_tariff(TARIFF._replace(routes=(Route("preview"),))),
            "dependency.1.routes",
            "is already routed to 'archive'",
        ),
        (
            with_tariff(TARIFF._replace(routes=(Route("proof"),))),
            "dependency.1.routes",
            "unknown class 'proof'; expected one of: order",
        ),
        (
            with_tariff(TARIFF._replace(fallbacks=("tarif", "skip"))),
            "dependency.1.fallback",
            "unknown dependency 'tarif'; expected one of: kept, skip, archive",
        ),
        (
            with_tariff(TARIFF._replace(fallbacks=("skip", "archive"))),
            "dependency.1.fallback",
            "must be the last fallback",
        ),
        (
            with_tariff(TARIFF._replace(fallbacks=("archive", "archive", "skip"))),
            "dependency.1.fallback",
            "duplicate fallback",
        ),
        (with_tariff(TARIFF._replace(fallbacks=())), "dependency.1.partial", "require each other"),
        (
            with_tariff(TARIFF._replace(fallbacks=("kept", "skip"))),
            "dependency.1.kept_for",
            "require each other",
        ),
        (
            with_tariff(TARIFF._replace(partial_response_weights=(("order", 0.5),))),
            "dependency.1.partial",
            "is not idempotent, so it cannot have partial responses",
        ),
        (
            with_tariff(TARIFF._replace(partial_response_weights=(("preview", 0.0),))),
            "dependency.1.partial",
            "weight of class 'preview' must be above 0",
        ),
        (
            with_tariff(TARIFF._replace(max_concurrency=8, fleet_capacity=20.0)),
            "dependency.1.budget",
            "8 exceeds this node's share of 6.66667",
        ),
        (RoutingTable((TARIFF,)), "dependency", "class 'order' makes calls, but has no route"),
        (
            RoutingTable(
                (ARCHIVE._replace(fallbacks=("tariff",)), TARIFF._replace(fallbacks=("archive", "skip")))
            ),
            "dependency.0.fallback",
            "fallback cycle: archive to tariff to archive",
        ),
        (
            with_tariff(TARIFF._replace(fallbacks=("tariff", "skip"))),
            "dependency.1.fallback",
            "fallback cycle: tariff to tariff",
        ),
    ],
    ids=[
        "duplicate name",
        "reserved name",
        "duplicate route",
        "route of unknown class",
        "unknown fallback",
        "skip not last",
        "duplicate fallback",
        "partial without skip",
        "kept without age",
        "partial of a class with an effect",
        "partial without weight",
        "budget over the quota",
        "class without route",
        "loop of two",
        "loop of one",
    ],
)
def test_invalid_table_is_reported_with_its_key(bad: RoutingTable, key: str, words: str) -> None:
    found = validate_for_node(bad, SETTINGS)
    assert any(at == key and words in text for at, text in found), found
    assert not validate_for_node(PLAIN, SETTINGS) and not validate_table(PLAIN)
