"""Metrics of a node for Prometheus."""

import prometheus_client

from tanagerport.model import RefusalReason, RetryReason

_LATENCY_BUCKETS_S = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.51, 0.75, 1, 2, 5, 10, 30,
)  # fmt: skip
_INTERVAL_BUCKETS_S = (
    0.005, 0.01, 0.02, 0.03, 0.039, 0.05, 0.075, 0.1, 0.2, 0.5, 1,
)  # fmt: skip


class Metrics:
    """All metrics of one node, in a registry of its own."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        registry = self._registry
        self.requests = prometheus_client.Counter(
            "tanagerport_requests",
            "Requests received.",
            ["work_class"],
            registry=registry,
        )
        self.goodput = prometheus_client.Counter(
            "tanagerport_goodput",
            "Requests answered whole within their class target.",
            ["tier"],
            registry=registry,
        )
        self.refusals = prometheus_client.Counter(
            "tanagerport_refusals",
            "Refused requests.",
            ["reason"],
            registry=registry,
        )
        self.retries = prometheus_client.Counter(
            "tanagerport_retries",
            "Dispatches tried again at another upstream.",
            ["reason"],
            registry=registry,
        )
        self.first_token = prometheus_client.Histogram(
            "tanagerport_first_token_seconds",
            "Time from arrival to the first byte of the answer.",
            ["work_class"],
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.token_interval = prometheus_client.Histogram(
            "tanagerport_token_interval_seconds",
            "Mean time between tokens of an answer.",
            ["work_class"],
            buckets=_INTERVAL_BUCKETS_S,
            registry=registry,
        )
        self.queue_wait = prometheus_client.Histogram(
            "tanagerport_queue_wait_seconds",
            "Time from arrival to dispatch.",
            ["tier"],
            buckets=_LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.wasted_prefill = prometheus_client.Counter(
            "tanagerport_wasted_prefill_tokens",
            "Prompt tokens of dispatched requests that were not answered.",
            registry=registry,
        )
        self.streams = prometheus_client.Gauge(
            "tanagerport_open_streams",
            "Answers in progress.",
            registry=registry,
        )
        self.slots = prometheus_client.Gauge(
            "tanagerport_upstream_slots",
            "Slots of an upstream that this node may use.",
            ["upstream"],
            registry=registry,
        )
        self.late_frames = prometheus_client.Counter(
            "tanagerport_late_frames",
            "Dropped frames and events of ended requests.",
            registry=registry,
        )
        self.silent_connections = prometheus_client.Counter(
            "tanagerport_silent_connections",
            "Upstream connections given up because others worked.",
            registry=registry,
        )
        self.replays = prometheus_client.Counter(
            "tanagerport_replays",
            "Resends answered with the kept answer of their key.",
            registry=registry,
        )
        self.callers_gone = prometheus_client.Counter(
            "tanagerport_callers_gone",
            "Requests whose caller closed its connection early.",
            registry=registry,
        )
        self.evicted_callers = prometheus_client.Counter(
            "tanagerport_evicted_callers",
            "Half-sent requests closed to free their threads.",
            registry=registry,
        )
        for reason in RefusalReason:
            self.refusals.labels(reason.value)
        for retry_reason in RetryReason:
            self.retries.labels(retry_reason.value)

    @property
    def registry(self) -> prometheus_client.CollectorRegistry:
        """Registry that holds the metrics."""
        return self._registry

    def render(self) -> bytes:
        """Returns the metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self._registry)
