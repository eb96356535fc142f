/**
 * Digests of documents as shown to operators. A document's own digest covers its secrets, so that
 * anyone who knows the other content could test guesses of a secret against it; the masked digest is keyed.
 */
import { createHmac } from 'node:crypto';
import { EMPTY_DIGEST, type DocumentVersion } from '../model/version.js';
import type { NodeStatus } from './node-status.js';

/** Separates these digests from other uses of the fleet key. */
const PURPOSE = 'ferryspool document digest\0';

/** Returns the masked form of a digest: of the same length, and equal on all nodes of a fleet. */
export type DigestMask = (digest: string) => string;

/** Creates a mask keyed with the fleet key; the digest of an empty document is not masked. */
export function createDigestMask(fleetKey: string): DigestMask {
  return (digest) =>
    digest === EMPTY_DIGEST
      ? digest
      : createHmac('sha256', fleetKey)
          .update(PURPOSE)
          .update(digest)
          .digest('hex')
          .slice(0, EMPTY_DIGEST.length);
}

/** Returns the status with every digest masked. */
export function maskStatus(status: NodeStatus, mask: DigestMask): NodeStatus {
  const { held, source, members } = status;
  const { rejected } = source;
  return {
    ...status,
    held: maskVersions(held, mask),
    source: {
      ...source,
      ...(rejected && { rejected: { ...rejected, version: maskVersion(rejected.version, mask) } }),
    },
    members: members.map((report) => ({
      ...report,
      ...(report.held && { held: maskVersions(report.held, mask) }),
    })),
  };
}

function maskVersions(held: NodeStatus['held'], mask: DigestMask): NodeStatus['held'] {
  return {
    source: maskVersion(held.source, mask),
    operator: maskVersion(held.operator, mask),
    machines: maskVersion(held.machines, mask),
  };
}

function maskVersion({ number, digest }: DocumentVersion, mask: DigestMask): DocumentVersion {
  return { number, digest: mask(digest) };
}
