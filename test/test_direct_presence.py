"""Tests of what the end of a response is taken for, on a model without a network."""

import math
import random

import pytest

from sardinesaddle.direct import sightings
from test import presencemodel

SEEDS = 1600
PER_TEST = 200
MIN_CASES = 100  # of whole and of broken responses, in a test
CALM_S = 5.0  # after an end that is read, in which the entry can find out


def is_whole(scenario: presencemodel.Scenario, end: presencemodel.Exchange) -> bool:
    """Return whether the target ended a response, and not its process."""
    return end.ends_at + 0.1 < scenario.ends_at


def is_calm(scenario: presencemodel.Scenario, verdict: presencemodel.Verdict) -> bool:
    """Return whether nothing hinders the entry once it has read an end."""
    until = verdict.read_at + CALM_S
    return scenario.ends_at > until and not any(
        began_at < until and ended_at > verdict.read_at
        for began_at, ended_at in (*scenario.suspensions, *scenario.cuts)
    )


# Guards against the end of a process taken for that of its response, and the reverse.
@pytest.mark.parametrize("first", range(0, SEEDS, PER_TEST))
def test_only_responses_of_a_target_that_runs_on_are_whole(first: int) -> None:
    counts = {"whole": 0, "broken": 0}
    for seed in range(first, first + PER_TEST):
        scenario = presencemodel.make_scenario(random.Random(seed))
        for verdict in presencemodel.World(scenario).play():
            if not is_whole(scenario, verdict.exchange):
                counts["broken"] += 1
                is_cut = verdict.exchange.ends_at > scenario.ends_at
                assert not is_cut or verdict.has_ended is not False, (seed, verdict)
            elif is_calm(scenario, verdict):
                left_s = verdict.exchange.sent_at + presencemodel.DEADLINE_S
                if left_s - verdict.read_at < CALM_S:
                    continue
                counts["whole"] += 1
                assert verdict.has_ended is False, (seed, verdict)
    assert min(counts.values()) > MIN_CASES, counts


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
