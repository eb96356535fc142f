import { expect } from 'chai';
import type {
  ControlComponent,
  ControlEffect,
  ControlEvent,
} from '../../src/control/control-event.js';
import type { ControlPlaneOptions } from '../../src/control/control-options.js';
import { ControlPlane } from '../../src/control/control-plane.js';
import { machineValues } from '../../src/membership/machine-index.js';
import { TRANSIENT_IDLE_MS } from '../../src/membership/neighbour-links.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import { NO_VERSION } from '../../src/model/version.js';
import type { MemberStatus, PeerMessage } from '../../src/wire/message.js';
import { EMPTY_VERSIONS_DIGEST } from '../../src/wire/versions-digest.js';
import { MapCounters, identityOf, machineOf, seededRandom } from '../control/control-fixtures.js';

const SELF = identityOf(0);
const PEER = identityOf(1);
const OTHER = identityOf(2);
const THIRD = identityOf(3);
const HEARTBEAT: PeerMessage = { type: 'heartbeat', versionsDigest: EMPTY_VERSIONS_DIGEST };
const FULL_HEARTBEAT: PeerMessage = { type: 'heartbeat', versionsDigest: 'f'.repeat(16) };

/** One control plane; the test acts as its peers. */
class Bench {
  nowMs = 0;
  readonly plane: ControlPlane;

  constructor(options: Partial<ControlPlaneOptions> = {}) {
    const random = seededRandom(1);
    const counters = new MapCounters();
    this.plane = new ControlPlane({ identity: SELF, seeds: [], random, counters, ...options });
    this.handle({ type: 'start' });
  }

  handle(event: ControlEvent): ControlEffect[] {
    return this.plane.handle(event, this.nowMs);
  }

  receive(from: PeerIdentity, message: PeerMessage): ControlEffect[] {
    return this.handle({ type: 'message', from, message });
  }

  claim(from: PeerIdentity, member: PeerIdentity, status: MemberStatus): ControlEffect[] {
    return this.receive(from, { type: 'members', updates: [{ member, status }] });
  }

  /** Makes the peer an inbound neighbour. */
  join(peer: PeerIdentity, heartbeat = HEARTBEAT): ControlEffect[] {
    return [...this.handle({ type: 'peer-up', peer }), ...this.receive(peer, heartbeat)];
  }

  /** Advances the clock by `forMs`, waking the control plane at each requested time. */
  run(forMs: number): ControlEffect[] {
    const until = this.nowMs + forMs;
    const effects: ControlEffect[] = [];
    while (this.plane.nextWakeAt() <= until) {
      this.nowMs = Math.max(this.nowMs, this.plane.nextWakeAt());
      effects.push(...this.handle({ type: 'wake' }));
    }
    this.nowMs = until;
    return effects;
  }
}

/** Summary of effects: recipients and types of sent messages, and links closed or dialled. */
function summarize(effects: readonly ControlEffect[]): string[] {
  return effects.flatMap((effect) => {
    switch (effect.type) {
      case 'send':
        return [`${effect.to} ${effect.message.type}`];
      case 'hang-up':
        return [`hang-up ${effect.peerId}`];
      case 'dial':
        return [`dial ${effect.target.address}`];
      default:
        return [];
    }
  });
}

/** Sent claims, formatted as `to member status@incarnation`. */
function claims(effects: readonly ControlEffect[]): string[] {
  return effects.flatMap((effect) =>
    effect.type === 'send' && effect.message.type === 'members'
      ? effect.message.updates.map(
          ({ member, status }) => `${effect.to} ${member.id} ${status}@${member.incarnation}`,
        )
      : [],
  );
}

describe('inbound links', () => {
  it('become neighbours on the first heartbeat, which is answered', () => {
    const bench = new Bench();
    expect(summarize(bench.handle({ type: 'peer-up', peer: PEER }))).to.deep.equal([]);
    expect(summarize(bench.receive(PEER, HEARTBEAT))).to.deep.equal([
      `${PEER.id} heartbeat`,
      `${PEER.id} versions`,
    ]);
    expect(bench.plane.status().neighbours).to.deep.equal([PEER]);
  });

  for (const [name, heartbeat, expected] of [
    [
      'holds no documents and is sent other peers',
      HEARTBEAT,
      [`${OTHER.id} members`, `hang-up ${OTHER.id}`],
    ],
    ['holds documents and is only disconnected', FULL_HEARTBEAT, [`hang-up ${OTHER.id}`]],
  ] as const) {
    it(`are refused beyond the maximum; the peer ${name}`, () => {
      const bench = new Bench({ maxInbound: 1 });
      bench.join(PEER);
      expect(summarize(bench.join(OTHER, heartbeat))).to.deep.equal(expected);
      expect(bench.plane.status().neighbours).to.deep.equal([PEER]);
    });
  }

  it('are refused while the node stops', () => {
    const bench = new Bench();
    bench.handle({ type: 'stop' });
    expect(summarize(bench.join(PEER, FULL_HEARTBEAT))).to.deep.equal([`hang-up ${PEER.id}`]);
  });

  it('without a heartbeat are closed only when idle', () => {
    const bench = new Bench();
    bench.handle({ type: 'peer-up', peer: PEER });
    bench.run(TRANSIENT_IDLE_MS / 2);
    bench.receive(PEER, { type: 'fetch', document: 'source', have: NO_VERSION });
    expect(summarize(bench.run(TRANSIENT_IDLE_MS - 1))).to.deep.equal([]);
    expect(summarize(bench.run(4_000))).to.include(`hang-up ${PEER.id}`);
  });
});

