"""Tests of what frees the room of an executor and what proves it."""

from limpetlanding.runs.model import Resources, RunEnd
from limpetlanding.runs.ports import ActiveRun, EndedRun, Inventory
from limpetlanding.runs.room import Room
from limpetlanding.runs.tracked_run import Evidence, TrackedRun

CPU = 8000
FENCE = 7
CLOCK_MS = 5_000
STOP_S = 0.05
ALL = Resources(CPU)


def answer(now, active=(), ended=()):
    """Return an inventory of an executor whose clock began at 0 s."""
    clock_ms = CLOCK_MS + round(1000 * now)
    return Inventory(
        clock_ms,
        1,
        [ActiveRun(task, run, 10) for task, run in active],
        [EndedRun(1, task, run, RunEnd.STOPPED) for task, run in ended],
    )


def new_room():
    """Return a room whose executor has answered at 0 s."""
    room = Room(FENCE, STOP_S)
    room.begin_incarnation(ALL)
    assert not room.take_inventory(answer(0), room.fence, 0, 0)
    return room


def run_whose_start_is_sent(room, now):
    """Reserve the whole room for a run, and record that its start is sent."""
    held = TrackedRun('f0-1', 'a', 'a.0.0.0', 1, ALL)
    room.reserve(held)
    room.record_sent(held, room.new_lease_end_ms(now, 0))
    return held


def stop(held, now):
    """Request the stop of a run."""
    held.requested_end = RunEnd.REFUSED
    held.stop_sent = True
    held.stop_requested_at = now


def take(room, now, **listed):
    """Let the room take an inventory that is answered at once."""
    return room.take_inventory(answer(now, **listed), room.fence, now, now)


class TestRunBeingStopped:
    """Guards against room that is freed while a run is still being stopped.

    Such a run may be listed neither as active nor as ended.
    """

    def test_answer_to_the_start_overtaken_by_the_one_to_the_stop(self):
        room = new_room()
        held = run_whose_start_is_sent(room, 1)
        stop(held, 1.01)
        room.record_stopped(held, 1.02)
        room.record_started(held, 1.03)
        assert not take(room, 1.04)
        assert take(room, 1.2) == [(held, RunEnd.REFUSED, Evidence.UNLISTED)]

    def test_stop_that_is_confirmed_after_the_lease_of_the_start(self):
        room = new_room()
        held = run_whose_start_is_sent(room, 1)
        room.record_lost_start(1.25)
        stop(held, 1.25)
        room.record_stopped(held, 2.5)
        assert not take(room, 2.52)
        assert take(room, 2.7)

    def test_stop_that_is_carried_out_and_not_answered(self):
        room = new_room()
        held = run_whose_start_is_sent(room, 1)
        room.record_lost_start(1.25)
        stop(held, 1.25)
        assert not take(room, 1.9, active=[held.key])
        assert not take(room, 2.5)
        assert not take(room, 2.55)
        assert take(room, 2.7) == [(held, RunEnd.REFUSED, Evidence.UNLISTED)]

    def test_unknown_run(self):
        room = new_room()
        assert not take(room, 1, active=[('b.0.0.0', 1)])
        assert not take(room, 1.1)
        assert room.refusal_reason(ALL, 1.2)
        assert not room.refusal_reason(ALL, 1.3)

    def test_listed_end_frees_the_room_at_once(self):
        room = new_room()
        held = run_whose_start_is_sent(room, 1)
        stop(held, 1)
        ((ended, how, evidence),) = take(room, 1.1, ended=[held.key])
        assert (ended, how) == (held, RunEnd.REFUSED)
        assert evidence is Evidence.LISTED


class TestLateStart:
    """Guards against starts that are carried out after their room was freed."""

    def test_lease_is_no_proof_before_a_higher_token_is_answered(self):
        room = new_room()
        held = run_whose_start_is_sent(room, 1)
        stop(held, 1.1)
        sent_with = room.fence
        room.record_lost_start(1.25)
        late = answer(2.5)
        assert not room.take_inventory(late, sent_with, 2.5, 2.5)
        # The stop may have been carried out just before.
        assert not take(room, 2.6)
        assert take(room, 2.8)

    def test_room_freed_while_a_start_is_on_its_way(self):
        room = new_room()
        held = run_whose_start_is_sent(room, 1)
        assert room.release(held)
        assert room.refusal_reason(ALL, 1.1)
        assert not room.take_inventory(answer(1.2), held.start_fence, 1.2, 1.2)
        assert room.refusal_reason(ALL, 1.2)
        take(room, 1.3)
        assert not room.refusal_reason(ALL, 1.3)

    def test_next_incarnation_gets_no_start_before_a_higher_token_is_answered(
        self,
    ):
        room = new_room()
        held = run_whose_start_is_sent(room, 1)
        room.release(held)
        before = room.fence
        room.begin_incarnation(ALL)
        assert room.fence > before > held.start_fence
        assert room.refusal_reason(ALL, 2)
        take(room, 2)
        assert not room.refusal_reason(ALL, 2)

    def test_later_starts_carry_a_higher_token_than_one_without_answer(self):
        # The next incarnation may get them before its restart is noticed.
        room = new_room()
        lost = run_whose_start_is_sent(room, 1)
        room.record_lost_start(1.25)
        room.release(lost)
        take(room, 1.3)
        assert run_whose_start_is_sent(room, 1.4).start_fence > lost.start_fence
        assert room.may_get_late_start(12)
        assert not room.may_get_late_start(30)


class TestFreeRoom:
    """Guards against room that is counted wrongly."""

    def test_other_run_with_the_same_number_keeps_its_room(self):
        room = new_room()
        first = run_whose_start_is_sent(room, 1)
        room.release(first)
        second = run_whose_start_is_sent(room, 2)
        assert not room.release(first)
        assert room.holds(second)
        assert room.free == Resources()

    def test_runs_beyond_a_capacity_that_has_shrunk(self):
        room = new_room()
        run_whose_start_is_sent(room, 1)
        room.capacity = Resources(CPU - 1)
        assert room.is_overfull()

    def test_runs_of_the_last_life_that_may_go_on_keep_their_room(self):
        room = new_room()
        run_whose_start_is_sent(room, 1)
        room.begin_incarnation(ALL)
        take(room, 2)
        assert room.refusal_reason(Resources(1), 2) == 'no room'

    def test_no_start_while_an_inventory_is_unanswered(self):
        room = new_room()
        room.require_inventory()
        assert room.refusal_reason(ALL, 1)
        take(room, 1)
        assert not room.refusal_reason(ALL, 1)
