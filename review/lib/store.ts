/**
 * A stand-in for the platform's store: lists with pages, and watches that wait for changes. Reads with `stale=1` may be
 * behind it.
 */
import { once } from 'node:events';
import http, { type IncomingMessage, type ServerResponse } from 'node:http';

const MAX_PAGE_ITEMS = 500;
const MAX_WAIT_MS = 30_000;

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

interface Removal {
  readonly key: string;
  readonly revision: number;
  readonly gone: true;
}

/** A change and when it was acknowledged. */
interface Change {
  readonly atMs: number;
  readonly event: Item | Removal;
}

interface Watch {
  readonly prefix: string;
  readonly after: number;
  readonly isStale: boolean;
  readonly response: ServerResponse;
  timer?: NodeJS.Timeout;
}

export class Store {
  private revision = 1;
  private readonly items = new Map<string, Item>();
  private readonly changes: Change[] = [];
  private readonly watches = new Set<Watch>();
  private readonly server = http.createServer((request, response) => this.take(request, response));

  /** Reads with `stale=1` are behind by `staleLagMs`. */
  constructor(private readonly staleLagMs = 0) {}

  async listen(address: string, port: number): Promise<void> {
    this.server.listen(port, address);
    await once(this.server, 'listening');
  }

  put(key: string, value: unknown): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const bytes = Buffer.from(text).toString('base64');
    const item = { key, value: bytes, revision: this.revision, created, lease: 0 };
    this.items.set(key, item);
    this.change(item);
  }

  remove(key: string): void {
    if (this.items.delete(key)) {
      this.revision += 1;
      this.change({ key, revision: this.revision, gone: true });
    }
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private change(event: Item | Removal): void {
    this.changes.push({ atMs: Date.now(), event });
    this.answerWatches();
    setTimeout(() => this.answerWatches(), this.staleLagMs);
  }

  private answerWatches(): void {
    [...this.watches].forEach((watch) => this.answerWatch(watch));
  }

  /** The changes that a read sees, in order. */
  private changesSeen(isStale: boolean): (Item | Removal)[] {
    const untilMs = Date.now() - (isStale ? this.staleLagMs : 0);
    return this.changes.filter(({ atMs }) => atMs <= untilMs).map(({ event }) => event);
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? '', 'http://store');
    response.setHeader('Content-Type', 'application/json');
    if (url.pathname === '/kv-range') {
      this.answerList(url.searchParams, response);
    } else if (url.pathname === '/kv-watch') {
      this.beginWatch(url.searchParams, response);
    } else {
      response.statusCode = 404;
      response.end('{}');
    }
  }

  private answerList(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('pathPrefix') ?? '';
    const after = query.get('after') ?? '';
    const seen = this.changesSeen(query.get('stale') === '1');
    const items = new Map<string, Item>();
    for (const event of seen) {
      if ('gone' in event) {
        items.delete(event.key);
      } else {
        items.set(event.key, event);
      }
    }
    const matching = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const page = matching.slice(0, MAX_PAGE_ITEMS);
    const hasMore = matching.length > page.length;
    response.end(JSON.stringify({ items: page, hasMore, at: seen.at(-1)?.revision ?? 1 }));
  }

  private beginWatch(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('pathPrefix') ?? '';
    const isStale = query.get('stale') === '1';
    const watch: Watch = { prefix, after: Number(query.get('after')), isStale, response };
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('waitMs')));
    watch.timer = setTimeout(() => this.answerWatch(watch, true), waitMs);
    response.once('close', () => this.forget(watch));
    this.watches.add(watch);
    this.answerWatch(watch);
  }

  private answerWatch(watch: Watch, isDue = false): void {
    const seen = this.changesSeen(watch.isStale);
    const events = seen.filter(
      ({ key, revision }) => revision > watch.after && key.startsWith(watch.prefix),
    );
    if (events.length > 0 || isDue) {
      this.forget(watch);
      const at = Math.max(watch.after, seen.at(-1)?.revision ?? 1);
      watch.response.end(JSON.stringify({ events, at }));
    }
  }

  private forget(watch: Watch): void {
    clearTimeout(watch.timer);
    this.watches.delete(watch);
  }
}
