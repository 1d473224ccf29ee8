import pytest

from limpetlanding.entry.admission import AdmittedJob
from limpetlanding.entry.moves import Mover
from limpetlanding.entry.tests.fakes import FakeAgent, incarnation
from limpetlanding.entry.tests.rig import connect, make_core
from limpetlanding.jobs import mint_job_id
from limpetlanding.policy import Move
from limpetlanding.wire.job_messages import MoveTasks, Placement, TaskSpec

JOB = str(mint_job_id(incarnation(1), 1, 'offcut', b'secret'))


def placement(index, number):
    return Placement(index, f'agent-{number}', incarnation(number), 'a:1')


@pytest.fixture
def agents():
    return [FakeAgent(number) for number in (1, 2)]


@pytest.fixture
async def core(agents):
    core = make_core()
    connect(core, *agents)
    core.admission.admitted_jobs[JOB] = AdmittedJob(
        'offcut',
        [TaskSpec(x, 'cut', b'1', 100, 200) for x in range(4)],
        [None] * 4,
        [placement(x, 1) for x in range(4)],
        1000,
        100,
        0,
    )
    return core


def move_all(placed, _loads, _now, budget):
    moves = [Move(x.job_id, placement(x.task.index, 2)) for x in placed]
    return moves[:budget]


class TestMover:
    async def test_moves_are_sent_to_the_coordinator(self, core, agents):
        mover = Mover(core.admission, core.router, move_all)
        mover.count_placed(100)
        mover.move()
        (message,) = agents[0].notified
        assert isinstance(message, MoveTasks)
        assert [x.agent for x in message.placements] == ['agent-2'] * 4

    async def test_only_a_fraction_of_placed_tasks_is_moved(self, core, agents):
        # Guards against more than 0.2 wasted messages per task.
        mover = Mover(core.admission, core.router, move_all)
        mover.move()
        assert not agents[0].notified
        mover.count_placed(50)
        mover.move()
        mover.move()
        moved = [x for m in agents[0].notified for x in m.placements]
        assert len(moved) == 2

    async def test_task_is_moved_at_most_once(self, core, agents):
        # Guards against tasks that are moved back and forth.
        mover = Mover(core.admission, core.router, move_all)
        mover.count_placed(1000)
        mover.move()
        mover.move()
        assert len(agents[0].notified) == 1

    async def test_move_to_a_lost_coordinator_is_not_counted(
        self, core, agents
    ):
        agents[0].closed.set()
        mover = Mover(core.admission, core.router, move_all)
        mover.count_placed(1000)
        mover.move()
        assert mover.moved_count == 0
