"""The two users of the fleet: their services, rules and callers' requests."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Service:
    name: str
    instances: int
    slots: int
    service_ms: float


@dataclass(frozen=True)
class User:
    name: str
    zones: tuple
    services: tuple
    rules: str
    routes: tuple


ACCRA = User(
    name="accra",
    zones=("gh-south-a", "gh-south-b", "gh-south-c"),
    services=(Service("box-ledger", 20, 3, 8),
              Service("payout-desk", 6, 3, 12)),
    rules="""\
service box-ledger floor 40 slots/instance 3 weigh false-ejections  # lookup team: kiosks read all day
service payout-desk floor 12 slots/instance 3 weigh false-ejections  # treasury: closures must not stall
route GET /boxes/* -> box-ledger idempotent timeout 2s retries 2  # lookup team: a late tally only annoys
route POST /boxes -> box-ledger non-idempotent timeout 2s  # lookup team: a box is recorded once
route POST /payouts -> payout-desk non-idempotent timeout 3s  # treasury: a payout sent twice empties a share
route POST /batches/*/close -> payout-desk non-idempotent timeout 3s  # treasury: closures are counted
route GET /payouts/* -> payout-desk idempotent timeout 2s retries 2  # treasury: status of a payout
limit team kiosks rate 2000/s burst 4000  # lookup team: kiosks poll in a loop
""",
    routes=(
        {"method": "GET", "path": "/boxes/{n}", "weight": 60,
         "idempotent": True, "answer_bytes": 1200, "team": "kiosks"},
        {"method": "POST", "path": "/boxes", "weight": 15, "keyed": True,
         "body_bytes": 400, "answer_bytes": 100, "team": "charities"},
        {"method": "POST", "path": "/payouts", "weight": 8, "keyed": True,
         "body_bytes": 200, "answer_bytes": 100, "team": "treasury"},
        {"method": "POST", "path": "/batches/{n}/close", "weight": 2,
         "keyed": True, "body_bytes": 100, "team": "treasury"},
        {"method": "GET", "path": "/payouts/{n}", "weight": 15,
         "idempotent": True, "answer_bytes": 300, "team": "treasury"},
    ))

TAMEGA = User(
    name="tamega",
    zones=("pt-a", "pt-b", "pt-c", "pt-d"),
    services=(Service("resident-desk", 23, 4, 8),
              Service("field-ops", 8, 4, 12)),
    rules="""\
service resident-desk floor 60 slots/instance 4 weigh detection-time  # repair desk: a slow reply leaves a household waiting
service field-ops floor 20 slots/instance 4 weigh detection-time  # dispatch: crews wait for an answer
route GET /faults/* -> resident-desk idempotent timeout 2s retries 2  # repair desk: fault status
route POST /visits -> resident-desk non-idempotent timeout 2s  # repair desk: a lost booking means no one comes
route POST /dispatches -> field-ops non-idempotent timeout 3s  # dispatch: twice sends a crew out for nothing
route POST /parts/issue -> field-ops non-idempotent timeout 3s  # stores: a part is counted once
route GET /jobs/* -> field-ops idempotent timeout 2s retries 2  # technicians: the job sheet
limit team technicians rate 1000/s burst 2000  # dispatch: handhelds repeat at once
""",
    routes=(
        {"method": "GET", "path": "/faults/{n}", "weight": 60,
         "idempotent": True, "answer_bytes": 900, "team": "residents"},
        {"method": "POST", "path": "/visits", "weight": 12, "keyed": True,
         "body_bytes": 300, "answer_bytes": 100, "team": "residents"},
        {"method": "POST", "path": "/dispatches", "weight": 5, "keyed": True,
         "body_bytes": 200, "answer_bytes": 100, "team": "technicians"},
        {"method": "POST", "path": "/parts/issue", "weight": 5,
         "keyed": True, "body_bytes": 150, "team": "technicians"},
        {"method": "GET", "path": "/jobs/{n}", "weight": 18,
         "idempotent": True, "answer_bytes": 3000, "team": "technicians"},
    ))
