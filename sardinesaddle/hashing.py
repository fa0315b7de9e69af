"""The hash function for owners of keys, target subsets and fingerprints.

It must return the same value in every process and release, since the owner of an
opaque key is derived from it.
"""

import xxhash


def hash_text(text: str, seed: int = 0) -> int:
    """Return the 64-bit xxHash of a text in UTF-8."""
    return xxhash.xxh64_intdigest(text.encode(), seed=seed)
