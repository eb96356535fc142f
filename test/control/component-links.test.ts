import { expect } from 'chai';
import type { ControlEvent } from '../../src/control/control-event.js';
import { ControlPlane } from '../../src/control/control-plane.js';
import { TRANSIENT_IDLE_MS } from '../../src/membership/neighbour-links.js';
import { identityOf } from './control-fixtures.js';

describe('control plane: links of components', () => {
  it('notifies components when the membership closes an idle link', () => {
    const receivedEvents: ControlEvent[] = [];
    const plane = new ControlPlane({
      identity: identityOf(0),
      seeds: [],
      random: () => 0.5,
      counters: { add: () => undefined },
      components: [
        () => ({
          handle: (event) => {
            receivedEvents.push(event);
            return [];
          },
          nextWakeAt: () => Infinity,
        }),
      ],
    });
    const peer = identityOf(1);
    plane.handle({ type: 'start' }, 0);
    plane.handle({ type: 'peer-up', peer }, 1_000);
    let closedAtMs = 0;
    while (closedAtMs === 0 && plane.nextWakeAt() < 2 * TRANSIENT_IDLE_MS) {
      const nowMs = plane.nextWakeAt();
      const effects = plane.handle({ type: 'wake' }, nowMs);
      closedAtMs = effects.some((effect) => effect.type === 'hang-up') ? nowMs : 0;
    }
    expect(closedAtMs).to.be.at.least(TRANSIENT_IDLE_MS);
    expect(receivedEvents.at(-1)).to.deep.equal({ type: 'peer-down', peer });
  });
});
