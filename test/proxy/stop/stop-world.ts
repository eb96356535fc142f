/**
 * One node in a planned stop under a virtual clock. The production code decides (the stop, the callers'
 * server and its connections, requests and their verdicts); a script controls connections, endpoints and peers.
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

/** Time limits of the stop, in milliseconds. */
export const LIMITS = {
  stopNoticeMs: 60,
  stopQuietMs: 40,
  stopAcceptMs: 100,
  stopTimeoutMs: 300,
  stopAnswerMs: 250,
  stopCloseMs: 200,
};
/** Maximum duration of a stop, in milliseconds. */
export const MAX_STOP_MS = LIMITS.stopTimeoutMs + LIMITS.stopAnswerMs + LIMITS.stopCloseMs;
/** Interval at which the stop checks the requests in flight, in milliseconds. */
const CHECK_INTERVAL_MS = 20;
/** Request timeout, longer than a stop: only the stop ends requests that arrived before it. */
const TIMEOUT_MS = 2_000;
const CONNECTIONS = 2;
/** A protocol in which the status alone guarantees that a request has not run. */
const NOT_RUN_PROTOCOL = createCallerProtocol('echo');

/** Options that vary between runs. */
export interface WorldOptions {
  readonly isRelayed: boolean;
  readonly isRepeatable: boolean;
  /** Time for which peers keep their connections open once the node closes them, in milliseconds. */
  readonly peersCloseMs: number;
}

/** One attempt at the endpoint. */
export interface FakeAttempt {
  readonly requestId: string;
  readonly startedAtMs: number;
  readonly observer: AttemptObserver;
  state: 'waiting' | 'sent' | 'answering' | 'over';
  /** Whether the endpoint received it and has not proved that it did not run. */
  mayHaveRun: boolean;
  stream?: EventEmitter & { isComplete?: boolean };
}

/** The node with its callers, endpoints and peers. */
export class StopWorld {
  readonly clock = new VirtualScheduler();
  readonly connections: FakeConnection[];
  /** Connections in the listen backlog, not accepted yet. */
  readonly backlog: FakeConnection[];
  readonly attempts: FakeAttempt[] = [];
  readonly verdicts = new Map<string, Verdict>();
  readonly violations: string[] = [];
  closedAtMs: number | undefined;
  stoppedAtMs: number | undefined;
  private isListening = true;
  private readonly runners = new Set<RequestRunner>();
  /** Responses to callers, by request id. */
  private readonly responses = new Map<string, CallerResponse>();
  private readonly meter = new CallMeter(() => this.clock.nowMs);
  private readonly bufferBudget = new BodyBufferBudget(1_000_000);
  private readonly snapshot: Snapshot;
  private readonly services: RequestServices;
  private readonly scheduler: Scheduler = {
    now: () => this.clock.nowMs,
    schedule: (delayMs, action) => this.after(delayMs, action),
  };

