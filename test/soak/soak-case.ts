/** One short soak as a test. */
import { expect } from 'chai';
import { summarize, type BrokenPromise } from '../../tools/soak/broken-promise.js';
import { claimNetwork } from '../../tools/soak/loopback-network.js';
import { describeStarvation } from '../../tools/soak/machine-report.js';
import { loadShape } from '../../tools/soak/soak-shape.js';
import { runSoak, type SoakPlan } from '../../tools/soak/soak-run.js';

const FAULTS_MS = 10_000;
const MACHINES = 4;
const CALLS_PER_SECOND = 80;
const UPLOADS_PER_SECOND = 15;
const LEAST_CALLS = 500;
/** Lines of the run that are printed when a promise broke, at most: a failure may show once only. */
const MAX_PRINTED_LINES = 400;
/** What nodes log of connections, feeds and stops, and of requests that failed. */
const TELLING_LINE = /silent|late|lost|suspected|abandoned|cancelled|given-up|stop|failed/;

/** How long such a test may take, in milliseconds. */
export const SOAK_TEST_TIMEOUT_MS = 60_000;

/** The same for planned work in a shape, which ends with a loss of power. */
export const SHAPED_TEST_TIMEOUT_MS = 90_000;

/** Runs a soak on a loopback network of its own; every promise must hold. */
export async function expectPromisesKept(
  seed: number,
  plan: SoakPlan,
  shapePath?: string,
): Promise<void> {
  expect(await brokenIn(seed, plan, shapePath === undefined ? {} : { shapePath })).to.deep.equal(
    [],
  );
}

/** The same, for processes that get so little processor that only losses are judged. */
export async function expectNothingLost(
  seed: number,
  plan: SoakPlan,
  shapePath: string,
): Promise<void> {
  const broken = await brokenIn(seed, plan, { shapePath });
  const losses = summarize(broken).filter(({ isLoss }) => isLoss);
  expect(losses).to.deep.equal([]);
}

/** Runs a soak whose callers keep their connections when they leave, so that the judges must find what goes on. */
export async function expectHiddenLeavesFound(seed: number): Promise<void> {
  const broken = await brokenIn(seed, 'abandons', { hidesLeaves: true });
  expect(broken.map(({ promise }) => promise)).to.include.members([
    'abandoned-not-sent',
    'abandoned-not-run',
  ]);
}

/** Runs a soak whose back ends do not state their limits nor that they leave, so that the judges must find both. */
export async function expectHiddenStatementsFound(seed: number): Promise<void> {
  const broken = await brokenIn(seed, 'statements', { hidesStatements: true });
  expect(broken.map(({ promise }) => promise)).to.include.members(['rate-limit', 'leaving']);
}

/** What a soak is run with besides its seed and plan; hidden things make promises break. */
interface SoakCaseOptions {
  readonly shapePath?: string;
  readonly hidesStatements?: boolean;
  readonly hidesLeaves?: boolean;
}

async function brokenIn(
  seed: number,
  plan: SoakPlan,
  { shapePath, hidesStatements = false, hidesLeaves = false }: SoakCaseOptions = {},
): Promise<readonly BrokenPromise[]> {
  const log: string[] = [];
  const { broken, record } = await runSoak({
    seed,
    machines: MACHINES,
    faultsMs: FAULTS_MS,
    perSecond: CALLS_PER_SECOND,
    plan,
    uploadsPerSecond: UPLOADS_PER_SECOND,
    hidesStatements,
    hidesLeaves,
    ...(shapePath !== undefined && { shape: loadShape(shapePath) }),
    network: await claimNetwork(seed),
    say: (text) => log.push(`soak ${text}`),
    onLogLine: (machine, line) => {
      if (TELLING_LINE.test(line)) {
        log.push(`${machine} ${line}`);
      }
    },
  });
  if (broken.length > 0 && !hidesStatements && !hidesLeaves) {
    process.stdout.write(`${log.slice(-MAX_PRINTED_LINES).join('\n')}\n`);
    process.stdout.write(`began at ${record.beganAt}\n${describeStarvation(record).join('\n')}\n`);
  }
  expect(record.calls.length).to.be.greaterThan(LEAST_CALLS);
  return broken;
}
