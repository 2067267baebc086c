"""Meta/anvilyard.sh run: demonstrates a fleet on this machine and checks its results against the records of the fake engines."""

import glob
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter

from batch_job import BatchCaller, make_items
from fleet import Fleet
from sites import coldline
from up import interrupt

INSTANCES = 3
ITEMS = 3000
ITEM_TOKENS = 16
JOB_SECONDS = 90
LOAD_OPTIONS = ["--rate", "20", "--burst-every", "2", "--burst-requests", "20", "--seconds", "8", "--warm-up", "1", "--tokens", "24"]


def print_progress(text):
    print(text, flush=True)


def stream_with_curl(fleet):
    """Streams a completion with curl, as an ordinary client, and checks that it is complete."""
    site = fleet.site
    body = {"model": site.online_service, "prompt": "compressor is hot, alarm E7", "max_tokens": 12, "stream": True}
    key = next(iter(site.keys.values()))
    command = ["curl", "-sSN", "--fail-with-body", "-m", "20", f"http://{fleet.instances[0]['entry']}/v1/completions"]
    command += ["-H", f"Authorization: Bearer {key}", "-H", "Content-Type: application/json", "-d", json.dumps(body)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
    events = [line[6:] for line in completed.stdout.splitlines() if line.startswith("data: ")]
    if completed.returncode != 0 or not events or events[-1] != "[DONE]":
        output = f"{completed.stdout[-500:]} {completed.stderr[-500:]}"
        raise RuntimeError(f"the streamed completion failed; curl exited with code {completed.returncode}: {output}")
    text = "".join(choice.get("text", "") for event in events[:-1] for choice in json.loads(event)["choices"])
    print_progress(f"  curl streamed {len(events)} events: {text.strip()}")


def run_online_load(fleet):
    """Starts a process that sends bursty requests to all instances and prints a report at its end."""
    command = [os.path.join(fleet.bin, "anvilyard-load"), "--model", fleet.site.online_service, *LOAD_OPTIONS]
    for instance in fleet.instances:
        command += ["--target", instance["entry"]]
    command += ["--key", next(iter(fleet.site.keys.values()))]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def submit_job(fleet, caller):
    items = make_items(fleet.site.batch_service, ITEMS, ITEM_TOKENS)
    first, second = fleet.instances[0]["entry"], fleet.instances[1]["entry"]
    job = caller.submit(first, items, "overnight-1")
    print_progress(f"  {job['id']}: {job['request_counts']['total']} items accepted by {fleet.instances[0]['id']}")
    repeated = caller.submit(second, items, "overnight-1")
    if repeated["id"] != job["id"]:
        raise RuntimeError(f"the repeated submission through another instance returned a different job: {repeated['id']}")
    print_progress(f"  the repeated submission through {fleet.instances[1]['id']} returned the same job")
    return job["id"]


def wait_for_job(fleet, caller, job):
    last = {"time": 0.0}

    def progress(counts):
        if time.monotonic() - last["time"] < 2:
            return
        last["time"] = time.monotonic()
        print_progress(f"  {counts['completed']} of {counts['total']} items completed")

    state = caller.wait_finished(fleet.instances[-1]["entry"], job, JOB_SECONDS, progress)
    counts = state["request_counts"]
    if state["status"] != "completed" or counts["completed"] != ITEMS:
        raise RuntimeError(f"the job has the status {state['status']} with {counts}")
    return state


def read_records(fleet):
    """Returns, for each prompt, how many times the engines finished it, and its text."""
    finished = Counter()
    texts = {}
    for file in glob.glob(os.path.join(fleet.folder, "*.records.jsonl")):
        with open(file, encoding="utf-8") as records:
            for record in map(json.loads, records):
                if record["event"] == "finished":
                    finished[record["prompt"]] += 1
                    texts[record["prompt"]] = record["text"]
    return finished, texts


def check_results(fleet, caller, state):
    """Checks the results read through the last instance against the records of the engines."""
    results = caller.results(fleet.instances[-1]["entry"], state["output_file_id"])
    finished, texts = read_records(fleet)
    result_counts = Counter(result["custom_id"] for result in results)
    errors = []
    for number in range(ITEMS):
        prompt = f"service history {number}"
        if result_counts[f"item-{number}"] != 1:
            errors.append(f"item-{number} has {result_counts[f'item-{number}']} results")
        if finished[prompt] != 1:
            errors.append(f"item-{number} was finished {finished[prompt]} times by the engines")
    for result in results:
        prompt = "service history " + result["custom_id"].removeprefix("item-")
        text = result["response"]["body"]["choices"][0]["text"]
        if text != texts.get(prompt):
            errors.append(f"{result['custom_id']} has the text of another item")
    if len(results) != ITEMS or errors:
        raise RuntimeError(f"{len(results)} results, {len(errors)} errors: {'; '.join(errors[:5])}")
    print_progress(f"  {len(results)} results read through {fleet.instances[-1]['id']}; each ran exactly once according to the engines' records")


def check_online(process):
    output, _ = process.communicate(timeout=120)
    online = json.loads(output)["online"]
    if online["whole"] != online["requests"]:
        raise RuntimeError(f"some online responses were incomplete: { {key: online[key] for key in ('requests', 'whole', 'short', 'foreign', 'error_events', 'refused', 'failed')} }")
    return online


def demonstrate(fleet):
    print_progress(f"1. A fleet of {INSTANCES} instances, {len(fleet.site.pools)} pools, with the rules of {fleet.site.rules}")
    fleet.start(INSTANCES)
    print_progress(f"  {len(fleet.processes)} processes are running; the rules are in force on every instance")
    print_progress("2. An online request")
    stream_with_curl(fleet)
    print_progress(f"3. A batch job of {ITEMS} items, with concurrent bursts of online requests")
    caller = BatchCaller(next(iter(fleet.site.keys.values())))
    started = time.monotonic()
    job = submit_job(fleet, caller)
    load = run_online_load(fleet)
    state = wait_for_job(fleet, caller, job)
    seconds = time.monotonic() - started
    check_results(fleet, caller, state)
    return check_online(load), seconds


def summarise(online, seconds):
    first, between = online["first_token_ms"], online["between_tokens_ms"]
    print_progress("Summary")
    print_progress(f"  online: {online['whole']} of {online['requests']} responses complete, {online['tokens']} tokens")
    print_progress(f"  first token: p50 {first['p50']:.0f} ms, p95 {first['p95']:.0f} ms, p99 {first['p99']:.0f} ms")
    print_progress(f"  between tokens: p50 {between['p50']:.0f} ms, p95 {between['p95']:.0f} ms, p99 {between['p99']:.0f} ms")
    print_progress(f"  batch: {ITEMS} of {ITEMS} items, each exactly once, in {seconds:.1f} s ({ITEMS / seconds:.0f} items/s)")


def main():
    signal.signal(signal.SIGTERM, interrupt)
    folder = tempfile.mkdtemp(prefix="anvilyard-run-")
    fleet = Fleet(coldline(3, 1), os.environ.get("ANVILYARD_BUILD_FOLDER", "Build"), folder, ["--token-ms", "10"], record=True)
    outcome = None
    try:
        outcome = demonstrate(fleet)
    except (RuntimeError, KeyboardInterrupt, KeyError, subprocess.TimeoutExpired) as error:
        print(f"run: {error or 'interrupted'}", file=sys.stderr)
    print_progress("4. Graceful stop")
    failures = fleet.stop()
    for name, code in failures.items():
        print(f"run: {name} exited with code {code}", file=sys.stderr)
    if outcome is None or failures:
        print(f"run: failed; logs are in {fleet.logs}", file=sys.stderr)
        return 1
    print_progress(f"  all {len(fleet.processes)} processes stopped with exit code 0")
    summarise(*outcome)
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
