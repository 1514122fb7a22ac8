"""Mutations: the code is changed in one place at a time, to see that a test fails each time."""

from testbed.mutations.runner import run_mutations
from testbed.mutations.table import MUTATIONS

__all__ = ["MUTATIONS", "run_mutations"]
