"""3 of 18 engines crash at the same moment, once, while they read the prompts of the first items with a new shared part."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as standins

HOST = "batch.example"
STATE = {
    "version": 1,
    "routes": [{"name": "b", "host": HOST, "pathPrefix": "/b/", "kind": "batch", "timeoutMs": 15000, "sloMs": 400, "priority": 2,
                "service": "p", "attempts": 3, "completionTargetMs": 18000, "queueTtlS": 60, "cap": 1900000, "resumable": True,
                "sessionAffinity": True}],
    "services": [{"name": "p", "healthPath": "/healthz", "maxConns": 310}],
    "limits": standins.LIMITS,
}
ENGINES = [f"e{number}" for number in range(18)]
# Engines read 61.2 prompt tokens in a millisecond.
SHARED_TOKENS = 60000
READ_S = SHARED_TOKENS / 61.2 / 1000
DOWN_S = 4.5
FINISH_S = 18
# Items that failed at an engine in the last 20 s do not count.
FAILED_S = 20
CALM_S = 5


def items_of(job, count, part):
    return [standins.batch_item(f"{job}i{number}", f"/b/{job}/{number}", f"{part}:{SHARED_TOKENS},{job}0{number}:250", f"{job} {number}".encode())
            for number in range(count)]


async def all_listed(fleet, job, limit_s):
    for _ in range(int(limit_s / 0.5)):
        status, page = await fleet.results("entry-zone-a-1", HOST, job)
        if status == 200 and len(page["results"]) == page["total"]:
            return True
        await asyncio.sleep(0.5)
    return False


async def case(fleet, trouble):
    await fleet.start_store(STATE)
    for number, engine in enumerate(ENGINES):
        fleet.start_engine(engine, number % 3, service="p", version="1.0", slots=8, head_s=READ_S, events=40, gap_s=0.03)
    for role, zone in (("entry", 0), ("entry", 1), ("runner", 0), ("runner", 1), ("runner", 2)):
        fleet.start_node(role, zone)
    if not await fleet.wait_until_ready():
        raise RuntimeError("the entries did not become ready")
    await asyncio.sleep(3)

    answer = await fleet.submit("entry-zone-a-1", HOST, "/b/warm", "aaaa", items_of("aaaa", 3, "11111111"))
    fleet.note(f"job aaaa with 3 items sent, answer: {answer and answer[0]}")
    if not await all_listed(fleet, "aaaa", 10):
        raise RuntimeError("the first job was not served")
    fleet.note("job aaaa is listed as a whole")

    answer = await fleet.submit("entry-zone-b-2", HOST, "/b/night", "bbbb", items_of("bbbb", 3, "22222222"))
    fleet.note(f"job bbbb with 3 items, which share the part 22222222, sent, answer: {answer and answer[0]}")
    if not answer or answer[0] != 202:
        raise RuntimeError("the job was not accepted")
    running = []
    for _ in range(200):
        running = sorted({line["engine"] for line in fleet.runs(event="runs") if line["request"].startswith("bbbb")})
        if len(running) == 3:
            break
        await asyncio.sleep(0.01)
    if len(running) != 3:
        raise RuntimeError(f"the items run at {running}")
    # Amid the reading of the prompts.
    await asyncio.sleep(READ_S / 3)
    crashed_at = time.time()
    if trouble:
        for engine in running:
            fleet.crash_engine(engine)
        fleet.note(f"crashed: 3 of {len(ENGINES)} engines: {running}")
        await asyncio.sleep(DOWN_S)
        for engine in running:
            fleet.start_engine(engine, ENGINES.index(engine) % 3)
        fleet.note("started them again")
    await asyncio.sleep(max(FINISH_S, FAILED_S) + CALM_S)

    status, page = await fleet.results("entry-zone-a-1", HOST, "bbbb")
    fleet.note(f"read of job bbbb: {status}, {page}")
    status, other = await fleet.results("entry-zone-b-2", HOST, "bbbb")
    fleet.note(f"the same at the other entry: {status}, {other}")
    if page is None or other is None:
        return "LOST: the accepted job cannot be read"
    missing = page["total"] - len(page["results"])
    again = [line for line in fleet.runs(event="runs") if line["request"].startswith("bbbb") and line["at"] > crashed_at + 0.1]
    if not missing:
        return ""
    return f"LOST: {missing} of {page['total']} items are not listed; later than 0.1 s after the crash {len(again)} reached engines"


standins.run_case(case)
