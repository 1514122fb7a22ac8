"""Digests of simulated runs, so that two versions of the code can be compared byte for byte.

A file of digests is a JSON object: "SHAPE SEED FAULTS" to the digest of that run. Two versions that
give the same file send the same messages and write the same bytes at the same virtual times.
"""

from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from simulator.run_digest import digest_of_run
from simulator.runs import SHAPES

__all__ = ["RunKey", "compute_digests", "differing_runs"]


class RunKey(NamedTuple):
    """What determines a simulated run: shape, seed and number of faults."""

    shape: str
    seed: int
    faults: int

    def __str__(self) -> str:
        return f"{self.shape} {self.seed} {self.faults}"

    @classmethod
    def parse(cls, text: str) -> "RunKey":
        """Return the key from its text form; ValueError if that is malformed."""
        shape, seed, faults = text.split()
        if shape not in SHAPES:
            raise ValueError(f"no such shape: {shape}")
        return cls(shape, int(seed), int(faults))


def _digest(key: RunKey) -> str:
    return digest_of_run(key.shape, key.seed, key.faults)


def compute_digests(keys: list[RunKey], jobs: int) -> dict[str, str]:
    """Return the digest of each run by its key, with up to `jobs` runs at a time."""
    with ProcessPoolExecutor(jobs) as pool:
        return {str(key): digest for key, digest in zip(keys, pool.map(_digest, keys), strict=True)}


def differing_runs(expected: dict[str, str], found: dict[str, str]) -> list[str]:
    """Return the keys of `expected` whose digest in `found` is another, in their order."""
    return [key for key, digest in expected.items() if found.get(key) != digest]
