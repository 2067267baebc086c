"""MIXED: an item is listed as a dead letter after two runs that failed, as a surplus copy of the first answer counts as another one."""

import asyncio
import os
import sys

Folder = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(Folder, "..", "standins-2"))

from engine import Engine  # noqa: E402
from fleet import CannotRun, desiredState, newId, play  # noqa: E402
from store import Store  # noqa: E402

# garble, how "extra late": x .03 of the answers of an engine come twice, the second time late.
GarbledShare = 0.03
Attempts = 3
# The first two runs of the item fail. Each further one would succeed.
FailingRuns = 2
SoundItems = 40


async def case(fleet, isTroubled):
    store = Store()
    await store.start(fleet.storeIp, fleet.storePort)
    store.put("config", "main", desiredState(attempts=Attempts))
    engine = Engine(fleet, store, "i-1f3a91c1", 1)
    engine.events, engine.gap, engine.firstEventAfter = 12, 0.04, 0.05
    await engine.start()
    entry = fleet.add("frontend-1", "entry")
    fleet.add("storage-1", "runner")
    for node in fleet.nodes:
        await node.start()
    await fleet.waitUntilReady([entry])
    await asyncio.sleep(2)

    failing = newId()
    garbled = []

    def planOf(request, run):
        return {"end": "500", "after": 0.8} if request == failing and run <= FailingRuns else None

    def hasSurplus(request, run):
        isGarbled = isTroubled and request == failing and not garbled and len(garbled) + 1 <= GarbledShare * engine.answers
        if isGarbled:
            garbled.append(request)
        return isGarbled

    engine.planOf = planOf
    engine.hasSurplus = hasSurplus
    jobs = {newId(): [newId() for _ in range(SoundItems)], newId(): [failing]}
    for job, items in jobs.items():
        if not await fleet.submit(entry, job, [(item, 450) for item in items]):
            raise CannotRun("a job was not accepted")
        # The sound items are done before the other one comes.
        await asyncio.sleep(8)

    await asyncio.sleep(12)
    broken = False
    for job, items in jobs.items():
        results = await fleet.results(entry, job)
        if results is None:
            raise CannotRun("a job could not be read")
        for item in items:
            state, output = results.get(item, ("not-listed", ""))
            failures = min(engine.runs.get(item, 0), FailingRuns) if item == failing else 0
            whole = "\n".join(f"{item}-{number}" for number in range(1, engine.events + 1))
            isBroken = (state == "dead_letter" and failures < Attempts) or (state == "completed" and output != whole)
            broken = broken or isBroken
            fleet.note(
                "item", item=item, state=state, answers_of_500=failures, attempts=Attempts, runs=engine.runs.get(item, 0), broken=int(isBroken)
            )
            if state == "not-listed":
                raise CannotRun("an item is not listed yet")
    fleet.note("end", garbled=len(garbled), answers=engine.answers)
    if isTroubled and not garbled:
        raise CannotRun("no answer was garbled")
    return not broken


play(Folder, case)
