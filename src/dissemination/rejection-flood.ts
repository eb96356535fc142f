/** Spreads the reasons for which source versions were refused: once for each version. */
import type { ControlEffect } from '../control/control-event.js';
import type { DocumentVersion } from '../model/version.js';
import type { RejectionMessage } from '../wire/message.js';
import { RejectionLog, type SourceRejection } from './rejection-log.js';

/** The rejections known to a node and their flood. */
export class RejectionFlood {
  private readonly log = new RejectionLog();

  /** `neighbourIds` gives the overlay neighbours of the moment. */
  constructor(private readonly neighbourIds: () => Iterable<string>) {}

  /** The newest rejection that no adopted source version has overtaken. */
  current(): SourceRejection | undefined {
    return this.log.current();
  }

  /** A source version came into force. */
  adopted(number: number): void {
    this.log.adopted(number);
  }

  /** Takes note of a rejection found here or heard from a neighbour, and passes on a new one. */
  learn(
    version: DocumentVersion,
    reason: string,
    heldNumber: number,
    from: string | undefined,
    effects: ControlEffect[],
  ): void {
    const rejection = this.log.learn(version, reason, heldNumber);
    if (rejection === undefined) {
      return;
    }
    const detail = `source ${version.number}: ${rejection.reason}`;
    effects.push({ type: 'state-change', what: 'source-rejected', detail });
    const message = rejectionMessage(rejection);
    for (const id of this.neighbourIds()) {
      if (id !== from) {
        effects.push({ type: 'send', to: id, message });
      }
    }
  }

  /** Tells a new neighbour of the current rejection. */
  sendCurrent(peerId: string, effects: ControlEffect[]): void {
    const rejection = this.log.current();
    if (rejection !== undefined) {
      effects.push({ type: 'send', to: peerId, message: rejectionMessage(rejection) });
    }
  }
}

function rejectionMessage(rejection: SourceRejection): RejectionMessage {
  return { type: 'rejection', version: rejection.version, reason: rejection.reason };
}
