"""Runs the scenarios of the feature files."""

import asyncio
import secrets
from dataclasses import dataclass, field
from random import Random

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from limpetlanding.scenarios.tests import checks, faults
from limpetlanding.scenarios.tests.load import Callers
from limpetlanding.scenarios.tests.processes import ProcessLoop
from limpetlanding.scenarios.tests.system import end_all_processes, start_system

# Duration of the load after the last fault.
LOAD_AFTER_FAULTS_S = 1.5
ANSWER_TIMEOUT_S = 120

scenarios('features')


@dataclass
class Script:
    """Steps of a scenario, collected before it is run, and its results."""

    seed: int = 1
    # Seconds after the start of the load, and the sentence of the fault.
    steps: list = field(default_factory=list)
    callers: Callers | None = None
    violations: list = field(default_factory=list)


@pytest.fixture
def script(monkeypatch):
    # The order of peers depends on their random incarnations, so these are
    # seeded too.
    rng = Random(0)
    monkeypatch.setattr(secrets, 'token_hex', lambda n: rng.randbytes(n).hex())
    monkeypatch.setattr(secrets, 'token_bytes', rng.randbytes)
    return Script()


@given(parsers.parse('a system under load with seed {seed:d}'))
def _seed_system(script, seed):
    script.seed = seed


@when(parsers.parse('after {at_s:g} s {sentence}'))
def _add_step(script, at_s, sentence):
    faults.find_fault(sentence)
    script.steps.append((at_s, sentence))


@then('every promise holds')
def _check_guarantees(script):
    with asyncio.Runner(loop_factory=ProcessLoop) as runner:
        runner.run(run_script(script))
    outcomes = dict(checks.outcome_counts(script.callers))
    assert script.violations == [], outcomes


@then('no request is cut')
def _check_no_request_cut(script):
    cut = [job for job in script.callers.jobs if job.cut]
    assert cut == []
    assert set(checks.outcome_counts(script.callers)) == {'complete'}


@then(
    parsers.parse(
        'of the jobs offered after {from_s:g} s '
        'at least {percent:d} % are complete'
    )
)
def _check_complete_share(script, from_s, percent):
    outcomes = checks.outcome_counts(script.callers, from_s)
    share = outcomes['complete'] / outcomes.total()
    assert share * 100 >= percent, outcomes


async def run_script(script):
    """Run the load and the faults, and collect violated guarantees."""
    system = await start_system(script.seed)
    try:
        async with aiohttp.ClientSession() as session:
            script.callers = Callers(system, session)
            await _run_steps(script, system, script.callers)
    finally:
        await end_all_processes(system)


async def _run_steps(script, system, callers):
    load = asyncio.create_task(callers.offer_steadily())
    running = [_cause_fault(*step, system, callers) for step in script.steps]
    await asyncio.gather(*running)
    await asyncio.sleep(LOAD_AFTER_FAULTS_S)
    load.cancel()
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        await asyncio.gather(*callers.unfinished)
    script.violations = await checks.guarantee_violations(system, callers)


async def _cause_fault(at_s, sentence, system, callers):
    await asyncio.sleep(at_s)
    function, arguments = faults.find_fault(sentence)
    await function(system, callers, *arguments)
