from limpetlanding.entry.tests.rig import entry


class TestSubmission:
    async def test_answer_is_that_of_the_coordinator(self):
        # Guards against a path that loses or alters results on the way.
        async with entry() as (_, caller, agent):
            (job_id,) = await caller.mint()
            response, body = await caller.submit(job_id, {'a': [1.5, 'ü']})
        assert response.status == 200
        assert body['id'] == job_id
        assert body['outcome'] == 'complete'
        assert body['task_count'] == 1
        assert body['results'][0]['payload'] == {'a': [1.5, 'ü']}
        assert agent.started == {(job_id, 0): 1}
