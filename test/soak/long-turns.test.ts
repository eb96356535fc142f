/** Guards against requests that are lost at stops of nodes that get the processor for 60 of 300 ms. */
import { expectNothingLost, SHAPED_TEST_TIMEOUT_MS } from './soak-case.js';

describe('a soak of nodes that run in long turns', () => {
  it('loses nothing: 57806 (an answer of 400 KB was cut at the end of a stop)', async () => {
    await expectNothingLost(57_806, 'planned', 'deploy/shapes/long-turns.yaml');
  }).timeout(SHAPED_TEST_TIMEOUT_MS);
});
