"""Metrics are rendered as Prometheus text; jobs record response ratio and tasks."""

from rattanloom.job import ResultKind
from rattanloom.metrics import Metrics
from tests.dispatch_utils import job, task, worker_bench


def test_counters_gauges_and_distributions_are_rendered():
    metrics = Metrics()
    metrics.count("jobs_refused", "overloaded", by=2)
    metrics.gauge("config_version", 3)
    metrics.observe("admit", 0.5)
    metrics.observe_ratio("job_response_over_ideal", 1.25)
    lines = metrics.render().splitlines()
    assert 'rattanloom_jobs_refused_total{reason="overloaded"} 2' in lines
    assert "rattanloom_config_version 3" in lines
    assert any(
        line.startswith('rattanloom_admit_ms{quantile="0.5"} 0.50') for line in lines
    )
    assert "rattanloom_job_response_over_ideal_count 1" in lines


def test_complete_job_counts_its_response_over_the_ideal_and_its_tasks():
    with worker_bench(workers=1, slots=2) as bench:
        assert bench.run(job(task(20), task(5))).outcome is ResultKind.COMPLETE
        ratios = bench.metrics.distributions["job_response_over_ideal"]
        assert ratios.get_total_count() == 1
        assert ratios.get_min_value() >= 1_000
        assert bench.metrics.counters["tasks_done", ""] == 2
