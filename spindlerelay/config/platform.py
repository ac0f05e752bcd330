"""The platform's configuration: the JSON file that the environment variable ``LB_CONFIG`` names.

This module maps the file's keys to ``Config``. The platform's start loads it, so it imports nothing that only
the operator's TOML needs.
"""

from __future__ import annotations

import contextlib
import re
import socket
import stat
from pathlib import Path
from typing import Any, NamedTuple

import ujson

from spindlerelay import api
from spindlerelay.api import settings_parser
from spindlerelay.errors import SpindlerelayError

DEFAULT_STOP_MS = 3200.0
DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192.0
MAX_PORT = 65535
SEPARATORS = re.compile(r"[\s\x00-\x20\x7f]")  # not allowed in a word of the interpreter's line protocol


class ConfigError(SpindlerelayError):
    """The configuration is invalid. The text is shown to the person who started the program."""


class Config(NamedTuple):
    """The configuration of one node; most fields have the names of the file's keys.

    Attributes:
        name: name of the node.
        listen: address at which balancers connect.
        vm: address of the interpreter.
        store: address of the store.
        announce: address of the announce service.
        seed: seed of the node's random generators.
        stop_ms: time from SIGTERM until the platform kills the process.
        sockets: maximum number of descriptors.
        memory_mb: memory limit of the process.
        settings: settings of the node, from the file's ``settings`` object.
        accept_fd: descriptor of the listening socket, if the platform holds the socket and passes it on.
        management: address of readiness and metrics for the operator's tools.
    """

    name: str
    listen: tuple[str, int]
    vm: tuple[str, int]
    store: tuple[str, int]
    announce: tuple[str, int]
    seed: int
    stop_ms: float
    sockets: int
    memory_mb: float
    settings: api.Settings
    accept_fd: int | None = None
    management: tuple[str, int] | None = None


def parse_address(text: Any, key: str) -> tuple[str, int]:
    """Return the host and port of an address such as ``10.0.0.4:4100``.

    Raises:
        ConfigError: The text is not an IPv4 address with a port; names are not resolved.
    """
    host, _, port = str(text).rpartition(":")
    with contextlib.suppress(OSError, ValueError):
        socket.inet_aton(host)
        if host and 0 < int(port) <= MAX_PORT:
            return host, int(port)
    raise ConfigError(f"{key}: {text!r} is not an address with a port, such as 10.0.0.4:4100")


def parse_number(tree: dict[str, Any], key: str, default: float, prefix: str = "") -> float:
    """Return the number at a key; ``prefix`` names the enclosing object in the error.

    Raises:
        ConfigError: The value is not a finite number of 0 or more.
    """
    value = tree.get(key, default)
    with contextlib.suppress(ValueError, TypeError, OverflowError):
        if not isinstance(value, bool) and 0 <= float(value) < float("inf"):
            return float(value)
    raise ConfigError(f"{prefix}{key}: {value!r} is not a number of 0 or more")


def parse_seed(text: Any) -> int:
    """Return the seed from its hex digits.

    Raises:
        ConfigError: The text is not a hexadecimal number.
    """
    with contextlib.suppress(ValueError):
        return int(str(text), 16)
    raise ConfigError(f"seed: {text!r} is not a number in hex digits, such as 8c1f30d27a5be964")


def parse_descriptor(text: str) -> int | None:
    """Return the descriptor named in ``LB_ACCEPT_FD``, or None if the platform passes no descriptor.

    Raises:
        ConfigError: The text is not a whole number.
    """
    if not text:
        return None
    if not text.isdigit():
        raise ConfigError(f"LB_ACCEPT_FD: {text!r} is not a descriptor: a whole number such as 4")
    return int(text)


def check_class_names(settings: api.Settings) -> api.Settings:
    """Return the settings, after checking that the name of each class is one word.

    The interpreter's line protocol separates words by blanks. A class name with a blank would break the
    connection to the interpreter, and with it all classes.

    Raises:
        ConfigError: The name of a class is empty or contains a blank or a control character.
    """
    for index, spec in enumerate(settings.classes):
        if not spec.name or SEPARATORS.search(spec.name):
            expected = "a name of one word, such as preview; the interpreter's protocol allows no blank in it"
            raise ConfigError(f"setting classes.{index}.name: {spec.name!r} is not {expected}")
    return settings


def read_config(environ: dict[str, str]) -> Config:
    """Return the configuration from the file that ``LB_CONFIG`` names.

    Raises:
        ConfigError: The variable is not set, or the file is invalid.
    """
    path = environ.get("LB_CONFIG", "")
    if not path:
        raise ConfigError(
            "LB_CONFIG names no file: set it to the node's JSON file, or try 'make demo', which needs none"
        )
    return read_file(path, environ)


def read_file(path: str, environ: dict[str, str]) -> Config:
    """Return the configuration in a file; ``environ`` provides values that the file leaves out.

    Raises:
        ConfigError: The file is invalid; the text names the file, the key and the expected value.
    """
    tree = _read_json(path)
    tree.setdefault("name", environ.get("LB_NAME", ""))
    tree.setdefault("listen", environ.get("LB_LISTEN", ""))
    tree.setdefault("management", environ.get("LB_MANAGEMENT", ""))
    try:
        return _parse_config(tree, environ)
    except (ConfigError, ValueError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _read_json(path: str) -> dict[str, Any]:
    try:
        if not stat.S_ISREG(Path(path).stat().st_mode):  # reading a pipe could block the event loop forever
            raise ConfigError(f"{path} is not a regular file: name the node's JSON file")
        with Path(path).open(encoding="utf-8") as file:
            tree = ujson.load(file)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path} is not JSON: {error}") from None
    if not isinstance(tree, dict) or not isinstance(tree.get("settings"), dict):
        raise ConfigError(
            f"{path}: settings are missing: expected an object with classes, family-info and other keys"
        )
    return tree


def _parse_config(tree: dict[str, Any], environ: dict[str, str]) -> Config:
    limits = tree.get("limits") or {}
    if not isinstance(limits, dict):
        raise ConfigError(f'limits: {limits!r} is not an object such as {{"sockets": 1024}}')
    return Config(
        name=str(tree["name"]),
        listen=parse_address(tree["listen"], "listen"),
        vm=parse_address(tree.get("vm"), "vm"),
        store=parse_address(tree.get("store"), "store"),
        announce=parse_address(tree.get("announce"), "announce"),
        seed=parse_seed(tree.get("seed", "0")),
        stop_ms=parse_number(tree, "stop_ms", DEFAULT_STOP_MS),
        sockets=int(parse_number(limits, "sockets", DEFAULT_MAX_SOCKETS, "limits.")),
        memory_mb=parse_number(limits, "memory_mb", DEFAULT_MEMORY_MB, "limits."),
        settings=check_class_names(settings_parser.parse(settings_parser.pairs_from_json(tree["settings"]))),
        accept_fd=parse_descriptor(environ.get("LB_ACCEPT_FD", "")),
        management=parse_address(tree["management"], "management") if tree["management"] else None,
    )
