from lacewingstair.metrics.sidecar import CALL_BUCKETS, SidecarMetrics
from lacewingstair.metrics.sidecar_page import render


def lines_of(metrics):
    page = render(metrics)
    assert page.content_type.startswith("text/plain")
    lines = page.body.decode().splitlines()
    return dict(line.rsplit(" ", 1) for line in lines if not line.startswith("#"))


def test_the_page_shows_counts_by_label_and_cumulated_buckets():
    metrics = SidecarMetrics()
    metrics.count_call("view", 200, 0.02)
    metrics.count_call("view", 200, 0.021)
    metrics.count_call("view", 0, 99.0)
    metrics.count_run("view", 500, 5.0)
    metrics.store_calls = lambda: {("log-read",): 3}
    found = lines_of(metrics)
    assert found['lacewingstair_caller_calls_total{status="200"}'] == "2.0"
    assert found['lacewingstair_caller_calls_total{status="0"}'] == "1.0"
    assert found['lacewingstair_upstream_runs_total{status="500"}'] == "1.0"
    assert found['lacewingstair_store_calls_total{operation="log-read"}'] == "3.0"
    prefix = "lacewingstair_caller_call_seconds"
    counts = [
        float(found[f'{prefix}_bucket{{le="{bound}"}}'])
        for bound in [*CALL_BUCKETS, "+Inf"]
    ]
    # A bound belongs to its bucket.
    assert counts == [0, 1, *[2] * (len(CALL_BUCKETS) - 2), 3]
    assert found[f"{prefix}_count"] == "3.0"
    assert float(found[f"{prefix}_sum"]) == 99.041
