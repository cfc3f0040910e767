"""Benchmarks with paired baselines: ``python -m lab.bench --seed 1``."""

import fire

from lab import pathbench, policybench


def run(seed: int = 1, seconds: float = 25.0) -> None:
    """Run the benchmarks and print each row once it is measured.

    Parameters
    ----------
    seed : int
        Seed of the loads; each variant of an experiment gets the same.
    seconds : float
        Virtual time of one load.
    """
    print(policybench.HEADER)
    for row in policybench.measure(seed, seconds):
        print(policybench.line(row), flush=True)
    pathbench.main()


if __name__ == "__main__":
    fire.Fire(run)
