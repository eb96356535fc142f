/** A fleet in one process for end-to-end tests: platform, back ends and real nodes on loopback. */
import { createServer } from 'node:net';
import { BackendStandIn } from '../../standins/backend/backend-stand-in.js';
import { PlatformStandIn } from '../../standins/platform/platform-stand-in.js';
import type { NodeStatus } from '../../src/api/node-status.js';
import type { RunningNode } from '../../src/cli/running-node.js';
import type { Machine } from '../../src/model/machine.js';
import type { SourceDocument } from '../../src/model/source-document.js';
import { runNode } from '../../src/runtime/node.js';
import { parseSettings } from '../../src/settings/load-settings.js';

const HOST = '127.0.0.1';
const REGION = 'region-1';
const DEFAULT_WORK_MS = 2;
/** How long a back end that is started again is down, in milliseconds. */
const DOWN_MS = 100;
/** How often a condition is looked at, in milliseconds. */
const POLL_MS = 10;

/** One machine of the fleet. */
export interface FleetMachine {
  readonly id: string;
  readonly zone: string;
  readonly ports: { caller: number; relay: number; control: number; admin: number };
  readonly node: RunningNode;
  /** The back end beside the node, as it is now; edge machines have none. */
  backend: BackendStandIn | undefined;
}

/** Shape of a fleet. */
export interface FleetPlan {
  readonly zones: readonly string[];
  /** Back ends of the one service `tiles` in each zone. */
  readonly backendsPerZone: number;
  /** Machines that form the first group of voters; none: no writes. */
  readonly initialVoters?: readonly string[];
  /** Secret of operators; without one writes are refused. */
  readonly adminToken?: string;
  /** How long back ends work on a request, in milliseconds. */
  readonly workMs?: number;
  /** Told when a back end begins to run a request, with the caller's name of it. */
  readonly onWork?: (machineId: string, callId: string | undefined) => void;
  /** See the setting `claims.openWhenAllAreNew`. */
  readonly claimsOpenWhenAllAreNew?: boolean;
}

/** A running fleet; `stop` must be awaited in every test. */
export class LocalFleet {
  readonly machines: FleetMachine[] = [];
  private seeds: { address: string; controlPort: number }[] = [];

  private constructor(
    readonly platform: PlatformStandIn,
    private readonly plan: FleetPlan,
  ) {}

