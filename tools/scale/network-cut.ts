/**
 * Cuts between groups of hollow nodes on real sockets. What crosses a cut vanishes without a word, as
 * on a dead network: messages are dropped on both ends, a dial fails after the transport's own time
 * limit, and reads of the platform are answered by nobody.
 */
import type { PlatformAnswer, PlatformDocument } from '../../src/control/control-event.js';
import type { PeerAddress, PeerIdentity } from '../../src/membership/peer-identity.js';
import type { Machine } from '../../src/model/machine.js';
import { PlatformClient } from '../../src/source/platform-client.js';
import { createPeerTransport } from '../../src/transport/peer-transport.js';
import {
  DEFAULT_TRANSPORT_LIMITS,
  type PeerTransport,
  type TransportEvent,
  type TransportOptions,
} from '../../src/transport/transport-options.js';

/** Machines that are cut off from all others, and whether from the platform too. */
export interface Cut {
  readonly by: 'zone' | 'region';
  readonly name: string;
  readonly withPlatform: boolean;
}

/** Placement of a machine. */
export type Place = Pick<PeerIdentity, 'zone' | 'region'>;

/** The cut of one process, shared by its nodes. */
export class NetworkCut {
  current: Cut | undefined;
  private readonly byId: ReadonlyMap<string, Place>;
  private readonly byAddress: ReadonlyMap<string, Place>;

  constructor(machines: readonly Machine[]) {
    this.byId = new Map(machines.map((machine) => [machine.id, machine]));
    this.byAddress = new Map(machines.map((machine) => [machine.address, machine]));
  }

  /** Whether nothing passes between the node and a machine now. */
  separatesFromMachine(self: Place, machineId: string): boolean {
    return this.separates(self, this.byId.get(machineId));
  }

  /** Whether nothing passes between the node and an address now. */
  separatesFromAddress(self: Place, target: PeerAddress): boolean {
    return this.separates(self, this.byAddress.get(target.address));
  }

  /** Whether the node can not reach the platform now. */
  separatesFromPlatform(self: Place): boolean {
    return this.current?.withPlatform === true && this.isInside(self);
  }

  private separates(self: Place, other: Place | undefined): boolean {
    return other !== undefined && this.isInside(self) !== this.isInside(other);
  }

  private isInside(place: Place): boolean {
    return this.current !== undefined && place[this.current.by] === this.current.name;
  }
}

/** Opens a transport whose links obey the cut. */
export async function openCutTransport(
  cut: NetworkCut,
  options: TransportOptions,
): Promise<PeerTransport> {
  const self = options.identity;
  const onEvent = (event: TransportEvent): void => {
    if (event.type !== 'message' || !cut.separatesFromMachine(self, event.from.id)) {
      options.onEvent(event);
    }
  };
  return new CutTransport(await createPeerTransport({ ...options, onEvent }), cut, options);
}

class CutTransport implements PeerTransport {
  constructor(
    private readonly inner: PeerTransport,
    private readonly cut: NetworkCut,
    private readonly options: TransportOptions,
  ) {}

  get port(): number {
    return this.inner.port;
  }

  get identity(): PeerIdentity {
    return this.inner.identity;
  }

  dial(target: PeerAddress): void {
    if (!this.cut.separatesFromAddress(this.identity, target)) {
      this.inner.dial(target);
      return;
    }
    const fail = (): void => this.options.onEvent({ type: 'dial-failed', target });
    setTimeout(fail, DEFAULT_TRANSPORT_LIMITS.handshakeTimeoutMs);
  }

  send(peerId: string, message: Parameters<PeerTransport['send']>[1]): boolean {
    return this.cut.separatesFromMachine(this.identity, peerId) || this.inner.send(peerId, message);
  }

  hangUp(peerId: string): void {
    this.inner.hangUp(peerId);
  }

  stop(): Promise<void> {
    return this.inner.stop();
  }
}

/** A platform client that gets no answer while its machine is cut off. */
export class CutPlatformClient extends PlatformClient {
  constructor(
    private readonly cut: NetworkCut,
    private readonly self: Place,
    options: ConstructorParameters<typeof PlatformClient>[0],
  ) {
    super(options);
  }

  override async read(
    document: PlatformDocument,
    knownNumber: number,
    abortAfterMs: number,
  ): Promise<PlatformAnswer> {
    if (!this.cut.separatesFromPlatform(this.self)) {
      return super.read(document, knownNumber, abortAfterMs);
    }
    await new Promise((resolve) => setTimeout(resolve, abortAfterMs));
    return { outcome: 'unavailable' };
  }
}
