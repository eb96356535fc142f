/** Composes the status report of a node from the state of its components. */
import type { ControlPlane } from '../control/control-plane.js';
import type { EndpointStateReport } from '../proxy/endpoint-states.js';
import type { MemberReport, NodeStatus } from '../api/node-status.js';
import { compareVersions } from '../model/version.js';
import { DOCUMENT_NAMES, type HeldVersions, type MemberUpdate } from '../wire/message.js';

/** Sources of a node's status. */
export interface StatusParts {
  readonly plane: ControlPlane;
  /** Time on the clock that drives the control plane, in milliseconds. */
  readonly now: () => number;
  readonly startedAtMs: number;
  /** Whether this node holds a reader lease. */
  readonly isReader: () => boolean;
  readonly endpoints: () => readonly EndpointStateReport[];
}

export function composeNodeStatus(parts: StatusParts): NodeStatus {
  const { plane } = parts;
  const now = parts.now();
  const status = plane.status();
  return {
    node: status.identity,
    uptimeMs: Math.round(now - parts.startedAtMs),
    held: status.held,
    source: {
      isReader: parts.isReader(),
      isStale: status.sourceReadStatus.isStale,
      ...elapsedField('sinceLastAnswerMs', now, status.sourceReadStatus.lastAnswerAtMs),
      ...(status.rejectedSource && { rejected: status.rejectedSource }),
    },
    suspended: status.suspended,
    members: plane.members().map((update) => withVersions(update, status.neighbourVersions)),
    endpoints: parts.endpoints(),
    convergence: {
      neighbours: status.neighbours.length,
      neighboursAtHeldVersions: countHolding(status.held, status.neighbourVersions),
      ...elapsedField('sinceLastChangeMs', now, status.sourceAdoptedAtMs),
    },
  };
}

function withVersions(
  update: MemberUpdate,
  versions: ReadonlyMap<string, HeldVersions>,
): MemberReport {
  const held = versions.get(update.member.id);
  return held === undefined ? update : { ...update, held };
}

/** Number of neighbours known to hold exactly `held`. */
function countHolding(held: HeldVersions, versions: ReadonlyMap<string, HeldVersions>): number {
  const isSame = (other: HeldVersions): boolean =>
    DOCUMENT_NAMES.every((name) => compareVersions(held[name], other[name]) === 0);
  return [...versions.values()].filter(isSame).length;
}

function elapsedField<Name extends string>(
  name: Name,
  now: number,
  at: number | undefined,
): Partial<Record<Name, number>> {
  return at === undefined ? {} : ({ [name]: Math.round(now - at) } as Record<Name, number>);
}
