import { expect } from 'chai';
import { DialSchedule, MAX_DIAL_BACKOFF_MS } from '../../src/membership/dial-schedule.js';
import {
  missingLinks,
  noLinks,
  quotasFor,
  surplusLink,
  withFallback,
} from '../../src/membership/link-quotas.js';
import { MachineIndex } from '../../src/membership/machine-index.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import type { PeerLink } from '../../src/membership/peer-link.js';
import { identityOf, machineOf, seededRandom } from '../control/control-fixtures.js';

const SELF = identityOf(0);
const SAME_ZONE = identityOf(1);
const OTHER_ZONE = identityOf(2, 'zone-b');
const OTHER_REGION = identityOf(3, 'zone-c', 'region-2');

function link(peer: PeerIdentity, scope: PeerLink['scope'], isConfirmed = true): PeerLink {
  const role = 'outbound';
  return { peer, role, scope, isConfirmed, lastReceivedAt: 0, lastUsedAt: 0, replaces: undefined };
}

describe('link quotas', () => {
  for (const [name, others, neighbours, expected] of [
    ['no other machine listed', [], 4, { contact: 4 }],
    ['one zone', [SAME_ZONE], 4, { zone: 4 }],
    ['two zones', [SAME_ZONE, OTHER_ZONE], 4, { zone: 2, region: 2 }],
    [
      'zones and regions',
      [SAME_ZONE, OTHER_ZONE, OTHER_REGION],
      4,
      { zone: 2, region: 1, remote: 1 },
    ],
    ['no other machine in the zone', [OTHER_ZONE, OTHER_REGION], 4, { region: 3, remote: 1 }],
    ['no other machine in the region', [OTHER_REGION], 4, { remote: 4 }],
    ['one zone in each region', [SAME_ZONE, OTHER_REGION], 4, { zone: 3, remote: 1 }],
    [
      'eight neighbours',
      [SAME_ZONE, OTHER_ZONE, OTHER_REGION],
      8,
      { zone: 4, region: 2, remote: 2 },
    ],
  ] as const) {
    it(`for ${neighbours} neighbours: ${name}`, () => {
      const machines = new MachineIndex([SELF, ...others].map((machine) => machineOf(machine)));
      expect(quotasFor(SELF, neighbours, machines)).to.deep.equal({ ...noLinks(), ...expected });
    });
  }

  it('counts links and pending dials, and requires a first contact if there is no link', () => {
    const desired = { ...noLinks(), zone: 2, remote: 1 };
    const pending = { ...noLinks(), zone: 1 };
    const links = [link(SAME_ZONE, 'zone')];
    expect(missingLinks(desired, links, pending)).to.deep.equal({ ...noLinks(), remote: 1 });
    const alone = { ...noLinks(), zone: 1, remote: 1, contact: 1 };
    expect(missingLinks(desired, [], pending)).to.deep.equal(alone);
  });

  it('requests the missing links of a failing scope also in another scope', () => {
    const desired = { ...noLinks(), zone: 2, remote: 1 };
    const missing = { ...noLinks(), remote: 1 };
    const withSubstitute = withFallback(missing, desired, (scope) => scope === 'remote');
    expect(withSubstitute).to.deep.equal({ ...noLinks(), zone: 1, remote: 1 });
    expect(withFallback(missing, desired, () => false)).to.deep.equal(missing);
  });

  it('selects a surplus link of a scope that exceeds its quota, once confirmed links exceed the total', () => {
    const desired = { ...noLinks(), zone: 1, remote: 1 };
    const extra = [link(SAME_ZONE, 'zone'), link(OTHER_ZONE, 'zone')];
    expect(surplusLink(desired, 2, extra)).to.equal(undefined);
    const all = [...extra, link(OTHER_REGION, 'remote')];
    expect(surplusLink(desired, 2, all)?.scope).to.equal('zone');
    expect(surplusLink(desired, 2, [...extra, link(OTHER_REGION, 'remote', false)])).to.equal(
      undefined,
    );
  });
});

describe('dial schedule', () => {
  it('backs off with jitter up to the maximum, and resets after a success', () => {
    const schedule = new DialSchedule(seededRandom(1));
    let nowMs = 0;
    const waits = Array.from({ length: 12 }, () => {
      schedule.failed(nowMs);
      const wait = schedule.nextDialAt - nowMs;
      nowMs = schedule.nextDialAt;
      return wait;
    });
    expect(Math.max(...waits)).to.be.at.most(MAX_DIAL_BACKOFF_MS);
    expect(Math.min(...waits.slice(6))).to.be.at.least(MAX_DIAL_BACKOFF_MS / 2);
    expect(new Set(waits).size).to.equal(waits.length);
    schedule.succeeded();
    schedule.failed(nowMs);
    expect(schedule.nextDialAt - nowMs).to.be.lessThan(1_000);
  });

  it('counts concurrent failed dials as one failure', () => {
    const schedule = new DialSchedule(seededRandom(1));
    [0, 1, 2, 3].forEach((nowMs) => schedule.failed(nowMs));
    expect(schedule.failures).to.equal(1);
  });
});
