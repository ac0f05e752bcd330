"""Capture of the requests that a node receives, as a trace for replay.

The operator enables the capture by the ``[capture]`` table. The trace is limited in requests and bytes. Lines
are collected in a bounded buffer and written on a timer. A failed write ends the capture with one log line;
the node goes on serving.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

from loguru import logger

from spindlerelay.api import Settings
from spindlerelay.node.frontend import IncomingRequest
from spindlerelay.observability import trace_format
from spindlerelay.transport.event_loop import EventLoop

WRITE_INTERVAL_MS = 250.0
MAX_PENDING_BYTES = 1 << 20
SALT_BYTES = 32


class Options(NamedTuple):
    """The ``[capture]`` table of the operator's file."""

    path: str
    max_bytes: int
    max_requests: int


class RequestCapture:
    """Writes a trace of all observed requests, up to the limits of the options.

    Args:
        loop: the node's event loop.
        options: the trace file and its limits.
        settings: settings that contain the names of classes and tenants.
        salt: key of the hashes in the trace; random if it is empty.

    Raises:
        OSError: The file exists already, or cannot be created.
    """

    def __init__(self, loop: EventLoop, options: Options, settings: Settings, salt: bytes = b"") -> None:
        self.loop = loop
        self.options = options
        self.settings = settings
        self.salt = salt or os.urandom(SALT_BYTES)
        self.first_received_at_ms = 0.0
        self.captured = 0
        self.missed = 0
        self.captured_bytes = 0
        self.enabled = True
        self._file = Path(options.path).open("xb", buffering=0)  # noqa: SIM115
        self._pending = bytearray()
        self._append(trace_format.encode_header())
        loop.call_later(WRITE_INTERVAL_MS, self._write_periodically)
        logger.info(
            "capture: writing requests to {}, at most {} requests and {} bytes",
            options.path,
            options.max_requests,
            options.max_bytes,
        )

    def observe(self, request: IncomingRequest) -> None:
        """Add a request that a front end has received."""
        if not self.enabled:
            return
        self.first_received_at_ms = self.first_received_at_ms or request.received_at_ms
        line = trace_format.encode_record(self._record(request))
        at_request_limit = self.captured >= self.options.max_requests
        full = at_request_limit or self.captured_bytes + len(line) > self.options.max_bytes
        if full or len(self._pending) + len(line) > MAX_PENDING_BYTES:
            if full and not self.missed:
                logger.info("capture: full after {} requests, later requests are not captured", self.captured)
            self.missed += 1
            return
        self.captured += 1
        self._append(line)

    def _record(self, request: IncomingRequest) -> trace_format.TraceRecord:
        tenants = self.settings.tenant_names
        key = request.idempotency_key.encode()
        return trace_format.TraceRecord(
            at_ms=max(0.0, request.received_at_ms - self.first_received_at_ms),
            class_name=self.settings.classes[request.class_index].name,
            tenant=tenants[request.tenant_index] if tenants else "",
            criticality=request.criticality,
            queued_memory_kb=request.queued_memory_kb,
            remaining_ms=request.due_at_ms - request.received_at_ms,
            body_bytes=len(request.body),
            body_digest=trace_format.digest(self.salt, request.body),
            key_digest=trace_format.digest(self.salt, key, trace_format.KEY_BYTES) if key else "",
            is_retry=request.is_retry,
        )

    def _append(self, data: bytes) -> None:
        self.captured_bytes += len(data)
        self._pending += data

    def _write_periodically(self) -> None:
        if self.enabled:
            self._write()
            self.loop.call_later(WRITE_INTERVAL_MS, self._write_periodically)

    def _write(self) -> None:
        """Write the buffer; after an error the part already written is not written again."""
        try:
            while self._pending:
                del self._pending[: self._file.write(self._pending)]
        except OSError as error:
            self.enabled = False
            self._pending.clear()
            logger.error("capture: stopped, cannot write to {}: {}", self.options.path, error.strerror)

    def start_shutdown(self) -> None:
        """Do nothing: the trace includes the requests that arrive during the drain."""

    def reload(self) -> None:
        """Do nothing: the options stay the same until the capture ends."""

    def close(self) -> None:
        """Write the footer, without which readers treat the trace as truncated, and close the file."""
        if self.enabled:
            self._pending += trace_format.encode_footer(self.captured, self.missed)
            self._write()
        self.enabled = False
        self._file.close()
