/**
 * Announcements of free slots. Guards against a free slot that attracts many requests, against announcements in an idle fleet or
 * at an unbounded rate, and against requests for endpoints that may not receive any.
 */
import { expect } from 'chai';
import { EndpointAdmission } from '../../src/admission/endpoint-admission.js';
import { incarnationOf } from '../../src/model/incarnation.js';
import { resourceSchema, type Endpoint } from '../../src/model/resource.js';
import { SlotAnnouncements } from '../../src/proxy/slot-announcements.js';
import { EndpointSelector, type SelectionContext } from '../../src/routing/endpoint-selector.js';
import { FreeSlotAnnouncer } from '../../src/routing/free-slot-announcer.js';
import { seededRandom } from '../../tools/emulator/seeded-random.js';
import { echoEndpoint } from '../proxy/rig.js';

const SLOTS = 4;
const LIFETIME_MS = 250;

function endpointNamed(name: string): Endpoint {
  return resourceSchema.parse(echoEndpoint(name, 1, { slots: SLOTS, machine: 'm1' })) as Endpoint;
}

describe('announcements by the owner of an endpoint', () => {
  const USUAL = { percent: 100, ageMs: 0 };
  let announcer: FreeSlotAnnouncer<string>;

  beforeEach(() => {
    announcer = new FreeSlotAnnouncer(5, seededRandom(1));
    ['a', 'b', 'c', 'd'].forEach((sender) => announcer.senderSeen(sender, 0));
  });

  it('go to few recent senders, no more than there are free slots', () => {
    expect(announcer.due(1, 0)).to.have.length(1);
    expect(announcer.due(SLOTS, 1_000)).to.have.length(3);
    expect(announcer.due(SLOTS, 10_000)).to.deep.equal([]);
  });

  it('are sent at a bounded rate, and never if the rate is 0', () => {
    const times = Array.from({ length: 1_000 }, (_, ms) => ms);
    announcer.due(0, 0);
    expect(times.filter((ms) => announcer.due(SLOTS, ms).length > 0)).to.have.length(5);
    const off = new FreeSlotAnnouncer<string>(0, seededRandom(1));
    off.senderSeen('a', 0);
    expect(times.filter((ms) => off.due(SLOTS, ms).length > 0)).to.deep.equal([]);
  });

  it('are sent less often if the endpoint was not full recently', () => {
    const times = Array.from({ length: 1_600 }, (_, ms) => ms);
    expect(times.filter((ms) => announcer.due(SLOTS, ms).length > 0)).to.have.length(2);
  });

  it('are not sent while no slot is free, requests wait, or the endpoint is closed', () => {
    const admission = new EndpointAdmission(1);
    const offer = (requestId: string): unknown =>
      admission.offer({ requestId, callerNode: 'n', deadlineAtMs: Infinity }, 0);
    expect(admission.freeSlotsAt(0)).to.equal(1);
    offer('running');
    expect(admission.freeSlotsAt(0)).to.equal(0);
    admission.release('running', 0);
    const closed = ['draining', 'evacuated'] as const;
    for (const reason of closed) {
      admission.close(reason, 0);
      expect(admission.freeSlotsAt(0), reason).to.equal(0);
    }
    expect(new EndpointAdmission(0).freeSlotsAt(0)).to.equal(0);
  });

  it('are not sent for endpoints that report no speed, fail requests or belong to another machine', () => {
    const sentOf = (
      machineId: string,
      ...[slowness, failures]: [typeof USUAL?, number?]
    ): number => {
      let sent = 0;
      const announcements = new SlotAnnouncements(endpointNamed('e'), {
        ...{ machineId, maxPerS: 5, random: seededRandom(1), counters: { add: () => undefined } },
        isStopping: () => false,
        announceHere: () => undefined,
      });
      announcements.senderSeen({ announceSlots: () => (sent += 1) }, 0);
      announcements.announce(SLOTS, slowness, failures ?? 0, 0);
      return sent;
    };
    expect(sentOf('m1', USUAL)).to.equal(1);
    expect(sentOf('m1')).to.equal(0);
    expect(sentOf('m1', USUAL, 0.5)).to.equal(0);
    expect(sentOf('m2', USUAL)).to.equal(0);
  });
});

describe('announcements at a node that chooses', () => {
  const endpoints = Array.from({ length: 40 }, (_, index) => endpointNamed(`e${index}`));
  const [announced] = endpoints as [Endpoint];
  let context: SelectionContext;
  let selector: EndpointSelector;
  let counted: Record<string, number>;

  beforeEach(() => {
    counted = {};
    const counters = {
      add: (name: string) => {
        counted[name] = (counted[name] ?? 0) + 1;
      },
    };
    context = {
      ...{ zone: 'z1', region: 'r1', tried: new Set<string>(), repeatable: true },
      work: { workClass: 'read', targetLatencyMs: 200 },
      mayReceive: () => true,
    };
    selector = new EndpointSelector(seededRandom(1), undefined, counters);
    selector.choose(endpoints, context, 0);
    // All endpoints have waiting requests, as known for a second.
    for (const endpoint of endpoints) {
      const serviceTime = { workClass: 'read', meanMs: 100 };
      selector.loadObserved(endpoint, { inFlight: SLOTS + 2, draining: false, serviceTime }, 0);
    }
  });

  function announce(freeSlots: number): void {
    const incarnation = incarnationOf(announced);
    const { service } = announced.spec;
    selector.slotsAnnounced({ service, incarnation, freeSlots, slowness: undefined }, 1_000);
  }

  /** The requests of 20 that are sent to the announced endpoint. */
  function sentToAnnounced(nowMs: number): number {
    let sent = 0;
    for (let count = 0; count < 20; count += 1) {
      const chosen = selector.choose(endpoints, context, nowMs);
      if (chosen !== undefined) {
        selector.attemptStarted(chosen, nowMs);
        sent += chosen === announced ? 1 : 0;
      }
    }
    return sent;
  }

  it('are preferred, and used up by as many requests as slots are free', () => {
    announce(2);
    expect(sentToAnnounced(1_000)).to.equal(2);
    expect(counted).to.include({
      ferryspool_slot_announcements_received_total: 1,
      ferryspool_slot_announcements_used_total: 2,
    });
  });

  it('expire', () => {
    announce(2);
    expect(sentToAnnounced(1_001 + LIFETIME_MS)).to.be.below(2);
    expect(counted).to.include({ ferryspool_slot_announcements_expired_total: 1 });
  });

  it('are not used for an endpoint that may not receive requests, was tried or drains', () => {
    announce(2);
    const isOther = (endpoint: Endpoint): boolean => endpoint !== announced;
    const chosen = (changes: Partial<SelectionContext>): Endpoint | undefined =>
      selector.choose(endpoints, { ...context, ...changes }, 1_000);
    expect(chosen({})).to.equal(announced);
    expect(chosen({ mayReceive: isOther })).to.not.equal(announced);
    expect(chosen({ tried: new Set([incarnationOf(announced)]) })).to.not.equal(announced);
    selector.loadObserved(announced, { inFlight: 0, draining: true }, 1_000);
    expect(chosen({})).to.not.equal(announced);
  });
});
