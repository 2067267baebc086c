"""An engine spoils one of its answers: an event of an item's text has two bytes that are no UTF-8."""
import asyncio
import os
import sys

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
ITEMS = 60
SPOILED = "bbbbi5"
FINISH_S = 18
CALM_S = 5


async def case(fleet, trouble):
    await fleet.start_store(STATE)
    for zone, engine in enumerate(["e1", "e2", "e3"]):
        # Only the engine that runs the item first spoils its answer.
        fleet.start_engine(engine, zone, service="p", version="1.0", slots=8, head_s=0.01, events=20, gap_s=0.02,
                           spoil=[SPOILED] if trouble else [])
    for role, zone in (("entry", 0), ("entry", 1), ("runner", 0), ("runner", 1), ("runner", 2)):
        fleet.start_node(role, zone)
    if not await fleet.wait_until_ready():
        raise RuntimeError("the entries did not become ready")
    await asyncio.sleep(3)

    items = [standins.batch_item(f"bbbbi{number}", f"/b/bbbb/{number}", f"11:100,bb{number}:250") for number in range(ITEMS)]
    answer = await fleet.submit("entry-zone-a-1", HOST, "/b/first", "bbbb", items)
    fleet.note(f"job bbbb with {ITEMS} items sent, answer: {answer and answer[0]}")
    if not answer or answer[0] != 202:
        raise RuntimeError("the job was not accepted")
    page = None
    for _ in range(FINISH_S + CALM_S):
        await asyncio.sleep(1)
        status, page = await fleet.results("entry-zone-b-2", HOST, "bbbb")
        listed = len(page["results"]) if page else None
    runs = len(fleet.runs(event="runs", request=SPOILED))
    spoiled = len(fleet.runs(event="spoils"))
    fleet.note(f"{spoiled} answers were spoiled; item {SPOILED} ran {runs} times")
    fleet.note(f"read of job bbbb: {status}, {listed} of {ITEMS} items are listed")
    if listed != ITEMS:
        return f"LOST: {listed} of {ITEMS} items are listed after one spoiled answer"
    return ""


standins.run_case(case)
