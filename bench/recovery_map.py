#!/usr/bin/env python3
"""How long a fleet takes to come back after three in ten of its servers were gone, in the emulator.

  bench/recovery_map.py [--lab FILE [FILE ...]] [--seeds N]

Fifty thin nodes before 220 servers, over load, length of the fault and how often clients try. Prints the seconds from
the fault's end to 95% of the service before it, a mean over the seeds, and `never` where a run did not get there in the
60 s after it. With several builds of nettlestand-lab: one table each, on the same seeds.
"""
import argparse
import json
import os
import subprocess
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
LOADS = (0.5, 0.7, 0.8, 0.9, 1.0, 1.1, 1.3, 1.5)
LENGTHS = (2, 5, 10)
TRIES = (1, 2, 4, 8)
GONE = ",".join(f"s{i}" for i in range(220) if i % 10 < 3)


def experiment(seeds):
    out = [f'name = "recovery-map"\nseconds = 90\ncount_from = 2\nseeds = {seeds}\n',
           '[fleet]\nnodes = 50\nservers = 220\ncores = 1\nwork_ms = 200\n',
           '[traffic]\naim_ms = 2000\ndeadline_ms = 4000\nretry_pause_ms = 500\nuneven = 0.7\ntenants = 5\n',
           '[warm_up]\nstart_capacity = 0.32\nramp_ms = 9000\n']
    for load in LOADS:
        for length in LENGTHS:
            for tries in TRIES:
                out.append(f'[[variant]]\nname = "{load}/{length}/{tries}"\n'
                           f'faults = """\nat 10 {GONE}: crash for {length}\nat 11 {GONE}: gone for {length - 0.5}\n"""\n'
                           f'[variant.traffic]\nload = {load}\ntries = {tries}\n')
    return "\n".join(out)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--lab", nargs="*", default=[os.path.join(ROOT, "build-test", "lab", "nettlestand-lab")])
    parser.add_argument("--seeds", type=int, default=3)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        file, result = os.path.join(folder, "e.toml"), os.path.join(folder, "r.json")
        with open(file, "w") as out:
            out.write(experiment(args.seeds))
        for lab in args.lab:
            subprocess.run([lab, "run", file, "--quiet", "--out", result], check=False, stdout=subprocess.DEVNULL)
            with open(result) as got:
                runs = json.load(got)["runs"]
            cells = {}
            for run in runs:
                cells.setdefault(run["variant"], []).append(run["recovery_s"])
            print(f"\n{os.path.basename(os.path.dirname(os.path.dirname(os.path.dirname(lab)))) or lab}\n")
            print("| load | " + " | ".join(f"{l} s, {t} tries" for l in LENGTHS for t in TRIES) + " |")
            print("|" + " --- |" * (1 + len(LENGTHS) * len(TRIES)))
            for load in LOADS:
                row = []
                for length in LENGTHS:
                    for tries in TRIES:
                        seen = cells[f"{load}/{length}/{tries}"]
                        good = [s for s in seen if s >= 0]
                        mean = f"{sum(good) / len(good):.0f}" if good else ""
                        never = len(seen) - len(good)
                        row.append(mean if never == 0 else "never" if not good else f"{mean}, never {never}/{len(seen)}")
                print(f"| {load} | " + " | ".join(row) + " |")


main()
