/** A fleet under the virtual clock: its nodes, its configuration, and the faults that befall it. */
import { resourceSchema, type Endpoint, type Resource } from '../../src/model/resource.js';
import { LateAnswers } from '../../src/proxy/late-answers.js';
import { RouteTable } from '../../src/routing/route-table.js';
import { seededRandom } from '../emulator/seeded-random.js';
import { VirtualScheduler } from '../emulator/virtual-scheduler.js';
import { FAULT_STATUS } from './emulated-endpoint.js';
import { EmulatedEntries, type PublishedSnapshot } from './emulated-entries.js';
import { EmulatedNode, REGION, type EndpointShape, type NodeFleet } from './emulated-node.js';
import { uniformCosts } from './emulated-processor.js';
import type { PolicySettings } from './policy-settings.js';
import type { Fault, RequestClass, Scenario, ServiceShape } from './scenario.js';

/** Streams of random numbers under one seed; those of nodes follow one another. */
const FAULT_STREAM = 2;
const ENTRY_STREAM = 3;
const HOLD_STREAM = 4;
const NODE_STREAM = 100;
/** Endpoints' ports follow on it; nothing listens there. */
const BASE_PORT = 1_000;
/** Retries towards a service, as a percentage of first attempts. */
const RETRY_BUDGET_PERCENT = 20;
/** Time between two beats of an endpoint's entry, in milliseconds. */
const BEAT_MS = 1_500;
/** The shape of a node without an endpoint. */
const NO_ENDPOINT: EndpointShape = { slots: 0, speed: 1 };
/** Connections of an endpoint besides those for its slots. */
const SPARE_CONNECTIONS = 100;

type FaultOf<Kind extends Fault['kind']> = Extract<Fault, { kind: Kind }>;
/** The start of an endpoint's process. */
interface Birth {
  readonly bornAtMs: number;
}
/** A fault of one node or of the endpoint beside it. */
type NodeFault = Exclude<Fault, { kind: 'burst' | 'evacuated-zone' | 'held-requests' }>;

/** The fleet. */
export class EmulatedFleet implements NodeFleet {
  readonly clock = new VirtualScheduler();
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
  private readonly listed: EmulatedEntries;
  private readonly nodes = new Map<string, EmulatedNode>();
  /** Names, without the number of the attempt, of what endpoints got. */
  private readonly reachedIds = new Set<string>();

  constructor(
    private readonly scenario: Scenario,
    private readonly seed: number,
    private readonly settings: PolicySettings,
  ) {
    this.listed = this.createEntries();
    this.routes = new RouteTable(this.published.snapshot);
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

  get published(): PublishedSnapshot {
    return this.listed.current;
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

  /** Requests within one second to an endpoint that is cold; the highest number of all endpoints. */
  get peakColdCount(): number {
    return Math.max(0, ...this.backs.map(({ endpoint }) => endpoint.coldMeter.peakCount));
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
      processorCosts: scenario.processorCosts ?? uniformCosts(0),
      clock,
      random: seededRandom(this.seed, NODE_STREAM + this.nodes.size),
      settings,
      fleet: this,
    });
    this.nodes.set(name, node);
    return node;
  }

  private createEntries(): EmulatedEntries {
    const { scenario, clock, seed } = this;
    return new EmulatedEntries({
      resources: [
        ...scenario.services.map(serviceResource),
        ...scenario.classes.map(routeResource),
      ],
      endpoints: scenario.services.flatMap((service) => endpointResources(scenario, service)),
      clock,
      random: seededRandom(seed, ENTRY_STREAM),
      maxDelayMs: scenario.newsDelayMs ?? 0,
      forEachNode: (deliver) =>
        this.nodes.forEach((node) => deliver((published) => node.learn(published))),
    });
  }

  private nodesOf(service: string): EmulatedNode[] {
    return this.backs.filter(({ name }) => name.startsWith(`${service}-`));
  }

  private scheduleFaults(): void {
    const random = seededRandom(this.seed, FAULT_STREAM);
    for (const fault of this.scenario.faults) {
      if (fault.kind === 'evacuated-zone') {
        this.scheduleEvacuation(fault);
      } else if (fault.kind === 'held-requests') {
        this.scheduleHolds(fault);
      } else if (fault.kind !== 'burst') {
        const node = chosen(this.nodesOf(fault.service), random());
        this.clock.schedule(fault.fromMs, { run: () => this.begin(fault, node) });
        this.clock.schedule(fault.untilMs, { run: () => this.end(fault, node) });
      }
    }
  }

