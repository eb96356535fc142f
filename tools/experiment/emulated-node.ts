/** One machine: the product's node with its request code, and the endpoint beside it, if there is one. */
import type { RandomSource } from '../../src/control/control-event.js';
import type { Snapshot } from '../../src/model/snapshot.js';
import type { Call } from '../../src/proxy/call.js';
import { EndpointGateway } from '../../src/proxy/endpoint-gateway.js';
import { EndpointStatements } from '../../src/routing/endpoint-statements.js';
import type { LateAnswers } from '../../src/proxy/late-answers.js';
import { CreditPool } from '../../src/proxy/relay/credit-pool.js';
import { RequestRunner } from '../../src/proxy/request-runner.js';
import { RequestServices } from '../../src/proxy/request-services.js';
import type { EndpointPath } from '../../src/proxy/call.js';
import type { RouteTable } from '../../src/routing/route-table.js';
import type { VirtualScheduler } from '../emulator/virtual-scheduler.js';
import { VirtualProcess } from '../emulator/virtual-process.js';
import type { PlannedRequest } from './call-plan.js';
import { EmulatedBody } from './emulated-body.js';
import type { PublishedSnapshot } from './emulated-entries.js';
import { EmulatedEndpoint } from './emulated-endpoint.js';
import { EmulatedLink } from './emulated-link.js';
import { EmulatedProcessor, type ProcessorCosts } from './emulated-processor.js';
import { EmulatedRelay, type RelayFleet } from './emulated-relay.js';
import type { EmulatedReply } from './emulated-reply.js';
import { PeerWatch } from './peer-watch.js';
import type { PolicySettings } from './policy-settings.js';
import type { ReceivingNode } from './received-call.js';

/** An address for all nodes: nothing connects to it. */
const HOST = '127.0.0.1';
const PORT = 1;
/** The region of all machines. */
export const REGION = 'r1';
/** Time between two looks for peers that are silent, in milliseconds. */
const LOOK_INTERVAL_MS = 150;
/** Time after which a slot is free whose connection was closed, in milliseconds. */
const CLOSE_NOTICE_MS = 20;

/** The endpoint beside a node. */
export interface EndpointShape {
  /** 0 if there is no endpoint. */
  readonly slots: number;
  readonly speed: number;
}

/** What a node is made of. */
export interface EmulatedNodeOptions {
  readonly name: string;
  readonly zone: string;
  readonly endpoint: EndpointShape;
  readonly linkBytesPerMs: number;
  readonly processorCosts: ProcessorCosts;
  readonly clock: VirtualScheduler;
  readonly random: RandomSource;
  readonly settings: PolicySettings;
  readonly fleet: NodeFleet;
}

/** What a node needs of the fleet. */
export interface NodeFleet extends RelayFleet {
  /** What a node knows when it starts. */
  readonly published: PublishedSnapshot;
  readonly routes: RouteTable;
  readonly nodeCount: number;
  readonly machineIds: Iterable<string>;
  readonly lateAnswers: LateAnswers;
  /** An attempt is made. */
  readonly attempted: () => void;
  /** An endpoint got an attempt. */
  readonly reached: (requestId: string) => void;
  /** An endpoint has answered an attempt. */
  readonly answered: (status: number) => void;
}

/** One request that a node is to run. */
export interface NodeRequest {
  readonly request: PlannedRequest;
  /** Unique in the run. */
  readonly id: string;
  readonly deadlineAtMs: number;
  /** Attempts after the first by the word of whoever makes the request. */
  readonly retries: number | undefined;
}

/** The machine. */
export class EmulatedNode {
  readonly name: string;
  readonly zone: string;
  readonly process: VirtualProcess;
  readonly processor: EmulatedProcessor;
  readonly link: EmulatedLink;
  readonly endpoint: EmulatedEndpoint;
  readonly relay: EmulatedRelay;
  receiver!: ReceivingNode;
  private services!: RequestServices;
  private gateway!: EndpointGateway;
  private known!: PublishedSnapshot;
  private watch!: PeerWatch;

  constructor(private readonly options: EmulatedNodeOptions) {
    const { name, clock, linkBytesPerMs, processorCosts, fleet } = options;
    const { slots, speed } = options.endpoint;
    this.name = name;
    this.zone = options.zone;
    this.process = new VirtualProcess(clock);
    this.processor = new EmulatedProcessor(clock, processorCosts);
    this.link = new EmulatedLink(clock, linkBytesPerMs);
    this.relay = new EmulatedRelay(this, fleet);
    this.endpoint = new EmulatedEndpoint({
      process: this.process,
      processor: this.processor,
      slots,
      speed,
      call: (request, parent, reply) => this.callFor(request, parent, reply),
      reached: fleet.reached,
      answered: fleet.answered,
    });
    this.start();
  }

