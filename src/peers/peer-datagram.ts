/**
 * What nodes say to each other in datagrams: a ping and its acknowledgement, each with the revision
 * up to which the sender's replica is complete and how old that state may be; and what is known of requests
 * under which endpoints ended. Lost datagrams are expected.
 */
import { DecodeStream, EncodeStream, type FieldType } from 'restructure';
import type { Suspicion } from '../containment/suspicion.js';
import { suspicionLayout } from '../containment/suspicion-layout.js';
import { list, oneOf, PlainStruct, varint } from '../wire/field-types.js';

/** A ping or its acknowledgement. */
export interface SignOfLife {
  readonly kind: 'ping' | 'acknowledgement';
  /** Revision of the sender's replica. */
  readonly revision: number;
  /** Time since a reader of the store confirmed that state, in milliseconds, or {@link MAX_AGE_MS}. */
  readonly ageMs: number;
  /** Digest of what the sender knows of requests under which endpoints ended; 0 where it knows nothing. */
  readonly suspicionDigest: number;
}

/** What the sender knows of some requests under which endpoints ended. */
export interface SuspicionNews {
  readonly kind: 'suspicions';
  readonly suspicions: readonly Suspicion[];
}

/** One datagram. */
export type PeerDatagram = SignOfLife | SuspicionNews;

/** Age that stands for all greater ones, in milliseconds: only the first seconds matter. */
export const MAX_AGE_MS = 3_600_000;

/** Kinds by their numbers on the wire; positions must never change. */
const KINDS = ['ping', 'acknowledgement', 'suspicions'] as const;
const kindLayout = oneOf<PeerDatagram['kind']>(KINDS);

/** A number at the end, left out where it is 0; peers that do not know it pass it over. */
const trailingNumber: FieldType<number> = {
  size: (value) => (value === 0 ? 0 : varint.size(value)),
  encode: (stream, value) => {
    if (value !== 0) {
      varint.encode(stream, value);
    }
  },
  decode: (stream) => (stream.pos < stream.length ? varint.decode(stream) : 0),
};

const signOfLife = new PlainStruct<Omit<SignOfLife, 'kind'>>({
  revision: varint,
  ageMs: varint,
  suspicionDigest: trailingNumber,
});

type Fields<K> = Omit<K extends SuspicionNews['kind'] ? SuspicionNews : SignOfLife, 'kind'>;

const LAYOUTS: { readonly [K in PeerDatagram['kind']]: FieldType<Fields<K>> } = {
  ping: signOfLife,
  acknowledgement: signOfLife,
  suspicions: new PlainStruct({ suspicions: list(suspicionLayout) }),
};

/** The bytes of a datagram. */
export function encodeDatagram(datagram: PeerDatagram): Buffer {
  const layout = LAYOUTS[datagram.kind] as FieldType<PeerDatagram>;
  const bytes = Buffer.alloc(kindLayout.size(datagram.kind) + layout.size(datagram));
  const stream = new EncodeStream(bytes);
  kindLayout.encode(stream, datagram.kind);
  layout.encode(stream, datagram);
  return bytes;
}

/** Reads a datagram; undefined when it is not one. */
export function decodeDatagram(bytes: Uint8Array): PeerDatagram | undefined {
  try {
    const stream = new DecodeStream(bytes);
    const kind = kindLayout.decode(stream);
    return { kind, ...(LAYOUTS[kind] as FieldType<object>).decode(stream) } as PeerDatagram;
  } catch {
    return undefined;
  }
}
