"""Classes and engine profiles of the bench."""

import dataclasses

from tanagerport.bench_trace import ClassLoad
from tanagerport.model import UpstreamKind, WorkClass
from tanagerport.standin_batch import EngineProfile

MODEL = "tutor"
SERVICE = "booking"
OLD_VERSION = "v1"
NEW_VERSION = "v2"

CLASSES = (
    ClassLoad(
        WorkClass(
            "caption-hint", 0, UpstreamKind.ENGINE, MODEL,
            deadline_s=3, typical_output_tokens=8,
        ),
        weight=0.35, min_tokens=4, max_tokens=12,
    ),
    ClassLoad(
        WorkClass(
            "coaching-turn", 0, UpstreamKind.ENGINE, MODEL,
            deadline_s=6, typical_output_tokens=40,
        ),
        weight=0.25, min_tokens=20, max_tokens=60,
    ),
    ClassLoad(
        WorkClass(
            "lesson-note", 1, UpstreamKind.ENGINE, MODEL,
            first_token_target_s=1.5, token_interval_target_s=0.06,
            deadline_s=7, typical_output_tokens=60,
        ),
        weight=0.15, min_tokens=40, max_tokens=80,
    ),
    ClassLoad(
        WorkClass(
            "drill-set", 2, UpstreamKind.ENGINE, MODEL,
            first_token_target_s=4.0, token_interval_target_s=0.08,
            deadline_s=7, typical_output_tokens=90,
        ),
        weight=0.20, min_tokens=60, max_tokens=120,
    ),
    ClassLoad(
        WorkClass(
            "booking", 1, UpstreamKind.SERVICE, SERVICE,
            first_token_target_s=1.0, deadline_s=3, idempotent=False,
        ),
        weight=0.05,
    ),
)  # fmt: skip

# A batch of 13 decodes at 38 ms a token, just within the top tier's target of
# 39 ms. Like real engines they admit more, and all slow down: the full batch
# takes 66 ms for hardly more tokens a second.
PROFILE = EngineProfile(
    step_s=0.006,
    step_per_request_s=0.0025,
    prefill_s_per_token=0.00002,
    max_batch=24,
)
# Short answers and faster engines give a rollout of 11 s enough requests.
ROLLOUT_CLASSES = (
    ClassLoad(
        WorkClass(
            "caption-hint", 0, UpstreamKind.ENGINE, MODEL,
            deadline_s=3, typical_output_tokens=6,
        ),
        weight=0.6, min_tokens=4, max_tokens=8,
    ),
    ClassLoad(
        WorkClass(
            "drill-line", 2, UpstreamKind.ENGINE, MODEL,
            first_token_target_s=1.5, token_interval_target_s=0.06,
            deadline_s=3, typical_output_tokens=10,
        ),
        weight=0.35, min_tokens=6, max_tokens=14,
    ),
    CLASSES[-1],
)  # fmt: skip
ROLLOUT_PROFILE = dataclasses.replace(
    PROFILE, step_s=0.003, step_per_request_s=0.00125, load_time_s=0.5
)
