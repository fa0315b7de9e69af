"""Tests that groups are planned for the skew that the next shift of demand brings.

The load: demand moves to other experts every few seconds, and passes are too long until
the expert map follows. Guards against planning for the skew of the present map alone,
with which all streams that run at a shift are late.
"""

import pytest

from sardinesaddle.direct.admission import groupskew, passmodel
from test import scarcegroups as sg

MODEL = passmodel.PassModel(sg.ENGINE)
EVEN = [passmodel.RankLoad(4.0)] * 24
PAUSE_S = 0.145


def observe(memory: groupskew.SkewMemory, now: float, skew: float) -> None:
    """Let three streams see a pass of a skew."""
    for stream in "abc":
        memory.on_gap(stream, MODEL.compute_pass_s(EVEN, skew))
    memory.learn(now, MODEL, EVEN)


def test_skew_follows_from_the_gaps_between_events() -> None:
    memory = groupskew.SkewMemory()
    observe(memory, 1.0, 2.8)
    assert memory.find_highest(1.5) == pytest.approx(2.8)


def test_passes_after_the_next_shift_stay_within_the_pause() -> None:
    memory = groupskew.SkewMemory()
    for second in range(8):
        observe(memory, float(second), 3.0 if second % 4 == 0 else 1.6)
    planned = memory.find_highest(1.6)
    requests = 4.0 * 24 + MODEL.compute_headroom(EVEN, planned, PAUSE_S).requests
    loads = [passmodel.RankLoad(requests / 24)] * 24
    assert MODEL.compute_pass_s(loads, 3.0) <= PAUSE_S + 0.001
    # With the reported skew alone the same pass is over the pause.
    requests = 4.0 * 24 + MODEL.compute_headroom(EVEN, 1.6, PAUSE_S).requests
    loads = [passmodel.RankLoad(requests / 24)] * 24
    assert MODEL.compute_pass_s(loads, 3.0) > 1.3 * PAUSE_S


def test_skew_is_forgotten_after_the_window() -> None:
    memory = groupskew.SkewMemory()
    observe(memory, 0.0, 3.5)
    observe(memory, 5.0, 2.0)
    assert memory.find_highest(1.5) == pytest.approx(3.5)
    observe(memory, 10.5, 1.6)
    assert memory.find_highest(1.5) == pytest.approx(2.0)


def test_gap_of_one_stream_alone_is_left_out() -> None:
    # A lost packet delays one stream, not the group.
    memory = groupskew.SkewMemory()
    memory.on_gap("d", 1.2)
    observe(memory, 1.0, 2.0)
    assert memory.find_highest(1.5) == pytest.approx(2.0)


def test_idle_group_and_very_long_gaps_tell_little() -> None:
    memory = groupskew.SkewMemory()
    memory.on_gap("a", 1.0)
    memory.learn(1.0, MODEL, [passmodel.RankLoad(0.5)] * 24)
    assert memory.find_highest(1.5) == 1.5
    memory.on_gap("a", 1.0)
    memory.learn(2.0, MODEL, EVEN)
    assert memory.find_highest(1.5) == groupskew.MAX_SKEW
