"""Messages between the processes of a cluster: MessagePack arrays on loopback streams."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

import msgpack

from spindlerelay.transport.connection import Connection, connect
from spindlerelay.transport.event_loop import EventLoop
from spindlerelay.transport.system import Socket

MAX_MESSAGE_BYTES = 1 << 28  # a single message carries the rows of a whole run


class Message(enum.StrEnum):
    """The kind of a message, which is its first element; the fields follow."""

    # Messages from a shard to the coordinator
    HELLO = "hello"  # number of the shard, address for links of other shards
    HEARTBEAT = "beat"  # longest delay in ms of a tick since the last heartbeat, and of a request so far
    NODES_UP = "up"
    STREAM_FINISHED = "done"
    RESULT = "result"  # a ShardResult
    # Messages from the coordinator to a shard
    ADDRESSES = "around"  # all shards, the store, the announce service, the agent or None
    ENDPOINTS = "listed"  # list of endpoints as name, status and weight
    CONNECT_INTERPRETERS = "come up"  # time in Unix ms
    BEGIN = "begin"  # time of the first request in Unix ms
    FINISH = "end"
    # Messages between shards
    ATTEMPT = "try"  # the fields of an Attempt
    RESPONSE = "answer"  # call identifier, whether the result is partial, the fields of a Response
    LOADS = "states"  # names of the nodes, their loads


class MessageLink:
    """A connection for messages; ``on_message`` is called for each message, ``on_closed`` when it closes."""

    def __init__(
        self, loop: EventLoop, on_message: Callable[[list[Any]], None], on_closed: Callable[[], None]
    ) -> None:
        self.on_message = on_message
        self._loop = loop
        self._on_closed = on_closed
        self._unpacker = msgpack.Unpacker(raw=False, max_buffer_size=MAX_MESSAGE_BYTES, strict_map_key=False)
        self._connection: Connection

    def accept(self, sock: Socket) -> MessageLink:
        """Attach the link to an accepted socket and return the link."""
        self._connection = Connection(self._loop, sock, self._data_received, lambda _: self._on_closed())
        return self

    def dial(self, address: tuple[str, int]) -> MessageLink:
        """Connect the link to an address and return the link."""
        self._connection = connect(
            self._loop, address, self._data_received, lambda _: self._on_closed(), lambda: None
        )
        return self

    def send(self, message: Message, *fields: Any) -> None:
        """Write one message."""
        self._connection.write(msgpack.packb((message, *fields)))

    def _data_received(self, data: bytes) -> None:
        self._unpacker.feed(data)
        for message in self._unpacker:
            self.on_message(message)

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()
