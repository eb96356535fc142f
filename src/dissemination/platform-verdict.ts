/** Compares the answer of the platform with the held document. */
import type { PlatformAnswer } from '../control/control-event.js';
import { InvalidConfigurationError } from '../model/configuration-error.js';
import type { VersionedDocument } from '../model/document.js';
import { NO_VERSION, compareVersions, type DocumentVersion } from '../model/version.js';
import { unreadableVersion } from './rejection-log.js';

/** Classification of an answer. */
export type PlatformVerdict =
  | { readonly outcome: 'newer'; readonly document: VersionedDocument }
  /** The number is lower than the held one: the platform is stale or was restarted. */
  | { readonly outcome: 'stale' }
  /** The content differs from the held document with the same number. */
  | { readonly outcome: 'conflict' }
  | { readonly outcome: 'invalid'; readonly version: DocumentVersion; readonly reason: string }
  | { readonly outcome: 'nothing' };

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
