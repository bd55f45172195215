"""Follows the operator's table: the configuration of queues, and evacuations."""

from collections.abc import Sequence

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.evacuations import Evacuations
from rattanloom.ingress.queues import QueueTable
from rattanloom.platform.configuration import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    parse_configuration,
)
from rattanloom.platform.json_format import FormatError
from rattanloom.platform.rows import Row, Store
from rattanloom.tables import TableFollower

log = DecisionLog("daemon")


def make_queue_follower(
    store: Store, clock: Clock, queues: QueueTable, evacuations: Evacuations
) -> TableFollower:
    """Return a follower that activates new configurations in ``queues``.

    It also applies the rows of evacuated zones. The caller sets ``delay_max_ms``, the
    longest time until a confirmed change must be in force.
    """

    def apply_snapshot(rows: Sequence[Row]) -> None:
        evacuations.apply_snapshot(rows)
        activate_configurations(rows)

    def apply_rows(rows: Sequence[Row]) -> None:
        evacuations.apply_rows(rows)
        activate_configurations(rows)

    def activate_configurations(rows: Sequence[Row]) -> None:
        for row in rows:
            if row.ref.key == CONFIGURATION_KEY and not row.deleted:
                _activate(queues, row)

    return TableFollower(store, OPERATOR_TABLE, clock, apply_snapshot, apply_rows)


def _activate(queues: QueueTable, row: Row) -> None:
    """Activate the configuration in a row if it is valid and newer."""
    try:
        configuration = parse_configuration(row)
    except FormatError as error:
        log.error("configuration_refused", reason=str(error))
        return
    if queues.replace(configuration):
        log.info("configuration_in_force", version=configuration.version)
