/** Callers of one deployment: a bounded open loop of reads and of orders that may run once. */
import { CallClient, type CallRequest } from '../shared/call-client.js';
import { isToldNotRun, type CallRecord } from '../shared/call-record.js';
import { startOpenLoop, type OpenLoop, type OpenLoopResult } from '../shared/open-loop.js';
import type { NodeProcess } from './fleet.js';

const MAX_OUTSTANDING = 400;
const MAX_CONNECTIONS_PER_NODE = 64;
/** A call is tried at so many nodes while no connection can be had. */
const MAX_NODES_TRIED = 4;
/** An order that was told "not run" is asked for again so often. */
const MAX_ORDER_ATTEMPTS = 3;
const ORDER_RETRY_DELAY_MS = 200;
const DEADLINE_MS = 3_000;
const GIVE_UP_MS = 6_000;
const MAX_WORK_MS = 12;
const MAX_SLOW_WORK_MS = 800;
/** One answer in so many is large. */
const LARGE_ANSWER_EVERY = 20;
const LARGE_ANSWER_BYTES = 60_000;
const SMALL_ANSWER_BYTES = 2_000;
const ORDER_BODY_BYTES = 700;
const SHARE_OF_READS = 0.6;
const SHARE_OF_KEYED_ORDERS = 0.2;

/** What to send where. */
export interface TrafficOptions {
  /** Unique start of call ids. */
  readonly name: string;
  readonly services: readonly string[];
  /** Nodes that take callers. */
  readonly edges: readonly NodeProcess[];
  readonly ratePerSecond: number;
  readonly durationMs: number;
  readonly random: () => number;
  /** Share of calls whose work is slow; none when absent. */
  readonly slowShare?: number;
}

/** One thing that a caller wants, perhaps over several calls. */
interface Wish {
  readonly id: string;
  readonly service: string;
  readonly repeatable: boolean;
  readonly idempotencyKey?: string;
  readonly home: number;
  readonly workMs: number;
  readonly answerBytes: number;
}

/** Callers at work. */
export class Traffic {
  readonly records: CallRecord[] = [];
  private readonly client = new CallClient(MAX_CONNECTIONS_PER_NODE);
  private readonly loop: OpenLoop;

  constructor(private readonly options: TrafficOptions) {
    const { ratePerSecond, durationMs, random } = options;
    this.loop = startOpenLoop({
      ratePerSecond,
      durationMs,
      maxOutstanding: MAX_OUTSTANDING,
      random,
      start: (index) => this.pursue(this.drawWish(index)),
    });
  }

  /** Ends arrivals and waits for the calls under way. */
  async finish(): Promise<OpenLoopResult> {
    this.loop.stop();
    const result = await this.loop.finished;
    this.client.close();
    return result;
  }

  private drawWish(index: number): Wish {
    const { random, services, edges, name } = this.options;
    const kind = random();
    const repeatable = kind < SHARE_OF_READS;
    const hasKey = !repeatable && kind < SHARE_OF_READS + SHARE_OF_KEYED_ORDERS;
    const id = `${name}-${index}`;
    return {
      id,
      service: pick(services, random),
      repeatable,
      ...(hasKey && { idempotencyKey: `order-${id}` }),
      home: Math.floor(random() * edges.length),
      workMs: Math.ceil(random() * (this.drawSlow() ? MAX_SLOW_WORK_MS : MAX_WORK_MS)),
      answerBytes: index % LARGE_ANSWER_EVERY === 0 ? LARGE_ANSWER_BYTES : SMALL_ANSWER_BYTES,
    };
  }

  private drawSlow(): boolean {
    const { slowShare = 0, random } = this.options;
    return slowShare > 0 && random() < slowShare;
  }

  /** Calls until the wish is settled: an order with a key is asked for again after "not run". */
  private async pursue(wish: Wish): Promise<void> {
    for (let attempt = 1; attempt <= MAX_ORDER_ATTEMPTS; attempt += 1) {
      const record = await this.call(wish, `${wish.id}-${attempt}`);
      this.records.push(record);
      if (wish.idempotencyKey === undefined || !isToldNotRun(record)) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, ORDER_RETRY_DELAY_MS));
    }
  }

  /** One call, at the home node or, where no connection can be had, at others in turn. */
  private async call(wish: Wish, callId: string): Promise<CallRecord> {
    const { edges } = this.options;
    let record = await this.callAt(this.edge(wish.home), wish, callId);
    const tries = Math.min(MAX_NODES_TRIED, edges.length);
    for (let next = 1; next < tries && record.end.type === 'not-sent'; next += 1) {
      record = await this.callAt(this.edge(wish.home + next), wish, callId);
    }
    return record;
  }

  private async callAt(node: NodeProcess, wish: Wish, callId: string): Promise<CallRecord> {
    const startedAt = Date.now();
    const startedAtMs = performance.now();
    const result = await this.client.send(node.caller, requestOf(wish, callId));
    const { service, repeatable, idempotencyKey } = wish;
    return {
      callId,
      service,
      repeatable,
      ...(idempotencyKey !== undefined && { idempotencyKey }),
      node: node.id,
      startedAt,
      latencyMs: performance.now() - startedAtMs,
      ...result,
    };
  }

  private edge(index: number): NodeProcess {
    const { edges } = this.options;
    const node = edges[index % edges.length];
    if (node === undefined) {
      throw new Error('there is no edge node');
    }
    return node;
  }
}

function requestOf(wish: Wish, callId: string): CallRequest {
  return {
    callId,
    method: wish.repeatable ? 'GET' : 'POST',
    path: `/${wish.service}/${wish.id}`,
    ...(wish.idempotencyKey !== undefined && { idempotencyKey: wish.idempotencyKey }),
    bodyBytes: wish.repeatable ? 0 : ORDER_BODY_BYTES,
    workMs: wish.workMs,
    answerBytes: wish.answerBytes,
    deadlineMs: DEADLINE_MS,
    giveUpMs: GIVE_UP_MS,
  };
}

function pick<Item>(items: readonly Item[], random: () => number): Item {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) {
    throw new Error('nothing to pick from');
  }
  return item;
}
