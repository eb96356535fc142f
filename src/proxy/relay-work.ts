/** What the node beside the endpoint is told of a request's rank and times, as one header. */
import type { Call } from './call.js';

/** The part of a call that admission goes by. */
export type CallWork = Pick<Call, 'priority' | 'workClass' | 'targetAtMs' | 'startByMs'>;

const SEPARATOR = ';';
/** Longest class name that is taken, in characters. */
const MAX_CLASS_LENGTH = 128;

/** The header's value; times are sent as what is left of them. */
export function formatWork(work: CallWork, nowMs: number): string {
  const { priority, targetAtMs, startByMs, workClass } = work;
  const parts = [
    String(priority),
    leftText(targetAtMs, nowMs),
    leftText(startByMs, nowMs),
    workClass,
  ];
  return parts.join(SEPARATOR);
}

/** Reads the header's value; what is missing or malformed is left out. */
export function parseWork(text: string | undefined, nowMs: number): CallWork {
  const [priority = '', target = '', startBy = '', ...workClass] = (text ?? '').split(SEPARATOR);
  const targetAtMs = timeOf(target, nowMs);
  const startByMs = timeOf(startBy, nowMs);
  return {
    priority: /^[0-9]{1,12}$/.test(priority) ? Number(priority) : 0,
    workClass: workClass.join(SEPARATOR).slice(0, MAX_CLASS_LENGTH),
    ...(targetAtMs !== undefined && { targetAtMs }),
    ...(startByMs !== undefined && { startByMs }),
  };
}

function leftText(atMs: number | undefined, nowMs: number): string {
  return atMs === undefined ? '' : String(Math.round(atMs - nowMs));
}

function timeOf(text: string, nowMs: number): number | undefined {
  return /^-?[0-9]{1,9}$/.test(text) ? nowMs + Number(text) : undefined;
}
