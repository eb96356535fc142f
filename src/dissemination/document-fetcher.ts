/**
 * Fetches one document from neighbours that hold a newer version: one fetch at a time, the nearest
 * neighbours first. After a timeout or a refusal, it tries the next neighbour.
 */
import type { ControlEffect, CounterSink, RandomSource } from '../control/control-event.js';
import { CONTROL_COUNTERS } from '../control/control-counters.js';
import type { Distance } from '../membership/peer-identity.js';
import type { DocumentEntry } from '../model/document.js';
import { NO_VERSION, compareVersions, type DocumentVersion } from '../model/version.js';
import type { DocumentName, SnapshotChunkMessage } from '../wire/message.js';
import { versionKey } from '../wire/versions-digest.js';
import type { DocumentStore } from './document-store.js';
import type { Neighbour } from './neighbour.js';

/** Time without progress after which a fetch fails, in milliseconds. */
export const FETCH_TIMEOUT_MS = 3_000;
/** How long a neighbour is skipped after a fetch from it timed out, in milliseconds. */
export const FETCH_PENALTY_MS = 5_000;
/** Maximum number of entries in a document. */
export const MAX_DOCUMENT_ENTRIES = 250_000;
/** Maximum delay before a fetch, so that a nearer neighbour may receive the document first. */
const MAX_FETCH_DELAY_MS: Record<Distance, number> = { zone: 0, region: 100, remote: 300 };
const DISTANCE_RANK: Record<Distance, number> = { zone: 0, region: 1, remote: 2 };

interface OutstandingFetch {
  readonly peerId: string;
  deadline: number;
  assembly: Assembly | undefined;
}

interface Assembly {
  readonly version: DocumentVersion;
  readonly count: number;
  readonly entries: DocumentEntry[];
  nextIndex: number;
}

/** A fully received document that has not been verified against its digest. */
export interface ReceivedDocument {
  readonly version: DocumentVersion;
  readonly entries: readonly DocumentEntry[];
}

/** Fetches one document. */
export class DocumentFetcher {
  private outstanding: OutstandingFetch | undefined;
  /** Time of the next attempt; Infinity if none is scheduled. */
  private attemptAt = Infinity;
  /** Skipped neighbours, and the time until which each is skipped. */
  private readonly skippedUntil = new Map<string, number>();
  /**
   * Held version to which a delta did not apply; while it is held, fetches request the full
   * document.
   */
  private fullFetchBase: DocumentVersion | undefined;

  constructor(
    private readonly name: DocumentName,
    private readonly store: DocumentStore,
    private readonly neighbours: ReadonlyMap<string, Neighbour>,
    private readonly random: RandomSource,
    private readonly counters: CounterSink,
  ) {}

  /** Time of the next attempt or timeout, in milliseconds. */
  nextWakeAt(): number {
    return this.outstanding?.deadline ?? this.attemptAt;
  }

  /**
   * Schedules a fetch if a neighbour holds a newer version; called whenever that may have changed.
   */
  scheduleFetch(nowMs: number, effects: ControlEffect[]): void {
    const assembly = this.outstanding?.assembly;
    if (assembly !== undefined && !this.store.wants(this.name, assembly.version)) {
      this.outstanding = undefined;
    }
    if (this.outstanding !== undefined) {
      return;
    }
    const best = this.bestNeighbour(nowMs);
    if (best === undefined) {
      this.attemptAt = this.hasNewerNeighbour() ? this.earliestSkipEnd(nowMs) : Infinity;
      return;
    }
    const delay = this.random() * MAX_FETCH_DELAY_MS[best.distance];
    this.attemptAt = Math.min(this.attemptAt, nowMs + delay);
    if (this.attemptAt <= nowMs) {
      this.sendFetch(best, nowMs, effects);
    }
  }

  /** Handles a timeout or a scheduled attempt that is due. */
  wake(nowMs: number, effects: ControlEffect[]): void {
    if (this.outstanding !== undefined && nowMs >= this.outstanding.deadline) {
      this.counters.add(CONTROL_COUNTERS.fetchTimeouts);
      this.skipUntil(this.outstanding.peerId, nowMs + FETCH_PENALTY_MS);
      this.scheduleFetch(nowMs, effects);
    } else if (this.outstanding === undefined && nowMs >= this.attemptAt) {
      this.attemptAt = Infinity;
      const best = this.bestNeighbour(nowMs);
      if (best === undefined) {
        this.scheduleFetch(nowMs, effects);
      } else {
        this.sendFetch(best, nowMs, effects);
      }
    }
  }

  /** Restarts the timeout of the outstanding fetch after a pause of this process. */
  restartTimeouts(nowMs: number): void {
    if (this.outstanding !== undefined) {
      this.outstanding.deadline = nowMs + FETCH_TIMEOUT_MS;
    }
  }

  /** Ends the fetch from a neighbour that answered, whether or not it sent the document. */
  answered(peerId: string): void {
    if (this.outstanding?.peerId === peerId) {
      this.outstanding = undefined;
    }
  }

