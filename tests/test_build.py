"""The deploy file's list of system packages covers the programs that the build and the README call."""

import re
import tomllib
from pathlib import Path

from testtools import TestCase
from testtools.matchers import Contains, Equals

ROOT = Path(__file__).parent.parent
# Debian packages that provide a program or a module of `python3 -m`. Programs of essential packages
# (bash, coreutils) are installed on every machine.
PROVIDED_BY = {
    "python3": "python3",
    "python3 -m pip": "python3-pip",
    "python3 -m venv": "python3-venv",
}
ESSENTIAL = {"[", "touch", "cd", "cat", "echo", "set", "if", "while", "done", "fi"}


def programs_called(script: str) -> set[str]:
    """The programs that a shell script calls; for python3 -m also the module."""
    called = set()
    for command in re.split(r"\|\||&&|[;{}\n]", script):
        words = command.split()
        if not words or words[0].startswith((".venv/", "#")) or "=" in words[0]:
            continue
        if words[0] == "python3" and words[1:2] == ["-m"]:
            called.add("python3")
            called.add(" ".join(words[:3]))
        else:
            called.add(words[0])
    return called


class SystemPackages(TestCase):
    def setUp(self):
        super().setUp()
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())

    def test_every_program_of_the_build_has_its_package_listed(self):
        called = programs_called(self.deploy["build"])
        self.assertThat(called - set(PROVIDED_BY) - ESSENTIAL, Equals(set()))
        self.assertThat(called, Contains("python3 -m pip"))
        for program in called & set(PROVIDED_BY):
            self.assertThat(self.deploy["packages"], Contains(PROVIDED_BY[program]))

    def test_the_readme_commands_have_their_packages_listed_and_named(self):
        readme = (ROOT / "README.md").read_text()
        install = readme.split("## Install and test")[1].split("## ")[0]
        commands = "\n".join(line for line in install.splitlines() if line.startswith("    "))
        called = programs_called(commands)
        self.assertThat(called, Contains("python3 -m venv"))
        self.assertThat(called - set(PROVIDED_BY) - ESSENTIAL, Equals(set()))
        for package in self.deploy["packages"]:
            self.assertThat(install, Contains(f"`{package}`"))
        for program in called & set(PROVIDED_BY):
            self.assertThat(self.deploy["packages"], Contains(PROVIDED_BY[program]))

    def test_every_library_of_the_build_is_pinned(self):
        wanted = (ROOT / "platform" / "requirements.txt").read_text().split()
        pinned = {
            line.split("==")[0].lower() for line in (ROOT / "constraints.txt").read_text().split()
        }
        self.assertThat({name.lower() for name in wanted} - pinned, Equals(set()))
