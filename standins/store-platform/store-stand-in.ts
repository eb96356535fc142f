/** A stand-in for the platform's store: lists with pages, watches, lost history, and faults. */
import { once } from 'node:events';
import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** How the store misbehaves. */
export type StoreFault =
  | { readonly type: 'status'; readonly status: number }
  /** Calls are taken and never answered. */
  | { readonly type: 'silent' }
  /** Calls end with their connection. */
  | { readonly type: 'reset' }
  /** Calls are answered late. */
  | { readonly type: 'slow'; readonly delayMs: number };

/** A port of the store for one client, which the store may treat in another way than the others. */
export class StoreEntry {
  fault: StoreFault | undefined;

  constructor(private readonly server: Server) {}

  get port(): number {
    return portOf(this.server);
  }
}

/** A stored item; an undefined `value` marks a removal. */
export interface StoredItem {
  readonly key: string;
  readonly value: string | Buffer | undefined;
  readonly revision: number;
}

/** Snapshot of the store at one revision. */
export interface StoreBackup {
  readonly items: ReadonlyMap<string, StoredItem>;
  readonly revision: number;
}

interface WaitingWatch {
  readonly after: number;
  readonly isStale: boolean;
  readonly response: ServerResponse;
  /** Undefined for a client without an entry of its own. */
  readonly entry: StoreEntry | undefined;
  readonly timer: NodeJS.Timeout;
}

/** The store. */
export class StoreStandIn {
  /** Targets of the calls that were made, in order. */
  readonly calls: string[] = [];
  fault: StoreFault | undefined;
  /** Items on one page of a list. */
  pageSize = 500;
  /** Every call whose number is a multiple of this is refused; none is when 0. */
  refusedCallInterval = 0;
  /** Time by which watches are behind, in milliseconds. */
  watchLagMs = 0;
  /** Time by which reads with `stale=1` are behind, in milliseconds; lists and watches alike. */
  staleLagMs = 0;
  private items = new Map<string, StoredItem>();
  /** What the items were before each change, for reads that are behind. */
  private past: { readonly untilMs: number; readonly backup: StoreBackup }[] = [];
  private readonly watches = new Set<WaitingWatch>();
  private revision = 0;
  private historyFrom = 0;
  /** Value of the `Store-Era` response header; the header is omitted when undefined. */
  eraHeader: string | undefined = '0';
  private readonly server = http.createServer((request, response) =>
    this.handle(request, response),
  );
  private readonly entryServers: Server[] = [];

  /** Starts a store on `address`. */
  static async start(address = '127.0.0.1'): Promise<StoreStandIn> {
    const store = new StoreStandIn();
    store.server.listen(0, address);
    await once(store.server, 'listening');
    return store;
  }

  get port(): number {
    return portOf(this.server);
  }

  /** Opens a port for one client. */
  async openEntry(address = '127.0.0.1'): Promise<StoreEntry> {
    const server = http.createServer((request, response) => this.handle(request, response, entry));
    const entry = new StoreEntry(server);
    this.entryServers.push(server);
    server.listen(0, address);
    await once(server, 'listening');
    return entry;
  }

  /** Writes an item; objects are written as JSON, bytes as they are. */
  put(key: string, value: unknown): void {
    this.change(key, serializeValue(value));
  }

  /** Whether `key` has this value; undefined matches a missing or removed item. */
  hasValue(key: string, value: unknown): boolean {
    return this.items.get(key)?.value === (value === undefined ? undefined : serializeValue(value));
  }

  remove(key: string): void {
    this.change(key, undefined);
  }

  backup(): StoreBackup {
    return { items: new Map(this.items), revision: this.revision };
  }

  /** Restores a backup in a new era: later writes are lost, and their revisions are reissued. */
  restore({ items, revision }: StoreBackup): void {
    this.items = new Map(items);
    this.revision = revision;
    this.past = [];
    this.historyFrom = Math.min(this.historyFrom, revision);
    this.eraHeader = String(Number(this.eraHeader ?? 0) + 1);
    this.cutWatches();
  }

  /** Forgets what changed so far, and cuts the watches that wait. */
  compact(): void {
    this.historyFrom = this.revision;
    this.cutWatches();
  }

  /** Closes the connections of the watches that wait: all, or those of one client. */
  cutWatches(entry?: StoreEntry): void {
    for (const watch of this.watches) {
      if (entry === undefined || watch.entry === entry) {
        clearTimeout(watch.timer);
        watch.response.destroy();
        this.watches.delete(watch);
      }
    }
  }

  close(): void {
    this.cutWatches();
    for (const server of [this.server, ...this.entryServers]) {
      server.close();
      server.closeAllConnections();
    }
  }

