"""The operator splits the route of a batch job whose items wait: one part of its paths goes to one new service, the rest to another."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as standins

HOST = "batch.example"
CONFIG_APPLY_S = 2


def route(name, prefix, service):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": "batch", "timeoutMs": 15000, "sloMs": 400, "priority": 2,
            "service": service, "attempts": 3, "completionTargetMs": 18000, "queueTtlS": 60, "cap": 1900000, "resumable": True,
            "sessionAffinity": True}


def state(version, routes):
    services = [{"name": name, "healthPath": "/healthz", "maxConns": 310} for name in ("reports", "reports-north", "reports-south")]
    return {"version": version, "routes": routes, "services": services, "limits": standins.LIMITS}


WHOLE = state(3, [route("all", "/b/", "reports")])
SPLIT = state(7, [route("all", "/b/", "reports"), route("north", "/b/north/", "reports-north"),
                  route("south", "/b/south/", "reports-south")])
# The services that some desired state allows, by the first part of an item's path.
ALLOWED = {"north": {"reports", "reports-north"}, "south": {"reports", "reports-south"}}
ITEMS = 40


async def case(fleet, trouble):
    await fleet.start_store(WHOLE)
    services = {"r1": "reports", "r2": "reports", "n1": "reports-north", "n2": "reports-north", "s1": "reports-south",
                "s2": "reports-south"}
    for number, (engine, service) in enumerate(services.items()):
        fleet.start_engine(engine, number % 3, service=service, version="1.0", slots=4, head_s=0.01, events=40, gap_s=0.04)
    for role, zone in (("entry", 0), ("entry", 1), ("runner", 0), ("runner", 1), ("runner", 2)):
        fleet.start_node(role, zone)
    if not await fleet.wait_until_ready():
        raise RuntimeError("the entries did not become ready")
    await asyncio.sleep(3)

    items = []
    for number in range(ITEMS):
        branch = "north" if number % 2 == 0 else "south"
        items.append(standins.batch_item(f"bbbbi{number}", f"/b/{branch}/{number}", f"11:100,bb{number}:250"))
    answer = await fleet.submit("entry-zone-a-1", HOST, "/b/night", "bbbb", items)
    fleet.note(f"job bbbb with {ITEMS} items, by turns below /b/north/ and /b/south/, sent, answer: {answer and answer[0]}")
    if not answer or answer[0] != 202:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(2)
    if trouble:
        answer = await fleet.operator("PUT", "/api/objects/config/main", {"metadata": {"name": "main"}, "spec": SPLIT})
        fleet.note(f"the operator splits the route, answer: {answer and answer[0]}")
    for _ in range(40):
        await asyncio.sleep(0.5)
        status, page = await fleet.results("entry-zone-b-2", HOST, "bbbb")
        if page and len(page["results"]) == ITEMS:
            break
    fleet.note(f"read of job bbbb: {status}, {len(page['results']) if page else None} of {ITEMS} items are listed")

    wrong = {}
    for line in fleet.runs(event="runs"):
        branch = line["target"].split("/")[2]
        service = services[line["engine"]]
        if service not in ALLOWED[branch]:
            wrong.setdefault((branch, service), []).append(line["request"])
    for (branch, service), requests in wrong.items():
        fleet.note(f"service {service} ran {len(requests)} items below /b/{branch}/: {requests}")
    if wrong:
        return f"ROUTE: {sum(map(len, wrong.values()))} items ran at a service to which no desired state allows them to go"
    if not page or len(page["results"]) != ITEMS:
        raise RuntimeError("the job was not finished")
    return ""


standins.run_case(case)