  constructor(
    private readonly options: WorldOptions,
    private readonly stop: PlannedStop,
    private readonly isUnsent: (attempt: FakeAttempt) => boolean,
  ) {
    const server = createCallerServer({
      protocol: {
        ...NATIVE_CALLER_PROTOCOL,
        errorAnswer: (error, verdict, requestId) => {
          this.verdicts.set(requestId, verdict);
          return NOT_RUN_PROTOCOL.errorAnswer(error, verdict, requestId);
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
    this.backlog = [connect('w')];
    const endpoints = ['e1', 'e2'].map((name, index) =>
      echoEndpoint(name, 1_000 + index, { machine: options.isRelayed ? 'n1' : 'n0' }),
    );
    const resources = [...echoService(), ...endpoints].map((resource) =>
      resourceSchema.parse(resource),
    );
    this.snapshot = buildSnapshot(NO_SNAPSHOT_VERSION, resources);
    this.services = this.createServices();
  }

  advance(ms: number): void {
    this.clock.runUntil(this.clock.nowMs + ms);
  }

  /** Begins the stop, as SIGTERM does. */
  beginStop(): void {
    if (this.stoppedAtMs === undefined) {
      this.stoppedAtMs = this.clock.nowMs;
      this.handleStop({ type: 'stop' });
      this.scheduleCheck();
    }
  }

  msToNextBound(): number {
    return Math.min(this.stop.msToNextBound(this.clock.nowMs), MAX_STOP_MS);
  }

  /** Accepts the connections in the listen backlog, and returns their number. */
  accept(): number {
    const accepted = this.isListening ? this.backlog.splice(0) : [];
    this.connections.push(...accepted);
    return accepted.length;
  }

  /** Reports the node on the endpoints' machine as unresponsive. */
  suspectPeer(): void {
    const pending = this.attempts.filter(({ state }) => state !== 'over');
    pending.forEach(({ observer }) => observer.suspected?.({ silent: 'peer' }));
  }

  /** Applies the step to the oldest attempt in a matching state. */
  applyEndpointStep(step: 'send' | 'answer' | 'begin' | 'finish' | 'break' | 'refuse'): void {
    const state = { send: 'waiting', finish: 'answering' }[step as string] ?? 'sent';
    const isMatch = (attempt: FakeAttempt): boolean =>
      attempt.state === state || (step === 'break' && attempt.state === 'answering');
    const attempt = this.attempts.find(isMatch);
    if (attempt !== undefined) {
      this.applyTo(attempt, step);
    }
  }

  /** All requests that were read, on all connections. */
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

  private applyTo(attempt: FakeAttempt, step: string): void {
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
    attempt.stream = Object.assign(stream, {
      pause: () => undefined,
      resume: () => undefined,
      isPaused: () => false,
    });
    const body = {
      kind: 'streamed',
      stream: stream as unknown as Readable,
      isComplete: () => stream.isComplete === true,
    } as const;
    attempt.observer.answered({ ...ANSWER, body });
    stream.emit('data', Buffer.from('part'));
  }

  private endAnswer(attempt: FakeAttempt, isComplete: boolean): void {
    const { stream } = attempt;
    attempt.state = 'over';
    if (stream === undefined) {
      attempt.observer.failed(new ConnectionLostError('the endpoint closed the connection'));
      return;
    }
    stream.isComplete = isComplete;
    stream.emit('close');
  }

  private handleStop(event: StopEvent): void {
    for (const effect of this.stop.handle(event, this.clock.nowMs)) {
      this.execute(effect);
    }
  }

  private scheduleCheck(): void {
    if (this.stop.state === 'closed') {
      return;
    }
    this.after(Math.min(CHECK_INTERVAL_MS, this.msToNextBound()), () => {
      const { inFlight, lastArrivalAtMs } = this.meter;
      this.handleStop({ type: 'look', inFlight, lastArrivalAtMs });
      this.scheduleCheck();
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
        this.checkUnanswered();
        this.connections.forEach((connection) => connection.destroy());
    }
  }

  /** Records a violation for every request that was read and is still unanswered when its connection is closed. */
  private checkUnanswered(): void {
    for (const { id, connection, response, followsLastAnswer } of this.exchanges()) {
      // An answer queued behind earlier ones counts as given, although nothing was written to Node's response yet.
      const isAnswered = this.responses.get(id)?.hasBegun() ?? response.headersSent;
      if (!connection.isClosed && !isAnswered && !followsLastAnswer) {
        this.violations.push(`${id} is unanswered when its connection is closed`);
      }
    }
  }

  /** Handles a request as the node does; the production code makes the decisions. */
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
    receiveBody(message, DEFAULT_PROXY_LIMITS, this.bufferBudget, (body) => runner.start(body));
  }

  private submit(call: Call, observer: AttemptObserver): Attempt {
    const attempt: FakeAttempt = {
      requestId: call.requestId.replace(/\.\d+$/, ''),
      startedAtMs: this.clock.nowMs,
      observer,
      state: 'waiting',
      mayHaveRun: false,
    };
    this.attempts.push(attempt);
    return {
      abort: () => {
        attempt.state = 'over';
      },
      isUnsent: () => this.isUnsent(attempt),
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
        machineIds: () => [],
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

/** Whether Node counts the connection as idle: it has received requests, and all have been answered. */
function isIdle({ exchanges }: FakeConnection): boolean {
  return exchanges.length > 0 && exchanges.every(({ response }) => response.writableFinished);
}
