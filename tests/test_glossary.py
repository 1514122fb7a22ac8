"""Checks the code against docs/glossary.md: no public name of a finished package has a withdrawn word.

Public names are those of modules, classes, functions, methods, properties, constants and public
attributes. Names that leave the process (settings, fields of pydantic bodies) may not change; they are
listed in KEPT with the reason.
"""

import ast
import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

ROOT = Path(__file__).parent.parent
GLOSSARY = (ROOT / "docs" / "glossary.md").read_text()

WITHDRAWN = frozenset(
    [
        "baton",
        "beat",
        "beats",
        "carriage",
        "carrier",
        "chart",
        "colophon",
        "desk",
        "dealer",
        "dealing",
        "facsimile",
        "fate",
        "holder",
        "keeper",
        "kin",
        "leaf",
        "lot",
        "lots",
        "mishap",
        "neighbour",
        "neighbours",
        "params",
        "pulse",
        "readingroom",
        "receipt",
        "receipts",
        "registrar",
        "roster",
        "settled",
        "shelf",
        "shelves",
        "told",
        "visitor",
        "visitors",
        "weather",
    ]
)

# A package that still uses some of these words. No package may be added.
NOT_YET = frozenset({"platform_testbed"})

KEPT = {
    "beat": "a field of the JSON body with which a worker reports",
    "lot_share": "a field of a profile",
    "worker_beat_ms": "a setting",
}

WORD = re.compile(r"[A-Z]+(?=[A-Z][a-z])|[A-Z]?[a-z]+|[A-Z]+")


def words(name):
    return {word.lower() for word in WORD.findall(name)}


def public_names(path):
    yield path.stem
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)):
            yield node.name
        elif isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
            yield node.attr
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            yield node.target.id


class Glossary(TestCase):
    def test_withdrawn_words_are_explained(self):
        first_column = " ".join(re.findall(r"^\| ([^|]*) \|", GLOSSARY, re.MULTILINE)).lower()
        explained = set(re.findall(r"[a-z]+", first_column))
        explained |= {f"{word}s" for word in explained}
        self.assertThat(WITHDRAWN - explained, Equals(frozenset()))

    def test_no_public_name_has_a_withdrawn_word(self):
        found = {
            f"{path.relative_to(ROOT)}: {name}"
            for path in sorted((ROOT / "libs").glob("*/src/**/*.py"))
            if path.relative_to(ROOT).parts[1] not in NOT_YET
            for name in public_names(path)
            if not name.startswith("_") and name not in KEPT and words(name) & WITHDRAWN
        }
        self.assertThat(sorted(found), Equals([]))
