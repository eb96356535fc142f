/** Composes the status page of a node from what its parts know. */
import type { ControlPlane } from '../control/control-plane.js';
import type { EndpointReport, NodeStatus } from '../api/node-status.js';

/** Parts that know something of a node's state. */
export interface StatusParts {
  readonly plane: ControlPlane;
  /** Time on the clock that drives the plane, in milliseconds. */
  readonly now: () => number;
  readonly startedAtMs: number;
  /** Whether this node holds a reader lease. */
  readonly isReader: () => boolean;
  readonly endpoints: () => readonly EndpointReport[];
}

/** The status of now. */
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
      isStale: false,
      ...(status.rejectedSource && { rejected: status.rejectedSource }),
    },
    suspended: status.suspended,
    members: plane.members(),
    endpoints: parts.endpoints(),
    convergence: {
      neighbours: status.neighbours.length,
      neighboursAtHeldVersions: status.neighbours.length,
      ...sinceMember('sinceLastChangeMs', now, status.sourceAdoptedAtMs),
    },
  };
}

function sinceMember<Name extends string>(
  name: Name,
  now: number,
  at: number | undefined,
): Partial<Record<Name, number>> {
  return at === undefined ? {} : ({ [name]: Math.round(now - at) } as Record<Name, number>);
}
