"""Prints bench runs as Markdown tables: ``python -m experiments.report FILE...``.

Each file holds the output of ``python -m experiments.bench``. ``--plot IMAGE`` also
plots response times against wasted messages.
"""

import json
from pathlib import Path

from fire import Fire

COLUMNS = (
    ("scenario", "scenario"),
    ("system", "system"),
    ("p50", "p50, response/ideal"),
    ("p99", "p99, response/ideal"),
    ("wasted_per_task", "wasted messages per task"),
    ("goodput_share", "goodput, share of capacity"),
    ("offered_share", "offered work, share of capacity"),
    ("complete_share", "complete, share of jobs"),
    ("refusal_p50_ms", "refusal p50, ms"),
    ("refusal_p99_ms", "refusal p99, ms"),
    ("lag_p99_ms", "generator lag p99, ms"),
)
MARKERS = {"rattanloom": "o", "random": "x"}  # of each system in the plot


def read_rows(paths: tuple[str, ...]) -> list[dict]:
    """Return the rows from the JSON object in the last line of each file."""
    rows = []
    for path in paths:
        last_line = Path(path).read_text().strip().splitlines()[-1]
        rows += json.loads(last_line)["rows"]
    return rows


def format_table(rows: list[dict], deployment: str) -> str:
    """Return one deployment's rows as a Markdown table."""
    headers = [header for _, header in COLUMNS] + ["unsuccessful outcomes"]
    lines = ["| " + " | ".join(headers) + " |", "|---" * len(headers) + "|"]
    for row in rows:
        if row["deployment"] == deployment:
            cells = [str(row[name]) for name, _ in COLUMNS] + [
                _unsuccessful_outcomes(row)
            ]
            lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _unsuccessful_outcomes(row: dict) -> str:
    outcomes = {
        label: count
        for label, count in row["outcomes"].items()
        if label not in ("complete", "resubmitted")
    }
    return ", ".join(f"{label} {count}" for label, count in outcomes.items())


def plot_rows(rows: list[dict], path: str) -> None:
    """Plot the p99 of response time over ideal against wasted messages per task."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    for row in rows:
        axes.scatter(
            row["wasted_per_task"], row["p99"], marker=MARKERS[row["system"]], c="k"
        )
        axes.annotate(
            f"{row['deployment']} {row['scenario']}",
            (row["wasted_per_task"], row["p99"]),
            fontsize=6,
        )
    axes.set_xlabel("wasted messages per task")
    axes.set_ylabel("response over ideal, p99")
    axes.set_xscale("symlog", linthresh=0.01)
    axes.set_yscale("log")
    figure.savefig(path, dpi=150)


def main(*paths: str, plot: str = "") -> None:
    """Print the tables of bench outputs, and write the plot if requested.

    Args:
        paths: files with the bench's output.
        plot: path of the image to write.
    """
    rows = read_rows(paths)
    for deployment in dict.fromkeys(row["deployment"] for row in rows):
        print(f"### {deployment}\n\n{format_table(rows, deployment)}\n")
    if plot:
        plot_rows(rows, plot)


if __name__ == "__main__":
    Fire(main)
