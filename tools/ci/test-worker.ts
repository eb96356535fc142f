/** Runs the test files named on its command line with mocha and reports the outcome to its parent. */
import Mocha from 'mocha';
import type { TestRunResult } from './test-verdict.js';

const TEST_TIMEOUT_MS = 20_000;

async function runFiles(files: readonly string[]): Promise<TestRunResult> {
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

runFiles(process.argv.slice(2)).then(
  (result) => process.send?.(result, () => process.exit(0)),
  (error: unknown) => {
    process.stderr.write(
      `${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`,
    );
    process.exit(1);
  },
);
