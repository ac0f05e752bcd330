"""The real render node: ``python -m spindlerelay``. Configuration, logging, signals and the exit status."""

from __future__ import annotations

import contextlib
import gc
import os
import selectors
import signal
import socket
import sys
from typing import Any, NamedTuple

import ujson
from loguru import logger

from spindlerelay import interface as api
from spindlerelay import settings
from spindlerelay.brain import Brain
from spindlerelay.net.balancers import Balancers
from spindlerelay.net.loop import Loop
from spindlerelay.net.node import Node

STOP_MS = 3200.0  # where the configuration does not say how long after SIGTERM the process is stopped
SOCKETS = 1024


class ConfigError(Exception):
    """One plain line for whoever started the program."""


class Config(NamedTuple):
    name: str
    listen: tuple[str, int]
    vm: tuple[str, int]
    store: tuple[str, int]
    announce: tuple[str, int]
    seed: int
    stop_ms: float
    sockets: int
    settings: api.Settings


def address(text: Any, key: str) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    with contextlib.suppress(OSError, ValueError):
        socket.inet_aton(host)  # there is no DNS
        if host and 0 < int(port) < 65536:
            return host, int(port)
    raise ConfigError(f"{key}: {text!r} is not an address with a port")


def read_config(environ: dict[str, str]) -> Config:
    """The configuration that the environment points to."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG names no file")
    try:
        with open(path, encoding="utf-8") as file:
            tree = ujson.load(file)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path} is not JSON: {error}") from None
    if not isinstance(tree, dict) or not isinstance(tree.get("settings"), dict):
        raise ConfigError(f"{path}: settings are missing")
    tree.setdefault("name", environ.get("LB_NAME", ""))
    tree.setdefault("listen", environ.get("LB_LISTEN", ""))
    try:
        limits = tree.get("limits") or {}
        return Config(
            name=str(tree["name"]),
            listen=address(tree["listen"], "listen"),
            vm=address(tree.get("vm"), "vm"),
            store=address(tree.get("store"), "store"),
            announce=address(tree.get("announce"), "announce"),
            seed=int(str(tree.get("seed", "0")), 16),
            stop_ms=float(tree.get("stop_ms", STOP_MS)),
            sockets=int(limits.get("sockets", SOCKETS)),
            settings=settings.parse(settings.pairs_of_json(tree["settings"])),
        )
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None


class Signals:
    """SIGTERM and SIGINT as a readable descriptor of the loop."""

    def __init__(self, loop: Loop, node: Node, stop_ms: float) -> None:
        self.node, self.stop_ms = node, stop_ms
        self.sock, waker = socket.socketpair()
        self.sock.setblocking(False)
        waker.setblocking(False)
        self.waker = waker
        signal.set_wakeup_fd(waker.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: None)
        loop.watch(self.sock, selectors.EVENT_READ, self)

    def ready(self, mask: int) -> None:
        self.sock.recv(64)
        self.node.drain(self.stop_ms)

    def broken(self) -> None:
        """The descriptor is the process's own: there is nothing to close."""


def serve(config: Config) -> None:
    """Run until the notice to leave has been carried out."""
    loop = Loop()
    node = Node(loop, config.settings, Brain(config.settings, config.seed))
    node.start(config.vm, config.store, config.announce, config.name)
    node.add_front(Balancers(loop, config.listen, config.settings, config.sockets, node))
    Signals(loop, node, config.stop_ms)
    logger.info("{} listens on {}:{}", config.name, *config.listen)
    gc.collect()
    gc.freeze()  # what is loaded by now stays: collections need not walk it
    loop.run(node.settle)
    loop.flush()


def main() -> int:
    """Exit status 0 after an orderly end, 2 for a configuration that makes no sense."""
    logger.remove()
    logger.add(sys.stderr, format="{time:YYYY-MM-DD HH:mm:ss.SSS} {level} {message}", level="INFO",
               backtrace=False, diagnose=False)  # fmt: skip
    try:
        config = read_config(dict(os.environ))
        serve(config)
    except ConfigError as error:
        print(f"spindlerelay: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"spindlerelay: cannot start: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
