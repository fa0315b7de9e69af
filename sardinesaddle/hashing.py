"""The one hash that places, subsets and fingerprints use.

It must give the same number in every process and release, since a key's home
follows from it.
"""

import xxhash


def hash_text(text: str, seed: int = 0) -> int:
    """Return a 64-bit hash of a text."""
    return xxhash.xxh64_intdigest(text.encode(), seed=seed)
