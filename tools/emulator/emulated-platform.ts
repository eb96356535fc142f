/**
 * The platform: a configuration service that can only be read, with outages, staleness and a bound on
 * readers at once, and a machine list that lags.
 */
import type { PlatformAnswer, PlatformDocument } from '../../src/control/control-event.js';
import { gzipSync } from 'node:zlib';
import { canonicalJson } from '../../src/model/canonical-json.js';
import { InvalidConfigurationError } from '../../src/model/configuration-error.js';
import { VersionedDocument } from '../../src/model/document.js';
import { parseSourceDocument, sourceDocumentValues } from '../../src/model/source-document.js';
import type { DocumentVersion } from '../../src/model/version.js';
import type { Site } from './topology.js';
import type { EmulatedProcess } from './emulated-process.js';

/** Bytes of an answer without a document. */
export const EMPTY_ANSWER_BYTES = 200;
/** Bytes of a read request. */
export const READ_REQUEST_BYTES = 200;

/** `refusing` answers at once that it is unavailable; `hanging` never answers. */
export type PlatformMode = 'up' | 'refusing' | 'hanging';

/** An answer and its size. */
export interface SizedAnswer {
  readonly answer: PlatformAnswer;
  readonly bytes: number;
}

/** Settings of the platform. */
export interface PlatformOptions {
  /** Readers it bears at once. */
  readonly readerBound: number;
}

interface Publication extends SizedAnswer {
  readonly number: number;
  /** What sites with an odd index get instead, under the same number. */
  other?: SizedAnswer;
}

/** The emulated platform. */
export class EmulatedPlatform {
  mode: PlatformMode = 'up';
  /** Publications that the service is behind by: 0 serves the newest. */
  staleBy = 0;
  /** Most readers open at once so far. */
  peakReaders = 0;
  /** Reads refused because the bound was reached. */
  refusedReads = 0;
  reads = 0;
  /** Every document that was ever published whole and valid, by digest. */
  readonly publishedDigests = new Set<string>();
  private readonly publications: Record<PlatformDocument, Publication[]> = {
    source: [],
    machines: [],
  };
  private readonly readers = new Set<EmulatedProcess>();

  constructor(readonly options: PlatformOptions) {}

  /** Publishes a source document as the platform's adapter reads it: checked whole. */
  publishSource(number: number, resources: readonly unknown[]): void {
    const bytes = answerBytes(canonicalJson({ version: number, resources }));
    this.publications.source.push({ number, bytes, answer: this.check(number, resources) });
  }

  /** Lets sites with an odd index read another document under the newest number. */
  splitSource(resources: readonly unknown[]): void {
    const newest = this.publications.source.at(-1);
    if (newest !== undefined) {
      const { number } = newest;
      const bytes = answerBytes(canonicalJson({ version: number, resources }));
      newest.other = { bytes, answer: this.check(number, resources) };
    }
  }

  /** Publishes a machine list. */
  publishMachines(number: number, values: ReadonlyMap<string, string>): void {
    const bytes = answerBytes([...values.values()].join(','));
    this.remember(number, values);
    const answer: PlatformAnswer = { outcome: 'document', number, values };
    this.publications.machines.push({ number, bytes, answer });
  }

  /** Forgets what was published: a service restarted from nothing. */
  forgetSource(): void {
    this.publications.source = [];
  }

  /** Version of the newest valid source document that the platform serves now. */
  servedSourceVersion(): DocumentVersion | undefined {
    const current = this.current('source');
    return current?.answer.outcome === 'document'
      ? VersionedDocument.fromValues(current.number, current.answer.values).version
      : undefined;
  }

  /**
   * Admits a read; false when the bound refuses it. A process is a reader from its first read until
   * it closes or dies. While it is frozen it does not count: it has a connection for each read, and
   * the platform's answer ends the one that may be open.
   */
  admit(process: EmulatedProcess): boolean {
    this.reads += 1;
    this.readers.add(process);
    if (this.countReaders() <= this.options.readerBound) {
      return true;
    }
    this.refusedReads += 1;
    return false;
  }

  /** Readers now; also remembers the peak. */
  countReaders(): number {
    let running = 0;
    for (const process of this.readers) {
      running += process.frozen ? 0 : 1;
    }
    this.peakReaders = Math.max(this.peakReaders, running);
    return running;
  }

  close(process: EmulatedProcess): void {
    this.readers.delete(process);
  }

  /** The answer to a read of a node that holds `knownNumber`; undefined: none comes. */
  answer(document: PlatformDocument, knownNumber: number, site: Site): SizedAnswer | undefined {
    const current = this.current(document);
    if (this.mode === 'hanging') {
      return undefined;
    }
    if (this.mode === 'refusing' || current === undefined) {
      return { answer: { outcome: 'unavailable' }, bytes: EMPTY_ANSWER_BYTES };
    }
    if (current.number === knownNumber) {
      return { answer: { outcome: 'not-modified' }, bytes: EMPTY_ANSWER_BYTES };
    }
    return site.index % 2 === 1 ? (current.other ?? current) : current;
  }

  private current(document: PlatformDocument): Publication | undefined {
    const all = this.publications[document];
    const behind = document === 'source' ? this.staleBy : 0;
    return all[Math.max(0, all.length - 1 - behind)];
  }

  private check(number: number, resources: readonly unknown[]): PlatformAnswer {
    try {
      const document = parseSourceDocument({ version: number, resources });
      const values = sourceDocumentValues(document);
      this.remember(number, values);
      return { outcome: 'document', number, values };
    } catch (error) {
      if (error instanceof InvalidConfigurationError) {
        return { outcome: 'invalid', number, faults: error.faults };
      }
      throw error;
    }
  }

  private remember(number: number, values: ReadonlyMap<string, string>): void {
    const { version } = VersionedDocument.fromValues(number, values);
    this.publishedDigests.add(`${version.number}:${version.digest}`);
  }
}

/** Size of an answer with a document, compressed as HTTP allows. */
function answerBytes(json: string): number {
  return EMPTY_ANSWER_BYTES + gzipSync(json).length;
}
