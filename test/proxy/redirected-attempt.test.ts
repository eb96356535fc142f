/**
 * A request whose first endpoint refuses it at once, while it is being submitted, and that goes on to
 * another one.
 *
 * What happens: the refusal begins the second attempt before `submit` of the first has returned. When it
 * returns, the runner keeps the first attempt, which is over, as the one under way. Whether the request
 * has left the node, and what is to be aborted, is then asked of the wrong attempt: at the deadline or at
 * a planned stop the caller is told that a request has not run which an endpoint is working on.
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

/** A node whose own endpoint refuses at once, and a peer whose endpoint works on all that it gets. */
class RedirectWorld {
  readonly told: string[] = [];
  readonly runner: RequestRunner;
  atPeer = 0;
  abortedAtPeer = 0;
  closeCaller: (isWhole: boolean) => void = () => undefined;
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
        answer: ({ status }) => this.told.push(`${status}`),
        fail: ({ status }, verdict) => this.told.push(`${status} ${verdict}`),
        breakConnection: () => this.told.push('broken'),
        hasBegun: () => false,
        onClose: (action) => {
          this.closeCaller = action;
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
        this.atPeer += 1;
        return { abort: () => (this.abortedAtPeer += 1), isUnsent: () => false };
      },
    };
    return new RequestServices({
      identity: { id: 'n1', zone: 'z1', region: 'r1' } as never,
      members: {
        status: () => 'alive',
        relayAddress: () => ({ address: '127.0.0.1', port: 1 }),
        count: () => 2,
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

describe('a request that its first endpoint refuses while it is submitted', () => {
  it('is told at the deadline that it may have run where the second endpoint has it', () => {
    const world = new RedirectWorld();
    expect(world.atPeer).to.equal(1);
    world.advance(DEADLINE_MS);
    expect(world.told).to.deep.equal(['504 may-have-run']);
  });

  it('is told by a node that stops that it may have run where the second endpoint has it', () => {
    const world = new RedirectWorld();
    world.runner.giveUp();
    expect(world.told).to.deep.equal(['502 may-have-run']);
  });

  it('is aborted at the second endpoint when its caller goes away', () => {
    const world = new RedirectWorld();
    world.closeCaller(false);
    expect(world.abortedAtPeer).to.equal(1);
  });
});
