/** A short soak of real processes in every build. */
import { expectPromisesKept, SOAK_TEST_TIMEOUT_MS } from './soak-case.js';

describe('a soak of real processes', () => {
  it('keeps every promise', async () => {
    await expectPromisesKept(11, '127.200', 'faults');
  }).timeout(SOAK_TEST_TIMEOUT_MS);
});
