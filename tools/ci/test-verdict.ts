/** Decides from a test run's result and the list of known failures whether the run passes. */

/** Known failures listed at most. */
export const MAX_KNOWN_FAILURES = 9;
const INTERMITTENT_MARK = 'intermittent';

/** One test that is known to fail for a real fault, as listed in KNOWN-RED.txt. */
export interface KnownFailure {
  /** Full title of the test, suites included. */
  readonly title: string;
  readonly cause: string;
  readonly issue: string;
  /** Seen to fail in some runs only: the run passes either way, and says which it was. */
  readonly isIntermittent: boolean;
}

/** What a run gave, by full test titles. */
export interface TestRunResult {
  readonly passed: readonly string[];
  /** Titles of failed tests and of failed hooks. */
  readonly failed: readonly string[];
  readonly skipped: readonly string[];
}

/** Whether the run passes, and the lines to print; the last line is the count. */
export interface TestVerdict {
  readonly ok: boolean;
  readonly lines: readonly string[];
}

/** Thrown when the list of known failures itself is wrong. */
export class KnownFailureListError extends Error {
  override readonly name = 'KnownFailureListError';
  readonly code = 'KNOWN_FAILURE_LIST';
}

/**
 * Parses the list: one `test title | cause | issue` a line, with `| intermittent` behind it for a test that was
 * seen to fail in some runs only; blank lines ignored.
 * Throws {@link KnownFailureListError} for a malformed line or too many lines.
 */
export function parseKnownFailures(text: string): KnownFailure[] {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  if (lines.length > MAX_KNOWN_FAILURES) {
    throw new KnownFailureListError(
      `${lines.length} known failures listed, expected at most ${MAX_KNOWN_FAILURES}`,
    );
  }
  return lines.map(parseLine);
}

function parseLine(line: string): KnownFailure {
  const parts = line.split('|').map((part) => part.trim());
  const [title, cause, issue, mark] = parts;
  const isIntermittent = mark === INTERMITTENT_MARK;
  const hasForm = parts.length === 3 || (parts.length === 4 && isIntermittent);
  if (!hasForm || !title || !cause || !issue) {
    throw new KnownFailureListError(
      `expected "test title | cause | issue" and "| ${INTERMITTENT_MARK}" at most, found "${line}"`,
    );
  }
  return { title, cause, issue, isIntermittent };
}

/**
 * The verdict: a failure must be listed, a listed test must fail unless it is intermittent and passes, and at
 * least one test must have run.
 */
export function judgeTestRun(result: TestRunResult, known: readonly KnownFailure[]): TestVerdict {
  const failed = new Set(result.failed);
  const listed = new Set(known.map((failure) => failure.title));
  const unexpected = result.failed.filter((title) => !listed.has(title));
  const passed = new Set(result.passed);
  const isPassing = ({ title, isIntermittent }: KnownFailure): boolean =>
    isIntermittent && passed.has(title);
  const stale = known.filter((failure) => !failed.has(failure.title) && !isPassing(failure));
  const ran = result.passed.length + result.failed.length;
  const lines = [
    ...known
      .filter((failure) => failed.has(failure.title))
      .map((failure) => `known failure: ${failure.title} (${failure.cause}; ${failure.issue})`),
    ...known
      .filter(isPassing)
      .map((failure) => `known failure, passed this time: ${failure.title} (${failure.issue})`),
    ...unexpected.map((title) => `unexpected failure: ${title}`),
    ...stale.map((failure) => `not failing, remove it from KNOWN-RED.txt: ${failure.title}`),
    ...(ran === 0 ? ['no test ran'] : []),
    countLine(result),
  ];
  return { ok: unexpected.length === 0 && stale.length === 0 && ran > 0, lines };
}

function countLine(result: TestRunResult): string {
  const skipped = result.skipped.length;
  const suffix = skipped > 0 ? `, ${skipped} skipped` : '';
  return `${result.passed.length} passed, ${result.failed.length} failed${suffix}`;
}
