/**
 * Compares containment with a model for all sequences of a few events at two nodes: crashes with the guilty request
 * alone and next to an innocent one, responses, messages in both directions, and restarts. The model of a node is
 * its sets of crashes and cleared crashes, merged by union.
 */
import { expect } from 'chai';
import { SuspicionTable } from '../../src/containment/suspicion-table.js';
import type { Standing } from '../../src/containment/suspicion.js';

const GUILTY = 'a'.repeat(40);
const INNOCENT = 'b'.repeat(40);
const FINGERPRINTS = [GUILTY, INNOCENT] as const;
/** Events per sequence: 13^4 sequences, run without prior crashes and after two of them. */
const SEQUENCE_LENGTH = 4;
const NOW_MS = 1_000;

interface CrashSets {
  readonly crashes: Set<string>;
  readonly cleared: Set<string>;
}

/** A node with its table and the model of it. */
class ModelNode {
  table = new SuspicionTable();
  private entries = new Map<string, CrashSets>();

  crash(fingerprints: readonly string[], crash: string): void {
    const accused = fingerprints.filter((one) => this.countOf(one) >= 2);
    (accused.length > 0 ? accused : fingerprints).forEach((one) =>
      this.entryOf(one).crashes.add(crash),
    );
    this.table.recordCrash(fingerprints, crash, NOW_MS);
  }

  answer(fingerprint: string): void {
    const { crashes, cleared } = this.entryOf(fingerprint);
    crashes.forEach((crash) => cleared.add(crash));
    this.table.clear(fingerprint, NOW_MS);
  }

  learn(other: ModelNode): void {
    for (const fingerprint of FINGERPRINTS) {
      const own = this.entryOf(fingerprint);
      const received = other.entryOf(fingerprint);
      received.crashes.forEach((crash) => own.crashes.add(crash));
      received.cleared.forEach((crash) => own.cleared.add(crash));
    }
    this.table.merge(other.table.list(NOW_MS), NOW_MS);
  }

  restart(): void {
    this.table = new SuspicionTable();
    this.entries = new Map();
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

  private entryOf(fingerprint: string): CrashSets {
    let entry = this.entries.get(fingerprint);
    if (entry === undefined) {
      entry = { crashes: new Set(), cleared: new Set() };
      this.entries.set(fingerprint, entry);
    }
    return entry;
  }
}

/** Two nodes and a counter of crashes. */
class ModelFleet {
  readonly nodes = [new ModelNode(), new ModelNode()] as const;
  private crashes = 0;

  crash(node: ModelNode, fingerprints: readonly string[]): void {
    this.crashes += 1;
    node.crash(fingerprints, this.crashes.toString(16).padStart(12, '0'));
  }
}

type ModelEvent = readonly [name: string, act: (fleet: ModelFleet) => void];

function eventsAt(idx: 0 | 1): readonly ModelEvent[] {
  const other = idx === 0 ? 1 : 0;
  return [
    [
      `${idx} sees the guilty request crash an endpoint`,
      (fleet) => fleet.crash(fleet.nodes[idx], [GUILTY]),
    ],
    [
      `${idx} sees a crash with both requests`,
      (fleet) => fleet.crash(fleet.nodes[idx], [INNOCENT, GUILTY]),
    ],
    [
      `${idx} sees a crash with the innocent request`,
      (fleet) => fleet.crash(fleet.nodes[idx], [INNOCENT]),
    ],
    [
      `${idx} receives a response to the innocent request`,
      ({ nodes }) => nodes[idx].answer(INNOCENT),
    ],
    [`${idx} receives the suspicions of ${other}`, ({ nodes }) => nodes[idx].learn(nodes[other])],
    [`${idx} restarts`, ({ nodes }) => nodes[idx].restart()],
  ];
}

const EVENTS: readonly ModelEvent[] = [
  ...eventsAt(0),
  ...eventsAt(1),
  [
    'both exchange suspicions',
    ({ nodes: [first, second] }) => {
      first.learn(second);
      second.learn(first);
    },
  ],
];

/** All sequences of `length` events, as indexes into {@link EVENTS}. */
function* sequencesOf(length: number): Generator<readonly number[]> {
  if (length === 0) {
    yield [];
    return;
  }
  for (const prefix of sequencesOf(length - 1)) {
    for (let position = 0; position < EVENTS.length; position += 1) {
      yield [...prefix, position];
    }
  }
}

function check(fleet: ModelFleet, order: readonly number[]): void {
  fleet.nodes.forEach((node, idx) => {
    for (const fingerprint of FINGERPRINTS) {
      const actual = node.table.standingOf(fingerprint, NOW_MS);
      if (actual !== node.standingOf(fingerprint)) {
        const names = order.map((position) => EVENTS[position]?.[0]).join(', ');
        expect.fail(`${fingerprint[0]} at ${idx}: ${actual} after ${names}`);
      }
    }
  });
}

describe('containment for all sequences of events at two nodes', () => {
  for (const before of [0, 2]) {
    it(`matches the model after ${before} crashes with the guilty request`, () => {
      let count = 0;
      for (const order of sequencesOf(SEQUENCE_LENGTH)) {
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
      expect(count).to.equal(EVENTS.length ** SEQUENCE_LENGTH);
    }).timeout(120_000);
  }
});
