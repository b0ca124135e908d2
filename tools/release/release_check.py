#!/usr/bin/env python3
"""Tells what a release still owes, from the journal of the bench, and writes the table of its figures.

usage: release_check.py [--repository DIR] [--commit COMMIT] [--ci COMMIT...] [--table]

A hunt, score or in-service run counts for a commit only where no file that the program is built from differs between
that commit and the one that it ran on, and where nothing was uncommitted then. `--ci` names the commits on which the whole CI script has passed.
Exit 0: nothing is owed. 1: something is. 2: bad use."""
import argparse
import dataclasses
import glob
import json
import os
import subprocess
import sys

# What the program is built from.
PROGRAM_PATHS = ['src', 'core', 'include', 'deploy', 'http', 'discovery', 'daemon', 'json', 'util', 'peers', 'duties',
                 'report', 'CMakeLists.txt']
DAYS_OWED = {'krstf': 40, 'alpc-rede': 40, 'krstf-grown': 12, 'alpc-rede-grown': 12, 'cardon-bog-grown': 12,
             'krstf-large': 8, 'alpc-rede-large': 8}
SCORES_OWED = ['krstf-grown', 'alpc-rede-grown', 'cardon-bog-grown', 'krstf-large', 'alpc-rede-large']
CI_RUNS_OWED = 2


@dataclasses.dataclass
class Run:
    """One entry of the journal, as far as a release is concerned."""
    command: str
    site: str
    head: str
    at: str
    days: int
    broken: int
    score: float | None
    dirty: bool


def read_run(path):
    """The run of a journal entry, or None where the entry is of no run that counts."""
    with open(path, encoding='utf-8') as file:
        entry = json.load(file)
    days = [day for day in entry.get('days') or [] if isinstance(day, dict)]
    command = entry.get('cmd')
    if command not in ('hunt', 'score', 'real-score') or not entry.get('site'):
        return None
    if command != 'real-score' and entry['site'] not in DAYS_OWED:
        return None  # of the simulator of the decision module
    broken = sum(1 for day in days if day.get('rules'))
    broken = max(broken, str(entry.get('digest')).count('BROKEN'))
    count = len(entry.get('days') or [])
    return Run(command, entry['site'], entry.get('head', ''), entry['at'][0], count, broken, entry.get('score'),
               bool(entry.get('dirty')))


def read_journal(folder):
    """All runs, in the order in which they began."""
    runs = []
    for path in sorted(glob.glob(os.path.join(folder, '*.json'))):
        try:
            run = read_run(path)
        except (OSError, ValueError, KeyError, IndexError, TypeError):
            print(f'not read: {os.path.basename(path)}', file=sys.stderr)
            continue
        if run:
            runs.append(run)
    return sorted(runs, key=lambda run: run.at)


class Sources:
    """Compares commits of a repository by the files that the program is built from."""

    def __init__(self, repository, commit):
        self.repository = repository
        self.commit = commit
        self.known = {}

    def counts(self, run):
        """Whether a run was one of the program that is to be released."""
        return not run.dirty and self.are_same(run.head)

    def are_same(self, head):
        """Whether the program of `head` is that of the commit that is to be released."""
        if head not in self.known:
            self.known[head] = bool(head) and self.git('diff', '--quiet', head, self.commit, '--', *PROGRAM_PATHS) == 0
        return self.known[head]

    def git(self, *arguments):
        done = subprocess.run(['git', '-C', self.repository, *arguments], stdout=subprocess.DEVNULL,
                              stderr=subprocess.DEVNULL, check=False)
        return done.returncode


def owed_hunts(runs, sources):
    """What is missing in hunts: too few days, or days that broke a rule."""
    owed = []
    for site, wanted in DAYS_OWED.items():
        counted = [run for run in runs if run.command == 'hunt' and run.site == site and sources.counts(run)]
        days = sum(run.days for run in counted)
        broken = sum(run.broken for run in counted)
        if days < wanted:
            owed.append(f'hunt {site}: {days} of {wanted} days')
        if broken:
            owed.append(f'hunt {site}: {broken} broken')
    return owed


def owed_scores(runs, sources):
    """Sites without a score of this program, or whose newest one broke a rule."""
    owed = []
    for site in SCORES_OWED:
        counted = [run for run in runs if run.command == 'score' and run.site == site and sources.counts(run)]
        if not counted:
            owed.append(f'score {site}: none')
        elif counted[-1].broken:
            owed.append(f'score {site}: {counted[-1].broken} broken')
    if not any(run.command == 'real-score' and sources.counts(run) for run in runs):
        owed.append('in service: no run')
    return owed


def owed_ci(commits, sources):
    """How many whole runs of the CI script are missing."""
    passed = sum(1 for commit in commits if sources.are_same(commit))
    return [] if passed >= CI_RUNS_OWED else [f'.ci/run: {passed} of {CI_RUNS_OWED} whole runs']


def table(runs, sources):
    """The figures of the program, newest last, as rows of Markdown."""
    rows = ['| run | site | days | broken | score | began |', '| --- | --- | --- | --- | --- | --- |']
    for run in runs:
        if not sources.counts(run):
            continue
        score = '' if run.score is None else f'{run.score:.3f}'
        rows.append(f'| {run.command} | {run.site} | {run.days} | {run.broken} | {score} | {run.at} |')
    return '\n'.join(rows)


def main(arguments):
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('--repository', default='.')
    parser.add_argument('--commit', default='HEAD')
    parser.add_argument('--ci', nargs='*', default=[])
    parser.add_argument('--table', action='store_true')
    options = parser.parse_args(arguments)
    sources = Sources(options.repository, options.commit)
    if sources.git('rev-parse', '--verify', options.commit + '^{commit}') != 0:
        print(f'no such commit: {options.commit}', file=sys.stderr)
        return 2
    runs = read_journal(os.path.join(options.repository, 'journal'))
    owed = owed_hunts(runs, sources) + owed_scores(runs, sources) + owed_ci(options.ci, sources)
    if options.table:
        print(table(runs, sources))
    for line in owed:
        print(f'owed: {line}')
    return 1 if owed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
