/**
 * What nodes say to each other in datagrams: a ping and its acknowledgement, each with the revision
 * up to which the sender's replica is complete and how old that state may be. Lost datagrams are
 * expected.
 */
import { DecodeStream, EncodeStream } from 'restructure';
import { oneOf, PlainStruct, varint } from '../wire/field-types.js';

/** One datagram. */
export interface PeerDatagram {
  readonly kind: 'ping' | 'acknowledgement';
  /** Revision of the sender's replica. */
  readonly revision: number;
  /** Time since a reader of the store confirmed that state, in milliseconds, or {@link MAX_AGE_MS}. */
  readonly ageMs: number;
}

/** Age that stands for all greater ones, in milliseconds: only the first seconds matter. */
export const MAX_AGE_MS = 3_600_000;

const layout = new PlainStruct<PeerDatagram>({
  kind: oneOf(['ping', 'acknowledgement']),
  revision: varint,
  ageMs: varint,
});

/** The bytes of a datagram. */
export function encodeDatagram(datagram: PeerDatagram): Buffer {
  const bytes = Buffer.alloc(layout.size(datagram));
  layout.encode(new EncodeStream(bytes), datagram);
  return bytes;
}

/** Reads a datagram; undefined when it is not one. */
export function decodeDatagram(bytes: Uint8Array): PeerDatagram | undefined {
  try {
    return layout.decode(new DecodeStream(bytes));
  } catch {
    return undefined;
  }
}
