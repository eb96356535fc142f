/**
 * Digests of documents as operators see them. A document's own digest covers its secrets, so that
 * whoever knows the rest could test guesses of a secret's value against it; the masked one is keyed.
 */
import { createHmac } from 'node:crypto';
import { EMPTY_DIGEST, type DocumentVersion } from '../model/version.js';
import type { NodeStatus } from './node-status.js';

/** Keeps these digests apart from other uses of the fleet key. */
const PURPOSE = 'ferryspool document digest\0';

/** Gives the masked form of a digest: as long, and equal on all nodes of a fleet. */
export type DigestMask = (digest: string) => string;

/** A mask under the fleet's key; the digest of an empty document stays as it is. */
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

/** A status in which every digest is masked. */
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
