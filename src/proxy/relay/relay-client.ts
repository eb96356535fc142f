/** Sends attempts to the nodes beside endpoints, over one connection to each. */
import type { Endpoint } from '../../model/resource.js';
import type { Attempt, AttemptObserver, Call, EndpointPath } from '../call.js';
import { UnreachableError } from '../request-error.js';
import { keyOf, RelayLink, type RelayAddress, type RelayLinkOptions } from './relay-link.js';

export type { RelayAddress } from './relay-link.js';

/** What the client needs of its node. */
export interface RelayClientOptions extends RelayLinkOptions {
  readonly addressOf: (endpoint: Endpoint) => RelayAddress | undefined;
}

/**
 * Connections in a row that a machine does not answer until it is dark: without power, or cut off. At a loss of
 * 3% of packets one opening in 17 is not answered in time, three in a row are one in 5,000.
 */
const UNANSWERED_TO_DARK = 3;

/** Connections to the relay ports of peers. */
export class RelayClient implements EndpointPath {
  /** The connection that new attempts to an address take. */
  private readonly links = new Map<string, RelayLink>();
  /** All connections, also those that get no new attempts any more. */
  private readonly open = new Set<RelayLink>();
  /** Connections in a row that machines did not answer, by address, while older ones to it are open. */
  private readonly unanswered = new Map<string, number>();

  constructor(private readonly options: RelayClientOptions) {}

  submit(endpoint: Endpoint, call: Call, observer: AttemptObserver): Attempt {
    const address = this.options.addressOf(endpoint);
    if (address === undefined) {
      observer.failed(new UnreachableError(`the node of endpoint ${endpoint.name} is unknown`));
      return { abort: () => undefined, isUnsent: () => true };
    }
    return this.linkTo(address).submit(endpoint, call, observer);
  }

  /** Looks whether connections on which something is awaited are silent; to be called now and then. */
  look(): void {
    this.open.forEach((link) => link.look());
  }

  /** New attempts get a new connection; what is awaited on the one there is goes on. */
  forget(address: RelayAddress): void {
    this.links.delete(keyOf(address));
  }

  /** Closes all connections. */
  close(): void {
    this.open.forEach((link) => link.destroy());
  }

  private retire(key: string, link: RelayLink): void {
    if (this.links.get(key) === link) {
      this.links.delete(key);
    }
  }

  private linkTo(address: RelayAddress): RelayLink {
    const key = keyOf(address);
    const known = this.links.get(key);
    if (known !== undefined) {
      return known;
    }
    const link = new RelayLink(address, this.options, {
      retired: () => this.retire(key, link),
      suspect: () => {
        this.retire(key, link);
        this.linkTo(address);
      },
      opened: () => this.proveAlive(key, link),
      notOpened: (isAnswered) => this.countUnanswered(key, isAnswered),
      closed: () => this.open.delete(link),
    });
    this.links.set(key, link);
    this.open.add(link);
    return link;
  }

  /** A new connection works: older ones to the same address that say nothing are silent. */
  private proveAlive(key: string, opened: RelayLink): void {
    this.unanswered.delete(key);
    for (const link of this.linksTo(key)) {
      if (link !== opened) {
        link.isProvenAlive();
      }
    }
  }

  /** What waits at a dark machine may be asked for again elsewhere; one that only stands still answers. */
  private countUnanswered(key: string, isAnswered: boolean): void {
    const links = this.linksTo(key);
    if (isAnswered || links.length === 0) {
      this.unanswered.delete(key);
      return;
    }
    const count = (this.unanswered.get(key) ?? 0) + 1;
    this.unanswered.set(key, count);
    if (count >= UNANSWERED_TO_DARK) {
      this.unanswered.delete(key);
      links.forEach((link) => link.peerIsDark());
    }
  }

  private linksTo(key: string): RelayLink[] {
    return [...this.open].filter((link) => link.key === key);
  }
}
