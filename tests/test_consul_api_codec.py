"""Codec of the agent's API and the roster's rules, as tables; and the stand-in agent under a foreign
client."""

from __future__ import annotations

import consul
import pytest
import ujson

from spindlerelay.consul import api_codec, endpoint_watcher
from spindlerelay.consul.registration_events import AgentRequest, Operation, RegisteredService
from spindlerelay.testbed.models.catalogue import BlockingQuery, ConsulCatalogue, HttpReply, parse_duration_ms
from spindlerelay.transport.http_client import HttpFailure, HttpResponse
from tests.agents import Threaded

ENTRY = api_codec.ServiceDefinition(
    "render", "n/1", "127.0.0.1", 4100, "ab12", 10_000.0, 90_500.0, ("t",), (("site", "x"),)
)
LOOK = AgentRequest(Operation.READ, 100.0)


def answer(status: int, body: bytes, **headers: str) -> HttpResponse:
    return HttpResponse(status, {k.replace("_", "-"): v for k, v in headers.items()}, body)


def look(state: str, *checks: str, **service: object) -> bytes:
    told = {"ID": "n1", "Address": "127.0.0.1", "Port": 4100, "Meta": {"instance": "ab12"}} | service
    rows = [{"CheckID": check} for check in checks]
    return ujson.dumps({"AggregatedStatus": state, "Service": told, "Checks": rows}).encode()


def test_registration_request_starts_critical_and_has_all_fields() -> None:
    request = api_codec.encode_request(
        AgentRequest(Operation.REGISTER, 1.0, weights=(140, 50)), ENTRY, "secret"
    )
    told = ujson.loads(request.body)
    assert (request.method, request.path) == ("PUT", "/v1/agent/service/register")
    assert ("X-Consul-Token", "secret") in request.headers
    assert told["Check"]["Status"] == "critical" and told["Check"]["TTL"] == "10s"
    assert told["Check"]["DeregisterCriticalServiceAfter"] == "90500ms"
    assert told["Weights"] == {"Passing": 140, "Warning": 50}
    assert told["Meta"] == {"site": "x", "instance": "ab12"}


@pytest.mark.parametrize(
    ("op", "method", "path"),
    [
        (Operation.READ, "GET", "/v1/agent/health/service/id/n%2F1"),
        (Operation.UPDATE, "PUT", "/v1/agent/check/update/service%3An%2F1"),
        (Operation.DEREGISTER, "PUT", "/v1/agent/service/deregister/n%2F1"),
    ],
)
def test_quotes_ids_in_paths(op: Operation, method: str, path: str) -> None:
    request = api_codec.encode_request(AgentRequest(op, 1.0, "passing", "x"), ENTRY, "")
    assert (request.method, request.path, request.headers) == (method, path, ())


MINE = RegisteredService("ab12", "127.0.0.1:4100", "passing", False)


@pytest.mark.parametrize(
    ("ended", "end", "found"),
    [
        (answer(200, look("passing", "service:n1")), "ok", MINE),
        (answer(429, look("warning")), "ok", MINE._replace(status="warning")),
        (answer(503, look("critical")), "ok", MINE._replace(status="critical")),
        (answer(503, look("maintenance")), "ok", MINE._replace(status="critical", maintenance=True)),
        (
            answer(503, look("critical", "_service_maintenance:n1")),
            "ok",
            MINE._replace(status="critical", maintenance=True),
        ),
        (answer(200, look("passing", Meta=None)), "ok", MINE._replace(instance_id="")),
        (answer(429, b"rate limit"), "busy", None),
        (answer(503, b"<html>"), "busy", None),
        (answer(200, b"[1]"), "garbled", None),
        (answer(200, b"[" * 5000), "garbled", None),
        (answer(404, b"not found"), "absent", None),
        (answer(403, b"Permission denied"), "denied", None),
        (answer(500, b"No cluster leader"), "error", None),
        (answer(500, b'Unknown check "service:n1"'), "absent", None),
        (HttpFailure("timeout"), "timeout", None),
        (HttpFailure("refused"), "refused", None),
    ],
)
def test_decodes_each_response_to_a_read(
    ended: HttpResponse | HttpFailure, end: str, found: RegisteredService | None
) -> None:
    told = api_codec.decode_response(LOOK, ended)
    assert (told.result.value, told.service) == (end, found)


def row(sid: str = "n1", port: object = 4100, *statuses: str, **more: object) -> dict[str, object]:
    service = {"ID": sid, "Address": "127.0.0.1", "Port": port, "Weights": {"Passing": 100, "Warning": 25}}
    checks = [{"Status": status} for status in statuses]
    return {"Node": {"Address": "127.0.0.9"}, "Service": service | more, "Checks": checks}


@pytest.mark.parametrize(
    ("body", "index", "nodes"),
    [
        ([row("n1", 4100, "passing")], "7", [("n1", "passing", 100)]),
        ([row("n1", 4100, "passing", "warning")], "7", [("n1", "warning", 25)]),
        ([row("n1", 4100, "warning", "critical")], "7", [("n1", "critical", 100)]),
        ([row("n1", 0, "passing")], "7", []),
        ([row("n1", "x", "passing")], "7", None),
        ([{"Service": 3}], "7", None),
        ({}, "7", None),
        ([], "-3", None),
        ([], "", None),
        ([], "9" * 30, None),
    ],
)
def test_decodes_blocking_query_completely_or_not_at_all(
    body: object, index: str, nodes: list[object] | None
) -> None:
    told = api_codec.decode_blocking_query(answer(200, ujson.dumps(body).encode(), x_consul_index=index))
    assert (told and [(n.id, n.status, n.weight) for n in told[1]]) == nodes


