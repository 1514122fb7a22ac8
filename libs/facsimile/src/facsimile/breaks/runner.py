"""Tries each break on a copy of the tree: the copy's packages stand before the installed ones, the
named test is run, and it has to fail. A break whose place is no longer found is a failure too."""

import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from facsimile.breaks.table import BREAKS

__all__ = ["applied", "run_breaks"]

_LIMIT_S = 300


def applied(text: str, old: str, new: str) -> str:
    if text.count(old) != 1:
        raise ValueError(f"{text.count(old)} places instead of one: {old!r}")
    return text.replace(old, new)


def _try(root: Path, name: str) -> tuple[str, str]:
    path, old, new, test = BREAKS[name]
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in ("libs", "tests", "docs", "platform", "deploy"):
            shutil.copytree(root / part, copy / part, ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"))
        shutil.copy(root / "README.md", copy)
        target = copy / "libs" / path
        try:
            target.write_text(applied(target.read_text(), old, new))
        except (OSError, ValueError) as error:
            return name, f"not applied: {error}"
        sources = os.pathsep.join(str(place) for place in sorted(copy.glob("libs/*/src")))
        try:
            ended = subprocess.run([sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", *test.split()],
                                   cwd=copy, env={**os.environ, "PYTHONPATH": sources}, capture_output=True, text=True,
                                   timeout=_LIMIT_S)
        except subprocess.TimeoutExpired:
            return name, "caught"
        if ended.returncode == 1:
            return name, "caught"
        return name, "SURVIVED" if ended.returncode == 0 else f"no test ran: {ended.stdout[-300:]}"


def run_breaks(root: Path, names: Iterable[str], jobs: int) -> list[tuple[str, str]]:
    with ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(lambda name: _try(root, name), names))
