/** Exchange of suspicions between nodes of a control plane. */
import { expect } from 'chai';
import { Containment } from '../../src/containment/containment.js';
import { retentionMs } from '../../src/containment/suspicion.js';
import { SuspicionFlood } from '../../src/containment/suspicion-flood.js';
import type { ControlEffect, ControlEvent } from '../../src/control/control-event.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import { EMPTY_BODY } from '../../src/proxy/request-body.js';

const PARTS = { method: 'GET', target: '/a', headers: ['Host', 'h'], body: EMPTY_BODY };

function peer(id: string): PeerIdentity {
  const fields = { address: '127.0.0.1', controlPort: 1, relayPort: 2, zone: 'z', region: 'r' };
  return { id, incarnation: 1, ...fields };
}

/** One node, which handles its own events immediately. */
class FloodNode {
  nowMs = 0;
  readonly effects: ControlEffect[] = [];
  readonly containment = new Containment({
    nodeName: 'n1',
    callerHeader: undefined,
    nowMs: () => this.nowMs,
    counters: { add: () => undefined },
    logStateChange: () => undefined,
  });
  readonly flood = new SuspicionFlood(this.containment, (event) => this.handle(event));

  handle(event: ControlEvent): void {
    this.effects.push(...this.flood.handle(event, this.nowMs));
  }

  /** Recipients of the messages sent since the last call. */
  takeRecipients(): string[] {
    return this.effects
      .splice(0)
      .map((effect) => (effect.type === 'send' ? effect.to : effect.type));
  }
}

describe('suspicion flood', () => {
  it('sends a new suspicion to every peer once, and all suspicions to a new peer', () => {
    const node = new FloodNode();
    node.handle({ type: 'peer-up', peer: peer('a') });
    node.handle({ type: 'peer-up', peer: peer('b') });
    expect(node.takeRecipients()).to.deep.equal([]);
    node.containment.endpointEnded('e1', [PARTS]);
    expect(node.takeRecipients()).to.deep.equal(['a', 'b']);
    node.handle({ type: 'peer-down', peer: peer('a') });
    node.handle({ type: 'peer-up', peer: peer('c') });
    expect(node.takeRecipients()).to.deep.equal(['c']);
  });

  it('forwards a new suspicion once, and not to the peer that sent it', () => {
    const [from, node] = [new FloodNode(), new FloodNode()];
    from.containment.endpointEnded('e1', [PARTS]);
    ['a', 'b'].forEach((id) => node.handle({ type: 'peer-up', peer: peer(id) }));
    const message = { type: 'suspicions', suspicions: from.containment.list() } as const;
    node.handle({ type: 'message', from: peer('a'), message });
    expect(node.takeRecipients()).to.deep.equal(['b']);
    node.handle({ type: 'message', from: peer('b'), message });
    expect(node.takeRecipients()).to.deep.equal([]);
    expect(node.containment.standingOf(PARTS)).to.equal('suspect');
  });

  it('wakes to remove expired entries regardless of other events, and not again when none are left', () => {
    const node = new FloodNode();
    expect(node.flood.nextWakeAt()).to.equal(Infinity);
    node.containment.endpointEnded('e1', [PARTS]);
    node.handle({ type: 'peer-up', peer: peer('a') });
    const wakeAtMs = node.flood.nextWakeAt();
    node.nowMs = wakeAtMs - 1;
    node.handle({ type: 'peer-up', peer: peer('b') });
    expect(node.flood.nextWakeAt()).to.equal(wakeAtMs);
    node.nowMs = retentionMs(1);
    node.handle({ type: 'wake' });
    expect([node.containment.size, node.flood.nextWakeAt()]).to.deep.equal([0, Infinity]);
  });
});
