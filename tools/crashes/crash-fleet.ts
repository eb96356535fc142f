/** Three nodes as real processes, each with two back ends beside it, and a stand-in of the platform. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { LifeCycle } from '../../src/runtime/life-cycle.js';
import { PlatformStandIn } from '../../standins/platform/platform-stand-in.js';
import { ChildGroup } from '../shared/child-process.js';
import { CrashBackend } from './crash-backend.js';

const PROGRAM = new URL('../../src/cli/main.js', import.meta.url).pathname;
const NODES = 3;
const BACKENDS_PER_NODE = 2;
const SLOTS = 8;
const PORTS = { caller: 23_080, relay: 23_081, control: 23_082, admin: 23_083 };
const FIRST_BACKEND_PORT = 23_090;
const START_TIMEOUT_MS = 20_000;
const POLL_MS = 100;

/** The fleet; `close` ends all that was started. */
export class CrashFleet {
  readonly backends: CrashBackend[] = [];
  private readonly lifeCycle = new LifeCycle();

  /** `network` is the first three numbers of its loopback addresses. */
  private constructor(private readonly network: string) {}

  /** Resolves once a request is served at each node. */
  static async start(network: string): Promise<CrashFleet> {
    const fleet = new CrashFleet(network);
    try {
      await fleet.open();
      await Promise.all(fleet.callers.map((caller) => untilServed(caller)));
    } catch (err) {
      await fleet.close();
      throw err;
    }
    return fleet;
  }

  /** Where callers are served. */
  get callers(): { host: string; port: number }[] {
    return Array.from({ length: NODES }, (_, idx) => ({
      host: this.addressOf(idx),
      port: PORTS.caller,
    }));
  }

  close(): Promise<void> {
    return this.lifeCycle.close();
  }

  private async open(): Promise<void> {
    const platform = await PlatformStandIn.start({ host: this.addressOf(NODES), readerBound: 2 });
    this.lifeCycle.own('platform', platform, (one) => one.stop());
    for (let idx = 0; idx < NODES * BACKENDS_PER_NODE; idx += 1) {
      const host = this.addressOf(idx % NODES);
      const backend = await CrashBackend.start(`e${idx}`, host, FIRST_BACKEND_PORT + idx);
      this.backends.push(this.lifeCycle.own('back end', backend, (one) => one.stop()));
    }
    platform.publish({ document: { version: 1, resources: this.resources() } });
    platform.publishMachines({ version: 1, machines: this.machines() });
    const url = `http://${this.addressOf(NODES)}:${platform.ports.port}`;
    this.startNodes(url);
  }

  private startNodes(platformUrl: string): void {
    const folder = mkdtempSync(join(tmpdir(), 'ferryspool-crashes-'));
    this.lifeCycle.own('folder', folder, (one) => rmSync(one, { recursive: true }));
    const children = this.lifeCycle.own('nodes', new ChildGroup(), (one) => one.end());
    for (let idx = 0; idx < NODES; idx += 1) {
      const path = join(folder, `node-${idx}.json`);
      writeFileSync(path, JSON.stringify(this.settingsOf(idx, platformUrl)));
      children.start(`node ${idx}`, PROGRAM, ['node', '--settings', path]);
    }
  }

  private settingsOf(idx: number, platformUrl: string): object {
    return {
      machine: { id: `m${idx}`, address: this.addressOf(idx), zone: 'z', region: 'r' },
      ports: PORTS,
      fleetKey: 'a-key-of-a-benchmark',
      seeds: [{ address: this.addressOf(0), controlPort: PORTS.control }],
      platform: {
        configurationUrl: `${platformUrl}/v1/configuration`,
        machinesUrl: `${platformUrl}/v1/machines`,
      },
      readerShares: { z: 1 },
      lease: { durationMs: 1_000, renewIntervalMs: 300 },
      log: { level: 'warn' },
    };
  }

  private machines() {
    return Array.from({ length: NODES }, (_, idx) => ({
      id: `m${idx}`,
      zone: 'z',
      region: 'r',
      address: this.addressOf(idx),
      controlPort: PORTS.control,
      relayPort: PORTS.relay,
      seniority: idx,
      state: 'live' as const,
    }));
  }

  private resources() {
    const endpoints = this.backends.map(({ name, port }, idx) => ({
      kind: 'endpoint' as const,
      name,
      spec: {
        service: 'lookups',
        address: this.addressOf(idx % NODES),
        port,
        zone: 'z',
        region: 'r',
        machine: `m${idx % NODES}`,
        slots: SLOTS,
        maxConnections: 130,
        state: 'active' as const,
      },
    }));
    return [
      {
        kind: 'service' as const,
        name: 'lookups',
        spec: { requestTimeoutMs: 1_200, retryBudgetPercent: 20 },
      },
      {
        kind: 'route' as const,
        name: 'all',
        spec: { hosts: [], methods: [], pathPrefix: '/', service: 'lookups' },
      },
      ...endpoints,
    ];
  }

  private addressOf(idx: number): string {
    return `${this.network}.${idx + 1}`;
  }
}

async function untilServed({ host, port }: { host: string; port: number }): Promise<void> {
  const endsAtMs = performance.now() + START_TIMEOUT_MS;
  while (performance.now() < endsAtMs) {
    const status = await fetch(`http://${host}:${port}/start`).then(
      (response) => response.status,
      () => 0,
    );
    if (status === 200) {
      return;
    }
    await delay(POLL_MS);
  }
  throw new Error(`no request was served at ${host} within ${START_TIMEOUT_MS} ms`);
}
