"""Counters, gauges and latency histograms in the Prometheus text format."""

from collections import defaultdict

from hdrh.histogram import HdrHistogram

US_PER_MS = 1000
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Metrics:
    """The metrics of one process.

    Args:
        process: The process's name, which labels every series.
    """

    def __init__(self, *, process):
        self._process = process
        self._counts = defaultdict(int)
        self._histograms = {}
        self._gauges = {}

    def count(self, name, *, label=""):
        """Add 1 to the counter of ``name`` and ``label``."""
        self._counts[name, label] += 1

    def record_ms(self, name, duration_ms, *, label=""):
        """Add a duration to the histogram of ``name`` and ``label``."""
        histogram = self._histograms.get((name, label))
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[name, label] = histogram
        histogram.record_value(max(LOWEST_US, int(duration_ms * US_PER_MS)))

    def gauge(self, name, read):
        """Register a gauge; ``read()`` returns its value at each scrape."""
        self._gauges[name] = read

    def summary(self):
        """Return counts and percentiles in plain types, for ``waxwing status``."""
        counts = {_dotted_name(key): count for key, count in self._counts.items()}
        durations = {
            _dotted_name(key): {
                "count": histogram.get_total_count(),
                **{
                    f"p{percentile:g}_ms": _percentile_ms(histogram, percentile)
                    for percentile in PERCENTILES
                },
            }
            for key, histogram in self._histograms.items()
        }
        return {"counts": counts, "durations": durations}

    def render(self):
        """Return all series in the Prometheus text format, as bytes."""
        # Imported here to save its cost in processes whose metrics are not read.
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self):
        """Yield the metric families; ``CollectorRegistry`` calls this method."""
        from prometheus_client.core import GaugeMetricFamily

        for name in sorted({name for name, _ in self._counts}):
            yield self._counter_family(name)
        for name in sorted({name for name, _ in self._histograms}):
            yield self._quantile_family(name)
        for name, read in self._gauges.items():
            family = GaugeMetricFamily(
                f"waxwinghold_{name}", f"Current {name}.", labels=["process"]
            )
            family.add_metric([self._process], read())
            yield family

    def _counter_family(self, name):
        from prometheus_client.core import CounterMetricFamily

        family = CounterMetricFamily(
            f"waxwinghold_{name}", f"Events: {name}.", labels=["process", "label"]
        )
        for (counter_name, label), count in self._counts.items():
            if counter_name == name:
                family.add_metric([self._process, label], count)
        return family

    def _quantile_family(self, name):
        from prometheus_client.core import GaugeMetricFamily

        family = GaugeMetricFamily(
            f"waxwinghold_{name}_ms",
            f"Percentiles of {name} in milliseconds since the start.",
            labels=["process", "label", "quantile"],
        )
        for (histogram_name, label), histogram in self._histograms.items():
            if histogram_name != name:
                continue
            for percentile in PERCENTILES:
                labels = [self._process, label, f"{percentile / 100:g}"]
                family.add_metric(labels, _percentile_ms(histogram, percentile))
        return family


def metrics_response(metrics):
    """Return the answer to a scrape, which closes its connection.

    A page takes several ms, so many requests sent ahead would stop the process.
    """
    from aiohttp import web

    response = web.Response(
        body=metrics.render(), headers={"Content-Type": CONTENT_TYPE}
    )
    response.force_close()
    return response


def add_metrics_route(app, metrics):
    """Serve ``metrics`` at ``/metrics`` of ``app``."""

    async def serve(request):
        return metrics_response(metrics)

    app.router.add_get("/metrics", serve)


def _percentile_ms(histogram, percentile):
    return histogram.get_value_at_percentile(percentile) / US_PER_MS


def _dotted_name(key):
    name, label = key
    return f"{name}.{label}" if label else name
