"""Latency histograms of the experiments, by name."""

import typing

import hdrh.histogram

LARGEST_US = 600_000_000
SIGNIFICANT_FIGURES = 3


class Latencies:
    """HDR histograms of latencies, one for each name."""

    def __init__(self) -> None:
        self.histograms: dict[str, typing.Any] = {}

    def add(self, name: str, seconds: float) -> None:
        """Record one latency."""
        held = self.histograms.get(name)
        if held is None:
            held = hdrh.histogram.HdrHistogram(1, LARGEST_US, SIGNIFICANT_FIGURES)
            self.histograms[name] = held
        held.record_value(min(max(1, int(seconds * 1e6)), LARGEST_US))

    def percentile_ms(self, name: str, percentile: float) -> float:
        """Return a percentile (0 to 100) in milliseconds, 0 if nothing was added."""
        held = self.histograms.get(name)
        if held is None:
            return 0.0
        return float(held.get_value_at_percentile(percentile)) / 1000

    def summary(self) -> dict[str, dict[str, float]]:
        """Return count and percentiles in milliseconds by name."""
        return {
            name: {
                "count": held.get_total_count(),
                **{
                    f"p{percentile:g}_ms": self.percentile_ms(name, percentile)
                    for percentile in (50, 90, 99, 99.9, 100)
                },
            }
            for name, held in sorted(self.histograms.items())
        }
