/** Shares of a rate limit among nodes that do not count each other's requests: their sum must not exceed the limit. */
import { expect } from 'chai';
import type { Endpoint } from '../../src/model/resource.js';
import { LimitedSenders, limitShare } from '../../src/routing/limited-senders.js';

const OWN_MACHINE = 'm0';
const WINDOW_S = 4;

function endpointOn(machine: string | undefined): Endpoint {
  const spec = { service: 's', address: '127.0.0.1', port: 1, machine };
  return { kind: 'endpoint', name: 'e1', spec } as unknown as Endpoint;
}

function machineNames(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `m${index + 1}`);
}

function sharesOf(endpoint: Endpoint, maxRatePerS: number, machines: readonly string[]): number[] {
  return machines.map((machine) => limitShare(endpoint, maxRatePerS, machine, machines));
}

/** Most requests in a window: the rate of each sender, and one burst. */
function mostInWindow(shares: readonly number[], maxRatePerS: number): number {
  return shares
    .filter((share) => share > 0)
    .map((share) => share * maxRatePerS)
    .reduce((sum, rate) => sum + rate * WINDOW_S + Math.max(1, rate / 4), 0);
}

describe('the shares of a rate limit', () => {
  for (const nodeCount of [1, 10, 74, 1_800]) {
    for (const maxRatePerS of [0.2, 0.4, 3.3, 17.2, 1_000]) {
      const allowed = 1.5 * maxRatePerS * WINDOW_S + 5;

      it(`add up to ${maxRatePerS}/s among ${nodeCount} nodes if the endpoint has no node`, () => {
        const shares = sharesOf(endpointOn(undefined), maxRatePerS, machineNames(nodeCount));
        const sum = shares.reduce((total, share) => total + share, 0);
        expect(sum).to.be.closeTo(1, 1e-9);
        expect(mostInWindow(shares, maxRatePerS)).to.be.at.most(allowed);
      });

      it(`leave ${maxRatePerS}/s to a node that ${nodeCount} others take for dead`, () => {
        const shares = sharesOf(endpointOn(OWN_MACHINE), maxRatePerS, machineNames(nodeCount));
        const ownNode = limitShare(endpointOn(OWN_MACHINE), maxRatePerS, 'm1', machineNames(1));
        expect(ownNode).to.be.lessThan(1);
        const withOwnNode = mostInWindow([...shares, 1], maxRatePerS);
        expect(withOwnNode).to.be.at.most(allowed);
      });
    }
  }

  it('are 1 for the node on the machine of the endpoint', () => {
    const senders = new LimitedSenders(OWN_MACHINE, () => machineNames(74));
    expect(senders.shareOf(endpointOn(OWN_MACHINE), 3.3, 0)).to.equal(1);
  });

  it('follow the members and the limit', () => {
    let machines = machineNames(74);
    const senders = machines.map((machine) => new LimitedSenders(machine, () => machines));
    const endpoint = endpointOn(undefined);
    const sendersAt = (maxRatePerS: number, nowMs: number): LimitedSenders[] =>
      senders.filter((one) => one.shareOf(endpoint, maxRatePerS, nowMs) > 0);
    const [only] = sendersAt(0.4, 0);
    expect(sendersAt(0.4, 0)).to.deep.equal([only]);
    expect(sendersAt(3.3, 10)).to.have.length(3);
    machines = machines.filter((_, index) => senders[index] !== only);
    const successors = sendersAt(0.4, 5_000).filter((one) => one !== only);
    expect(successors).to.have.length(1);
  });
});
