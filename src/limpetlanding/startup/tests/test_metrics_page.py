"""Comparison of the metrics page with the metrics of running roles."""

import re
from pathlib import Path

import aiohttp

from limpetlanding.entry.tests.test_system import running_system, task_bodies

PAGE = Path(__file__).parents[4] / 'docs' / 'metrics.md'
UNIT_BY_SUFFIX = {
    '_seconds': 'seconds',
    '_bytes': 'bytes',
    '_bytes_total': 'bytes',
}


def documented_metrics():
    """Return unit and advice of each metric on the page, by section."""
    sections = {}
    for section in PAGE.read_text().split('\n## ')[1:]:
        title = section.partition('\n')[0]
        rows = re.findall(
            r'^\| `(\w+)` \| (.+?) \| (.+?) \|$', section, re.MULTILINE
        )
        sections[title] = {name: (unit, advice) for name, unit, advice in rows}
    return sections


async def read_metrics(session, port):
    async with session.get(f'http://127.0.0.1:{port}/metrics') as response:
        text = await response.text()
    return set(re.findall(r'^# TYPE (\w+) ', text, re.MULTILINE)), text


class TestMetricsPage:
    async def test_page_lists_what_running_roles_serve(self):
        # Guards against metrics that the page does not explain, and against
        # advice on metrics that no longer exist.
        async with running_system(agents=1) as system:
            (job_id,) = await system.callers[0].mint()
            answer, _ = await system.callers[0].submit(
                job_id, tasks=task_bodies(2)
            )
            async with aiohttp.ClientSession() as session:
                entry, text = await read_metrics(session, 8001)
                agent, _ = await read_metrics(session, 8101)
        assert answer.status == 200
        page = documented_metrics()
        common = set(page['Every role'])
        assert entry == common | set(page['Entry'])
        assert agent == common | set(page['Agent'])
        assert 'limpetlanding_entry_answers_total{result="complete"} 1' in text
        assert 'limpetlanding_ready_count 1' in text

    def test_names_end_in_the_listed_unit(self):
        for metrics in documented_metrics().values():
            for name, (unit, advice) in metrics.items():
                assert advice
                for ending, expected in UNIT_BY_SUFFIX.items():
                    if name.endswith(ending):
                        assert unit.partition(' ')[0] == expected

    async def test_labels_have_few_values(self):
        # Guards against time series that grow in number with the jobs or the
        # customers.
        async with running_system(agents=1) as system:
            caller = system.callers[0]
            ids = await caller.mint(3)
            for job_id in ids:
                await caller.submit(job_id, tasks=task_bodies(1))
            async with aiohttp.ClientSession() as session:
                texts = [
                    (await read_metrics(session, x))[1] for x in (8001, 8101)
                ]
        labels = {
            name
            for text in texts
            for inner in re.findall(r'\{(.*?)\}', text)
            for name in re.findall(r'(\w+)="', inner)
        }
        assert labels <= {'type', 'event', 'result'}
        assert not any(x in text for x in (*ids, 'offcut') for text in texts)
