"""LOST: an item whose answer was lost once is never sent again after the process of its runner was killed twice."""

import asyncio
import json
import os
import sys

Folder = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(Folder, "..", "standins-2"))

import http1  # noqa: E402
from engine import Engine  # noqa: E402
from fleet import CannotRun, Host, desiredState, newId, play  # noqa: E402
from store import Store  # noqa: E402

# answer_lost: share .5 of the engines, x .05 of the requests that they run, 4 s.
LostShare = 0.05
# A killed process is back within a second. Then catchUpS (4.7) passes before the next one is killed.
DownTime = 0.5
CatchUpTime = 4.7
FinishTime = 18.0
CalmTime = 5.0
Items = 6


class Callers:
    """Keeps a number of streams open, as callers of the streaming route do."""

    def __init__(self, fleet, entry):
        self.fleet = fleet
        self.entry = entry
        self.streams = 0
        self.tasks = []
        self.answers = {}

    async def _run(self, number):
        while True:
            if number >= self.streams:
                await asyncio.sleep(0.02)
                continue
            id = newId()
            headers = [
                ("Host", Host),
                ("Anvilyard-Attempt-Id", id),
                ("Anvilyard-Model", "m"),
                ("Anvilyard-Token-Usage", "450,200"),
                ("Anvilyard-Prompt-Prefix", f"{number:x}a:100,{id}:350"),
                ("Anvilyard-Deadline-Ms", "5000"),
            ]
            answer = await http1.call(self.entry.ip, self.entry.front, "POST", "/lohu930/2f", headers, b"note")
            status = answer[0] if answer else 0
            self.answers[status] = self.answers.get(status, 0) + 1
            if status != 200:
                await asyncio.sleep(0.1)

    def start(self, most):
        self.tasks = [asyncio.create_task(self._run(number)) for number in range(most)]

    def stop(self):
        for task in self.tasks:
            task.cancel()


def ownerOf(fleet, job):
    """The runner that logged last that it took the job."""
    owner = None
    for node in fleet.nodes:
        for line in open(node.log, errors="replace"):
            if '"node-job-taken"' in line and job in line:
                time = json.loads(line)["time"]
                if owner is None or time > owner[0]:
                    owner = (time, node)
    return owner[1] if owner else None


async def case(fleet, isTroubled):
    store = Store()
    await store.start(fleet.storeIp, fleet.storePort)
    store.put("config", "main", desiredState())
    engines = [Engine(fleet, store, f"i-{number}f3a91c{number}", number) for number in (1, 2)]
    for engine in engines:
        engine.events, engine.gap, engine.firstEventAfter = 15, 0.04, 0.05
        await engine.start()
    entry = fleet.add("frontend-1", "entry")
    for number in (1, 2):
        fleet.add(f"storage-{number}", "runner")
    for node in fleet.nodes:
        await node.start()
    await fleet.waitUntilReady([entry])
    await asyncio.sleep(2)

    job = newId()
    items = [newId() for _ in range(Items)]
    troubled = engines[0]
    lost = []
    runsAtTroubled = [0]

    def planOf(request, run):
        if not isTroubled:
            return None
        runsAtTroubled[0] += 1
        mayLose = len(lost) + 1 <= LostShare * (runsAtTroubled[0])
        if request in items and run == 1 and not lost and mayLose:
            lost.append(request)
            return {"end": "lost", "after": 0.05}
        return None

    troubled.planOf = planOf
    callers = Callers(fleet, entry)
    callers.start(24)
    # Light traffic, in which the engine runs enough requests that one lost answer is no more than 5 of 100.
    callers.streams = 6
    await asyncio.sleep(4)
    if not await fleet.submit(entry, job, [(item, 450) for item in items]):
        raise CannotRun("the job was not accepted")
    submittedAt = fleet.now()
    await asyncio.sleep(1)
    # The traffic jumps: callers take the slots of both engines, and items wait.
    callers.streams = 22
    fleet.note("traffic-jumps", streams=callers.streams, lost_answers=len(lost), runs_at_engine=runsAtTroubled[0])
    await asyncio.sleep(7)
    for _ in range(2):
        if isTroubled:
            owner = ownerOf(fleet, job)
            if owner is None:
                raise CannotRun("no runner has the job")
            await owner.kill()
            await asyncio.sleep(DownTime)
            await owner.start()
        else:
            await asyncio.sleep(DownTime)
        await asyncio.sleep(CatchUpTime + 0.1)
    callers.streams = 6
    fleet.note("traffic-falls", streams=callers.streams)
    await asyncio.sleep(6)
    callers.stop()
    fleet.note("traffic-ends", answers=json.dumps(callers.answers).replace(" ", ""))

    await asyncio.sleep(FinishTime + 3)
    runsBefore = sum(sum(engine.runs.values()) for engine in engines)
    await asyncio.sleep(CalmTime)
    areIdle = all(engine.running == 0 and engine.waiting == 0 for engine in engines)
    noRuns = sum(sum(engine.runs.values()) for engine in engines) == runsBefore
    results = await fleet.results(entry, job)
    if results is None:
        raise CannotRun("the job could not be read")
    missing = [item for item in items if item not in results]
    for item in items:
        state = results.get(item, ("not-listed", ""))[0]
        runs = sum(engine.runs.get(item, 0) for engine in engines)
        fleet.note("item", item=item, state=state, runs=runs, age_s=int(fleet.now() - submittedAt))
    fleet.note(
        "end", items=Items, not_listed=len(missing), lost_answers=len(lost), engines_idle=int(areIdle), no_runs_in_last_5s=int(noRuns)
    )
    if isTroubled and not lost:
        raise CannotRun("no answer was lost")
    return not (missing and areIdle and noRuns)


play(Folder, case)