  private scheduleEvacuation({ zone, fromMs, untilMs }: FaultOf<'evacuated-zone'>): void {
    this.clock.schedule(fromMs, { run: () => this.listed.evacuate(zone) });
    const takeBack = (): void => {
      this.backs
        .filter((node) => node.zone === zone)
        .forEach((node) => this.becomeCold(node, BEAT_MS));
      this.listed.takeBack(zone);
    };
    this.clock.schedule(untilMs, { run: takeBack });
  }

  private scheduleHolds({ service, holdMs, fromMs, untilMs }: FaultOf<'held-requests'>): void {
    const random = seededRandom(this.seed, HOLD_STREAM);
    const nodes = this.nodesOf(service);
    const setHold = (hold: () => number): void => {
      nodes.forEach(({ endpoint }) => (endpoint.holdMs = hold));
    };
    this.clock.schedule(fromMs, { run: () => setHold(() => random() * holdMs) });
    this.clock.schedule(untilMs, { run: () => setHold(() => 0) });
  }

  /** The endpoint is cold from now on; its entry tells so at its next beats, the first after `firstBeatMs`. */
  private becomeCold({ name, endpoint }: EmulatedNode, firstBeatMs: number, birth?: Birth): void {
    const service = this.scenario.services.find((one) => name.startsWith(`${one.name}-`));
    const forMs = service?.coldStart?.durationMs ?? 0;
    endpoint.becomeCold(forMs);
    const untilMs = this.clock.nowMs + forMs;
    const beat = (): void => {
      const coldForMs = Math.max(0, untilMs - this.clock.nowMs);
      this.listed.change(name, { ...birth, coldForMs });
      if (coldForMs > 0) {
        this.clock.schedule(this.clock.nowMs + BEAT_MS, { run: beat });
      }
    };
    this.clock.schedule(this.clock.nowMs + firstBeatMs, { run: beat });
  }

  private restartEndpoint(node: EmulatedNode): void {
    const bornAtMs = Math.max(1, Math.round(this.clock.nowMs));
    node.endpoint.restart(bornAtMs);
    this.becomeCold(node, 0, { bornAtMs });
  }

  private begin(fault: NodeFault, node: EmulatedNode): void {
    switch (fault.kind) {
      case 'slow-endpoint':
        node.endpoint.slowness = fault.factor;
        return;
      case 'silent-answers':
        node.endpoint.isSilent = true;
        return;
      case 'limited-endpoint':
        return node.endpoint.nameLimit(fault.maxRatePerS);
      case 'narrow-link':
        node.link.bytesPerMs = fault.bytesPerMs;
        return;
      case 'silent-link':
        return node.link.silence(fault.untilMs);
      case 'restarted-endpoint':
        return this.restartEndpoint(node);
      case 'crashed-node':
        node.kill();
        return this.nodes.forEach(({ relay }) => relay.died(node));
    }
  }

  private end(fault: NodeFault, node: EmulatedNode): void {
    switch (fault.kind) {
      case 'slow-endpoint':
        node.endpoint.slowness = 1;
        return;
      case 'silent-answers':
        node.endpoint.isSilent = false;
        return;
      case 'narrow-link':
        node.link.bytesPerMs = this.scenario.linkBytesPerMs;
        return;
      case 'limited-endpoint':
        return node.endpoint.nameLimit(Infinity);
      case 'silent-link':
      case 'restarted-endpoint':
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

function serviceResource({ name, coldStart }: ServiceShape): Resource {
  const spec = { retryBudgetPercent: RETRY_BUDGET_PERCENT, coldStart };
  return resourceSchema.parse({ kind: 'service', name, spec });
}

function routeResource(requestClass: RequestClass): Resource {
  const { name, service, targetMs, deadlineMs, priority, repeatable } = requestClass;
  const times = { targetLatencyMs: targetMs, timeoutMs: deadlineMs };
  const spec = { pathPrefix: `/${name}`, service, priority, repeatable, ...times };
  return resourceSchema.parse({ kind: 'route', name, spec });
}

function endpointResources(scenario: Scenario, service: ServiceShape): Endpoint[] {
  const { name, slots, coldStart } = service;
  return machinesOf(service).map((machine, index) => {
    const spec = {
      service: name,
      address: '127.0.0.1',
      port: BASE_PORT + index,
      zone: zoneOf(scenario, index),
      region: REGION,
      machine,
      slots,
      maxConnections: slots + SPARE_CONNECTIONS,
      ...(coldStart !== undefined && { coldForMs: 0 }),
    };
    return resourceSchema.parse({ kind: 'endpoint', name: machine, spec }) as Endpoint;
  });
}
