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

/** Connections to the relay ports of peers. */
export class RelayClient implements EndpointPath {
  /** The connection that new attempts to an address take. */
  private readonly links = new Map<string, RelayLink>();
  /** All connections, also those that get no new attempts any more. */
  private readonly open = new Set<RelayLink>();

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
      closed: () => this.open.delete(link),
    });
    this.links.set(key, link);
    this.open.add(link);
    return link;
  }

  /** A new connection works: older ones to the same address that say nothing are silent. */
  private proveAlive(key: string, opened: RelayLink): void {
    for (const link of this.open) {
      if (link !== opened && link.key === key) {
        link.isProvenAlive();
      }
    }
  }
}
