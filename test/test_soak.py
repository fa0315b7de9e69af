"""A short seeded soak of real processes; test/soak.py tells what it plays.

Seeds that failed once stay here, with a line on the cause.
"""

import pathlib

import pytest

from test import soak

SECONDS = 4.0


@pytest.mark.parametrize(
    "seed",
    [
        2,
        # A request that crossed the close of its connection counted as lost.
        6,
        # An entry that was told to reload while it started was ended by the signal.
        9,
        21,
    ],
)
def test_promises_hold_in_a_soak(seed: int, tmp_path: pathlib.Path) -> None:
    run = soak.run_seed(seed, SECONDS, tmp_path)
    assert run.violations == []
    assert run.served_count > 0
