"""Codec of the agent's HTTP API, for the registration and the endpoint watcher.

The API is version 1 of Consul's HTTP API (agent/service, agent/check, health). The module does no I/O.
Responses are untrusted: a response without the documented structure is decoded as a ``Result`` other than
OK, or as None, and never raises.
"""

from __future__ import annotations

from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import ujson

from spindlerelay.consul.registration_events import (
    AgentRequest,
    Operation,
    RegisteredService,
    RequestCompleted,
    Result,
)
from spindlerelay.transport.http_client import HttpFailure, HttpRequest, HttpResponse

MIN_WARNING_WEIGHT = 1  # the agent rejects weights under 1
MAX_DETAIL_CHARS = 100  # limits the part of the agent's response that is logged
MAX_INSTANCES = 4096  # limits the decoded instances of one service
MAX_INDEX_DIGITS = 20
MAX_PORT = 65535
HEALTH_STATUSES = (200, 429, 503)  # a health query answers passing, warning and critical with these codes
RESULTS = {401: Result.DENIED, 403: Result.DENIED, 404: Result.ABSENT, 429: Result.BUSY}
# Texts of responses with status 500 from an agent that does not know the check or the service (any more).
LOST_STATE_MESSAGES = ("Unknown check", "does not have associated TTL", "Unknown service")


class ServiceDefinition(NamedTuple):
    """The properties of the service that are constant while the process runs; times are in ms."""

    service: str
    service_id: str
    host: str
    port: int
    instance_id: str
    ttl_ms: float
    deregister_after_ms: float
    tags: tuple[str, ...] = ()
    meta: tuple[tuple[str, str], ...] = ()

    @property
    def check_id(self) -> str:
        """Return the id of the service's check."""
        return f"service:{self.service_id}"


class ServiceInstance(NamedTuple):
    """An instance of a service in the catalogue.

    Attributes:
        id: service id of the instance.
        address: host and port of the instance.
        status: worst status of its checks: passing, warning or critical.
        weight: weight of the instance in this status.
    """

    id: str
    address: tuple[str, int]
    status: str
    weight: int


class QueryResult(NamedTuple):
    """The result of a blocking query: the index for the next query, and the instances of the service."""

    next_index: int
    instances: tuple[ServiceInstance, ...]


def go_duration(ms: float) -> str:
    """Return a duration in Go's syntax, for example ``15s`` for 15000.0 ms."""
    return f"{ms / 1000:.0f}s" if ms % 1000 == 0 else f"{ms:.0f}ms"


# Requests of the registration


def encode_request(request: AgentRequest, service: ServiceDefinition, token: str) -> HttpRequest:
    """Return the HTTP request for an agent request."""
    headers = _headers(token)
    service_id = quote(service.service_id, safe="")
    match request.operation:
        case Operation.READ:
            return HttpRequest("GET", f"/v1/agent/health/service/id/{service_id}", headers)
        case Operation.UPDATE:
            body = _encode_json({"Status": request.status, "Output": request.output})
            check_id = quote(service.check_id, safe="")
            return HttpRequest("PUT", f"/v1/agent/check/update/{check_id}", headers, body)
        case Operation.DEREGISTER:
            return HttpRequest("PUT", f"/v1/agent/service/deregister/{service_id}", headers)
        case Operation.REGISTER:
            body = _encode_json(_registration(request, service))
            return HttpRequest("PUT", "/v1/agent/service/register", headers, body)


def _registration(request: AgentRequest, service: ServiceDefinition) -> dict[str, Any]:
    passing, warning = request.weights
    return {
        "ID": service.service_id,
        "Name": service.service,
        "Tags": list(service.tags),
        "Address": service.host,
        "Port": service.port,
        "Meta": {**dict(service.meta), "instance": service.instance_id},
        "Weights": {"Passing": passing, "Warning": max(MIN_WARNING_WEIGHT, warning)},
        "Check": {
            "CheckID": service.check_id,
            "Name": f"{service.service} by its own report",
            "TTL": go_duration(service.ttl_ms),
            "Status": "critical",
            "DeregisterCriticalServiceAfter": go_duration(service.deregister_after_ms),
        },
    }


