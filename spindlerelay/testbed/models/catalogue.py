"""Model of a Consul agent and its catalogue: the part that a registered service and its clients use.

The model follows the published HTTP API (agent/service, agent/check, agent/maintenance, health, catalog,
status; blocking queries; ACL tokens). It plays the agent and the only server at once, so that a registration
is visible in the catalogue immediately. Keys of JSON bodies are case-insensitive, as for the real agent. The
model has no I/O and no clock; times are ms.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any, NamedTuple

import ujson

UNITS_MS = {"ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
DEFAULT_WAIT_MS = 300_000.0  # default wait time of a blocking query
MAX_WAIT_MS = 600_000.0  # longest wait time of a blocking query
MIN_DEREGISTER_AFTER_MS = 60_000.0
STATUSES = ("passing", "warning", "critical")
SEVERITY = {"passing": 0, "warning": 1, "critical": 2, "maintenance": 3}
MAX_OUTPUT_LENGTH = 4096  # longest output of a check, in characters


class HttpReply(NamedTuple):
    """An HTTP response."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class BlockingQuery(NamedTuple):
    """A query that waits until the service's index differs from ``known_index`` or the time is ``until``."""

    service: str
    known_index: int
    until: float


class Service(NamedTuple):
    """A registered instance of a service."""

    id: str
    name: str
    address: str
    port: int
    tags: tuple[str, ...]
    meta: dict[str, str]
    weights: tuple[int, int]  # weight while passing, weight while in warning


class Check:
    """One check: a TTL check, or a maintenance mode check, which has no TTL."""

    def __init__(
        self, check_id: str, name: str, service: str, status: str, ttl_ms: float, deregister_after_ms: float
    ) -> None:
        self.id = check_id
        self.name = name
        self.service = service
        self.status = status
        self.ttl_ms = ttl_ms
        self.deregister_after_ms = deregister_after_ms
        self.output = ""
        self.expires = float("inf")
        self.critical_since = float("inf")

    def set(self, now: float, status: str, output: str) -> None:
        """Set the status and the output."""
        if status == "critical" and self.status != "critical":
            self.critical_since = now
        elif status != "critical":
            self.critical_since = float("inf")
        self.status = status
        self.output = output[:MAX_OUTPUT_LENGTH]


def parse_duration_ms(text: Any) -> float:
    """Return a Go duration such as ``10s`` or ``1m30s`` in ms; raise ValueError if it is malformed."""
    parts = re.findall(r"([0-9]+(?:\.[0-9]+)?)(ms|s|m|h)", str(text))
    if not parts or "".join(number_text + unit for number_text, unit in parts) != str(text):
        raise ValueError(f"time: invalid duration {text!r}")
    return sum(float(number_text) * UNITS_MS[unit] for number_text, unit in parts)


def _lower_keys(value: Any) -> Any:
    """Convert keys to lower case on all levels, except for the user-defined keys inside Meta."""
    if isinstance(value, dict):
        return {key.lower(): v if key.lower() == "meta" else _lower_keys(v) for key, v in value.items()}
    return [_lower_keys(item) for item in value] if isinstance(value, list) else value


def _json_reply(status: int, value: Any, *headers: tuple[str, str]) -> HttpReply:
    body = ujson.dumps(value, escape_forward_slashes=False).encode()
    return HttpReply(status, body, (("Content-Type", "application/json"), *headers))


