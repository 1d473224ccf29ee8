import json
from pathlib import Path

import pytest

from limpetlanding.entry.http import CallerApi
from limpetlanding.entry.openapi import document, text
from limpetlanding.entry.tests.rig import entry

PAGE = Path(__file__).parents[4] / 'docs' / 'openapi.json'


class TestDocument:
    def test_page_matches_the_models(self):
        # Guards against a page that documents what the models reject.
        # Regenerate it with:
        # python -m limpetlanding.entry.openapi > docs/openapi.json
        assert PAGE.read_text() == text()

    def test_every_route_is_described(self):
        app = CallerApi(None, None).application()
        routes = {
            (route.resource.canonical, route.method.lower())
            for route in app.router.routes()
            if route.method != 'HEAD'
        }
        described = {
            (path, method)
            for path, methods in document()['paths'].items()
            for method in methods
            if method != 'parameters'
        }
        assert routes == described

    def test_references_resolve(self):
        schemas = document()['components']['schemas']
        found = {
            part.split('"')[0]
            for part in json.dumps(document()).split('#/components/schemas/')
        }
        assert {x for x in found if x.isidentifier()} <= set(schemas)

    @pytest.mark.parametrize('name', ['JobStatus', 'Problem'])
    async def test_answers_have_the_described_fields(self, name):
        # Guards against answers that are built by hand and lack a field.
        async with entry() as (_, caller, _agent):
            (job_id,) = await caller.mint()
            tasks = None if name == 'JobStatus' else []
            fields = {} if tasks is None else {'tasks': tasks}
            _, body = await caller.submit(job_id, **fields)
        schema = document()['components']['schemas'][name]
        assert set(body) == set(schema['properties'])
        if name == 'JobStatus':
            schema = document()['components']['schemas']['ResultAnswer']
            assert set(body['results'][0]) == set(schema['properties'])
