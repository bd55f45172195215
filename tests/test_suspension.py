"""Tests of the detection of a suspended process, in virtual time."""

from rattanloom.placement.suspension import SUSPENSION_MIN_MS, SuspensionGuard


def test_orders_are_forbidden_from_a_suspension_until_resume():
    suspensions = []
    guard = SuspensionGuard(lambda: suspensions.append(1))
    guard.tick(0)
    assert guard.may_give_orders(SUSPENSION_MIN_MS)
    assert not guard.may_give_orders(SUSPENSION_MIN_MS + 1)
    guard.tick(SUSPENSION_MIN_MS + 1)
    guard.tick(SUSPENSION_MIN_MS + 50)
    assert not guard.may_give_orders(SUSPENSION_MIN_MS + 50)
    assert suspensions == [1]
    guard.resume()
    assert guard.may_give_orders(SUSPENSION_MIN_MS + 50)


def test_orders_are_allowed_before_the_first_tick_and_while_ticks_go_on():
    guard = SuspensionGuard(lambda: None)
    assert guard.may_give_orders(10_000)
    for now_ms in range(0, 5_000, 200):
        guard.tick(now_ms)
        assert guard.may_give_orders(now_ms + 100)


def test_second_suspension_during_the_check_of_the_first_one_is_checked_as_well():
    # The response that the first check waited for was older than the second one.
    suspensions = []
    guard = SuspensionGuard(lambda: suspensions.append(1))
    for now_ms in (0, 1_000, 2_000):
        guard.tick(now_ms)
    assert suspensions == [1, 1]
    guard.resume()
    assert not guard.may_give_orders(2_000)
    guard.resume()
    assert guard.may_give_orders(2_000)
