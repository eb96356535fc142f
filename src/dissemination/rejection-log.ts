/** Source versions that were refused, so that each node's API can tell why. */
import { EMPTY_DIGEST, compareVersions, type DocumentVersion } from '../model/version.js';
import { BoundedMap } from './bounded-map.js';
import { versionKey } from '../wire/versions-digest.js';

/** Longest reason kept and passed on, in characters. */
export const MAX_REASON_LENGTH = 1_024;
/** Rejections remembered as already passed on. */
const MAX_SEEN_REJECTIONS = 64;

/** A refused source version; number 0 when the number could not be read. */
export interface SourceRejection {
  readonly version: DocumentVersion;
  readonly reason: string;
}

/** The version of an unreadable or malformed document, of which no digest is known. */
export function unreadableVersion(number: number): DocumentVersion {
  return { number, digest: EMPTY_DIGEST };
}

/** Remembers which rejections are known and which one is current. */
export class RejectionLog {
  private readonly seen = new BoundedMap<string, true>(MAX_SEEN_REJECTIONS);
  private newest: SourceRejection | undefined;

  /** The newest rejection that no adopted source version has overtaken. */
  current(): SourceRejection | undefined {
    return this.newest;
  }

  /** Takes note of a rejection. Returns it when it is new here and worth passing on. */
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

  /** A source version came into force: what it overtakes is no longer current. */
  adopted(number: number): void {
    if (this.newest !== undefined && this.newest.version.number <= number) {
      this.newest = undefined;
    }
  }
}
