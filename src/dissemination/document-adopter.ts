/**
 * Adopts documents from the platform, the operators' replication and neighbours. Adopted documents
 * are propagated to the neighbours. Each refused source version is reported to the fleet once.
 */
import type {
  ControlEffect,
  CounterSink,
  PlatformAnswer,
  PlatformDocument,
} from '../control/control-event.js';
import { CONTROL_COUNTERS } from '../control/control-counters.js';
import type { OperatorDocumentSink, PlatformDocumentSink } from '../control/control-ports.js';
import type { VersionedDocument } from '../model/document.js';
import type { DocumentVersion } from '../model/version.js';
import type { DocumentName } from '../wire/message.js';
import type { DocumentStore } from './document-store.js';
import { judgePlatformAnswer } from './platform-verdict.js';
import type { RejectionFlood } from './rejection-flood.js';
import type { VersionAnnouncer } from './version-announcer.js';

/** Result of this node's own reads of the configuration source; excludes reads by peers. */
export interface SourceReadStatus {
  /**
   * Time of the last answer of the source to a read of this node, in milliseconds; undefined if
   * none.
   */
  readonly lastAnswerAtMs: number | undefined;
  /** Whether that answer was older than the held document or in conflict with it. */
  readonly isStale: boolean;
}

/** The only component that changes the held documents. */
export class DocumentAdopter implements PlatformDocumentSink, OperatorDocumentSink {
  private readonly adoptedAt = new Map<DocumentName, number>();
  private sourceReads: SourceReadStatus = { lastAnswerAtMs: undefined, isStale: false };

  constructor(
    private readonly store: DocumentStore,
    private readonly announcer: VersionAnnouncer,
    private readonly rejections: RejectionFlood,
    private readonly counters: CounterSink,
  ) {}

  /** Time at which the held version was adopted, in milliseconds; undefined if none is held. */
  adoptedAtMs(name: DocumentName): number | undefined {
    return this.adoptedAt.get(name);
  }

  sourceReadStatus(): SourceReadStatus {
    return this.sourceReads;
  }

  offer(document: PlatformDocument, answer: PlatformAnswer, nowMs: number): ControlEffect[] {
    const effects: ControlEffect[] = [];
    const verdict = judgePlatformAnswer(this.store.held(document), answer);
    if (document === 'source' && answer.outcome !== 'unavailable') {
      const isStale = verdict.outcome === 'stale' || verdict.outcome === 'conflict';
      this.sourceReads = { lastAnswerAtMs: nowMs, isStale };
    }
    switch (verdict.outcome) {
      case 'newer':
        this.adopt(document, verdict.document, undefined, nowMs, effects);
        break;
      case 'stale':
        this.counters.add(CONTROL_COUNTERS.staleSourceAnswers);
        break;
      case 'conflict':
        this.counters.add(CONTROL_COUNTERS.conflictingSourceAnswers);
        break;
      case 'invalid':
        this.counters.add(CONTROL_COUNTERS.invalidSourceAnswers);
        this.reportRefusal(document, verdict.version, verdict.reason, undefined, effects);
        break;
      case 'nothing':
        break;
    }
    return effects;
  }

  heldNumber(document: PlatformDocument): number {
    return this.store.held(document).version.number;
  }

  offerOperator(document: VersionedDocument, nowMs: number): ControlEffect[] {
    const effects: ControlEffect[] = [];
    this.adopt('operator', document, undefined, nowMs, effects);
    return effects;
  }

  operatorDocument(): VersionedDocument {
    return this.store.held('operator');
  }

  /** Adopts a document from neighbour `from`, or from this node; returns whether it was adopted. */
  adopt(
    name: DocumentName,
    document: VersionedDocument,
    from: string | undefined,
    nowMs: number,
    effects: ControlEffect[],
  ): boolean {
    const adoption = this.store.adopt(name, document);
    if (adoption.outcome === 'refused') {
      this.reportRefusal(name, document.version, adoption.reason, from, effects);
    }
    if (adoption.outcome !== 'adopted') {
      return false;
    }
    this.adoptedAt.set(name, nowMs);
    if (name === 'source') {
      this.rejections.adopted(document.version.number);
    }
    if (name !== 'machines') {
      effects.push({ type: 'snapshot-changed', snapshot: this.store.configuration().snapshot });
    }
    this.announcer.propagate(name, nowMs, effects);
    return true;
  }

  /** Records a rejection from neighbour `from`, or from this node. */
  learnRejection(
    version: DocumentVersion,
    reason: string,
    from: string | undefined,
    effects: ControlEffect[],
  ): void {
    this.rejections.learn(version, reason, this.heldNumber('source'), from, effects);
  }

  private reportRefusal(
    name: DocumentName,
    version: DocumentVersion,
    reason: string,
    from: string | undefined,
    effects: ControlEffect[],
  ): void {
    if (name === 'source') {
      this.learnRejection(version, reason, from, effects);
      return;
    }
    const detail = `${name} ${version.number}: ${reason}`;
    effects.push({ type: 'state-change', what: 'document-refused', detail });
  }
}