describe('failure detection and claims', () => {
  it('a disconnected neighbour is probed; only a failed probe is flooded', () => {
    for (const [answer, expected] of [
      [{ type: 'peer-up', peer: PEER }, []],
      [{ type: 'dial-failed', target: PEER }, [`${OTHER.id} ${PEER.id} suspect@1000`]],
    ] as const) {
      const bench = new Bench();
      bench.join(PEER);
      bench.join(OTHER);
      bench.run(1_500);
      const lost = bench.handle({ type: 'peer-down', peer: PEER });
      expect(summarize(lost)).to.deep.equal([`dial ${PEER.address}`]);
      expect(bench.plane.memberStatus(PEER.id)).to.equal('suspect');
      bench.handle(answer);
      expect(claims(bench.run(1_500))).to.deep.equal(expected);
    }
  });

  it('an unresponsive neighbour is disconnected and its suspicion is flooded', () => {
    const bench = new Bench();
    bench.join(PEER);
    bench.join(OTHER);
    bench.run(4_000);
    bench.receive(OTHER, HEARTBEAT);
    const effects = bench.run(4_000);
    expect(summarize(effects)).to.include(`hang-up ${PEER.id}`);
    expect(claims(effects)).to.include(`${OTHER.id} ${PEER.id} suspect@1000`);
  });

  it('an accused node refutes immediately to the accuser, neighbour or not, then to the fleet', () => {
    const bench = new Bench();
    bench.join(OTHER);
    bench.handle({ type: 'peer-up', peer: PEER });
    const refutation = `${SELF.id} alive@1001`;
    expect(claims(bench.claim(PEER, SELF, 'dead'))).to.deep.equal([`${PEER.id} ${refutation}`]);
    expect(claims(bench.run(1_000))).to.include(`${OTHER.id} ${refutation}`);
  });

  it('a suspected peer is sent the claim about it when its link opens', () => {
    const bench = new Bench();
    bench.join(OTHER);
    bench.claim(OTHER, PEER, 'suspect');
    const effects = bench.handle({ type: 'peer-up', peer: PEER });
    expect(claims(effects)).to.deep.equal([`${PEER.id} ${PEER.id} suspect@1000`]);
  });

  it('a dead member is dialled periodically, so that it can refute the claim', () => {
    const bench = new Bench({ neighbours: 0 });
    const values = machineValues([PEER, OTHER].map((peer) => machineOf(peer)));
    bench.plane.documents.offer('machines', { outcome: 'document', number: 1, values }, 0);
    bench.join(OTHER);
    bench.claim(OTHER, PEER, 'suspect');
    const effects: ControlEffect[] = [];
    for (let beat = 0; beat < 20; beat += 1) {
      effects.push(...bench.run(2_000), ...bench.receive(OTHER, HEARTBEAT));
    }
    expect(bench.plane.memberStatus(PEER.id)).to.equal('dead');
    expect(summarize(effects)).to.include(`dial ${PEER.address}`);
  });

  it('a new neighbour is sent the leaving members', () => {
    const bench = new Bench();
    bench.join(OTHER);
    bench.claim(OTHER, PEER, 'leaving');
    expect(claims(bench.join(THIRD))).to.deep.equal([`${THIRD.id} ${PEER.id} leaving@1000`]);
  });

  it('a claim is propagated once, and not to the neighbours that sent it', () => {
    const bench = new Bench();
    [OTHER, THIRD, identityOf(4)].forEach((peer) => bench.join(peer));
    bench.run(1_500);
    bench.claim(OTHER, PEER, 'suspect');
    bench.claim(THIRD, PEER, 'suspect');
    expect(claims(bench.run(1_500))).to.deep.equal([`machine-4 ${PEER.id} suspect@1000`]);
    bench.claim(THIRD, PEER, 'suspect');
    expect(claims(bench.run(1_500))).to.deep.equal([]);
  });
});

describe('components that share links with the overlay', () => {
  class HangUpComponent implements ControlComponent {
    readonly receivedTypes: string[] = [];

    handle(event: ControlEvent): ControlEffect[] {
      this.receivedTypes.push(event.type === 'message' ? event.message.type : event.type);
      return event.type === 'message' ? [{ type: 'hang-up', peerId: event.from.id }] : [];
    }

    nextWakeAt(): number {
      return Infinity;
    }
  }
  const release: PeerMessage = { type: 'lease-release', slot: 'zone-a/0', round: 1 };

  for (const [name, joins, expected] of [
    ['an overlay link is kept open', true, []],
    ['another link is closed', false, [`hang-up ${PEER.id}`]],
  ] as const) {
    it(`request a hang-up: ${name}`, () => {
      const component = new HangUpComponent();
      const bench = new Bench({ components: [() => component] });
      bench.handle({ type: 'peer-up', peer: PEER });
      if (joins) {
        bench.receive(PEER, HEARTBEAT);
      }
      expect(summarize(bench.receive(PEER, release))).to.deep.equal(expected);
      expect(component.receivedTypes).to.deep.equal(['start', 'peer-up', 'lease-release']);
    });
  }

  it('list the machines of a zone, and find relay addresses of listed and connected machines', () => {
    const bench = new Bench();
    const machines = [OTHER, PEER].map((peer) => machineOf(peer));
    const answer = { outcome: 'document', number: 1, values: machineValues(machines) } as const;
    bench.plane.documents.offer('machines', answer, 0);
    expect(bench.plane.machinesInZone('zone-a').map(({ id }) => id)).to.deep.equal([
      PEER.id,
      OTHER.id,
    ]);
    bench.join(THIRD);
    for (const { id, address, relayPort } of [PEER, THIRD]) {
      expect(bench.plane.relayAddress(id)).to.deep.equal({ address, relayPort });
    }
    expect(bench.plane.relayAddress('machine-99')).to.equal(undefined);
  });
});
