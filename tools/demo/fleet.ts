/** The processes of one deployment: platform, back ends and nodes, each started and ended by id. */
import { rmSync } from 'node:fs';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { NodeStatus } from '../../src/api/node-status.js';
import type { AnswerFault } from '../../standins/backend/answer-fault.js';
import type { BackendCounters, LedgerReport } from '../../standins/backend/backend-stand-in.js';
import type { PlatformCounters } from '../../standins/platform/platform-stand-in.js';
import type { CallTarget } from '../shared/call-client.js';
import { ChildGroup, parseJsonLine, type Child, type ChildExit } from '../shared/child-process.js';
import { getJson, getText, postJson } from '../shared/json-client.js';
import {
  machineList,
  nodeSettings,
  NODE_PORTS,
  sourceDocument,
  type FleetPlan,
  type MachinePlan,
} from './fleet-plan.js';
import { sumCounters } from './metrics-text.js';

const PLATFORM_PROGRAM = programPath('../../standins/platform/main.js');
const BACKEND_PROGRAM = programPath('../../standins/backend/main.js');
const NODE_PROGRAM = programPath('../../src/cli/main.js');
const NODE_STARTED_MESSAGE = 'node-started';

/** A stand-in that runs. */
interface StandInProcess {
  readonly child: Child;
  readonly serving: CallTarget;
  readonly control: CallTarget;
}

/** A node that was started. */
export interface NodeProcess {
  readonly id: string;
  readonly zone: string;
  readonly isEdge: boolean;
  readonly child: Child;
  readonly caller: CallTarget;
  readonly admin: CallTarget;
}

/** A deployment that runs. */
export class Fleet {
  readonly nodes: NodeProcess[] = [];
  private readonly children = new ChildGroup();
  private readonly backends = new Map<string, StandInProcess>();
  private readonly ledgers: LedgerReport[] = [];
  private readonly keptMetrics: string[] = [];
  private platform: StandInProcess | undefined;
  private settingsFolder: string | undefined;

  constructor(readonly plan: FleetPlan) {}

  /** Starts the platform with its documents, and every back end. */
  async startOutside(): Promise<void> {
    const { plan } = this;
    const bound = ['--reader-bound', String(plan.readerBound)];
    const platformArguments = ['--host', plan.platformAddress, ...bound];
    const [platform] = await Promise.all([
      this.startStandIn('platform', PLATFORM_PROGRAM, plan.platformAddress, platformArguments),
      ...plan.machines
        .filter((machine) => machine.service !== undefined)
        .map((machine) => this.startBackend(machine)),
    ]);
    this.platform = platform;
    await postJson(platform.control, '/machines', machineList(plan, 1));
    await this.publish(1, 0);
  }

  /** Starts every node and waits until all of them listen. */
  async startNodes(): Promise<void> {
    this.settingsFolder = await mkdtemp(join(tmpdir(), 'ferryspool-demo-'));
    const { settingsFolder } = this;
    await Promise.all(this.plan.machines.map((machine) => this.startNode(machine, settingsFolder)));
  }

  /** Publishes a configuration at the platform. */
  async publish(version: number, extraRoutes: number): Promise<void> {
    const ports = new Map([...this.backends].map(([id, { serving }]) => [id, serving.port]));
    const document = sourceDocument(this.plan, version, ports, extraRoutes);
    await postJson(this.platformControl(), '/configuration', { document });
  }

  /** Nodes that have not ended. */
  runningNodes(): NodeProcess[] {
    return this.nodes.filter((node) => node.child.isRunning);
  }

  /** The node beside a back end, or an edge node, by its machine's id. */
  node(id: string): NodeProcess {
    const found = this.nodes.find((node) => node.id === id);
    if (found === undefined) {
      throw new Error(`no node ${id}`);
    }
    return found;
  }

  /** Where the back ends that run take requests. */
  backendTargets(): CallTarget[] {
    return [...this.backends.values()].map(({ serving }) => serving);
  }

  backendCounters(id: string): Promise<BackendCounters> {
    return getJson<BackendCounters>(this.backend(id).control, '/counters');
  }

  platformCounters(): Promise<PlatformCounters> {
    return getJson<PlatformCounters>(this.platformControl(), '/counters');
  }

  /** Makes a back end refuse new work. */
  async drainBackend(id: string): Promise<void> {
    await postJson(this.backend(id).control, '/settings', { draining: true });
  }

