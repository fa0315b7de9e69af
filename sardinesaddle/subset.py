"""Chooses the targets that an entry keeps connections to.

At size, 370 entries cannot each be connected to 3,100 sidecars within the budget of
control messages. Each entry therefore keeps the targets with the highest hash of
entry and target (rendezvous hashing), so that a host that comes or goes changes one
connection in each subset that it belongs to and no other.
"""

import collections.abc

from sardinesaddle import hashing


def choose_subset(
    entry: str, targets: collections.abc.Sequence[str], size: int
) -> list[str]:
    """Return ``size`` of the targets, the same for the same entry."""
    if len(targets) <= size:
        return list(targets)
    ranked = sorted(targets, key=lambda name: score_pair(entry, name), reverse=True)
    return ranked[:size]


def score_pair(entry: str, target: str) -> int:
    """Return the hash that decides whether an entry keeps a target."""
    return hashing.hash_text(f"{entry}\0{target}")
