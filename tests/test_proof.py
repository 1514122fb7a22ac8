"""docs/proof.md names only what exists and covers all rules, and the sources follow rules of style."""

import ast
import re
from pathlib import Path

from platform_testbed.oracle import PLATFORM_RULES
from platform_testbed.scenarios import PLATFORM_DAYS
from simulator.oracle import RULES
from test_platform_bench import FAULT_RULES as FAKE_PLATFORM_FAULTS
from test_sim import SCHEDULES
from testbed.mutations import MUTATIONS
from testbed.mutations.runner import apply_mutation
from testbed.scenarios import SCENARIOS
from testtools import TestCase
from testtools.matchers import Equals

ROOT = Path(__file__).parent.parent
PROOF = (ROOT / "docs" / "proof.md").read_text()


def every_test():
    for path in sorted((ROOT / "tests").glob("test_*.py")):
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.ClassDef):
                for part in node.body:
                    if isinstance(part, ast.FunctionDef) and part.name.startswith("test_"):
                        yield f"{path.stem}.{node.name}.{part.name}"


class Proof(TestCase):
    def named(self, kind):
        return set(re.findall(rf"`{kind}:([^`]+)`", PROOF))

    def test_everything_named_exists(self):
        for kind, existing in (
            ("schedule", SCHEDULES),
            ("day", SCENARIOS),
            ("rule", RULES),
            ("break", MUTATIONS),
            ("platform-day", PLATFORM_DAYS),
            ("platform-rule", PLATFORM_RULES),
            ("fake", FAKE_PLATFORM_FAULTS),
        ):
            self.assertThat((kind, self.named(kind) - set(existing)), Equals((kind, set())))
        self.assertThat(
            set(re.findall(r"`(test_\w+\.\w+\.\w+)`", PROOF)) - set(every_test()), Equals(set())
        )

    def test_every_rule_is_claimed_and_every_break_applies(self):
        self.assertThat(set(RULES) - self.named("rule"), Equals(set()))
        for name, (path, old, new, test) in MUTATIONS.items():
            text = (ROOT / "libs" / path).read_text()
            self.assertThat(apply_mutation(text, old, new) != text, Equals(True), name)
            self.assertThat((ROOT / test.split()[0]).exists(), Equals(True), name)

    def test_every_rule_of_the_platform_has_a_day_and_a_break(self):
        self.assertThat(self.named("platform-rule"), Equals(set(PLATFORM_RULES)))
        self.assertThat(set(PLATFORM_DAYS) - self.named("platform-day"), Equals(set()))
        section = PROOF.split("## The platform's rules")[1].split("## ")[0]
        for _, day, broken in [
            line.split("|")[1:-1] for line in section.splitlines() if line.startswith("| `")
        ]:
            self.assertThat(
                (
                    "`platform-day:" in day or "every day" in day,
                    "`fake:" in broken or "by hand" in broken,
                ),
                Equals((True, True)),
                day,
            )

    def test_every_row_of_what_must_never_happen_has_a_failure_and_a_break(self):
        section = PROOF.split("## What must never happen")[1].split("## ")[0]
        rows = [line.split("|")[1:-1] for line in section.splitlines() if line.startswith("|")][2:]
        self.assertThat(len(rows), Equals(12))
        for point, _, failure, broken, state in rows:
            self.assertThat(
                ("`rule:" in failure, "`break:" in broken, state.strip()),
                Equals((True, True, "met")),
                point,
            )


LONGEST_FUNCTION = 80


class HouseStyle(TestCase):
    def test_functions_are_short(self):
        """Functions outside the tests have at most LONGEST_FUNCTION lines; files may have any length."""
        for path in [*(ROOT / "libs").glob("*/src/**/*.py"), *(ROOT / "platform").glob("*.py")]:
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)):
                    lines = node.end_lineno - node.lineno + 1
                    self.assertThat(lines <= LONGEST_FUNCTION, Equals(True), f"{path}: {node.name}")

    def test_files(self):
        for path in [
            *sorted((ROOT / "libs").glob("*/src/**/*.py")),
            *sorted((ROOT / "tests").glob("*.py")),
        ]:
            text = path.read_text()
            tree = ast.parse(text)
            self.assertThat(
                ast.get_docstring(tree) is not None,
                Equals(True),
                f"{path}: no module docstring",
            )
            self.assertThat(
                any(
                    isinstance(node, (ast.Import, ast.ImportFrom))
                    and "dataclasses" in ast.dump(node)
                    for node in ast.walk(tree)
                ),
                Equals(False),
                str(path),
            )
            if path.parts[-2] != "tests":
                names = [
                    target.id
                    for node in tree.body
                    if isinstance(node, (ast.Assign, ast.AnnAssign))
                    for target in getattr(node, "targets", None) or [node.target]
                    if isinstance(target, ast.Name)
                ]
                self.assertThat("__all__" in names, Equals(True), f"{path}: no __all__")
