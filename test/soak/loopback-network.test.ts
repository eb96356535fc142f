/** Loopback networks of soaks: no two runs get the same. */
import { expect } from 'chai';
import { claimNetwork } from '../../tools/soak/loopback-network.js';

describe('the loopback network of a soak', () => {
  it('is the drawn one, and the next free one when that is taken', async () => {
    const drawn = 57;
    const first = await claimNetwork(drawn);
    const second = await claimNetwork(drawn);
    const third = await claimNetwork(drawn);
    expect(new Set([first, second, third]).size).to.equal(3);
    expect([first, second, third].every((network) => /^127\.\d+$/.test(network))).to.equal(true);
  });
});
