/**
 * Containment against a model, over all orders of a few events at two nodes: crashes with the guilty request
 * alone and beside a harmless one, answers, news either way, and restarts. The model is the plain statement of
 * what a node may know: sets of crashes and of cleared ones, joined by union.
 */
import { expect } from 'chai';
import { SuspicionTable } from '../../src/containment/suspicion-table.js';
import type { Standing } from '../../src/containment/suspicion.js';

const GUILTY = 'a'.repeat(40);
const HARMLESS = 'b'.repeat(40);
const FINGERPRINTS = [GUILTY, HARMLESS] as const;
/** Events in a row: 13^4 orders, each after two crashes that are known to both nodes. */
const LENGTH = 4;
const NOW_MS = 1_000;

interface KnownCrashes {
  readonly crashes: Set<string>;
  readonly cleared: Set<string>;
}

/** What one node may know. */
class ModelNode {
  table = new SuspicionTable();
  private known = new Map<string, KnownCrashes>();

  blame(fingerprints: readonly string[], crash: string): void {
    const accused = fingerprints.filter((one) => this.countOf(one) >= 2);
    (accused.length > 0 ? accused : fingerprints).forEach((one) =>
      this.entryOf(one).crashes.add(crash),
    );
    this.table.blame(fingerprints, crash, NOW_MS);
  }

  answer(fingerprint: string): void {
    const { crashes, cleared } = this.entryOf(fingerprint);
    crashes.forEach((crash) => cleared.add(crash));
    this.table.clear(fingerprint, NOW_MS);
  }

  learn(other: ModelNode): void {
    for (const fingerprint of FINGERPRINTS) {
      const own = this.entryOf(fingerprint);
      const told = other.entryOf(fingerprint);
      told.crashes.forEach((crash) => own.crashes.add(crash));
      told.cleared.forEach((crash) => own.cleared.add(crash));
    }
    this.table.merge(other.table.list(NOW_MS), NOW_MS);
  }

  restart(): void {
    this.table = new SuspicionTable();
    this.known = new Map();
  }

  standingOf(fingerprint: string): Standing {
    const count = this.countOf(fingerprint);
    return count >= 3
      ? 'contained'
      : ((['clear', 'suspect', 'accused'] as const)[count] ?? 'clear');
  }

  private countOf(fingerprint: string): number {
    const { crashes, cleared } = this.entryOf(fingerprint);
    return crashes.size - cleared.size;
  }

  private entryOf(fingerprint: string): KnownCrashes {
    let entry = this.known.get(fingerprint);
    if (entry === undefined) {
      entry = { crashes: new Set(), cleared: new Set() };
      this.known.set(fingerprint, entry);
    }
    return entry;
  }
}

/** Two nodes, and how many crashes there were. */
class ModelFleet {
  readonly nodes = [new ModelNode(), new ModelNode()] as const;
  private crashes = 0;

  crash(node: ModelNode, fingerprints: readonly string[]): void {
    this.crashes += 1;
    node.blame(fingerprints, this.crashes.toString(16).padStart(12, '0'));
  }
}

type ModelEvent = readonly [name: string, act: (fleet: ModelFleet) => void];

function eventsAt(idx: 0 | 1): readonly ModelEvent[] {
  const other = idx === 0 ? 1 : 0;
  return [
    [`${idx} sees the guilty one crash`, (fleet) => fleet.crash(fleet.nodes[idx], [GUILTY])],
    [`${idx} sees both`, (fleet) => fleet.crash(fleet.nodes[idx], [HARMLESS, GUILTY])],
    [`${idx} sees the harmless one`, (fleet) => fleet.crash(fleet.nodes[idx], [HARMLESS])],
    [`${idx} answers the harmless one`, ({ nodes }) => nodes[idx].answer(HARMLESS)],
    [`${idx} learns of ${other}`, ({ nodes }) => nodes[idx].learn(nodes[other])],
    [`${idx} starts again`, ({ nodes }) => nodes[idx].restart()],
  ];
}

const EVENTS: readonly ModelEvent[] = [
  ...eventsAt(0),
  ...eventsAt(1),
  [
    'both learn',
    ({ nodes: [first, second] }) => {
      first.learn(second);
      second.learn(first);
    },
  ],
];

/** Every order of `length` events, by their positions. */
function* orders(length: number): Generator<readonly number[]> {
  if (length === 0) {
    yield [];
    return;
  }
  for (const rest of orders(length - 1)) {
    for (let position = 0; position < EVENTS.length; position += 1) {
      yield [...rest, position];
    }
  }
}

function check(fleet: ModelFleet, order: readonly number[]): void {
  fleet.nodes.forEach((node, idx) => {
    for (const fingerprint of FINGERPRINTS) {
      const held = node.table.standingOf(fingerprint, NOW_MS);
      if (held !== node.standingOf(fingerprint)) {
        const names = order.map((position) => EVENTS[position]?.[0]).join(', ');
        expect.fail(`${fingerprint[0]} at ${idx}: ${held} after ${names}`);
      }
    }
  });
}

describe('containment, over all orders of events at two nodes', () => {
  for (const before of [0, 2]) {
    it(`holds what the model says, after ${before} crashes of the guilty request`, () => {
      let count = 0;
      for (const order of orders(LENGTH)) {
        const fleet = new ModelFleet();
        for (let crash = 0; crash < before; crash += 1) {
          fleet.crash(fleet.nodes[crash === 0 ? 0 : 1], [GUILTY]);
        }
        order.forEach((position) => EVENTS[position]?.[1](fleet));
        check(fleet, order);
        const [first, second] = fleet.nodes;
        first.learn(second);
        second.learn(first);
        check(fleet, order);
        expect(first.table.digest).to.equal(second.table.digest);
        count += 1;
      }
      expect(count).to.equal(EVENTS.length ** LENGTH);
    }).timeout(120_000);
  }
});
