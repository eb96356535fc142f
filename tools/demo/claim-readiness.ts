/** Waits until the fleet takes requests with idempotency keys: its claim holders are all new. */
import { setTimeout as delay } from 'node:timers/promises';
import { CallClient, type CallRequest } from '../shared/call-client.js';
import type { NodeProcess } from './fleet.js';

const RETRY_MS = 200;
const GIVE_UP_MS = 3_000;

/**
 * Sends orders with keys of their own to `node` until one is served. Resolves with the time that
 * took, in milliseconds, or with undefined after `timeoutMs`.
 */
export async function waitForClaims(
  node: NodeProcess,
  service: string,
  timeoutMs: number,
): Promise<number | undefined> {
  const client = new CallClient(1);
  const startedAtMs = performance.now();
  try {
    for (let order = 1; performance.now() - startedAtMs < timeoutMs; order += 1) {
      const { end } = await client.send(node.caller, probe(service, `claim-probe-${order}`));
      if (end.type === 'answered' && end.status === 200) {
        return performance.now() - startedAtMs;
      }
      await delay(RETRY_MS);
    }
    return undefined;
  } finally {
    client.close();
  }
}

function probe(service: string, key: string): CallRequest {
  return {
    callId: key,
    method: 'POST',
    path: `/${service}/${key}`,
    idempotencyKey: key,
    bodyBytes: 0,
    workMs: 1,
    answerBytes: 0,
    deadlineMs: GIVE_UP_MS,
    giveUpMs: GIVE_UP_MS,
  };
}
