"""Counters, gauges and HDR histograms, rendered as Prometheus text."""

from collections import defaultdict

from attrs import define, field
from hdrh.histogram import HdrHistogram

# Range of the values in a distribution, see ``Metrics``.
VALUE_MIN = 1
VALUE_MAX = 600_000_000
SIGNIFICANT_DIGITS = 2
SCALE = 1000
QUANTILES = (50.0, 90.0, 99.0, 99.9)
PREFIX = "rattanloom"


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(VALUE_MIN, VALUE_MAX, SIGNIFICANT_DIGITS)


@define(eq=False, repr=False)
class Metrics:
    """The metrics of one process.

    Names are in snake case. Counters and gauges have at most one label, ``reason``.
    Distributions store thousandths of a millisecond or of a ratio.
    """

    counters: dict[tuple[str, str], int] = field(factory=lambda: defaultdict(int))
    gauges: dict[tuple[str, str], float] = field(factory=dict)
    distributions: dict[str, HdrHistogram] = field(
        factory=lambda: defaultdict(_new_histogram)
    )

    def count(self, name: str, label: str = "", by: int = 1) -> None:
        """Add ``by`` to a counter."""
        self.counters[name, label] += by

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge."""
        self.gauges[name, label] = value

    def observe(self, name: str, value_ms: float) -> None:
        """Record one latency in ms; the metric is named ``<name>_ms``."""
        self._record(f"{name}_ms", value_ms)

    def observe_ratio(self, name: str, ratio: float) -> None:
        """Record one ratio, such as a response time over its ideal time."""
        self._record(name, ratio)

    def _record(self, name: str, value: float) -> None:
        self.distributions[name].record_value(max(VALUE_MIN, int(value * SCALE)))

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [
            *_section("counter", "_total", self.counters),
            *_section("gauge", "", self.gauges),
        ]
        for name, histogram in sorted(self.distributions.items()):
            lines += _summary(name, histogram)
        return "\n".join(lines) + "\n"


def _section(kind: str, suffix: str, values: dict) -> list[str]:
    lines = []
    last_name = None
    for (name, label), value in sorted(values.items()):
        if name != last_name:
            lines.append(f"# TYPE {PREFIX}_{name}{suffix} {kind}")
            last_name = name
        labels = f'{{reason="{label}"}}' if label else ""
        lines.append(f"{PREFIX}_{name}{suffix}{labels} {value}")
    return lines


def _summary(name: str, histogram: HdrHistogram) -> list[str]:
    full_name = f"{PREFIX}_{name}"
    lines = [f"# TYPE {full_name} summary"]
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile) / SCALE
        lines.append(f'{full_name}{{quantile="{quantile / 100:g}"}} {value}')
    lines.append(f"{full_name}_count {histogram.get_total_count()}")
    return lines