  private change(key: string, value: string | Buffer | undefined): void {
    this.recordPast();
    this.revision += 1;
    this.items.set(key, { key, value, revision: this.revision });
    for (const watch of [...this.watches]) {
      this.answerLate(watch);
    }
  }

  private recordPast(): void {
    if (this.staleLagMs > 0) {
      const untilMs = Date.now();
      this.past = this.past.filter((one) => one.untilMs > untilMs - this.staleLagMs);
      this.past.push({ untilMs, backup: this.backup() });
      setTimeout(() => this.answerStaleWatches(), this.staleLagMs);
    }
  }

  /** The content that a read sees. */
  private seen(isStale: boolean): StoreBackup {
    const atMs = Date.now() - this.staleLagMs;
    const past = isStale ? this.past.find(({ untilMs }) => untilMs > atMs) : undefined;
    return past?.backup ?? this.backup();
  }

  private answerStaleWatches(): void {
    for (const watch of [...this.watches]) {
      if (watch.isStale && this.seen(true).revision > watch.after) {
        this.answerWatch(watch);
      }
    }
  }

  private answerLate(watch: WaitingWatch): void {
    if (this.seen(watch.isStale).revision <= watch.after) {
      return;
    }
    if (this.watchLagMs === 0) {
      this.answerWatch(watch);
    } else {
      setTimeout(() => this.watches.has(watch) && this.answerWatch(watch), this.watchLagMs);
    }
  }

  private handle(request: IncomingMessage, response: ServerResponse, entry?: StoreEntry): void {
    this.calls.push(request.url ?? '');
    if (this.eraHeader !== undefined) {
      response.setHeader('Store-Era', this.eraHeader);
    }
    const url = new URL(request.url ?? '', 'http://store');
    const fault = this.fault ?? entry?.fault ?? this.intervalFault();
    switch (fault?.type) {
      case 'status':
        response.writeHead(fault.status).end('{}');
        break;
      case 'silent':
        break;
      case 'reset':
        response.destroy();
        break;
      case 'slow':
        setTimeout(() => this.answer(url, response, entry), fault.delayMs);
        break;
      case undefined:
        this.answer(url, response, entry);
    }
  }

  private intervalFault(): StoreFault | undefined {
    const isRefused =
      this.refusedCallInterval > 0 && this.calls.length % this.refusedCallInterval === 0;
    return isRefused ? { type: 'status', status: 503 } : undefined;
  }

  private answer(url: URL, response: ServerResponse, entry: StoreEntry | undefined): void {
    if (url.pathname === '/kv-range') {
      this.answerList(url.searchParams, response);
    } else {
      this.beginWatch(url.searchParams, response, entry);
    }
  }

  private answerList(query: URLSearchParams, response: ServerResponse): void {
    const after = query.get('after') ?? '';
    const seen = this.seen(isStale(query));
    const existing = [...seen.items.values()]
      .filter(({ key, value }) => value !== undefined && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const items = existing.slice(0, this.pageSize).map(itemBody);
    const hasMore = existing.length > this.pageSize;
    response.end(JSON.stringify({ items, hasMore, at: seen.revision }));
  }

  private beginWatch(
    query: URLSearchParams,
    response: ServerResponse,
    entry: StoreEntry | undefined,
  ): void {
    const after = Number(query.get('after'));
    if (after < this.historyFrom || after > this.revision) {
      response.writeHead(410).end('{}');
      return;
    }
    const timer = setTimeout(() => this.answerWatch(watch), Number(query.get('waitMs')));
    const watch: WaitingWatch = { after, isStale: isStale(query), response, entry, timer };
    this.watches.add(watch);
    if (this.revision > after) {
      this.answerLate(watch);
    }
  }

  private answerWatch(watch: WaitingWatch): void {
    clearTimeout(watch.timer);
    this.watches.delete(watch);
    const seen = this.seen(watch.isStale);
    const events = [...seen.items.values()]
      .filter(({ revision }) => revision > watch.after)
      .sort((left, right) => left.revision - right.revision)
      .map(itemBody);
    watch.response.end(JSON.stringify({ events, at: Math.max(watch.after, seen.revision) }));
  }
}

function portOf(server: Server): number {
  return (server.address() as AddressInfo).port;
}

function isStale(query: URLSearchParams): boolean {
  return query.get('stale') === '1';
}

function serializeValue(value: unknown): string | Buffer {
  const isPlain = typeof value === 'string' || Buffer.isBuffer(value);
  return isPlain ? value : JSON.stringify(value);
}

function itemBody({ key, value, revision }: StoredItem): Record<string, unknown> {
  return value === undefined
    ? { key, revision, gone: true }
    : { key, revision, created: revision, lease: 0, value: Buffer.from(value).toString('base64') };
}
