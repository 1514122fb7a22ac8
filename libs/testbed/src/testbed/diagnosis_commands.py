"""The commands that look into things: mutations of the code, and one thing's way through logs."""

import json
import sys
from pathlib import Path

from testbed.mutations import BREAKS, run_breaks
from testbed.trace import KINDS, trace

__all__ = ["show_trace", "try_mutations"]


def try_mutations(*names: str, root: Path = Path("."), jobs: int = 8) -> None:
    """Break the code in one place at a time, in a copy of the tree; a test has to fail.

    Parameters
    ----------
    names: which breaks, as docs/proof.md names them; all if none is named.
    root: the source tree.
    jobs: how many at a time.
    """
    unknown = [name for name in names if name not in BREAKS]
    if unknown:
        sys.stderr.write(f"no such break: {', '.join(unknown)}\n")
        raise SystemExit(2)
    rows = run_breaks(root, names or BREAKS, jobs)
    for name, result in rows:
        sys.stdout.write(f"{result:10} {name}\n")
    bad = sum(result != "caught" for _, result in rows)
    sys.stdout.write(f"{len(rows)} breaks, {bad} not caught\n")
    if bad:
        raise SystemExit(1)


def show_trace(what: str, *files: Path) -> None:
    """Follow one thing through JSON logs, as KIND:ID.

    Parameters
    ----------
    what: such as lot:cafe-3-round-9; kinds are transaction, key, lot, change, worker, loan, epoch.
    files: the logs of any number of processes.
    """
    kind, colon, name = what.partition(":")
    if not colon or not name or kind not in KINDS or not files:
        sys.stderr.write(f"wanted KIND:ID and files; kinds: {', '.join(KINDS)}\n")
        raise SystemExit(2)
    rows, unread = trace(kind, name, files)
    for row in rows:
        fields = {
            key: value
            for key, value in row.items()
            if key not in ("at", "event", "level", "role", "node", "file")
        }
        sys.stdout.write(
            f"{row['at'][11:23]} {row['file']:16} {row['event']:22} {json.dumps(fields)}\n"
        )
    if unread:
        sys.stderr.write(f"{unread} lines could not be read\n")
    if not rows:
        raise SystemExit(1)