  /** Starts everything: one edge machine in each zone besides those of the back ends. */
  static async start(plan: FleetPlan): Promise<LocalFleet> {
    const fleet = new LocalFleet(
      await PlatformStandIn.start({ readerBound: plan.zones.length }),
      plan,
    );
    try {
      for (const zone of plan.zones) {
        await fleet.add(`edge-${zone}`, zone, plan, false);
        for (let index = 0; index < plan.backendsPerZone; index += 1) {
          await fleet.add(`tiles-${zone}-${index}`, zone, plan, true);
        }
      }
      fleet.publish(1);
      fleet.publishMachines(1);
    } catch (error) {
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  /** Publishes the fleet's configuration under `version`, with `extra` resources. */
  publish(version: number, extra: SourceDocument['resources'] = []): void {
    const document: SourceDocument = { version, resources: [...this.resources(), ...extra] };
    this.platform.publish({ document });
  }

  publishMachines(version: number): void {
    const machines: Machine[] = this.machines.map(({ id, zone, ports }, index) => ({
      id,
      zone,
      region: REGION,
      address: HOST,
      controlPort: ports.control,
      relayPort: ports.relay,
      seniority: index,
      state: 'live',
    }));
    this.platform.publishMachines({ version, machines });
  }

  /** Waits until every running node holds `version` of the source. */
  async converged(version: number, nodes = this.machines): Promise<void> {
    for (const machine of nodes) {
      await eventually(async () => (await sourceVersion(machine)) === version);
    }
  }

  /** Ends the machine's back end at once, and starts it again at the same address. */
  async restartBackend(id: string): Promise<void> {
    const machine = this.machine(id);
    const port = machine.backend?.ports.port ?? 0;
    await machine.backend?.stop();
    await new Promise((resolve) => setTimeout(resolve, DOWN_MS));
    machine.backend = await this.startBackend(id, port);
  }

  private startBackend(name: string, port = 0): Promise<BackendStandIn> {
    return BackendStandIn.start({
      name,
      port,
      settings: { work: { distribution: 'fixed', workMs: this.plan.workMs ?? DEFAULT_WORK_MS } },
      ledgerListener: (_index, { outcome, callId }) => {
        if (outcome === 'running') {
          this.plan.onWork?.(name, callId);
        }
      },
    });
  }

  machine(id: string): FleetMachine {
    const found = this.machines.find((machine) => machine.id === id);
    if (found === undefined) {
      throw new Error(`no machine ${id}`);
    }
    return found;
  }

  async stop(): Promise<void> {
    for (const { node, backend } of this.machines) {
      node.abort();
      await backend?.stop();
    }
    await this.platform.stop();
  }

  private async add(id: string, zone: string, plan: FleetPlan, hasBackend: boolean): Promise<void> {
    const control = await freePort();
    if (this.seeds.length < plan.zones.length) {
      this.seeds = [...this.seeds, { address: HOST, controlPort: control }];
    }
    const platformUrl = `http://${HOST}:${this.platform.ports.port}`;
    const settings = parseSettings('test', {
      machine: { id, address: HOST, zone, region: REGION },
      ports: { caller: 0, relay: 0, control, admin: 0 },
      fleetKey: 'a-fleet-key-for-tests-only',
      seeds: this.seeds,
      platform: {
        configurationUrl: `${platformUrl}/v1/configuration`,
        machinesUrl: `${platformUrl}/v1/machines`,
        pollIntervalMs: 50,
      },
      readerShares: Object.fromEntries(plan.zones.map((name) => [name, 1])),
      lease: { durationMs: 600, renewIntervalMs: 150 },
      overlay: { heartbeatIntervalMs: 200, suspectAfterMs: 800, deadAfterMs: 1_600 },
      log: { level: 'error' },
      api: { writeTimeoutMs: 5_000 },
      writes: { initialVoters: plan.initialVoters ?? [] },
      claims: { openWhenAllAreNew: plan.claimsOpenWhenAllAreNew ?? false },
      ...(plan.adminToken === undefined ? {} : { adminToken: plan.adminToken }),
    });
    const backend = hasBackend ? await this.startBackend(id) : undefined;
    const node = await runNode(settings);
    this.machines.push({ id, zone, ports: node.ports, node, backend });
  }

  private resources(): SourceDocument['resources'] {
    const endpoints = this.machines.flatMap(({ id, zone, backend }) =>
      backend === undefined
        ? []
        : [
            {
              kind: 'endpoint' as const,
              name: id,
              spec: {
                service: 'tiles',
                address: HOST,
                port: backend.ports.port,
                zone,
                region: REGION,
                machine: id,
                slots: 20,
                maxConnections: 130,
                state: 'active' as const,
              },
            },
          ],
    );
    return [
      {
        kind: 'service',
        name: 'tiles',
        spec: { requestTimeoutMs: 5_000, retryBudgetPercent: 20 },
      },
      {
        kind: 'route',
        name: 'tiles',
        spec: { hosts: [], methods: [], pathPrefix: '/tiles', service: 'tiles' },
      },
      ...endpoints,
    ];
  }
}

/** Looks at `condition` until it holds; the test's own time limit bounds it. */
export async function eventually(condition: () => Promise<boolean>): Promise<void> {
  while (!(await condition())) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/** Status of one node, through its admin port. */
export async function statusOf(machine: FleetMachine): Promise<NodeStatus> {
  const response = await fetch(`http://${HOST}:${machine.ports.admin}/v1/status`);
  return (await response.json()) as NodeStatus;
}

/** Status of every node of the fleet. */
export function statuses(fleet: LocalFleet): Promise<NodeStatus[]> {
  return Promise.all(fleet.machines.map(statusOf));
}

/** Version number of the source's document that a node holds. */
export async function sourceVersion(machine: FleetMachine): Promise<number> {
  return (await statusOf(machine)).held.source.number;
}

/** Sends a request to a node's caller port. */
export function call(machine: FleetMachine, path: string, init?: RequestInit): Promise<Response> {
  return fetch(`http://${HOST}:${machine.ports.caller}${path}`, init);
}

function freePort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, HOST, () => {
      const address = server.address();
      server.close(() => resolve(typeof address === 'object' && address ? address.port : 0));
    });
  });
}
