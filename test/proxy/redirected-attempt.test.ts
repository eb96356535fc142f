/**
 * Guards against a request runner that tracks the wrong attempt when an endpoint refuses a request synchronously.
 * The refusal starts the second attempt before `submit` of the first has returned. If the runner then records the
 * first attempt, which has ended, as the current one, it consults that attempt to decide whether the request has
 * left the node and what to abort. At the deadline or at a planned stop, the caller gets the verdict `not-run` for
 * a request that an endpoint is processing.
 */
import { expect } from 'chai';
import { resourceSchema } from '../../src/model/resource.js';
import { buildSnapshot, NO_SNAPSHOT_VERSION } from '../../src/model/snapshot.js';
import type { EndpointPath } from '../../src/proxy/call.js';
import { DEFAULT_PROXY_LIMITS } from '../../src/proxy/proxy-limits.js';
import { EMPTY_BODY } from '../../src/proxy/request-body.js';
import { CannotFinishInTimeError } from '../../src/proxy/request-error.js';
import { RequestRunner } from '../../src/proxy/request-runner.js';
import { RequestServices } from '../../src/proxy/request-services.js';
import { RouteTable } from '../../src/routing/route-table.js';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';
import { echoEndpoint, echoService } from './rig.js';

const DEADLINE_MS = 500;

/** A node whose local endpoint refuses every request at once, and a peer whose endpoint accepts every request. */
class RedirectWorld {
  readonly outcomes: string[] = [];
  readonly runner: RequestRunner;
  submittedToPeer = 0;
  abortedAtPeer = 0;
  disconnectCaller: (isComplete: boolean) => void = () => undefined;
  private readonly clock = new VirtualScheduler();

  constructor() {
    const resources = [
      ...echoService(),
      echoEndpoint('e1', 1, { machine: 'n1' }),
      echoEndpoint('e2', 2, { machine: 'n2', zone: 'z2' }),
    ].map((resource) => resourceSchema.parse(resource));
    const snapshot = buildSnapshot(NO_SNAPSHOT_VERSION, resources);
    const match = new RouteTable(snapshot).match('', '/', 'POST');
    if (match === undefined) {
      throw new Error('no route');
    }
    this.runner = new RequestRunner({
      services: this.services(),
      snapshot,
      match,
      method: 'POST',
      target: '/',
      headers: [],
      retries: undefined,
      response: {
        answer: ({ status }) => this.outcomes.push(`${status}`),
        fail: ({ status }, verdict) => this.outcomes.push(`${status} ${verdict}`),
        breakConnection: () => this.outcomes.push('broken'),
        hasBegun: () => false,
        onClose: (action) => {
          this.disconnectCaller = action;
        },
      },
      requestId: 'r',
      attemptPrefix: 'r',
      deadlineAtMs: DEADLINE_MS,
    });
    this.runner.start(EMPTY_BODY);
  }

  advance(ms: number): void {
    this.clock.runUntil(this.clock.nowMs + ms);
  }

  private services(): RequestServices {
    const direct: EndpointPath = {
      submit: (_endpoint, _call, observer) => {
        observer.failed(new CannotFinishInTimeError('no slot in time', 50));
        return { abort: () => undefined, isUnsent: () => true };
      },
    };
    const relay: EndpointPath = {
      submit: () => {
        this.submittedToPeer += 1;
        return { abort: () => (this.abortedAtPeer += 1), isUnsent: () => false };
      },
    };
    return new RequestServices({
      identity: { id: 'n1', zone: 'z1', region: 'r1' } as never,
      members: {
        status: () => 'alive',
        relayAddress: () => ({ address: '127.0.0.1', port: 1 }),
        count: () => 2,
        machineIds: () => [],
      },
      counters: { add: () => undefined },
      random: () => 0.5,
      scheduler: {
        now: () => this.clock.nowMs,
        schedule: (delayMs, action) => {
          let isCancelled = false;
          const run = (): void => (isCancelled ? undefined : action());
          this.clock.schedule(this.clock.nowMs + delayMs, { run });
          return () => {
            isCancelled = true;
          };
        },
      },
      limits: { ...DEFAULT_PROXY_LIMITS, maxRedirects: 1 },
      direct,
      relay,
    });
  }
}

describe('a request that its first endpoint refuses during submission', () => {
  it('gets the verdict may-have-run at the deadline if the second endpoint has accepted it', () => {
    const world = new RedirectWorld();
    expect(world.submittedToPeer).to.equal(1);
    world.advance(DEADLINE_MS);
    expect(world.outcomes).to.deep.equal(['504 may-have-run']);
  });

  it('gets the verdict may-have-run from a stopping node if the second endpoint has accepted it', () => {
    const world = new RedirectWorld();
    world.runner.giveUp();
    expect(world.outcomes).to.deep.equal(['502 may-have-run']);
  });

  it('is aborted at the second endpoint when its caller disconnects', () => {
    const world = new RedirectWorld();
    world.disconnectCaller(false);
    expect(world.abortedAtPeer).to.equal(1);
  });
});
