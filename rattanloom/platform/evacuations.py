"""Recognises the rows by which the operator evacuates zones."""

from rattanloom.platform.rows import Row

EVACUATION_PREFIX = "evacuate/"


def evacuated_zone(row: Row) -> str | None:
    """Return the zone that a row of the operator's table evacuates, or None.

    The row's value is not read: a row with an unexpected value evacuates its zone too,
    since a start that is not certain to be allowed must not happen.
    """
    if not row.ref.key.startswith(EVACUATION_PREFIX):
        return None
    return row.ref.key.removeprefix(EVACUATION_PREFIX)
