"""Replays bursts of wide long jobs beside urgent ones, by cost and by deadline alone.

The replay without priorities is the former decision: one queue for all kinds.
"""

from tests.load_replay import HARD_KINDS, LoadReplay

SEEDS = range(2)


def hard_burst(name: str, at_ms: float) -> float:
    """Return 5 s of the bursts of docs/HARD_LOAD.md within 68%."""
    factors = {"small-urgent": 1.9, "wide-long": 2.4}
    return 0.68 * (factors.get(name, 1) if 2_000 <= at_ms < 7_000 else 1)


def replays(load, uses_priority: bool = True, **options):
    return [
        LoadReplay(
            load,
            True,
            workers=58,
            length_ms=8_000,
            seed=seed,
            kinds=HARD_KINDS,
            is_varied=True,
            uses_priority=uses_priority,
            **options,
        ).run()
        for seed in SEEDS
    ]


def means(results) -> dict[str, float]:
    return {
        kind: sum(result.shares[kind] for result in results) / len(results)
        for kind in HARD_KINDS
    }


def test_callers_and_the_worst_kind_gain_in_a_burst():
    before, after = (
        means(replays(hard_burst, uses_priority)) for uses_priority in (False, True)
    )
    assert sum(after.values()) > sum(before.values())
    assert min(after.values()) > min(before.values())


def test_results_are_the_same_as_before_without_a_shortage():
    calm = [replays(lambda name, at_ms: 0.3, use)[0] for use in (False, True)]
    assert calm[0].shares == calm[1].shares
    assert not calm[1].refused_held_ms
