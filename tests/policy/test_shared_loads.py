"""Loads that nodes tell each other: order, age, loss, and the size of a datagram."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, replace

import msgspec
import pytest

from tamarackshelf.gossip.link import (
    MAX_DATAGRAM_BYTES,
    GossipLink,
    decode_signed,
    encode_signed,
)
from tamarackshelf.policy.gossip_types import Datagram, DatagramKind
from tamarackshelf.policy.membership import RUMOUR_SPACE_BYTES
from tamarackshelf.policy.rumours import Rumour
from tamarackshelf.policy.shared_loads import (
    MAX_BYTES,
    SHARE_TTL_S,
    SharedLoads,
    build_key,
)
from tamarackshelf.world import Address
from tests.support.node import build_target

ENGINES = [build_target(f"e{n}", "models", versions={"m": 1}).target for n in range(50)]


def own(*counts):
    return {
        build_key(engine): count for engine, count in zip(ENGINES, counts, strict=False)
    }


def find(loads, now_s, engine=ENGINES[0]):
    expected = loads.estimate(now_s)
    return None if expected is None else round(expected.find(engine), 3)


def test_requests_of_all_other_nodes_are_summed():
    a, b, c = (SharedLoads(name, 1) for name in "abc")
    a.receive(b.build(own(3, 1), 0.0), 0.0)
    a.receive(c.build(own(2), 0.0), 0.0)
    a.receive(a.build(own(6), 0.0), 0.0)
    assert find(a, 0.0) == 5.0
    assert find(a, 0.0, ENGINES[1]) == 1.0
    assert find(a, 0.0, ENGINES[2]) == 0.0


def test_numbers_pass_through_a_node_and_its_own_replace_older_ones():
    a, b, c = (SharedLoads(name, 1) for name in "abc")
    first, second = b.build(own(6), 0.0), b.build(own(1), 0.0)
    c.receive(second, 0.0)
    a.receive(c.build({}, 0.0), 0.0)
    a.receive(first, 0.0)
    assert find(a, 0.0) == 1.0


def test_node_that_has_nothing_left_says_so():
    a, b = SharedLoads("a", 1), SharedLoads("b", 1)
    a.receive(b.build(own(6), 0.0), 0.0)
    a.receive(b.build({}, 0.1), 0.1)
    assert find(a, 0.1) == 0.0


def test_numbers_of_a_dead_node_fade_and_are_forgotten():
    a, b = SharedLoads("a", 1), SharedLoads("b", 1)
    a.receive(b.build(own(6), 0.0), 0.0)
    assert 1.5 < find(a, 2.0) < 3.0
    assert find(a, SHARE_TTL_S) is None


def test_nodes_that_pass_numbers_back_and_forth_do_not_keep_them_alive():
    """Ages in messages leave out the time on the link, so they may only grow."""
    a, b, c = (SharedLoads(name, 1) for name in "abc")
    a.receive(c.build(own(6), 0.0), 0.0)
    now_s = 0.0
    for source, to in itertools.islice(itertools.cycle([(a, b), (b, a)]), 700):
        shares = source.build({}, now_s)
        now_s += 0.01
        to.receive(shares, now_s)
    assert find(a, now_s) is None
    assert find(b, now_s) is None


@pytest.mark.parametrize("last", [65_535, 3])
def test_restarted_node_and_wrapped_sequence_are_newer(last):
    a = SharedLoads("a", 1)
    a.receive(SharedLoads("b", last - 1).build(own(6), 0.0), 0.0)
    a.receive(SharedLoads("b", last + 30).build(own(2), 0.1), 0.1)
    assert find(a, 0.1) == 2.0


def test_bytes_of_a_datagram_are_bounded_with_any_number_of_nodes_and_engines():
    """A larger datagram is not sent, and its sender would be taken for dead."""
    loads = SharedLoads("n" * 60, 1)
    for node in range(380):
        told = SharedLoads(f"vm-{node}", node).build(own(*[300] * (node % 50)), 0.0)
        loads.receive(told, 0.0)
    shares = loads.build(own(*[300] * 50), 5.0)
    assert len(msgspec.msgpack.encode(shares)) <= MAX_BYTES
    rumours = (Rumour("s" * (RUMOUR_SPACE_BYTES - 36), 2**60),)
    datagram = Datagram(
        DatagramKind.PING_REQUEST, "n" * 60, 2**32, 2**63, "n" * 60, rumours, shares
    )
    assert len(encode_signed(b"key", 0, datagram)) <= MAX_DATAGRAM_BYTES
    assert decode_signed(b"key", 0, encode_signed(b"key", 0, datagram)) == datagram


@dataclass(frozen=True, slots=True)
class EarlierDatagram:
    """The datagram of the release before."""

    kind: DatagramKind
    sender: str
    number: int
    digest: int
    about: str = ""
    rumours: tuple[Rumour, ...] = ()


def test_earlier_release_reads_datagrams_with_loads_and_none_are_sent_without():
    fields = (DatagramKind.ACK, "a", 1, 2, "", (Rumour("x", 1),))
    earlier = msgspec.msgpack.encode(EarlierDatagram(*fields))
    assert msgspec.msgpack.encode(Datagram(*fields)) == earlier
    told = SharedLoads("a", 1).build(own(3), 0.0)
    with_loads = msgspec.msgpack.encode(Datagram(*fields, told))
    read = msgspec.msgpack.decode(with_loads, type=EarlierDatagram)
    assert read == EarlierDatagram(*fields)
    assert msgspec.msgpack.decode(earlier, type=Datagram) == Datagram(*fields)


def test_datagram_that_is_too_large_goes_without_loads():
    """Names of any length must not keep a probe from being sent."""

    async def scenario():
        received = []
        receiver = GossipLink(b"key", lambda: 0, lambda each, _: received.append(each))
        sender = GossipLink(b"key", lambda: 0, lambda each, _: None)
        address = await receiver.start(Address("127.0.0.1", 0))
        await sender.start(Address("127.0.0.1", 0))
        told = SharedLoads("a", 1).build(own(*[3] * 35), 0.0)
        rumours = (Rumour("s" * 1200, 1),)
        datagram = Datagram(DatagramKind.PING, "a", 1, 2, "", rumours)
        sender.send(address, replace(datagram, loads=told))
        while not received:
            await asyncio.sleep(0.01)
        assert received == [datagram]
        await sender.close()
        await receiver.close()

    asyncio.run(asyncio.wait_for(scenario(), 10.0))
