/** Floods the reasons for which source versions were refused, once for each version. */
import type { ControlEffect } from '../control/control-event.js';
import type { DocumentVersion } from '../model/version.js';
import type { RejectionMessage } from '../wire/message.js';
import { RejectionLog, type SourceRejection } from './rejection-log.js';

/** Records rejections and floods new ones. */
export class RejectionFlood {
  private readonly log = new RejectionLog();

  /** `neighbourIds` returns the current overlay neighbours. */
  constructor(private readonly neighbourIds: () => Iterable<string>) {}

  /** The newest rejection that no adopted source version supersedes. */
  current(): SourceRejection | undefined {
    return this.log.current();
  }

  /** Clears the current rejection if the adopted source version supersedes it. */
  adopted(number: number): void {
    this.log.adopted(number);
  }

  /** Records a rejection from neighbour `from`, or from this node, and floods it if it is new. */
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

  /** Sends the current rejection, if any, to a new neighbour. */
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
