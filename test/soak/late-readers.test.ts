/**
 * Seeds of soaks in which callers lost answers that nodes had written, since the nodes closed connections under
 * callers that read late and go on sending; see `test/proxy/unread-answer.test.ts`. Four reads of seed 47901 and
 * three of 47911 were cut beside planned stops.
 */
import { expectPromisesKept, SHAPED_TEST_TIMEOUT_MS } from './soak-case.js';

describe('a soak of callers that read late', () => {
  for (const seed of [47_901, 47_911]) {
    it(`keeps every promise: ${seed}`, async () => {
      await expectPromisesKept(seed, 'planned', 'deploy/shapes/late-readers.yaml');
    }).timeout(SHAPED_TEST_TIMEOUT_MS);
  }
});
