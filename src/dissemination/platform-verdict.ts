/** Judges what a read of the platform gave against the document that is held. */
import type { PlatformAnswer } from '../control/control-event.js';
import { InvalidConfigurationError } from '../model/configuration-error.js';
import type { VersionedDocument } from '../model/document.js';
import { NO_VERSION, compareVersions, type DocumentVersion } from '../model/version.js';
import { unreadableVersion } from './rejection-log.js';

/** What an answer means. */
export type PlatformVerdict =
  | { readonly outcome: 'newer'; readonly document: VersionedDocument }
  /** An older number than the held one: a stale or restarted platform. */
  | { readonly outcome: 'stale' }
  /** Another content under the held number. */
  | { readonly outcome: 'conflict' }
  | { readonly outcome: 'invalid'; readonly version: DocumentVersion; readonly reason: string }
  | { readonly outcome: 'nothing' };

/** Compares an answer with the held document. */
export function judgePlatformAnswer(
  held: VersionedDocument,
  answer: PlatformAnswer,
): PlatformVerdict {
  switch (answer.outcome) {
    case 'not-modified':
    case 'unavailable':
      return { outcome: 'nothing' };
    case 'invalid': {
      const reason = new InvalidConfigurationError(answer.faults).message;
      return { outcome: 'invalid', version: unreadableVersion(answer.number), reason };
    }
    case 'document':
      return judgeDocument(held, answer.number, answer.values);
  }
}

function judgeDocument(
  held: VersionedDocument,
  number: number,
  values: ReadonlyMap<string, string>,
): PlatformVerdict {
  if (number < held.version.number) {
    return { outcome: 'stale' };
  }
  const document = held.next(number, values);
  const holdsNothing = compareVersions(held.version, NO_VERSION) === 0;
  if (number > held.version.number || (holdsNothing && values.size > 0)) {
    return { outcome: 'newer', document };
  }
  const isSame = document.version.digest === held.version.digest;
  return isSame ? { outcome: 'nothing' } : { outcome: 'conflict' };
}
