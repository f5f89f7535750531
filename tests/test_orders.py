"""Tests of orders under a lease."""

from rollout_world import MODEL, FakeEngine
from tanagerport.clock import FakeClock
from tanagerport.leases import Lease
from tanagerport.orders import Order, OrderName, OrderResult, OrderSender
from tanagerport.standin_engine import StandinEngine

_ORDER = Order(OrderName.LOAD, MODEL, "v2")


class Connection:
    """Connection that passes orders on."""

    def __init__(self, engine: FakeEngine) -> None:
        self.send = lambda document: engine.take(0.0, document)

    def close(self) -> None:
        pass


def lease(clock: FakeClock, token: int = 1, lease_s: float = 10.0) -> Lease:
    expires_at = clock.monotonic() + lease_s
    return Lease("l", "n", token, lease_s, expires_at, 1, clock)


class TestOrderSender:
    """Orders of holders that lost their lease."""

    def test_pause_while_connecting_sends_nothing(self) -> None:
        """Guards against an order of a holder that was paused after a check."""
        clock = FakeClock()
        engine = FakeEngine("e", checks_fencing=False)

        def connect(address: str) -> Connection:
            clock.advance(60.0)
            return Connection(engine)

        result = OrderSender(connect).send(engine.vm, _ORDER, lease(clock))
        assert (result, engine.taken) == (OrderResult.LEASE_UNSAFE, [])

    def test_stops_before_the_lease_ends(self) -> None:
        """Guards against orders that may still run under the next holder."""
        clock = FakeClock()
        engine = FakeEngine("e", checks_fencing=False)
        held = lease(clock)
        clock.advance(8.5)
        sender = OrderSender(lambda address: Connection(engine))
        assert sender.send(engine.vm, _ORDER, held) is OrderResult.LEASE_UNSAFE
        assert not engine.taken

    def test_engine_refuses_an_old_token(self) -> None:
        """Guards against an order of an old holder at a checking engine."""
        clock = FakeClock()
        engine = FakeEngine("e", checks_fencing=True)
        sender = OrderSender(lambda address: Connection(engine))
        new, old = lease(clock, token=2), lease(clock, token=1)
        assert sender.send(engine.vm, _ORDER, new) is OrderResult.APPLIED
        assert sender.send(engine.vm, _ORDER, old) is OrderResult.STALE_TOKEN

    def test_http_order(self) -> None:
        """Guards against a format that engines don't take."""
        engine = StandinEngine(versions={MODEL: ["v1"]})
        engine.start()
        try:
            vm = FakeEngine(engine.address, checks_fencing=False).vm
            order = Order(OrderName.SET_DEFAULT, MODEL, "v1")
            result = OrderSender().send(vm, order, lease(FakeClock()))
        finally:
            engine.stop()
        assert result is OrderResult.APPLIED

    def test_unreachable_engine(self) -> None:
        """Guards against an exception that ends the controller's step."""
        vm = FakeEngine("127.0.0.1:1", checks_fencing=False).vm
        result = OrderSender().send(vm, _ORDER, lease(FakeClock()))
        assert result is OrderResult.NOT_SENT
