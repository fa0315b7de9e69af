"""Selects the subset of targets that an entry connects to.

In a deployment of 370 entries and 3,100 sidecars, connecting every entry to every
sidecar would exceed the budget of control messages. Each entry therefore connects to
the targets with the highest hash of entry and target (rendezvous hashing). A host that
joins or leaves changes one connection in each subset that it belongs to and no other.
"""

import collections.abc

from sardinesaddle import hashing


def choose_subset(
    entry: str, targets: collections.abc.Sequence[str], size: int
) -> list[str]:
    """Return the subset of an entry: ``size`` targets, or all if there are fewer.

    Every process selects the same ones, in whatever order ``targets`` are given.
    """
    if len(targets) <= size:
        return list(targets)
    ranked = sorted(targets, key=lambda name: score_pair(entry, name), reverse=True)
    return ranked[:size]


def score_pair(entry: str, target: str) -> int:
    """Return the rendezvous hash of an entry and a target."""
    return hashing.hash_text(f"{entry}\0{target}")
