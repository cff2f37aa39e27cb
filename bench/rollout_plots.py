"""Plot of the simulated rollouts: faulty calls by version and policy."""

from bench.registry import benchmarks
from bench.results import PLOTS_DIRECTORY, load_rows

BAR_HEIGHT = 0.2


@benchmarks.register("rollout-plots")
def rollout_plots(user: str = "dala", rate: float = 20.0) -> None:
    """Draw ``docs/plots/rollouts-USER.png`` from the rows of the measurement."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = [
        row
        for row in load_rows(f"rollouts-{user}")
        if row["calls/s"] == rate and row["faulty calls, median"] != ""
    ]
    names = list(dict.fromkeys(row["new version"] for row in rows))
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    figure, axes = pyplot.subplots(figsize=(8, 6))
    for index, policy in enumerate(policies):
        calls = {r["new version"]: r for r in rows if r["policy"] == policy}
        axes.barh(
            [place + index * BAR_HEIGHT for place in range(len(names))],
            [max(1.0, calls[name]["faulty calls, median"]) for name in names],
            BAR_HEIGHT,
            label=policy,
        )
    axes.set_yticks([place + 0.3 for place in range(len(names))], names)
    axes.invert_yaxis()
    axes.set_xscale("log")
    axes.set_xlabel(f"faulty calls of a rollout, median, {rate:g} calls/s")
    axes.legend(loc="lower center", bbox_to_anchor=(0.4, 1.0), ncols=4)
    figure.tight_layout()
    PLOTS_DIRECTORY.mkdir(parents=True, exist_ok=True)
    figure.savefig(PLOTS_DIRECTORY / f"rollouts-{user}.png", dpi=80)