  /** Begins a new life: nothing of the last one is kept. */
  start(): void {
    this.process.revive();
    this.known = this.options.fleet.published;
    const statements = new EndpointStatements();
    const gateway = this.createGateway(statements);
    this.gateway = gateway;
    const { process: scheduler } = this;
    this.receiver = { scheduler, gateway, credits: new CreditPool(scheduler) };
    this.watch = new PeerWatch((machine) => this.isReachable(machine));
    this.services = this.createServices(gateway, statements);
    this.lookLater(gateway);
  }

  /** A snapshot has arrived; if it is a later one, the gates of the endpoints on this machine are configured at once. */
  learn(published: PublishedSnapshot): void {
    if (this.process.isAlive && published.number > this.known.number) {
      this.known = published;
      this.configureGates();
    }
  }

  private get snapshot(): Snapshot {
    return this.known.snapshot;
  }

  private configureGates(): void {
    const listed = [...this.snapshot.endpointsByService.values()].flat();
    this.gateway.configureLocal(listed.filter(({ spec }) => spec.machine === this.name));
  }

  kill(): void {
    this.endpoint.die();
    this.process.kill();
  }

  /** Something arrived of a peer. */
  hear(machine: string): void {
    this.watch.heard(machine, this.process.now());
  }

  run({ request, id, deadlineAtMs, retries }: NodeRequest, reply: EmulatedReply): void {
    const { snapshot } = this;
    const { routes } = this.options.fleet;
    const target = `/${request.requestClass.name}/${request.id}`;
    const match = routes.match('', target, 'GET');
    if (match === undefined) {
      throw new Error(`no route for ${target}`);
    }
    const runner = new RequestRunner({
      services: this.services,
      snapshot,
      match,
      method: 'GET',
      target,
      headers: [],
      retries,
      response: reply,
      requestId: id,
      attemptPrefix: id,
      deadlineAtMs,
      callerDeadlineAtMs: deadlineAtMs,
    });
    runner.start(new EmulatedBody(request));
  }

  /** A call that the endpoint makes; it has to be over before the request that it is made for. */
  private callFor(request: PlannedRequest, parent: Call, reply: EmulatedReply): void {
    const ownDeadlineMs = this.process.now() + request.requestClass.deadlineMs;
    const deadlineAtMs = Math.min(ownDeadlineMs, parent.deadlineAtMs);
    const id = `${parent.requestId}/${request.id}`;
    this.run({ request, id, deadlineAtMs, retries: parent.retriesLeft }, reply);
  }

  private isReachable(machine: string): boolean {
    const peer = this.options.fleet.nodeOf(machine);
    return peer.process.isAlive && !peer.link.isSilent() && !this.link.isSilent();
  }

  private lookLater(gateway: EndpointGateway): void {
    this.process.schedule(LOOK_INTERVAL_MS, () => {
      this.watch.look(this.services.awaited, this.process.now());
      gateway.reconcile();
      this.lookLater(gateway);
    });
  }

  private createGateway(statements: EndpointStatements): EndpointGateway {
    const { limits } = this.options.settings;
    return new EndpointGateway({
      client: this.endpoint,
      statements,
      counters: { add: () => undefined },
      scheduler: this.process,
      maxQueuedPerEndpoint: limits.maxQueuedPerEndpoint,
      maxQueuedPerSlot: limits.maxQueuedPerSlot,
      keepsHeadroom: limits.keepsHeadroom,
      cancelLead: { ...limits, slotFreedAfterCloseMs: CLOSE_NOTICE_MS },
      logStateChange: () => undefined,
      snapshot: () => this.snapshot,
      coldShareFor: (endpoint) => this.services.coldShareFor(endpoint),
      slotsFor: (endpoint) => this.services.slotsFor(endpoint),
      rateShareFor: (endpoint) => this.services.rateShareFor(endpoint),
    });
  }

  private createServices(
    gateway: EndpointGateway,
    statements: EndpointStatements,
  ): RequestServices {
    const { name, zone, random, settings, fleet } = this.options;
    const place = { address: HOST, controlPort: PORT, relayPort: PORT, zone, region: REGION };
    return new RequestServices({
      identity: { id: name, incarnation: this.process.generation, ...place },
      members: {
        status: (machine) => (this.watch.isSilent(machine) ? 'leaving' : 'unknown'),
        relayAddress: () => ({ address: HOST, port: PORT }),
        count: () => fleet.nodeCount,
        machineIds: () => fleet.machineIds,
        recordResponse: (machine) => this.hear(machine),
      },
      snapshots: { current: () => this.snapshot },
      counters: { add: () => undefined },
      onLateAnswer: (service, times) => fleet.lateAnswers.record(service, times),
      random,
      scheduler: this.process,
      statements,
      limits: settings.limits,
      hopCost: settings.hopCost,
      direct: this.counted(gateway),
      relay: this.counted(this.relay),
    });
  }

  private counted(path: EndpointPath): EndpointPath {
    return {
      submit: (endpoint, call, observer) => {
        this.options.fleet.attempted();
        return path.submit(endpoint, call, observer);
      },
    };
  }
}