def instance(name: str, status: str = "passing", weight: int = 100) -> api_codec.ServiceInstance:
    return api_codec.ServiceInstance(name, ("127.0.0.1", 1), status, weight)


def test_lower_index_restarts_from_zero_and_retains_missing_instances() -> None:
    roster, both = endpoint_watcher.EndpointList(), (instance("a"), instance("b"))
    assert roster.update(0.0, 50, both) and roster.index == 50
    assert not roster.update(1.0, 50, both)
    assert not roster.update(2.0, 3, ()) and roster.index == 0  # a lost state, and nothing is lost by it
    assert not roster.update(3.0, 3, (instance("a"),)) and roster.index == 3
    assert len(roster.instances) == 2
    assert not roster.expire(2.0 + endpoint_watcher.RETENTION_MS - 1)
    assert roster.expire(2.0 + endpoint_watcher.RETENTION_MS) and [n.id for n in roster.instances] == ["a"]
    assert roster.update(9000.0, 4, ()) and not list(
        roster.instances
    )  # an honest removal takes effect at once


def test_first_query_and_query_after_a_failure_have_no_index() -> None:
    roster = endpoint_watcher.EndpointList()
    assert "index" not in api_codec.encode_blocking_query("render", roster.index, 1000.0, "").path
    roster.update(0.0, 12, ())
    assert "index=12&wait=1s" in api_codec.encode_blocking_query("render", roster.index, 1000.0, "").path
    roster.reset()
    assert roster.index == 0


# The stand-in agent


def test_independent_client_works_with_the_emulated_agent() -> None:
    agent = Threaded(token="t0")
    try:
        client = consul.Consul(host=agent.address[0], port=agent.address[1], token="t0")
        check = consul.Check.ttl("10s")
        client.agent.service.register(
            "render", service_id="x1", address="127.0.0.1", port=9, tags=["a"], check=check
        )
        assert client.agent.services()["x1"]["Port"] == 9
        index, rows = client.health.service("render")
        assert rows[0]["Checks"][0]["Status"] == "critical" and int(index) > 0
        client.agent.check.ttl_pass("service:x1", "fine")
        assert client.health.service("render", passing=True)[1][0]["Service"]["ID"] == "x1"
        assert client.agent.checks()["service:x1"]["Output"] == "fine"
        assert client.catalog.service("render")[1][0]["ServiceID"] == "x1"
        assert client.status.leader()
        client.agent.service.maintenance("x1", "true", "works")
        assert client.health.service("render", passing=True)[1] == []
        index = client.health.service("render")[0]
        assert (
            client.health.service("render", index=index, wait="1s")[0] == index
        )  # blocked, and nothing came
        client.agent.service.deregister("x1")
        assert client.agent.services() == {}
        other = consul.Consul(host=agent.address[0], port=agent.address[1], token="bad")
        with pytest.raises(consul.ACLPermissionDenied):
            other.agent.services()
    finally:
        agent.close()


def put(model: ConsulCatalogue, now: float, path: str, told: object) -> int:
    reply = model.handle(now, "PUT", f"/v1/agent/{path}", {}, "", ujson.dumps(told).encode())
    assert isinstance(reply, HttpReply)
    return reply.status


def entry(**more: object) -> dict[str, object]:
    check = {"TTL": "10s", "Status": "passing", "DeregisterCriticalServiceAfter": "1m"}
    return {"Name": "render", "ID": "a", "Port": 1, "Check": check} | more


def test_emulated_check_expires_and_critical_service_is_reaped() -> None:
    model = ConsulCatalogue(0.0)
    assert put(model, 0.0, "service/register", entry()) == 200
    model.advance(9_999.0)
    assert model.instance_state("a") == "passing"
    model.advance(10_000.0)
    assert model.instance_state("a") == "critical" and model.checks["service:a"].output == "TTL expired"
    model.advance(69_000.0)
    assert model.instance_state("a") == "critical"
    model.advance(70_000.0)
    assert model.instance_state("a") == "absent"


def test_second_registration_keeps_status_and_wakes_blocking_query() -> None:
    model = ConsulCatalogue(0.0)
    put(model, 0.0, "service/register", entry())
    index = model.service_index["render"]
    query = {"index": str(index), "wait": "10s"}
    assert isinstance(model.handle(1.0, "GET", "/v1/health/service/render", query, "", b""), BlockingQuery)
    put(model, 2.0, "service/register", entry(Weights={"Passing": 5, "Warning": 2}))
    assert model.instance_state("a") == "passing" and model.service_index["render"] > index
    assert isinstance(model.handle(3.0, "GET", "/v1/health/service/render", query, "", b""), HttpReply)


@pytest.mark.parametrize(
    ("path", "told", "status"),
    [
        ("service/register", entry(Name=""), 400),
        ("service/register", entry(Weights={"Passing": 0, "Warning": 1}), 400),
        ("service/register", entry(Check={"TTL": "soon"}), 400),
        ("service/register", entry(Check={"TTL": "1s", "Status": "well"}), 400),
        ("check/update/service:z", {"Status": "passing"}, 404),
        ("service/deregister/z", {}, 404),
        ("service/maintenance/z", {}, 404),
        ("nothing/here", {}, 404),
    ],
)
def test_emulated_agent_rejects_what_the_agent_rejects(path: str, told: object, status: int) -> None:
    assert put(ConsulCatalogue(0.0), 0.0, path, told) == status


def test_formats_go_durations() -> None:
    assert [parse_duration_ms(word) for word in ("10s", "1m30s", "250ms", "2h")] == [
        10_000,
        90_000,
        250,
        7_200_000,
    ]
    with pytest.raises(ValueError, match="invalid duration"):
        parse_duration_ms("10")
