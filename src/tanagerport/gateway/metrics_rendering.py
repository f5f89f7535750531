"""Rendering of the metrics of a process in the Prometheus text format."""

from collections.abc import Iterator

import prometheus_client
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from tanagerport.gateway.counters import Counters, Histogram


class _Collector:
    """Collects the metrics at the time of a scrape."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics; called by `prometheus_client`."""
        counters = self._counters
        for name, help_text, label, values in (
            ("refusals", "Refused requests.", "reason", counters.refusals),
            ("retries", "Repeated dispatches.", "reason", counters.retries),
            ("answers", "Answers of upstreams.", "outcome", counters.answers),
            ("store_calls", "Store calls.", "outcome", counters.store_calls),
            (
                "table_reads",
                "Rows of the store that were read, and failed relays.",
                "source",
                counters.table_reads,
            ),
            (
                "upstream_losses",
                "Upstreams lost with requests in progress.",
                "held",
                counters.upstream_losses,
            ),
            (
                "upstream_notices",
                "Notices in answers of upstreams.",
                "kind",
                counters.upstream_notices,
            ),
            (
                "connections_closed",
                "Connections of clients closed without a response.",
                "cause",
                counters.connections_closed,
            ),
            (
                "connections_closed_early",
                "Connections closed although their client had sent bytes.",
                "cause",
                counters.connections_closed_early,
            ),
            (
                "answers_unsent",
                "Answers whose end did not reach the client's host.",
                "cause",
                counters.answers_unsent,
            ),
            (
                "request_errors",
                "Requests on which the node itself failed.",
                "outcome",
                counters.request_errors,
            ),
        ):
            family = CounterMetricFamily(
                f"tanagerport_gateway_{name}", help_text, labels=[label]
            )
            for value, count in values.items():
                family.add_metric([value], count)
            yield family
        yield CounterMetricFamily(
            "tanagerport_gateway_clients_gone",
            "Requests whose client left before the answer.",
            value=counters.clients_gone,
        )
        for name, help_text, histogram in (
            ("wait", "Time from arrival to dispatch.", counters.wait),
            (
                "first_byte",
                "Time from arrival to the answer or its first event.",
                counters.first_byte,
            ),
            (
                "event_pause",
                "Time between events of a stream.",
                counters.event_pause,
            ),
        ):
            yield _histogram(name, help_text, histogram)
        for name, read_value in counters.gauges.items():
            yield GaugeMetricFamily(
                f"tanagerport_gateway_{name}", name, value=read_value()
            )


def _histogram(name: str, help_text: str, histogram: Histogram) -> Metric:
    family = HistogramMetricFamily(
        f"tanagerport_gateway_{name}_seconds", help_text
    )
    family.add_metric([], histogram.buckets(), histogram.sum_s)
    return family


def render(counters: Counters) -> bytes:
    """Returns all metrics in the Prometheus text format."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(counters))
    return prometheus_client.generate_latest(registry)
