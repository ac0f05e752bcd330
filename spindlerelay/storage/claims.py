"""Claims on keyed requests that all processes of one node share, so that a request runs once across a
handover.

While an old and a new process serve one listening socket, tries of one keyed request may come to either.
Before a try runs, its key is claimed by a file made exclusively in a folder that both see (``$TMPDIR``,
which a handover does not empty); the file's time of change is when the claim lapses. Who made the file runs
the request; nobody else may run it, nor say that it never ran, until the claim lapses.

Knows nothing of requests beyond a key and a time; times are Unix milliseconds, as the node's clock.
"""

from __future__ import annotations

import contextlib
import hashlib
import os

MOST = 50_000  # files in the folder past which no new claim is made: a run refused beats a disk filled


class Claims:
    """The folder of claims. A disk that fails counts as 'taken': it forbids a run, and allows no refusal."""

    def __init__(self, folder: str) -> None:
        self.folder = folder
        os.makedirs(folder, mode=0o700, exist_ok=True)
        self.count = 0  # files seen at the last sweep, and made since

    def _path(self, key: str) -> str:
        return os.path.join(self.folder, hashlib.blake2b(key.encode(), digest_size=16).hexdigest())

    def claim(self, key: str, now: float, until: float) -> bool:
        """Whether this process may run the request: True once for a key until the claim lapses."""
        path = self._path(key)
        for _ in range(2):
            if self.count >= MOST:
                return False
            try:
                os.close(os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o600))
                os.utime(path, (until / 1000.0, until / 1000.0))
            except FileExistsError:
                if not self._lapsed(path, now):
                    return False
                continue
            except OSError:
                return False
            self.count += 1
            return True
        return False

    def taken(self, key: str, now: float) -> bool:
        """Whether some process holds a claim on the key, which may have run."""
        try:
            return os.stat(self._path(key)).st_mtime * 1000.0 >= now
        except FileNotFoundError:
            return False
        except OSError:
            return True

    def _lapsed(self, path: str, now: float) -> bool:
        """Removes a claim that has lapsed; True where it is gone."""
        try:
            if os.stat(path).st_mtime * 1000.0 >= now:
                return False
            os.unlink(path)
        except FileNotFoundError:
            pass
        except OSError:
            return False
        return True

    def sweep(self, now: float) -> None:
        """Remove the claims that have lapsed, whichever process made them."""
        count = 0
        with contextlib.suppress(OSError), os.scandir(self.folder) as entries:
            for entry in entries:
                count += 1
                with contextlib.suppress(OSError):
                    if entry.stat().st_mtime * 1000.0 < now:
                        os.unlink(entry.path)
                        count -= 1
        self.count = count
