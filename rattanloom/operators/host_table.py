"""The table of entry hosts that the command ``status`` prints."""

from collections import Counter

from rattanloom.errors import Failure
from rattanloom.operators.hosts import HostPage

HEADINGS = ("host", "zone", "health", "config", "members", "slots", "clock")
COLUMN_GAP = "  "


def status_lines(pages: list[HostPage]) -> list[str]:
    """Return the lines of the table, then notes on failures and configurations."""
    rows = [HEADINGS, *(_row(page) for page in pages)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(HEADINGS))]
    return [_format_row(row, widths) for row in rows] + _notes(pages)


def _format_row(row: tuple[str, ...], widths: list[int]) -> str:
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return COLUMN_GAP.join(cells).rstrip()


def _row(page: HostPage) -> tuple[str, ...]:
    content = page.content
    if isinstance(content, Failure):
        return (page.host, "", "unreachable", "", "", "", "")
    return (
        page.host,
        str(content.get("zone", "")),
        str(content.get("health", "")),
        str(content.get("config_version", "")),
        _members(content),
        _slots(content),
        f"{page.clock_ahead_ms:+.0f} ms",
    )


def _members(content: dict) -> str:
    states = Counter(member["state"] for member in content.get("members", ()))
    return ", ".join(f"{count} {state}" for state, count in sorted(states.items()))


def _slots(content: dict) -> str:
    capacity = content.get("capacity", {})
    free, total = capacity.get("free_slots", "?"), capacity.get("total_slots", "?")
    return f"{free} free of {total}"


def _notes(pages: list[HostPage]) -> list[str]:
    lines = []
    for page in pages:
        if isinstance(page.content, Failure):
            lines.append(f"{page.host}: {page.content.reason}")
            continue
        config = page.content.get("config", {})
        if config.get("ground"):
            lines.append(f"{page.host}: {config['ground']}")
        if config.get("problem"):
            lines.append(f"{page.host}: problem: {config['problem']}")
    return lines
