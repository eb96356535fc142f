/** What must hold after every step: compares what callers were told with what truly ran. */
import { SLOTS, type CallRecord, type RequestWorld } from './request-world.js';

/** Time by which an answer may miss its deadline for the machine's own steps, in milliseconds. */
const DEADLINE_SLACK_MS = 1;

/** The first broken promise, or undefined. */
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
  return world.violations[0] ?? findOverrun(world);
}

/** What is left undone although nothing is left to happen: silent calls, slots that stay taken. */
export function findUnsettled(world: RequestWorld): string | undefined {
  const silent = world.calls.find((call) => call.told.length === 0);
  if (silent !== undefined) {
    return `${silent.id}: told nothing`;
  }
  const busy = world.nodes.find(({ process, gateway }) => process.isAlive && gateway.inFlight > 0);
  return busy && `${busy.name}: ${busy.gateway.inFlight} requests still in flight`;
}

function violationOf(
  call: CallRecord,
  ran: number,
  effective: number,
  world: RequestWorld,
): string | undefined {
  const [told] = call.told;
  if (call.told.length > 1) {
    return `told twice: ${JSON.stringify(call.told)}`;
  }
  if (isWronglyContained(call)) {
    return 'refused for ends that are not its doing';
  }
  if (!call.repeatable && effective > 1) {
    return `ran ${effective} times`;
  }
  if (told?.kind === 'error' && told.verdict === 'not-run' && effective > 0) {
    return `told not-run (${told.code}), ran ${effective} times`;
  }
  if (told?.kind === 'answer' && (ran === 0 || !told.content.startsWith(`${call.id}.`))) {
    return `got the answer ${told.content}, ran ${ran} times`;
  }
  return isLate(call, world) ? 'told nothing at its deadline' : undefined;
}

function isWronglyContained({ told: [told], isCrashing }: CallRecord): boolean {
  return told?.kind === 'error' && told.code === 'CONTAINED' && !isCrashing;
}

function isLate(call: CallRecord, world: RequestWorld): boolean {
  const isDue = world.clock.nowMs > call.deadlineAtMs + DEADLINE_SLACK_MS;
  const isAnswering = call.told.length > 0 || world.ledger.some(({ call: id }) => id === call.id);
  return isDue && !isAnswering && !call.node.process.isFrozen;
}

/**
 * Each life of a node keeps within its share, whatever happened to its connections. What was sent before the
 * node knew that the endpoint had started again does not count against the new incarnation.
 */
function findOverrun(world: RequestWorld): string | undefined {
  for (const [index, endpoint] of world.endpoints.entries()) {
    for (const [sender, count] of endpoint.peaks) {
      const isOwner = sender.startsWith(`n${index + 1}/`);
      if (count > (isOwner ? SLOTS : 1)) {
        return `endpoint e${index + 1} ran ${count} requests of ${sender} at once`;
      }
    }
  }
  return undefined;
}
