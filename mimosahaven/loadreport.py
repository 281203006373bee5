"""Report of a load experiment with plots."""

import collections
import pathlib

OUTCOMES = ("succeeded", "refused", "failed")
SUBPLOT_INCHES = (10, 4)


def _outcome_series(result: dict, outcome: str) -> tuple[list[int], list[int]]:
    totals: collections.Counter = collections.Counter()
    for entry in result["per_second"]:
        totals[entry["second"]] += entry[outcome]
    seconds = sorted(totals)
    return seconds, [totals[second] for second in seconds]


def write_plot(results: dict[str, dict], path: pathlib.Path) -> None:
    """Plots whole requests per second, one subplot for each run.

    Args:
      results: Results of `loadresult.summarize` by the name of the run.
      path: Image file to write.
    """
    # Imported here because it is only needed for reports and is installed only
    # with the development extra.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    width, height = SUBPLOT_INCHES
    figure, axes = pyplot.subplots(
        len(results),
        sharex=True,
        squeeze=False,
        figsize=(width, height * len(results)),
    )
    for axis, (name, result) in zip(axes[:, 0], results.items(), strict=True):
        for outcome in OUTCOMES:
            axis.plot(*_outcome_series(result, outcome), label=outcome)
        for phase, values in result["phases"].items():
            axis.axvline(values["start_s"], color="grey", linewidth=0.5)
            axis.annotate(
                phase,
                (values["start_s"], 1),
                xycoords=("data", "axes fraction"),
            )
        axis.set_title(name, pad=20)
        axis.set_ylabel("requests due per second")
        axis.legend()
    axes[-1, 0].set_xlabel("s")
    figure.savefig(path)
    pyplot.close(figure)


def text_report(results: dict[str, dict]) -> str:
    """Returns the report as Markdown."""
    lines = []
    for name, result in results.items():
        lines += [
            f"## {name}",
            "",
            "| phase | offered/s | completed/s | important succeeded "
            "| p50 ms | p99 ms | sends per request |",
            "|---|---|---|---|---|---|---|",
        ]
        for phase, values in result["phases"].items():
            latency = values["latency"]
            sends = values["sends"] / max(1, values["offered"])
            lines.append(
                f"| {phase} | {values['offered_per_s']:.0f} "
                f"| {values['completed_per_s']:.0f} "
                f"| {_share_text(values['important_success_share'])} "
                f"| {latency['p50_ms']:.0f} | {latency['p99_ms']:.0f} "
                f"| {sends:.2f} |"
            )
        lines += ["", f"Recovery: {_recovery_text(result)}", ""]
    return "\n".join(lines)


def _share_text(share: float | None) -> str:
    return "" if share is None else f"{share:.1%}"


def _recovery_text(result: dict) -> str:
    if "recovery_s" not in result:
        return "not measured"
    recovery_s = result["recovery_s"]
    return "never" if recovery_s is None else f"{recovery_s:.1f} s"


def write_report(results: dict[str, dict], directory: pathlib.Path) -> None:
    """Writes `report.md` and `report.png` to a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    write_plot(results, directory / "report.png")
    text = text_report(results) + "\n![requests](report.png)\n"
    (directory / "report.md").write_text(text, encoding="utf-8")
