"""Exactly-once delivery of fresh samples under arbitrary interleavings."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tamarackshelf.errors import BadRequest
from tamarackshelf.policy.cursor import Cursor, decode_cursor, encode_cursor
from tamarackshelf.policy.delivery import plan_delivery
from tamarackshelf.policy.staleness import Freshness
from tamarackshelf.world import OrganisationParameters, Sample, Segment

STEP = "c.s1"
SLOTS = 4
BOUND = 1
OWNERS = st.sampled_from(["a", "b"])
SLOT = st.integers(0, SLOTS - 1)
PARAMETERS = OrganisationParameters("org", ("models",), staleness_bound_versions=BOUND)


def build_sample(slot, generation=0, version=0):
    segments = (Segment(0, 1, version),)
    return Sample(STEP, slot, generation, "p", 1, ("t",), segments, 0.5, 0.0)


@dataclass
class Owner:
    """A runner that considers itself the step's owner; a crash clears its memory."""

    samples: dict = field(default_factory=dict)

    def put(self, sample):
        known = self.samples.get(sample.slot)
        if known is None or known.generation < sample.generation:
            self.samples[sample.slot] = sample


class DeliveryMachine(RuleBasedStateMachine):
    """Two owners, a table with outages, a trainer and a network that reorders."""

    uses_cursor = True

    def __init__(self):
        super().__init__()
        self.owners = {"a": Owner(), "b": Owner()}
        self.table = {}
        self.table_up = True
        self.version = 0
        self.cursor = encode_cursor(Cursor(STEP))
        self.pull_number = 0
        self.accepted = 0
        self.answers = []
        self.received = []

    def write(self, sample):
        known = self.table.get(sample.slot)
        if known is None or known.generation < sample.generation:
            self.table[sample.slot] = sample
        return self.table[sample.slot]

    @rule(owner=OWNERS, slot=SLOT, lag=st.integers(0, 2))
    def produce(self, owner, slot, lag):
        """A runner finishes a slot, possibly one that the other has finished too."""
        known = self.owners[owner].samples.get(slot)
        generation = 0 if known is None else known.generation
        sample = build_sample(slot, generation, max(0, self.version - lag))
        if self.table_up:
            sample = self.write(sample)
        self.owners[owner].put(sample)

    @rule(owner=OWNERS)
    def lose_memory(self, owner):
        self.owners[owner] = Owner()

    @rule(owner=OWNERS)
    def reload(self, owner):
        if self.table_up:
            for sample in self.table.values():
                self.owners[owner].put(sample)

    @rule(up=st.booleans())
    def switch_table(self, up):
        self.table_up = up

    @rule()
    def publish(self):
        self.version += 1

    @rule(owner=OWNERS)
    def pull(self, owner):
        """The trainer abandons its last pull and sends a new one."""
        self.pull_number += 1
        samples = self.owners[owner].samples
        cursor = decode_cursor(self.cursor, STEP, SLOTS)
        if not self.uses_cursor:
            cursor = Cursor(STEP)
        plan = plan_delivery(
            samples, cursor, PARAMETERS, Freshness(self.version, 0.0), SLOTS
        )
        for stale in plan.stale:
            repeated = build_sample(stale.slot, stale.generation + 1, self.version)
            samples[stale.slot] = self.write(repeated) if self.table_up else repeated
        for sample in plan.fresh:
            assert self.version - sample.oldest_version <= BOUND
        slots = [sample.slot for sample in plan.fresh]
        after = encode_cursor(cursor.with_slots(slots))
        self.answers.append((self.pull_number, plan.fresh, after))

    @precondition(lambda self: self.answers)
    @rule(data=st.data(), twice=st.booleans())
    def deliver(self, data, twice):
        """An answer arrives in any order, possibly twice, or never."""
        index = data.draw(st.integers(0, len(self.answers) - 1))
        answer = self.answers[index]
        if not twice:
            del self.answers[index]
        self.take(*answer)

    @rule(owner=OWNERS, slot=SLOT)
    def work(self, owner, slot):
        """The normal sequence: a slot is produced, pulled and received."""
        self.produce(owner, slot, 0)
        self.pull(owner)
        self.take(*self.answers[-1])

    def take(self, number, samples, cursor):
        """The trainer accepts one answer to its newest pull and drops all others."""
        if number != self.pull_number or number == self.accepted:
            return
        self.accepted = number
        self.received += [sample.slot for sample in samples]
        self.cursor = cursor

    @invariant()
    def each_slot_at_most_once(self):
        assert len(self.received) == len(set(self.received))

    def teardown(self):
        """Check that every slot arrives after the faults have ended."""
        self.table_up = True
        self.answers = []
        for slot in range(SLOTS):
            self.owners["a"].put(build_sample(slot, 0, self.version))
        for _ in range(2):
            self.pull("a")
            number, samples, cursor = self.answers[-1]
            assert number == self.pull_number
            self.received += [sample.slot for sample in samples]
            self.cursor = cursor
        if self.uses_cursor:
            assert sorted(self.received) == list(range(SLOTS))


class DeliveryWithoutCursor(DeliveryMachine):
    """The same machine without cursors: owners do not know what was received.

    It shows that the machine detects slots that arrive twice.
    """

    uses_cursor = False


SETTINGS = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)


def test_each_slot_reaches_the_trainer_exactly_once():
    run_state_machine_as_test(DeliveryMachine, settings=SETTINGS)


def test_slots_arrive_twice_without_the_cursor():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(DeliveryWithoutCursor, settings=SETTINGS)


def test_received_slot_is_not_produced_again_when_it_becomes_stale():
    cursor = Cursor(STEP).with_slots([0])
    samples = {0: build_sample(0, 0, 0), 1: build_sample(1, 0, 0)}
    chosen = plan_delivery(samples, cursor, PARAMETERS, Freshness(5, 0.0), 9)
    assert chosen.fresh == ()
    assert [sample.slot for sample in chosen.stale] == [1]


def test_oldest_segment_decides_whether_a_sample_is_stale():
    segments = (Segment(0, 1, 3), Segment(1, 2, 5))
    sample = Sample(STEP, 0, 0, "p", 1, ("t", "u"), segments, 0.5, 0.0)
    chosen = plan_delivery({0: sample}, Cursor(STEP), PARAMETERS, Freshness(5, 0.0), 9)
    assert chosen.stale == (sample,)


@pytest.mark.parametrize("text", ["x", "AAAA", "é", encode_cursor(Cursor("c.s2"))])
def test_invalid_cursor_or_cursor_of_another_step_is_refused(text):
    with pytest.raises(BadRequest):
        decode_cursor(text, STEP, SLOTS)


def test_encoded_cursor_decodes_to_the_same_cursor():
    cursor = Cursor(STEP).with_slots([0, 3])
    assert decode_cursor(encode_cursor(cursor), STEP, SLOTS) == cursor
