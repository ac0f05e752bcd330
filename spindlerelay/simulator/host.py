"""Host of admission controllers that speaks the simulator protocol: ``python -m spindlerelay.simhost``.

This module owns the controllers of one process and its input and output streams. The codec owns the frames.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from spindlerelay import api
from spindlerelay.admission.controller import AdmissionController
from spindlerelay.api import settings_parser
from spindlerelay.simulator import codec


def _fault_text(error: Exception) -> str:
    # In the protocol, the text of a fault names the built-in class for invalid settings.
    error_type = ValueError if isinstance(error, settings_parser.InvalidSettingError) else type(error)
    return f"{error_type.__name__}: {error}".replace("\n", " ")


class Host:
    """Holds the controllers of one process by instance number. Controllers share no state."""

    def __init__(self) -> None:
        self._controllers: dict[int, AdmissionController] = {}

    def handle(self, batch: codec.Batch) -> bytes:
        """Run one step of each instance in the batch and return the encoded reply.

        If a controller fails, a fault is reported and the instance is removed. Other instances continue.
        """
        pending: dict[int, list[api.Event]] = {}
        records: list[bytes] = []
        for instance, event in batch.events:
            if isinstance(event, codec.InstanceStarted):
                pending.pop(instance, None)
                self._start(instance, event, records)
                pending[instance] = []
            elif isinstance(event, codec.InstanceCrashed):
                self._controllers.pop(instance, None)
                pending.pop(instance, None)
            else:
                pending.setdefault(instance, []).append(event)
        for instance, events in pending.items():
            self._step(instance, batch.now_ms, events, records)
        return codec.encode_reply(records)

    def _start(self, instance: int, event: codec.InstanceStarted, records: list[bytes]) -> None:
        self._controllers.pop(instance, None)
        try:
            settings = settings_parser.parse(settings_parser.pairs_from_lines(event.settings_text))
            self._controllers[instance] = AdmissionController(settings, event.seed)
        except Exception as error:
            text = f"instance {instance} cannot start: {_fault_text(error)}"
            records.append(codec.encode_fault(instance, text))

    def _step(self, instance: int, now_ms: float, events: list[api.Event], records: list[bytes]) -> None:
        controller = self._controllers.get(instance)
        if controller is None:
            return
        try:
            actions = controller.step(now_ms, events)
        except Exception as error:
            del self._controllers[instance]
            records.append(codec.encode_fault(instance, f"instance {instance}: {_fault_text(error)}"))
            return
        records.extend(codec.encode_action(instance, action) for action in actions)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends.

    Raises:
        MalformedFrameError: the input does not follow the protocol.
    """
    host = Host()
    while (batch := codec.read_batch(source)) is not None:
        sink.write(host.handle(batch))
        sink.flush()


def main() -> int:
    """Serve standard input and return the exit status: 0 at the end of input, 1 after a malformed frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except codec.MalformedFrameError as error:
        print(f"spindlerelay: malformed input: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
