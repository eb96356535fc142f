/** The processes of a scale run: platform, back ends, real nodes and hollow ones, ended by id. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { loadavg, tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { NodeStatus } from '../../src/api/node-status.js';
import type { Machine } from '../../src/model/machine.js';
import type { PlatformCounters } from '../../standins/platform/platform-stand-in.js';
import type { CallTarget } from '../shared/call-client.js';
import { ChildGroup, parseJsonLine, type Child } from '../shared/child-process.js';
import { getJson, postJson } from '../shared/json-client.js';
import type { FleetSample, RealNodeUsage } from './fleet-sample.js';
import type { HollowProcessOptions } from './hollow-process.js';
import {
  ADOPTIONS_PATH,
  COLLECTED_SAMPLE_PATH,
  SAMPLE_PATH,
  type Adoption,
  type HollowCommand,
  type HollowSample,
} from './hollow-sample.js';
import { checkResident } from './memory-budget.js';
import type { Cut } from './network-cut.js';
import { processUsage, type ProcessUsage } from '../shared/process-usage.js';
import { ScaleConfiguration } from './scale-configuration.js';
import {
  ELECTOR_MACHINES,
  NODE_PORTS,
  nodeSettings,
  planMachines,
  planProcesses,
  platformAddress,
  READER_BOUND,
  REAL_INDICES,
  type ScaleShape,
} from './scale-plan.js';

const PLATFORM_PROGRAM = programPath('../../standins/platform/main.js');
const BACKEND_PROGRAM = programPath('../../standins/backend/main.js');
const NODE_PROGRAM = programPath('../../src/cli/main.js');
const HOLLOW_PROGRAM = programPath('./hollow-main.js');
const NODE_STARTED_MESSAGE = 'node-started';
/** A process whose nodes all start at once answers late, in milliseconds. */
const COMMAND_TIMEOUT_MS = 60_000;

/** A process of hollow nodes that runs. */
interface HollowChild {
  readonly indices: readonly number[];
  readonly control: CallTarget;
}

/** A fleet that runs. */
export class ScaleFleet {
  readonly machines: readonly Machine[];
  private readonly children = new ChildGroup();
  private readonly started: Child[] = [];
  private readonly hollow: HollowChild[] = [];
  private readonly real: { readonly machine: Machine; readonly child: Child }[] = [];
  private readonly backends = new Map<string, CallTarget>();
  private platformPort = 0;
  private platformControl: CallTarget = { host: '', port: 0 };
  private folder: string | undefined;

  constructor(
    private readonly shape: ScaleShape,
    private readonly sharesDocuments: boolean,
  ) {
    this.machines = planMachines(shape);
  }

  /** Machines with a real node. */
  get realMachines(): Machine[] {
    return REAL_INDICES.flatMap((index) => this.machines[index] ?? []);
  }

  /** Where callers reach the real nodes. */
  get callerTargets(): CallTarget[] {
    return this.realMachines.map(({ address }) => ({ host: address, port: NODE_PORTS.caller }));
  }

  /** Starts platform, back ends and processes; no node runs yet. */
  async startOutside(random: () => number): Promise<ScaleConfiguration> {
    const host = platformAddress(this.shape);
    const bound = ['--reader-bound', String(READER_BOUND)];
    const platform = await this.start('platform', PLATFORM_PROGRAM, ['--host', host, ...bound]);
    this.platformPort = platform.port;
    this.platformControl = { host, port: platform.controlPort };
    await Promise.all([
      ...this.realMachines.map((machine) => this.startBackend(machine)),
      ...planProcesses(this.shape.nodes).map((indices) => this.startHollowProcess(indices)),
    ]);
    await postJson(this.platformControl, '/machines', { version: 1, machines: this.machines });
    return new ScaleConfiguration(this.machines, this.backends, random);
  }

  /** Starts the real nodes and waits until they listen. */
  async startRealNodes(): Promise<void> {
    this.folder = await mkdtemp(join(tmpdir(), 'ferryspool-scale-'));
    await Promise.all(this.realMachines.map((machine) => this.startRealNode(machine)));
  }

  /** Publishes a configuration at the platform. */
  async publish(configuration: ScaleConfiguration): Promise<void> {
    const document = configuration.document();
    await postJson(this.platformControl, '/configuration', { document });
  }

  /** Starts hollow nodes that do not run. */
  async startNodes(indices: readonly number[]): Promise<void> {
    await this.command('start', indices, {});
  }

  /** Stops hollow nodes. */
  async stopNodes(indices: readonly number[], isPlanned: boolean): Promise<void> {
    await this.command('stop', indices, { isPlanned });
  }

  /** Cuts the network between hollow nodes, or heals it. */
  async setCut(cut: Cut | undefined): Promise<void> {
    await Promise.all(
      this.hollow.map(({ control }) =>
        postJson(control, '/cut', { cut: cut ?? null }, COMMAND_TIMEOUT_MS),
      ),
    );
  }

