"""Tests of what the end of a response is taken for, on a model without a network."""

import math

import pytest

from sardinesaddle.direct import sightings
from test import presencemodel


# A busy target states who it is seconds later; contacts with it show it before.
def test_contacts_in_close_succession_show_a_busy_target() -> None:
    exchanges = [presencemodel.Exchange(number * 0.2, 1.5, 1.0) for number in range(20)]
    scenario = presencemodel.Scenario(exchanges, question_s=3.0, unlisted_at=3.9)
    verdicts = presencemodel.World(scenario).play()
    assert len(verdicts) == len(exchanges)
    assert all(verdict.has_ended is False for verdict in verdicts)
    assert max(verdict.waited_s for verdict in verdicts) < 0.5


DELAY_S = sightings.SUCCESSOR_DELAY_S


def test_contacts_count_once_one_of_their_run_is_the_targets() -> None:
    seen = sightings.Sightings()
    for number in range(4):
        began_at = 10.0 + number * 0.9 * DELAY_S
        seen.on_accepted(began_at, began_at + 0.01)
    assert seen.seen_at == -math.inf
    seen.on_answered(10.0)
    assert seen.seen_at == pytest.approx(10.0 + 2.7 * DELAY_S)


def test_contact_after_a_pause_may_be_with_another_process() -> None:
    seen = sightings.Sightings()
    seen.on_accepted(10.0, 10.0)
    seen.on_answered(10.0)
    seen.on_accepted(10.0 + DELAY_S, 10.0 + DELAY_S)
    seen.on_accepted(10.0 + 1.5 * DELAY_S, 10.0 + 1.5 * DELAY_S)
    assert seen.seen_at == 10.0


def test_contact_that_took_long_may_be_with_another_process() -> None:
    seen = sightings.Sightings()
    seen.on_answered(10.0)
    seen.on_accepted(10.1, 10.0 + DELAY_S)
    assert seen.seen_at == 10.0


def test_answer_to_what_was_sent_before_a_pause_says_nothing_of_later_contacts() -> (
    None
):
    seen = sightings.Sightings()
    seen.on_accepted(10.0 + DELAY_S, 10.0 + DELAY_S)
    seen.on_answered(10.0)
    assert seen.seen_at == 10.0
