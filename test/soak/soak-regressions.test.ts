/** Seeds of soaks that once broke a promise, each with its cause. */
import type { SoakPlan } from '../../tools/soak/soak-run.js';
import { expectPromisesKept, SOAK_TEST_TIMEOUT_MS } from './soak-case.js';

const SENT_AFTER_ITS_STOP = 'the harness sent one request after it had stopped counting';
const SLOW_FOR_SILENT =
  'a slow connection was taken for a silent one, and what no other endpoint took was given up there';

interface Regression {
  readonly seed: number;
  readonly cause: string;
  /** The plan under which it failed; single faults alone where there was no other yet. */
  readonly plan?: SoakPlan;
}

const SEEDS: readonly Regression[] = [
  { seed: 1, cause: 'the judge held frozen nodes to the deadline of what they passed on' },
  { seed: 1_814_231_033, cause: SENT_AFTER_ITS_STOP },
  { seed: 408_737_209, cause: SENT_AFTER_ITS_STOP },
  { seed: 908_788_153, cause: SENT_AFTER_ITS_STOP },
  { seed: 1_660_163_644, cause: SENT_AFTER_ITS_STOP },
  {
    seed: 28,
    cause: 'a planned stop closed the connections of uploads that waited for an endpoint',
    plan: 'series',
  },
  {
    seed: 10_001,
    cause: 'the harness started a back end anew beside one that another fault had started again',
    plan: 'crashes',
  },
  {
    seed: 3_304,
    cause: 'the judge took an answer for sent that a back end wrote in the moment of its end',
    plan: 'crashes',
  },
  {
    seed: 8_204,
    cause: 'the judge missed an answer that passed just before its connection fell silent',
    plan: 'silences',
  },
  {
    seed: 54_002,
    cause: 'a configuration with a reissued revision was dropped after the store was restored',
    plan: 'restores',
  },
  { seed: 1_001, cause: SLOW_FOR_SILENT, plan: 'rolls' },
  { seed: 1_004, cause: SLOW_FOR_SILENT, plan: 'rolls' },
];

describe('seeds of soaks that once failed', () => {
  SEEDS.forEach(({ seed, cause, plan = 'faults' }) => {
    it(`keep every promise: ${seed} (${cause})`, async () => {
      await expectPromisesKept(seed, plan);
    }).timeout(SOAK_TEST_TIMEOUT_MS);
  });
});