  /** Breaks the next answers of a back end, `count` of them with each fault. */
  async breakAnswers(id: string, faults: readonly AnswerFault[], count: number): Promise<void> {
    for (const fault of faults) {
      await postJson(this.backend(id).control, '/faults', { fault, count });
    }
  }

  /** Stops a drained back end, after keeping its ledger. */
  async stopBackend(id: string): Promise<ChildExit> {
    const backend = this.backend(id);
    this.ledgers.push(await getJson<LedgerReport>(backend.control, '/ledger'));
    this.backends.delete(id);
    backend.child.signal('SIGTERM');
    return backend.child.exited;
  }

  /** The ledgers of all back ends, stopped ones too. */
  async allLedgers(): Promise<LedgerReport[]> {
    const running = [...this.backends.values()].map(({ control }) =>
      getJson<LedgerReport>(control, '/ledger'),
    );
    return [...this.ledgers, ...(await Promise.all(running))];
  }

  /** The status of a node; undefined while it does not answer. */
  async status(node: NodeProcess): Promise<NodeStatus | undefined> {
    return getJson<NodeStatus>(node.admin, '/v1/status').catch(() => undefined);
  }

  /** Keeps the counters of a node that is about to end. */
  async keepCounters(node: NodeProcess): Promise<void> {
    this.keptMetrics.push(await this.metrics(node));
  }

  /** Sum of the counters whose names match, over the nodes that run and those kept. */
  async sumOfCounters(pattern: RegExp): Promise<number> {
    const running = await Promise.all(this.runningNodes().map((node) => this.metrics(node)));
    const texts = [...running, ...this.keptMetrics];
    return texts.reduce((sum, text) => sum + sumCounters(text, pattern), 0);
  }

  /**
   * Kills whatever still runs, without waiting, and removes the settings files, which hold the fleet
   * key; for the end of the process.
   */
  killAll(): void {
    this.children.killAll();
    if (this.settingsFolder !== undefined) {
      rmSync(this.settingsFolder, { recursive: true, force: true });
    }
  }

  /** Kills whatever still runs and removes the settings files. */
  async end(): Promise<void> {
    this.killAll();
    await this.children.end();
  }

  private metrics(node: NodeProcess): Promise<string> {
    return getText(node.admin, '/metrics').catch(() => '');
  }

  private async startBackend({ machine }: MachinePlan): Promise<void> {
    const { slots, maxConnections } = this.plan.deployment;
    const standIn = await this.startStandIn(machine.id, BACKEND_PROGRAM, machine.address, [
      ...['--name', machine.id],
      ...['--host', machine.address],
      ...['--slots', String(slots)],
      ...['--max-connections', String(maxConnections)],
      ...['--drain-ms', '0'],
    ]);
    this.backends.set(machine.id, standIn);
  }

  private async startStandIn(
    name: string,
    program: string,
    host: string,
    programArguments: readonly string[],
  ): Promise<StandInProcess> {
    const child = this.children.start(name, program, programArguments);
    const ports = await child.waitForLine(parseJsonLine);
    const serving = { host, port: Number(ports.port) };
    return { child, serving, control: { host, port: Number(ports.controlPort) } };
  }

  private async startNode(plan: MachinePlan, settingsFolder: string): Promise<void> {
    const { id, address, zone } = plan.machine;
    const platformPort = this.platform?.serving.port ?? 0;
    const file = join(settingsFolder, `${id}.json`);
    await writeFile(file, JSON.stringify(nodeSettings(this.plan, plan, platformPort)));
    const child = this.children.start(id, NODE_PROGRAM, ['node', '--settings', file]);
    this.nodes.push({
      id,
      zone,
      isEdge: plan.service === undefined,
      child,
      caller: { host: address, port: NODE_PORTS.caller },
      admin: { host: address, port: NODE_PORTS.admin },
    });
    await child.waitForLine((line) => (line.includes(NODE_STARTED_MESSAGE) ? line : undefined));
  }

  private backend(id: string): StandInProcess {
    const found = this.backends.get(id);
    if (found === undefined) {
      throw new Error(`no back end ${id}`);
    }
    return found;
  }

  private platformControl(): CallTarget {
    if (this.platform === undefined) {
      throw new Error('the platform has not been started');
    }
    return this.platform.control;
  }
}

function programPath(relative: string): string {
  return fileURLToPath(new URL(relative, import.meta.url));
}
