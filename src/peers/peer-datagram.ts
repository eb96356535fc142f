/**
 * Datagrams between nodes. Pings and acknowledgements contain the revision up to which the sender's
 * replica is complete and the age of that state. Other datagrams contain suspicions: requests during
 * which endpoints crashed. Lost datagrams are expected.
 */
import { DecodeStream, EncodeStream, type FieldType } from 'restructure';
import type { Suspicion } from '../containment/suspicion.js';
import { suspicionLayout } from '../containment/suspicion-layout.js';
import { list, oneOf, PlainStruct, varint } from '../wire/field-types.js';

/** A ping or its acknowledgement. */
export interface LivenessDatagram {
  readonly kind: 'ping' | 'acknowledgement';
  /** Revision of the sender's replica. */
  readonly revision: number;
  /** Time since a reader of the store confirmed that state, in milliseconds, at most {@link MAX_AGE_MS}. */
  readonly ageMs: number;
  /** Digest of the sender's suspicions; 0 if it has none. */
  readonly suspicionDigest: number;
}

/** Some of the sender's suspicions. */
export interface SuspicionDatagram {
  readonly kind: 'suspicions';
  readonly suspicions: readonly Suspicion[];
}

/** A datagram of any kind. */
export type PeerDatagram = LivenessDatagram | SuspicionDatagram;

/** Upper limit of the encoded age, in milliseconds. Differences matter only within the first seconds. */
export const MAX_AGE_MS = 3_600_000;

/** Kinds in the order of their numbers on the wire; positions must never change. */
const KINDS = ['ping', 'acknowledgement', 'suspicions'] as const;
const kindLayout = oneOf<PeerDatagram['kind']>(KINDS);

/** A trailing number that is omitted if it is 0; peers that do not support the field ignore it. */
const trailingNumber: FieldType<number> = {
  size: (value) => (value === 0 ? 0 : varint.size(value)),
  encode: (stream, value) => {
    if (value !== 0) {
      varint.encode(stream, value);
    }
  },
  decode: (stream) => (stream.pos < stream.length ? varint.decode(stream) : 0),
};

const livenessLayout = new PlainStruct<Omit<LivenessDatagram, 'kind'>>({
  revision: varint,
  ageMs: varint,
  suspicionDigest: trailingNumber,
});

type Fields<K> = Omit<
  K extends SuspicionDatagram['kind'] ? SuspicionDatagram : LivenessDatagram,
  'kind'
>;

const LAYOUTS: { readonly [K in PeerDatagram['kind']]: FieldType<Fields<K>> } = {
  ping: livenessLayout,
  acknowledgement: livenessLayout,
  suspicions: new PlainStruct({ suspicions: list(suspicionLayout) }),
};

export function encodeDatagram(datagram: PeerDatagram): Buffer {
  const layout = LAYOUTS[datagram.kind] as FieldType<PeerDatagram>;
  const bytes = Buffer.alloc(kindLayout.size(datagram.kind) + layout.size(datagram));
  const stream = new EncodeStream(bytes);
  kindLayout.encode(stream, datagram.kind);
  layout.encode(stream, datagram);
  return bytes;
}

/** Decodes a datagram; undefined if it is malformed. */
export function decodeDatagram(bytes: Uint8Array): PeerDatagram | undefined {
  try {
    const stream = new DecodeStream(bytes);
    const kind = kindLayout.decode(stream);
    return { kind, ...(LAYOUTS[kind] as FieldType<object>).decode(stream) } as PeerDatagram;
  } catch {
    return undefined;
  }
}
