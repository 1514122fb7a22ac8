"""Checks docs/architecture.md against the code.

Every package has a row in the table and imports only packages in the rows above its own, and the
modules that the page names exist.
"""

import ast
import re
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

ROOT = Path(__file__).parent.parent


def layers():
    """The packages in the order of the table under `## Packages`."""
    table = (ROOT / "docs" / "architecture.md").read_text().split("## Packages")[1]
    return re.findall(r"^\| `(\w+)` \|", table, re.MULTILINE)


def imported_packages(package):
    for path in (ROOT / "libs" / package / "src").glob("**/*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                yield node.module.split(".")[0], path
            elif isinstance(node, ast.Import):
                yield from ((name.name.split(".")[0], path) for name in node.names)


class Layers(TestCase):
    def test_every_package_has_a_row(self):
        packages = {path.name for path in (ROOT / "libs").iterdir() if (path / "src").is_dir()}
        self.assertThat(set(layers()), Equals(packages))

    def test_packages_import_only_those_above_them(self):
        order = layers()
        for position, package in enumerate(order):
            allowed = set(order[: position + 1])
            for name, path in imported_packages(package):
                if name in order:
                    self.assertThat(name in allowed, Equals(True), f"{path} imports {name}")

    def test_modules_that_the_page_names_exist(self):
        text = (ROOT / "docs" / "architecture.md").read_text()
        order = set(layers())
        named = {
            tuple(name.split("."))
            for name in re.findall(r"`([a-z_]+\.[a-z_]+)(?:\.\w+)?`", text)
            if name.split(".")[0] in order
        }
        self.assertThat(len(named) > 20, Equals(True))
        for package, module in sorted(named):
            folder = ROOT / "libs" / package / "src" / package
            exists = (folder / f"{module}.py").exists() or (folder / module).is_dir()
            self.assertThat(exists, Equals(True), f"{package}.{module}")
