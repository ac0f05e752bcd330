"""One connection to the shared store, and the calls that it carries.

Owns the connection, from the backoff before connecting until it is closed. Must not depend on the
distribution of calls over channels or on the timeouts of calls, for which the owner of the channel is
responsible.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Protocol

from spindlerelay.backends import store_protocol
from spindlerelay.backends.store_protocol import StoreReply
from spindlerelay.transport.connection import Connection, connect
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.line_protocol import LineDecoder, LineProtocolError

IDLE_TIMEOUT_MS = 75.0  # the store was seen to drop idle connections after 100 ms
STALLED_REPLY_TIMEOUT_MS = 500.0
MAX_RECENT_CALLS = 64  # a duplicate reply follows the first reply closely


class ChannelState(Enum):
    """The state of a channel."""

    WAITING = "waiting"  # the backoff before connecting is not over
    CONNECTING = "connecting"
    OPEN = "open"
    DRAINING = "draining"  # carries no new calls, may still receive replies
    CLOSED = "closed"


TRANSITIONS: dict[ChannelState, frozenset[ChannelState]] = {
    ChannelState.WAITING: frozenset({ChannelState.CONNECTING, ChannelState.CLOSED}),
    ChannelState.CONNECTING: frozenset({ChannelState.OPEN, ChannelState.CLOSED}),
    ChannelState.OPEN: frozenset({ChannelState.DRAINING, ChannelState.CLOSED}),
    ChannelState.DRAINING: frozenset({ChannelState.CLOSED}),
    ChannelState.CLOSED: frozenset(),
}
ESTABLISHED_STATES = frozenset({ChannelState.OPEN, ChannelState.DRAINING})


class ChannelOwner(Protocol):
    """The interface of a channel to the client that owns it."""

    loop: EventLoop
    address: tuple[str, int]

    def on_channel_open(self) -> None:
        """Note that the connection of a channel was established."""
        ...

    def on_reply(self, reply: StoreReply) -> None:
        """Handle the reply to a call of a channel."""
        ...

    def on_channel_closed(self, channel: Channel, call_ids: list[str], established: bool) -> None:
        """Handle the end of a channel and its calls without a reply; called once per channel.

        ``established`` is False if the connection was never established.
        """
        ...


class Channel:
    """A connection to the store; if it breaks, all its calls without a reply end with it."""

    def __init__(self, owner: ChannelOwner) -> None:
        self.owner = owner
        self.calls: dict[str, bytes] = {}  # calls without a reply, by call id: the encoded commands
        self.recent_call_ids: deque[str] = deque(maxlen=MAX_RECENT_CALLS)
        self.state = ChannelState.WAITING
        self.last_used_ms = owner.loop.now()
        self._decoder = LineDecoder(store_protocol.block_length)
        self._connection: Connection | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection is established."""
        return self.state in ESTABLISHED_STATES

    def connect(self) -> None:
        """Start to connect; no effect after the channel was closed."""
        if self._enter(ChannelState.CONNECTING):
            loop = self.owner.loop
            self._connection = connect(loop, self.owner.address, self._on_data, self._on_close, self._on_open)

    def call(self, call_id: str, data: bytes) -> None:
        """Send the command ``data`` of a call, at once or when the connection is established."""
        self.calls[call_id] = data
        self.recent_call_ids.append(call_id)
        self.last_used_ms = self.owner.loop.now()
        if self._connection and self.state in ESTABLISHED_STATES:
            self._connection.write(data)

    def cancel(self, call_id: str) -> None:
        """Remove a call without a reply, and send its cancellation if the connection is established."""
        if self.calls.pop(call_id, None) and self._connection and self.state in ESTABLISHED_STATES:
            self._connection.write(store_protocol.encode_cancel(call_id))
        self._close_if_drained()

    def drain(self) -> None:
        """Accept no new calls, and close when no calls are in flight."""
        self._enter(ChannelState.DRAINING)
        self._close_if_drained()

    def is_usable(self) -> bool:
        """Return whether the channel may carry a new call: not draining, and in use or only just idle."""
        if self.state is ChannelState.DRAINING:
            return False
        return bool(self.calls) or self.owner.loop.now() - self.last_used_ms <= IDLE_TIMEOUT_MS

    def check_timeouts(self, now_ms: float) -> None:
        """Close the channel if a reply has stalled half way, or if the channel is idle for too long."""
        since_last_use_ms = now_ms - self.last_used_ms
        if self._decoder.is_mid_message and since_last_use_ms > STALLED_REPLY_TIMEOUT_MS:
            self._warn_malformed("a reply that stopped half way")
            self.close()
        elif not self.calls and since_last_use_ms > IDLE_TIMEOUT_MS:
            self.close()

    def close(self) -> None:
        """Close the connection and return the calls in flight to the owner."""
        if self._connection:
            self._connection.close()
        else:
            self._on_close(False)

    def _enter(self, state: ChannelState) -> bool:
        """Change the state if the current one allows the transition; return whether the state changed."""
        if state not in TRANSITIONS[self.state]:
            return False
        self.state = state
        return True

    def _close_if_drained(self) -> None:
        if self.state is ChannelState.DRAINING and not self.calls:
            self.close()

    def _on_open(self) -> None:
        self._enter(ChannelState.OPEN)
        self.owner.on_channel_open()
        for data in self.calls.values():
            if self._connection:
                self._connection.write(data)

    def _on_close(self, established: bool) -> None:
        if self._enter(ChannelState.CLOSED):
            call_ids = list(self.calls)
            self.calls = {}
            self.owner.on_channel_closed(self, call_ids, established)

    def _on_data(self, data: bytes) -> None:
        self.last_used_ms = self.owner.loop.now()
        try:
            for words, block in self._decoder.feed(data):
                reply = store_protocol.decode(words, block)
                if self.calls.pop(reply.call_id, None):  # else cancelled, unknown, or a duplicate
                    self.owner.on_reply(reply)
            self._close_if_drained()
        except LineProtocolError as error:
            self._warn_malformed(str(error))
            self.close()

    def _warn_malformed(self, detail: str) -> None:
        self.owner.loop.warnings.warn("malformed line from the store", detail)
