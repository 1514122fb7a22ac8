"""Applies each mutation to a copy of the source tree and runs the test that has to fail.

The copy's packages take precedence over the installed ones. A mutation whose original code isn't
found in exactly one place counts as not caught.
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

from testbed.mutations.table import MUTATIONS

__all__ = ["apply_mutation", "run_mutations"]

_TEST_TIMEOUT_S = 300
_CLOSING = ([")"], ["]"], ["}"])
_LAYOUT = (
    tokenize.NL,
    tokenize.NEWLINE,
    tokenize.INDENT,
    tokenize.DEDENT,
    tokenize.COMMENT,
)


def _tokens(text: str) -> list[tokenize.TokenInfo]:
    """Return the tokens of a piece of code, without those of its layout and comments."""
    tokens = []
    try:
        for token in tokenize.generate_tokens(io.StringIO(text).readline):
            if token.type not in _LAYOUT and token.string:
                tokens.append(token)
    except (tokenize.TokenError, IndentationError):
        pass  # a fragment may end inside a bracket; the tokens before that have been read
    return tokens


def _texts(tokens: list[tokenize.TokenInfo]) -> list[str]:
    """Return the tokens' texts, empty for a comma before a closing bracket.

    Such commas are left to the formatter, so they don't count in a comparison.
    """
    texts = [token.string for token in tokens]
    return [
        "" if text == "," and texts[place + 1 : place + 2] in _CLOSING else text
        for place, text in enumerate(texts)
    ]


def apply_mutation(text: str, old: str, new: str) -> str:
    """Return the source with the code `old`, in any layout, replaced by `new`.

    Raises ValueError unless `old` is found in exactly one place.
    """
    tokens = _tokens(text)
    texts_and_tokens = [
        (word, token) for word, token in zip(_texts(tokens), tokens, strict=True) if word
    ]
    sought = [word for word in _texts(_tokens(textwrap.dedent(old).strip())) if word]
    places = [
        start
        for start in range(len(texts_and_tokens) - len(sought) + 1)
        if [word for word, _ in texts_and_tokens[start : start + len(sought)]] == sought
    ]
    if len(places) != 1:
        raise ValueError(f"found in {len(places)} places instead of one: {old!r}")
    starts = [0]
    for line in text.splitlines(keepends=True):
        starts.append(starts[-1] + len(line))
    first, last = texts_and_tokens[places[0]][1], texts_and_tokens[places[0] + len(sought) - 1][1]
    begin = starts[first.start[0] - 1] + first.start[1]
    end = starts[last.end[0] - 1] + last.end[1]
    return text[:begin] + new.strip() + text[end:]


def _run_mutated(root: Path, name: str) -> tuple[str, str]:
    path, old, new, test = MUTATIONS[name]
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in ("libs", "tests", "docs", "platform", "deploy"):
            shutil.copytree(
                root / part, copy / part, ignore=shutil.ignore_patterns("__pycache__", "*.egg-info")
            )
        shutil.copy(root / "README.md", copy)
        target = copy / "libs" / path
        try:
            target.write_text(apply_mutation(target.read_text(), old, new))
        except (OSError, ValueError) as error:
            return name, f"not applied: {error}"
        sources = os.pathsep.join(str(place) for place in sorted(copy.glob("libs/*/src")))
        try:
            completed = subprocess.run(
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
                timeout=_TEST_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            return name, "caught"
        if completed.returncode == 1:
            return name, "caught"
        return (
            name,
            "SURVIVED" if completed.returncode == 0 else f"no test ran: {completed.stdout[-300:]}",
        )


def run_mutations(root: Path, names: Iterable[str], jobs: int) -> list[tuple[str, str]]:
    """Try the named mutations, `jobs` at once; return each name with its result.

    The result is `caught` if the test failed or took more than 300 s, `SURVIVED` if it passed, or
    the reason why no test ran.
    """
    with ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(lambda name: _run_mutated(root, name), names))