  /** Whether a fetch from the peer is outstanding. */
  isWaitingFor(peerId: string): boolean {
    return this.outstanding?.peerId === peerId;
  }

  /** Skips a neighbour that refused the outstanding fetch until its retry time. */
  refused(peerId: string, retryAfterMs: number, nowMs: number): void {
    if (this.outstanding?.peerId === peerId) {
      this.skipUntil(peerId, nowMs + Math.min(retryAfterMs, FETCH_PENALTY_MS));
    }
  }

  /**
   * Makes the next fetch request the full document, after a delta did not apply to the held one.
   */
  requireFullDocument(): void {
    this.fullFetchBase = this.store.held(this.name).version;
  }

  /** Ends the fetch from a peer that is no longer a neighbour. */
  removeNeighbour(peerId: string): void {
    this.skippedUntil.delete(peerId);
    this.answered(peerId);
  }

  /** Skips a neighbour that sent a full document that does not match its digest. */
  digestMismatched(peerId: string, nowMs: number): void {
    this.skipUntil(peerId, nowMs + FETCH_PENALTY_MS);
  }

  /** Adds a chunk; returns the document after its last one. Drops chunks that were not expected. */
  receiveChunk(
    peerId: string,
    message: SnapshotChunkMessage,
    nowMs: number,
  ): ReceivedDocument | undefined {
    const fetch = this.outstanding;
    if (fetch?.peerId !== peerId || !this.store.wants(this.name, message.version)) {
      this.counters.add(CONTROL_COUNTERS.chunksDropped);
      return undefined;
    }
    if (message.index === 0) {
      const { version, count } = message;
      fetch.assembly = { version, count, entries: [], nextIndex: 0 };
    }
    const assembly = fetch.assembly;
    if (assembly === undefined || !isNextChunk(assembly, message)) {
      this.counters.add(CONTROL_COUNTERS.chunksDropped);
      return undefined;
    }
    assembly.nextIndex += 1;
    assembly.entries.push(...message.entries);
    fetch.deadline = nowMs + FETCH_TIMEOUT_MS;
    if (assembly.entries.length > MAX_DOCUMENT_ENTRIES) {
      this.skipUntil(peerId, nowMs + FETCH_PENALTY_MS);
      return undefined;
    }
    if (assembly.nextIndex < assembly.count) {
      return undefined;
    }
    this.outstanding = undefined;
    return assembly;
  }

  private sendFetch(neighbour: Neighbour, nowMs: number, effects: ControlEffect[]): void {
    const peerId = neighbour.peer.id;
    this.attemptAt = Infinity;
    this.outstanding = { peerId, deadline: nowMs + FETCH_TIMEOUT_MS, assembly: undefined };
    const held = this.store.held(this.name).version;
    const have = held === this.fullFetchBase ? NO_VERSION : held;
    this.counters.add(CONTROL_COUNTERS.fetchesSent);
    effects.push({
      type: 'send',
      to: peerId,
      message: { type: 'fetch', document: this.name, have },
    });
  }

  private skipUntil(peerId: string, untilMs: number): void {
    this.skippedUntil.set(peerId, untilMs);
    this.answered(peerId);
  }

  private hasNewer(neighbour: Neighbour): boolean {
    return neighbour.held !== undefined && this.store.wants(this.name, neighbour.held[this.name]);
  }

  private hasNewerNeighbour(): boolean {
    for (const neighbour of this.neighbours.values()) {
      if (this.hasNewer(neighbour)) {
        return true;
      }
    }
    return false;
  }

  private bestNeighbour(nowMs: number): Neighbour | undefined {
    let best: Neighbour | undefined;
    for (const neighbour of this.neighbours.values()) {
      const isUsable = (this.skippedUntil.get(neighbour.peer.id) ?? 0) <= nowMs;
      if (isUsable && this.hasNewer(neighbour) && this.isBetter(neighbour, best)) {
        best = neighbour;
      }
    }
    return best;
  }

  private isBetter(candidate: Neighbour, best: Neighbour | undefined): boolean {
    if (best?.held === undefined || candidate.held === undefined) {
      return true;
    }
    const nearer = DISTANCE_RANK[best.distance] - DISTANCE_RANK[candidate.distance];
    if (nearer !== 0) {
      return nearer > 0;
    }
    const newer = compareVersions(candidate.held[this.name], best.held[this.name]);
    return newer !== 0 ? newer > 0 : this.random() < 0.5;
  }

  private earliestSkipEnd(nowMs: number): number {
    let earliest = Infinity;
    for (const until of this.skippedUntil.values()) {
      if (until > nowMs) {
        earliest = Math.min(earliest, until);
      }
    }
    return earliest;
  }
}

function isNextChunk(assembly: Assembly, message: SnapshotChunkMessage): boolean {
  return (
    message.index === assembly.nextIndex &&
    message.count === assembly.count &&
    versionKey(message.version) === versionKey(assembly.version)
  );
}