class ConsulCatalogue:
    """The state of one agent since its start.

    ``fault`` is empty or one of ``refuse``, ``silent``, ``slow``, ``denied``, ``busy``, ``no_leader``,
    ``half``, ``huge`` and ``garbage``. The HTTP server carries out the faults that affect the connection.
    """

    def __init__(self, now: float, token: str = "") -> None:
        self.token = token
        self.now = now
        self.fault = ""
        self.services: dict[str, Service] = {}
        self.checks: dict[str, Check] = {}
        self.index = 10
        self.service_index: dict[str, int] = {}  # index of the last change, by service name
        self.history: list[tuple[float, str, str]] = []  # state changes: time, instance id, new state
        self._recorded_states: dict[str, str] = {}

    def reset(self) -> None:
        """Restart with an empty data directory; the index is reset, too."""
        self.services.clear()
        self.checks.clear()
        self.service_index.clear()
        self.index = 1
        self._record_changes(self.now)

    def instance_state(self, service_id: str) -> str:
        """Return the worst status of an instance's checks, or ``maintenance`` or ``absent``."""
        if service_id not in self.services:
            return "absent"
        return self.instance_states().get(service_id, "absent")

    def instance_states(self) -> dict[str, str]:
        """Return the state of each instance, in one pass over the checks."""
        states = dict.fromkeys(self.services, "passing")
        node_state = "passing"
        for check in self.checks.values():
            status = "maintenance" if _is_maintenance(check.id) else check.status
            if check.service == "":
                node_state = max(node_state, status, key=SEVERITY.__getitem__)
            elif check.service in states:
                states[check.service] = max(states[check.service], status, key=SEVERITY.__getitem__)
        return {
            service_id: max(status, node_state, key=SEVERITY.__getitem__)
            for service_id, status in states.items()
        }

    def advance(self, now: float) -> None:
        """Expire checks whose TTL has passed, and deregister instances that were critical for too long."""
        self.now = now
        for check in list(self.checks.values()):
            if now >= check.expires:
                check.expires = float("inf")
                check.set(now, "critical", "TTL expired")
                self._touch(check.service)
            if check.deregister_after_ms and now - check.critical_since >= check.deregister_after_ms:
                self._remove(check.service)
        self._record_changes(now)

    def handle(
        self, now: float, method: str, path: str, query: Mapping[str, str], token: str, body: bytes
    ) -> HttpReply | BlockingQuery:
        """Answer one request as the agent's API documents it; return a BlockingQuery if it has to wait."""
        self.advance(now)
        if failed := self._fault_reply():
            return failed
        required = self.token if not path.startswith("/v1/status/") else ""  # status endpoints need no token
        if required and (token or query.get("token", "")) != required:
            return HttpReply(403, b"Permission denied: token with AccessorID 'anonymous' lacks permission")
        try:
            reply = self._route(method, path.removeprefix("/v1/").split("/"), query, body)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            reply = HttpReply(400, f"Request decode failed: {error}".encode())
        self._record_changes(now)
        return reply

    def _fault_reply(self) -> HttpReply | None:
        match self.fault:
            case "denied":
                return HttpReply(403, b"Permission denied")
            case "busy":
                return HttpReply(
                    429, b"Your IP is issuing too many concurrent connections, please rate limit your calls"
                )
            case "no_leader":
                return HttpReply(500, b"No cluster leader")
            case "garbage":
                return HttpReply(200, b"\x00\xff<html>" * 20)
            case "huge":
                return HttpReply(200, b"[" + b'"x",' * (15 << 20) + b'"x"]')
        return None

    def _route(
        self, method: str, parts: list[str], query: Mapping[str, str], body: bytes
    ) -> HttpReply | BlockingQuery:
        reply: HttpReply | BlockingQuery | None = None
        if method == "PUT":
            reply = self._route_put(parts, query, body)
        elif method == "GET":
            reply = self._route_get(parts, query)
        return reply or HttpReply(404, b"")

    def _route_put(self, parts: list[str], query: Mapping[str, str], body: bytes) -> HttpReply | None:
        match parts:
            case ["agent", "service", "register"]:
                return self._register(_lower_keys(ujson.loads(body)))
            case ["agent", "service", "deregister", service_id]:
                if service_id not in self.services:
                    return HttpReply(404, f'Unknown service ID "{service_id}"'.encode())
                self._remove(service_id)
                return HttpReply(200, b"")
            case ["agent", "service", "maintenance", service_id]:
                return self._set_maintenance(service_id, query)
            case ["agent", "check", "update", check_id]:
                update = _lower_keys(ujson.loads(body))
                return self._update(check_id, str(update["status"]), str(update.get("output", "")))
            case ["agent", "check", ("pass" | "warn" | "fail") as verb, check_id]:
                status = {"pass": "passing", "warn": "warning", "fail": "critical"}[verb]
                return self._update(check_id, status, query.get("note", ""))
        return None

    def _route_get(self, parts: list[str], query: Mapping[str, str]) -> HttpReply | BlockingQuery | None:
        match parts:
            case ["agent", "services"]:
                return _json_reply(
                    200, {service_id: self._service_entry(s) for service_id, s in self.services.items()}
                )
            case ["agent", "checks"]:
                return _json_reply(
                    200, {check_id: self._check_entry(c) for check_id, c in self.checks.items()}
                )
            case ["agent", "health", "service", "id", service_id]:
                return self._instance_health(service_id)
            case ["health" | "catalog" as endpoint, "service", name]:
                return self._query_service(endpoint, name, query)
            case ["status", "leader"]:
                return _json_reply(200, "127.0.0.1:8300")
        return None

    def _register(self, request: dict[str, Any]) -> HttpReply:
        name = str(request.get("name") or "")
        if not name:
            return HttpReply(400, b"Missing service name")
        service_id = str(request.get("id") or name)
        weights = request.get("weights") or {}
        weight_pair = int(weights.get("passing", 1)), int(weights.get("warning", 1))
        if min(weight_pair) < 1:
            return HttpReply(400, b"Invalid Weights: passing and warning must be greater than 0")
        specs = [request["check"]] if request.get("check") else list(request.get("checks") or [])
        new_checks = [self._new_check(service_id, name, spec, number) for number, spec in enumerate(specs, 1)]
        self.services[service_id] = Service(
            service_id,
            name,
            str(request.get("address") or ""),
            int(request.get("port") or 0),
            tuple(map(str, request.get("tags") or ())),
            dict(request.get("meta") or {}),
            weight_pair,
        )
        for check in new_checks:
            existing = self.checks.get(check.id)
            if existing:  # a repeated registration keeps the state of the check
                check.status = existing.status
                check.output = existing.output
                check.critical_since = existing.critical_since
            check.expires = self.now + check.ttl_ms
            self.checks[check.id] = check
        self._touch(service_id)
        return HttpReply(200, b"")

    def _new_check(self, service_id: str, name: str, spec: dict[str, Any], number: int) -> Check:
        deregister_after = spec.get("deregistercriticalserviceafter")
        check = Check(
            str(
                spec.get("checkid")
                or (f"service:{service_id}" if number == 1 else f"service:{service_id}:{number}")
            ),
            str(spec.get("name") or f"Service '{name}' check"),
            service_id,
            "critical",
            parse_duration_ms(spec["ttl"]),
            max(MIN_DEREGISTER_AFTER_MS, parse_duration_ms(deregister_after)) if deregister_after else 0.0,
        )
        status = str(spec.get("status") or "critical")
        if status not in STATUSES:
            raise ValueError(f"Invalid check status {status!r}")
        check.status = status
        check.critical_since = self.now if status == "critical" else float("inf")
        return check

    def _update(self, check_id: str, status: str, output: str) -> HttpReply:
        check = self.checks.get(check_id)
        if check is None or not check.ttl_ms:
            return HttpReply(
                404, f'Unknown check ID "{check_id}". Ensure that the check ID is passed'.encode()
            )
        if status not in STATUSES:
            return HttpReply(400, f"Invalid check status: {status!r}".encode())
        changed = (check.status, check.output) != (status, output)
        check.set(self.now, status, output)
        check.expires = self.now + check.ttl_ms
        if changed:
            self._touch(check.service)
        return HttpReply(200, b"")

    def _set_maintenance(self, service_id: str, query: Mapping[str, str]) -> HttpReply:
        if service_id not in self.services:
            return HttpReply(404, f'Unknown service ID "{service_id}"'.encode())
        check_id = f"_service_maintenance:{service_id}"
        if query.get("enable") == "true":
            self.checks[check_id] = Check(
                check_id, "Service Maintenance Mode", service_id, "critical", 0.0, 0.0
            )
            self.checks[check_id].output = query.get("reason", "")
        else:
            self.checks.pop(check_id, None)
        self._touch(service_id)
        return HttpReply(200, b"")

    def _instance_health(self, service_id: str) -> HttpReply:
        state = self.instance_state(service_id)
        if state == "absent":
            return HttpReply(404, f"ServiceId {service_id} not found".encode())
        status = {"passing": 200, "warning": 429}.get(state, 503)
        checks = [self._check_entry(check) for check in self.checks.values() if check.service == service_id]
        service = self._service_entry(self.services[service_id])
        return _json_reply(status, {"AggregatedStatus": state, "Service": service, "Checks": checks})

    def _query_service(self, endpoint: str, name: str, query: Mapping[str, str]) -> HttpReply | BlockingQuery:
        known_index = query.get("index", "0")
        if known_index.isdigit() and 0 < int(known_index) == self.service_index.get(name, 0):
            wait = parse_duration_ms(query["wait"]) if query.get("wait") else DEFAULT_WAIT_MS
            return BlockingQuery(name, int(known_index), self.now + min(MAX_WAIT_MS, wait) * 17 / 16)
        return self.list_service(name, endpoint, "passing" in query)

    def list_service(self, name: str, endpoint: str = "health", passing: bool = False) -> HttpReply:
        """Return the current instances of a service, in the response format of the endpoint."""
        rows: list[Any] = []
        for service in self.services.values():
            if service.name != name or (passing and self.instance_state(service.id) != "passing"):
                continue
            if endpoint == "health":
                checks = [
                    self._check_entry(check) for check in self.checks.values() if check.service == service.id
                ]
                node = {"Node": "lab", "Address": "127.0.0.1"}
                rows.append({"Node": node, "Service": self._service_entry(service), "Checks": checks})
            else:
                row = {
                    f"Service{key}": value
                    for key, value in self._service_entry(service).items()
                    if key != "Service"
                }
                row |= {"Node": "lab", "Address": "127.0.0.1", "ServiceName": service.name}
                rows.append(row)
        index = self.service_index.setdefault(name, self.index)
        return _json_reply(200, rows, ("X-Consul-Index", str(index)), ("X-Consul-KnownLeader", "true"))

    def _service_entry(self, service: Service) -> dict[str, Any]:
        weights = {"Passing": service.weights[0], "Warning": service.weights[1]}
        return {
            "ID": service.id,
            "Service": service.name,
            "Tags": list(service.tags),
            "Meta": service.meta,
            "Address": service.address,
            "Port": service.port,
            "Weights": weights,
        }

    def _check_entry(self, check: Check) -> dict[str, Any]:
        name = self.services[check.service].name if check.service in self.services else ""
        return {
            "Node": "lab",
            "CheckID": check.id,
            "Name": check.name,
            "Status": check.status,
            "Output": check.output,
            "ServiceID": check.service,
            "ServiceName": name,
        }

    def _remove(self, service_id: str) -> None:
        self._touch(service_id)
        self.services.pop(service_id, None)
        for check_id in [check_id for check_id, check in self.checks.items() if check.service == service_id]:
            del self.checks[check_id]

    def _touch(self, service_id: str) -> None:
        self.index += 1
        if service := self.services.get(service_id):
            self.service_index[service.name] = self.index

    def _record_changes(self, now: float) -> None:
        states = self.instance_states()
        for service_id in {*self.services, *self._recorded_states}:
            state = states.get(service_id, "absent")
            if self._recorded_states.get(service_id, "absent") != state:
                self._recorded_states[service_id] = state
                self.history.append((now, service_id, state))


def _is_maintenance(check_id: str) -> bool:
    return check_id.startswith("_service_maintenance") or check_id == "_node_maintenance"
