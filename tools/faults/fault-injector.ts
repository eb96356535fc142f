/** Carries out failures on a fleet that runs. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Fleet, NodeProcess } from '../demo/fleet.js';
import type { Child } from '../shared/child-process.js';
import { describeAction, isUnplanned, type FaultAction } from './fault-action.js';
import type { FailureWindow, NodeAbsence, PlannedExit } from './fault-checks.js';
import type { Publications } from './publications.js';

/** A planned stop must have ended by then, in milliseconds. */
const EXIT_TIMEOUT_MS = 8_000;

/** Performs actions, several at once; remembers what the checks need. */
export class FaultInjector {
  readonly windows: FailureWindow[] = [];
  readonly absences: NodeAbsence[] = [];
  readonly plannedExits: PlannedExit[] = [];
  performed = 0;
  /** Nodes that an action has stopped or frozen. */
  private readonly heldNodes = new Map<string, { untilMs: number }>();

  constructor(
    private readonly fleet: Fleet,
    private readonly publications: Publications,
    private readonly say: (text: string) => void,
  ) {}

  /** Performs an action to its end: what was stopped runs again. */
  async perform(action: FaultAction): Promise<void> {
    if (action.type !== 'publish') {
      this.say(describeAction(action));
    }
    this.performed += 1;
    const window = { fromMs: Date.now(), untilMs: Infinity };
    if (isUnplanned(action)) {
      this.windows.push(window);
    }
    try {
      await this.run(action);
    } finally {
      window.untilMs = Date.now();
    }
  }

  private async run(action: FaultAction): Promise<void> {
    switch (action.type) {
      case 'kill-nodes':
        return this.endNodes(action.nodes, 'SIGKILL', action.restartAfterMs);
      case 'stop-node':
        return this.endNodes([action.node], 'SIGTERM', action.restartAfterMs);
      case 'kill-backend':
        return this.endMachine(action, 'SIGKILL');
      case 'stop-backend':
        return this.endMachine(action, 'SIGTERM');
      case 'freeze-node':
        return this.freeze(this.fleet.node(action.node), action.durationMs);
      case 'freeze-reader':
        return this.freezeReader(action.durationMs);
      case 'platform-outage':
        await this.fleet.changePlatform({ outage: action.mode });
        await delay(action.durationMs);
        return this.fleet.changePlatform({ outage: 'none' });
      case 'platform-stale':
        return this.serveOlder(action.durationMs);
      case 'platform-restart-from-zero':
        return this.publications.restartPlatformFromZero();
      case 'publish':
        await this.publications.publish();
        return;
      case 'publish-bad':
        await this.publications.publishBad(action.kind);
    }
  }

  private async endMachine(
    action: FaultAction & { readonly type: 'kill-backend' | 'stop-backend' },
    signal: 'SIGKILL' | 'SIGTERM',
  ): Promise<void> {
    const { machine, withNode, restartAfterMs } = action;
    const ends = [this.endBackend(machine, signal, restartAfterMs)];
    if (withNode) {
      ends.push(this.endNodes([machine], signal, restartAfterMs));
    }
    await Promise.all(ends);
  }

  private async endBackend(
    id: string,
    signal: 'SIGKILL' | 'SIGTERM',
    restartAfterMs: number,
  ): Promise<void> {
    const pause = delay(restartAfterMs);
    const exit = this.fleet.backends.end(id, signal);
    if (signal === 'SIGTERM') {
      this.notePlannedExit(`back end ${id}`, await withTimeout(exit));
    }
    await Promise.all([exit, pause]);
    await this.fleet.backends.restart(id);
  }

  private async endNodes(
    ids: readonly string[],
    signal: 'SIGKILL' | 'SIGTERM',
    restartAfterMs: number,
  ): Promise<void> {
    const nodes = this.hold(ids);
    const pause = delay(restartAfterMs);
    for (const { child } of nodes) {
      child.signal(signal);
    }
    await Promise.all(nodes.map((node) => this.awaitEnd(node, signal)));
    await pause;
    await Promise.all(nodes.map(({ id }) => this.fleet.restartNode(id)));
    this.release(nodes);
  }

  private async awaitEnd({ id, child }: NodeProcess, signal: string): Promise<void> {
    const exit = await withTimeout(child.exited);
    if (signal === 'SIGTERM') {
      this.notePlannedExit(`node ${id}`, exit);
      child.signal('SIGKILL');
    }
    await child.exited;
  }

  private async freezeReader(durationMs: number): Promise<void> {
    for (const node of this.fleet.runningNodes()) {
      const status = this.heldNodes.has(node.id) ? undefined : await this.fleet.status(node);
      if (status?.source.isReader === true) {
        this.say(`  reader: ${node.id}`);
        return this.freeze(node, durationMs);
      }
    }
    this.say('  no node reads now');
  }

  private async freeze(node: NodeProcess, durationMs: number): Promise<void> {
    const held = this.hold([node.id]);
    const children: readonly Child[] = held.map(({ child }) => child);
    children.forEach((child) => child.signal('SIGSTOP'));
    await delay(durationMs);
    children.forEach((child) => child.signal('SIGCONT'));
    this.release(held);
  }

  private async serveOlder(durationMs: number): Promise<void> {
    const staleVersion = this.publications.olderVersion();
    if (staleVersion === undefined) {
      return;
    }
    await this.fleet.changePlatform({ staleVersion });
    await delay(durationMs);
    await this.fleet.changePlatform({ staleVersion: null });
  }

  /** The nodes of `ids` that no other action holds, held from now on. */
  private hold(ids: readonly string[]): NodeProcess[] {
    const free = ids.filter((id) => !this.heldNodes.has(id));
    for (const node of free) {
      const absence = { node, fromMs: Date.now(), untilMs: Infinity };
      this.absences.push(absence);
      this.heldNodes.set(node, absence);
    }
    return free.map((id) => this.fleet.node(id));
  }

  private release(nodes: readonly NodeProcess[]): void {
    for (const { id } of nodes) {
      const absence = this.heldNodes.get(id);
      if (absence !== undefined) {
        absence.untilMs = Date.now();
      }
      this.heldNodes.delete(id);
    }
  }

  private notePlannedExit(name: string, exit: { code: number | null } | undefined): void {
    this.plannedExits.push({ name, code: exit?.code });
  }
}

async function withTimeout<Result>(promise: Promise<Result>): Promise<Result | undefined> {
  const timer = new AbortController();
  const timeout = delay(EXIT_TIMEOUT_MS, undefined, { signal: timer.signal }).catch(
    () => undefined,
  );
  const result = await Promise.race([promise, timeout]);
  timer.abort();
  return result ?? undefined;
}
