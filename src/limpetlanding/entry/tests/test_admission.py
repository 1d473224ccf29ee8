import pytest

from limpetlanding.entry.admission import AdmittedJob, Refusal
from limpetlanding.entry.api import Submission, SubmittedTask
from limpetlanding.entry.tests.fakes import FakeAgent, FakeContract, incarnation
from limpetlanding.entry.tests.rig import connect, make_core
from limpetlanding.jobs import payloads_digest
from limpetlanding.policy import OutlierDetector
from limpetlanding.wire.job_messages import JobAnswer, TaskResult


class Detector(OutlierDetector):
    def __init__(self, ejected=()):
        super().__init__()
        self.ejected_agents = set(ejected)
        self.trials = []
        self.recorded = []

    def is_ejected(self, agent, now):
        return agent in self.ejected_agents

    def trial_due(self, agent, now):
        return agent not in self.trials

    def trial_started(self, agent, now):
        self.trials.append(agent)

    def record_success(self, agent, customer, ratio, now):
        self.recorded.append(('succeeded', agent[-1], round(ratio, 2)))

    def record_failure(self, agent, customer, now, blame=''):
        self.recorded.append(('failed', agent[-1], blame))

    def record_timeout(self, agent, now):
        self.recorded.append(('silent', agent[-1]))


@pytest.fixture
async def core():
    core = make_core()
    connect(core, FakeAgent(1), FakeAgent(2))
    return core


@pytest.fixture
def detector(core):
    detector = Detector()
    core.admission.policies.detector = detector
    core.view.detector = detector
    return detector


def submission(count=3, run_ms=100):
    task = SubmittedTask('cut', b'1', 1, run_ms)
    return Submission('id', [task] * count)


def complete_answer(admitted, run_ms=100, speed=1.0):
    results = [
        TaskResult(x.index, b'1', run_ms, 0, x.agent, 'e', speed)
        for x in admitted.placements
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
        # Guards against ended jobs that still count towards the limit.
        contract = FakeContract()
        admitted = core.admission.admit(contract, submission())
        assert core.admission.in_use('offcut') == 3
        core.admission.job_ended(admitted, None)
        assert core.admission.in_use('offcut') == 0

    async def test_refused_job_is_not_counted(self, core):
        # Guards against refusals that make the system look loaded.
        contract = FakeContract()
        contract.limits.tasks_at_once = 2
        refusal = core.admission.admit(contract, submission())
        assert isinstance(refusal, Refusal)
        assert core.admission.in_use('offcut') == 0
        assert not any(x.pending for x in core.view.loads(0).values())

    async def test_refusal_names_the_task_that_has_no_endpoint(self, core):
        tasks = [*submission().tasks[:2], SubmittedTask('weld', b'1', 1)]
        refusal = core.admission.admit(FakeContract(), Submission('id', tasks))
        assert refusal.reason == 'no_endpoint'
        assert 'tasks.2' in refusal.detail


class TestAnswersUpdatePolicies:
    async def test_run_times_of_results_reach_the_estimator(self, core):
        # Guards against estimates that ignore the declared run time or the
        # speed of the endpoint.
        observed = []
        admitted = core.admission.admit(
            FakeContract(), submission(2, run_ms=100)
        )
        core.admission.policies.estimator.observe = lambda *x: observed.append(
            x
        )
        core.admission.job_ended(
            admitted, complete_answer(admitted, run_ms=400, speed=0.5)
        )
        assert observed == [('offcut', 'cut', 100, 400, 0.5)] * 2

    async def test_detector_records_the_agent_that_failed(self, core, detector):
        # Guards against an agent that looks idle because it fails every task.
        admitted = core.admission.admit(FakeContract(), submission(1))
        for reason in ('task_error', 'agent_lost', 'cancelled'):
            failed = JobAnswer('id', 'failed', reason, peer='agent-2')
            core.admission.job_ended(admitted, failed)
        assert detector.recorded == [('failed', '2', ''), ('silent', '2')]

    async def test_detector_gets_the_blame_of_a_failure(self, core, detector):
        # Guards against an agent that is ejected for a customer's bad tasks.
        admitted = core.admission.admit(FakeContract(), submission(1))
        failed = JobAnswer(
            'id', 'failed', 'task_error', peer='agent-2', blame='customer'
        )
        core.admission.job_ended(admitted, failed)
        assert detector.recorded == [('failed', '2', 'customer')]

    async def test_refusals_are_counted_by_reason(self, core):
        # Guards against an empty refusals table of the status verb.
        core.admission.count_answer(JobAnswer('id', 'not_run', 'overload'))
        core.admission.count_answer(JobAnswer('id', 'failed', 'task_error'))
        assert core.status()['refusals'] == {'overload': 1}

    async def test_detector_ratio_takes_the_endpoint_speed_into_account(
        self, core, detector
    ):
        admitted = core.admission.admit(FakeContract(), submission(1))
        expected_ms = admitted.tasks[0].expected_ms
        core.admission.job_ended(
            admitted, complete_answer(admitted, expected_ms * 2, 0.5)
        )
        assert [x[-1] for x in detector.recorded] == [1]


class TestTrial:
    async def test_ejected_agent_gets_one_task_as_a_trial(self, core, detector):
        # Guards against whole jobs placed on an agent that fails them.
        detector.ejected_agents.add(incarnation(1))
        first = core.admission.admit(FakeContract(), submission(5))
        second = core.admission.admit(FakeContract(), submission(5))
        assert isinstance(first, AdmittedJob)
        agents = [x.agent for x in first.placements]
        assert agents == ['agent-2'] * 4 + ['agent-1']
        assert {x.agent for x in second.placements} == {'agent-2'}

    async def test_stopping_agent_gets_no_trial(self, core, detector):
        detector.ejected_agents.add(incarnation(1))
        core.view.load_by_incarnation[incarnation(1)].draining = True
        admitted = core.admission.admit(FakeContract(), submission(2))
        assert {x.agent for x in admitted.placements} == {'agent-2'}
