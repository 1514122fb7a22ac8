"""The commands of diagnosis: mutations of the code, and the traces of requests in logs."""

import json
import sys
from pathlib import Path

from testbed.mutations import MUTATIONS, run_mutations
from testbed.trace import KINDS, trace

__all__ = ["show_trace", "try_mutations"]


def try_mutations(*names: str, root: Path = Path("."), jobs: int = 8) -> None:
    """Change the code in one place at a time, in a copy of the tree; a test has to fail each time.

    Parameters
    ----------
    names
        mutations (breaks) named in docs/proof.md; all if none is given.
    root
        root of the source tree.
    jobs
        mutations tried at once.
    """
    unknown = [name for name in names if name not in MUTATIONS]
    if unknown:
        sys.stderr.write(f"unknown breaks: {', '.join(unknown)}\n")
        raise SystemExit(2)
    rows = run_mutations(root, names or MUTATIONS, jobs)
    for name, result in rows:
        sys.stdout.write(f"{result:10} {name}\n")
    bad = sum(result != "caught" for _, result in rows)
    sys.stdout.write(f"{len(rows)} breaks, {bad} not caught\n")
    if bad:
        raise SystemExit(1)


def show_trace(what: str, *files: Path) -> None:
    """Print the log lines of one thing, given as KIND:ID, from many processes.

    Parameters
    ----------
    what
        such as lot:cafe-3-round-9; kinds are transaction, key, job, lot, change, worker, loan and
        epoch.
    files
        JSON logs of any number of processes.
    """
    kind, colon, name = what.partition(":")
    if not colon or not name or kind not in KINDS or not files:
        sys.stderr.write(f"expected KIND:ID and log files; kinds: {', '.join(KINDS)}\n")
        raise SystemExit(2)
    rows, unreadable = trace(kind, name, files)
    for row in rows:
        fields = {
            key: value
            for key, value in row.items()
            if key not in ("at", "event", "level", "role", "node", "file")
        }
        sys.stdout.write(
            f"{row['at'][11:23]} {row['file']:16} {row['event']:22} {json.dumps(fields)}\n"
        )
    if unreadable:
        sys.stderr.write(f"{unreadable} lines were not valid JSON\n")
    if not rows:
        raise SystemExit(1)
