/** Follows the feed of one peer at a time. */
import http, { type ClientRequest, type IncomingMessage } from 'node:http';
import { decodeFeedMessage, MAX_MESSAGE_LENGTH, type FeedMessage } from './feed-message.js';
import { LineAssembler } from './line-assembler.js';

const OK_STATUS = 200;
/** Path of a node's feed, after which the follower's revision follows. */
export const FEED_PATH = '/feed/';

/** What a client needs of its node. */
export interface FeedClientOptions {
  /** Port that serves {@link FEED_PATH}, the same on every machine. */
  readonly port: number;
  readonly onMessage: (peer: string, message: FeedMessage) => void;
  /** Bytes came, or the head; `isPartial` while the end of a message is missing. */
  readonly onProgress: (peer: string, isPartial: boolean) => void;
  /** The feed could not be opened, or ended; not called after {@link FeedClient.close}. */
  readonly onEnd: (peer: string, reason: string) => void;
}

/** The client of one node. */
export class FeedClient {
  private request: ClientRequest | undefined;
  private openPeer: string | undefined;
  private unfinishedBytes = 0;
  private receivedBytes = 0;

  constructor(private readonly options: FeedClientOptions) {}

  /** Bytes that arrived of a message whose end is missing. */
  get partialBytes(): number {
    return this.unfinishedBytes;
  }

  /** Bytes of all feeds so far, messages that were never whole among them. */
  get totalBytes(): number {
    return this.receivedBytes;
  }

  /** The peer whose feed was opened last; undefined once it is closed. */
  get peer(): string | undefined {
    return this.openPeer;
  }

  /** Opens the feed of `peer` in place of the one that is open. */
  open(peer: string, revision: number): void {
    this.close();
    const { port } = this.options;
    const path = `${FEED_PATH}${revision}`;
    const request = http.get({ host: peer, port, path, agent: false });
    this.request = request;
    this.openPeer = peer;
    let reason = 'the peer closed it';
    request.on('error', (error) => {
      reason = error.message;
    });
    request.on('response', (message) => {
      if (message.statusCode === OK_STATUS) {
        this.follow(peer, request, message);
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

  /** Closes the open feed. */
  close(): void {
    const { request } = this;
    this.request = undefined;
    this.openPeer = undefined;
    this.unfinishedBytes = 0;
    request?.destroy();
  }

  private follow(peer: string, request: ClientRequest, message: IncomingMessage): void {
    const assembler = new LineAssembler();
    this.noteProgress(peer, request, 0);
    message.setEncoding('utf8');
    message.on('error', (error) => request.destroy(error));
    message.on('data', (chunk: string) => {
      this.receivedBytes += Buffer.byteLength(chunk);
      const lines = assembler.take(chunk);
      this.noteProgress(peer, request, assembler.partialBytes);
      for (const line of lines) {
        this.take(peer, request, line);
      }
      if (assembler.partialBytes > MAX_MESSAGE_LENGTH) {
        request.destroy(new Error('a line of the feed is too long'));
      }
    });
  }

  private noteProgress(peer: string, request: ClientRequest, unfinishedBytes: number): void {
    if (this.request === request) {
      this.unfinishedBytes = unfinishedBytes;
      this.options.onProgress(peer, unfinishedBytes > 0);
    }
  }

  private take(peer: string, request: ClientRequest, line: string): void {
    if (this.request !== request) {
      return;
    }
    const message = decodeFeedMessage(line);
    if (message === undefined) {
      request.destroy(new Error('a line of the feed can not be read'));
    } else {
      this.options.onMessage(peer, message);
    }
  }
}
