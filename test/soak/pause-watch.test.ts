/** The watch over the soak's own process. */
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import { PauseWatch } from '../../tools/soak/pause-watch.js';

const PAUSE_MS = 150;

describe('the watch over the pauses of a soak', () => {
  it('tells when the process stood still', async () => {
    const watch = new PauseWatch(() => performance.now());
    await delay(50);
    const fromMs = performance.now();
    while (performance.now() - fromMs < PAUSE_MS) {
      // Stands still.
    }
    const untilMs = performance.now();
    await delay(50);
    watch.stop();
    const pause = watch.pauses.find((one) => one.fromMs <= fromMs && one.untilMs >= untilMs);
    expect(pause).to.not.equal(undefined);
  });
});
