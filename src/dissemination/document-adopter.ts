/**
 * Puts documents into force, wherever they come from: the platform, the operators' replication or a
 * neighbour. What was adopted is passed on; what was refused is told once to the fleet.
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

/** What this node's own reads of the configuration source have shown; peers' reads are not in it. */
export interface SourceReadStatus {
  /** When the source last answered a read of this node, in milliseconds; undefined if never. */
  readonly lastAnswerAtMs: number | undefined;
  /** Whether that answer was older than, or in conflict with, what was held. */
  readonly isStale: boolean;
}

/** The one way in which a held document changes. */
export class DocumentAdopter implements PlatformDocumentSink, OperatorDocumentSink {
  private readonly adoptedAt = new Map<DocumentName, number>();
  private sourceReads: SourceReadStatus = { lastAnswerAtMs: undefined, isStale: false };

  constructor(
    private readonly store: DocumentStore,
    private readonly announcer: VersionAnnouncer,
    private readonly rejections: RejectionFlood,
    private readonly counters: CounterSink,
  ) {}

  /** When the held version was adopted, in milliseconds; undefined when nothing is held. */
  adoptedAtMs(name: DocumentName): number | undefined {
    return this.adoptedAt.get(name);
  }

  /** What reads of the source by this node have shown. */
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

  /** Adopts a document heard from `from`, or found here; returns whether it is now in force. */
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

  /** A rejection was heard from a neighbour. */
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
