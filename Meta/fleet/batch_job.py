"""Client of the batch interface: items, submission, progress and results."""

import json

from processes import fetch, wait_until


def make_items(service, count, tokens):
    lines = []
    for number in range(count):
        body = {"model": service, "prompt": f"service history {number}", "max_tokens": tokens}
        lines.append(json.dumps({"custom_id": f"item-{number}", "method": "POST", "url": "/v1/completions", "body": body}))
    return ("\n".join(lines) + "\n").encode()


class BatchCaller:
    """Sends a customer's calls. Each call is given the entry that receives it."""

    def __init__(self, key):
        self.headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}

    def call(self, entry, path, body=None, method="GET", key=None):
        headers = dict(self.headers)
        if key:
            headers["Idempotency-Key"] = key
        status, response = fetch(entry, path, body, method, headers, timeout=120)
        if status != 200:
            raise RuntimeError(f"{method} {path} through {entry} returned status {status}: {response[:500].decode()}")
        return response

    def submit(self, entry, items, key):
        """Uploads the items and submits the job. A repeated call with the same key returns the same job."""
        file = json.loads(self.call(entry, "/v1/files?filename=items.jsonl", items, "POST", f"{key}-file"))
        job = {"input_file_id": file["id"], "endpoint": "/v1/completions", "completion_window": "24h"}
        return json.loads(self.call(entry, "/v1/batches", json.dumps(job).encode(), "POST", key))

    def status(self, entry, job):
        return json.loads(self.call(entry, f"/v1/batches/{job}"))

    def wait_finished(self, entry, job, seconds, progress):
        def is_finished():
            state = self.status(entry, job)
            progress(state["request_counts"])
            return state["status"] in ("completed", "failed", "cancelled", "expired")

        wait_until(is_finished, seconds, f"{job} to finish", every=0.25)
        return self.status(entry, job)

    def results(self, entry, file):
        """Returns the parsed lines of a result file."""
        content = self.call(entry, f"/v1/files/{file}/content")
        return [json.loads(line) for line in content.splitlines() if line]
