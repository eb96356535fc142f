/** Refused source versions, so that the API of each node can report the reason. */
import { EMPTY_DIGEST, compareVersions, type DocumentVersion } from '../model/version.js';
import { BoundedMap } from './bounded-map.js';
import { versionKey } from '../wire/versions-digest.js';

/** Maximum length of a reason, in characters; longer reasons are truncated. */
export const MAX_REASON_LENGTH = 1_024;
/** Maximum number of remembered rejections that were already propagated. */
const MAX_SEEN_REJECTIONS = 64;

/** A refused source version; its number is 0 if the number could not be read. */
export interface SourceRejection {
  readonly version: DocumentVersion;
  readonly reason: string;
}

/** Version of an unreadable or malformed document, whose digest is unknown. */
export function unreadableVersion(number: number): DocumentVersion {
  return { number, digest: EMPTY_DIGEST };
}

/** Records known rejections and the current one. */
export class RejectionLog {
  private readonly seen = new BoundedMap<string, true>(MAX_SEEN_REJECTIONS);
  private newest: SourceRejection | undefined;

  /** The newest rejection that no adopted source version supersedes. */
  current(): SourceRejection | undefined {
    return this.newest;
  }

  /** Records a rejection; returns it if it is new and must be propagated. */
  learn(version: DocumentVersion, reason: string, heldNumber: number): SourceRejection | undefined {
    if (version.number !== 0 && version.number <= heldNumber) {
      return undefined;
    }
    const rejection = { version, reason: reason.slice(0, MAX_REASON_LENGTH) };
    const key = version.number === 0 ? rejection.reason : versionKey(version);
    if (this.seen.has(key)) {
      return undefined;
    }
    this.seen.set(key, true);
    if (this.newest === undefined || compareVersions(version, this.newest.version) >= 0) {
      this.newest = rejection;
    }
    return rejection;
  }

  /** Clears the current rejection if the adopted source version supersedes it. */
  adopted(number: number): void {
    if (this.newest !== undefined && this.newest.version.number <= number) {
      this.newest = undefined;
    }
  }
}
