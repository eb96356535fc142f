import { expect } from 'chai';
import { SuspectLane, type LaneRequest } from '../../src/containment/suspect-lane.js';
import type { Standing } from '../../src/containment/suspicion.js';

const SLOTS = 8;

function request(standing: Standing, fingerprint: string): LaneRequest {
  return { standing, fingerprint };
}

describe('requests under suspicion at one endpoint', () => {
  it('let every other request by', () => {
    const lane = new SuspectLane();
    lane.enter('1', request('accused', 'a'));
    expect(lane.admits(request('clear', ''), SLOTS)).to.equal(true);
  });

  it('stand beside few others, whatever the slots', () => {
    for (const [slots, room] of [
      [1, 1],
      [4, 1],
      [8, 2],
      [12, 3],
    ] as const) {
      const lane = new SuspectLane();
      let entered = 0;
      while (lane.admits(request('suspect', `s${entered}`), slots)) {
        lane.enter(`${entered}`, request('suspect', `s${entered}`));
        entered += 1;
      }
      expect(entered).to.equal(room);
    }
  });

  it('that are the same one take one place', () => {
    const lane = new SuspectLane();
    lane.enter('1', request('suspect', 'a'));
    expect(lane.admits(request('suspect', 'a'), 1)).to.equal(true);
    expect(lane.admits(request('suspect', 'b'), 1)).to.equal(false);
  });

  it('stand alone once they are accused, copies of the same one too', () => {
    const lane = new SuspectLane();
    lane.enter('1', request('suspect', 'a'));
    expect(lane.admits(request('accused', 'b'), SLOTS)).to.equal(false);
    expect(lane.leave('1')).to.equal(true);
    expect(lane.admits(request('accused', 'b'), SLOTS)).to.equal(true);
    lane.enter('2', request('accused', 'b'));
    expect(lane.admits(request('accused', 'b'), SLOTS)).to.equal(false);
    expect(lane.admits(request('suspect', 'a'), SLOTS)).to.equal(false);
    expect(lane.leave('3')).to.equal(false);
  });
});
