/** A peer of a node under test that speaks frames to its relay port. */
import http from 'node:http';
import type { Socket } from 'node:net';
import {
  RelayConnection,
  type RelayConnectionObserver,
} from '../../src/proxy/relay/relay-connection.js';
import type { RelayFrame, RequestFrame } from '../../src/proxy/relay/relay-frame.js';
import { RELAY_PROTOCOL, RELAY_TOKEN_HEADER } from '../../src/proxy/relay/relay-protocol.js';

/** What became of the opening of a connection. */
export type Opening =
  | { readonly kind: 'open'; readonly sender: RelaySender }
  | { readonly kind: 'refused'; readonly status: number };

/** Opens a connection with the token. */
export function openRelay(port: number, token: string | undefined): Promise<Opening> {
  return new Promise((resolve, reject) => {
    const request = http.request({
      host: '127.0.0.1',
      port,
      agent: false,
      headers: {
        Connection: 'Upgrade',
        Upgrade: RELAY_PROTOCOL,
        ...(token !== undefined && { [RELAY_TOKEN_HEADER]: token }),
      },
    });
    request.once('upgrade', (_message, socket, head) => {
      resolve({ kind: 'open', sender: new RelaySender(socket, head) });
    });
    request.once('response', (message) => {
      message.resume();
      resolve({ kind: 'refused', status: message.statusCode ?? 0 });
    });
    request.once('error', reject);
    request.end();
  });
}

/** The connection. */
export class RelaySender {
  readonly received: RelayFrame[] = [];
  isClosed = false;
  private readonly connection: RelayConnection;
  private streamId = 0;

  constructor(
    readonly socket: Socket,
    head: Buffer,
  ) {
    const observer: RelayConnectionObserver = {
      received: (frames) => this.received.push(...frames),
      closed: () => {
        this.isClosed = true;
      },
    };
    this.connection = new RelayConnection(socket, head, observer);
  }

  /** Sends a request without a body; returns its stream. */
  request(fields: Partial<RequestFrame> = {}): number {
    this.streamId += 1;
    this.connection.send({
      kind: 'request',
      streamId: this.streamId,
      sentAtMs: Math.floor(performance.now()),
      requestId: `r${this.streamId}`,
      service: 'echo',
      endpoint: 'e1',
      method: 'GET',
      target: '/',
      headers: ['Host', 'a'],
      remainingMs: 1_000,
      retriesLeft: 0,
      priority: 0,
      workClass: '',
      targetLeftMs: undefined,
      startLeftMs: undefined,
      bodyForm: 'none',
      bodyBytes: 0,
      bytes: Buffer.alloc(0),
      ...fields,
    });
    return this.streamId;
  }

  send(frame: RelayFrame): void {
    this.connection.send(frame);
  }

  /** The answer or the failure of a stream. */
  async outcome(streamId: number): Promise<Extract<RelayFrame, { kind: 'answer' | 'failure' }>> {
    for (;;) {
      for (const frame of this.received) {
        const isOutcome = frame.kind === 'answer' || frame.kind === 'failure';
        if (isOutcome && frame.streamId === streamId) {
          return frame;
        }
      }
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  destroy(): void {
    this.connection.destroy();
  }
}
