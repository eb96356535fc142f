/** A peer that exchanges frames with the relay port of a node under test. */
import http from 'node:http';
import type { Socket } from 'node:net';
import {
  RelayConnection,
  type RelayConnectionObserver,
} from '../../src/proxy/relay/relay-connection.js';
import type { RelayFrame, RequestFrame } from '../../src/proxy/relay/relay-frame.js';
import { RELAY_PROTOCOL, RELAY_TOKEN_HEADER } from '../../src/proxy/relay/relay-protocol.js';

/** Result of opening a relay connection. */
export type OpenResult =
  | { readonly kind: 'open'; readonly sender: RelaySender }
  | { readonly kind: 'refused'; readonly status: number };

/** Opens a relay connection, authenticated by `token` if it is given. */
export function openRelay(port: number, token: string | undefined): Promise<OpenResult> {
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

/** The sending end of a relay connection. */
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

  /** Sends a request without a body and returns its stream ID. */
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
      knownMaxRatePerKs: undefined,
      priority: 0,
      workClass: '',
      targetLeftMs: undefined,
      startLeftMs: undefined,
      slotWishLeftMs: undefined,
      offerId: undefined,
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

  /** Waits for the answer or failure frame of a stream. */
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
