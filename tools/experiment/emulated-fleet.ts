/** A fleet under the virtual clock: its nodes, its configuration, and the faults that befall it. */
import { resourceSchema } from '../../src/model/resource.js';
import { buildSnapshot, NO_SNAPSHOT_VERSION, type Snapshot } from '../../src/model/snapshot.js';
import { LateAnswers } from '../../src/proxy/late-answers.js';
import { RouteTable } from '../../src/routing/route-table.js';
import { seededRandom } from '../emulator/seeded-random.js';
import { VirtualScheduler } from '../emulator/virtual-scheduler.js';
import { FAULT_STATUS } from './emulated-endpoint.js';
import { EmulatedNode, REGION, type EndpointShape, type NodeFleet } from './emulated-node.js';
import type { PolicySettings } from './policy-settings.js';
import type { Fault, RequestClass, Scenario, ServiceShape } from './scenario.js';

/** Streams of random numbers under one seed; those of nodes follow one another. */
const FAULT_STREAM = 2;
const NODE_STREAM = 100;
/** Endpoints' ports follow on it; nothing listens there. */
const BASE_PORT = 1_000;
/** Retries towards a service, as a percentage of first attempts. */
const RETRY_BUDGET_PERCENT = 20;
/** The shape of a node without an endpoint. */
const NO_ENDPOINT: EndpointShape = { slots: 0, speed: 1 };
/** Connections of an endpoint besides those for its slots. */
const SPARE_CONNECTIONS = 100;

/** The fleet. */
export class EmulatedFleet implements NodeFleet {
  readonly clock = new VirtualScheduler();
  readonly snapshot: Snapshot;
  readonly routes: RouteTable;
  readonly lateAnswers = new LateAnswers();
  attempts = 0;
  /** Answers of endpoints. */
  answers = 0;
  /** Answers of endpoints that report a fault: the work on the request was for nothing. */
  faultAnswers = 0;
  /** Nodes at which callers' requests arrive. */
  private readonly entries: readonly EmulatedNode[];
  private readonly backs: readonly EmulatedNode[];
  private readonly nodes = new Map<string, EmulatedNode>();
  /** Names, without the number of the attempt, of what endpoints got. */
  private readonly reachedIds = new Set<string>();

  constructor(
    private readonly scenario: Scenario,
    private readonly seed: number,
    private readonly settings: PolicySettings,
  ) {
    this.snapshot = snapshotOf(scenario);
    this.routes = new RouteTable(this.snapshot);
    this.backs = scenario.services.flatMap((service) =>
      machinesOf(service).map((name, index) => {
        const speed = service.speeds?.[index % service.speeds.length] ?? 1;
        return this.addNode(name, index, { slots: service.slots, speed });
      }),
    );
    const edges = Array.from({ length: scenario.edgeNodes }, (_, index) =>
      this.addNode(`edge-${index}`, index, NO_ENDPOINT),
    );
    const { callersBeside } = scenario;
    this.entries = callersBeside?.flatMap((service) => this.nodesOf(service)) ?? edges;
    this.scheduleFaults();
  }

  /** The node of a caller; `place` from 0 to 1 chooses among those that have callers. */
  entryAt(place: number): EmulatedNode {
    return chosen(this.entries, place);
  }

  get nodeCount(): number {
    return this.nodes.size;
  }

  get machineIds(): Iterable<string> {
    return this.nodes.keys();
  }

  /** Bytes that left machines. */
  get linkBytes(): number {
    return [...this.nodes.values()].reduce((bytes, { link }) => bytes + link.sentBytes, 0);
  }

  /** Requests in 4 s to an endpoint with a rate limit, as a multiple of the limit; the highest of all endpoints. */
  get peakLimitUse(): number {
    return Math.max(0, ...this.backs.map(({ endpoint }) => endpoint.limitMeter.peakUse));
  }

  readonly nodeOf = (machine: string): EmulatedNode => {
    const node = this.nodes.get(machine);
    if (node === undefined) {
      throw new RangeError(`there is no machine ${machine}`);
    }
    return node;
  };

  readonly attempted = (): void => {
    this.attempts += 1;
  };

  readonly reached = (requestId: string): void => {
    this.reachedIds.add(requestId.replace(/\.[0-9]+$/, ''));
  };

  readonly answered = (status: number): void => {
    this.answers += 1;
    this.faultAnswers += Number(status >= FAULT_STATUS);
  };

