"""Engines of a newer software version join a service. Right after, one of three entries is killed, and its callers take up their streams at
the other two."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import fleet as standins

http1 = standins.http1
HOST = "site.example"
STATE = {
    "version": 1,
    "routes": [{"name": "s", "host": HOST, "pathPrefix": "/s/", "kind": "streaming", "timeoutMs": 5000, "sloMs": 300, "priority": 0,
                "service": "p", "attempts": 2, "resumable": True, "gapAimMs": 600, "sessionAffinity": True}],
    "services": [{"name": "p", "healthPath": "/healthz", "maxConns": 310}],
    "limits": standins.LIMITS,
}
DEADLINE_S = 5.0
STREAMS = 24
EVENTS = 50
# The rule is about 12 or more streams that are taken up.
MIN_TAKEN_UP = 12


async def attempt(fleet, entry, name, until, resumes=None, after=0):
    """Returns the status, the events received and whether the answer was complete."""
    host, port = fleet.entries[entry]["callers"].rsplit(":", 1)
    headers = [("Host", HOST), ("Anvilyard-Attempt-Id", name), ("Anvilyard-Deadline-Ms", str(int((until - time.time()) * 1000))),
               ("Anvilyard-Model", "m"), ("Anvilyard-Token-Usage", "250,50"),
               ("Anvilyard-Prompt-Prefix", f"aa:100,{(resumes or name)}:150")]
    if resumes:
        headers += [("Last-Event-Id", str(after)), ("Resumes", resumes)]
    status, events = None, []
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(http1.request_bytes("POST", "/s/ask", headers, b"what fails"))
            line, answered = await http1.read_head(reader)
            status = int(line.split(" ")[1])
            if status != 200:
                return status, [(await http1.read_body(reader, answered)).decode()], False
            text = b""
            while chunk := await asyncio.wait_for(http1.read_chunk(reader), max(0.01, until - time.time())):
                text += chunk
                *whole, text = text.split(b"\n\n")
                events += [event.decode() for event in whole]
            return status, events, True
        finally:
            writer.close()
    except (OSError, http1.Closed, asyncio.TimeoutError):
        return status, events, False


async def caller(fleet, name, counts):
    until = time.time() + DEADLINE_S
    first = list(fleet.entries)[0]
    status, events, is_complete = await attempt(fleet, first, name, until)
    if is_complete or not events:
        counts["whole" if is_complete else "without an event"] += 1
        return
    other = list(fleet.entries)[1 + int(name[1:]) % 2]
    counts["taken up"] += 1
    status, more, is_complete = await attempt(fleet, other, name + "b", until, name, len(events))
    goes_on = status == 200 and len(more) > 0
    counts["gone on"] += goes_on
    fleet.note(f"stream {name}: {len(events)} events of version {events[0].split('data: ')[1].split('-')[0]}, broken off; taken up at "
               f"{other}: status {status}, " + (f"{len(more)} events" if status == 200 else more[0] if more else "no answer"))


async def new_caller(fleet, name, counts):
    entry = list(fleet.entries)[1 + int(name[1:]) % 2]
    status, events, _ = await attempt(fleet, entry, name, time.time() + DEADLINE_S)
    counts["new"] += 1
    counts["begun"] += status == 200 and len(events) > 0


async def case(fleet, trouble):
    await fleet.start_store(STATE)
    engine = {"service": "p", "slots": 8, "head_s": 0.01, "events": EVENTS, "gap_s": 0.06}
    for number in range(6):
        fleet.start_engine(f"old{number}", number % 3, version="1.0", **engine)
    for role, zone in (("entry", 0), ("entry", 1), ("entry", 2), ("runner", 0), ("runner", 1), ("runner", 2)):
        fleet.start_node(role, zone)
    if not await fleet.wait_until_ready():
        raise RuntimeError("the entries did not become ready")
    # All machines are in touch and the store is stable from here on.
    await asyncio.sleep(4)

    counts = dict.fromkeys(("whole", "without an event", "taken up", "gone on", "new", "begun"), 0)
    callers = []
    for number in range(STREAMS):
        callers.append(asyncio.ensure_future(caller(fleet, f"a{number}", counts)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(0.3)
    # Left out without the disruption; CONTROL=1 leaves out only the newer version.
    version = "2.0" if trouble and os.environ.get("CONTROL") != "1" else "1.0"
    for number in range(3):
        fleet.start_engine(f"new{number}", number % 3, version=version, **engine)
    for _ in range(100):
        if len({line["engine"] for line in fleet.runs(event="registered")}) == 9:
            break
        await asyncio.sleep(0.02)
    fleet.note(f"3 engines of version {version} have registered beside 6 of version 1.0")
    await asyncio.sleep(1)
    if trouble:
        fleet.nodes[list(fleet.nodes)[0]].kill()
        fleet.note(f"{list(fleet.nodes)[0]} killed")
    for number in range(MIN_TAKEN_UP):
        callers.append(asyncio.ensure_future(new_caller(fleet, f"n{number}", counts)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*callers)

    fleet.note(f"{counts}")
    if trouble and counts["taken up"] < MIN_TAKEN_UP:
        raise RuntimeError("too few streams were taken up")
    gone_on = counts["gone on"] / max(1, counts["taken up"])
    begun = counts["begun"] / counts["new"]
    if counts["taken up"] >= MIN_TAKEN_UP and gone_on < begun / 2:
        return (f"LOST: of {counts['taken up']} streams that are taken up {counts['gone on']} go on, of {counts['new']} new ones "
                f"{counts['begun']} begin, while 6 engines of the version of the former serve")
    return ""


standins.run_case(case)
