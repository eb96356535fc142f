/** Scripts of what happens around a planned stop, and what must hold whichever runs. */
import { PlannedStop, type StopEffect, type StopEvent } from '../../../src/proxy/planned-stop.js';
import type { FakeExchange } from './fake-connection.js';
import {
  LIMITS,
  LONGEST_STOP_MS,
  StopWorld,
  type FakeAttempt,
  type WorldOptions,
} from './stop-world.js';

/** One thing that happens; those of connections name one by its index. */
export type Step =
  | { readonly type: 'stop' | 'accept' | 'link-silent' | 'next-bound' }
  | { readonly type: 'head' | 'body' | 'request' | 'cancel'; readonly connection: number }
  | { readonly type: 'send' | 'answer' | 'begin' | 'finish' | 'break' | 'refuse' }
  | { readonly type: 'wait'; readonly ms: number };

/** What a run is made of; tests exchange parts of it for wrong ones. */
export interface Parts {
  readonly createStop: () => PlannedStop;
  readonly saysUnsent: (attempt: FakeAttempt) => boolean;
}

/** The product's own decisions. */
export const PRODUCT: Parts = {
  createStop: () => new PlannedStop(LIMITS),
  saysUnsent: ({ mayHaveRun }) => !mayHaveRun,
};

/** Runs the script to the end of the stop; gives what was broken. */
export function runScript(
  steps: readonly Step[],
  options: WorldOptions,
  { createStop, saysUnsent }: Parts = PRODUCT,
): string[] {
  const world = new StopWorld(options, createStop(), saysUnsent);
  return withVirtualTimers(world, () => {
    steps.forEach((step) => take(world, step));
    world.beginStop();
    world.advance(LONGEST_STOP_MS + 100);
    return [...world.violations, ...findViolations(world)];
  });
}

/** The timer of refused bodies is Node's: it runs in the world's time meanwhile. */
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

function take(world: StopWorld, step: Step): void {
  switch (step.type) {
    case 'stop':
      return world.beginStop();
    case 'accept':
      return void world.accept();
    case 'link-silent':
      return world.linkIsSilent();
    case 'next-bound':
      return world.advance(world.msToNextBound());
    case 'wait':
      return world.advance(step.ms);
    case 'head':
      return world.connections[step.connection]?.head();
    case 'body':
      return world.connections[step.connection]?.body();
    case 'request':
      world.connections[step.connection]?.head();
      return world.connections[step.connection]?.body();
    case 'cancel':
      return world.connections[step.connection]?.callerLeaves();
    default:
      return world.endpoint(step.type);
  }
}

function findViolations(world: StopWorld): string[] {
  const { closedAtMs = Infinity, stoppedAtMs = 0 } = world;
  const found = world.exchanges().flatMap((exchange) => violationsOf(world, exchange));
  if (closedAtMs - stoppedAtMs > LONGEST_STOP_MS) {
    found.push(`the stop takes ${closedAtMs - stoppedAtMs} ms`);
  }
  if (world.attempts.some(({ beganAtMs }) => beganAtMs > closedAtMs)) {
    found.push('an attempt begins after the close');
  }
  return found;
}

function violationsOf(world: StopWorld, exchange: FakeExchange): string[] {
  const { id, response, cameBehindLast, arrivedAtMs } = exchange;
  const attempts = world.attemptsOf(id);
  const found: string[] = [];
  if (response.headCount > 1) {
    found.push(`${id} is answered twice`);
  }
  if (cameBehindLast) {
    return attempts.length > 0 ? [...found, `${id} runs behind the last answer`] : found;
  }
  const refusesFromMs = (world.stoppedAtMs ?? Infinity) + LIMITS.stopAcceptMs;
  if (arrivedAtMs >= refusesFromMs && attempts.length > 0) {
    found.push(`${id} is taken after ${LIMITS.stopAcceptMs} ms`);
  }
  if (response.status === 503 && attempts.some(({ mayHaveRun }) => mayHaveRun)) {
    found.push(`${id} is refused although it may have run`);
  }
  if (world.verdicts.get(id) === 'not-run' && attempts.some(({ mayHaveRun }) => mayHaveRun)) {
    found.push(`${id} is said not to have run although it may have`);
  }
  if (!hasItsEnd(world, exchange)) {
    found.push(`${id} ends without an answer`);
  }
  return found;
}

/**
 * Its answer went out in whole, or its caller left, or the answer before it, or its own, had begun and was
 * never finished by the endpoint: what began can't be replaced. The rest of a body may be missing.
 */
function hasItsEnd(world: StopWorld, exchange: FakeExchange): boolean {
  const { connection, response, message } = exchange;
  if (response.writableFinished || connection.isCallerGone) {
    return true;
  }
  const upToIt = connection.exchanges.slice(0, connection.exchanges.indexOf(exchange) + 1);
  const isBehindCutOne = upToIt.some(
    (one) =>
      !one.response.writableFinished &&
      one.response.headersSent &&
      world.attemptsOf(one.id).some(({ stream }) => stream !== undefined && !stream.isWhole),
  );
  return isBehindCutOne || (response.headersSent && !message.complete);
}

/** Wrong stops, and what each does. */
export const WRONG_PARTS: readonly (Parts & { readonly name: string })[] = [
  {
    ...PRODUCT,
    name: 'closes at the bound without answers',
    createStop: () => new FilteredStop((effects) => effects.filter((one) => one !== 'give-up')),
  },
  {
    ...PRODUCT,
    name: 'closes while requests are in flight',
    createStop: () =>
      new FilteredStop(undefined, (event) =>
        event.type === 'look' ? { ...event, inFlight: 0 } : event,
      ),
  },
  { ...PRODUCT, name: 'refuses what was sent', saysUnsent: () => true },
  { ...PRODUCT, name: 'takes requests to its end', createStop: () => new TakingStop(LIMITS) },
  {
    ...PRODUCT,
    name: 'ends late',
    createStop: () => new PlannedStop({ ...LIMITS, stopAnswerMs: LIMITS.stopAnswerMs + 100 }),
  },
];

/** A stop that does, or sees, something else than what is decided. */
class FilteredStop extends PlannedStop {
  constructor(
    private readonly filter: (effects: StopEffect[]) => StopEffect[] = (effects) => effects,
    private readonly seen: (event: StopEvent) => StopEvent = (event) => event,
  ) {
    super(LIMITS);
  }

  override handle(event: StopEvent, nowMs: number): StopEffect[] {
    return this.filter(super.handle(this.seen(event), nowMs));
  }
}

/** A stop that refuses nothing. */
class TakingStop extends PlannedStop {
  override refusesNewWork(): boolean {
    return false;
  }
}
