/** The processes of one deployment: platform, back ends and nodes, each started and ended by id. */
import { rmSync } from 'node:fs';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { NodeStatus } from '../../src/api/node-status.js';
import type { PlatformSettings, Publication } from '../../standins/platform/control-commands.js';
import type { PlatformCounters } from '../../standins/platform/platform-stand-in.js';
import type { CallTarget } from '../shared/call-client.js';
import { ChildGroup, type Child } from '../shared/child-process.js';
import { getJson, getText, postJson } from '../shared/json-client.js';
import { BackendFleet, DEFAULT_FLEET_OPTIONS, type FleetOptions } from './backend-fleet.js';
import {
  machineList,
  machineOf,
  nodeSettings,
  NODE_PORTS,
  sourceDocument,
  type FleetPlan,
  type MachinePlan,
} from './fleet-plan.js';
import { sumCounters } from './metrics-text.js';
import { programPath, startStandIn, type StandInProcess } from './stand-in-process.js';

const PLATFORM_PROGRAM = programPath(import.meta.url, '../../standins/platform/main.js');
const NODE_PROGRAM = programPath(import.meta.url, '../../src/cli/main.js');
const NODE_STARTED_MESSAGE = 'node-started';

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
  /** Each node's newest process. */
  readonly nodes: NodeProcess[] = [];
  readonly backends: BackendFleet;
  private readonly children = new ChildGroup();
  private readonly keptMetrics: string[] = [];
  private platform: StandInProcess | undefined;
  private settingsFolder: string | undefined;

  constructor(
    readonly plan: FleetPlan,
    options: FleetOptions = DEFAULT_FLEET_OPTIONS,
  ) {
    this.backends = new BackendFleet(plan, options, this.children);
  }

  /** Starts the platform with its documents, and every back end. */
  async startOutside(): Promise<void> {
    const { plan } = this;
    const bound = ['--reader-bound', String(plan.readerBound)];
    const platformArguments = ['--host', plan.platformAddress, ...bound];
    const [platform] = await Promise.all([
      startStandIn(
        this.children,
        'platform',
        PLATFORM_PROGRAM,
        plan.platformAddress,
        platformArguments,
      ),
      ...plan.machines
        .filter((machine) => machine.service !== undefined)
        .map((machine) => this.backends.start(machine)),
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

  /** Starts a node that has ended again, on its machine. */
  async restartNode(id: string): Promise<void> {
    if (this.settingsFolder === undefined) {
      throw new Error('the nodes have not been started');
    }
    await this.startNode(machineOf(this.plan, id), this.settingsFolder);
  }

  /** Publishes a configuration at the platform. */
  async publish(version: number, extraRoutes: number): Promise<void> {
    const document = sourceDocument(this.plan, version, this.backends.ports, extraRoutes);
    await this.publishPublication({ document });
  }

  /** Publishes anything at the platform. */
  async publishPublication(publication: Publication): Promise<void> {
    await postJson(this.platformControl(), '/configuration', publication);
  }

  /** Makes the platform fail, or ends that. */
  async changePlatform(settings: PlatformSettings): Promise<void> {
    await postJson(this.platformControl(), '/settings', settings);
  }

  /** The platform forgets its versions and counts from 1 again. */
  async restartPlatformFromZero(): Promise<void> {
    await postJson(this.platformControl(), '/restart-from-zero', {});
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

  platformCounters(): Promise<PlatformCounters> {
    return getJson<PlatformCounters>(this.platformControl(), '/counters');
  }

  /** Programs that ended although nobody told them to, with the end of their output. */
  endedUnasked(): Child[] {
    return this.children.endedUnasked();
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

  private async startNode(plan: MachinePlan, settingsFolder: string): Promise<void> {
    const { id, address, zone } = plan.machine;
    const platformPort = this.platform?.serving.port ?? 0;
    const file = join(settingsFolder, `${id}.json`);
    await writeFile(file, JSON.stringify(nodeSettings(this.plan, plan, platformPort)));
    const child = this.children.start(id, NODE_PROGRAM, ['node', '--settings', file]);
    const started: NodeProcess = {
      id,
      zone,
      isEdge: plan.service === undefined,
      child,
      caller: { host: address, port: NODE_PORTS.caller },
      admin: { host: address, port: NODE_PORTS.admin },
    };
    const index = this.nodes.findIndex((node) => node.id === id);
    this.nodes.splice(index < 0 ? this.nodes.length : index, index < 0 ? 0 : 1, started);
    await child.waitForLine((line) => (line.includes(NODE_STARTED_MESSAGE) ? line : undefined));
  }

  private platformControl(): CallTarget {
    if (this.platform === undefined) {
      throw new Error('the platform has not been started');
    }
    return this.platform.control;
  }
}
