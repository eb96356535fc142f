/** A short soak of real processes, and every seed that ever failed. */
import { expect } from 'chai';
import { runSoak } from '../../tools/soak/soak-run.js';

/** A soak that was run in every build, and seeds that once broke a promise, each with its cause. */
const SEEDS: readonly { readonly seed: number; readonly cause: string }[] = [
  { seed: 11, cause: 'none: the soak of every build' },
];
const FAULTS_MS = 10_000;
const TEST_TIMEOUT_MS = 60_000;

describe('a soak of real processes', () => {
  SEEDS.forEach(({ seed, cause }, idx) => {
    it(`keeps every promise with seed ${seed} (${cause})`, async () => {
      const { broken, record } = await runSoak({
        seed,
        machines: 4,
        faultsMs: FAULTS_MS,
        perSecond: 80,
        network: `127.${200 + idx}`,
        say: () => undefined,
      });
      expect(broken).to.deep.equal([]);
      expect(record.calls.length).to.be.greaterThan(500);
    }).timeout(TEST_TIMEOUT_MS);
  });
});
