/**
 * One watch: a js-csp process that writes lines at the pace at which the client reads them. If the
 * client reads so slowly that its position is evicted from the change log, it must list again.
 */
import type { ServerResponse } from 'node:http';
import csp, { type Channel, type Process } from 'js-csp';
import type { ResourceKind } from '../model/resource.js';
import type { ChangeBatch } from './change-log.js';
import type { ConfigurationFeed } from './configuration-feed.js';
import type { VersionedResource } from './snapshot-difference.js';
import { upsertLine, watchLine, type EndEvent } from './watch-event.js';

/** Time limit for the client to receive the last line, in milliseconds. */
const END_LINE_TIMEOUT_MS = 1_000;

/** Reason for the end of a watch. */
export type WatchEnd = 'closed-by-client' | 'too-slow' | 'stopping';

export interface WatchStreamOptions {
  readonly feed: ConfigurationFeed;
  readonly kind: ResourceKind;
  /** Position in the log to resume from; undefined to send the current state first. */
  readonly from: number | undefined;
  readonly response: ServerResponse;
  /** Called once when the watch has ended. Must not throw. */
  readonly onEnd: (end: WatchEnd) => void;
}

/** A watch that runs until the client disconnects, falls behind or {@link stop} is called. */
export class WatchStream {
  /** Wakes the process when the log changed, the socket drained or the watch is to stop. */
  private readonly wakeups: Channel<true> = csp.chan(csp.buffers.sliding(1));
  private readonly unsubscribe: () => void;
  private stopping = false;
  private position: number;

  constructor(private readonly options: WatchStreamOptions) {
    const { feed, from, response } = options;
    this.position = from ?? feed.log.end;
    this.unsubscribe = feed.onChange(() => this.wake());
    response.on('drain', () => this.wake());
    response.on('close', () => this.wakeups.close());
    response.on('error', () => this.wakeups.close());
  }

  /** Starts the process; the response headers must have been written. */
  start(): void {
    const { feed, kind, from } = this.options;
    const state = from === undefined ? feed.list(kind) : undefined;
    csp.go(watchProcess, [this, state, feed.cursor]);
  }

  /** Ends the watch when the node stops. */
  stop(): void {
    this.stopping = true;
    this.wake();
  }

  /** Sends the current state if given, then changes, until the watch ends. */
  *run(state: Iterable<VersionedResource> | undefined, cursor: string): Process<WatchEnd> {
    if (state !== undefined) {
      for (const entry of state) {
        const end = yield* this.send(upsertLine(entry));
        if (end !== undefined) {
          return end;
        }
      }
      const end = yield* this.send(watchLine({ type: 'bookmark', cursor }));
      if (end !== undefined) {
        return end;
      }
    }
    return yield* this.sendChanges();
  }

  /** Ends the response, with a last line unless the client has disconnected. */
  finish(end: WatchEnd): void {
    this.unsubscribe();
    this.wakeups.close();
    const { response, onEnd } = this.options;
    if (end !== 'closed-by-client') {
      response.end(watchLine(endEvent(end)));
      const timer = setTimeout(() => response.destroy(), END_LINE_TIMEOUT_MS);
      response.on('close', () => clearTimeout(timer));
    }
    onEnd(end);
  }

  private *sendChanges(): Process<WatchEnd> {
    for (;;) {
      const entry = this.options.feed.log.read(this.position);
      if (entry === 'lost') {
        return 'too-slow';
      }
      const end = entry === 'at-end' ? yield* this.waitForWakeup() : yield* this.sendBatch(entry);
      if (end !== undefined) {
        return end;
      }
    }
  }

  private *sendBatch(batch: ChangeBatch): Process<WatchEnd | undefined> {
    for (const { kind, line } of batch.changes) {
      const end = kind === this.options.kind ? yield* this.send(line) : undefined;
      if (end !== undefined) {
        return end;
      }
    }
    this.position += 1;
    return yield* this.send(watchLine({ type: 'bookmark', cursor: batch.cursor }));
  }

  /** Writes a line and waits until the response's write buffer has drained. */
  private *send(line: string): Process<WatchEnd | undefined> {
    const { response, feed } = this.options;
    response.write(line);
    while (response.writableNeedDrain) {
      const end = yield* this.waitForWakeup();
      if (end !== undefined) {
        return end;
      }
      if (feed.log.read(this.position) === 'lost') {
        return 'too-slow';
      }
    }
    return undefined;
  }

  private *waitForWakeup(): Process<WatchEnd | undefined> {
    if (this.stopping) {
      return 'stopping';
    }
    const wakeup = (yield csp.take(this.wakeups)) as true | typeof csp.CLOSED;
    if (wakeup === csp.CLOSED) {
      return 'closed-by-client';
    }
    return this.stopping ? 'stopping' : undefined;
  }

  private wake(): void {
    if (!this.wakeups.isClosed()) {
      csp.offer(this.wakeups, true);
    }
  }
}

function* watchProcess(
  watch: WatchStream,
  state: Iterable<VersionedResource> | undefined,
  cursor: string,
): Process {
  const end = yield* watch.run(state, cursor);
  watch.finish(end);
}

function endEvent(end: Exclude<WatchEnd, 'closed-by-client'>): EndEvent {
  return end === 'too-slow'
    ? {
        type: 'end',
        code: 'TOO_SLOW',
        message: 'the client read too slowly and left the change history: list again',
      }
    : { type: 'end', code: 'STOPPING', message: 'the node is stopping: resume on another node' };
}
