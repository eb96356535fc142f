/**
 * One node in a planned stop under a virtual clock: the product's decisions (the stop, the callers'
 * server and its connections, requests and their verdicts), with connections, endpoints and peers that
 * do what a script says.
 */
import { EventEmitter } from 'node:events';
import type { Readable } from 'node:stream';
import { createCallerProtocol } from '../../../platform/caller-protocol.js';
import type { Snapshot } from '../../../src/model/snapshot.js';
import type { Verdict } from '../../../src/model/verdict.js';
import { buildSnapshot, NO_SNAPSHOT_VERSION } from '../../../src/model/snapshot.js';
import { resourceSchema } from '../../../src/model/resource.js';
import type { Attempt, AttemptObserver, Call, EndpointPath } from '../../../src/proxy/call.js';
import { CallMeter } from '../../../src/proxy/call-meter.js';
import { BodyBufferBudget, receiveBody } from '../../../src/proxy/body-receiver.js';
import { NATIVE_CALLER_PROTOCOL } from '../../../src/proxy/caller-protocol.js';
import { CallerConnections } from '../../../src/proxy/caller-connections.js';
import {
  createCallerServer,
  type CallerRequest,
  type CallerResponse,
} from '../../../src/proxy/caller-server.js';
import type { PlannedStop, StopEffect, StopEvent } from '../../../src/proxy/planned-stop.js';
import { DEFAULT_PROXY_LIMITS } from '../../../src/proxy/proxy-limits.js';
import {
  ConnectionLostError,
  EndpointRefusedError,
  NodeStoppingError,
} from '../../../src/proxy/request-error.js';
import { RequestRunner } from '../../../src/proxy/request-runner.js';
import { RequestServices } from '../../../src/proxy/request-services.js';
import type { Scheduler } from '../../../src/proxy/scheduler.js';
import { RouteTable } from '../../../src/routing/route-table.js';
import { VirtualScheduler } from '../../../tools/emulator/virtual-scheduler.js';
import { echoEndpoint, echoService } from '../rig.js';
import { VIRTUAL_RELAY, virtualIdentity } from '../virtual-identity.js';
import { FakeConnection, type FakeExchange, type FakeMessage } from './fake-connection.js';

/** Bounds of the stop, in milliseconds. */
export const LIMITS = {
  stopNoticeMs: 60,
  stopQuietMs: 40,
  stopAcceptMs: 100,
  stopTimeoutMs: 300,
  stopAnswerMs: 250,
  stopCloseMs: 200,
};
/** When a stop is over at the latest, in milliseconds since it began. */
export const LONGEST_STOP_MS = LIMITS.stopTimeoutMs + LIMITS.stopAnswerMs + LIMITS.stopCloseMs;
/** Time between two looks of the stop, in milliseconds. */
const LOOK_MS = 20;
/** Longer than a stop takes: nothing but the stop ends what came before it. */
const TIMEOUT_MS = 2_000;
const CONNECTIONS = 2;
/** Its statuses promise by themselves that a request has not run. */
const PROMISING_PROTOCOL = createCallerProtocol('echo');

/** What varies between runs. */
export interface WorldOptions {
  readonly isRelayed: boolean;
  readonly isRepeatable: boolean;
  /** Time for which peers keep their connections open, in milliseconds. */
  readonly peersCloseMs: number;
}

/** One attempt at the endpoint. */
export interface FakeAttempt {
  readonly requestId: string;
  readonly beganAtMs: number;
  readonly observer: AttemptObserver;
  state: 'waiting' | 'sent' | 'answering' | 'over';
  /** Whether the endpoint got it and has not proved that it did not run. */
  mayHaveRun: boolean;
  stream?: EventEmitter & { isWhole?: boolean };
}

/** The node and all around it. */
export class StopWorld {
  readonly clock = new VirtualScheduler();
  readonly connections: FakeConnection[];
  /** In the listen backlog: not accepted yet. */
  readonly waiting: FakeConnection[];
  readonly attempts: FakeAttempt[] = [];
  readonly verdicts = new Map<string, Verdict>();
  readonly violations: string[] = [];
  closedAtMs: number | undefined;
  stoppedAtMs: number | undefined;
  private isListening = true;
  private readonly runners = new Set<RequestRunner>();
  /** The callers' sides of exchanges, by the request's id. */
  private readonly responses = new Map<string, CallerResponse>();
  private readonly meter = new CallMeter(() => this.clock.nowMs);
  private readonly heldBytes = new BodyBufferBudget(1_000_000);
  private readonly snapshot: Snapshot;
  private readonly services: RequestServices;
  private readonly scheduler: Scheduler = {
    now: () => this.clock.nowMs,
    schedule: (delayMs, action) => this.after(delayMs, action),
  };

