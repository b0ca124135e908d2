#!/usr/bin/env python3
"""The release check against a made-up repository and journal."""
import contextlib
import io
import json
import os
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', '..', 'tools', 'release'))
import release_check  # noqa: E402


class ReleaseCheckTest(unittest.TestCase):

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.git('init', '-q')
        self.entries = 0
        self.program = self.commit('src/main.cpp', 'one')

    def git(self, *arguments):
        identity = ['-c', 'user.name=t', '-c', 'user.email=t@example']
        done = subprocess.run(['git', '-C', self.folder.name, *identity, *arguments], check=True, capture_output=True,
                              text=True)
        return done.stdout.strip()

    def commit(self, path, text):
        whole = os.path.join(self.folder.name, path)
        os.makedirs(os.path.dirname(whole), exist_ok=True)
        with open(whole, 'w', encoding='utf-8') as file:
            file.write(text)
        self.git('add', '-A')
        self.git('commit', '-q', '-m', 'change')
        return self.git('rev-parse', 'HEAD')

    def add_run(self, command, site, days=0, broken=0, dirty=False, head=None):
        self.entries += 1
        rules = [{'TWICE': 1}] * broken + [{}] * (days - broken)
        entry = {'cmd': command, 'site': site, 'head': head or self.program, 'dirty': dirty, 'score': 0.8,
                 'at': [f'2026-12-02T10:00:{self.entries:02}Z', ''], 'days': [{'rules': each} for each in rules]}
        journal = os.path.join(self.folder.name, 'journal')
        os.makedirs(journal, exist_ok=True)
        with open(os.path.join(journal, f'{self.entries:03}.json'), 'w', encoding='utf-8') as file:
            json.dump(entry, file)

    def add_all_runs(self):
        for site, days in release_check.DAYS_OWED.items():
            self.add_run('hunt', site, days)
        for site in release_check.SCORES_OWED:
            self.add_run('score', site, 6)
        self.add_run('real-score', 'road-marks')

    def check(self, *arguments):
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(io.StringIO()):
            code = release_check.main(['--repository', self.folder.name, *arguments])
        return code, out.getvalue()

    def owed(self, *arguments):
        return [line[len('owed: '):] for line in self.check(*arguments)[1].splitlines() if line.startswith('owed: ')]

    def test_nothing_is_owed_where_all_ran_on_the_program(self):
        self.add_all_runs()
        code, out = self.check('--ci', self.program, self.program)
        self.assertEqual((code, out), (0, ''))

    def test_pages_and_journal_do_not_change_the_program(self):
        self.add_all_runs()
        later = self.commit('docs/page.md', 'text')
        self.assertEqual(self.owed('--ci', self.program, later), [])

    def test_runs_of_another_program_do_not_count(self):
        self.add_all_runs()
        self.commit('src/main.cpp', 'two')
        owed = self.owed('--ci', self.program, self.program)
        self.assertEqual(len(owed), len(release_check.DAYS_OWED) + len(release_check.SCORES_OWED) + 2)
        self.assertIn('hunt krstf: 0 of 40 days', owed)
        self.assertIn('in service: no run', owed)
        self.assertIn('.ci/run: 0 of 2 whole runs', owed)

    def test_runs_of_uncommitted_sources_do_not_count(self):
        self.add_all_runs()
        self.add_run('hunt', 'krstf', 500, dirty=True)
        self.assertEqual(self.owed('--ci', self.program), ['.ci/run: 1 of 2 whole runs'])
        self.commit('src/main.cpp', 'two')
        self.add_run('hunt', 'krstf', 40, dirty=True, head=self.git('rev-parse', 'HEAD'))
        self.assertIn('hunt krstf: 0 of 40 days', self.owed())

    def test_too_few_days_and_broken_days_are_told(self):
        self.add_all_runs()
        self.add_run('hunt', 'krstf-large', 3, broken=1)
        self.add_run('score', 'krstf-grown', 6, broken=2)
        owed = self.owed('--ci', self.program, self.program)
        self.assertEqual(owed, ['hunt krstf-large: 1 broken', 'score krstf-grown: 2 broken'])

    def test_the_table_holds_the_programs_runs_alone(self):
        self.add_run('hunt', 'krstf', 41)
        self.add_run('score', 'krstf', 6, head='0' * 40)
        _, out = self.check('--table')
        self.assertIn('| hunt | krstf | 41 | 0 | 0.800 | 2026-12-02T10:00:01Z |', out)
        self.assertNotIn('| score | krstf |', out)

    def test_entries_that_are_not_whole_are_passed_over(self):
        self.add_all_runs()
        with open(os.path.join(self.folder.name, 'journal', 'cut.json'), 'w', encoding='utf-8') as file:
            file.write('{"cmd": "hunt", "si')
        self.assertEqual(self.owed('--ci', self.program, self.program), [])

    def test_runs_of_the_simulator_are_passed_over(self):
        self.add_all_runs()
        self.add_run('score', 'road-marks', 6, broken=6)
        self.assertEqual(self.owed('--ci', self.program, self.program), [])
        self.assertNotIn('| score | road-marks |', self.check('--table')[1])

    def test_an_unknown_commit_is_bad_use(self):
        self.assertEqual(self.check('--commit', 'nowhere')[0], 2)


if __name__ == '__main__':
    unittest.main()
