/** Paths between virtual processes: to endpoints, and to the nodes on their machines. */
import { EventEmitter } from 'node:events';
import type { Readable } from 'node:stream';
import type { Endpoint } from '../../../src/model/resource.js';
import type {
  Answer,
  Attempt,
  AttemptObserver,
  Call,
  EndpointPath,
} from '../../../src/proxy/call.js';
import type {
  CancelOutcome,
  EndpointObserver,
  EndpointConnector,
} from '../../../src/proxy/endpoint-client.js';
import type { Exchange } from '../../../src/proxy/http-exchange.js';
import {
  ConnectionLostError,
  RelayedError,
  UnreachableError,
} from '../../../src/proxy/request-error.js';
import type { SlotListener } from '../../../src/proxy/waiting/slot-offer.js';
import { CRASHING_TARGET, type RequestWorld, type VirtualNode } from './request-world.js';

/** A body stream that carries no bytes. */
class VirtualStream extends EventEmitter {
  complete = false;

  resume(): this {
    return this;
  }

  isPaused(): boolean {
    return false;
  }
}

/** An answer whose body ends when {@link VirtualAnswer.end} is called. */
export class VirtualAnswer {
  readonly answer: Answer;
  private readonly stream = new VirtualStream();

  constructor(content: string) {
    this.answer = {
      status: 200,
      headers: ['content', content],
      body: {
        kind: 'streamed',
        stream: this.stream as unknown as Readable,
        isComplete: () => this.stream.complete,
      },
      contentLength: 1,
      load: undefined,
    };
  }

  end(isComplete: boolean): void {
    this.stream.complete = isComplete;
    this.stream.emit('close');
  }
}

/** Calls `action` when the answer's body ends, with whether it is complete. */
export function onBodyEnd({ body }: Answer, action: (isComplete: boolean) => void): void {
  if (body.kind === 'held') {
    action(true);
  } else {
    body.stream.once('close', () => action(body.isComplete()));
  }
}

/** Sends requests of one node directly to endpoints. */
export class VirtualEndpointPort implements EndpointConnector {
  constructor(
    private readonly world: RequestWorld,
    private readonly node: VirtualNode,
  ) {}

  send(endpoint: Endpoint, call: Call, remainingMs: number, observer: EndpointObserver): Exchange {
    const { world, node } = this;
    world.checkDispatch(endpoint.name, call, node);
    const target = world.endpoint(endpoint.name);
    const answers: VirtualAnswer[] = [];
    let state: 'connecting' | 'sent' | 'settled' = 'connecting';
    let wasSent = false;
    const settle = (action: () => void): void => {
      if (state !== 'settled') {
        state = 'settled';
        action();
      }
    };
    const connection = world.connect(
      node.process,
      target.process,
      () => {
        answers.forEach((answer) => answer.end(false));
        settle(() => observer.failed('lost'));
      },
      () => target.connectionClosed(call.requestId),
    );
    const transmit = (): void => {
      if (state === 'settled') {
        return;
      }
      if (!target.process.isAlive) {
        settle(() => observer.failed('never-sent'));
        return;
      }
      wasSent = true;
      const request = {
        call: callOf(call),
        attempt: call.requestId,
        remainingMs,
        isCrashing: call.target === CRASHING_TARGET,
        sender: `${node.identity} ${endpoint.spec.bornAtMs ?? ''}`,
      };
      connection.toServer(() => {
        target.receive(request, {
          answer: (content) => {
            const { maxRatePerS, isLeaving } = target;
            world.answerStated(call, endpoint.name);
            connection.toClient(() => {
              const answer = new VirtualAnswer(content);
              answers.push(answer);
              settle(() => {
                observer.stated?.({ rateLimit: { kind: 'stated', maxRatePerS }, isLeaving });
                observer.answered(answer.answer);
              });
            });
          },
          endAnswer: (isComplete) => connection.toClient(() => answers[0]?.end(isComplete)),
          refuse: (draining) =>
            connection.toClient(() => {
              settle(() => observer.refused({ inFlight: 0, slots: 0, draining }, undefined, false));
            }),
          dropConnection: () => connection.cut(false, true),
        });
      });
    };
    if (world.random() < 0.7) {
      transmit();
    } else {
      node.process.schedule(world.delayMs(), transmit);
    }
    return {
      wasSent: () => wasSent,
      abort: () => {
        state = 'settled';
        connection.close();
        answers.forEach((answer) => answer.end(false));
      },
    };
  }

