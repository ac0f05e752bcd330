"""Request streams: requests with their arrival times, drawn from a seed or read from a trace."""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from typing import NamedTuple

from spindlerelay.testbed.load_generation import arrival_process, trace_replay
from spindlerelay.testbed.load_generation.errors import StreamSizeError
from spindlerelay.testbed.models import traffic
from spindlerelay.testbed.models.traffic import Request

MAX_REQUESTS = 5_000_000


class Stream(NamedTuple):
    """A stream that is drawn from a seed and a curve, or read from the file ``trace`` if that is set."""

    seed: int = 1
    spacing: str = "poisson"
    curve: arrival_process.Curve = ()
    trace: str = ""
    speed: float = 1.0
    retries: bool = False

    def draw_requests(self) -> list[Request]:
        """Return the requests; equal streams yield equal requests on every machine.

        Raises:
            StreamSizeError: the curve yields more than ``MAX_REQUESTS`` requests.
            TraceError: the trace cannot be replayed.
        """
        if self.trace:
            trace = trace_replay.read_trace(self.trace)
            return trace_replay.replay(trace, self.speed, self.seed, retries=self.retries)
        if arrival_process.expected_arrivals(self.curve) > MAX_REQUESTS:
            raise StreamSizeError(
                f"more than {MAX_REQUESTS} requests; a lower rate or a shorter run is needed"
            )
        arrivals = arrival_process.draw_arrivals(self.seed, self.spacing, self.curve)
        return traffic.requests_at(self.seed, arrivals.tolist())

    def to_trace(self, requests: Sequence[Request]) -> bytes:
        """Return the stream as a trace file.

        The seed is the salt of the hashes, so that equal streams yield equal files.
        """
        salt = f"seed {self.seed}".encode()
        return trace_replay.encode_trace(trace_replay.record_of(request, salt) for request in requests)

    def digest(self, requests: Sequence[Request]) -> str:
        """Return a digest of the stream's trace file."""
        return blake2b(self.to_trace(requests), digest_size=8).hexdigest()
