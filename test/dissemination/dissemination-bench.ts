/** Test bench for the dissemination of one node; the test acts as its neighbours. */
import type { ControlEffect } from '../../src/control/control-event.js';
import { Dissemination } from '../../src/dissemination/dissemination.js';
import { DocumentMemo } from '../../src/dissemination/document-memo.js';
import { partsOf } from '../../src/dissemination/document-parts.js';
import { DocumentStore } from '../../src/dissemination/document-store.js';
import type { PeerIdentity } from '../../src/membership/peer-identity.js';
import { VersionedDocument } from '../../src/model/document.js';
import { NO_VERSION, type DocumentVersion } from '../../src/model/version.js';
import type {
  DeltaMessage,
  HeldVersions,
  PeerMessage,
  SnapshotChunkMessage,
} from '../../src/wire/message.js';
import {
  MapCounters,
  identityOf,
  seededRandom,
  sourceValues,
} from '../control/control-fixtures.js';

export const SELF = identityOf(0);
export const NEAR = identityOf(1);
export const OTHER_ZONE = identityOf(2, 'zone-b');
export const REMOTE = identityOf(3, 'zone-c', 'region-2');
export const ANNOUNCEMENT_INTERVAL_MS = 4_000;

/** Versions 1 to 4 of one history: 1 to 3 are small, 4 has many services. */
export const HISTORY = [1, 2, 3, 4].reduce<VersionedDocument[]>((history, number) => {
  const last = history[history.length - 1] ?? VersionedDocument.empty();
  return [...history, last.next(number, sourceValues(number, number === 4 ? 2_000 : 0))];
}, []);

export function version(number: number): VersionedDocument {
  const document = HISTORY[number - 1];
  if (document === undefined) {
    throw new Error(`no version ${number}`);
  }
  return document;
}

export function versionsOf(source: DocumentVersion): HeldVersions {
  return { source, operator: NO_VERSION, machines: NO_VERSION };
}

export function deltaMessage(from: number, to: number): DeltaMessage {
  const delta = version(to).deltaFrom(from === 0 ? NO_VERSION : version(from).version);
  if (delta === undefined) {
    throw new Error('no delta');
  }
  return { type: 'delta', document: 'source', ...delta };
}

export function chunkMessages(number: number): SnapshotChunkMessage[] {
  const { chunks } = partsOf(version(number));
  return chunks.map((entries, index) => ({
    type: 'snapshot-chunk',
    document: 'source',
    version: version(number).version,
    index,
    count: chunks.length,
    entries,
  }));
}

export class Bench {
  nowMs = 0;
  readonly counters = new MapCounters();
  readonly store = new DocumentStore(new DocumentMemo(), this.counters);
  readonly dissemination = new Dissemination({
    self: SELF,
    store: this.store,
    random: seededRandom(1),
    counters: this.counters,
    announcementIntervalMs: ANNOUNCEMENT_INTERVAL_MS,
  });

  constructor(held: number, neighbours: readonly PeerIdentity[] = [NEAR]) {
    if (held > 0) {
      this.store.adopt('source', version(held));
    }
    for (const peer of neighbours) {
      this.dissemination.addNeighbour(peer, this.nowMs, []);
    }
  }

  get held(): number {
    return this.store.held('source').version.number;
  }

  receive(from: PeerIdentity, ...messages: readonly PeerMessage[]): ControlEffect[] {
    const effects: ControlEffect[] = [];
    for (const message of messages) {
      this.dissemination.handleMessage(from.id, message, this.nowMs, effects);
    }
    return effects;
  }

  announce(from: PeerIdentity, held: DocumentVersion): ControlEffect[] {
    return this.receive(from, { type: 'versions', versions: versionsOf(held) });
  }

  wakeAfter(byMs: number): ControlEffect[] {
    const effects: ControlEffect[] = [];
    this.nowMs += byMs;
    this.dissemination.wake(this.nowMs, effects);
    return effects;
  }
}

/** Sent messages in order, formatted as `to type`. */
export function sent(effects: readonly ControlEffect[]): string[] {
  return effects.flatMap((effect) =>
    effect.type === 'send' ? [`${effect.to} ${effect.message.type}`] : [],
  );
}

export function fetchIn(effects: readonly ControlEffect[]): DocumentVersion | undefined {
  for (const effect of effects) {
    if (effect.type === 'send' && effect.message.type === 'fetch') {
      return effect.message.have;
    }
  }
  return undefined;
}

export const FETCH_NEAR = `${NEAR.id} fetch`;
