"""Other revisions of this repository: their commits, and working trees of them for a while.

Runs git; imports nothing of the testbed.
"""

from __future__ import annotations

import hashlib
import subprocess
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from spindlerelay.errors import SpindlerelayError

REPOSITORY_ROOT = Path(__file__).resolve().parents[2]


GIT_TIMEOUT_S = 60.0
MAX_ERROR_CHARACTERS = 200
COMMIT_CHARACTERS = 12


class RevisionError(SpindlerelayError):
    """A revision that does not exist, or no repository or no git at all."""


def _git(*arguments: str) -> str:
    try:
        completed = subprocess.run(
            ["git", *arguments],
            cwd=REPOSITORY_ROOT,
            check=True,
            capture_output=True,
            text=True,
            timeout=GIT_TIMEOUT_S,
        )
    except FileNotFoundError:
        raise RevisionError("git is not installed; revisions cannot be compared") from None
    except subprocess.CalledProcessError as error:
        lines = error.stderr.strip().splitlines() or ["no such revision"]
        raise RevisionError(lines[-1][:MAX_ERROR_CHARACTERS]) from None
    return completed.stdout.strip()


def commit_of(revision: str) -> str:
    """Return the full name of a revision's commit.

    Raises:
        RevisionError: where there is no such revision.
    """
    return _git("rev-parse", "--verify", "--quiet", f"{revision}^{{commit}}")


def code_version() -> str:
    """Return which code is here: the commit, and a hash of the program's uncommitted changes."""
    try:
        commit, changed = _git("rev-parse", "HEAD"), _git("diff", "HEAD", "--", "spindlerelay")
    except RevisionError:
        return "unknown"
    suffix = "+" + hashlib.blake2b(changed.encode(), digest_size=4).hexdigest() if changed else ""
    return commit[:COMMIT_CHARACTERS] + suffix


@contextmanager
def checked_out(revisions: list[str]) -> Iterator[dict[str, str]]:
    """Check out each revision into a working tree, and give their directories by revision.

    All are removed at the end, whatever happens in between.

    Raises:
        RevisionError: where a revision does not exist.
    """
    with tempfile.TemporaryDirectory(prefix="revisions-") as parent:
        directories: dict[str, str] = {}
        try:
            for number, revision in enumerate(dict.fromkeys(revisions)):
                directory = str(Path(parent) / f"r{number}")
                _git("worktree", "add", "-q", "--detach", directory, commit_of(revision))
                directories[revision] = directory
            yield directories
        finally:
            for directory in directories.values():
                _git("worktree", "remove", "--force", directory)
