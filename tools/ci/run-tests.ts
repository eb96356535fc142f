/**
 * Runs every compiled test with mocha and ends with one line that counts the outcome. Exit status 1
 * when {@link judgeTestRun} says so or the list of known failures is malformed.
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import Mocha from 'mocha';
import {
  judgeTestRun,
  KnownFailureListError,
  parseKnownFailures,
  type TestRunResult,
} from './test-verdict.js';

const TEST_FOLDER = 'dist/test';
const TEST_FILE_SUFFIX = '.test.js';
const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
const TEST_TIMEOUT_MS = 20_000;

function findTestFiles(): string[] {
  return readdirSync(TEST_FOLDER, { encoding: 'utf8', recursive: true })
    .filter((file) => file.endsWith(TEST_FILE_SUFFIX))
    .map((file) => join(TEST_FOLDER, file))
    .sort();
}

async function runMocha(files: readonly string[]): Promise<TestRunResult> {
  const mocha = new Mocha({ reporter: 'spec', timeout: TEST_TIMEOUT_MS, forbidOnly: true });
  for (const file of files) {
    mocha.addFile(file);
  }
  await mocha.loadFilesAsync();
  const passed: string[] = [];
  const failed: string[] = [];
  const skipped: string[] = [];
  return new Promise((resolve) => {
    const runner = mocha.run(() => {
      resolve({ passed, failed, skipped });
    });
    runner.on('pass', (test) => passed.push(test.fullTitle()));
    runner.on('fail', (test) => failed.push(test.fullTitle()));
    runner.on('pending', (test) => skipped.push(test.fullTitle()));
  });
}

async function main(): Promise<boolean> {
  const listText = existsSync(KNOWN_FAILURES_FILE) ? readFileSync(KNOWN_FAILURES_FILE, 'utf8') : '';
  const known = parseKnownFailures(listText);
  const result = await runMocha(findTestFiles());
  const verdict = judgeTestRun(result, known);
  process.stdout.write(`${verdict.lines.join('\n')}\n`);
  return verdict.ok;
}

main().then(
  (ok) => process.exit(ok ? 0 : 1),
  (error: unknown) => {
    const text = error instanceof KnownFailureListError ? error.message : String(error);
    process.stderr.write(`${text}\n`);
    process.exit(1);
  },
);
