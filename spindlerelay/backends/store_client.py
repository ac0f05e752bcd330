"""Calls to the store that all render nodes share, over a few connections.

The outcome of a call states only what is proven. Only a refused connection and two of the store's replies
prove that a call never ran; a connection that breaks after a call was written proves nothing. Calls are
distributed over channels, so that a lost reply affects few other calls, and a channel that lost a reply
carries no new calls.

Owns the channels and the timeouts of calls. Must not depend on the purpose of a call.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from spindlerelay.api import Outcome
from spindlerelay.backends import store_protocol
from spindlerelay.backends.store_channel import Channel, ChannelState
from spindlerelay.backends.store_protocol import StoreReply
from spindlerelay.transport.backoff import Backoff
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.timer_wheel import Timer

MAX_ACTIVE_CHANNELS = 16
MAX_CHANNELS = 64  # including draining channels
TIMEOUT_CHECK_INTERVAL_MS = 50.0
RECONNECT_INITIAL_MS = 20.0
RECONNECT_MAX_MS = 320.0


class PendingCall(NamedTuple):
    """A call that has no outcome yet."""

    timeout: Timer
    channel: Channel


class StoreClient:
    """A client of one store; ``on_outcome`` receives the outcome of each call once."""

    def __init__(
        self, loop: EventLoop, address: tuple[str, int], on_outcome: Callable[[StoreReply], None]
    ) -> None:
        self.loop = loop
        self.address = address
        self.on_outcome = on_outcome
        self.channels: dict[Channel, None] = {}
        self._pending: dict[str, PendingCall] = {}
        self._backoff = Backoff(RECONNECT_INITIAL_MS, RECONNECT_MAX_MS, loop.random)
        self._connect_not_before_ms = 0.0
        self._refusing_since_ms = 0.0  # 0 while the store accepts connections
        self._closed = False
        loop.call_later(TIMEOUT_CHECK_INTERVAL_MS, self._check_timeouts)

    def call(self, call_id: str, timeout_ms: float, body: bytes) -> None:
        """Make a call. The timeout is enforced here, since the store does not enforce timeouts of clients."""
        self.cancel(call_id)
        timeout = self.loop.call_later(timeout_ms, lambda: self._on_timeout(call_id))
        channel = self._select_channel(call_id)
        self._pending[call_id] = PendingCall(timeout, channel)
        channel.call(call_id, store_protocol.encode_call(call_id, timeout_ms, body))

    def cancel(self, call_id: str) -> None:
        """Cancel a call without reporting an outcome; no effect if the call is not in flight."""
        if pending := self._pending.pop(call_id, None):
            pending.timeout.cancel()
            pending.channel.cancel(call_id)

    def change_address(self, address: tuple[str, int]) -> None:
        """Make new calls at another address; calls in flight may complete at the old one."""
        self.address = address
        self._connect_not_before_ms = 0.0
        self._backoff.reset()
        for channel in list(self.channels):
            if channel.is_open:
                channel.drain()

    def close(self) -> None:
        """Close all channels for good; the caller ensures that no call is in flight."""
        self._closed = True
        for channel in list(self.channels):
            channel.close()

    def unavailable_ms(self) -> float:
        """Return for how long the store has refused every connection, or 0 while it accepts connections."""
        return self.loop.now() - self._refusing_since_ms if self._refusing_since_ms else 0.0

    def on_channel_open(self) -> None:
        """Note that the store accepts connections."""
        self._backoff.reset()
        self._connect_not_before_ms = 0.0
        self._refusing_since_ms = 0.0

    def on_reply(self, reply: StoreReply) -> None:
        """Report the outcome of a call, unless the call was cancelled."""
        if pending := self._pending.pop(reply.call_id, None):
            pending.timeout.cancel()
            self.on_outcome(reply)

    def on_channel_closed(self, channel: Channel, call_ids: list[str], established: bool) -> None:
        """Remove a channel and report the outcome of its calls without a reply."""
        del self.channels[channel]
        if not established and call_ids:
            retry_at_ms = self.loop.now() + self._backoff.next_delay_ms()
            self._connect_not_before_ms = max(self._connect_not_before_ms, retry_at_ms)
            self._refusing_since_ms = self._refusing_since_ms or self.loop.now()
            self.loop.warnings.warn("store refused a connection", f"{len(call_ids)} calls never ran")
        elif call_ids:
            self.loop.warnings.warn("store connection broke", f"{len(call_ids)} calls may have run")
        for call_id in call_ids:
            self.on_reply(StoreReply(call_id, Outcome.RESET if established else Outcome.CONNECT_FAILED, b""))

    def _select_channel(self, call_id: str) -> Channel:
        """Return the channel with the fewest calls, or a new one.

        A channel that carried a call with this id recently is not used, since a duplicate of the earlier
        reply could be mistaken for the reply to the new call.
        """
        backoff_ms = self._connect_not_before_ms - self.loop.now()
        if backoff_ms > 0:  # while the store is down, calls share a connection attempt
            for channel in self.channels:
                if not channel.is_open:
                    return channel
        usable = [
            channel
            for channel in self.channels
            if channel.is_usable() and call_id not in channel.recent_call_ids
        ]
        best = min(usable, key=lambda channel: len(channel.calls), default=None)
        is_full = len(self.channels) >= MAX_ACTIVE_CHANNELS
        if best and (not best.calls or is_full):
            return best
        if is_full and (idle := [channel for channel in self.channels if not channel.calls]):
            idle[0].close()  # closing a channel with calls in flight would reset them
        elif len(self.channels) >= MAX_CHANNELS:
            return min(self.channels, key=_placement_order)
        return self._add_channel(backoff_ms)

    def _add_channel(self, backoff_ms: float) -> Channel:
        channel = Channel(self)
        self.channels[channel] = None
        if backoff_ms > 0:
            self.loop.call_later(backoff_ms, channel.connect)
        else:
            channel.connect()
        return channel

    def _on_timeout(self, call_id: str) -> None:
        pending = self._pending.pop(call_id, None)
        if pending is None:
            return
        channel = pending.channel
        was_written = channel.is_open
        channel.cancel(call_id)
        if was_written:
            channel.drain()  # the replies after a lost reply may be lost, too
        # A call that was never written cannot have run.
        self.on_outcome(StoreReply(call_id, Outcome.TIMEOUT if was_written else Outcome.CONNECT_FAILED, b""))

    def _check_timeouts(self) -> None:
        if self._closed:
            return
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_MS, self._check_timeouts)
        now_ms = self.loop.now()
        for channel in list(self.channels):
            channel.check_timeouts(now_ms)


def _placement_order(channel: Channel) -> tuple[bool, int]:
    return channel.state is ChannelState.DRAINING, len(channel.calls)