  constructor(
    private readonly options: WorldOptions,
    private readonly stop: PlannedStop,
    private readonly saysUnsent: (attempt: FakeAttempt) => boolean,
  ) {
    const server = createCallerServer({
      protocol: {
        ...NATIVE_CALLER_PROTOCOL,
        errorAnswer: (error, verdict, requestId) => {
          this.verdicts.set(requestId, verdict);
          return PROMISING_PROTOCOL.errorAnswer(error, verdict, requestId);
        },
      },
      limits: DEFAULT_PROXY_LIMITS,
      isStopping: () => stop.isStopping,
      connections: new CallerConnections(undefined, (action) => action()),
      onError: () => undefined,
      handle: (request, response) => this.handle(request, response),
      nextRequestId: () => 'refused',
    });
    const connect = (name: string): FakeConnection =>
      new FakeConnection(server, () => this.clock.nowMs, name);
    this.connections = Array.from({ length: CONNECTIONS }, (_, index) => connect(`c${index}`));
    this.waiting = [connect('w')];
    const endpoints = ['e1', 'e2'].map((name, index) =>
      echoEndpoint(name, 1_000 + index, { machine: options.isRelayed ? 'n1' : 'n0' }),
    );
    const resources = [...echoService(), ...endpoints].map((one) => resourceSchema.parse(one));
    this.snapshot = buildSnapshot(NO_SNAPSHOT_VERSION, resources);
    this.services = this.createServices();
  }

  /** Lets time pass. */
  advance(ms: number): void {
    this.clock.runUntil(this.clock.nowMs + ms);
  }

  /** SIGTERM. */
  beginStop(): void {
    if (this.stoppedAtMs === undefined) {
      this.stoppedAtMs = this.clock.nowMs;
      this.handleStop({ type: 'stop' });
      this.lookLater();
    }
  }

  msToNextBound(): number {
    return Math.min(this.stop.msToNextBound(this.clock.nowMs), LONGEST_STOP_MS);
  }

  /** The system's connections are accepted. */
  accept(): number {
    const accepted = this.isListening ? this.waiting.splice(0) : [];
    this.connections.push(...accepted);
    return accepted.length;
  }

  /** Nothing is heard of the node beside the endpoints. */
  linkIsSilent(): void {
    const underWay = this.attempts.filter(({ state }) => state !== 'over');
    underWay.forEach(({ observer }) => observer.suspected?.({ silent: 'peer' }));
  }

  /** What the endpoint does with the oldest attempt that it can be done with. */
  endpoint(step: 'send' | 'answer' | 'begin' | 'finish' | 'break' | 'refuse'): void {
    const state = { send: 'waiting', finish: 'answering' }[step as string] ?? 'sent';
    const isMatch = (one: FakeAttempt): boolean =>
      one.state === state || (step === 'break' && one.state === 'answering');
    const attempt = this.attempts.find(isMatch);
    if (attempt !== undefined) {
      this.act(attempt, step);
    }
  }

  /** Every request that was read, on all connections. */
  exchanges(): FakeExchange[] {
    return this.connections.flatMap(({ exchanges }) => exchanges);
  }

  attemptsOf(id: string): FakeAttempt[] {
    return this.attempts.filter(({ requestId }) => requestId === id);
  }

  after(delayMs: number, action: () => void): () => void {
    let isCancelled = false;
    const run = (): void => {
      if (!isCancelled) {
        action();
      }
    };
    this.clock.schedule(this.clock.nowMs + Math.max(0, delayMs), { run });
    return () => {
      isCancelled = true;
    };
  }

  private act(attempt: FakeAttempt, step: string): void {
    switch (step) {
      case 'send':
        attempt.state = 'sent';
        attempt.mayHaveRun = true;
        return;
      case 'answer':
        attempt.state = 'over';
        return attempt.observer.answered({
          ...ANSWER,
          body: { kind: 'held', bytes: Buffer.from('whole') },
        });
      case 'begin':
        return this.beginAnswer(attempt);
      case 'refuse':
        attempt.state = 'over';
        attempt.mayHaveRun = false;
        return attempt.observer.failed(new EndpointRefusedError('no slot'));
      default:
        return this.endAnswer(attempt, step === 'finish');
    }
  }

  private beginAnswer(attempt: FakeAttempt): void {
    attempt.state = 'answering';
    const stream: FakeAttempt['stream'] = new EventEmitter();
    attempt.stream = Object.assign(stream, { pause: () => undefined, resume: () => undefined });
    const body = {
      kind: 'streamed',
      stream: stream as unknown as Readable,
      isComplete: () => stream.isWhole === true,
    } as const;
    attempt.observer.answered({ ...ANSWER, body });
    stream.emit('data', Buffer.from('part'));
  }

