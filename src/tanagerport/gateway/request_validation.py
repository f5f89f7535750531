"""Validation of client requests against the current configuration."""

import random

from tanagerport.gateway import request_headers
from tanagerport.gateway.attempt_age import AttemptAgeEstimator
from tanagerport.gateway.client_messages import ClientRequest, ClientResponse
from tanagerport.gateway.crash_evidence import request_key, request_keys
from tanagerport.gateway.domain import Customer, Route
from tanagerport.gateway.http_names import HttpNames
from tanagerport.gateway.output_estimates import OutputEstimator
from tanagerport.gateway.quotas import QuotaLimiter
from tanagerport.gateway.request_context import RequestContext, refusal_error
from tanagerport.gateway.route_table import RouteTable
from tanagerport.gateway.work_item import WorkItem
from tanagerport.refusals import RefusalReason

# Added to the time until the quota suffices, so that a client does not retry
# too early, in seconds.
_QUOTA_RETRY_MARGIN_S = 0.1


class RequestValidator:
    """Resolves the route and customer of requests and charges their quota.

    Args:
        http_names: Names of the header fields.
        quotas: Quotas of customers.
        outputs: Estimates how long answers are.
    """

    def __init__(
        self,
        http_names: HttpNames,
        quotas: QuotaLimiter,
        outputs: OutputEstimator,
    ) -> None:
        self._http_names = http_names
        self._quotas = quotas
        self._outputs = outputs
        self._age_estimator = AttemptAgeEstimator()

    def create_context(
        self,
        routes: RouteTable,
        request: ClientRequest,
        response: ClientResponse,
    ) -> RequestContext:
        """Validates a request and charges its quota units.

        Raises:
            RefusedError: The request is invalid, has no route or customer, or
                exceeds the quota.
        """
        header_values = request.header_values
        host = header_values.get(b"host", b"").decode("latin-1")
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = routes.find_route(host, path)
        if route is None:
            raise refusal_error(
                RefusalReason.UNKNOWN_ROUTE,
                f"no route of configuration"
                f" {routes.configuration.version} has {host}{path}",
            )
        customer = self._find_customer(routes, route, header_values)
        request_id = header_values.get(self._http_names.request_id, b"")
        if not request_id:
            raise refusal_error(
                RefusalReason.BAD_REQUEST,
                f"the field {self._http_names.request_id.decode()} is missing",
            )
        work = request_headers.parse_work_estimate(
            self._http_names, header_values
        )
        deadline_ms = request_headers.parse_number(
            header_values.get(self._http_names.deadline_ms)
        )
        timeout_s = route.timeout_s
        age_s = 0.0
        if deadline_ms is not None:
            timeout_s = min(timeout_s, deadline_ms / 1000)
            age_s = self._age_estimator.estimate_age_s(route.name, deadline_ms)
        tier = route.tier
        if customer is not None and customer.tier is not None:
            tier = customer.tier
        service = _select_service(route, request_id)
        if (
            request_headers.parse_output_estimate(
                self._http_names, header_values
            )
            is None
        ):
            work = self._outputs.estimate(
                service,
                route.name,
                "" if customer is None else customer.name,
                work,
            )
        item = WorkItem(
            request_id.decode("latin-1"),
            route,
            service,
            tier,
            request.received_at,
            request.received_at + timeout_s,
            age_s,
            work,
            part_keys=request_keys(
                service, work.parts, request.target, request.body
            ),
            request_key=request_key(
                service, work.parts, request.target, request.body
            ),
        )
        units = 0.0
        if customer is not None:
            units = self._quotas.request_units(customer, work)
            quota_wait_s = self._quotas.consume(customer, units)
            if quota_wait_s is not None:
                raise refusal_error(
                    RefusalReason.QUOTA_EXCEEDED,
                    f"{units:g} units are missing in the quota of"
                    f" {customer.name}, {customer.rate_per_s:g} a second"
                    f" and {customer.burst:g} at once",
                    retry_after_s=quota_wait_s + _QUOTA_RETRY_MARGIN_S,
                )
        return RequestContext(
            request, response, item, customer, units, self._quotas.uptime_s
        )

    def refund_unused_quota(self, context: RequestContext) -> None:
        """Refunds the quota units of a request that certainly did not run."""
        if context.customer is not None and not (
            context.may_have_run or context.response.is_started
        ):
            self._quotas.refund(
                context.customer, context.units, context.charged_at_s
            )

    def _find_customer(
        self,
        routes: RouteTable,
        route: Route,
        header_values: dict[bytes, bytes],
    ) -> Customer | None:
        if route.is_public or not routes.configuration.customers:
            return None
        key = request_headers.parse_api_key(self._http_names, header_values)
        customer = routes.find_customer(key)
        if customer is None:
            raise refusal_error(
                RefusalReason.UNKNOWN_KEY,
                "no customer of configuration"
                f" {routes.configuration.version} holds the key",
            )
        return customer


def _select_service(route: Route, request_id: bytes) -> str:
    """Selects a service by weight; the same request id selects the same one."""
    if len(route.services) == 1:
        return route.services[0][0]
    total = sum(weight for _, weight in route.services)
    point = random.Random(request_id).random() * total
    for service, weight in route.services:
        point -= weight
        if point < 0:
            return service
    return route.services[-1][0]
