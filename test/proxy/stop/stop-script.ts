/** Scripts of events around a planned stop, and the invariants that must hold for every script. */
import { PlannedStop, type StopEffect, type StopEvent } from '../../../src/proxy/planned-stop.js';
import type { FakeExchange } from './fake-connection.js';
import {
  LIMITS,
  MAX_STOP_MS,
  StopWorld,
  type FakeAttempt,
  type WorldOptions,
} from './stop-world.js';

/** One event; `connection` is the index of a connection. */
export type Step =
  | { readonly type: 'stop' | 'accept' | 'link-silent' | 'next-bound' }
  | { readonly type: 'head' | 'body' | 'request' | 'cancel'; readonly connection: number }
  | { readonly type: 'send' | 'answer' | 'begin' | 'finish' | 'break' | 'refuse' }
  | { readonly type: 'wait'; readonly ms: number };

/** Decisions of the node that mutants replace. */
export interface StopBehavior {
  readonly createStop: () => PlannedStop;
  readonly isUnsent: (attempt: FakeAttempt) => boolean;
}

/** The decisions of the production code. */
export const PRODUCTION: StopBehavior = {
  createStop: () => new PlannedStop(LIMITS),
  isUnsent: ({ mayHaveRun }) => !mayHaveRun,
};

/** Runs the script to the end of the stop and returns the violated invariants. */
export function runScript(
  steps: readonly Step[],
  options: WorldOptions,
  { createStop, isUnsent }: StopBehavior = PRODUCTION,
): string[] {
  const world = new StopWorld(options, createStop(), isUnsent);
  return withVirtualTimers(world, () => {
    steps.forEach((step) => applyStep(world, step));
    world.beginStop();
    world.advance(MAX_STOP_MS + 100);
    return [...world.violations, ...findViolations(world)];
  });
}

/** Refused bodies use Node's timers: replaces these by timers in virtual time while `action` runs. */
function withVirtualTimers<T>(world: StopWorld, action: () => T): T {
  const { setTimeout: realSet, clearTimeout: realClear } = globalThis;
  const set = (run: () => void, ms: number): unknown => world.after(ms, run);
  const clear = (cancel: (() => void) | undefined): void => cancel?.();
  Object.assign(globalThis, { setTimeout: set, clearTimeout: clear });
  try {
    return action();
  } finally {
    Object.assign(globalThis, { setTimeout: realSet, clearTimeout: realClear });
  }
}

function applyStep(world: StopWorld, step: Step): void {
  switch (step.type) {
    case 'stop':
      return world.beginStop();
    case 'accept':
      return void world.accept();
    case 'link-silent':
      return world.suspectPeer();
    case 'next-bound':
      return world.advance(world.msToNextBound());
    case 'wait':
      return world.advance(step.ms);
    case 'head':
      return world.connections[step.connection]?.receiveHead();
    case 'body':
      return world.connections[step.connection]?.receiveBody();
    case 'request':
      world.connections[step.connection]?.receiveHead();
      return world.connections[step.connection]?.receiveBody();
    case 'cancel':
      return world.connections[step.connection]?.disconnectCaller();
    default:
      return world.applyEndpointStep(step.type);
  }
}

function findViolations(world: StopWorld): string[] {
  const { closedAtMs = Infinity, stoppedAtMs = 0 } = world;
  const violations = world.exchanges().flatMap((exchange) => violationsOf(world, exchange));
  if (closedAtMs - stoppedAtMs > MAX_STOP_MS) {
    violations.push(`the stop takes ${closedAtMs - stoppedAtMs} ms`);
  }
  if (world.attempts.some(({ startedAtMs }) => startedAtMs > closedAtMs)) {
    violations.push('an attempt begins after the close');
  }
  return violations;
}

function violationsOf(world: StopWorld, exchange: FakeExchange): string[] {
  const { id, response, followsLastAnswer, arrivedAtMs } = exchange;
  const attempts = world.attemptsOf(id);
  const violations: string[] = [];
  if (response.headCount > 1) {
    violations.push(`${id} is answered twice`);
  }
  if (followsLastAnswer) {
    return attempts.length > 0
      ? [...violations, `${id} runs although it follows the last answer`]
      : violations;
  }
  const refusesFromMs = (world.stoppedAtMs ?? Infinity) + LIMITS.stopAcceptMs;
  if (arrivedAtMs >= refusesFromMs && attempts.length > 0) {
    violations.push(`${id} is accepted after ${LIMITS.stopAcceptMs} ms`);
  }
  if (response.status === 503 && attempts.some(({ mayHaveRun }) => mayHaveRun)) {
    violations.push(`${id} is refused although it may have run`);
  }
  if (world.verdicts.get(id) === 'not-run' && attempts.some(({ mayHaveRun }) => mayHaveRun)) {
    violations.push(`${id} is reported as not-run although it may have run`);
  }
  if (!hasExpectedEnd(world, exchange)) {
    violations.push(`${id} ends without an answer`);
  }
  return violations;
}

/**
 * Whether the exchange ended in a permitted way: its response was sent completely, its caller disconnected, or
 * the endpoint never completed this response or an earlier one that had already begun and so can't be replaced.
 * A response that has begun may also remain unfinished while the request's body is incomplete.
 */
function hasExpectedEnd(world: StopWorld, exchange: FakeExchange): boolean {
  const { connection, response, message } = exchange;
  if (response.writableFinished || connection.hasCallerDisconnected) {
    return true;
  }
  const exchangesUpTo = connection.exchanges.slice(0, connection.exchanges.indexOf(exchange) + 1);
  const followsTruncatedAnswer = exchangesUpTo.some(
    (other) =>
      !other.response.writableFinished &&
      other.response.headersSent &&
      world.attemptsOf(other.id).some(({ stream }) => stream !== undefined && !stream.isComplete),
  );
  return followsTruncatedAnswer || (response.headersSent && !message.complete);
}

/** Faulty implementations, each named after its fault. */
export const MUTANTS: readonly (StopBehavior & { readonly name: string })[] = [
  {
    ...PRODUCTION,
    name: 'closes at the bound without answers',
    createStop: () =>
      new AlteredStop((effects) => effects.filter((effect) => effect !== 'give-up')),
  },
  {
    ...PRODUCTION,
    name: 'closes while requests are in flight',
    createStop: () =>
      new AlteredStop(undefined, (event) =>
        event.type === 'look' ? { ...event, inFlight: 0 } : event,
      ),
  },
  { ...PRODUCTION, name: 'refuses requests that were sent', isUnsent: () => true },
  {
    ...PRODUCTION,
    name: 'accepts requests until its end',
    createStop: () => new AcceptingStop(LIMITS),
  },
  {
    ...PRODUCTION,
    name: 'ends late',
    createStop: () => new PlannedStop({ ...LIMITS, stopAnswerMs: LIMITS.stopAnswerMs + 100 }),
  },
];

/** A stop with altered events or effects. */
class AlteredStop extends PlannedStop {
  constructor(
    private readonly alterEffects: (effects: StopEffect[]) => StopEffect[] = (effects) => effects,
    private readonly alterEvent: (event: StopEvent) => StopEvent = (event) => event,
  ) {
    super(LIMITS);
  }

  override handle(event: StopEvent, nowMs: number): StopEffect[] {
    return this.alterEffects(super.handle(this.alterEvent(event), nowMs));
  }
}

/** A stop that refuses nothing. */
class AcceptingStop extends PlannedStop {
  override refusesNewWork(): boolean {
    return false;
  }
}