  private endAnswer(attempt: FakeAttempt, isWhole: boolean): void {
    const { stream } = attempt;
    attempt.state = 'over';
    if (stream === undefined) {
      attempt.observer.failed(new ConnectionLostError('the endpoint broke off'));
      return;
    }
    stream.isWhole = isWhole;
    stream.emit('close');
  }

  private handleStop(event: StopEvent): void {
    for (const effect of this.stop.handle(event, this.clock.nowMs)) {
      this.execute(effect);
    }
  }

  private lookLater(): void {
    if (this.stop.state === 'closed') {
      return;
    }
    this.after(Math.min(LOOK_MS, this.msToNextBound()), () => {
      const { inFlight, lastArrivalAtMs } = this.meter;
      this.handleStop({ type: 'look', inFlight, lastArrivalAtMs });
      this.lookLater();
    });
  }

  private execute(effect: StopEffect): void {
    switch (effect) {
      case 'shut-listeners': {
        const acceptedCount = this.accept();
        this.isListening = false;
        this.after(1, () => this.handleStop({ type: 'listeners-shut', acceptedCount }));
        return;
      }
      case 'give-up':
        [...this.runners].forEach((runner) => runner.giveUp());
        return;
      case 'close-idle':
        this.isListening = false;
        this.connections.filter(isIdle).forEach((connection) => connection.destroy());
        return;
      case 'close-peers':
        this.after(this.options.peersCloseMs, () => this.handleStop({ type: 'peers-closed' }));
        return;
      case 'close-all':
        this.closedAtMs = this.clock.nowMs;
        this.checkOwed();
        this.connections.forEach((connection) => connection.destroy());
    }
  }

  /** A connection is closed only when nothing that was read on it is owed an answer. */
  private checkOwed(): void {
    for (const { id, connection, response, cameBehindLast } of this.exchanges()) {
      // An answer that waits for its turn has been given, though Node's response has nothing of it yet.
      const isAnswered = this.responses.get(id)?.hasBegun() ?? response.headersSent;
      if (!connection.isClosed && !isAnswered && !cameBehindLast) {
        this.violations.push(`${id} is owed an answer as its connection is closed`);
      }
    }
  }

  /** As the node does it; what is decided is the product's. */
  private handle(request: CallerRequest, response: CallerResponse): void {
    const requestId = (request.message as unknown as FakeMessage).rawHeaders.at(-1) ?? '';
    this.responses.set(requestId, response);
    this.meter.count({ once: (_event, end) => response.onClose(end) });
    if (this.stop.refusesNewWork(this.clock.nowMs)) {
      response.fail(new NodeStoppingError('the node is about to stop'), 'not-run', requestId);
      return;
    }
    const match = new RouteTable(this.snapshot).match('', '/', 'POST');
    if (match === undefined) {
      throw new Error('no route');
    }
    const runner = new RequestRunner({
      services: this.services,
      snapshot: this.snapshot,
      match: { ...match, repeatable: this.options.isRepeatable },
      method: 'POST',
      target: '/',
      headers: [],
      retries: undefined,
      response,
      requestId,
      attemptPrefix: requestId,
      deadlineAtMs: this.stop.deadlineWithin(this.clock.nowMs + TIMEOUT_MS),
    });
    this.runners.add(runner);
    response.onClose(() => this.runners.delete(runner));
    if (this.stop.givesUp(this.clock.nowMs)) {
      runner.giveUp();
      return;
    }
    const message = request.message;
    receiveBody(message, DEFAULT_PROXY_LIMITS, this.heldBytes, (body) => runner.start(body));
  }

  private submit(call: Call, observer: AttemptObserver): Attempt {
    const attempt: FakeAttempt = {
      requestId: call.requestId.replace(/\.\d+$/, ''),
      beganAtMs: this.clock.nowMs,
      observer,
      state: 'waiting',
      mayHaveRun: false,
    };
    this.attempts.push(attempt);
    return {
      abort: () => {
        attempt.state = 'over';
      },
      isUnsent: () => this.saysUnsent(attempt),
    };
  }

  private createServices(): RequestServices {
    const path: EndpointPath = {
      submit: (_endpoint, call, observer) => this.submit(call, observer),
    };
    return new RequestServices({
      identity: virtualIdentity('n0'),
      members: {
        status: () => 'alive',
        relayAddress: () => VIRTUAL_RELAY,
        count: () => 2,
      },
      counters: { add: () => undefined },
      random: () => 0.5,
      scheduler: this.scheduler,
      limits: DEFAULT_PROXY_LIMITS,
      isStopping: () => this.stop.isStopping,
      direct: path,
      relay: path,
    });
  }
}

const ANSWER = { status: 200, headers: [], contentLength: undefined, load: undefined };

/** Whether Node counts the connection as idle: it has had a request, and none waits for its answer. */
function isIdle({ exchanges }: FakeConnection): boolean {
  return exchanges.length > 0 && exchanges.every(({ response }) => response.writableFinished);
}
