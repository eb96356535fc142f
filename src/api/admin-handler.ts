/** Handles requests to the resource API: checks access, parses the request and executes it. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { SuspicionView } from '../containment/suspicion.js';
import type { CounterSink } from '../control/control-event.js';
import { VERDICT_HEADER, type Verdict } from '../model/verdict.js';
import type { AccessCheck } from './access-check.js';
import { API_COUNTERS, errorCounter } from './api-counters.js';
import { ApiError } from './api-error.js';
import { isWriteMethod, parseApiRequest, type ApiRequest } from './api-request.js';
import { sendError, sendJson, sendList } from './api-response.js';
import type { ConfigurationFeed } from './configuration-feed.js';
import type { StatusProvider } from './node-status.js';
import { readJsonBody } from './request-body.js';
import { representResource } from './resource-representation.js';
import { parseResourceBody, type ResourceWriter } from './resource-writer.js';
import type { WatchRegistry } from './watch-registry.js';
import type { WriteRequest } from './write-port.js';

/** Provides metrics in text format. */
export interface MetricsSource {
  readonly contentType: string;
  text(): Promise<string>;
}

export interface AdminHandlerOptions {
  readonly feed: ConfigurationFeed;
  readonly watches: WatchRegistry;
  readonly writer: ResourceWriter;
  readonly status: StatusProvider;
  readonly suspicions: SuspicionView;
  readonly metrics: MetricsSource;
  readonly counters: CounterSink;
  readonly checkAccess: AccessCheck;
  /** Maximum size of a write's body, in bytes. */
  readonly maxBodyBytes: number;
  /** Called with unexpected errors. */
  readonly onInternalError: (error: unknown) => void;
}

type ParsedWriteRequest = Extract<ApiRequest, { type: 'write' }>;

/** Request handler; holds no state between requests. */
export class AdminHandler {
  constructor(private readonly options: AdminHandlerOptions) {}

  /** Handles `request`; never rejects. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.options.counters.add(API_COUNTERS.requests);
    try {
      await this.dispatch(request, response);
    } catch (error) {
      this.sendFailure(request, response, error);
    }
  }

  private async dispatch(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { method = '', url = '', headers } = request;
    if (url !== '/healthz') {
      this.options.checkAccess(headers.authorization, isWriteMethod(method));
    }
    const parsed = parseApiRequest({ method, url, headers });
    switch (parsed.type) {
      case 'health':
        sendJson(response, 200, { status: 'ok' });
        return;
      case 'metrics':
        await this.sendMetrics(response);
        return;
      case 'status':
        sendJson(response, 200, { cursor: this.options.feed.cursor, ...this.options.status() });
        return;
      case 'suspicions':
        sendJson(response, 200, { items: this.options.suspicions.report() });
        return;
      case 'release':
        this.release(response, parsed.fingerprint);
        return;
      case 'list':
        await sendList(response, this.options.feed.cursor, this.options.feed.list(parsed.kind));
        return;
      case 'watch':
        this.options.watches.start(parsed.kind, parsed.from, response);
        return;
      case 'get':
        this.sendResource(response, parsed);
        return;
      case 'write':
        await this.write(request, response, parsed);
    }
  }

  private async sendMetrics(response: ServerResponse): Promise<void> {
    const text = await this.options.metrics.text();
    response.writeHead(200, { 'content-type': this.options.metrics.contentType });
    response.end(text);
  }

  private release(response: ServerResponse, fingerprint: string): void {
    if (!this.options.suspicions.release(fingerprint)) {
      throw new ApiError('NOT_FOUND', `no suspicion recorded for request ${fingerprint}`);
    }
    sendJson(response, 200, { released: fingerprint }, { [VERDICT_HEADER]: 'ran' });
  }

  private sendResource(
    response: ServerResponse,
    { key }: Extract<ApiRequest, { type: 'get' }>,
  ): void {
    const found = this.options.feed.find(key);
    if (found === undefined) {
      throw new ApiError('NOT_FOUND', `no such resource: ${key}`);
    }
    const headers = { etag: `"${found.version}"` };
    sendJson(response, 200, representResource(found.resource, found.version), headers);
  }

  private async write(
    request: IncomingMessage,
    response: ServerResponse,
    parsed: ParsedWriteRequest,
  ): Promise<void> {
    const accepted = await this.options.writer.write(await this.readWrite(request, parsed));
    this.options.counters.add(API_COUNTERS.writesAccepted);
    sendJson(response, 200, accepted, { [VERDICT_HEADER]: 'ran' });
  }

  private async readWrite(
    request: IncomingMessage,
    parsed: ParsedWriteRequest,
  ): Promise<WriteRequest> {
    const { kind, name, deletes, precondition } = parsed;
    if (deletes) {
      return { key: `${kind}/${name}`, resource: undefined, precondition };
    }
    const body = await readJsonBody(request, this.options.maxBodyBytes);
    const resource = parseResourceBody(kind, name, body);
    return { key: `${kind}/${name}`, resource, precondition };
  }

  private sendFailure(request: IncomingMessage, response: ServerResponse, error: unknown): void {
    if (response.headersSent || response.destroyed) {
      // The client has disconnected, or part of the answer has been sent: closing the connection is the
      // only way to show that the answer is incomplete.
      response.destroy();
      return;
    }
    const apiError = error instanceof ApiError ? error : this.internalError(error);
    const isWrite = isWriteMethod(request.method ?? '');
    const reportedError = isWrite ? apiError.withVerdict(verdictOf(error)) : apiError;
    this.options.counters.add(errorCounter(reportedError.code));
    if (!request.complete) {
      response.shouldKeepAlive = false;
    }
    sendError(response, reportedError);
  }

  private internalError(error: unknown): ApiError {
    this.options.onInternalError(error);
    return new ApiError('INTERNAL_ERROR', 'the request failed with an internal error');
  }
}

/**
 * Verdict of a failed write whose error carries none. An {@link ApiError} without a verdict is thrown
 * before the write is submitted; any other error may be thrown after that.
 */
function verdictOf(error: unknown): Verdict {
  return error instanceof ApiError ? 'not-run' : 'may-have-run';
}
