import { expect } from 'chai';
import { SuspectLane, type LaneRequest } from '../../src/containment/suspect-lane.js';
import type { Standing } from '../../src/containment/suspicion.js';

const SLOTS = 8;

function request(standing: Standing, fingerprint: string): LaneRequest {
  return { standing, fingerprint };
}

describe('suspect lane', () => {
  it('admits all requests that are not suspected', () => {
    const lane = new SuspectLane();
    lane.enter('1', request('accused', 'a'));
    expect(lane.admits(request('clear', ''), SLOTS)).to.equal(true);
  });

  it('admits one suspect per four slots, but at least one', () => {
    for (const [slots, limit] of [
      [1, 1],
      [4, 1],
      [8, 2],
      [12, 3],
    ] as const) {
      const lane = new SuspectLane();
      let admitted = 0;
      while (lane.admits(request('suspect', `s${admitted}`), slots)) {
        lane.enter(`${admitted}`, request('suspect', `s${admitted}`));
        admitted += 1;
      }
      expect(admitted).to.equal(limit);
    }
  });

  it('counts requests with the same fingerprint once', () => {
    const lane = new SuspectLane();
    lane.enter('1', request('suspect', 'a'));
    expect(lane.admits(request('suspect', 'a'), 1)).to.equal(true);
    expect(lane.admits(request('suspect', 'b'), 1)).to.equal(false);
  });

  it('admits an accused request, or a copy of it, only without other suspects', () => {
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
