/** A process full of hollow nodes, driven over its control port. */
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { DocumentMemo } from '../../src/dissemination/document-memo.js';
import { createElapsedClock } from '../../src/runtime/elapsed-clock.js';
import { startControlServer } from '../../standins/shared/control-server.js';
import type { Listener } from '../../standins/shared/listener.js';
import { HollowNode } from './hollow-node.js';
import {
  ADOPTIONS_PATH,
  COLLECTED_SAMPLE_PATH,
  hollowCommands,
  SAMPLE_PATH,
  type Adoption,
  type HollowSample,
  type NodeTotals,
} from './hollow-sample.js';
import { NetworkCut } from './network-cut.js';
import { nodeSettings, planMachines, type ScaleShape } from './scale-plan.js';

/** Results kept of each sort where nodes share them. */
const SHARED_DOCUMENTS = 64;
const LOOP_RESOLUTION_MS = 10;
const NANOSECONDS_PER_MS = 1e6;
const MICROSECONDS_PER_MS = 1e3;
const BYTES_NAME = /^ferryspool_peer_(sent|received)_(.+)_bytes_total$/;
const MESSAGES_NAME = /^ferryspool_peer_(sent|received)_(.+)_messages_total$/;

/** What a process is made from. */
export interface HollowProcessOptions {
  readonly shape: ScaleShape;
  /** Machines whose nodes it runs. */
  readonly indices: readonly number[];
  readonly platformPort: number;
  /** Whether its nodes share documents: each is applied and merged once for all of them. */
  readonly sharesDocuments: boolean;
  /** Address of its control port. */
  readonly host: string;
}

/** The nodes of one process. */
export class HollowProcess {
  private readonly nodes = new Map<number, HollowNode>();
  private readonly cut: NetworkCut;
  private readonly loopDelay = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION_MS });
  private readonly collectGarbage = exposeGarbageCollector();
  private adoptions: Adoption[] = [];
  private control: Listener | undefined;

  private constructor(options: HollowProcessOptions) {
    const { shape, platformPort, sharesDocuments } = options;
    const memo = sharesDocuments ? new DocumentMemo(SHARED_DOCUMENTS) : undefined;
    const machines = planMachines(shape);
    const now = createElapsedClock();
    this.cut = new NetworkCut(machines);
    for (const index of options.indices) {
      const machine = machines[index];
      if (machine !== undefined) {
        const settings = nodeSettings(shape, machines, machine, platformPort);
        const onVersion = (version: number): void => {
          this.adoptions.push({ index, version, at: Date.now() });
        };
        const { cut } = this;
        this.nodes.set(index, new HollowNode({ machine, settings, cut, now, memo, onVersion }));
      }
    }
    this.loopDelay.enable();
  }

  /** Opens the control port; no node runs yet. */
  static async open(options: HollowProcessOptions): Promise<HollowProcess> {
    const hollow = new HollowProcess(options);
    hollow.control = await startControlServer(hollow.routes(), options.host, 0);
    return hollow;
  }

  get ports(): { controlPort: number } {
    return { controlPort: this.control?.port ?? 0 };
  }

  async stop(): Promise<void> {
    this.nodes.forEach((node) => node.kill());
    await this.control?.close();
  }

  private routes(): Record<string, (body: unknown) => unknown> {
    return {
      'POST /start': (body) => {
        this.start(hollowCommands.start.parse(body).indices);
      },
      'POST /stop': (body) => {
        const { indices, isPlanned } = hollowCommands.stop.parse(body);
        this.stopNodes(indices, isPlanned);
      },
      'POST /cut': (body) => {
        this.cut.current = hollowCommands.cut.parse(body).cut ?? undefined;
      },
      [`GET ${ADOPTIONS_PATH}`]: () => this.takeAdoptions(),
      [`GET ${SAMPLE_PATH}`]: () => this.sample(false),
      [`GET ${COLLECTED_SAMPLE_PATH}`]: () => this.sample(true),
    };
  }

  private takeAdoptions(): Adoption[] {
    const { adoptions } = this;
    this.adoptions = [];
    return adoptions;
  }

  private start(indices: readonly number[]): void {
    for (const index of indices) {
      const node = this.nodes.get(index);
      if (node !== undefined && !node.isRunning) {
        node.start().catch(fail);
      }
    }
  }

  private stopNodes(indices: readonly number[], isPlanned: boolean): void {
    for (const index of indices) {
      const node = this.nodes.get(index);
      if (isPlanned) {
        node?.stop().catch(fail);
      } else {
        node?.kill();
      }
    }
  }

  /** Processor time is read first: a collection of garbage is the tool's own doing. */
  private sample(collectGarbage: boolean): HollowSample {
    const { user, system } = process.cpuUsage();
    const loopDelayP99Ms = this.loopDelay.percentile(99) / NANOSECONDS_PER_MS;
    const loopDelayMaxMs = this.loopDelay.max / NANOSECONDS_PER_MS;
    if (collectGarbage) {
      this.collectGarbage();
    }
    const { rss, heapUsed, external } = process.memoryUsage();
    this.loopDelay.reset();
    return {
      nodes: [...this.nodes].map(([index, node]) => totalsOf(index, node)),
      cpuMs: (user + system) / MICROSECONDS_PER_MS,
      residentBytes: rss,
      liveBytes: heapUsed + external,
      loopDelayP99Ms,
      loopDelayMaxMs,
      sentBytesByType: sumByType([...this.nodes.values()]),
      counters: sumCounters([...this.nodes.values()]),
    };
  }
}

function totalsOf(index: number, node: HollowNode): NodeTotals {
  const totals = node.metrics.counterTotals();
  return {
    index,
    isRunning: node.isRunning,
    sentBytes: sumOf(totals, BYTES_NAME, 'sent'),
    receivedBytes: sumOf(totals, BYTES_NAME, 'received'),
    sentMessages: sumOf(totals, MESSAGES_NAME, 'sent'),
    receivedMessages: sumOf(totals, MESSAGES_NAME, 'received'),
    links: node.links,
  };
}

function sumOf(totals: ReadonlyMap<string, number>, name: RegExp, direction: string): number {
  let sum = 0;
  for (const [counter, value] of totals) {
    sum += name.exec(counter)?.[1] === direction ? value : 0;
  }
  return sum;
}

function sumByType(nodes: readonly HollowNode[]): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const node of nodes) {
    for (const [counter, value] of node.metrics.counterTotals()) {
      const [, direction, type = ''] = BYTES_NAME.exec(counter) ?? [];
      if (direction === 'sent') {
        sums[type] = (sums[type] ?? 0) + value;
      }
    }
  }
  return sums;
}

function sumCounters(nodes: readonly HollowNode[]): Record<string, number> {
  const sums: Record<string, number> = {};
  for (const node of nodes) {
    for (const [counter, value] of node.metrics.counterTotals()) {
      if (value > 0 && !BYTES_NAME.test(counter) && !MESSAGES_NAME.test(counter)) {
        sums[counter] = (sums[counter] ?? 0) + value;
      }
    }
  }
  return sums;
}

/** A node that can not start would spoil every figure: the process ends, and the run with it. */
function fail(error: unknown): void {
  process.stderr.write(`${String(error)}\n`);
  process.exit(1);
}

function exposeGarbageCollector(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}
