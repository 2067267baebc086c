"""The two deployments, with full sizes as defaults; a demonstration passes smaller ones."""

from dataclasses import dataclass


@dataclass
class Pool:
    name: str
    kind: str
    servers: int
    models: str = ""


@dataclass
class Site:
    """A deployment: its rules, pools, data centres, and the keys of the customers in its rules."""

    name: str
    rules: str
    data_centres: list
    pools: list
    keys: dict
    online_service: str
    batch_service: str
    # A service of the same engines without a limit in the rules, for measuring the entry in front of the engines.
    unlimited_service: str


def coldline(engines=9, services=3):
    return Site(
        name="coldline",
        rules="docs/examples/coldline.rules",
        data_centres=["kr-central-1", "kr-central-2", "kr-central-3"],
        pools=[
            Pool("coldline-llm", "model-engine", engines, "coldline-7b@3"),
            Pool("dispatch-app", "plain-service", services),
        ],
        keys={"shop-17": "demo-key-shop-17", "shop-18": "demo-key-shop-18"},
        online_service="fault-notes",
        batch_service="maintenance-reports",
        unlimited_service="part-suggestions",
    )


def stevec(engines=9, records=4):
    return Site(
        name="stevec",
        rules="docs/examples/stevec.rules",
        data_centres=["slo-central-1", "slo-central-2", "slo-central-3", "slo-central-4"],
        pools=[
            Pool("pripovednik", "model-engine", engines, "pripovednik-13b@2"),
            Pool("evidenca", "model-engine", records, "evidenca-7b@1"),
        ],
        keys={"branch-1": "demo-key-branch-1", "office": "demo-key-office"},
        online_service="desk-answers",
        batch_service="quarterly-returns",
        unlimited_service="loan-summaries",
    )


SITES = {"coldline": coldline, "stevec": stevec}
