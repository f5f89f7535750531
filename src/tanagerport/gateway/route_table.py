"""Routing by host and longest path prefix, and API key lookup."""

from collections.abc import Iterable

from tanagerport.gateway.domain import Configuration, Customer, Route


class RouteTable:
    """Index of the routes and customers of a configuration.

    Args:
        configuration: Configuration to index.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._routes_by_host = _index_routes(configuration.routes)
        self._customer_by_key = {
            key: customer
            for customer in configuration.customers
            for key in customer.keys
        }

    @property
    def configuration(self) -> Configuration:
        """The indexed configuration."""
        return self._configuration

    def find_route(self, host: str, path: str) -> Route | None:
        """Finds the route of a request.

        Args:
            host: Value of the `Host` header, with or without a port.
            path: Request path without the query string.

        Returns:
            The route of the host with the longest matching prefix, or None if
            no route matches.
        """
        routes = self._routes_by_host.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_customer(self, key: str) -> Customer | None:
        """Finds the customer that owns an API key."""
        return self._customer_by_key.get(key)


def _index_routes(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    index: dict[str, dict[str, Route]] = {}
    for route in routes:
        index.setdefault(route.host, {})[route.prefix] = route
    return index
