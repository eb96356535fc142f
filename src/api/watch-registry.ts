/** Admits, counts and ends the watches of a node. */
import type { ServerResponse } from 'node:http';
import type { CounterSink } from '../control/control-event.js';
import type { ResourceKind } from '../model/resource.js';
import { API_COUNTERS } from './api-counters.js';
import { ApiError } from './api-error.js';
import type { ConfigurationFeed } from './configuration-feed.js';
import { isAhead, parseCursor } from './cursor.js';
import { WatchStream, type WatchEnd } from './watch-stream.js';

/** Retry delay for a cursor that this node does not hold yet, in milliseconds. */
const LAGGING_RETRY_AFTER_MS = 1_000;
/** Retry delay for a watch refused because too many are open, in milliseconds. */
const TOO_MANY_RETRY_AFTER_MS = 5_000;

const END_COUNTERS: Readonly<Record<WatchEnd, string>> = {
  'closed-by-client': API_COUNTERS.watchesClosed,
  'too-slow': API_COUNTERS.watchesTooSlow,
  stopping: API_COUNTERS.watchesStopped,
};

export interface WatchRegistryOptions {
  readonly feed: ConfigurationFeed;
  readonly counters: CounterSink;
  /** Maximum number of open watches. */
  readonly maxWatchers: number;
}

/** All open watches of one node. */
export class WatchRegistry {
  private readonly openWatches = new Set<WatchStream>();

  constructor(private readonly options: WatchRegistryOptions) {}

  /** Number of open watches. */
  get size(): number {
    return this.openWatches.size;
  }

  /**
   * Opens a watch on `response` that resumes after `cursor`, or starts with the current state if there
   * is none. Throws {@link ApiError} before anything is written.
   */
  start(kind: ResourceKind, cursor: string | undefined, response: ServerResponse): void {
    const { feed, counters, maxWatchers } = this.options;
    const from = cursor === undefined ? undefined : this.positionOf(cursor);
    if (this.openWatches.size >= maxWatchers) {
      counters.add(API_COUNTERS.watchesRefused);
      const details = { retryAfterMs: TOO_MANY_RETRY_AFTER_MS };
      throw new ApiError('TOO_MANY_WATCHERS', `at most ${maxWatchers} watches`, details);
    }
    response.writeHead(200, {
      'content-type': 'application/x-ndjson',
      'cache-control': 'no-store',
    });
    response.flushHeaders();
    // A watch carries no traffic while nothing changes.
    response.socket?.setTimeout(0);
    const watch: WatchStream = new WatchStream({
      feed,
      kind,
      from,
      response,
      onEnd: (end) => {
        this.openWatches.delete(watch);
        counters.add(END_COUNTERS[end]);
      },
    });
    this.openWatches.add(watch);
    counters.add(API_COUNTERS.watchesOpened);
    watch.start();
  }

  /** Ends every watch when the node stops. */
  stop(): void {
    for (const watch of this.openWatches) {
      watch.stop();
    }
  }

  private positionOf(cursor: string): number {
    const numbers = parseCursor(cursor);
    if (numbers === undefined) {
      throw new ApiError('MALFORMED_REQUEST', 'from: expected the cursor of a list or bookmark');
    }
    const { feed, counters } = this.options;
    const position = feed.log.positionOf(cursor);
    if (position !== undefined) {
      return position;
    }
    if (isAhead(numbers, feed.heldVersion)) {
      const details = { retryAfterMs: LAGGING_RETRY_AFTER_MS };
      throw new ApiError('NOT_HELD_YET', 'this node does not hold that version yet', details);
    }
    counters.add(API_COUNTERS.watchesTooOld);
    throw new ApiError(
      'LIST_AGAIN',
      'the cursor is too old or belongs to another history: list again',
    );
  }
}
