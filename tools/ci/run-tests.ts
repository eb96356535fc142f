/**
 * Runs every compiled test with mocha, in a few processes at once, and ends with one line that counts
 * the outcome. Exit status 1 when {@link judgeTestRun} says so, when the list of known failures is
 * malformed, or when a process ends without a result.
 */
import { fork } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { join } from 'node:path';
import { divideTests, type TestFile } from './test-groups.js';
import {
  judgeTestRun,
  KnownFailureListError,
  parseKnownFailures,
  type TestRunResult,
} from './test-verdict.js';

const TEST_FOLDER = 'dist/test';
const TEST_FILE_SUFFIX = '.test.js';
const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
const WORKER = new URL('./test-worker.js', import.meta.url);
/** Processes at once; tests with deadlines need cores to themselves. */
const MAX_PROCESSES = 4;
/** Seconds that the slow files take; any other counts as {@link USUAL_SECONDS}. */
const SECONDS_OF_FILES: Readonly<Record<string, number>> = {
  'fuzz/control-plane.test.js': 45,
  'proxy/request-fuzz.test.js': 10,
  'replication/replica-fuzz.test.js': 15,
  'source/reader-fuzz.test.js': 15,
  'emulator/emulator.test.js': 8,
  'experiment/overload.test.js': 70,
  'peers/refused-sources-fuzz.test.js': 15,
  'peers/refused-sources.test.js': 75,
  'peers/source-choice.test.js': 20,
  'platform/foreign-writer.test.js': 6,
  'platform/mesh.test.js': 7,
  'platform/large-values.test.js': 12,
  'platform/endless-store-answers.test.js': 18,
  'platform/store-client.test.js': 18,
  'platform/planned-stop.test.js': 17,
  'platform/redirected-request.test.js': 15,
  'platform/stop-last-moment.test.js': 9,
  'platform/rate-limited-backend.test.js': 42,
  'proxy/rate-limit-senders.test.js': 62,
  'soak/soak.test.js': 235,
  'proxy/late-node-abandoned-requests.test.js': 17,
  'proxy/relay/late-relayed-requests.test.js': 7,
  'soak/late-readers.test.js': 90,
  'soak/long-turns.test.js': 45,
  'proxy/stop-behind-large-answer.test.js': 6,
  'proxy/silent-answers.test.js': 42,
  'proxy/endless-answer-at-stop.test.js': 18,
  'platform/crashing-request.test.js': 45,
  'soak/soak-regressions.test.js': 275,
  'proxy/endpoint-faults.test.js': 6,
  'proxy/planned-stop-model.test.js': 8,
};
const USUAL_SECONDS = 1;

function findTestFiles(): TestFile[] {
  return readdirSync(TEST_FOLDER, { encoding: 'utf8', recursive: true })
    .filter((file) => file.endsWith(TEST_FILE_SUFFIX))
    .map((file) => ({
      path: join(TEST_FOLDER, file),
      weight: SECONDS_OF_FILES[file] ?? USUAL_SECONDS,
    }));
}

/** Runs a group of files in a process of its own; its output is printed when it is over. */
function runGroup(files: readonly TestFile[]): Promise<TestRunResult> {
  return new Promise((resolve, reject) => {
    const paths = files.map(({ path }) => path).sort();
    const worker = fork(WORKER, paths, { stdio: ['ignore', 'pipe', 'pipe', 'ipc'] });
    const output: Buffer[] = [];
    let result: TestRunResult | undefined;
    worker.stdout?.on('data', (chunk: Buffer) => output.push(chunk));
    worker.stderr?.on('data', (chunk: Buffer) => output.push(chunk));
    worker.once('message', (message) => {
      result = message as TestRunResult;
    });
    worker.once('error', reject);
    worker.once('close', (code) => {
      process.stdout.write(Buffer.concat(output));
      if (result === undefined) {
        reject(new Error(`a test process ended with code ${code} and no result`));
      } else {
        resolve(result);
      }
    });
  });
}

function joinResults(results: readonly TestRunResult[]): TestRunResult {
  return {
    passed: results.flatMap(({ passed }) => passed),
    failed: results.flatMap(({ failed }) => failed),
    skipped: results.flatMap(({ skipped }) => skipped),
  };
}

async function main(): Promise<boolean> {
  const listText = existsSync(KNOWN_FAILURES_FILE) ? readFileSync(KNOWN_FAILURES_FILE, 'utf8') : '';
  const known = parseKnownFailures(listText);
  const processes = Math.min(MAX_PROCESSES, Math.max(1, Math.floor(availableParallelism() / 2)));
  const groups = divideTests(findTestFiles(), processes);
  const result = joinResults(await Promise.all(groups.map(runGroup)));
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
