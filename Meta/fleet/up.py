"""Meta/anvilyard.sh up: starts a fleet, prints a line of JSON when it is ready, and runs until interrupted."""

import argparse
import json
import os
import shutil
import signal
import sys
import tempfile

from fleet import Fleet
from sites import SITES


def parse_arguments():
    parser = argparse.ArgumentParser(prog="Meta/anvilyard.sh up", description=__doc__)
    parser.add_argument("--instances", type=int, default=3, metavar="N", help="number of instances, each with entry, batch and agent")
    parser.add_argument("--engines", type=int, default=3, metavar="N", help="number of fake engines")
    parser.add_argument(
        "--engine", action="append", default=[], metavar="ADDRESS:PORT", help="running engine to use instead of the fake engines; may be repeated"
    )
    parser.add_argument("--fast", action="store_true", help="make the fake engines respond immediately")
    parser.add_argument("--site", choices=sorted(SITES), default="coldline", help="deployment whose rules and pools are used")
    parser.add_argument("--rules", metavar="FILE", help="rules file to use instead of the site's")
    parser.add_argument("--build", default=os.environ.get("ANVILYARD_BUILD_FOLDER", "Build"), metavar="FOLDER", help="build folder")
    return parser.parse_args()


def interrupt(*_):
    raise KeyboardInterrupt


def main():
    arguments = parse_arguments()
    signal.signal(signal.SIGTERM, interrupt)
    folder = tempfile.mkdtemp(prefix="anvilyard-")
    site = SITES[arguments.site](arguments.engines, 1)
    fleet = Fleet(site, arguments.build, folder, ["--instant"] if arguments.fast else [], rules=arguments.rules)
    try:
        fleet.start(arguments.instances, arguments.engine)
        print(json.dumps(fleet.describe()), flush=True)
        while True:
            signal.pause()
    except KeyboardInterrupt:
        pass
    except RuntimeError as error:
        print(f"up: {error}; logs are in {fleet.logs}", file=sys.stderr)
        fleet.stop()
        return 1
    running = [process.name for process in fleet.processes if not process.has_ended()]
    print(f"up: stopping {len(running)} of {len(fleet.processes)} processes that are still running: {' '.join(running)}", file=sys.stderr)
    failures = fleet.stop()
    for name, code in failures.items():
        print(f"up: {name} exited with code {code}; logs are in {fleet.logs}", file=sys.stderr)
    if not failures:
        shutil.rmtree(folder)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
