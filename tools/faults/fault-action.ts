/** The failures and stops that a run makes. Machines are named by their ids, times in milliseconds. */

/** What is wrong with a version that must be refused whole. */
export type BadVersionKind = 'dangling-route' | 'malformed' | 'not-json';

/** One thing that happens to the deployment, and how it ends. */
export type FaultAction =
  /** SIGKILL of nodes at once; they start again together. */
  | {
      readonly type: 'kill-nodes';
      readonly nodes: readonly string[];
      readonly restartAfterMs: number;
    }
  /** SIGKILL of a back end, with its node where `withNode`. */
  | {
      readonly type: 'kill-backend';
      readonly machine: string;
      readonly withNode: boolean;
      readonly restartAfterMs: number;
    }
  /** SIGSTOP of a node, then SIGCONT. */
  | { readonly type: 'freeze-node'; readonly node: string; readonly durationMs: number }
  /** SIGSTOP of a node that reads the platform at that time. */
  | { readonly type: 'freeze-reader'; readonly durationMs: number }
  /** SIGTERM of a node. */
  | { readonly type: 'stop-node'; readonly node: string; readonly restartAfterMs: number }
  /** SIGTERM of a back end, which drains first; of its node at once, where `withNode`. */
  | {
      readonly type: 'stop-backend';
      readonly machine: string;
      readonly withNode: boolean;
      readonly restartAfterMs: number;
    }
  | {
      readonly type: 'platform-outage';
      readonly mode: 'refuse' | 'hang' | 'unavailable';
      readonly durationMs: number;
    }
  /** The platform serves an older version. */
  | { readonly type: 'platform-stale'; readonly durationMs: number }
  | { readonly type: 'platform-restart-from-zero' }
  | { readonly type: 'publish' }
  | { readonly type: 'publish-bad'; readonly kind: BadVersionKind };

/** An action and when it begins, since the failures began. */
export interface ScheduledFault {
  readonly atMs: number;
  readonly action: FaultAction;
}

/** Whether the action may cut requests in flight: nothing else may. */
export function isUnplanned(action: FaultAction): boolean {
  switch (action.type) {
    case 'kill-nodes':
    case 'kill-backend':
    case 'freeze-node':
    case 'freeze-reader':
      return true;
    default:
      return false;
  }
}

/** Time from the beginning of the action to its end, in milliseconds. */
export function durationOfMs(action: FaultAction): number {
  switch (action.type) {
    case 'kill-nodes':
    case 'kill-backend':
    case 'stop-node':
    case 'stop-backend':
      return action.restartAfterMs;
    case 'freeze-node':
    case 'freeze-reader':
    case 'platform-outage':
    case 'platform-stale':
      return action.durationMs;
    case 'platform-restart-from-zero':
    case 'publish':
    case 'publish-bad':
      return 0;
  }
}

/** One line of text. */
export function describeAction(action: FaultAction): string {
  switch (action.type) {
    case 'kill-nodes':
      return `kill nodes ${action.nodes.join(', ')}; again after ${action.restartAfterMs} ms`;
    case 'kill-backend':
      return `kill back end ${action.machine}${nodeToo(action)}; again after ${action.restartAfterMs} ms`;
    case 'freeze-node':
      return `freeze node ${action.node} for ${action.durationMs} ms`;
    case 'freeze-reader':
      return `freeze a reader for ${action.durationMs} ms`;
    case 'stop-node':
      return `stop node ${action.node}; again after ${action.restartAfterMs} ms`;
    case 'stop-backend':
      return `stop back end ${action.machine}${nodeToo(action)}; again after ${action.restartAfterMs} ms`;
    case 'platform-outage':
      return `platform: ${action.mode} for ${action.durationMs} ms`;
    case 'platform-stale':
      return `platform: an older version for ${action.durationMs} ms`;
    case 'platform-restart-from-zero':
      return 'platform: restart from zero';
    case 'publish':
      return 'publish a version';
    case 'publish-bad':
      return `publish a bad version (${action.kind})`;
  }
}

function nodeToo({ withNode }: { readonly withNode: boolean }): string {
  return withNode ? ' and its node' : '';
}
