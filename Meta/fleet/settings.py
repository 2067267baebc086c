"""Writes the YAML settings of one instance's programs."""

import json
import os


def write_settings(fleet, instance, program):
    values = {
        "instance": {"id": instance["id"], "data-centre": instance["data_centre"]},
        "platform": {"address": fleet.platform},
        "fleet": {"key-file": fleet.key_file},
        "admin": {"listen": instance["admins"][program]},
        "log": {"file": os.path.join(fleet.logs, f"{instance['id']}-{program}.events.log")},
        **SECTIONS[program](instance),
    }
    for section, keys in fleet.settings.get(program, {}).items():
        values[section] = {**values.get(section, {}), **keys}
    file = os.path.join(fleet.folder, f"{instance['id']}-{program}.yaml")
    with open(file, "w", encoding="utf-8") as settings:
        # JSON is valid YAML and needs no additional library.
        json.dump(values, settings, indent=2)
    return file


def entry_section(instance):
    return {
        "agent": {"address": instance["agent"]},
        "entry": {"listen": instance["entry"], "peer-listen": instance["entry_peer"]},
    }


def batch_section(instance):
    return {"agent": {"address": instance["agent"]}, "batch": {"peer-listen": instance["batch_peer"]}}


def agent_section(instance):
    return {
        "agent": {
            "listen": instance["agent"],
            "entry-peer": instance["entry_peer"],
            "batch-peer": instance["batch_peer"],
        }
    }


SECTIONS = {"entry": entry_section, "batch": batch_section, "agent": agent_section}
