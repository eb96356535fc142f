/** The two simplest designs, for comparison: every node polls, and readers push whole snapshots. */
import type { ControlEffect, ControlEvent } from '../../src/control/control-event.js';
import type { DocumentMemo } from '../../src/dissemination/document-memo.js';
import { partsOf } from '../../src/dissemination/document-parts.js';
import { VersionedDocument } from '../../src/model/document.js';
import { isNewer } from '../../src/model/version.js';
import type { PeerAddress } from '../../src/membership/peer-identity.js';
import type { PeerMessage, SnapshotChunkMessage } from '../../src/wire/message.js';
import type { ComponentContext, EmulatedComponent, HeldDocuments } from './emulated-process.js';

const READ_ABORT_MS = 3_000;
const EMPTY = VersionedDocument.empty();

abstract class BaselineNode implements EmulatedComponent {
  protected source = EMPTY;
  protected wakeAt = Infinity;
  private reads = 0;

  constructor(private readonly memo: DocumentMemo) {}

  abstract handle(event: ControlEvent, nowMs: number): ControlEffect[];

  heldDocuments(): HeldDocuments {
    return { source: this.source, operator: EMPTY, machines: EMPTY };
  }

  nextWakeAt(): number {
    return this.wakeAt;
  }

  protected read(knownNumber: number): ControlEffect {
    this.reads += 1;
    return {
      type: 'read-platform',
      document: 'source',
      readId: this.reads,
      knownNumber,
      abortAfterMs: READ_ABORT_MS,
    };
  }

  protected adopt(document: VersionedDocument): ControlEffect[] {
    if (!isNewer(document.version, this.source.version)) {
      return [];
    }
    this.source = document;
    return [{ type: 'snapshot-changed', snapshot: this.memo.merge(document, EMPTY).snapshot }];
  }

  /** The answer's document; nodes of one run share it. */
  protected documentOf(event: Extract<ControlEvent, { type: 'platform-answer' }>): ControlEffect[] {
    const { answer } = event;
    if (answer.outcome !== 'document' || answer.number <= this.source.version.number) {
      return [];
    }
    return this.adopt(sharedDocument(answer.number, answer.values));
  }
}

const documentsByValues = new WeakMap<ReadonlyMap<string, string>, VersionedDocument>();

function sharedDocument(number: number, values: ReadonlyMap<string, string>): VersionedDocument {
  let document = documentsByValues.get(values);
  if (document === undefined) {
    document = VersionedDocument.fromValues(number, values);
    documentsByValues.set(values, document);
  }
  return document;
}

/** Reads the source at an interval, unconditionally or only what is new. */
export class PollingNode extends BaselineNode {
  constructor(
    private readonly context: ComponentContext,
    memo: DocumentMemo,
    private readonly intervalMs: number,
    private readonly conditional: boolean,
  ) {
    super(memo);
  }

  handle(event: ControlEvent, nowMs: number): ControlEffect[] {
    switch (event.type) {
      case 'start':
        this.wakeAt = nowMs + this.context.random() * this.intervalMs;
        return [];
      case 'wake':
        this.wakeAt = nowMs + this.intervalMs;
        return [this.read(this.conditional ? this.source.version.number : 0)];
      case 'platform-answer':
        return [{ type: 'close-platform' }, ...this.documentOf(event)];
      default:
        return [];
    }
  }
}

/** How often pushing readers read, and how often nodes without a reader dial, in milliseconds. */
const READER_POLL_MS = 500;
const REDIAL_MS = 2_000;

/** Holds a link to its zone's reader, or is that reader and pushes whole snapshots. */
export class PushNode extends BaselineNode {
  private readonly followers = new Set<string>();
  private hasReader = false;

  /** `reader` is where this node's reader listens; undefined: it is a reader itself. */
  constructor(
    memo: DocumentMemo,
    private readonly reader: PeerAddress | undefined,
  ) {
    super(memo);
  }

  handle(event: ControlEvent, nowMs: number): ControlEffect[] {
    switch (event.type) {
      case 'start':
      case 'wake':
        return this.act(nowMs);
      case 'peer-up':
        return this.peerUp(event.peer.id);
      case 'peer-down':
        this.followers.delete(event.peer.id);
        this.hasReader = false;
        return [];
      case 'platform-answer':
        return this.push(this.documentOf(event));
      case 'message':
        return this.receive(event.message);
      case 'dial-failed':
      case 'operator-write':
      case 'claim':
      case 'stop':
        return [];
    }
  }

  private act(nowMs: number): ControlEffect[] {
    if (this.reader === undefined) {
      this.wakeAt = nowMs + READER_POLL_MS;
      return [this.read(this.source.version.number)];
    }
    this.wakeAt = nowMs + REDIAL_MS;
    return this.hasReader ? this.heartbeat() : [{ type: 'dial', target: this.reader }];
  }

  private heartbeat(): ControlEffect[] {
    const message: PeerMessage = { type: 'heartbeat', versionsDigest: '0'.repeat(16) };
    return [...this.followers].map((to) => ({ type: 'send', to, message }));
  }

  private peerUp(peerId: string): ControlEffect[] {
    this.followers.add(peerId);
    this.hasReader = true;
    return this.reader === undefined ? this.snapshotFor(peerId) : [];
  }

  private push(effects: ControlEffect[]): ControlEffect[] {
    if (effects.length === 0) {
      return [];
    }
    return [...effects, ...[...this.followers].flatMap((peerId) => this.snapshotFor(peerId))];
  }

  private snapshotFor(to: string): ControlEffect[] {
    return chunksOf(this.source).map((message) => ({ type: 'send', to, message }));
  }

  private receive(message: PeerMessage): ControlEffect[] {
    if (message.type !== 'snapshot-chunk' || message.index + 1 < message.count) {
      return [];
    }
    return this.adopt(documentsByChunk.get(message) ?? EMPTY);
  }
}

const chunksByDocument = new WeakMap<VersionedDocument, SnapshotChunkMessage[]>();
/** Last chunks and the documents that they complete: nodes of one run share documents. */
const documentsByChunk = new WeakMap<PeerMessage, VersionedDocument>();

function chunksOf(document: VersionedDocument): SnapshotChunkMessage[] {
  let chunks = chunksByDocument.get(document);
  if (chunks === undefined) {
    const { version } = document;
    const parts = partsOf(document).chunks;
    chunks = parts.map((entries, index) => ({
      type: 'snapshot-chunk',
      document: 'source',
      version,
      index,
      count: parts.length,
      entries,
    }));
    chunksByDocument.set(document, chunks);
    chunks.slice(-1).forEach((last) => documentsByChunk.set(last, document));
  }
  return chunks;
}
