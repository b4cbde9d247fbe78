"""The embedding example runs, and the account stays within its rate and burst."""

from __future__ import annotations

import importlib.util
from pathlib import Path

EXAMPLE = Path(__file__).parents[1] / "examples" / "embedding.py"
RATE_PER_S, BURST_TOKENS, DURATION_S = 20, 20, 10


def test_embedding_example_stays_within_rate_and_burst() -> None:
    spec = importlib.util.spec_from_file_location("embedding", EXAMPLE)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    spent_count = module.run(float(DURATION_S))
    assert spent_count >= RATE_PER_S * DURATION_S * 0.8
    assert spent_count <= BURST_TOKENS + RATE_PER_S * DURATION_S