  /** What came into force since this was last asked for. */
  async adoptions(): Promise<Adoption[]> {
    const ask = ({ control }: HollowChild): Promise<Adoption[]> =>
      getJson<Adoption[]>(control, ADOPTIONS_PATH, COMMAND_TIMEOUT_MS);
    return (await Promise.all(this.hollow.map(ask))).flat();
  }

  /** Everything at this moment; throws when the run takes more memory than it may. */
  async sample(collectGarbage: boolean): Promise<FleetSample> {
    const path = collectGarbage ? COLLECTED_SAMPLE_PATH : SAMPLE_PATH;
    const [platform, ...hollow] = await Promise.all([
      getJson<PlatformCounters>(this.platformControl, '/counters'),
      ...this.hollow.map(({ control }) => getJson<HollowSample>(control, path, COMMAND_TIMEOUT_MS)),
    ]);
    const residentBytes = this.residentBytes();
    checkResident(residentBytes);
    return {
      at: Date.now(),
      hollow,
      real: this.realUsage(),
      residentBytes,
      peakReaders: platform.peakReaders,
      readersRefused: platform.readersRefused,
      platformReads: platform.reads,
      loadAverage: loadavg()[0] ?? 0,
    };
  }

  /** What the real nodes say of themselves. */
  async realStatus(): Promise<NodeStatus[]> {
    return Promise.all(
      this.realMachines.map(({ address }) => {
        const admin = { host: address, port: NODE_PORTS.admin };
        return getJson<NodeStatus>(admin, '/v1/status');
      }),
    );
  }

  /** Resident memory of every process, in bytes. */
  residentBytes(): number {
    return usageOf(this.started).reduce((sum, usage) => sum + usage.residentBytes, 0);
  }

  /** Kills whatever still runs, without waiting; for the end of the process. */
  killAll(): void {
    this.children.killAll();
  }

  /** Kills whatever still runs and removes the settings files. */
  async end(): Promise<void> {
    await this.children.end();
    if (this.folder !== undefined) {
      await rm(this.folder, { recursive: true, force: true });
    }
  }

  private realUsage(): RealNodeUsage[] {
    return usageOf(this.real.map(({ child }) => child)).map((usage, position) => ({
      ...usage,
      isElector: (this.real[position]?.machine.seniority ?? 0) < ELECTOR_MACHINES,
    }));
  }

  private async command(
    command: HollowCommand,
    indices: readonly number[],
    body: object,
  ): Promise<void> {
    const wanted = new Set(indices);
    await Promise.all(
      this.hollow.map(async (child) => {
        const own = child.indices.filter((index) => wanted.has(index));
        if (own.length > 0) {
          const parameters = { ...body, indices: own };
          await postJson(child.control, `/${command}`, parameters, COMMAND_TIMEOUT_MS);
        }
      }),
    );
  }

  private async startBackend({ id, address }: Machine): Promise<void> {
    const { port } = await this.start(`backend-${id}`, BACKEND_PROGRAM, [
      ...['--name', id],
      ...['--host', address],
      ...['--drain-ms', '0'],
    ]);
    this.backends.set(id, { host: address, port });
  }

  private async startHollowProcess(indices: readonly number[]): Promise<void> {
    const host = platformAddress(this.shape);
    const { shape, platformPort, sharesDocuments } = this;
    const options: HollowProcessOptions = { shape, indices, platformPort, sharesDocuments, host };
    const { controlPort } = await this.start('hollow', HOLLOW_PROGRAM, [JSON.stringify(options)]);
    this.hollow.push({ indices, control: { host, port: controlPort } });
  }

  private async startRealNode(machine: Machine): Promise<void> {
    const file = join(this.folder ?? '', `${machine.id}.json`);
    const settings = nodeSettings(this.shape, this.machines, machine, this.platformPort);
    await writeFile(file, JSON.stringify(settings));
    const child = this.startChild(machine.id, NODE_PROGRAM, ['node', '--settings', file]);
    this.real.push({ machine, child });
    await child.waitForLine((line) => (line.includes(NODE_STARTED_MESSAGE) ? line : undefined));
  }

  private async start(
    name: string,
    program: string,
    programArguments: readonly string[],
  ): Promise<{ port: number; controlPort: number }> {
    const child = this.startChild(name, program, programArguments);
    const ports = await child.waitForLine(parseJsonLine);
    return { port: Number(ports.port), controlPort: Number(ports.controlPort) };
  }

  private startChild(name: string, program: string, programArguments: readonly string[]): Child {
    const child = this.children.start(name, program, programArguments);
    this.started.push(child);
    return child;
  }
}

function usageOf(children: readonly Child[]): ProcessUsage[] {
  return children.flatMap((child) =>
    child.processId === undefined ? [] : (processUsage(child.processId) ?? []),
  );
}

function programPath(relative: string): string {
  return fileURLToPath(new URL(relative, import.meta.url));
}
