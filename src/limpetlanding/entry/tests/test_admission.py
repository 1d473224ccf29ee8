import pytest

from limpetlanding.entry.admission import Refusal, Ticket
from limpetlanding.entry.api import Submission, SubmittedTask
from limpetlanding.entry.tests.fakes import FakeAgent, FakeContract, incarnation
from limpetlanding.entry.tests.rig import connect, make_core
from limpetlanding.jobs import payloads_digest
from limpetlanding.policy import OutlierDetector
from limpetlanding.wire import JobAnswer, TaskResult


class Detector(OutlierDetector):
    def __init__(self, ejected=()):
        super().__init__()
        self.bad = set(ejected)
        self.trials = []
        self.seen = []

    def is_ejected(self, agent, now):
        return agent in self.bad

    def trial_due(self, agent, now):
        return agent not in self.trials

    def trial_started(self, agent, now):
        self.trials.append(agent)

    def record_success(self, agent, customer, ratio, now):
        self.seen.append(('succeeded', agent[-1], round(ratio, 2)))

    def record_failure(self, agent, customer, now, blame=''):
        self.seen.append(('failed', agent[-1], blame))

    def record_timeout(self, agent, now):
        self.seen.append(('silent', agent[-1]))


@pytest.fixture
async def core():
    core = make_core()
    connect(core, FakeAgent(1), FakeAgent(2))
    return core


@pytest.fixture
def detector(core):
    detector = Detector()
    core.gate.parts.detector = detector
    core.view.detector = detector
    return detector


def submission(count=3, run_ms=100):
    task = SubmittedTask('cut', b'1', 1, run_ms)
    return Submission('id', [task] * count)


def answer(ticket, run_ms=100, speed=1.0):
    results = [
        TaskResult(x.index, b'1', run_ms, 0, x.agent, 'e', speed)
        for x in ticket.placements
    ]
    return JobAnswer(
        'id',
        'complete',
        task_count=len(results),
        digest=payloads_digest(x.payload for x in results),
        results=results,
    )


class TestCounting:
    async def test_tasks_count_until_their_job_ends(self, core):
        # Guards against a limit that fills up with ended jobs.
        contract = FakeContract()
        ticket = core.gate.admit(contract, submission())
        assert core.gate.in_use('offcut') == 3
        core.gate.ended(ticket, None)
        assert core.gate.in_use('offcut') == 0

    async def test_refused_job_leaves_no_trace(self, core):
        # Guards against refusals that make the system look loaded.
        contract = FakeContract()
        contract.limits.tasks_at_once = 2
        refusal = core.gate.admit(contract, submission())
        assert isinstance(refusal, Refusal)
        assert core.gate.in_use('offcut') == 0
        assert not any(x.pending for x in core.view.loads(0).values())

    async def test_naming_of_the_task_without_a_place(self, core):
        tasks = [*submission().tasks[:2], SubmittedTask('weld', b'1', 1)]
        refusal = core.gate.admit(FakeContract(), Submission('id', tasks))
        assert refusal.reason == 'no_endpoint'
        assert 'tasks.2' in refusal.detail


class TestLearning:
    async def test_run_times_are_learnt_from_results(self, core):
        # Guards against estimates that ignore what the caller declared or
        # how fast the endpoint is.
        observed = []
        ticket = core.gate.admit(FakeContract(), submission(2, run_ms=100))
        core.gate.parts.estimator.observe = lambda *x: observed.append(x)
        core.gate.ended(ticket, answer(ticket, run_ms=400, speed=0.5))
        assert observed == [('offcut', 'cut', 100, 400, 0.5)] * 2

    async def test_detector_hears_of_the_agent_at_fault(self, core, detector):
        # Guards against an agent that fails everything and looks idle.
        ticket = core.gate.admit(FakeContract(), submission(1))
        for reason in ('task_error', 'agent_lost', 'cancelled'):
            failed = JobAnswer('id', 'failed', reason, peer='agent-2')
            core.gate.ended(ticket, failed)
        assert detector.seen == [('failed', '2', ''), ('silent', '2')]

    async def test_detector_hears_whose_fault_a_failure_is(
        self, core, detector
    ):
        # Guards against an agent that is ejected for a customer's bad tasks.
        ticket = core.gate.admit(FakeContract(), submission(1))
        failed = JobAnswer(
            'id', 'failed', 'task_error', peer='agent-2', blame='customer'
        )
        core.gate.ended(ticket, failed)
        assert detector.seen == [('failed', '2', 'customer')]

    async def test_refusals_are_counted_by_reason(self, core):
        # Guards against an empty refusals table of the status verb.
        core.gate.answered(JobAnswer('id', 'not_run', 'overload'))
        core.gate.answered(JobAnswer('id', 'failed', 'task_error'))
        assert core.status()['refusals'] == {'overload': 1}

    async def test_detector_compares_with_the_reported_speed(
        self, core, detector
    ):
        ticket = core.gate.admit(FakeContract(), submission(1))
        expected_ms = ticket.tasks[0].expected_ms
        core.gate.ended(ticket, answer(ticket, expected_ms * 2, 0.5))
        assert [x[-1] for x in detector.seen] == [1]


class TestTrial:
    async def test_ejected_agent_gets_one_task_as_a_trial(self, core, detector):
        # Guards against whole jobs placed on an agent that fails them.
        detector.bad.add(incarnation(1))
        first = core.gate.admit(FakeContract(), submission(5))
        second = core.gate.admit(FakeContract(), submission(5))
        assert isinstance(first, Ticket)
        agents = [x.agent for x in first.placements]
        assert agents == ['agent-2'] * 4 + ['agent-1']
        assert {x.agent for x in second.placements} == {'agent-2'}

    async def test_stopping_agent_gets_no_trial(self, core, detector):
        detector.bad.add(incarnation(1))
        core.view.view[incarnation(1)].draining = True
        ticket = core.gate.admit(FakeContract(), submission(2))
        assert {x.agent for x in ticket.placements} == {'agent-2'}
