"""LOST: an engine drops idle connections without notice. Items whose first sends meet such connections are never sent again."""

import asyncio
import os
import sys

Folder = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(Folder, "..", "standins-2"))

from engine import Engine  # noqa: E402
from fleet import CannotRun, desiredState, newId, play  # noqa: E402
from store import Store  # noqa: E402

# The kind idle_race: share (.5) of the engines forget connections that rested x ms (300).
ForgetsAfter = 0.3
# As on the sheet of the installation: batch jobs of 10 items, one each 1.95 s.
Jobs = 20
JobInterval = 1.95
ItemsOfJob = 10
# finishS of the installation, after the end of traffic.
FinishTime = 18.0
CalmTime = 5.0


async def case(fleet, isTroubled):
    store = Store()
    await store.start(fleet.storeIp, fleet.storePort)
    store.put("config", "main", desiredState())
    engines = [Engine(fleet, store, f"i-{number}f3a91c{number}", number) for number in (1, 2)]
    for engine in engines:
        # An item takes a third of a second.
        engine.events, engine.gap, engine.firstEventAfter = 12, 0.02, 0.05
        await engine.start()
    entry = fleet.add("frontend-1", "entry")
    runner = fleet.add("storage-1", "runner")
    for node in fleet.nodes:
        await node.start()
    await fleet.waitUntilReady([entry])
    await asyncio.sleep(2)
    if isTroubled:
        engines[0].forgetsAfter = ForgetsAfter
        fleet.note("engine-drops-idle-connections", server=engines[0].id, after_ms=int(ForgetsAfter * 1000))

    jobs = {}
    for _ in range(Jobs):
        job = newId()
        items = [newId() for _ in range(ItemsOfJob)]
        begin = fleet.now()
        if not await fleet.submit(entry, job, [(item, 450) for item in items]):
            raise CannotRun("a job was not accepted")
        jobs[job] = items
        await asyncio.sleep(max(0, JobInterval - (fleet.now() - begin)))
    fleet.note("traffic-ends")
    # The drops go on no longer. What follows is calm.
    engines[0].forgetsAfter = None

    await asyncio.sleep(FinishTime + 7)
    runsBefore = sum(sum(engine.runs.values()) for engine in engines)
    await asyncio.sleep(CalmTime)
    areIdle = all(engine.running == 0 and engine.waiting == 0 for engine in engines)
    noRuns = sum(sum(engine.runs.values()) for engine in engines) == runsBefore
    missing = []
    for job, items in jobs.items():
        results = await fleet.results(entry, job)
        if results is None:
            raise CannotRun("a job could not be read")
        for item in items:
            state = results.get(item, ("not listed", ""))[0]
            runs = sum(engine.runs.get(item, 0) for engine in engines)
            fleet.note("item", job=job, item=item, state=state.replace(" ", "-"), runs=runs)
            if state == "not listed":
                missing.append(item)
    fleet.note(
        "end",
        items=Jobs * ItemsOfJob,
        not_listed=len(missing),
        resets=sum(engine.resets for engine in engines),
        engines_idle=int(areIdle),
        no_runs_in_last_5s=int(noRuns),
    )
    return not (missing and areIdle and noRuns)


play(Folder, case)
