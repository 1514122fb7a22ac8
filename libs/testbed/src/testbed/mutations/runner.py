"""Tries each break on a copy of the tree.

The copy's packages come before the installed ones, the named test is run, and it has to fail. A
break whose place is no longer found counts as a failure too.
"""

import io
import os
import shutil
import subprocess
import sys
import tempfile
import textwrap
import tokenize
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from testbed.mutations.table import BREAKS

__all__ = ["applied", "run_breaks"]

_LIMIT_S = 300
_CLOSING = ([")"], ["]"], ["}"])
_LAYOUT = (
    tokenize.NL,
    tokenize.NEWLINE,
    tokenize.INDENT,
    tokenize.DEDENT,
    tokenize.COMMENT,
)


def _tokens(text: str) -> list[tokenize.TokenInfo]:
    """The tokens of a piece of code, without those that only lay it out."""
    tokens = []
    try:
        for token in tokenize.generate_tokens(io.StringIO(text).readline):
            if token.type not in _LAYOUT and token.string:
                tokens.append(token)
    except (tokenize.TokenError, IndentationError):
        pass  # a fragment may end inside a bracket; what came before has been read
    return tokens


def _words(tokens: list[tokenize.TokenInfo]) -> list[str]:
    """Token texts; a comma before a closing bracket is the formatter's and is left out."""
    texts = [token.string for token in tokens]
    return [
        "" if text == "," and texts[place + 1 : place + 2] in _CLOSING else text
        for place, text in enumerate(texts)
    ]


def applied(text: str, old: str, new: str) -> str:
    """Return the source with its one place that reads as `old`, in any layout, replaced by `new`.

    ValueError if there is no such place, or more than one.
    """
    tokens = _tokens(text)
    words = [(word, token) for word, token in zip(_words(tokens), tokens, strict=True) if word]
    wanted = [word for word in _words(_tokens(textwrap.dedent(old).strip())) if word]
    places = [
        start
        for start in range(len(words) - len(wanted) + 1)
        if [word for word, _ in words[start : start + len(wanted)]] == wanted
    ]
    if len(places) != 1:
        raise ValueError(f"{len(places)} places instead of one: {old!r}")
    starts = [0]
    for line in text.splitlines(keepends=True):
        starts.append(starts[-1] + len(line))
    first, last = words[places[0]][1], words[places[0] + len(wanted) - 1][1]
    begin = starts[first.start[0] - 1] + first.start[1]
    end = starts[last.end[0] - 1] + last.end[1]
    return text[:begin] + new.strip() + text[end:]


def _try(root: Path, name: str) -> tuple[str, str]:
    path, old, new, test = BREAKS[name]
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in ("libs", "tests", "docs", "platform", "deploy"):
            shutil.copytree(
                root / part, copy / part, ignore=shutil.ignore_patterns("__pycache__", "*.egg-info")
            )
        shutil.copy(root / "README.md", copy)
        target = copy / "libs" / path
        try:
            target.write_text(applied(target.read_text(), old, new))
        except (OSError, ValueError) as error:
            return name, f"not applied: {error}"
        sources = os.pathsep.join(str(place) for place in sorted(copy.glob("libs/*/src")))
        try:
            ended = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "pytest",
                    "-q",
                    "-x",
                    "-p",
                    "no:cacheprovider",
                    *test.split(),
                ],
                cwd=copy,
                env={**os.environ, "PYTHONPATH": sources},
                capture_output=True,
                text=True,
                timeout=_LIMIT_S,
            )
        except subprocess.TimeoutExpired:
            return name, "caught"
        if ended.returncode == 1:
            return name, "caught"
        return name, "SURVIVED" if ended.returncode == 0 else f"no test ran: {ended.stdout[-300:]}"


def run_breaks(root: Path, names: Iterable[str], jobs: int) -> list[tuple[str, str]]:
    """Try the named breaks, `jobs` at a time; return each name with its result.

    The result is `caught` if the test failed, `SURVIVED` if it passed, or why nothing was tried.
    """
    with ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(lambda name: _try(root, name), names))
