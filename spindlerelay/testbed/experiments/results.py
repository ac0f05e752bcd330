"""Results of experiments in an SQLite database: a run is a row, written in one transaction.

Runs are identified by their key and by the code that played them: after an interruption only missing runs are
played, and no result of other code is reused. The schema's version is SQLite's ``user_version``.
"""

from __future__ import annotations

import sqlite3
import time
from pathlib import Path
from typing import Any, NamedTuple

import ujson

from spindlerelay.errors import SpindlerelayError
from spindlerelay.testbed.experiments.matrix import Cell
from spindlerelay.testbed.experiments.pairs import PlayedRun

VERSION = 1
BUSY_TIMEOUT_S = 30.0  # that a writer waits for another

SCHEMA = """
CREATE TABLE runs (
    key TEXT NOT NULL, code TEXT NOT NULL, experiment TEXT NOT NULL, variant TEXT NOT NULL,
    story TEXT NOT NULL, nodes INTEGER NOT NULL, load REAL NOT NULL, seed INTEGER NOT NULL,
    figures TEXT NOT NULL, void TEXT NOT NULL, recording BLOB NOT NULL, ended REAL NOT NULL,
    PRIMARY KEY (key, code)
) WITHOUT ROWID;
CREATE TABLE variants (experiment TEXT NOT NULL, place INTEGER NOT NULL, variant TEXT NOT NULL,
    PRIMARY KEY (experiment, place));
"""


class ResultsError(SpindlerelayError):
    """A file that is no database of results, or cannot be used."""


class ResultEntry(NamedTuple):
    """A run that was played, with its key and its recording."""

    key: str
    played: PlayedRun
    recording: bytes


class Results:
    """One database file, created unless it ``must_exist``.

    Raises:
        ResultsError: where the file does not exist but must, or is no database of this version.
    """

    def __init__(self, path: str, must_exist: bool = False) -> None:
        if must_exist and not Path(path).is_file():
            raise ResultsError(f"{path}: no such file; 'experiment' writes one")
        try:
            self._db = sqlite3.connect(path, timeout=BUSY_TIMEOUT_S, isolation_level=None)
            self._db.execute("PRAGMA journal_mode=WAL")
            self._db.execute("PRAGMA synchronous=FULL")
            version = int(self._db.execute("PRAGMA user_version").fetchone()[0])
            tables = self._db.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
            if not version and not tables:
                self._db.executescript(f"BEGIN;{SCHEMA}PRAGMA user_version={VERSION};COMMIT;")
            elif version != VERSION:
                raise ResultsError(f"{path}: version {version}; this program reads version {VERSION}")
        except sqlite3.Error as error:
            problem = f"{error}; a new file, or one that 'experiment' wrote, is needed"
            raise ResultsError(f"{path}: {problem}") from None

    def set_variants(self, experiment: str, variants: list[str]) -> None:
        """Store the order of an experiment's variants; the others are compared with the first."""
        self._db.execute("BEGIN")
        self._db.execute("DELETE FROM variants WHERE experiment = ?", (experiment,))
        rows = [(experiment, place, name) for place, name in enumerate(variants)]
        self._db.executemany("INSERT INTO variants VALUES (?, ?, ?)", rows)
        self._db.execute("COMMIT")

    def counted_keys(self, code: str) -> set[str]:
        """Return the keys of the runs that this code has played and that count."""
        rows = self._db.execute("SELECT key FROM runs WHERE code = ? AND void = ''", (code,))
        return {str(key) for (key,) in rows}

    def add(self, experiment: str, code: str, entry: ResultEntry) -> None:
        """Store a run durably, in one transaction."""
        played, cell = entry.played, entry.played.cell
        self._db.execute(
            "INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                entry.key,
                code,
                experiment,
                played.variant,
                cell.story,
                cell.nodes,
                cell.load,
                cell.seed,
                ujson.dumps(played.figures),
                played.void_reason,
                entry.recording,
                time.time(),
            ),
        )

    def experiments(self) -> list[str]:
        """Return the names of the experiments."""
        rows = self._db.execute("SELECT DISTINCT experiment FROM variants ORDER BY 1")
        return [str(name) for (name,) in rows]

    def variants(self, experiment: str) -> list[str]:
        """Return the names of an experiment's variants in their order."""
        rows = self._db.execute(
            "SELECT variant FROM variants WHERE experiment = ? ORDER BY place", (experiment,)
        )
        return [str(name) for (name,) in rows]

    def played(self, experiment: str, code: str = "") -> list[PlayedRun]:
        """Return the runs that some code has played, by default the code that played last."""
        code = code or self.last_code(experiment)
        rows = self._db.execute(
            "SELECT variant, story, nodes, load, seed, figures, void FROM runs "
            "WHERE experiment = ? AND code = ? ORDER BY ended",
            (experiment, code),
        )
        return [
            PlayedRun(variant, Cell(story, nodes, load, seed), ujson.loads(figures), void)
            for variant, story, nodes, load, seed, figures, void in rows
        ]

    def last_code(self, experiment: str) -> str:
        """Return the code that played last, empty where none did."""
        row = self._db.execute(
            "SELECT code FROM runs WHERE experiment = ? ORDER BY ended DESC LIMIT 1", (experiment,)
        ).fetchone()
        return str(row[0]) if row else ""

    def recording(self, experiment: str, variant: str, cell: Cell) -> bytes:
        """Return the recording of a run that counts, empty where there is none."""
        row: Any = self._db.execute(
            "SELECT recording FROM runs WHERE experiment = ? AND variant = ? AND story = ? AND nodes = ? AND "
            "load = ? AND seed = ? AND void = '' AND code = ?",
            (experiment, variant, *cell, self.last_code(experiment)),
        ).fetchone()
        return bytes(row[0]) if row else b""

    def close(self) -> None:
        """Close the database."""
        self._db.close()
