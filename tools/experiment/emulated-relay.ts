/** The way of an attempt over the links of two machines, in place of the product's relay connections. */
import type { Endpoint } from '../../src/model/resource.js';
import type { Attempt, AttemptObserver, Call, EndpointPath } from '../../src/proxy/call.js';
import {
  ConnectionLostError,
  RelayedError,
  UnreachableError,
  type RequestError,
} from '../../src/proxy/request-error.js';
import { plannedOf } from './emulated-body.js';
import type { EmulatedNode } from './emulated-node.js';
import type { ProcessorWork } from './emulated-processor.js';
import { ReceivedCall } from './received-call.js';

/** Bytes of the head of a request or of an answer. */
const HEAD_BYTES = 250;
/** Bytes of a word on a request: credit, a cancellation, a failure. */
const WORD_BYTES = 40;
/** A body of up to this length, in bytes, goes with the head of its request. */
const MAX_INLINE_BODY_BYTES = 4 * 1024;
/** Time until a connection is refused, or found closed, in milliseconds. */
const RESET_MS = 1;

/** What the relay of one node needs of the fleet. */
export interface RelayFleet {
  readonly nodeOf: (machine: string) => EmulatedNode;
}

/** The relay of one node. */
export class EmulatedRelay implements EndpointPath {
  private readonly open = new Set<RelayExchange>();

  constructor(
    private readonly node: EmulatedNode,
    private readonly fleet: RelayFleet,
  ) {}

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    const peer = this.fleet.nodeOf(endpoint.spec.machine ?? '');
    const exchange = new RelayExchange(this.node, peer, call, observer, (over) => {
      this.open.delete(over);
    });
    this.open.add(exchange);
    exchange.send(endpoint);
    return exchange;
  }

  /** The process of a peer, or of this node, died. */
  died(node: EmulatedNode): void {
    for (const exchange of [...this.open]) {
      exchange.died(node);
    }
  }
}

/** One attempt; messages take the links of both machines. */
class RelayExchange implements Attempt {
  private received: ReceivedCall | undefined;
  private unsentBytes = 0;
  private isOver = false;
  private readonly peerLife: number;

  constructor(
    private readonly node: EmulatedNode,
    private readonly peer: EmulatedNode,
    private readonly call: Call,
    private readonly observer: AttemptObserver,
    private readonly onOver: (exchange: RelayExchange) => void,
  ) {
    this.peerLife = peer.process.generation;
  }

  send(endpoint: Endpoint): void {
    if (!this.peer.process.isAlive) {
      this.node.process.schedule(RESET_MS, () => this.fail(new UnreachableError('not running')));
      return;
    }
    const bodyBytes = plannedOf(this.call).uploadBytes;
    const inlineBytes = bodyBytes <= MAX_INLINE_BODY_BYTES ? bodyBytes : 0;
    this.unsentBytes = bodyBytes - inlineBytes;
    const { unsentBytes } = this;
    this.toPeer('attempt', HEAD_BYTES + inlineBytes, () => {
      this.received = this.receive(endpoint);
      this.received.start(unsentBytes);
    });
  }

  abort(): void {
    if (!this.isOver) {
      this.end();
      this.toPeer('other', WORD_BYTES, () => this.received?.abandon());
    }
  }

  isUnsent(): boolean {
    return this.unsentBytes > 0;
  }

  died(process: EmulatedNode): void {
    if (process === this.node) {
      this.abort();
    } else if (process === this.peer) {
      const error = this.isUnsent()
        ? new UnreachableError('the node is gone')
        : new ConnectionLostError('the connection was lost');
      this.node.process.schedule(RESET_MS, () => this.fail(error));
    }
  }

  private receive(endpoint: Endpoint): ReceivedCall {
    const { answerBytes } = plannedOf(this.call).requestClass;
    return new ReceivedCall(this.peer.receiver, endpoint, this.call, {
      granted: (bytes) => this.toNode('other', WORD_BYTES, () => this.sendBody(bytes)),
      answered: (answer) =>
        this.toNode('answer', HEAD_BYTES + answerBytes, () => {
          if (answer.body.kind === 'held') {
            this.end();
          }
          this.observer.answered(answer);
        }),
      failed: (error, load) =>
        this.toNode('refusal', WORD_BYTES, () => {
          this.end();
          this.observer.failed(new RelayedError(error, error.status, error.message), load);
        }),
    });
  }

  private sendBody(bytes: number): void {
    this.unsentBytes -= bytes;
    this.toPeer('other', bytes, () => this.received?.takeBody(bytes));
  }

  private fail(error: RequestError): void {
    if (!this.isOver) {
      this.end();
      this.observer.failed(error);
    }
  }

  private end(): void {
    this.isOver = true;
    this.onOver(this);
  }

  private toPeer(work: ProcessorWork, bytes: number, deliver: () => void): void {
    const { node, peer } = this;
    const arrive = peer.process.ofLife(this.peerLife, deliver);
    node.link.carry(peer.link, bytes, () => peer.processor.handle(work, arrive));
  }

  /** What comes after the end of the attempt is dropped. */
  private toNode(work: ProcessorWork, bytes: number, deliver: () => void): void {
    const { node, peer } = this;
    const arrive = node.process.ofLife(node.process.generation, () => {
      node.hear(peer.name);
      if (!this.isOver) {
        deliver();
      }
    });
    peer.link.carry(node.link, bytes, () => node.processor.handle(work, arrive));
  }
}
