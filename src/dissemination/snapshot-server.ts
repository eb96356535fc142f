/**
 * Answers fetches: with a delta if the history allows it and it is smaller, else with the full
 * document in paced chunks. The number of concurrent transfers is limited; further fetches are
 * refused with a retry delay.
 */
import type { ControlEffect, CounterSink, RandomSource } from '../control/control-event.js';
import { CONTROL_COUNTERS } from '../control/control-counters.js';
import type { DocumentEntry } from '../model/document.js';
import { isNewer, type DocumentVersion } from '../model/version.js';
import type { DocumentName, FetchMessage } from '../wire/message.js';
import { MAX_CHUNK_BYTES } from './document-parts.js';
import type { DocumentStore } from './document-store.js';

/** Maximum number of concurrent snapshot transfers. */
export const MAX_CONCURRENT_TRANSFERS = 4;
/** Interval between two chunks of one transfer, in milliseconds. */
export const CHUNK_INTERVAL_MS = 20;
/** Bounds of the random delay after which a refused peer may retry, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 250;

interface Transfer {
  readonly peerId: string;
  readonly document: DocumentName;
  readonly version: DocumentVersion;
  readonly chunks: readonly (readonly DocumentEntry[])[];
  nextIndex: number;
  nextChunkAt: number;
}

/** Serves fetches of all documents. */
export class SnapshotServer {
  private transfers: Transfer[] = [];

  constructor(
    private readonly store: DocumentStore,
    private readonly random: RandomSource,
    private readonly counters: CounterSink,
    private readonly maxTransfers = MAX_CONCURRENT_TRANSFERS,
  ) {}

  /** Number of running transfers. */
  get activeTransfers(): number {
    return this.transfers.length;
  }

  /** Time of the next chunk, in milliseconds. */
  nextWakeAt(): number {
    let earliest = Infinity;
    for (const transfer of this.transfers) {
      earliest = Math.min(earliest, transfer.nextChunkAt);
    }
    return earliest;
  }

  serve(from: string, message: FetchMessage, nowMs: number, effects: ControlEffect[]): void {
    const held = this.store.held(message.document);
    if (!isNewer(held.version, message.have)) {
      const versions = this.store.versions();
      effects.push({ type: 'send', to: from, message: { type: 'versions', versions } });
      return;
    }
    const parts = this.store.memo.partsOf(held);
    const sized = this.store.memo.deltaFrom(held, message.have);
    if (sized !== undefined && sized.bytes <= Math.min(MAX_CHUNK_BYTES, parts.bytes)) {
      this.counters.add(CONTROL_COUNTERS.deltasServed);
      const delta = { type: 'delta', document: message.document, ...sized.delta } as const;
      effects.push({ type: 'send', to: from, message: delta });
      return;
    }
    this.removeTransfers(
      (transfer) => transfer.peerId === from && transfer.document === message.document,
    );
    if (this.transfers.length >= this.maxTransfers) {
      this.refuse(from, message.document, effects);
      return;
    }
    this.counters.add(CONTROL_COUNTERS.snapshotsServed);
    const transfer: Transfer = {
      peerId: from,
      document: message.document,
      version: held.version,
      chunks: parts.chunks,
      nextIndex: 0,
      nextChunkAt: nowMs,
    };
    this.transfers.push(transfer);
    sendChunk(transfer, nowMs, effects);
  }

  /** Sends the chunks that are due; a transfer ends one interval after its last chunk. */
  wake(nowMs: number, effects: ControlEffect[]): void {
    for (const transfer of this.transfers) {
      if (nowMs >= transfer.nextChunkAt) {
        sendChunk(transfer, nowMs, effects);
      }
    }
    this.removeTransfers((transfer) => transfer.nextIndex > transfer.chunks.length);
  }

  /** Ends the transfers to a peer whose link closed. */
  removePeer(peerId: string): void {
    this.removeTransfers((transfer) => transfer.peerId === peerId);
  }

  private refuse(to: string, document: DocumentName, effects: ControlEffect[]): void {
    this.counters.add(CONTROL_COUNTERS.snapshotsRefused);
    const spread = MAX_RETRY_AFTER_MS - MIN_RETRY_AFTER_MS;
    const retryAfterMs = Math.round(MIN_RETRY_AFTER_MS + this.random() * spread);
    effects.push({ type: 'send', to, message: { type: 'fetch-refused', document, retryAfterMs } });
  }

  private removeTransfers(shouldRemove: (transfer: Transfer) => boolean): void {
    if (this.transfers.length > 0) {
      this.transfers = this.transfers.filter((transfer) => !shouldRemove(transfer));
    }
  }
}

/** Sends the next chunk; after the last one, only marks the transfer as finished. */
function sendChunk(transfer: Transfer, nowMs: number, effects: ControlEffect[]): void {
  const entries = transfer.chunks[transfer.nextIndex];
  if (entries !== undefined) {
    effects.push({
      type: 'send',
      to: transfer.peerId,
      message: {
        type: 'snapshot-chunk',
        document: transfer.document,
        version: transfer.version,
        index: transfer.nextIndex,
        count: transfer.chunks.length,
        entries,
      },
    });
  }
  transfer.nextIndex += 1;
  transfer.nextChunkAt = nowMs + CHUNK_INTERVAL_MS;
}
