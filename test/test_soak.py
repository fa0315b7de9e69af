"""Short soak runs of real processes with fixed seeds; see test/soak.py.

Seeds that once failed stay here, with the cause of the failure.
"""

import pathlib

import pytest

from test import soak

SECONDS = 4.0


@pytest.mark.parametrize(
    "seed",
    [
        2,
        # A request sent while the entry closed the connection was counted as lost.
        6,
        # SIGHUP for a reload ended an entry that was still starting.
        9,
        21,
    ],
)
def test_promises_hold_in_a_soak(seed: int, tmp_path: pathlib.Path) -> None:
    run = soak.run_seed(seed, SECONDS, tmp_path)
    assert run.violations == []
    assert run.served_count > 0
