/** Reads the platform at a fixed interval, always: for fleets whose readers are set by hand. */
import type {
  ControlComponent,
  ControlEffect,
  ControlEvent,
  PlatformDocument,
} from '../../src/control/control-event.js';
import type { PlatformDocumentSink } from '../../src/control/control-ports.js';

const READ_INTERVAL_MS = 1_000;
const READ_ABORT_MS = 3_000;

/** A reader without a lease. */
export class FixedReader implements ControlComponent {
  private wakeAt = Infinity;
  private reads = 0;

  constructor(private readonly documents: PlatformDocumentSink) {}

  nextWakeAt(): number {
    return this.wakeAt;
  }

  handle(event: ControlEvent, nowMs: number): ControlEffect[] {
    if (event.type === 'platform-answer') {
      return this.documents.offer(event.document, event.answer, nowMs);
    }
    if (event.type !== 'start' && event.type !== 'wake') {
      return [];
    }
    this.wakeAt = nowMs + READ_INTERVAL_MS;
    return [this.read('source'), this.read('machines')];
  }

  private read(document: PlatformDocument): ControlEffect {
    this.reads += 1;
    return {
      type: 'read-platform',
      document,
      readId: this.reads,
      knownNumber: this.documents.heldNumber(document),
      abortAfterMs: READ_ABORT_MS,
    };
  }
}