def decode_response(request: AgentRequest, response: HttpResponse | HttpFailure) -> RequestCompleted:
    """Return the outcome of a request."""
    operation = request.operation
    if isinstance(response, HttpFailure):
        return RequestCompleted(operation, Result(response.kind), response.detail)
    status = response.status
    text = response.body[:MAX_DETAIL_CHARS].decode("utf-8", "replace").replace("\n", " ").strip()
    detail = f"{status} {text}"
    if operation is Operation.READ and status in HEALTH_STATUSES:
        if service := _registered_service(response.body):
            return RequestCompleted(operation, Result.OK, "", service)
        return RequestCompleted(operation, Result.MALFORMED if status == 200 else Result.BUSY, detail)
    if status == 200:
        return RequestCompleted(operation, Result.OK)
    if status >= 500 and any(message in text for message in LOST_STATE_MESSAGES):
        return RequestCompleted(operation, Result.ABSENT, text)
    return RequestCompleted(operation, RESULTS.get(status, Result.ERROR), detail)


def _registered_service(body: bytes) -> RegisteredService | None:
    tree = _parse_json(body)
    if isinstance(tree, list) and tree:
        tree = tree[0]
    if not isinstance(tree, dict) or not isinstance(tree.get("Service"), dict):
        return None
    service = tree["Service"]
    meta = service.get("Meta")
    status = str(tree.get("AggregatedStatus", ""))
    maintenance = status == "maintenance" or any(map(_is_maintenance, _check_ids(tree.get("Checks"))))
    instance_id = str(meta.get("instance", "")) if isinstance(meta, dict) else ""
    address = f"{service.get('Address', '')}:{service.get('Port', 0)}"
    return RegisteredService(instance_id, address, "critical" if maintenance else status, maintenance)


def _check_ids(checks: Any) -> list[str]:
    if not isinstance(checks, list):
        return []
    return [str(check.get("CheckID", "")) for check in checks if isinstance(check, dict)]


def _is_maintenance(check_id: str) -> bool:
    return check_id == "_node_maintenance" or check_id.startswith("_service_maintenance:")


# Queries of the endpoint watcher


def encode_blocking_query(service_name: str, index: int, wait_ms: float, token: str) -> HttpRequest:
    """Return a blocking query for the instances of a service; with index 0 the query does not block."""
    path = f"/v1/health/service/{quote(service_name, safe='')}"
    if index:
        path += "?" + urlencode({"index": str(index), "wait": go_duration(wait_ms)})
    return HttpRequest("GET", path, _headers(token))


def decode_blocking_query(response: HttpResponse) -> QueryResult | None:
    """Return index and instances, or None if the response does not have the documented structure."""
    index = response.headers.get("x-consul-index", "")
    tree = _parse_json(response.body)
    if response.status != 200 or not isinstance(tree, list):
        return None
    if not index.isdigit() or len(index) > MAX_INDEX_DIGITS:
        return None
    try:
        instances = [_instance(item) for item in tree[:MAX_INSTANCES]]
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    return QueryResult(int(index), tuple(sorted(instance for instance in instances if instance)))


def _instance(item: dict[str, Any]) -> ServiceInstance | None:
    service = item["Service"]
    statuses = {str(check["Status"]) for check in item["Checks"]}
    status = next((severe for severe in ("critical", "warning") if severe in statuses), "passing")
    weights = service.get("Weights") or {}
    weight = int(weights.get("Warning" if status == "warning" else "Passing", 1))
    host = str(service.get("Address") or item["Node"]["Address"])
    port = int(service["Port"])
    if not 0 < port <= MAX_PORT:
        return None
    return ServiceInstance(str(service["ID"]), (host, port), status, max(0, weight))


def _headers(token: str) -> tuple[tuple[str, str], ...]:
    return (("X-Consul-Token", token),) if token else ()


def _encode_json(value: Any) -> bytes:
    return ujson.dumps(value, escape_forward_slashes=False).encode()


def _parse_json(body: bytes) -> Any:
    try:
        return ujson.loads(body)
    except (ValueError, RecursionError):
        return None
