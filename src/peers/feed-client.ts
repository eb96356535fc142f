/** Receives the feed of one peer at a time. */
import http, { type ClientRequest, type IncomingMessage } from 'node:http';
import { boundResponse } from '../wire/bounded-response.js';
import { decodeFeedMessage, MAX_MESSAGE_LENGTH, type FeedMessage } from './feed-message.js';
import { LineAssembler } from './line-assembler.js';

const OK_STATUS = 200;
/** Path prefix of a node's feed; the follower's revision is appended. */
export const FEED_PATH = '/feed/';

/** Options of a {@link FeedClient}. */
export interface FeedClientOptions {
  /** Port that serves {@link FEED_PATH}, the same on every machine. */
  readonly port: number;
  readonly onMessage: (peer: string, message: FeedMessage) => void;
  /** Called when the response head or bytes arrive; `isPartial` if the last message is incomplete. */
  readonly onProgress: (peer: string, isPartial: boolean) => void;
  /** Called when the feed could not be opened or has ended, but not after {@link FeedClient.close}. */
  readonly onEnd: (peer: string, reason: string) => void;
}

/** The feed client of one node. */
export class FeedClient {
  private request: ClientRequest | undefined;
  private openPeer: string | undefined;
  private unfinishedBytes = 0;
  private receivedBytes = 0;

  constructor(private readonly options: FeedClientOptions) {}

  /** Bytes received of an incomplete message. */
  get partialBytes(): number {
    return this.unfinishedBytes;
  }

  /** Bytes received over all feeds, including those of messages that were never completed. */
  get totalBytes(): number {
    return this.receivedBytes;
  }

  /** The peer whose feed was opened last, or undefined after {@link close}. */
  get peer(): string | undefined {
    return this.openPeer;
  }

  /** Opens the feed of `peer` and closes the current one. */
  open(peer: string, revision: number): void {
    this.close();
    const { port } = this.options;
    const path = `${FEED_PATH}${revision}`;
    const request = http.get({ host: peer, port, path, agent: false });
    boundResponse(request);
    this.request = request;
    this.openPeer = peer;
    let reason = 'closed by the peer';
    request.on('error', (error) => {
      reason = error.message;
    });
    request.on('response', (message) => {
      if (message.statusCode === OK_STATUS) {
        this.readFeed(peer, request, message);
      } else {
        reason = `status ${message.statusCode ?? 0}`;
        request.destroy();
      }
    });
    request.on('close', () => {
      if (this.request === request) {
        this.request = undefined;
        this.options.onEnd(peer, reason);
      }
    });
  }

  close(): void {
    const { request } = this;
    this.request = undefined;
    this.openPeer = undefined;
    this.unfinishedBytes = 0;
    request?.destroy();
  }

  private readFeed(peer: string, request: ClientRequest, message: IncomingMessage): void {
    const assembler = new LineAssembler();
    this.recordProgress(peer, request, 0);
    message.setEncoding('utf8');
    message.on('error', (error) => request.destroy(error));
    message.on('data', (chunk: string) => {
      this.receivedBytes += Buffer.byteLength(chunk);
      const lines = assembler.push(chunk);
      this.recordProgress(peer, request, assembler.partialBytes);
      for (const line of lines) {
        this.handleLine(peer, request, line);
      }
      if (assembler.partialBytes > MAX_MESSAGE_LENGTH) {
        request.destroy(new Error(`feed message longer than ${MAX_MESSAGE_LENGTH} bytes`));
      }
    });
  }

  private recordProgress(peer: string, request: ClientRequest, unfinishedBytes: number): void {
    if (this.request === request) {
      this.unfinishedBytes = unfinishedBytes;
      this.options.onProgress(peer, unfinishedBytes > 0);
    }
  }

  private handleLine(peer: string, request: ClientRequest, line: string): void {
    if (this.request !== request) {
      return;
    }
    const message = decodeFeedMessage(line);
    if (message === undefined) {
      request.destroy(new Error('malformed feed message'));
    } else {
      this.options.onMessage(peer, message);
    }
  }
}