  cancel(
    endpoint: Endpoint,
    requestId: string,
    timeoutMs: number,
    report: (outcome: CancelOutcome) => void,
  ): void {
    const { world, node } = this;
    const target = world.endpoint(endpoint.name);
    let isReported = false;
    const settle = (outcome: CancelOutcome): void => {
      if (!isReported) {
        isReported = true;
        report(outcome);
      }
    };
    node.process.schedule(timeoutMs, () => settle('unconfirmed'));
    if (!target.process.isAlive) {
      node.process.schedule(1, () => settle('unconfirmed'));
      return;
    }
    const connection = world.connect(
      node.process,
      target.process,
      () => settle('unconfirmed'),
      () => undefined,
    );
    connection.toServer(() => {
      const outcome = target.cancel(requestId);
      connection.toClient(() => settle(outcome));
    });
  }

  probeDraining(endpoint: Endpoint, report: (isDraining: boolean | undefined) => void): void {
    const target = this.world.endpoint(endpoint.name);
    const isAnswered = target.process.isAlive && !target.process.isFrozen;
    this.node.process.schedule(1, () => report(isAnswered ? target.isDraining : undefined));
  }

  probeListening(endpoint: Endpoint, report: (isListening: boolean | undefined) => void): void {
    const target = this.world.endpoint(endpoint.name);
    this.node.process.schedule(1, () => report(target.process.isAlive));
  }
}

/** Relays requests of one node to the nodes on the endpoints' machines. */
export class VirtualRelay implements EndpointPath {
  /** Receive the slots that a node offers, by its identity. */
  private readonly listeners = new Map<string, SlotListener>();

  constructor(
    private readonly world: RequestWorld,
    private readonly node: VirtualNode,
  ) {}

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    const { world, node } = this;
    const peer = world.nodeOf(endpoint.spec.machine ?? '');
    let forwarded: VirtualAnswer | undefined;
    let isSettled = false;
    let relayed: Attempt | undefined;
    const settle = (action: () => void): void => {
      if (!isSettled) {
        isSettled = true;
        action();
      }
    };
    if (!peer.process.isAlive) {
      node.process.schedule(1, () => settle(() => observer.failed(new UnreachableError('dead'))));
      return { abort: () => settle(() => undefined), isUnsent: () => true };
    }
    const connection = world.connect(
      node.process,
      peer.process,
      () => {
        forwarded?.end(false);
        settle(() => observer.failed(new ConnectionLostError('lost')));
      },
      () => relayed?.abort(),
    );
    const remainingMs = call.deadlineAtMs - node.process.now();
    const { slotWish } = call;
    const listener = this.listenerTo(peer);
    connection.toServer(() => {
      const deadlineAtMs = peer.process.now() + remainingMs;
      const { knownMaxRatePerS } = call;
      if (knownMaxRatePerS !== undefined) {
        peer.gateway.rateLimitReported(endpoint, knownMaxRatePerS);
      }
      relayed = peer.gateway.submit(
        endpoint,
        { ...call, deadlineAtMs, ...(slotWish && { slotWish: { ...slotWish, listener } }) },
        {
          answered: (answer) => {
            connection.toClient(() => {
              const forwardedAnswer = new VirtualAnswer(answer.headers[1] ?? '');
              forwarded = forwardedAnswer;
              settle(() => observer.answered({ ...forwardedAnswer.answer, load: answer.load }));
            });
            onBodyEnd(answer, (isComplete) =>
              connection.toClient(() => forwarded?.end(isComplete)),
            );
          },
          failed: (error, load) => {
            connection.toClient(() => {
              settle(() =>
                observer.failed(new RelayedError(error, error.status, error.message), load),
              );
            });
          },
        },
      );
    });
    return {
      abort: () => {
        isSettled = true;
        connection.close();
        forwarded?.end(false);
      },
      isUnsent: () => false,
    };
  }

  /** Offers and their answers may be late or overtake each other. */
  private listenerTo(peer: VirtualNode): SlotListener {
    const { world, node } = this;
    const key = `${peer.identity} ${node.identity}`;
    const listener: SlotListener = this.listeners.get(key) ?? {
      slotOffered: (offer) => {
        const decline = (): void => {
          const run = (): void => peer.gateway.slotDeclined(offer, listener);
          peer.process.schedule(world.delayMs(), run);
        };
        node.process.schedule(world.delayMs(), () => {
          if (!node.services.useOffer(offer)) {
            decline();
          }
        });
      },
    };
    this.listeners.set(key, listener);
    return listener;
  }
}

/** Returns the id of the caller's request that an attempt belongs to: the attempt's id without its number. */
export function callOf(call: Pick<Call, 'requestId'>): string {
  return call.requestId.replace(/\.[0-9]+$/, '');
}
