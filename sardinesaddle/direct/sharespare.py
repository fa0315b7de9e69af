"""Computes what entries keep free for one of them that does not know a new one.

An entry that is suspended or cut off does not count an entry that was started since,
and goes on to use its part. The others, which know both, share out what is left. What
that exceeds the permits by depends on rounding, so all cases are counted.
"""

import functools
import typing

# With fewer entries, more would have to be kept free than they could do without.
MIN_ENTRIES: typing.Final = 3
# Entries that use a target at once, while one takes it over from the other.
MAX_USERS: typing.Final = 2


@functools.cache
def compute_spare_claim(
    permits: int, first_count: int, standing: int, extra: int
) -> int:
    """Return the smallest claim to keep free with which the sum fits in the permits.

    ``first_count`` entries claim ``standing``. Entries that use the target claim
    ``extra`` more, whether they are among the first or not; one is always counted.
    """
    for spare in range(standing):
        worst = max(
            compute_worst(permits, count, first_count, standing, extra, spare)
            for count in range(MIN_ENTRIES, first_count + MAX_USERS + 2)
        )
        if worst <= permits:
            return spare
    return standing


def compute_worst(
    permits: int, count: int, first_count: int, standing: int, extra: int, spare: int
) -> int:
    """Return the highest sum with ``count`` entries, one unknown to another one."""
    worst = 0
    first = min(count, first_count)
    for first_users in range(min(first, MAX_USERS) + 1):
        for other_users in range(min(count - first, MAX_USERS - first_users) + 1):
            users = first_users + other_users
            total = first * standing + max(users, 1) * extra + spare
            part = permits * standing // total
            user_part = permits * (standing + extra) // total
            other_part = permits * extra // total
            parts = (
                (first - first_users) * part
                + first_users * user_part
                + other_users * other_part
            )
            if count > first_count:
                # The unknown entry took the place of the one that does not know it.
                worst = max(worst, parts + part)
                if other_users:
                    worst = max(worst, parts + user_part - other_part)
            else:
                less = total - standing
                if first > first_users + 1:
                    old_part = permits * standing // less
                    worst = max(worst, parts - part + old_part)
                if first_users:
                    old_part = permits * (standing + extra) // less
                    worst = max(worst, parts - user_part + old_part)
    return worst