  wasReached(id: string): boolean {
    return this.reachedIds.has(id);
  }

  private addNode(name: string, index: number, endpoint: EndpointShape): EmulatedNode {
    const { scenario, clock, settings } = this;
    const node = new EmulatedNode({
      name,
      zone: zoneOf(scenario, index),
      endpoint,
      linkBytesPerMs: scenario.linkBytesPerMs,
      messageCostMs: scenario.messageCostMs ?? 0,
      clock,
      random: seededRandom(this.seed, NODE_STREAM + this.nodes.size),
      settings,
      fleet: this,
    });
    this.nodes.set(name, node);
    return node;
  }

  private nodesOf(service: string): EmulatedNode[] {
    return this.backs.filter(({ name }) => name.startsWith(`${service}-`));
  }

  private scheduleFaults(): void {
    const random = seededRandom(this.seed, FAULT_STREAM);
    for (const fault of this.scenario.faults) {
      if (fault.kind !== 'burst') {
        const node = chosen(this.nodesOf(fault.service), random());
        this.clock.schedule(fault.fromMs, { run: () => this.begin(fault, node) });
        this.clock.schedule(fault.untilMs, { run: () => this.end(fault, node) });
      }
    }
  }

  private begin(fault: Exclude<Fault, { kind: 'burst' }>, node: EmulatedNode): void {
    switch (fault.kind) {
      case 'slow-endpoint':
        node.endpoint.slowness = fault.factor;
        return;
      case 'limited-endpoint':
        return node.endpoint.nameLimit(fault.maxRatePerS);
      case 'narrow-link':
        node.link.bytesPerMs = fault.bytesPerMs;
        return;
      case 'silent-link':
        return node.link.silence(fault.untilMs);
      case 'crashed-node':
        node.kill();
        return this.nodes.forEach(({ relay }) => relay.died(node));
    }
  }

  private end(fault: Exclude<Fault, { kind: 'burst' }>, node: EmulatedNode): void {
    switch (fault.kind) {
      case 'slow-endpoint':
        node.endpoint.slowness = 1;
        return;
      case 'narrow-link':
        node.link.bytesPerMs = this.scenario.linkBytesPerMs;
        return;
      case 'limited-endpoint':
        return node.endpoint.nameLimit(Infinity);
      case 'silent-link':
        return;
      case 'crashed-node':
        return node.start();
    }
  }
}

function chosen(nodes: readonly EmulatedNode[], place: number): EmulatedNode {
  const node = nodes[Math.floor(place * nodes.length)];
  if (node === undefined) {
    throw new RangeError('there is no such node');
  }
  return node;
}

function machinesOf({ name, endpoints }: ServiceShape): string[] {
  return Array.from({ length: endpoints }, (_, index) => `${name}-${index}`);
}

function zoneOf({ zones }: Scenario, index: number): string {
  return `z${index % zones}`;
}

function snapshotOf(scenario: Scenario): Snapshot {
  const resources = [
    ...scenario.services.map(serviceResource),
    ...scenario.classes.map(routeResource),
    ...scenario.services.flatMap((service) => endpointResources(scenario, service)),
  ];
  return buildSnapshot(
    NO_SNAPSHOT_VERSION,
    resources.map((resource) => resourceSchema.parse(resource)),
  );
}

function serviceResource({ name }: ServiceShape): unknown {
  return { kind: 'service', name, spec: { retryBudgetPercent: RETRY_BUDGET_PERCENT } };
}

function routeResource(requestClass: RequestClass): unknown {
  const { name, service, targetMs, deadlineMs, priority, repeatable } = requestClass;
  const times = { targetLatencyMs: targetMs, timeoutMs: deadlineMs };
  const spec = { pathPrefix: `/${name}`, service, priority, repeatable, ...times };
  return { kind: 'route', name, spec };
}

function endpointResources(scenario: Scenario, service: ServiceShape): unknown[] {
  const { name, slots } = service;
  return machinesOf(service).map((machine, index) => ({
    kind: 'endpoint',
    name: machine,
    spec: {
      service: name,
      address: '127.0.0.1',
      port: BASE_PORT + index,
      zone: zoneOf(scenario, index),
      region: REGION,
      machine,
      slots,
      maxConnections: slots + SPARE_CONNECTIONS,
    },
  }));
}
