/** Invariants of the request path: compares the outcomes that callers received with the executions at endpoints. */
import { SLOTS_PER_ENDPOINT, type CallRecord, type RequestWorld } from './request-world.js';

/** Time by which an answer may be late because of the node's own processing, in milliseconds. */
const DEADLINE_SLACK_MS = 1;
/** Time after the deadline within which an answer that has begun is completed or ended, in milliseconds. */
const ANSWER_SLACK_MS = 500;
/** Time within which the leave of a caller takes effect at the endpoints, in milliseconds. */
const LEAVE_TAKES_EFFECT_MS = 500;

/** Returns the first violated invariant, or undefined. */
export function findViolation(world: RequestWorld): string | undefined {
  const ran = new Map<string, number>();
  const effective = new Map<string, number>();
  for (const { call, hasEffect } of world.ledger) {
    ran.set(call, (ran.get(call) ?? 0) + 1);
    effective.set(call, (effective.get(call) ?? 0) + (hasEffect ? 1 : 0));
  }
  for (const call of world.calls) {
    const violation = violationOf(call, ran.get(call.id) ?? 0, effective.get(call.id) ?? 0, world);
    if (violation !== undefined) {
      return `${call.id} (${call.repeatable ? 'repeatable' : 'once'}): ${violation}`;
    }
  }
  return world.violations[0] ?? findConcurrencyViolation(world);
}

/**
 * Finds a request that reached an endpoint, or is still running there, half a second after its caller had left. Only for
 * worlds whose processes run and whose connections deliver.
 */
export function findAbandonedRun(world: RequestWorld): string | undefined {
  const { nowMs } = world.clock;
  const leftAtMs = new Map(world.calls.map(({ id, leftAtMs: atMs }) => [id, atMs]));
  const abandoned = world.ledger.find(({ call, startedAtMs, isRunning }) => {
    const dueAtMs = (leftAtMs.get(call) ?? Infinity) + LEAVE_TAKES_EFFECT_MS;
    return startedAtMs > dueAtMs || (isRunning && nowMs > dueAtMs);
  });
  return abandoned && `${abandoned.attempt} runs although its caller has left`;
}

/** Finds a call without an outcome, or a request still in flight, once no event is left to run. */
export function findUnsettled(world: RequestWorld): string | undefined {
  const unanswered = world.calls.find((call) => call.outcomes.length === 0);
  if (unanswered !== undefined) {
    return `${unanswered.id}: received no outcome`;
  }
  const busyNode = world.nodes.find(
    ({ process, gateway }) => process.isAlive && gateway.inFlight > 0,
  );
  return busyNode && `${busyNode.name}: ${busyNode.gateway.inFlight} requests still in flight`;
}

function violationOf(
  call: CallRecord,
  ran: number,
  effective: number,
  world: RequestWorld,
): string | undefined {
  const [outcome] = call.outcomes;
  if (call.outcomes.length > 1) {
    return `received more than one outcome: ${JSON.stringify(call.outcomes)}`;
  }
  if (isContainedWithoutCrash(call)) {
    return 'refused as contained although it crashes no endpoint';
  }
  if (!call.repeatable && effective > 1) {
    return `executed ${effective} times`;
  }
  if (outcome?.kind === 'error' && outcome.verdict === 'not-run' && effective > 0) {
    return `reported as not-run (${outcome.code}), executed ${effective} times`;
  }
  if (outcome?.kind === 'answer' && (ran === 0 || !outcome.content.startsWith(`${call.id}.`))) {
    return `received the answer ${outcome.content}, executed ${ran} times`;
  }
  return isLate(call, world) ? 'received no outcome by its deadline' : undefined;
}

function isContainedWithoutCrash({ outcomes: [outcome], isCrashing }: CallRecord): boolean {
  return outcome?.kind === 'error' && outcome.code === 'CONTAINED' && !isCrashing;
}

function isLate(call: CallRecord, world: RequestWorld): boolean {
  const mayHaveAnswer = world.ledger.some(({ call: id }) => id === call.id);
  const slackMs = mayHaveAnswer ? ANSWER_SLACK_MS : DEADLINE_SLACK_MS;
  const isDue = world.clock.nowMs > call.deadlineAtMs + slackMs;
  return isDue && call.outcomes.length === 0 && !call.node.process.isFrozen;
}

/**
 * Finds a process generation of a node that exceeded its share of an endpoint's slots; lost connections are no
 * excuse. Requests sent before the node learned that the endpoint had restarted do not count against the new
 * incarnation.
 */
function findConcurrencyViolation(world: RequestWorld): string | undefined {
  for (const [index, endpoint] of world.endpoints.entries()) {
    for (const [sender, count] of endpoint.peakConcurrency) {
      const isOwner = sender.startsWith(`n${index + 1}/`);
      if (count > (isOwner ? SLOTS_PER_ENDPOINT : 1)) {
        return `endpoint e${index + 1} ran ${count} requests of ${sender} at once`;
      }
    }
  }
  return undefined;
}
