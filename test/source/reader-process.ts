/** A process of the simulated reader world: a source reader with its own clock. */
import type { ControlEvent } from '../../src/control/control-event.js';
import type { PeerAddress, PeerIdentity } from '../../src/membership/peer-identity.js';
import type { Machine } from '../../src/model/machine.js';
import type { LeaseTerms, ReaderShares } from '../../src/source/lease-terms.js';
import { SourceReader } from '../../src/source/source-reader.js';

export const LEASE: LeaseTerms = { durationMs: 6_000, renewIntervalMs: 2_000 };
const POLL = {
  configurationIntervalMs: 500,
  machinesIntervalMs: 3_000,
  requestTimeoutMs: 2_000,
} as const;
/** Maximum fraction by which a clock runs faster or slower than simulated time. */
const CLOCK_DRIFT = 0.015;

/** Environment of a process, provided by its world. */
export interface ProcessEnvironment {
  readonly nowMs: number;
  readonly random: () => number;
  readonly readerShares: ReaderShares;
  readonly seeds: readonly PeerAddress[];
  listAt(number: number): readonly Machine[];
}

/** Creates a seeded generator (mulberry32), uniform in [0, 1). */
export function seededRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** A simulated process on a machine. */
export class WorldProcess {
  readonly identity: PeerIdentity;
  readonly reader: SourceReader;
  isAlive = true;
  isPaused = false;
  /** Time by which the wall clock was set forward; the event clock follows it. */
  wallClockLeadMs = 0;
  /** Whether it held a lease after its last event. */
  isHolder = false;
  heldList = 0;
  heldSource = 0;
  backlog: ControlEvent[] = [];
  wakeScheduledAt = Infinity;
  reads = 0;
  private readonly rate: number;
  private readonly offsetMs: number;

  constructor(
    readonly machine: Machine,
    incarnation: number,
    world: ProcessEnvironment,
  ) {
    const { id, address, controlPort, relayPort, zone, region } = machine;
    this.identity = { id, incarnation, address, controlPort, relayPort, zone, region };
    const { random, readerShares, seeds } = world;
    this.rate = 1 + CLOCK_DRIFT * (2 * random() - 1);
    this.offsetMs = random() * 1_000_000;
    this.reader = new SourceReader({
      documents: {
        offer: (document, answer) => {
          if (answer.outcome === 'document' && document === 'machines') {
            this.heldList = Math.max(this.heldList, answer.number);
          } else if (answer.outcome === 'document') {
            this.heldSource = Math.max(this.heldSource, answer.number);
          }
          return [];
        },
        heldNumber: (document) => (document === 'machines' ? this.heldList : this.heldSource),
      },
      electorate: {
        identity: this.identity,
        machinesInZone: (zone) => (zone === machine.zone ? world.listAt(this.heldList) : []),
      },
      seeds,
      readerShares,
      lease: LEASE,
      poll: POLL,
      random: seededRandom(Math.floor(random() * 2 ** 32)),
      counters: { add: () => undefined },
      steadyNow: () => this.steadyMs(world.nowMs),
    });
  }

  localMs(worldMs: number): number {
    return this.steadyMs(worldMs) + this.wallClockLeadMs;
  }

  private steadyMs(worldMs: number): number {
    return this.offsetMs + worldMs * this.rate;
  }

  worldMs(localMs: number): number {
    return (localMs - this.wallClockLeadMs - this.offsetMs) / this.rate;
  }
}
