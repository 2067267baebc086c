"""CONFIG: after a store that was silent for two seconds, all entries go on with an old desired state for half a minute."""

import asyncio
import copy
import os
import sys

Folder = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(Folder, "..", "standins-2"))

import http1  # noqa: E402
from engine import Engine  # noqa: E402
from fleet import Host, desiredState, newId, play  # noqa: E402
from store import Store  # noqa: E402

# config_storm: a change each 0.06 s for 1.5 s, as in a day of the site coldline-kr. platform_down, how silent: 2.5 s in a day, here 2 s.
StormTime = 1.5
StormGap = 0.06
SilentTime = 2.0
# contactMs and configApplyMs of coldline-kr-grown.
ContactTime = 4.0
ConfigApplyTime = 3.0
JudgedTime = 12.0
Services = ("dele69a", "kubi18c")


async def request(fleet, entry):
    id = newId()
    headers = [
        ("Host", Host),
        ("Anvilyard-Attempt-Id", id),
        ("Anvilyard-Model", "m"),
        ("Anvilyard-Token-Usage", "450,200"),
        ("Anvilyard-Prompt-Prefix", f"{id[:4]}:100,{id}:350"),
        ("Anvilyard-Deadline-Ms", "5000"),
    ]
    sentAt = fleet.now()
    answer = await http1.call(entry.ip, entry.front, "POST", "/lohu930/2f", headers, b"note")
    status = answer[0] if answer else "none"
    ranAt = answer[1].get("anvilyard-instance-id", "none") if answer else "none"
    fleet.note("request", id=id, entry=entry.name, sent=f"{sentAt:.3f}", status=status, ran_at=ranAt)
    return sentAt, status, ranAt


async def case(fleet, isTroubled):
    store = Store()
    await store.start(fleet.storeIp, fleet.storePort)
    state = desiredState(services=Services)
    store.put("config", "main", copy.deepcopy(state))
    engines = [Engine(fleet, store, f"i-{number}f3a91c{number}", number, service=Services[number - 1]) for number in (1, 2)]
    for engine in engines:
        engine.events, engine.gap, engine.firstEventAfter = 3, 0.02, 0.02
        await engine.start()
    entries = [fleet.add(f"frontend-{number}", "entry") for number in (1, 2, 3)]
    fleet.add("storage-1", "runner")
    for node in fleet.nodes:
        await node.start()
    await fleet.waitUntilReady(entries)
    await asyncio.sleep(4)

    def write(change):
        state["version"] += 3
        change(state)
        store.put("config", "main", copy.deepcopy(state))
        fleet.note("desired-state", version=state["version"])

    def changeIdleTimeout(of):
        of["limits"]["idleTimeoutMs"] = 10000 + of["version"] % 7

    def moveRoute(of):
        for route in of["routes"]:
            if route["name"] == "fault-summary":
                route["service"] = Services[1]

    begin = fleet.now()
    while fleet.now() - begin < StormTime:
        write(changeIdleTimeout)
        await asyncio.sleep(StormGap)
    if isTroubled:
        store.isSilent = True
        fleet.note("store-silent")
    await asyncio.sleep(SilentTime)
    store.isSilent = False
    fleet.note("store-answers")
    # The store is stable, and all machines are in touch, when contactMs have passed.
    await asyncio.sleep(ContactTime + 2)

    write(moveRoute)
    ackedAt = fleet.now()
    await asyncio.sleep(ConfigApplyTime + 0.1)
    late = 0
    sent = 0
    while fleet.now() - ackedAt < ConfigApplyTime + JudgedTime:
        for entry in entries:
            sentAt, status, ranAt = await request(fleet, entry)
            sent += 1
            late += status == 200 and ranAt == engines[0].id and sentAt > ackedAt + ConfigApplyTime
        await asyncio.sleep(0.4)
    fleet.note("end", sent=sent, handled_by_older_version=late, bound_ms=int(ConfigApplyTime * 1000))
    return late == 0


play(Folder, case)
