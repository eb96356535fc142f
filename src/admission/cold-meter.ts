/**
 * How many requests a cold endpoint may still be sent: no more within any one second than its service
 * says, whatever came before that second. Answers the load of an endpoint that has just started, or has
 * been idle, and would fall over under the requests that it bears when it is warm. Pure: time is passed in.
 *
 * The bound is on all nodes together. It holds since one node sends, the one beside the endpoint: what an
 * earlier life of that node may have sent counts for a second as if it had used the whole bound.
 */
import type { ColdStart } from '../model/resource.js';

/** The second of the bound, and how much later than it was sent a request may arrive, in milliseconds. */
const WINDOW_MS = 1_100;
/** Requests that stay below the bound: what is under way in a pause of the process arrives after it. */
const RESERVED_REQUESTS = 2;
/** Time in which the rate rises after the endpoint has become warm, in milliseconds. */
const RAMP_MS = 1_000;
/** The rate at the end of that time, as a multiple of that of a cold endpoint. */
const RAMP_FACTOR = 4;

/** The requests of one node to one endpoint. */
export class ColdMeter {
  private coldStart: ColdStart | undefined;
  private share = 1;
  private coldUntilMs = -Infinity;
  /** When the latest requests were sent, in order. */
  private sentAtMs: number[] = [];

  /** `startedAtMs` is when this node began; what was sent before is not known. */
  constructor(private readonly startedAtMs: number) {}

  /** Until when the endpoint is cold, by the latest news. */
  get coldUntil(): number {
    return this.coldUntilMs;
  }

  /** Takes the service's terms, and the part of its bound that this node may use. */
  configure(coldStart: ColdStart | undefined, share: number): void {
    this.coldStart = coldStart;
    this.share = share;
  }

  /** Takes for how much longer the endpoint is cold: the newest word counts. */
  takeNews(coldForMs: number, nowMs: number): void {
    this.coldUntilMs = nowMs + coldForMs;
  }

  /** What the endpoint is may have changed unseen: it is taken for cold until something is heard. */
  presumeCold(nowMs: number): void {
    const durationMs = this.coldStart?.durationMs ?? 0;
    this.coldUntilMs = Math.max(this.coldUntilMs, nowMs + durationMs);
  }

  /** A request is sent. */
  sent(nowMs: number): void {
    this.forgetBefore(nowMs - WINDOW_MS);
    this.sentAtMs.push(nowMs);
  }

  /** Requests that may be sent now; Infinity for a warm endpoint. */
  roomAt(nowMs: number): number {
    const bound = this.boundAt(nowMs);
    if (bound === Infinity) {
      return Infinity;
    }
    if (nowMs < this.startedAtMs + WINDOW_MS) {
      return 0;
    }
    this.forgetBefore(nowMs - WINDOW_MS);
    return Math.max(0, bound - this.sentAtMs.length);
  }

  /** Time until `count` further requests may have been sent, at most; 0 for a warm endpoint. */
  waitMs(count: number, nowMs: number): number {
    const bound = this.boundAt(nowMs);
    if (bound === Infinity || count <= this.roomAt(nowMs)) {
      return 0;
    }
    if (bound === 0) {
      return Math.max(0, this.coldUntilMs - nowMs);
    }
    const fullWindows = Math.floor((count - 1) / bound);
    return this.untilRoomMs(nowMs) + fullWindows * WINDOW_MS;
  }

  /** Time until one request may be sent. */
  untilRoomMs(nowMs: number): number {
    if (this.roomAt(nowMs) > 0) {
      return 0;
    }
    const warmInMs = Math.max(0, this.coldUntilMs - nowMs);
    const oldest = this.sentAtMs[Math.max(0, this.sentAtMs.length - this.boundAt(nowMs))];
    const freeAtMs = Math.max(this.startedAtMs, oldest ?? -Infinity) + WINDOW_MS;
    return this.boundAt(nowMs) === 0 ? warmInMs : Math.max(1, freeAtMs - nowMs);
  }

  /** Requests within a window; Infinity once the endpoint is warm. */
  private boundAt(nowMs: number): number {
    if (this.coldStart === undefined || nowMs >= this.coldUntilMs + RAMP_MS) {
      return Infinity;
    }
    const whole = Math.max(1, Math.floor(this.coldStart.maxInSecond) - RESERVED_REQUESTS);
    const part = Math.floor(whole * this.share);
    const warmForMs = Math.max(0, nowMs - this.coldUntilMs);
    return Math.floor(part * (1 + (RAMP_FACTOR - 1) * (warmForMs / RAMP_MS)));
  }

  private forgetBefore(atMs: number): void {
    const firstKept = this.sentAtMs.findIndex((sentAtMs) => sentAtMs > atMs);
    this.sentAtMs.splice(0, firstKept < 0 ? this.sentAtMs.length : firstKept);
  }
}
