/** Sends attempts to the nodes that own the endpoints, over one connection to each node. */
import type { Endpoint } from '../../model/resource.js';
import type { Attempt, AttemptObserver, Call, EndpointPath } from '../call.js';
import { UnreachableError } from '../request-error.js';
import { keyOf, RelayLink, type RelayAddress, type RelayLinkOptions } from './relay-link.js';

export type { RelayAddress } from './relay-link.js';

/** Dependencies of the client on its node. */
export interface RelayClientOptions extends RelayLinkOptions {
  readonly addressOf: (endpoint: Endpoint) => RelayAddress | undefined;
}

/**
 * Number of consecutive unanswered connection attempts after which a machine is considered unreachable: powered
 * off or cut off from the network. At 3% packet loss one attempt in 17 is not answered in time; three in a row
 * are one in 5,000.
 */
const MAX_UNANSWERED_CONNECTS = 3;

/** Connections to the relay ports of peers. */
export class RelayClient implements EndpointPath {
  /** The connection for new attempts, by address. */
  private readonly links = new Map<string, RelayLink>();
  /** All open connections, including those that accept no new attempts. */
  private readonly openLinks = new Set<RelayLink>();
  /** Consecutive unanswered connection attempts by address, counted while older connections to it are open. */
  private readonly unansweredConnects = new Map<string, number>();

  constructor(private readonly options: RelayClientOptions) {}

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    const address = this.options.addressOf(endpoint);
    if (address === undefined) {
      observer.failed(new UnreachableError(`the node of endpoint ${endpoint.name} is unknown`));
      return { abort: () => undefined, isUnsent: () => true };
    }
    return this.linkTo(address).submit(endpoint, call, observer);
  }

  /** Checks the liveness of connections with pending work; must be called periodically. */
  checkLiveness(): void {
    this.openLinks.forEach((link) => link.checkLiveness());
  }

  /** New attempts use a new connection; attempts on the current one continue. */
  retireConnection(address: RelayAddress): void {
    this.links.delete(keyOf(address));
  }

  /** Closes all connections. */
  close(): void {
    this.openLinks.forEach((link) => link.destroy());
  }

  private retire(key: string, link: RelayLink): void {
    if (this.links.get(key) === link) {
      this.links.delete(key);
    }
  }

  private linkTo(address: RelayAddress): RelayLink {
    const key = keyOf(address);
    const existing = this.links.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const link = new RelayLink(address, this.options, {
      retired: () => this.retire(key, link),
      suspect: () => {
        this.retire(key, link);
        this.linkTo(address);
      },
      opened: () => this.confirmPeerAlive(key, link),
      openFailed: (isAnswered) => this.countUnanswered(key, isAnswered),
      closed: () => this.openLinks.delete(link),
      cancelsUnacknowledged: (requestIds) => this.repeatCancels(key, requestIds),
    });
    this.links.set(key, link);
    this.openLinks.add(link);
    return link;
  }

  /** Notifies older connections to the same address that a new one works. */
  private confirmPeerAlive(key: string, opened: RelayLink): void {
    this.unansweredConnects.delete(key);
    for (const link of this.linksTo(key)) {
      if (link !== opened) {
        link.confirmPeerAlive();
        opened.repeatCancels(link.unacknowledgedCancelIds);
      }
    }
  }

  /** If no connection is open, the next one that opens repeats the cancellations of connections that are still open. */
  private repeatCancels(key: string, requestIds: readonly string[]): void {
    this.linksTo(key).find((link) => link.repeatCancels(requestIds));
  }

  /** Requests at an unreachable machine may be retried elsewhere; a machine that is only paused still answers. */
  private countUnanswered(key: string, isAnswered: boolean): void {
    const links = this.linksTo(key);
    if (isAnswered || links.length === 0) {
      this.unansweredConnects.delete(key);
      return;
    }
    const count = (this.unansweredConnects.get(key) ?? 0) + 1;
    this.unansweredConnects.set(key, count);
    if (count >= MAX_UNANSWERED_CONNECTS) {
      this.unansweredConnects.delete(key);
      links.forEach((link) => link.peerIsUnreachable());
    }
  }

  private linksTo(key: string): RelayLink[] {
    return [...this.openLinks].filter((link) => link.key === key);
  }
}
